"""TCP proxies between the routers and one server (a cache or the store), with faults that can be injected.

A fault applies to the connections of one router to the server, or to those of all routers. Times are in
seconds, sizes in bytes.
"""

from __future__ import annotations

import contextlib
import re
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio

CHUNK = 65_536
TAIL = 256  # bytes kept from earlier reads, to find a match that is split across two reads


@dataclass(frozen=True, slots=True)
class Fault:
    """How a link fails; the defaults describe a link without a fault."""

    refuse: bool = False  # connections are refused or closed
    up: bool = True  # data from the router is passed on
    down: bool = True  # data to the router is passed on
    delay: float = 0.0  # seconds, in each direction
    rate: float = 0.0  # bytes a second in each direction; 0: unlimited
    drop_after: int = 0  # bytes passed to the router before the connection is reset; 0: never


SOUND = Fault()
ALL = -1  # stands for every router that has no fault set for it alone
Observer = Callable[[int, bool, re.Match[bytes]], None]  # (router, whether the router sent it, match)


class Link:
    """A listener that forwards connections to one server; the fault depends on the router that connects."""

    def __init__(
        self,
        target: int,
        arguments: re.Pattern[bytes] | None = None,
        received: Observer = lambda *_: None,
        owner: Callable[[int], int] = lambda _: ALL,
    ) -> None:
        """target: the server's port on 127.0.0.1; pattern: what to look for in forwarded data.

        observer is called with each match once it is forwarded. owner returns the number of the router that a
        connection belongs to, by the connection's source port.
        """
        self.target = target
        self.port = 0
        self._commands = arguments
        self._observer = received
        self._owner = owner
        self._faults: dict[int, Fault] = {}
        self._open: dict[trio.SocketStream, int] = {}
        self._changed = trio.Event()
        self._listening: trio.CancelScope | None = None

    async def open(self, nursery: trio.Nursery) -> Link:
        """Start to listen on a port of 127.0.0.1."""
        self._nursery = nursery
        await self._listen()
        return self

    async def _listen(self) -> None:
        [listener] = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
        self.port = listener.socket.getsockname()[1]
        self._listening = scope = trio.CancelScope()

        async def accept() -> None:
            with scope:
                await trio.serve_listeners(self._pass_on, [listener])

        self._nursery.start_soon(accept)

    def fault(self, who: int = ALL) -> Fault:
        """Return the fault in force for one router."""
        return self._faults.get(who, self._faults.get(ALL, SOUND))

    async def set(self, who: int = ALL, **changes: bool | float | int) -> None:
        """Change the fault of one router or of all.

        Open connections stay, unless `refuse` is set: it resets them.
        """
        fault = self._faults[who] = replace(self.fault(who), **changes)  # type: ignore[arg-type]
        self._changed.set()
        self._changed = trio.Event()
        if fault.refuse:
            if who == ALL and self._listening:
                self._listening.cancel()
                self._listening = None
            await self.reset(who)
        elif who == ALL and self._listening is None:
            await self._listen()

    async def heal(self, who: int = ALL) -> None:
        """Remove the fault of one router or of all.

        Connections blocked in a direction are reset, and the data held back on them is lost.
        """
        fault = self.fault(who)
        if not (fault.up and fault.down):
            await self.reset(who)
        self._faults[who] = SOUND
        await self.set(who, refuse=False)

    async def reset(self, who: int = ALL) -> None:
        """Close the connections of one router, or of all, with a TCP reset."""
        for stream, whose in list(self._open.items()):
            if who in (ALL, whose):
                with contextlib.suppress(OSError):
                    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                await trio.aclose_forcefully(stream)

    async def _pass_on(self, near: trio.SocketStream) -> None:
        with contextlib.suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            who = self._owner(near.socket.getpeername()[1])
            if self.fault(who).refuse:
                return await trio.aclose_forcefully(near)
            async with near, await trio.open_tcp_stream("127.0.0.1", self.target) as far:
                self._open |= {near: who, far: who}
                try:
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self._pump, near, far, who, True, nursery.cancel_scope)
                        nursery.start_soon(self._pump, far, near, who, False, nursery.cancel_scope)
                finally:
                    del self._open[near], self._open[far]

    async def _pump(
        self, source: trio.SocketStream, sink: trio.SocketStream, who: int, up: bool, scope: trio.CancelScope
    ) -> None:
        tail = b""
        passed = 0
        with contextlib.suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await source.receive_some(CHUNK):
                while not (self.fault(who).up if up else self.fault(who).down):
                    await self._changed.wait()
                fault = self.fault(who)
                if fault.delay or fault.rate:
                    await trio.sleep(fault.delay + (len(data) / fault.rate if fault.rate else 0.0))
                passed += len(data)
                if not up and fault.drop_after and passed > fault.drop_after:
                    await self.reset(who)
                    break
                await sink.send_all(data)
                if self._commands:
                    text = tail + data
                    for match in self._commands.finditer(text):
                        if match.end() > len(tail):
                            self._observer(who, up, match)
                    tail = text[-TAIL:]
        scope.cancel()
