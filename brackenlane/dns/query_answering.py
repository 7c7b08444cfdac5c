"""Answers single queries for the UDP and TCP fronts; with SERVFAIL once the time of a shutdown is up."""

from __future__ import annotations

import logging

import trio

from brackenlane.dns.responder import Responder, failure_response

log = logging.getLogger(__name__)


class QueryAnswering:
    """Owns the open queries of all DNS fronts."""

    def __init__(self, responder: Responder) -> None:
        self._responder = responder
        self._scopes: set[trio.CancelScope] = set()
        self._is_rejecting = False

    async def answer(self, wire: bytes, udp: bool) -> bytes | None:
        """Return the response to one message; None if it must not be answered."""
        if self._is_rejecting:
            return failure_response(wire)
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                return await self._responder.respond(wire, udp)
            except Exception:  # one failed query must not stop the server
                log.exception("DNS query failed")
            finally:
                self._scopes.discard(scope)
        return failure_response(wire)

    def reject_all(self) -> None:
        """Answer all open queries with SERVFAIL, and from now on every new one."""
        self._is_rejecting = True
        for scope in self._scopes:
            scope.cancel()
