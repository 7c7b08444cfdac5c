"""A front on stream sockets, with a trio task for each connection, that can be shut down gracefully."""

from __future__ import annotations

import contextlib
import logging
import os
import socket
from collections.abc import Awaitable, Callable, Sequence

import trio

from brackenlane.core.service_tasks import run_isolated

log = logging.getLogger(__name__)

ACCEPT_PAUSE = 0.1  # seconds after a failed accept; the descriptors may have run out
LINGER_TIME = 0.1  # seconds after the last answer in which a peer may end its side
LINGER_READ_SIZE = 4_096  # bytes
MAX_CLOSING_ACCEPTS = 1_024  # connections taken from one backlog when the front stops to accept


class StreamConnection:
    """One connection of a front; its receiver ends when the front drains and no byte waits any more."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._is_draining = False
        self._receive_scope: trio.CancelScope | None = None

    async def receive(self, size: int) -> bytes:
        """Return the next bytes, at most `size`; none at the end of the stream or once the front drains."""
        if not self._is_draining:
            with trio.CancelScope() as self._receive_scope:
                return bytes(await self._stream.receive_some(size))
        return receive_waiting(self._stream.socket, size)

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        await self._stream.send_all(data)

    def start_draining(self) -> None:
        """Let the receiver take what has arrived, and nothing later."""
        self._is_draining = True
        if self._receive_scope:
            self._receive_scope.cancel()


class StreamFront:
    """Owns the listeners and connections of one front. Implements `net.front.Front`."""

    def __init__(
        self,
        name: str,
        serve: Callable[[StreamConnection], Awaitable[None]],
        max_connections: int,
        reject_all: Callable[[], None] = lambda: None,
    ) -> None:
        """name: for the log. serve: answers the requests of one connection, and returns at its end.

        max_connections: open at once; further ones are closed. reject_all: answers all open requests at once.
        """
        self._name = name
        self._serve = serve
        self._max_connections = max_connections
        self._reject_all = reject_all
        self._listeners: list[trio.SocketListener] = []
        self._connections: set[StreamConnection] = set()
        self._is_draining = False
        self._all_closed = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(self, listeners: Sequence[trio.SocketListener]) -> None:
        """Serve clients until `stop_accepting`, and the accepted ones until they are closed."""
        async with trio.open_nursery() as self._nursery:
            self._listeners = list(listeners)
            for listener in listeners:
                self._nursery.start_soon(self._accept, listener)

    async def _accept(self, listener: trio.SocketListener) -> None:
        while listener in self._listeners:
            try:
                self._admit(await listener.accept())
            except trio.ClosedResourceError:
                return
            except OSError as error:
                log.warning("%s: cannot accept: %s", self._name, error.strerror)
                await trio.sleep(ACCEPT_PAUSE)

    def _admit(self, stream: trio.SocketStream) -> None:
        if self._nursery is None or len(self._connections) >= self._max_connections:
            stream.socket.close()
            return
        connection = StreamConnection(stream)
        self._connections.add(connection)
        if self._is_draining:
            connection.start_draining()
        self._nursery.start_soon(self._serve_one, stream, connection)

    async def _serve_one(self, stream: trio.SocketStream, connection: StreamConnection) -> None:
        try:
            async with stream:
                await run_isolated(f"{self._name} connection", self._serve, connection)
                if self._is_draining:
                    await _discard_late_bytes(stream)
        finally:
            self._connections.discard(connection)
            if not self._connections:
                self._all_closed.set()

    # Graceful shutdown

    def stop_accepting(self) -> bool:
        """Accept the clients in the backlogs, then close the listeners; False if some cannot be accepted."""
        for listener in list(self._listeners):
            if not self._accept_waiting(listener):
                return False
            self._listeners.remove(listener)
            listener.socket.close()
        return True

    def start_draining(self) -> None:
        """Close each connection once the requests that have arrived on it are answered."""
        self._is_draining = True
        for connection in self._connections:
            connection.start_draining()

    async def wait_until_closed(self) -> None:
        """Wait until no connection is open."""
        while self._connections:
            self._all_closed = trio.Event()
            await self._all_closed.wait()

    def reject_open_requests(self) -> None:
        """Answer all open requests at once."""
        self._reject_all()

    def _accept_waiting(self, listener: trio.SocketListener) -> bool:
        """Accept the connections in a backlog, which closing would reset; False if resources are short."""
        try:
            with duplicate(listener.socket) as sock:
                for _ in range(MAX_CLOSING_ACCEPTS):
                    accepted, _address = sock.accept()
                    self._admit(trio.SocketStream(trio.socket.from_stdlib_socket(accepted)))
        except BlockingIOError:
            return True
        except OSError as error:
            log.warning("%s: cannot accept: %s", self._name, error.strerror)
            return False
        return True


async def _discard_late_bytes(stream: trio.SocketStream) -> None:
    """End the sending side, then read until the peer ends: a close over unread bytes resets a connection."""
    with contextlib.suppress(trio.BrokenResourceError), trio.move_on_after(LINGER_TIME):
        await stream.send_eof()
        while await stream.receive_some(LINGER_READ_SIZE):
            pass


def duplicate(sock: trio.socket.SocketType) -> socket.socket:
    """Return a non-blocking duplicate of a socket, for calls that must not wait. Raises OSError."""
    copy = socket.socket(fileno=os.dup(sock.fileno()))
    copy.setblocking(False)
    return copy


def receive_waiting(sock: trio.socket.SocketType, size: int) -> bytes:
    """Return bytes that have arrived on a stream socket, at most `size`; none if there are none."""
    with contextlib.suppress(OSError), duplicate(sock) as copy:
        return copy.recv(size)
    return b""
