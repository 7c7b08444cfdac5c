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

from brackenlane.lab.cluster.ports import reserve_any_port

CHUNK_BYTES = 65_536
TAIL_BYTES = 256  # bytes kept from earlier reads, to find a match that is split across two reads


@dataclass(frozen=True, slots=True)
class Fault:
    """How a link fails; the defaults describe a link without a fault."""

    refuse: bool = False  # connections are refused or closed
    up: bool = True  # data from the router is passed on
    down: bool = True  # data to the router is passed on
    delay: float = 0.0  # seconds, in each direction
    rate: float = 0.0  # bytes a second in each direction; 0: unlimited
    drop_after: int = 0  # bytes passed to the router before the connection is reset; 0: never


NO_FAULT = Fault()
ALL_ROUTERS = -1  # stands for every router that has no fault set for it alone
Observer = Callable[[int, bool, re.Match[bytes]], None]  # (router, whether the router sent it, match)


async def _hold(reservation: socket.socket) -> None:
    """Keep a port reserved until cancelled, also while the link refuses connections and doesn't listen."""
    with reservation:
        await trio.sleep_forever()


class Link:
    """A listener that forwards connections to one server; the fault depends on the router that connects."""

    def __init__(
        self,
        target: int,
        pattern: re.Pattern[bytes] | None = None,
        observer: Observer = lambda *_: None,
        find_router: Callable[[int], int] = lambda _: ALL_ROUTERS,
    ) -> None:
        """target: the server's port on 127.0.0.1; pattern: what to look for in forwarded data.

        observer is called with each match once it is forwarded. find_router returns the number of the router
        that a connection belongs to, by the connection's source port.
        """
        self.target = target
        self.port = 0
        self._pattern = pattern
        self._observer = observer
        self._find_router = find_router
        self._faults: dict[int, Fault] = {}
        self._connections: dict[trio.SocketStream, int] = {}
        self._fault_changed = trio.Event()
        self._listening: trio.CancelScope | None = None

    async def open(self, nursery: trio.Nursery) -> Link:
        """Start to listen on a port of 127.0.0.1."""
        self._nursery = nursery
        reservation = reserve_any_port()
        self.port = reservation.getsockname()[1]
        nursery.start_soon(_hold, reservation)
        await self._listen()
        return self

    async def _listen(self) -> None:
        [listener] = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
        self._listening = scope = trio.CancelScope()

        async def accept() -> None:
            with scope:
                await trio.serve_listeners(self._forward, [listener])

        self._nursery.start_soon(accept)

    def fault(self, router: int = ALL_ROUTERS) -> Fault:
        """Return the fault in force for one router."""
        return self._faults.get(router, self._faults.get(ALL_ROUTERS, NO_FAULT))

    async def set(self, router: int = ALL_ROUTERS, **changes: bool | float | int) -> None:
        """Change the fault of one router or of all.

        Open connections stay, unless `refuse` is set: it resets them.
        """
        fault = self._faults[router] = replace(self.fault(router), **changes)  # type: ignore[arg-type]
        self._fault_changed.set()
        self._fault_changed = trio.Event()
        if fault.refuse:
            if router == ALL_ROUTERS and self._listening:
                self._listening.cancel()
                self._listening = None
            await self.reset(router)
        elif router == ALL_ROUTERS and self._listening is None:
            await self._listen()

    async def heal(self, router: int = ALL_ROUTERS) -> None:
        """Remove the fault of one router or of all.

        Connections blocked in a direction are reset, and the data held back on them is lost.
        """
        fault = self.fault(router)
        if not (fault.up and fault.down):
            await self.reset(router)
        self._faults[router] = NO_FAULT
        await self.set(router, refuse=False)

    async def reset(self, router: int = ALL_ROUTERS) -> None:
        """Close the connections of one router, or of all, with a TCP reset."""
        for stream, connection_router in list(self._connections.items()):
            if router in (ALL_ROUTERS, connection_router):
                with contextlib.suppress(OSError):
                    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                await trio.aclose_forcefully(stream)

    async def _forward(self, client: trio.SocketStream) -> None:
        with contextlib.suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            router = self._find_router(client.socket.getpeername()[1])
            if self.fault(router).refuse:
                return await trio.aclose_forcefully(client)
            async with client, await trio.open_tcp_stream("127.0.0.1", self.target) as server:
                self._connections |= {client: router, server: router}
                try:
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self._pump, client, server, router, True, nursery.cancel_scope)
                        nursery.start_soon(self._pump, server, client, router, False, nursery.cancel_scope)
                finally:
                    del self._connections[client], self._connections[server]

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        router: int,
        up: bool,
        scope: trio.CancelScope,
    ) -> None:
        tail = b""
        forwarded = 0
        with contextlib.suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await source.receive_some(CHUNK_BYTES):
                while not (self.fault(router).up if up else self.fault(router).down):
                    await self._fault_changed.wait()
                fault = self.fault(router)
                if fault.delay or fault.rate:
                    await trio.sleep(fault.delay + (len(data) / fault.rate if fault.rate else 0.0))
                forwarded += len(data)
                if not up and fault.drop_after and forwarded > fault.drop_after:
                    await self.reset(router)
                    break
                await sink.send_all(data)
                if self._pattern:
                    text = tail + data
                    for match in self._pattern.finditer(text):
                        if match.end() > len(tail):
                            self._observer(router, up, match)
                    tail = text[-TAIL_BYTES:]
        scope.cancel()
