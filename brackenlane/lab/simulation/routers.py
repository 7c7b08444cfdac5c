"""Hosts of routers: they hand events to a policy, carry out its actions and record both."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from brackenlane.lab.simulation.clock import ScheduledCall
from brackenlane.lab.simulation.edge import EdgeCache
from brackenlane.lab.simulation.record import Answered, Disposition, Ended, Request, Sent
from brackenlane.lab.simulation.servers import CacheRequest, Reply, Server, oldest_allowed
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

SLACK = 1e-6  # of the clock
# How an attempt ends that failed so, and the note that a cache gives.
DISPOSITIONS = {
    Failure.FULL: (AttemptResult.FULL, CacheStatus.UNKNOWN),
    Failure.NO_PLACE: (AttemptResult.FULL, CacheStatus.NO_PLACE),
    Failure.UNREACHABLE: (AttemptResult.UNREACHABLE, CacheStatus.UNKNOWN),
    Failure.LACKING: (AttemptResult.MISS, CacheStatus.UNKNOWN),
    Failure.ERROR: (AttemptResult.ERROR, CacheStatus.UNKNOWN),
    Failure.BROKEN: (AttemptResult.BROKEN, CacheStatus.UNKNOWN),
    Failure.SOURCE_REFUSED: (AttemptResult.FULL, CacheStatus.SOURCE_REFUSED),
    Failure.SOURCE_UNREACHABLE: (AttemptResult.FULL, CacheStatus.SOURCE_FAILED),
    Failure.SOURCE_LACKING: (AttemptResult.MISS, CacheStatus.SOURCE_LACKS),
    Failure.SOURCE_FAILED: (AttemptResult.ERROR, CacheStatus.SOURCE_FAILED),
    Failure.SLOW: (AttemptResult.ERROR, CacheStatus.SOURCE_FAILED),
    Failure.ORIGIN: (AttemptResult.ERROR, CacheStatus.ORIGIN_FAILED),
    Failure.CANCELLED: (AttemptResult.CANCELLED, CacheStatus.UNKNOWN),
}
REPORTED_OF_HITS = (CacheStatus.HIT, CacheStatus.FILLED, CacheStatus.JOINED, CacheStatus.STALE)


class OpenRequest:
    """A request that a router has taken."""

    def __init__(
        self,
        request: Request,
        send_request: Arrival,
        work: float,
        ended: Callable[[Disposition, CacheStatus], None],
    ) -> None:
        """ended: told of the final answer."""
        self.request = request
        self.arrival = send_request
        self.work = work
        self.ended = ended
        self.attempts: list[Attempt] = []
        self.over = False
        self.streaming: Attempt | None = None


class Attempt:
    """One attempt and its answer."""

    def __init__(self, opened: OpenRequest, number: int, server: str, sent_at: float) -> None:
        self.opened = opened
        self.number = number
        self.server = server
        self.sent_at = sent_at
        self.reply = Reply()
        self.timer: ScheduledCall | None = None
        self.over = False


class RouterHost:
    """One router."""

    def __init__(self, world: World, number: int, home: int, policy: Policy) -> None:
        self.world = world
        self.number = number
        self.policy = policy
        self.zone = world.site.zones[world.site.hubs + home]
        self.on_list = 0.0  # when the latest change of the list that is on its way is heard
        self._requests: dict[str, OpenRequest] = {}

    def take(
        self,
        request: Request,
        send_request: Arrival,
        work: float,
        ended: Callable[[Disposition, CacheStatus], None],
    ) -> None:
        """A client's try."""
        self._requests[request.name] = OpenRequest(request, send_request, work, ended)
        self.world.record.requests[request.name] = request
        latest = request.deadline + self.world.site.answer_slack + SLACK
        self.world.queue.at(latest, lambda: self._overdue(self._requests[request.name]))
        self.deliver(send_request)

    def deliver(self, event: Event) -> None:
        """Tell the policy of an event and carry out what it wants."""
        for action in self.policy.handle(event, self.world.queue.now):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
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
        opened = self._requests[action.request_id]
        attempt = Attempt(opened, len(opened.attempts), action.server, now)
        opened.attempts.append(attempt)
        world.record.sent.append(
            Sent(
                action.request_id, attempt.number, self.number, action.server, action.source, now, opened.over
            )
        )
        attempt.reply.listen(lambda: self._started(attempt), lambda: self._replied(attempt))
        if opened.over or attempt.number >= world.site.max_attempts:
            world.queue.after(0.0, lambda: self._end(attempt, AttemptResult.NEVER_SENT))
            return
        left = opened.request.deadline - now
        timeout = min(action.timeout, left) if action.timeout else left
        attempt.timer = world.queue.after(max(0.0, timeout), lambda: self._time_out(attempt))
        server = world.server(action.server)
        if server is None:
            world.queue.after(
                world.site.connect_timeout, lambda: self._end(attempt, AttemptResult.UNREACHABLE)
            )
            return
        send_request = self._send_request(opened, action)
        world.queue.after(
            world.latency(self.zone, server), lambda: self._reach(server, send_request, attempt)
        )

    def _send_request(self, opened: OpenRequest, action: Fetch) -> CacheRequest:
        send_request = opened.arrival
        return CacheRequest(
            opened.request.operation,
            self.number,
            opened.request.cls,
            send_request.cache_key,
            send_request.obj,
            send_request.group,
            opened.work,
            action.source,
            action.keep,
            action.max_age,
            action.join and self.world.site.may_join_fills,
            action.revalidate,
            action.only_if_cached,
        )

    def _reach(self, server: Server, send_request: CacheRequest, attempt: Attempt) -> None:
        if attempt.over:
            return
        if isinstance(server, EdgeCache):
            return server.take(send_request, attempt.reply)
        self._direct(server, send_request, attempt.reply)

    def _direct(self, server: Server, send_request: CacheRequest, reply: Reply) -> None:
        """Straight to a parent or the origin, over the location's link."""
        upstream = Stream()
        links = [server.link, self.world.location_links[self.zone]]
        server.carry(reply)
        latency = self.world.latency(self.zone, server)
        relay(self.world.queue, upstream, reply, links, send_request.work, 1.0, latency)

        def started() -> None:
            fetched = upstream.from_origin and server is not self.world.origin
            reply.cache_status = CacheStatus.FILLED_BY_ORIGIN if fetched else CacheStatus.HIT

        upstream.listen(started, lambda: None)
        server.provide(send_request, oldest_allowed(send_request, self.world.queue.now), upstream)

    def _started(self, attempt: Attempt) -> None:
        """A streamed answer belongs to the client from its first byte on."""
        opened = attempt.opened
        attempt.reply.started_at = self.world.queue.now
        if attempt.over or opened.over or not self.world.is_streamed(opened.request.cls):
            return
        if opened.streaming is None:
            opened.streaming = attempt
            if attempt.timer:
                attempt.timer.cancel()
            wait = self.world.queue.now - attempt.sent_at
            self.deliver(ResponseStarted(opened.request.name, attempt.number, attempt.server, wait))

    def _replied(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        if attempt.reply.complete:
            return self._end(attempt, AttemptResult.OK, attempt.reply.cache_status, attempt.reply.issued)
        verdict, cache_status = DISPOSITIONS[attempt.reply.failure or Failure.BROKEN]
        self._end(
            attempt,
            verdict,
            cache_status if cache_status is not CacheStatus.UNKNOWN else attempt.reply.cache_status,
        )

    def _time_out(self, attempt: Attempt) -> None:
        if not attempt.over and attempt.opened.streaming is not attempt:
            self._end(attempt, AttemptResult.TIMEOUT)

    def _cancel(self, attempt: Attempt) -> None:
        if not attempt.over and attempt.opened.streaming is not attempt:
            self.world.queue.after(0.0, lambda: self._end(attempt, AttemptResult.CANCELLED))

    def _end(
        self,
        attempt: Attempt,
        verdict: AttemptResult,
        cache_status: CacheStatus = CacheStatus.UNKNOWN,
        issued: float = 0.0,
    ) -> None:
        if attempt.over:
            return
        attempt.over = True
        if attempt.timer:
            attempt.timer.cancel()
        attempt.reply.fail(Failure.CANCELLED)
        opened = attempt.opened
        now = self.world.queue.now
        name = opened.request.name
        self.world.record.ended.append(Ended(name, attempt.number, verdict, cache_status, issued, now))
        if not opened.over and (verdict is AttemptResult.OK or opened.streaming is attempt):
            self._answer(
                opened,
                Disposition.SERVED if verdict is AttemptResult.OK else Disposition.FAILED,
                cache_status,
            )
        self.deliver(self._outcome(attempt, verdict, cache_status))

    def _outcome(self, attempt: Attempt, verdict: AttemptResult, cache_status: CacheStatus) -> Outcome:
        site = self.world.site
        opened = attempt.opened
        seen = site.sizes_seen and verdict is AttemptResult.OK
        filled = site.status_reports is StatusReports.ALL and cache_status in (
            CacheStatus.FILLED,
            CacheStatus.FILLED_BY_ORIGIN,
        )
        return Outcome(
            opened.request.name,
            attempt.number,
            attempt.server,
            verdict,
            self.world.queue.now - attempt.sent_at,
            opened.over,
            reported_status(site.status_reports, cache_status, verdict),
            first_byte=self._first_byte(attempt) if filled else 0.0,
            report=self.world.reports.latest(attempt.server),
            size_kb=opened.work * site.pace_kb_per_s if seen else 0.0,
        )

    def _first_byte(self, attempt: Attempt) -> float:
        """Until the source's first byte, as the cache counts it: from when it asked the source."""
        return max(0.0, attempt.reply.started_at - attempt.sent_at)

    def _answer(self, opened: OpenRequest, disposition: Disposition, cache_status: CacheStatus) -> None:
        if opened.over:
            return
        opened.over = True
        self.world.record.answered.append(Answered(opened.request.name, disposition, self.world.queue.now))
        opened.ended(disposition, cache_status)

    def _overdue(self, opened: OpenRequest) -> None:
        if opened.over or opened.streaming:
            return
        self.world.record.overdue.append(opened.request.name)
        opened.over = True
        opened.ended(Disposition.FAILED, CacheStatus.UNKNOWN)
        self.deliver(ClientDisconnected(opened.request.name))


def reported_status(
    reporting: StatusReports, cache_status: CacheStatus, verdict: AttemptResult
) -> CacheStatus:
    """What the router is told of how an answer came about."""
    if reporting is StatusReports.ALL:
        return cache_status
    if reporting is StatusReports.SILENT:
        return CacheStatus.UNKNOWN
    if cache_status is CacheStatus.FILLED_BY_ORIGIN:
        return CacheStatus.FILLED
    return (
        cache_status
        if cache_status in REPORTED_OF_HITS and verdict in (AttemptResult.OK, AttemptResult.MISS)
        else CacheStatus.UNKNOWN
    )
