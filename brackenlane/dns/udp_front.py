"""DNS over UDP: each datagram is answered by a task of its own."""

from __future__ import annotations

import logging

import trio

from brackenlane.dns.query_answering import QueryAnswering
from brackenlane.dns.responder import MAX_TCP_MESSAGE
from brackenlane.limits import Limits
from brackenlane.net.stream_front import duplicate

log = logging.getLogger(__name__)


class UdpFront:
    """Answers queries on one UDP socket. Implements `net.front.Front`."""

    def __init__(self, sock: trio.socket.SocketType, answering: QueryAnswering, limits: Limits) -> None:
        self._socket = sock
        self._answering = answering
        self._max_open_queries = limits.max_dns_queries
        self._open_query_count = 0
        self._is_draining = False
        self._receive_scope = trio.CancelScope()
        self._all_answered = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Answer datagrams until the front drains, and those received until they are answered."""
        async with trio.open_nursery() as self._nursery:
            with trio.CancelScope() as self._receive_scope:
                while not self._is_draining:
                    try:
                        wire, peer = await self._socket.recvfrom(MAX_TCP_MESSAGE)
                    except OSError as error:  # for example, the client's port refused an earlier response
                        log.debug("DNS datagram not received: %s", error)
                        continue
                    self._accept(wire, peer)

    def _accept(self, wire: bytes, peer: tuple[object, ...]) -> None:
        # Above the limit of open queries, datagrams are dropped; clients repeat their queries.
        if self._nursery and self._open_query_count < self._max_open_queries:
            self._open_query_count += 1
            self._nursery.start_soon(self._answer, wire, peer)

    async def _answer(self, wire: bytes, peer: tuple[object, ...]) -> None:
        try:
            reply = await self._answering.answer(wire, udp=True)
            if reply:
                await self._socket.sendto(reply, peer)
        except OSError as error:
            log.debug("DNS response not sent: %s", error)
        finally:
            self._open_query_count -= 1
            if not self._open_query_count:
                self._all_answered.set()

    # Graceful shutdown

    def stop_accepting(self) -> bool:
        """Do nothing: there are no connections, and queries are received until the front drains."""
        return True

    def start_draining(self) -> None:
        """Receive the datagrams that have arrived, and no later ones."""
        if self._is_draining:
            return
        self._is_draining = True
        self._receive_scope.cancel()
        try:
            with duplicate(self._socket) as sock:
                for _ in range(self._max_open_queries):
                    self._accept(*sock.recvfrom(MAX_TCP_MESSAGE))
        except BlockingIOError:
            return  # none is left
        except OSError as error:
            log.debug("DNS datagram not received: %s", error)

    async def wait_until_closed(self) -> None:
        """Wait until all received queries are answered."""
        while self._open_query_count:
            self._all_answered = trio.Event()
            await self._all_answered.wait()

    def reject_open_requests(self) -> None:
        """Answer all open queries at once."""
        self._answering.reject_all()
