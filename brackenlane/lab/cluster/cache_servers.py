"""Simulated caches of a test cluster: they keep and fill copies, start cold and record events.

A response body names the object, the cache and the time at which the origin issued the copy, so that the
invariants can be checked from the clients' events.
"""

from __future__ import annotations

import contextlib
import math
import random
import time
from collections import deque
from dataclasses import dataclass, field

import trio

from brackenlane.lab.cluster.record import Record
from brackenlane.lab.stand_ins.cache_commands import CommandReader, Pinged, ReceivedRequest
from brackenlane.lab.stand_ins.cache_server import CacheListener

FILL_LATENCY_S = 0.02  # seconds that a fill takes in addition to its transfer
# Multiple of its capacity at which a cold cache fails (plus a margin for random variation).
OVERLOAD_FACTOR = 3.0
DOWNTIME_S = 5.0  # seconds for which a failed cache is unavailable


@dataclass(frozen=True, slots=True)
class CacheCapacity:
    """Capacity of a cache when warm, and how it warms up after a start."""

    link: float = 40.0  # concurrent transfers when warm
    work: float = 0.02  # seconds that one transfer takes on an idle cache
    cold: float = 0.3  # share of `link` at the start
    ramp: float = 18.0  # seconds from the start to the full capacity

    def capacity_by_age(self, age: float) -> float:
        """Return the concurrent transfers at an age in seconds."""
        return self.link * min(1.0, self.cold + (1 - self.cold) * age / max(self.ramp, 1e-9))


async def _receive(stream: trio.SocketStream) -> bytes:
    """Return the next data; empty once the connection is closed or broken."""
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError, OSError):
        return bytes(await stream.receive_some(65_536))
    return b""


