"""A scripted edge cache, parent cache or origin on loopback that uses the platform's cache protocol.

Its replies are set by a function that may be changed while it runs. It records the requests that it receives.
"""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Self

import trio

from brackenlane.lab.stand_ins.cache_commands import CommandReader, Dropped, Pinged, ReceivedRequest

ScriptedReply = bytes | None


class CacheListener:
    """A listener that can be closed, with all its connections, and opened again on the same port."""

    port = 0
    host = "127.0.0.1"
    _reservation: socket.socket | None = None  # holds the port while the listener is closed

    async def open(self, nursery: trio.Nursery) -> Self:
        """Start to listen, on the same port as before if it was open already."""
        self._release_port()
        self._scope = trio.CancelScope()
        self._closed = trio.Event()
        [listener] = await trio.open_tcp_listeners(self.port, host=self.host)
        self.port = listener.socket.getsockname()[1]
        nursery.start_soon(self._accept, listener)
        return self

    async def close(self) -> None:
        """Close all connections and refuse new ones; no other program gets the port meanwhile."""
        self._scope.cancel()
        await self._closed.wait()
        self._reservation = socket.socket()
        self._reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reservation.bind((self.host, self.port))

    def _release_port(self) -> None:
        if self._reservation is not None:
            self._reservation.close()
            self._reservation = None

    async def _accept(self, listener: trio.SocketListener) -> None:
        with self._scope:
            await trio.serve_listeners(self._serve, [listener])
        self._closed.set()

    async def _serve(self, stream: trio.SocketStream) -> None:
        raise NotImplementedError


def data_reply(requested: ReceivedRequest, body: bytes = b"bytes", token: str = "data", **more: str) -> bytes:
    """Return a cache's reply with a body; `more` sets further fields or replaces the defaults."""
    fields = {"entity": "e1", "issued": str(int(time.time() * 1000)), "detail": "hit", **more}
    fields_text = ",".join(f"{k}={v}" for k, v in fields.items())
    return f"{requested.id} {token} {fields_text} {len(body)}\r\n".encode() + body + b"\r\n"


@dataclass
class CacheStandIn(CacheListener):
    """An edge cache, parent cache or the origin, with replies from the function `answer`.

    A reply of None or b"" sends nothing; one that doesn't end with a line break closes the connection after
    it.
    """

    id: str
    model: str = "type-a"
    answer: Callable[[ReceivedRequest], ScriptedReply] = data_reply
    received: list[ReceivedRequest] = field(default_factory=list)
    dropped: list[str] = field(default_factory=list)
    answers_ping: bool = True  # whether it answers PING
    max_requests_per_connection: int = 0  # maximum of requests on one connection
    connection_count: int = 0  # number of connections so far
    ended_count: int = 0  # number of ended connections, except those ended by a reply without line break
    updated: trio.Event = field(default_factory=trio.Event)
    _streams: list[trio.SocketStream] = field(default_factory=list)

    async def wait_until(self, true: Callable[[], bool]) -> None:
        """Wait until a condition is true; it is checked whenever this cache has received something."""
        while not true():
            self.updated = trio.Event()
            await self.updated.wait()

    async def send_raw(self, link: int, text: bytes) -> None:
        """Send raw bytes on one connection, by its number."""
        await self._streams[link - 1].send_all(text)

    async def close_connection(self, link: int) -> None:
        """Close one connection, by its number."""
        await self._streams[link - 1].aclose()

    async def _serve(self, stream: trio.SocketStream) -> None:
        self._streams.append(stream)
        requests_here = 0
        self.connection_count += 1
        reader = CommandReader(self.connection_count)
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while chunk := await stream.receive_some(65536):
                for command in reader.feed(chunk):
                    match command:
                        case Dropped(wire_id):
                            self.dropped.append(wire_id)
                        case Pinged():
                            if self.answers_ping:
                                await stream.send_all(command.reply)
                        case ReceivedRequest():
                            self.received.append(command)
                            requests_here += 1
                            self.max_requests_per_connection = max(
                                self.max_requests_per_connection, requests_here
                            )
                            if reply := self.answer(command):
                                await stream.send_all(reply)
                                if not reply.endswith(b"\r\n"):
                                    return await stream.aclose()
                    self.updated.set()
        self.ended_count += 1
        self.updated.set()
