"""All decisions of one router: events in, actions out (types: brackenlane.routing/interface.py).

Ordinary path: the edge cache by weighted rendezvous hash of the object, widened for hot ones; the source by
a draw from a geometric ladder of origin and hub parents. All else is an exception and says what it guards.
"""

from __future__ import annotations

import math
import random

from brackenlane.routing.actions import Action, Cancel, Fail, Fetch, Reject, Subscribe
from brackenlane.routing.attempts import HEADROOM, Attempt, Request, Route
from brackenlane.routing.bounded_load import below_bound_first
from brackenlane.routing.events import (
    Arrival,
    AttemptResult,
    CacheStatus,
    ClientDisconnected,
    Event,
    Membership,
    MembershipKind,
    Outcome,
    Purged,
    ResponseStarted,
    TimerFired,
)
from brackenlane.routing.fill_estimate import FillEstimate
from brackenlane.routing.fill_source import FEW, FillSourceDraw
from brackenlane.routing.latency import LatencyEstimate
from brackenlane.routing.members import Member, Role
from brackenlane.routing.origin_throttle import OriginThrottle
from brackenlane.routing.popularity import Popularity
from brackenlane.routing.purges import Purges
from brackenlane.routing.outlier_detection import EJECTION_SCORE, Failure, OutlierDetection
from brackenlane.routing.membership import ServerTable
from brackenlane.routing.retry_budget import RetryBudget
from brackenlane.routing.servers import UNCONTENDED_STRETCH, Server
from brackenlane.routing.timers import RouterTimers
from brackenlane.routing.settings import Idempotency, Scope, Settings
from brackenlane.routing.sizes import Sizes
from brackenlane.routing.slow_start_budget import SlowStartBudget
from brackenlane.routing.topology import Topology

WIDEST = 3  # caches that a hot object is spread over, at most
HOT = 1 / 8  # of a cache's link, wanted by one object: spread it over one cache more
SLOW_LASTS = 10.0  # seconds for which a parent late with what it holds is asked for whole fills only
MAX_REMEMBERED = 4000  # objects remembered, at most
WAITS = 0.5  # of its time that a fill waits for its source, at least, where more than a few share a link


