"""The router: maps each event to a list of actions.

Pure: the time and the random seed are arguments. Times are Unix seconds. `Router` owns the requests without a
final answer and delegates each decision to one module:

    membership            the available servers
    route_selection       the servers of an attempt: edge_selection, fill_source, lookup_policy
    attempt_table         attempts in flight and their load
    outcome_attribution   the server to which an outcome is attributed: outlier_detection, answer_learning
    retry_policy          whether another attempt may be sent: retry_budget
    fetch_actions         the fetch that is sent
    timers                deadlines and overdue attempts
"""

from __future__ import annotations

import math
import random

from brackenlane.routing.actions import Action, Cancel, Fail, Reject, Subscribe
from brackenlane.routing.answer_learning import AnswerLearning
from brackenlane.routing.attempt_table import AttemptTable
from brackenlane.routing.attempts import Attempt, AttemptKey, Request, Route
from brackenlane.routing.edge_selection import EdgeSelection
from brackenlane.routing.events import (
    Arrival,
    AttemptResult,
    ClientDisconnected,
    Event,
    Membership,
    MembershipKind,
    Outcome,
    Purged,
    ResponseStarted,
    TimerFired,
)
from brackenlane.routing.fetch_actions import FetchActions
from brackenlane.routing.fill_estimate import FillEstimate
from brackenlane.routing.fill_source import FillSourceSelection
from brackenlane.routing.latency import LatencyEstimate
from brackenlane.routing.lookup_policy import LookupPolicy
from brackenlane.routing.membership import ServerTable
from brackenlane.routing.origin_throttle import OriginThrottle
from brackenlane.routing.outcome_attribution import CACHE_REJECTION_TICKS, FinishedAttempt, OutcomeAttribution
from brackenlane.routing.outlier_detection import OutlierDetection
from brackenlane.routing.overload import OverloadSignals
from brackenlane.routing.popularity import Popularity
from brackenlane.routing.purges import Purges
from brackenlane.routing.retry_budget import RetryBudget
from brackenlane.routing.retry_policy import RetryPolicy
from brackenlane.routing.route_selection import RouteSelection
from brackenlane.routing.server_capacity import ServerCapacity
from brackenlane.routing.servers import Server, observe_loads
from brackenlane.routing.settings import Settings
from brackenlane.routing.sizes import Sizes
from brackenlane.routing.slow_start_budget import SlowStartBudget
from brackenlane.routing.timers import RouterTimers
from brackenlane.routing.topology import Topology

MAX_TABLE_ENTRIES = 4000  # maximum number of objects or cache keys in each table
ENTRY_SIZE = 512  # bytes of memory of the entries for one object or cache key in all tables, without orders
ENTRY_SHARE = 1 / 2  # share of the memory of all tables for these entries; the rest is for orders
MIN_TABLE_ENTRIES = 256
# With up to this number of routers on a link, a fill counts as a whole transfer until its waiting share is
# learned.
MAX_ROUTERS_WITHOUT_MIN_WAITING = 3
MIN_WAITING_SHARE = 0.5  # least share of its duration that a fill waits, if more routers share a link
OVERDUE_WAIT_FACTOR = 2  # the latency of an overdue attempt is learned as this multiple of its wait so far
RECHECKS_PER_OBJECTIVE = 2  # checks of an overdue attempt per latency objective of its class


