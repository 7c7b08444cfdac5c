"""DNS over TCP: the queries of one connection are answered in sequence (RFC 7766)."""

from __future__ import annotations

import logging

import trio

from brackenlane.dns.query_answering import QueryAnswering
from brackenlane.limits import Limits
from brackenlane.net.stream_front import StreamConnection, StreamFront

log = logging.getLogger(__name__)

LENGTH_SIZE = 2  # bytes of the length prefix of a message over TCP (RFC 1035, 4.2.2)
RECEIVE_SIZE = 4_096  # bytes


def create_tcp_front(answering: QueryAnswering, limits: Limits) -> StreamFront:
    """Return the front that answers queries over TCP."""
    server = TcpServer(answering, limits.dns_idle_timeout)
    return StreamFront("DNS", server.serve, limits.max_dns_connections, answering.reject_all)


class TcpServer:
    """Answers the queries of TCP connections."""

    def __init__(self, answering: QueryAnswering, idle_timeout: float) -> None:
        """idle_timeout: seconds without a byte of a query; then a connection is closed."""
        self._answering = answering
        self._idle_timeout = idle_timeout

    async def serve(self, connection: StreamConnection) -> None:
        """Answer the queries of one connection until it ends."""
        try:
            await self._serve(connection)
        except (trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            log.debug("DNS connection ended: %r", error)

    async def _serve(self, connection: StreamConnection) -> None:
        buffer = bytearray()
        while True:
            wire = await self._receive_message(connection, buffer)
            if wire is None:
                return
            reply = await self._answering.answer(wire, udp=False)
            if reply is None:
                return
            with trio.fail_after(self._idle_timeout):
                await connection.send(len(reply).to_bytes(LENGTH_SIZE, "big") + reply)

    async def _receive_message(self, connection: StreamConnection, buffer: bytearray) -> bytes | None:
        """Return the next message, or None at the end of the stream. Raises trio.TooSlowError when idle."""
        while not _is_message_complete(buffer):
            with trio.fail_after(self._idle_timeout):
                data = await connection.receive(RECEIVE_SIZE)
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