class Router:
    """The decisions of one router."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.outlier_detection = OutlierDetection(settings.connect_timeout, self.random)
        self.classes = {c.name: c for c in settings.classes}
        # The time that fills may take, whatever the classes' order: the longest aim of what may be kept.
        self.latency_objective = max(
            (c.latency_objective for c in settings.classes if not c.uncached),
            default=settings.classes[0].latency_objective,
        )
        self.pending_requests: dict[str, Request] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.timers = RouterTimers()
        self.purges = Purges(settings.purge_propagation_time, settings.tick)
        self.popularity = Popularity(MAX_REMEMBERED)
        self.sizes = Sizes(settings.classes, settings.tick, MAX_REMEMBERED)
        self.latency = LatencyEstimate()
        self.origin_throttle = OriginThrottle()  # what may go to the origin, learned
        self.fill_source = FillSourceDraw(self.random)
        self.faults = 0.0  # share of errors where no source took part, learned
        self.retry_budget = RetryBudget()
        self.actions: list[Action] = []
        self.topology = Topology(settings)
        self.server_table = ServerTable(settings, self.topology, MAX_REMEMBERED)
        self.local_router_count = self.topology.local_router_count  # routers of this location
        self.hub_router_count = sum(peer_index.weight for peer_index in self.topology.peer_locations)
        self.slow_start_budget = SlowStartBudget(settings, self.topology, self.sizes, MAX_REMEMBERED)
        here = settings.locations.index(settings.location)
        known = settings.link_kb_per_s and settings.pace_kb_per_s and settings.link_kb_per_s[here]
        self.link = Server(Member("", "", weight=known / settings.pace_kb_per_s if known else math.inf))
        # A few may count a fill whole, to be sure; times nine, for all who share, it is a jam of its own.
        least_waiting = WAITS if self.local_router_count > FEW else 0.0
        self.fills = FillEstimate(settings.status_reporting, self.random, least_waiting)

    @property
    def servers(self) -> dict[str, Server]:
        """The servers on discovery's list that are not gone, by name."""
        return self.server_table.servers

    def handle(self, event: Event, now: float) -> list[Action]:
        """What to do about one event."""
        self.actions = []
        if self.server_table.router_started_at == -math.inf:
            self.server_table.router_started_at = now
        match event:
            case Arrival():
                self._arrive(event, now)
            case Outcome():
                self._outcome(event, now)
            case Membership():
                self._list(event)
            case ClientDisconnected():
                self._drop(event.request_id)
            case ResponseStarted():
                self.pending_requests.pop(
                    event.request_id, None
                )  # it is the client's now: nothing more may be sent
            case TimerFired():
                self._wake(event.token, now)
            case Purged():
                self.purges.add(event, now)
        return self.actions

    def _list(self, event: Membership) -> None:
        """Follow the list; a server that drains or is gone is left at once, a new start time is cold."""
        if self.settings.must_subscribe and event.kind in (
            MembershipKind.REMEMBERED,
            MembershipKind.REJECTED,
        ):
            self.actions.append(Subscribe())
        self.server_table.update(event)

    def _wake(self, token: int, now: float) -> None:
        """A deadline ends its request; an attempt overdue is a symptom, before any time-out."""
        target = self.timers.pop(token)
        request = self.pending_requests.get(target.request_id) if target else None
        if target is None or request is None:
            return
        name, number = target
        if number is None:
            return self._finish(request, now)
        attempt = self.attempts.get((name, number))
        if attempt is None:
            return
        if not attempt.overdue:
            attempt.overdue = True
            # Counted double: in a jam patience grows.
            self.latency.learn(2 * (now - attempt.sent) / request.span)
            self._late(attempt, now)
        if (
            self.latency.overloaded
            and not attempt.fill
            and now >= request.arrived_at + request.latency_objective
        ):
            return self._finish(request, now)  # late work keeps the links; a late fill leaves a copy at least
        # Not worth waiting for once its cache or source is out. A long answer alone is left to run.
        out = attempt.edge.ejected_until or (attempt.source and attempt.source.ejected_until)
        again = self.retry_budget.can_spend(1.0) and request.deadline - now > request.work
        if out and again and self.settings.may_cancel and request.sent < self.settings.max_attempts:
            self.actions.append(Cancel(name, number))
        else:
            self.actions.append(
                self.timers.set_overdue(name, number, now + request.cls.latency_objective / 2)
            )

    def _width(self, request: Request, now: float) -> int:
        """How many caches an object is spread over, by the aged work asked for it."""
        load = self.popularity.add(request.arrival.cache_key, request.work, now)
        link = sum(e.member.weight for e in self.server_table.edges) / max(1, len(self.server_table.edges))
        return 1 + min(WIDEST - 1, int(load / max(HOT * link, 1e-9)))

    def _edge(self, request: Request, now: float, source: Server | None) -> Server | None:
        """The edge cache of a request: drawn among the picks of its object, spilling over when crowded."""
        ranked = self.server_table.edges_in_order(request.arrival.cache_key)
        up = [e for e in ranked if self._usable(e, request, now)]
        if self.settings.may_bypass_caches and (not up or (request.full and source)):
            return source  # no edge cache is left, or none has a place for a fill: pass them by
        picks = up[: self._width(request, now) if not request.sent else 1]
        self.random.shuffle(picks)
        pool = [e for e in picks + up[len(picks) :] if e.member.server not in request.tried_servers] or picks
        # A cache that passes a request on to another costs a fill: not while these are slow.
        if not (self.settings.weights_known or self.latency.overloaded or self.origin_throttle.part(now) < 1):
            pool = below_bound_first(
                pool,
                self.server_table.edges,
                lambda e: self._crowd(e, self.local_router_count),
                lambda e: e.limit,
            )
        # Slow, silent or hot caches are passed over; if all are, the request is refused, not added to a jam.
        return next((e for e in pool if self._fits(e, self.local_router_count, request, now)), None)

    def _fits(self, server: Server, sharers: float, request: Request, now: float) -> bool:
        """Whether one transfer more ends in time, if the others who share have what this one usually has."""
        return self._crowd(server, sharers) + 1 <= self._transfer_capacity(server, request, now)

    def _transfer_capacity(self, server: Server, request: Request, now: float) -> float:
        """Transfers like this request's that may be on a server's link, if all have to end in time."""
        left = HEADROOM * (request.arrived_at + request.latency_objective - now)
        return server.limit * left / request.work

    def _crowd(self, server: Server, sharers: float) -> float:
        """Transfers on a link, ours and those of the others who share it."""
        return server.in_flight + (sharers - 1) * server.mean_in_flight

    def _source(self, request: Request, now: float) -> Server | None:
        """The fill source: the capped geometric draw over the origin and this hub's parents."""
        if not self._fits(self.link, self.local_router_count, request, now):
            return None

        candidates: list[Server] = []
        for step, ring in enumerate(self.server_table.parents_by_distance):
            sharers = self.settings.router_count if step else self.hub_router_count
            best = max((s.timeliness for s in ring if not s.ejected_until), default=1.0)
            # One whose fills come late, but not all, is never out for long, and one fill in flight at each
            # router is many at it: it is offered as often as its fills deserve, also if the others are full.
            candidates = candidates or [
                s
                for s in self.server_table.parents_in_order(request.arrival.obj, step)
                if self._usable(s, request, now)
                and self._fits(s, sharers, request, now)
                and (s.ejected_until or self.random.random() * best**2 < s.timeliness**2)
            ]
        origin = (
            self.server_table.origin
            if self.server_table.origin and self._usable(self.server_table.origin, request, now)
            else None
        )
        # Fills for which the parents have no room are not the origin's: it bears a part of them at most, and
        # every router would send it theirs at once. It stands in for parents that are out.
        full = not request.cls.uncached and any(
            not s.ejected_until and self._slow_start_capacity(s, now) > 0 for s in self.server_table.parents
        )
        if request.cls.uncached or not candidates:
            return None if full else origin or (candidates[-1] if candidates else None)
        return self.fill_source.draw(
            candidates,
            origin,
            request.cls.fresh_for > 0,
            max(map(len, self.server_table.parents_by_distance)),
        )

    def _usable(self, server: Server, request: Request, now: float) -> bool:
        """In, or out and due for a single trial; within its window and its cold budget."""
        # What sums of parts leave behind counts as nothing: a window of 1 would never open again.
        full = server.in_flight > max(server.window - 1, 1e-6)
        out = full or (server.ejected_until and (server.has_trial or now < server.ejected_until))
        return not out and self._slow_start_capacity(server, now) >= self._cold_cost(server, request)

    def _cold_cost(self, server: Server, request: Request) -> float:
        """What one request may cost a cold server: its class's mean sending time, or its own if more."""
        return max(
            self.sizes.means[request.cls.name], request.work if server.member.role is Role.PARENT else 0.0
        )

    def _slow_start_capacity(self, server: Server, now: float) -> float:
        """Work that may go to a server that started lately; infinite: it is warm."""
        return self.slow_start_budget.capacity(server, now)

    def _record_failure(self, server: Server, weight: float, now: float, crowded: bool = True) -> None:
        """Add to a server's failure score; one that fails of a crowd, too, may have fewer fills in flight."""
        if crowded and server.member.role is not Role.EDGE:
            server.halve_window(now, self.latency_objective)
        fallback = self.server_table.origin if server.member.role is Role.PARENT else None
        failure = Failure(weight, self.server_table.peers(server), fallback)
        self.outlier_detection.record_failure(server, failure, now)

    def _arrive(self, arrival: Arrival, now: float) -> None:
        cls = self.classes.get(arrival.cls) or self.settings.classes[0]
        pace = arrival.size_kb and self.settings.pace_kb_per_s
        work = self.sizes.work(cls.name, arrival.obj, arrival.size_kb / pace if pace else 0.0)
        request = self.pending_requests[arrival.request_id] = Request(
            arrival, cls, now, max(work, self.settings.tick)
        )
        self.retry_budget.earn()
        self.actions.append(self.timers.set_deadline(arrival.request_id, request.deadline))
        for pipe in (*self.server_table.edges, *self.server_table.parents, self.link):
            pipe.observe_load()
        self._attempt(request, now)

    def _attempt(self, request: Request, now: float) -> None:
        """Send an attempt, or finish the request if none can be in time."""
        again = request.sent > 0 and not request.cache_missed
        spent = again and (
            request.deadline - now < request.work or not self.retry_budget.can_spend(request.cost)
        )
        if spent or request.sent >= self.settings.max_attempts:
            return self._finish(request, now)
        source = self._source(request, now)
        edge = self._edge(request, now, source)
        # What a parent lacks it would fetch, so the origin's window decides and is judged.
        behind = self.server_table.origin if request.parent_missed and source else None
        if (
            edge is None
            or not self._may_send(request, edge.member, now)
            or (request.cache_missed and not source)
            or (behind and not self._usable(behind, request, now))
        ):
            return self._finish(request, now)
        route = self._route(request, edge, source, behind, now)
        if route is None:
            return self._finish(request, now)
        if again:
            self.retry_budget.spend(request.cost)
        self._charge(request, route, now)
        self._send(request, route, again, now)

    def _route(
        self, request: Request, edge: Server, source: Server | None, behind: Server | None, now: float
    ) -> Route | None:
        """Fetch at once or look first; nothing while the origin has to be spared.

        Under strain a request looks first, at the cache, then at the parent: the origin behind may be what is
        slow. But a write is kept nowhere, and a cold cache has little: every look there comes back. Of a
        group purged whole lately the parent has nothing either: a look there would only come back.
        """
        void = self.purges.is_group_void(request.arrival.group, now)
        part = self.origin_throttle.part(now)
        overloaded = (self.latency.overloaded or part < 1) and not request.cls.uncached
        # No more goes to the origin than it answers in time; writes, which run nowhere else, go first.
        if overloaded and (behind or (request.cache_missed and void)) and self.random.random() > part:
            return None
        warm = edge.member.role is Role.EDGE and self._slow_start_capacity(edge, now) == math.inf
        # A look that finds nothing must leave attempts for the fill.
        if overloaded and not request.cache_missed and warm and self.settings.max_attempts > 1:
            source = None
        look = overloaded and request.cache_missed and not behind and edge is not source and not void
        look = look and self.settings.max_attempts > 2
        held = look and source is not None and now > source.late_with_held_at + SLOW_LASTS
        return Route(edge, behind or source, source, held)

    def _charge(self, request: Request, route: Route, now: float) -> None:
        """Take what an attempt costs from the trials and cold budgets of the servers that it passes."""
        for server in route.servers:
            if server.ejected_until:
                server.has_trial = server in (route.edge, route.source)
            if self._slow_start_capacity(server, now) < math.inf:
                server.tokens.work -= self._cold_cost(server, request)

    def _open(self, request: Request, route: Route, now: float) -> None:
        """Record an attempt as in flight at its cache, its source and the link between."""
        edge, source = route.edge, route.source
        fill = (1 if request.cache_missed or edge is source else self.fills.expected(edge)) if source else 0.0
        sent = Attempt(route, now, fill)
        self.attempts[(request.arrival.request_id, request.sent)] = sent
        sent.load = 1 - self.fills.waiting_share * fill
        edge.in_flight += sent.load
        self.link.in_flight += fill
        sent.crowd = self._crowd(edge, self.local_router_count)
        sent.edge_used = (sent.crowd + 1) / max(
            self._transfer_capacity(edge, request, now), self.settings.tick
        )
        if source:
            source.in_flight += fill
            sent.queue = self._crowd(source, self.hub_router_count)
            sent.source_used = (sent.queue + 1) / max(
                self._transfer_capacity(source, request, now), self.settings.tick
            )
            request.tried_servers.append(edge.member.server)
        request.sent += 1
        request.in_flight += 1

    def _patience(self, request: Request, now: float) -> float:
        """Seconds until an attempt is overdue: past a usual wait, yet with time for another.

        The usual wait ends with the aim only where the request's work was told.
        """
        usual = request.span * min(self.latency.usual, 1 if request.arrival.size_kb else math.inf)
        return max(usual, request.arrived_at + request.latency_objective - now - request.work)

    def _send(self, request: Request, route: Route, again: bool, now: float) -> None:
        """Send a request on by its route; again: after an attempt that was no look."""
        self._open(request, route, now)
        patience, left, cls = self._patience(request, now), request.deadline - now, request.cls
        overdue_at = now + patience
        self.actions.append(self.timers.set_overdue(request.arrival.request_id, request.sent - 1, overdue_at))
        # What was asked for before ranks above what may be wanted once, and is not pushed out by it. Whoever
        # sees a part of a location's requests can't tell, and what it ranked high would never be pushed out.
        known = self.local_router_count < 2 and self.popularity.is_repeated(
            request.arrival.cache_key, request.work
        )
        named = route.asked or route.edge  # a parent fills only if told
        if route.edge is route.asked and self.server_table.origin:
            named = self.server_table.origin
        keyed = request.ran is not None and request.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        self.actions.append(
            Fetch(
                request.arrival.request_id,
                route.edge.member.server,
                left if self.settings.may_cancel else min(left, patience),
                named.member.server,
                0 if cls.uncached else 1 + known,
                self.purges.max_age(request.arrival, cls, now, again or not route.source),
                self.settings.may_join_fills,
                cls.fresh_for > 0,
                route.held,
                request.first_ran + cls.repeat_window if keyed else math.inf,
            )
        )

    def _may_send(self, request: Request, server: Member, now: float) -> bool:
        """Whether one attempt more may be in flight, and may run there."""
        if request.in_flight and not (
            self.settings.may_hedge and request.idempotency is not Idempotency.NON_IDEMPOTENT
        ):
            return False
        return request.may_run_at(server, now)

    def _outcome(self, event: Outcome, now: float) -> None:
        """Judge the servers of an attempt; then try again or end the request."""
        attempt = self.attempts.pop((event.request_id, event.attempt), None)
        request = self.pending_requests.get(event.request_id)
        if attempt:
            self._attribute_result(event, attempt, request, now)
        if request is None:
            return
        request.in_flight -= 1
        if event.final or event.result is AttemptResult.OK:
            return self._drop(event.request_id)
        if not event.result.is_proven_not_run and request.ran is None and attempt:
            request.ran, request.first_ran = attempt.edge.member, attempt.sent
        request.full = (
            event.result is AttemptResult.FULL
            and event.wait <= 2 * self.settings.tick
            and request.cache_missed
        )
        request.cache_missed = event.result is AttemptResult.MISS or request.full
        quick = min(1.0, event.wait / request.work)
        request.cost = {AttemptResult.ERROR: quick, AttemptResult.BROKEN: 0.25}.get(event.result, 1.0)
        request.parent_missed = request.cache_missed and bool(attempt and attempt.held)
        self._attempt(request, now)

    def _attribute_result(
        self, event: Outcome, attempt: Attempt, request: Request | None, now: float
    ) -> None:
        """Blame rightly: hits judge the edge cache, fills the source."""
        edge, source, result = attempt.edge, attempt.source, event.result
        edge.in_flight = max(0.0, edge.in_flight - attempt.load)
        if source:
            source.in_flight = max(0.0, source.in_flight - attempt.fill)
            self.link.in_flight = max(0.0, self.link.in_flight - attempt.fill)
        self.fills.observe_report(edge, event.report)
        if source is None:
            self.fills.observe_lookup(edge, result)
        if request and source and not attempt.held and not request.cls.uncached:
            self._upstream(event, request, source, now)
        if source is None or result is AttemptResult.OK:
            self.faults += ((result is AttemptResult.ERROR) - self.faults) / (64 if source else 16)
        filled = False
        if result is AttemptResult.OK:
            self.outlier_detection.record_success(edge, now)
            if request:
                self.latency.learn(event.wait / request.span)
            if source and source is not edge:
                if event.cache_status is CacheStatus.HIT and request:
                    source.tokens.work += self._cold_cost(source, request)  # it was not asked
                filled = self.fills.was_filled(event, attempt.fill)
                if filled:
                    self.outlier_detection.record_success(source, now)
                    if attempt.via and not attempt.overdue:
                        attempt.via.record_timely_fill()
                    timely = request and event.wait < HEADROOM * request.latency_objective
                    if timely:
                        source.grow_window(attempt.fill)
            if request:
                self._limit(event, attempt, request, filled, now)
            if request and not request.cls.uncached:
                self.fills.observe_pace(filled, attempt.fill, request.work, event.wait)
            alone = event.size_kb / self.settings.pace_kb_per_s if self.settings.pace_kb_per_s else 0.0
            if alone > 8 * self.settings.tick and not self.settings.weights_known:
                if event.cache_status is CacheStatus.HIT and edge.member.role is Role.EDGE:
                    crowd = min(attempt.crowd, self._crowd(edge, self.local_router_count) + 1)
                    edge.learn_width(crowd, event.wait / alone)
                    warm = (
                        e.width
                        for e in self.server_table.edges
                        if e.width and self._slow_start_capacity(e, now) == math.inf
                    )
                    self.slow_start_budget.narrow = min(warm, default=self.slow_start_budget.narrow)
                elif (
                    filled
                    and source
                    and source.member.role is Role.PARENT
                    and event.wait <= UNCONTENDED_STRETCH * alone
                ):
                    source.learn_width(min(attempt.queue, self._crowd(source, self.hub_router_count)), 1.0)
            if request and not request.arrival.size_kb:
                self.sizes.learn(request.cls.name, request.arrival.obj, alone, event.wait)
        elif result is AttemptResult.UNREACHABLE:
            self._record_failure(edge, 2 * EJECTION_SCORE, now)
        elif result is AttemptResult.BROKEN:
            # One connection's end, whatever was open on it: only the next connect tells of the cache itself.
            if now > edge.connection_broken_at + self.settings.connect_timeout:
                edge.connection_broken_at = now
                self._record_failure(edge, 1.0, now)
        elif result is AttemptResult.TIMEOUT and not attempt.overdue:
            self._late(attempt, now)
        elif result in (AttemptResult.ERROR, AttemptResult.FULL) and event.wait > 2 * self.settings.tick:
            # A cache's own refusal comes within a tick or two; what takes longer failed at the source. But a
            # good source is not shut for errors that caches make alone, sooner than a fill is given up.
            alone = (
                result is AttemptResult.ERROR and self.faults > 0.1 and event.wait < self.latency_objective
            )
            # A quick error says nothing of a queue: fewer fills in flight would not have helped.
            crowded = result is AttemptResult.FULL or event.wait >= HEADROOM * (
                request.latency_objective if request else self.latency_objective
            )
            self._record_failure(edge if alone else source or edge, 0.5 if alone else 1.0, now, crowded)

        for server in filter(None, (edge, source)):
            server.has_trial = False  # not sooner: a trial that failed lengthens the ejection

    def _limit(self, event: Outcome, attempt: Attempt, request: Request, filled: bool, now: float) -> None:
        """Learn how many transfers at a time the server bears that an answer came from."""
        server, crowd, used, cache_status = attempt.edge, attempt.crowd, attempt.edge_used, CacheStatus.HIT
        if filled and attempt.source:
            server, crowd, used = attempt.source, attempt.queue, attempt.source_used
            cache_status = CacheStatus.FILLED
        if event.cache_status not in (cache_status, CacheStatus.UNKNOWN) or server.member.role is Role.ORIGIN:
            return
        # What is late on a link of its own is large or slow, but no crowd.
        late = event.wait > request.latency_objective
        if not late or crowd > 1:
            server.concurrency.observe(late, used, server.known_width, now, request.latency_objective)

    def _upstream(self, event: Outcome, request: Request, source: Server, now: float) -> None:
        """Learn how the origin does from a fill that it may have taken part in."""
        # A parent's error may be its own: what fails at the others alike fails behind them.
        others = [parent.failure_score > 0 for parent in self.server_table.parents if parent is not source]
        sure = 1.0 if source is self.server_table.origin else sum(others) / max(1, len(others))
        aim = HEADROOM * (request.cls.latency_objective if event.first_byte else request.latency_objective)
        self.origin_throttle.learn(event, now, aim, sure, self.latency_objective, 2 * self.settings.tick)

    def _late(self, attempt: Attempt, now: float) -> None:
        """Blame for an attempt overdue: who has proved to be alive since it was sent is not at fault."""
        edge, source = attempt.edge, attempt.source
        alive = source is None or source is edge or source.last_alive_at > attempt.sent
        share = 0.0 if alive else 1.0 if edge.last_alive_at > attempt.sent else 0.5
        if attempt.held and source:
            source.late_with_held_at = (
                now  # a parent late with what it holds is slow itself: it stays the one judged
            )
        if attempt.via and edge.last_alive_at > attempt.sent:
            attempt.via.record_overdue_fill()
        # What a parent was to fetch, it lost, if both ends of it are alive.
        lost = attempt.via if attempt.via is not source and edge.last_alive_at > attempt.sent else None
        for server, part in ((lost or edge, 1 - share), (source, share)):
            if server and part:
                self._record_failure(server, part, now)

    def _finish(self, request: Request, now: float) -> None:
        """Give up at once: refuse where a retry does no harm, else fail."""
        cls, name = request.cls, request.arrival.request_id
        keyed = request.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and cls.scope is Scope.ALL
        repeats = request.idempotency is Idempotency.IDEMPOTENT or keyed
        refuse = (repeats or (request.ran is None and not request.in_flight)) and now < request.deadline
        self.actions.append(
            Reject(name, min(self.settings.max_hold_off, cls.latency_objective)) if refuse else Fail(name)
        )
        self._drop(name)

    def _drop(self, name: str) -> None:
        """Let go of a request that is over, and of what is still out for it."""
        request = self.pending_requests.pop(name, None)
        if request and request.in_flight > 0 and self.settings.may_cancel:
            self.actions += [Cancel(name, n) for n in range(request.sent) if (name, n) in self.attempts]