@dataclass
class ClusterCache(CacheListener):
    """One edge cache, parent cache or the origin."""

    id: str
    role: str
    record: Record
    caches: dict[str, ClusterCache]
    capacity: CacheCapacity = field(default_factory=CacheCapacity)
    started: float = field(default_factory=lambda: time.monotonic())
    unresponsive: bool = False  # accepts connections but answers nothing
    failed_at: float = -math.inf  # monotonic time at which it last failed under overload
    # Monotonic times of the last second's requests, while cold.
    recent_requests: deque[float] = field(default_factory=deque)
    # By object: Unix ms at which the origin issued the copy.
    copies: dict[str, int] = field(default_factory=dict)
    fills_in_progress: dict[str, trio.Event] = field(default_factory=dict)
    purged: dict[str, int] = field(default_factory=dict)
    busy: int = 0  # transfers in progress
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def _fails_under_load(self) -> bool:
        """Count one more request.

        Return whether the cache is down, or fails now under overload while cold.
        """
        now = time.monotonic()
        s = self.capacity
        if now < self.failed_at + DOWNTIME_S:
            return True
        if now > self.started + s.ramp:
            return False
        self.recent_requests.append(now)
        while self.recent_requests[0] < now - 1.0:
            self.recent_requests.popleft()
        n = OVERLOAD_FACTOR * s.capacity_by_age(now - self.started) / s.work
        if len(self.recent_requests) <= n + 3 * math.sqrt(n) + 3:
            return False
        self.failed_at = now
        self.record.add("fall", box=self.id)
        self.recent_requests.clear()
        self.restart()
        self.started = now + DOWNTIME_S
        return True

    def restart(self) -> None:
        """Simulate a restart: the cache is cold and has no copies."""
        self.started = time.monotonic()
        self.copies.clear()
        self.record.add("box_start", box=self.id)

    async def _serve(self, stream: trio.SocketStream) -> None:
        peer_port = stream.socket.getpeername()[1]
        if time.monotonic() < self.failed_at + DOWNTIME_S:
            return await trio.aclose_forcefully(stream)
        self.record.add("handshake", box=self.id, peer=peer_port)
        reader = CommandReader()
        send_lock = trio.Lock()
        async with trio.open_nursery() as nursery:
            while chunk := await _receive(stream):
                if self.unresponsive:
                    continue
                for command in reader.feed(chunk):
                    match command:
                        case ReceivedRequest():
                            nursery.start_soon(self._answer, stream, send_lock, command.id, command.fields)
                        case Pinged():
                            nursery.start_soon(self._send, stream, send_lock, command.reply)
            nursery.cancel_scope.cancel()

    @staticmethod
    async def _send(stream: trio.SocketStream, send_lock: trio.Lock, data: bytes) -> None:
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            async with send_lock:
                await stream.send_all(data)

    async def _answer(
        self, stream: trio.SocketStream, send_lock: trio.Lock, wire_id: str, fields: dict[str, str]
    ) -> None:
        if self._fails_under_load():
            return await trio.aclose_forcefully(stream)
        obj = fields["path"]
        cls = fields["queue"]
        source = fields.get("miss", "")
        self.record.add("got", box=self.id, id=wire_id, cls=cls, obj=obj, miss=source)
        capacity_by_age = self.capacity.capacity_by_age(time.monotonic() - self.started)
        if self.busy >= 4 * capacity_by_age:
            return await self._send(stream, send_lock, f"{wire_id} full - 0\r\n\r\n".encode())
        self.busy += 1
        try:
            await trio.sleep(self.capacity.work * max(1.0, self.busy / capacity_by_age))
            if cls == "sheet-submit":
                where = self.caches.get(source, self) if self.role != "origin" else self
                self.record.add("run", box=where.id, id=wire_id)
                issued = int(time.time() * 1000)
                detail = "filled"
            else:
                found = await self._copy(obj, fields)
                if found is None:
                    return await self._send(stream, send_lock, f"{wire_id} absent - 0\r\n\r\n".encode())
                issued, detail = found
        finally:
            self.busy -= 1
        body = f"{obj} {self.id} {issued}".encode()
        head = f"{wire_id} data entity=e{issued},issued={issued},detail={detail} {len(body)}\r\n"
        await self._send(stream, send_lock, head.encode() + body + b"\r\n")

    async def serve_fill(self, obj: str, by: str) -> bool:
        """Serve a fill of another cache; False if this cache is at its limit or down."""
        self.record.add("fill", box=self.id, obj=obj, by=by)
        capacity_by_age = self.capacity.capacity_by_age(time.monotonic() - self.started)
        if self._fails_under_load() or self.busy >= 4 * capacity_by_age:
            return False
        self.busy += 1
        try:
            await trio.sleep(FILL_LATENCY_S + self.capacity.work * max(1.0, self.busy / capacity_by_age))
        finally:
            self.busy -= 1
        return True

    async def _copy(self, obj: str, fields: dict[str, str]) -> tuple[int, str] | None:
        """Return a fresh enough copy, cached or filled, as (issue time in Unix ms, detail); else None."""
        within = int(fields.get("within", "0"))
        source = self.caches.get(fields.get("miss", ""))
        if self.role == "origin":
            return int(time.time() * 1000), "hit"
        while True:
            issued = self.copies.get(obj)
            if issued is not None and (not within or time.time() * 1000 - issued <= within):
                return issued, "hit"
            if source is None or source is self or "shallow" in fields.get("f", ""):
                return None
            if obj not in self.fills_in_progress:
                break
            await self.fills_in_progress[obj].wait()  # join the fill in progress
            within = within and max(within, 1000)
        done = self.fills_in_progress[obj] = trio.Event()
        try:
            if not await source.serve_fill(obj, self.id):
                return None
            if source.role == "origin":
                issued = int(time.time() * 1000)
            else:
                parent_fields = {"within": fields.get("within", "0"), "miss": "origin"}
                found = await source._copy(obj, parent_fields)
                issued = found[0] if found else int(time.time() * 1000)
            self.copies[obj] = issued
            return issued, "via_origin" if source.role == "origin" else "filled"
        finally:
            del self.fills_in_progress[obj]
            done.set()
