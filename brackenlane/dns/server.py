"""UDP and TCP sockets of the DNS server, with limits on open queries and connections."""

from __future__ import annotations

import logging

import dns.rcode
import trio

from brackenlane.dns.responder import MAX_TCP_MESSAGE, Responder, error_response
from brackenlane.limits import Limits

log = logging.getLogger(__name__)

LENGTH_SIZE = 2  # bytes of the length prefix of a message over TCP (RFC 1035, 4.2.2)
RECEIVE_SIZE = 4_096  # bytes


class Server:
    """Receives queries on sockets and sends the responses of a responder."""

    def __init__(self, responder: Responder, limits: Limits) -> None:
        self._responder = responder
        self._limits = limits
        self._open_query_count = 0
        self._connection_count = 0

    async def serve_udp(self, sock: trio.socket.SocketType) -> None:
        """Answer datagrams until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    wire, peer = await sock.recvfrom(MAX_TCP_MESSAGE)
                except OSError as error:  # for example, the client's port refused an earlier response
                    log.debug("DNS datagram not received: %s", error)
                    continue
                # Above the limit of open queries, datagrams are dropped; clients repeat their queries.
                if self._open_query_count < self._limits.max_dns_queries:
                    nursery.start_soon(self._answer_datagram, sock, wire, peer)

    async def _answer_datagram(
        self, sock: trio.socket.SocketType, wire: bytes, peer: tuple[object, ...]
    ) -> None:
        self._open_query_count += 1
        try:
            reply = await self._respond(wire, udp=True)
            if reply:
                await sock.sendto(reply, peer)
        except OSError as error:
            log.debug("DNS response not sent: %s", error)
        finally:
            self._open_query_count -= 1

    async def _respond(self, wire: bytes, udp: bool) -> bytes | None:
        try:
            return await self._responder.respond(wire, udp)
        except Exception:  # one failed query must not stop the server
            log.exception("DNS query failed")
            return error_response(wire, dns.rcode.SERVFAIL)

    async def serve_tcp(self, stream: trio.SocketStream) -> None:
        """Answer the queries of one connection in sequence."""
        if self._connection_count >= self._limits.max_dns_connections:
            await trio.aclose_forcefully(stream)
            return
        self._connection_count += 1
        try:
            async with stream:
                await self._serve_stream(stream)
        except (trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            log.debug("DNS connection ended: %r", error)
        finally:
            self._connection_count -= 1

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        buffer = bytearray()
        while True:
            wire = await self._receive_message(stream, buffer)
            if wire is None:
                return
            reply = await self._respond(wire, udp=False)
            if reply is None:
                return
            with trio.fail_after(self._limits.dns_idle_timeout):
                await stream.send_all(len(reply).to_bytes(LENGTH_SIZE, "big") + reply)

    async def _receive_message(self, stream: trio.SocketStream, buffer: bytearray) -> bytes | None:
        """Return the next message, or None at the end of the stream. Raises trio.TooSlowError when idle."""
        while not _is_message_complete(buffer):
            with trio.fail_after(self._limits.dns_idle_timeout):
                data = await stream.receive_some(RECEIVE_SIZE)
            if not data:
                return None
            buffer += data
        end = LENGTH_SIZE + int.from_bytes(buffer[:LENGTH_SIZE], "big")
        wire = bytes(buffer[LENGTH_SIZE:end])
        del buffer[:end]
        return wire


def _is_message_complete(buffer: bytearray) -> bool:
    if len(buffer) < LENGTH_SIZE:
        return False
    return len(buffer) >= LENGTH_SIZE + int.from_bytes(buffer[:LENGTH_SIZE], "big")
