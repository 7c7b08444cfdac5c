"""Router hosts: each passes events to its policy, executes the resulting actions and records both."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from brackenlane.lab.simulation.clock import ScheduledCall
from brackenlane.lab.simulation.edge import EdgeCache
from brackenlane.lab.simulation.record import AttemptEnded, AttemptSent, Disposition, Request, RequestAnswered
from brackenlane.lab.simulation.servers import CacheRequest, Reply, Server, min_issue_time
from brackenlane.lab.simulation.site import StatusReports
from brackenlane.lab.simulation.streams import Failure, Stream, relay
from brackenlane.routing.actions import Action, Cancel, Fail, Fetch, Reject, SetTimer
from brackenlane.routing.events import (
    Arrival,
    AttemptResult,
    CacheStatus,
    ClientDisconnected,
    Event,
    Outcome,
    ResponseStarted,
    TimerFired,
)

if TYPE_CHECKING:
    from brackenlane.lab.simulation.world import Policy, World

CLOCK_TOLERANCE = 1e-6  # seconds
# Result of an attempt and cache status in its answer, by the failure of its stream.
ATTEMPT_RESULTS = {
    Failure.FULL: (AttemptResult.FULL, CacheStatus.UNKNOWN),
    Failure.NO_PLACE: (AttemptResult.FULL, CacheStatus.FILL_LIMIT_REACHED),
    Failure.UNREACHABLE: (AttemptResult.UNREACHABLE, CacheStatus.UNKNOWN),
    Failure.LACKING: (AttemptResult.MISS, CacheStatus.UNKNOWN),
    Failure.ERROR: (AttemptResult.ERROR, CacheStatus.UNKNOWN),
    Failure.BROKEN: (AttemptResult.BROKEN, CacheStatus.UNKNOWN),
    Failure.SOURCE_REFUSED: (AttemptResult.FULL, CacheStatus.SOURCE_REFUSED),
    Failure.SOURCE_UNREACHABLE: (AttemptResult.FULL, CacheStatus.SOURCE_FAILED),
    Failure.SOURCE_LACKING: (AttemptResult.MISS, CacheStatus.SOURCE_MISS),
    Failure.SOURCE_FAILED: (AttemptResult.ERROR, CacheStatus.SOURCE_FAILED),
    Failure.SLOW: (AttemptResult.ERROR, CacheStatus.SOURCE_FAILED),
    Failure.ORIGIN: (AttemptResult.ERROR, CacheStatus.ORIGIN_FAILED),
    Failure.CANCELLED: (AttemptResult.CANCELLED, CacheStatus.UNKNOWN),
}
# The cache statuses that a site with StatusReports.HIT reports.
HIT_STATUSES = (CacheStatus.HIT, CacheStatus.FILLED, CacheStatus.JOINED, CacheStatus.STALE)


class OpenRequest:
    """A request that a router has received."""

    def __init__(
        self,
        request: Request,
        arrival: Arrival,
        work: float,
        on_answer: Callable[[Disposition, CacheStatus], None],
    ) -> None:
        """on_answer: called with the final answer and the status of the copy."""
        self.request = request
        self.arrival = arrival
        self.work = work
        self.on_answer = on_answer
        self.attempts: list[Attempt] = []
        self.finished = False
        self.streaming: Attempt | None = None


class Attempt:
    """One attempt and its reply."""

    def __init__(self, open_request: OpenRequest, number: int, server: str, sent_at: float) -> None:
        self.open_request = open_request
        self.number = number
        self.server = server
        self.sent_at = sent_at
        self.reply = Reply()
        self.timer: ScheduledCall | None = None
        self.finished = False


class RouterHost:
    """One router: its policy and its open requests."""

    def __init__(self, world: World, number: int, home: int, policy: Policy) -> None:
        self.world = world
        self.number = number
        self.policy = policy
        self.zone = world.site.zones[world.site.hubs + home]
        self.last_notice_at = 0.0  # delivery time of the last scheduled notice of a server's state
        self._requests: dict[str, OpenRequest] = {}

    def handle_request(
        self,
        request: Request,
        arrival: Arrival,
        work: float,
        on_answer: Callable[[Disposition, CacheStatus], None],
    ) -> None:
        """Receive a client's request; withdraw it if it has no final answer by its deadline."""
        self._requests[request.name] = OpenRequest(request, arrival, work, on_answer)
        self.world.record.requests[request.name] = request
        expires_at = request.deadline + self.world.site.answer_slack + CLOCK_TOLERANCE
        self.world.queue.at(expires_at, lambda: self._expire(self._requests[request.name]))
        self.deliver(arrival)

    def deliver(self, event: Event) -> None:
        """Pass an event to the policy and execute the actions it returns."""
        for action in self.policy.handle(event, self.world.queue.now):
            self._execute(action)

    def _execute(self, action: Action) -> None:
        match action:
            case Fetch():
                self._fetch(action)
            case Reject():
                self._answer(self._requests[action.request_id], Disposition.REJECTED, CacheStatus.UNKNOWN)
            case Fail():
                self._answer(self._requests[action.request_id], Disposition.FAILED, CacheStatus.UNKNOWN)
            case Cancel():
                self._cancel(self._requests[action.request_id].attempts[action.attempt])
            case SetTimer():
                at = max(action.at, self.world.queue.now + self.world.site.tick)
                self.world.queue.at(at, lambda: self.deliver(TimerFired(action.token)))

    def _fetch(self, action: Fetch) -> None:
        world = self.world
        now = world.queue.now
        open_request = self._requests[action.request_id]
        attempt = Attempt(open_request, len(open_request.attempts), action.server, now)
        open_request.attempts.append(attempt)
        world.record.sent.append(
            AttemptSent(
                action.request_id,
                attempt.number,
                self.number,
                action.server,
                action.source,
                now,
                open_request.finished,
            )
        )
        attempt.reply.listen(lambda: self._started(attempt), lambda: self._replied(attempt))
        if open_request.finished or attempt.number >= world.site.max_attempts:
            world.queue.after(0.0, lambda: self._end(attempt, AttemptResult.NEVER_SENT))
            return
        remaining_time = open_request.request.deadline - now
        timeout = min(action.timeout, remaining_time) if action.timeout else remaining_time
        attempt.timer = world.queue.after(max(0.0, timeout), lambda: self._time_out(attempt))
        server = world.server(action.server)
        if server is None:
            world.queue.after(
                world.site.connect_timeout, lambda: self._end(attempt, AttemptResult.UNREACHABLE)
            )
            return
        cache_request = self._cache_request(open_request, action)
        world.queue.after(
            world.latency(self.zone, server), lambda: self._deliver_attempt(server, cache_request, attempt)
        )

    def _cache_request(self, open_request: OpenRequest, action: Fetch) -> CacheRequest:
        arrival = open_request.arrival
        return CacheRequest(
            open_request.request.operation,
            self.number,
            open_request.request.cls,
            arrival.cache_key,
            arrival.obj,
            arrival.group,
            open_request.work,
            action.source,
            action.retention_rank,
            action.max_age,
            action.may_join_fill and self.world.site.may_join_fills,
            action.revalidate,
            action.only_if_cached,
        )

    def _deliver_attempt(self, server: Server, cache_request: CacheRequest, attempt: Attempt) -> None:
        if attempt.finished:
            return
        if isinstance(server, EdgeCache):
            return server.handle_request(cache_request, attempt.reply)
        self._request_directly(server, cache_request, attempt.reply)

    def _request_directly(self, server: Server, cache_request: CacheRequest, reply: Reply) -> None:
        """Request a copy directly from a parent or the origin, over the location's link."""
        upstream = Stream()
        links = [server.link, self.world.location_links[self.zone]]
        server.track_stream(reply)
        latency = self.world.latency(self.zone, server)
        relay(self.world.queue, upstream, reply, links, cache_request.work, 1.0, latency)

        def started() -> None:
            from_origin = upstream.from_origin and server is not self.world.origin
            reply.cache_status = CacheStatus.FILLED_BY_ORIGIN if from_origin else CacheStatus.HIT

        upstream.listen(started, lambda: None)
        server.serve_copy(cache_request, min_issue_time(cache_request, self.world.queue.now), upstream)

    def _started(self, attempt: Attempt) -> None:
        """Commit a streamed answer to the client at its first byte: no timeout or retry after that."""
        open_request = attempt.open_request
        attempt.reply.started_at = self.world.queue.now
        if attempt.finished or open_request.finished or not self.world.is_streamed(open_request.request.cls):
            return
        if open_request.streaming is None:
            open_request.streaming = attempt
            if attempt.timer:
                attempt.timer.cancel()
            wait = self.world.queue.now - attempt.sent_at
            self.deliver(ResponseStarted(open_request.request.name, attempt.number, attempt.server, wait))

    def _replied(self, attempt: Attempt) -> None:
        if attempt.finished:
            return
        if attempt.reply.complete:
            return self._end(attempt, AttemptResult.OK, attempt.reply.cache_status, attempt.reply.issued)
        result, cache_status = ATTEMPT_RESULTS[attempt.reply.failure or Failure.BROKEN]
        self._end(
            attempt,
            result,
            cache_status if cache_status is not CacheStatus.UNKNOWN else attempt.reply.cache_status,
        )

    def _time_out(self, attempt: Attempt) -> None:
        if not attempt.finished and attempt.open_request.streaming is not attempt:
            self._end(attempt, AttemptResult.TIMEOUT)

    def _cancel(self, attempt: Attempt) -> None:
        if not attempt.finished and attempt.open_request.streaming is not attempt:
            self.world.queue.after(0.0, lambda: self._end(attempt, AttemptResult.CANCELLED))

    def _end(
        self,
        attempt: Attempt,
        result: AttemptResult,
        cache_status: CacheStatus = CacheStatus.UNKNOWN,
        issued: float = 0.0,
    ) -> None:
        if attempt.finished:
            return
        attempt.finished = True
        if attempt.timer:
            attempt.timer.cancel()
        attempt.reply.fail(Failure.CANCELLED)
        open_request = attempt.open_request
        now = self.world.queue.now
        name = open_request.request.name
        self.world.record.ended.append(AttemptEnded(name, attempt.number, result, cache_status, issued, now))
        if not open_request.finished and (result is AttemptResult.OK or open_request.streaming is attempt):
            self._answer(
                open_request,
                Disposition.SERVED if result is AttemptResult.OK else Disposition.FAILED,
                cache_status,
            )
        self.deliver(self._outcome(attempt, result, cache_status))

    def _outcome(self, attempt: Attempt, result: AttemptResult, cache_status: CacheStatus) -> Outcome:
        site = self.world.site
        open_request = attempt.open_request
        has_size = site.sizes_seen and result is AttemptResult.OK
        has_first_byte = site.status_reports is StatusReports.ALL and cache_status in (
            CacheStatus.FILLED,
            CacheStatus.FILLED_BY_ORIGIN,
        )
        return Outcome(
            open_request.request.name,
            attempt.number,
            attempt.server,
            result,
            self.world.queue.now - attempt.sent_at,
            open_request.finished,
            reported_status(site.status_reports, cache_status, result),
            first_byte=self._first_byte(attempt) if has_first_byte else 0.0,
            report=self.world.reports.latest(attempt.server),
            size_kb=open_request.work * site.pace_kb_per_s if has_size else 0.0,
        )

    def _first_byte(self, attempt: Attempt) -> float:
        """Time to the first byte, reported as the cache's own measurement from its request to the source."""
        return max(0.0, attempt.reply.started_at - attempt.sent_at)

    def _answer(self, open_request: OpenRequest, disposition: Disposition, cache_status: CacheStatus) -> None:
        if open_request.finished:
            return
        open_request.finished = True
        self.world.record.answered.append(
            RequestAnswered(open_request.request.name, disposition, self.world.queue.now)
        )
        open_request.on_answer(disposition, cache_status)

    def _expire(self, open_request: OpenRequest) -> None:
        if open_request.finished or open_request.streaming:
            return
        self.world.record.overdue.append(open_request.request.name)
        open_request.finished = True
        open_request.on_answer(Disposition.FAILED, CacheStatus.UNKNOWN)
        self.deliver(ClientDisconnected(open_request.request.name))


def reported_status(
    reporting: StatusReports, cache_status: CacheStatus, result: AttemptResult
) -> CacheStatus:
    """Reduce a cache status to what the site reports to its routers."""
    if reporting is StatusReports.ALL:
        return cache_status
    if reporting is StatusReports.SILENT:
        return CacheStatus.UNKNOWN
    if cache_status is CacheStatus.FILLED_BY_ORIGIN:
        return CacheStatus.FILLED
    return (
        cache_status
        if cache_status in HIT_STATUSES and result in (AttemptResult.OK, AttemptResult.MISS)
        else CacheStatus.UNKNOWN
    )
