"""What edge caches, hub parents and the origin have in common, and the hub parents and the origin."""

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

FAST_ERROR_DELAY = 0.003  # seconds until a server that fails a request says so
WARM_UP_STEP = 0.5  # seconds between two steps of a cold server's width
REVALIDATION_COST = 0.05  # part of its bytes that a copy costs that is only too old
MAX_PARENT_FETCHES = 60  # places for fetches at a parent
PARENT_FETCH_TIMEOUT = 4.0
ORIGIN_OVERLOAD_WINDOW = 3.0  # seconds of overload after which the origin stops
ORIGIN_OVERLOAD_FACTOR = 2.5
ORIGIN_DOWNTIME = 5.0
MAX_ORIGIN_STOPS = 2  # a day, at most


class Health(Enum):
    """What a server does with a request."""

    UP = "up"
    HUNG = "hung"  # takes it and never answers
    DOWN = "down"  # refuses the connection


@dataclass(frozen=True, slots=True)
class CacheRequest:
    """A request as it reaches a server."""

    operation: str
    router: int
    cls: RequestClass
    copy: str
    obj: str
    group: int
    work: float  # transfer-seconds
    source: str
    keep: int
    max_age: float
    join: bool
    revalidate: bool
    only_if_cached: bool


class Reply(Stream):
    """The answer to one attempt, and how it came about."""

    def __init__(self) -> None:
        super().__init__()
        self.cache_status = CacheStatus.UNKNOWN
        self.started_at = 0.0


class Environment(Protocol):
    """What a server needs of the world around it."""

    site: Site
    queue: EventQueue
    random: random.Random

    def is_current(self, copy: StoredCopy) -> bool:
        """Whether nothing newer than the copy was purged."""

    def executed(self, operation: str) -> None:
        """The origin ran a write."""

    def origin_stopped(self) -> None:
        """The origin was overloaded and stops for some seconds."""

    def mean_work(self, cls: RequestClass) -> float:
        """The mean sending time of a class."""

    def fill(
        self, requester: Server, request: CacheRequest, min_issued: float, downstream: Stream, work: float
    ) -> None:
        """Get a copy from the source that an ask names."""

    def record_cold_load(self, server: Server, router: int, work: float) -> None:
        """Work reached a server that started lately."""


def min_issue_time(request: CacheRequest, now: float) -> float:
    """The moment before which no copy may have left the origin."""
    cls = request.cls
    if cls.fresh_for:
        return now - min(request.max_age or cls.fresh_for, cls.fresh_for + cls.grace)
    return now - request.max_age if request.max_age else 0.0


class Server:
    """A link out, a state of health, and a cold start."""

    def __init__(self, name: str, zone: str, width: float, world: Environment) -> None:
        self.name = name
        self.zone = zone
        self.full_width = width
        self.world = world
        self.link = FairLink(width)
        self.health = Health.UP
        self.error_share = 0.0
        self.cold: ColdCapacity | None = None
        self.memory = RankedMemory(0.0)
        self.open_streams: dict[Stream, None] = {}  # that end when the server does

    def stop(self) -> None:
        """The process ends and what it held is lost."""
        self.health = Health.DOWN
        self.memory.clear()
        while self.open_streams:
            next(iter(self.open_streams)).fail(Failure.BROKEN)

    def start_cold(self, cold: ColdCapacity) -> None:
        """The process starts, empty."""
        self.health = Health.UP
        self.cold = cold
        self.error_share = 0.0
        self._warm()

    def _warm(self) -> None:
        share = self.cold.share(self.world.queue.now) if self.cold else 1.0
        self.link.set_width(self.full_width * share)
        if share < 1 and self.health is not Health.DOWN:
            self.world.queue.after(WARM_UP_STEP, self._warm)

    def track_stream(self, stream: Stream) -> None:
        """Break off a stream if this server stops."""
        self.open_streams[stream] = None
        stream.listen(_nothing, lambda: self._untrack_stream(stream))

    def _untrack_stream(self, stream: Stream) -> None:
        self.open_streams.pop(stream, None)

    def admit(self, request: CacheRequest, stream: Stream) -> bool:
        """Whether a request is to be worked on; if not, how it ends is settled."""
        if self.cold and self.health is not Health.DOWN:
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
        """Be the source of a fill; the stream holds the bytes as they are here, before the link."""
        raise NotImplementedError


def _nothing() -> None:
    """No callback."""


@dataclass(slots=True, eq=False)
class Fetch:
    """A fill or fetch under way."""

    stream: Stream
    min_issued: float

    def may_join(self, min_issued: float) -> bool:
        """Whether what comes will surely do."""
        return (self.stream.issued if self.stream.started else self.min_issued) >= min_issued


def store_when_complete(
    memory: RankedMemory, request: CacheRequest, stream: Stream, rank: int, done: Callable[[], None]
) -> None:
    """Keep what a fill brings once it is whole, and call back at its end."""

    def ended() -> None:
        if stream.complete and rank and not request.cls.uncached:
            memory.store(
                StoredCopy(request.copy, request.obj, request.group, stream.issued, request.work, rank)
            )
        done()

    stream.listen(_nothing, ended)


def fill_work(world: Environment, memory: RankedMemory, request: CacheRequest) -> float:
    """The work of a fill: little where a copy that was not purged only has to be renewed."""
    copy = memory.get(request.copy)
    return request.work * (REVALIDATION_COST if copy and world.is_current(copy) else 1.0)


class Parent(Server):
    """A hub's cache: it keeps what it fetches, and fetches an object once for all who wait."""

    def __init__(self, name: str, zone: str, width: float, memory: float, world: Environment) -> None:
        super().__init__(name, zone, width, world)
        self.memory = RankedMemory(memory)
        self._fetches: dict[str, Fetch] = {}

    def serve_copy(self, request: CacheRequest, min_issued: float, stream: Stream) -> None:
        """Give a copy, fetched from the origin if need be."""
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

    def _fetch(self, request: CacheRequest, min_issued: float) -> Fetch:
        fetch = Fetch(Stream(), min_issued)
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
    """Pass on a stream as it is at one place."""

    def ended() -> None:
        if upstream.complete:
            stream.finish()
        else:
            broken = upstream.failure is Failure.BROKEN
            stream.fail(Failure.BROKEN if broken else Failure.ORIGIN)

    upstream.listen(lambda: stream.start(upstream.issued, True), ended)


class Origin(Server):
    """It has all objects, few workers and a queue."""

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
        """Work so many times slower from now on."""
        self.slowdown = factor
        self.link.set_width(self.full_width / factor)

    def serve_copy(self, request: CacheRequest, min_issued: float, stream: Stream) -> None:
        """Work on a request when a worker is free."""
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
