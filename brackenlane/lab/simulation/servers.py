"""Base class of all simulated servers, the parent caches and the origin."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import Protocol

from brackenlane.lab.simulation.clock import EventQueue
from brackenlane.lab.simulation.links import FairLink
from brackenlane.lab.simulation.memory import RankedMemory, StoredCopy
from brackenlane.lab.simulation.site import Site
from brackenlane.lab.simulation.slow_start import ColdCapacity
from brackenlane.lab.simulation.streams import Failure, Stream
from brackenlane.routing.events import CacheStatus
from brackenlane.routing.settings import RequestClass

FAST_ERROR_DELAY = 0.003  # seconds from a request to the error answer of a faulty server
WARM_UP_STEP = 0.5  # seconds between increases of a cold server's link width
REVALIDATION_COST = 0.05  # work of revalidating a copy, as a share of transferring it
MAX_PARENT_FETCHES = 60  # concurrent fetches of one parent
PARENT_FETCH_TIMEOUT = 4.0  # seconds to the first byte
# The origin stops when the requests within the window exceed this multiple of its capacity.
ORIGIN_OVERLOAD_WINDOW = 3.0  # seconds
ORIGIN_OVERLOAD_FACTOR = 2.5
ORIGIN_DOWNTIME = 5.0  # seconds
MAX_ORIGIN_STOPS = 2  # per run


class Health(Enum):
    """How a server reacts to a request."""

    UP = "up"
    HUNG = "hung"  # accepts requests and never answers
    DOWN = "down"  # refuses connections


@dataclass(frozen=True, slots=True)
class CacheRequest:
    """A request as received by a server."""

    operation: str
    router: int
    cls: RequestClass
    copy: str  # name of the copy: its object and part
    obj: str
    group: int
    work: float  # transfer-seconds
    source: str  # server from which a cache fills
    keep: int  # rank of the stored copy; 0: a new copy is not stored, a present one keeps its rank
    max_age: float  # seconds; 0: no limit beyond the freshness lifetime
    join: bool  # whether the request may wait for a fill in progress
    revalidate: bool  # whether a hit on an ageing copy may revalidate it in the background
    only_if_cached: bool  # whether a parent must not fetch from the origin


class Reply(Stream):
    """The answer to one attempt and its cache status."""

    def __init__(self) -> None:
        super().__init__()
        self.cache_status = CacheStatus.UNKNOWN
        self.started_at = 0.0


class Environment(Protocol):
    """The parts of the simulation that servers use."""

    site: Site
    queue: EventQueue
    random: random.Random

    def is_current(self, copy: StoredCopy) -> bool:
        """Whether no purge has been issued since the origin sent the copy."""

    def executed(self, operation: str) -> None:
        """Record that the origin executed a write."""

    def origin_stopped(self) -> None:
        """Record that the origin stopped because of overload."""

    def mean_work(self, cls: RequestClass) -> float:
        """Mean work of a request of a class, in transfer-seconds."""

    def fill(
        self, requester: Server, request: CacheRequest, min_issued: float, downstream: Stream, work: float
    ) -> None:
        """Fetch a copy from the source that the request names."""

    def record_cold_load(self, server: Server, router: int, work: float) -> None:
        """Account for work that arrives at a recently started server."""


def min_issue_time(request: CacheRequest, now: float) -> float:
    """Earliest time at which the origin may have sent a copy that satisfies the request."""
    cls = request.cls
    if cls.fresh_for:
        return now - min(request.max_age or cls.fresh_for, cls.fresh_for + cls.grace)
    return now - request.max_age if request.max_age else 0.0


class Server:
    """A server with an outgoing link, a health state and a cold start."""

    def __init__(self, name: str, zone: str, width: float, world: Environment) -> None:
        self.name = name
        self.zone = zone
        self.full_width = width
        self.world = world
        self.link = FairLink(width)
        self.health = Health.UP
        self.error_share = 0.0
        self.cold_capacity: ColdCapacity | None = None
        self.memory = RankedMemory(0.0)
        self.open_streams: dict[Stream, None] = {}  # streams that break off when the server stops

    def stop(self) -> None:
        """Stop the process: its memory is lost and its streams break off."""
        self.health = Health.DOWN
        self.memory.clear()
        while self.open_streams:
            next(iter(self.open_streams)).fail(Failure.BROKEN)

    def start_cold(self, cold_capacity: ColdCapacity) -> None:
        """Start the process with an empty memory and reduced capacity."""
        self.health = Health.UP
        self.cold_capacity = cold_capacity
        self.error_share = 0.0
        self._update_width()

    def _update_width(self) -> None:
        share = self.cold_capacity.share(self.world.queue.now) if self.cold_capacity else 1.0
        self.link.set_width(self.full_width * share)
        if share < 1 and self.health is not Health.DOWN:
            self.world.queue.after(WARM_UP_STEP, self._update_width)

    def track_stream(self, stream: Stream) -> None:
        """Make a stream break off if this server stops."""
        self.open_streams[stream] = None
        stream.listen(_ignore, lambda: self._untrack_stream(stream))

    def _untrack_stream(self, stream: Stream) -> None:
        self.open_streams.pop(stream, None)

    def admit(self, request: CacheRequest, stream: Stream) -> bool:
        """Whether to serve a request; if not, its stream fails or, at a hung server, never ends."""
        if self.cold_capacity and self.health is not Health.DOWN:
            self.world.record_cold_load(self, request.router, self.world.mean_work(request.cls))
        if self.health is Health.DOWN:
            stream.fail(Failure.UNREACHABLE)
            return False
        self.track_stream(stream)
        if self.health is Health.HUNG:
            return False
        if self.error_share and self.world.random.random() < self.error_share:
            self.world.queue.after(FAST_ERROR_DELAY, lambda: stream.fail(Failure.ERROR))
            return False
        return True

    def serve_copy(self, request: CacheRequest, min_issued: float, stream: Stream) -> None:
        """Serve a copy into a stream, which has the bytes as they are available here, before the link."""
        raise NotImplementedError


def _ignore() -> None:
    """Callback that does nothing."""


@dataclass(slots=True, eq=False)
class FillInProgress:
    """A fill of an edge cache or a fetch of a parent, in progress."""

    stream: Stream
    min_issued: float

    def may_join(self, min_issued: float) -> bool:
        """Whether the arriving copy is certain to be new enough."""
        return (self.stream.issued if self.stream.started else self.min_issued) >= min_issued


def store_when_complete(
    memory: RankedMemory, request: CacheRequest, stream: Stream, rank: int, done: Callable[[], None]
) -> None:
    """Store the copy of a fill when it is complete, and call `done` when the fill ends."""

    def ended() -> None:
        if stream.complete and rank and not request.cls.uncached:
            memory.store(
                StoredCopy(request.copy, request.obj, request.group, stream.issued, request.work, rank)
            )
        done()

    stream.listen(_ignore, ended)


def fill_work(world: Environment, memory: RankedMemory, request: CacheRequest) -> float:
    """Work of a fill in transfer-seconds: small if a stored copy that was not purged is only revalidated."""
    copy = memory.get(request.copy)
    return request.work * (REVALIDATION_COST if copy and world.is_current(copy) else 1.0)


class Parent(Server):
    """A parent cache: it stores what it fetches, and concurrent requests for a copy share one fetch."""

    def __init__(self, name: str, zone: str, width: float, memory: float, world: Environment) -> None:
        super().__init__(name, zone, width, world)
        self.memory = RankedMemory(memory)
        self._fetches: dict[str, FillInProgress] = {}

    def serve_copy(self, request: CacheRequest, min_issued: float, stream: Stream) -> None:
        """Serve a stored copy, or fetch it from the origin unless the request forbids that."""
        if not self.admit(request, stream):
            return
        copy = self.memory.get(request.copy)
        if copy and copy.issued >= min_issued and not request.cls.uncached:
            self.memory.touch(copy, 0)
            stream.start(copy.issued, False)
            return stream.finish()
        if request.only_if_cached:
            return stream.fail(Failure.LACKING)
        fetch = self._fetches.get(request.copy)
        if fetch is None or request.cls.uncached or not fetch.may_join(min_issued):
            if len(self._fetches) >= MAX_PARENT_FETCHES:
                return stream.fail(Failure.FULL)
            fetch = self._fetch(request, min_issued)
        _forward_in_place(fetch.stream, stream)

    def _fetch(self, request: CacheRequest, min_issued: float) -> FillInProgress:
        fetch = FillInProgress(Stream(), min_issued)
        key = request.operation if request.cls.uncached else request.copy
        self._fetches[key] = fetch

        def done() -> None:
            if self._fetches.get(key) is fetch:
                del self._fetches[key]

        store_when_complete(self.memory, request, fetch.stream, 1, done)
        self.track_stream(fetch.stream)
        self.world.fill(self, request, min_issued, fetch.stream, fill_work(self.world, self.memory, request))
        self.world.queue.after(
            PARENT_FETCH_TIMEOUT, lambda: None if fetch.stream.started else fetch.stream.fail(Failure.SLOW)
        )
        return fetch


def _forward_in_place(upstream: Stream, stream: Stream) -> None:
    """Forward a stream within one server, without a link."""

    def ended() -> None:
        if upstream.complete:
            stream.finish()
        else:
            broken = upstream.failure is Failure.BROKEN
            stream.fail(Failure.BROKEN if broken else Failure.ORIGIN)

    upstream.listen(lambda: stream.start(upstream.issued, True), ended)


class Origin(Server):
    """The origin: it has all objects, a limited number of workers and a bounded queue."""

    def __init__(self, name: str, zone: str, world: Environment) -> None:
        site = world.site
        super().__init__(name, zone, site.origin_width, world)
        self.slowdown = 1.0
        self._busy = 0
        self._queue: deque[tuple[CacheRequest, Stream]] = deque()
        self._queue_limit = int(site.origin_workers * site.origin_queue_seconds / site.origin_seconds)
        self._recent: deque[float] = deque()
        self._stops = 0

    def set_slowdown(self, factor: float) -> None:
        """Multiply service times and divide the link width by a factor."""
        self.slowdown = factor
        self.link.set_width(self.full_width / factor)

    def serve_copy(self, request: CacheRequest, min_issued: float, stream: Stream) -> None:
        """Queue a request until a worker is free."""
        self._watch_overload()
        if not self.admit(request, stream):
            return
        if len(self._queue) >= self._queue_limit:
            return stream.fail(Failure.FULL)
        self._queue.append((request, stream))
        self._next()

    def _next(self) -> None:
        while self._queue and self._busy < self.world.site.origin_workers:
            request, stream = self._queue.popleft()
            if stream.ended:
                continue
            self._busy += 1
            if request.cls.uncached:
                self.world.executed(request.operation)
            mean_seconds = self.world.site.origin_seconds * self.slowdown
            self.world.queue.after(
                mean_seconds * self.world.random.uniform(0.5, 1.5), partial(self._done, stream)
            )

    def _done(self, stream: Stream) -> None:
        self._busy -= 1
        stream.start(self.world.queue.now, True)
        stream.finish()
        self._next()

    def _watch_overload(self) -> None:
        site = self.world.site
        now = self.world.queue.now
        if (
            not site.origin_stops_on_overload
            or self._stops >= MAX_ORIGIN_STOPS
            or self.health is not Health.UP
        ):
            return
        self._recent.append(now)
        while self._recent[0] < now - ORIGIN_OVERLOAD_WINDOW:
            self._recent.popleft()
        capacity_per_s = site.origin_workers / (site.origin_seconds * self.slowdown)
        if len(self._recent) > ORIGIN_OVERLOAD_FACTOR * capacity_per_s * ORIGIN_OVERLOAD_WINDOW:
            self._stops += 1
            self._queue.clear()
            self.stop()
            self.world.origin_stopped()
            self.world.queue.after(ORIGIN_DOWNTIME, self._restart)

    def _restart(self) -> None:
        self.health = Health.UP
