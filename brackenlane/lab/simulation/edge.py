"""Edge caches: limited concurrency of requests and fills, a ranked memory, and one outgoing link."""

from __future__ import annotations

from collections import deque

from brackenlane.lab.simulation.memory import RankedMemory, StoredCopy
from brackenlane.lab.simulation.servers import (
    CacheRequest,
    Environment,
    FillInProgress,
    Reply,
    Server,
    fill_work,
    min_issue_time,
    store_when_complete,
)
from brackenlane.lab.simulation.streams import Failure, Stream, complete_stream, relay
from brackenlane.routing.events import CacheStatus

# Age from which a hit may revalidate the copy in the background, as a share of the freshness lifetime.
REVALIDATE_FROM = 0.8
MIN_ISSUE_STEP = 1e-6  # seconds by which a revalidated copy must be newer than the stored one
HIT_RATIO_WEIGHT = 1 / 32  # weight of the latest answer in the moving average of hits
# How a failure at the source is reported to the requests that wait for the fill.
SOURCE_FAILURES = {
    Failure.FULL: Failure.SOURCE_REFUSED,
    Failure.UNREACHABLE: Failure.SOURCE_UNREACHABLE,
    Failure.LACKING: Failure.SOURCE_LACKING,
    Failure.ERROR: Failure.SOURCE_FAILED,
    Failure.BROKEN: Failure.SOURCE_FAILED,
}