class Router:
    """Makes the routing decisions of one router."""

    def __init__(self, settings: Settings, seed: int, max_table_bytes: float = math.inf) -> None:
        """max_table_bytes: memory that the tables of objects and cache keys may occupy."""
        rng = random.Random(seed)
        entries_in_share = max(MIN_TABLE_ENTRIES, ENTRY_SHARE * max_table_bytes / ENTRY_SIZE)
        max_entries = int(min(MAX_TABLE_ENTRIES, entries_in_share))
        topology = Topology(settings)
        self.settings = settings
        self.pending_requests: dict[str, Request] = {}
        self.purges = Purges(settings.purge_propagation_time, settings.tick)
        self.popularity = Popularity(max_entries)
        self.sizes = Sizes(settings.classes, settings.tick, max_entries)
        self.latency = LatencyEstimate()
        self.origin_throttle = OriginThrottle()
        self.retry_budget = RetryBudget()
        self._retry_policy = RetryPolicy(settings, self.retry_budget)
        # If many routers counted waiting fills as whole transfers, the links of caches would stay idle.
        min_waiting_share = (
            MIN_WAITING_SHARE if topology.local_router_count > MAX_ROUTERS_WITHOUT_MIN_WAITING else 0.0
        )
        self.fills = FillEstimate(settings.status_reporting, rng, min_waiting_share)
        self.server_table = ServerTable(settings, topology, max_entries, (1 - ENTRY_SHARE) * max_table_bytes)
        self.slow_start_budget = SlowStartBudget(settings, topology, self.sizes, MAX_TABLE_ENTRIES)
        self.capacity = ServerCapacity(settings, topology, self.sizes, self.slow_start_budget)
        self.attempts = AttemptTable(self.capacity, self.fills)
        self.outcome_attribution = self._create_outcome_attribution(rng)
        self._route_selection = self._create_route_selection(rng)
        self._fetches = FetchActions(
            settings, self.server_table, self.capacity, self.latency, self.popularity, self.purges
        )
        self._timers = RouterTimers()
        self._classes = {cls.name: cls for cls in settings.classes}
        self._actions: list[Action] = []

    def _create_outcome_attribution(self, rng: random.Random) -> OutcomeAttribution:
        return OutcomeAttribution(
            self.settings,
            self.server_table,
            OutlierDetection(self.settings.connect_timeout, rng),
            self.origin_throttle,
            self.fills,
            AnswerLearning(
                self.settings, self.server_table, self.capacity, self.fills, self.latency, self.sizes
            ),
        )

    def _create_route_selection(self, rng: random.Random) -> RouteSelection:
        overload = OverloadSignals(self.latency, self.origin_throttle)
        return RouteSelection(
            self.settings,
            self.server_table,
            self.capacity,
            EdgeSelection(self.settings, self.server_table, self.capacity, overload, rng, self.popularity),
            FillSourceSelection(self.server_table, self.capacity, rng),
            LookupPolicy(self.settings, self.capacity, overload, self.purges, rng),
        )

    @property
    def servers(self) -> dict[str, Server]:
        """The servers on the discovery list that are not gone, by name."""
        return self.server_table.servers

    def handle(self, event: Event, now: float) -> list[Action]:
        """Return the actions that one event requires."""
        self._actions = []
        if self.server_table.router_started_at == -math.inf:
            self.server_table.router_started_at = now
        match event:
            case Arrival():
                self._on_arrival(event, now)
            case Outcome():
                self._on_outcome(event, now)
            case Membership():
                self._on_membership(event)
            case ClientDisconnected():
                self._forget(event.request_id)
            case ResponseStarted():
                # The response is already streaming to the client, so no other attempt may be sent.
                self.pending_requests.pop(event.request_id, None)
                self._timers.forget(event.request_id)
            case TimerFired():
                self._on_timer(event.token, now)
            case Purged():
                self.purges.add(event, now)
        return self._actions

    def _on_membership(self, event: Membership) -> None:
        """Apply a list of servers; subscribe again if the list may be stale."""
        is_outdated = event.kind in (MembershipKind.REMEMBERED, MembershipKind.REJECTED)
        if self.settings.must_subscribe and is_outdated:
            self._actions.append(Subscribe())
        self.server_table.update(event)

    def _on_arrival(self, arrival: Arrival, now: float) -> None:
        """Register a request and send its first attempt."""
        cls = self._classes.get(arrival.cls) or self.settings.classes[0]
        pace = self.settings.pace_kb_per_s
        known_work = arrival.size_kb / pace if arrival.size_kb and pace else 0.0
        work = max(self.sizes.work(cls.name, arrival.obj, known_work), self.settings.tick)
        request = Request(arrival, cls, now, work)
        self.pending_requests[arrival.request_id] = request
        self.retry_budget.earn()
        self._actions.append(self._timers.set_deadline(arrival.request_id, request.deadline))
        observe_loads(self.server_table.edges)
        observe_loads(self.server_table.parents)
        observe_loads((self.capacity.local_link,))
        self._attempt(request, now)

    def _on_timer(self, token: int, now: float) -> None:
        """Finish a request at its deadline, or handle an overdue attempt."""
        target = self._timers.pop(token)
        if target is None:
            return
        request = self.pending_requests.get(target.request_id)
        if request is None:
            return
        if target.attempt is None:
            self._finish(request, now)
            return
        key = AttemptKey(target.request_id, target.attempt)
        attempt = self.attempts.get(key)
        if attempt is not None:
            self._on_overdue(request, key, attempt, now)

    def _on_overdue(self, request: Request, key: AttemptKey, attempt: Attempt, now: float) -> None:
        """Attribute an overdue attempt; then finish its request, cancel it for a retry, or keep waiting."""
        if not attempt.is_overdue:
            attempt.is_overdue = True
            self.latency.learn(OVERDUE_WAIT_FACTOR * (now - attempt.sent_at) / request.wait_unit)
            self.outcome_attribution.attribute_overdue(attempt, now)
        is_late = now >= request.objective_at
        if self.latency.overloaded and is_late and not attempt.fill_probability:
            # A late transfer takes link capacity from other requests, but a late fill at least leaves a copy.
            self._finish(request, now)
        elif self._retry_policy.should_cancel(request, attempt.route, now):
            self._actions.append(Cancel(key.request_id, key.number))
        else:
            recheck_at = now + request.cls.latency_objective / RECHECKS_PER_OBJECTIVE
            self._actions.append(self._timers.set_overdue(key.request_id, key.number, recheck_at))

    def _on_outcome(self, event: Outcome, now: float) -> None:
        """Attribute an outcome; then finish its request or send another attempt."""
        attempt = self.attempts.close(AttemptKey(event.request_id, event.attempt))
        request = self.pending_requests.get(event.request_id)
        if attempt:
            self.outcome_attribution.attribute(FinishedAttempt(event, attempt, request, now))
        if request is None:
            return
        request.in_flight -= 1
        if event.final or event.result is AttemptResult.OK:
            self._forget(event.request_id)
            return
        request.record_failure(event.result, event.wait, attempt)
        is_cache_rejection = (
            event.result is AttemptResult.FULL and event.wait <= CACHE_REJECTION_TICKS * self.settings.tick
        )
        request.record_lookup(event.result, is_cache_rejection, attempt)
        self._attempt(request, now)

    def _attempt(self, request: Request, now: float) -> None:
        """Send an attempt, or finish the request if no attempt is possible."""
        if not self._retry_policy.can_attempt(request, now):
            self._finish(request, now)
            return
        route = self._route_selection.select(request, now)
        if route is None:
            self._finish(request, now)
            return
        self._send(request, route, now)

    def _send(self, request: Request, route: Route, now: float) -> None:
        """Send an attempt along a route; a retry is charged to the retry budget."""
        is_retry = request.is_next_a_retry
        if is_retry:
            self.retry_budget.spend(request.retry_cost)
        key = self.attempts.open(request, route, now)
        overdue_at = now + self._fetches.overdue_after(request, now)
        self._actions.append(self._timers.set_overdue(key.request_id, key.number, overdue_at))
        self._actions.append(self._fetches.build(request, route, is_retry, now))

    def _finish(self, request: Request, now: float) -> None:
        """Finish a request without a response: reject it if the client may retry it elsewhere, or fail it."""
        request_id = request.arrival.request_id
        if now < request.deadline and request.can_retry_elsewhere():
            retry_after = min(self.settings.max_hold_off, request.cls.latency_objective)
            self._actions.append(Reject(request_id, retry_after))
        else:
            self._actions.append(Fail(request_id))
        self._forget(request_id)

    def _forget(self, request_id: str) -> None:
        """Remove a finished request, and cancel its attempts in flight."""
        request = self.pending_requests.pop(request_id, None)
        self._timers.forget(request_id)
        if request is None or request.in_flight <= 0 or not self.settings.may_cancel:
            return
        for number in range(request.attempts_sent):
            if AttemptKey(request_id, number) in self.attempts:
                self._actions.append(Cancel(request_id, number))
