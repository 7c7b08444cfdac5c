"""Server of the console on a Unix socket: one command per line; an empty line ends each answer."""

from __future__ import annotations

import os
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from brackenlane.limits import Limits
from brackenlane.net.stream_front import StreamConnection, StreamFront

BACKLOG = 8
RECEIVE_BYTES = 1024
OWNER_ONLY_UMASK = 0o177  # umask: no permissions for group and others


def open_listener(path: Path) -> trio.SocketListener:
    """Return a listener that accepts only the user of this process; replace an existing socket."""
    path.unlink(missing_ok=True)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    old_mask = os.umask(OWNER_ONLY_UMASK)
    try:
        sock.bind(str(path))
    finally:
        os.umask(old_mask)
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))


def create_front(execute: Callable[[str], Awaitable[str]], limits: Limits) -> StreamFront:
    """Return the front that executes the commands of console clients."""

    async def serve(connection: StreamConnection) -> None:
        await serve_client(connection, execute, limits)

    return StreamFront("console", serve, limits.max_console_connections)


async def serve_client(
    connection: StreamConnection, execute: Callable[[str], Awaitable[str]], limits: Limits
) -> None:
    """Answer the commands of one client until it disconnects, sends an overlong line, or is idle too long."""
    try:
        lines = _LineReader(connection, limits)
        while True:
            line = await lines.read()
            if line is None:
                return
            answer = await execute(line)
            await connection.send(f"{answer}\n".encode())
    except (trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError):
        return  # the client is idle or has disconnected; no answer is due


class _LineReader:
    """Reads lines from a connection, with limits on their length and on the idle time."""

    def __init__(self, connection: StreamConnection, limits: Limits) -> None:
        self._connection = connection
        self._max_line_bytes = limits.max_console_line
        self._idle_timeout = limits.console_idle_timeout
        self._buffer = bytearray()

    async def read(self) -> str | None:
        """Return the next line; None at the end of the stream or for an overlong line.

        Raises trio.TooSlowError if no data arrives within the idle timeout.
        """
        end = self._buffer.find(b"\n")
        while end < 0:
            if len(self._buffer) > self._max_line_bytes:
                return None
            with trio.fail_after(self._idle_timeout):
                data = await self._connection.receive(RECEIVE_BYTES)
            if not data:
                return None
            self._buffer += data
            end = self._buffer.find(b"\n")
        line = bytes(self._buffer[:end]).decode("utf-8", "replace")
        del self._buffer[: end + 1]
        return line