class EdgeCache(Server):
    """An edge cache that serves routers, and other caches of its location or beyond (siblings)."""

    def __init__(self, name: str, zone: str, width: float, memory: float, world: Environment) -> None:
        super().__init__(name, zone, width, world)
        self.memory = RankedMemory(memory)
        self.slots = max(2, int(width * world.site.slots_per_width))
        self.recent_hit_ratio = 0.5
        self._active: dict[Reply, None] = {}
        self._waiting: deque[tuple[CacheRequest, Reply]] = deque()
        self._fills: dict[FillInProgress, str] = {}

    @property
    def inflight(self) -> int:
        """Number of requests in service or queued."""
        return len(self._active) + len(self._waiting)

    def stop(self) -> None:
        """Stop the process; queued requests are lost."""
        self._waiting.clear()
        super().stop()

    def handle_request(self, request: CacheRequest, reply: Reply) -> None:
        """Serve one attempt of a router, queue it, or refuse it if the queue is full."""
        if not self.admit(request, reply):
            return
        if len(self._active) < self.slots:
            self._begin(request, reply)
        elif len(self._waiting) < self.slots:
            self._waiting.append((request, reply))
        else:
            reply.fail(Failure.FULL)

    def serve_copy(self, request: CacheRequest, min_issued: float, stream: Stream) -> None:
        """Serve a sibling cache from a stored copy or a fill in progress; never start a fill."""
        if not self.admit(request, stream):
            return
        copy = self.memory.get(request.copy)
        fill = self._joinable(request, min_issued)
        if copy and copy.issued >= min_issued:
            stream.start(copy.issued, False)
            stream.finish()
        elif fill:
            relay(self.world.queue, fill.stream, stream, [self.link], request.work, self.world.site.fill_pace)
        else:
            stream.fail(Failure.LACKING)

    def _begin(self, request: CacheRequest, reply: Reply) -> None:
        self._active[reply] = None
        reply.listen(lambda: None, lambda: self._leave(reply))
        self._look_up(request, reply)

    def _leave(self, reply: Reply) -> None:
        self._active.pop(reply, None)
        if reply.complete:
            hit = reply.cache_status in (CacheStatus.HIT, CacheStatus.STALE)
            self.recent_hit_ratio += (hit - self.recent_hit_ratio) * HIT_RATIO_WEIGHT
        while self._waiting and len(self._active) < self.slots:
            request, waiting = self._waiting.popleft()
            if not waiting.ended:
                self._begin(request, waiting)

    def _look_up(self, request: CacheRequest, reply: Reply) -> None:
        now = self.world.queue.now
        min_issued = min_issue_time(request, now)
        copy = None if request.cls.uncached else self.memory.get(request.copy)
        if copy and copy.issued >= min_issued:
            return self._hit(request, reply, copy, now - copy.issued)
        fill = self._joinable(request, min_issued)
        if request.source == self.name:
            reply.cache_status = CacheStatus.JOINED if fill else CacheStatus.UNKNOWN
            return reply.fail(Failure.LACKING)
        if fill and request.join:
            reply.cache_status = CacheStatus.JOINED
            return self._deliver(fill, request, reply)
        if len(self._fills) >= self.world.site.fills_per_cache:
            return reply.fail(Failure.NO_PLACE)
        reply.cache_status = CacheStatus.FILLED
        self._deliver(self._fill(request, min_issued), request, reply)

    def _hit(self, request: CacheRequest, reply: Reply, copy: StoredCopy, age: float) -> None:
        self.memory.touch(copy, request.keep)
        freshness_lifetime = request.cls.fresh_for
        reply.cache_status = (
            CacheStatus.STALE if freshness_lifetime and age > freshness_lifetime else CacheStatus.HIT
        )
        relay(self.world.queue, complete_stream(copy.issued), reply, [self.link], request.work, 1.0)
        is_ageing = (
            request.revalidate
            and freshness_lifetime
            and age > REVALIDATE_FROM * freshness_lifetime
            and request.source != self.name
        )
        has_free_fill = len(self._fills) < self.world.site.fills_per_cache
        if is_ageing and has_free_fill and request.copy not in self._fills.values():
            self._fill(request, copy.issued + MIN_ISSUE_STEP)

    def _joinable(self, request: CacheRequest, min_issued: float) -> FillInProgress | None:
        if request.cls.uncached:
            return None
        fills = (fill for fill, name in self._fills.items() if name == request.copy)
        return next((fill for fill in fills if fill.may_join(min_issued)), None)

    def _deliver(self, fill: FillInProgress, request: CacheRequest, reply: Reply) -> None:
        def started() -> None:
            if fill.stream.from_origin and reply.cache_status is CacheStatus.FILLED:
                reply.cache_status = CacheStatus.FILLED_BY_ORIGIN

        fill.stream.listen(started, lambda: None)
        relay(self.world.queue, fill.stream, reply, [self.link], request.work, 1.0)
        reply.listen(lambda: None, lambda: self._abandon(fill))

    def _abandon(self, fill: FillInProgress) -> None:
        if self.world.site.abort_fill and not fill.stream.consumers and not fill.stream.ended:
            fill.stream.fail(Failure.CANCELLED)

    def _fill(self, request: CacheRequest, min_issued: float) -> FillInProgress:
        fill = FillInProgress(Stream(), min_issued)
        self._fills[fill] = request.copy
        store_when_complete(self.memory, request, fill.stream, request.keep, lambda: self._done(fill))
        self.track_stream(fill.stream)
        arriving = Stream()
        work = fill_work(self.world, self.memory, request)
        _forward_from_source(arriving, fill.stream)
        self.world.fill(self, request, min_issued, arriving, work)
        self.world.queue.after(
            self.world.site.fill_timeout,
            lambda: None if fill.stream.started else fill.stream.fail(Failure.SLOW),
        )
        return fill

    def _done(self, fill: FillInProgress) -> None:
        self._fills.pop(fill, None)


def _forward_from_source(arriving: Stream, stream: Stream) -> None:
    """Forward a stream from a source, with its failures translated to failures of a source."""

    def ended() -> None:
        if arriving.failure:
            stream.fail(SOURCE_FAILURES.get(arriving.failure, arriving.failure))
        else:
            stream.finish()

    def dropped() -> None:
        if not arriving.ended:
            arriving.fail(Failure.CANCELLED)

    arriving.listen(lambda: stream.start(arriving.issued, arriving.from_origin), ended)
    stream.listen(lambda: None, dropped)
