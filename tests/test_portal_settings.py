"""Difficult cases for the router at a site whose configured weights are only approximate.

The site's caches report no cache status, and its servers must not be probed. Parents and the origin are fill
sources only: they take no attempts.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from dataclasses import replace
from typing import Any

import pytest

from brackenlane.routing.actions import Action, Fail, Fetch, Reject, SetTimer
from brackenlane.routing.events import Arrival, AttemptResult, CacheStatus, Outcome, TimerFired
from brackenlane.routing.members import Member, Role
from brackenlane.routing.settings import (
    CacheStatusReporting,
    Idempotency,
    RequestClass,
    SiblingSources,
    SlowStart,
)
from brackenlane.routing.slow_start_budget import SlowStartBudget
from tests.router_harness import RouterHarness

PAGE = RequestClass(
    "page", latency_objective=0.3, time_limit=3.0, objective_stretch=2.0, late_value=0.2, fresh_for=12.0
)
VIDEO = RequestClass(
    "video", latency_objective=0.6, time_limit=6.0, objective_stretch=1.6, value_weight=2.0, in_parts=True
)
SUBMIT = RequestClass(
    "submit",
    latency_objective=0.6,
    time_limit=3.0,
    value_weight=3.0,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    repeat_window=6.0,
    uncached=True,
)
ZONES = ("north", "middle", "south", "north-1", "middle-1", "south-1")
EDGE_COLD, PARENT_COLD = SlowStart(0.23, 17.0, 4.0, 1.5), SlowStart(0.067, 19.0, 2.0, 1.5)
TRANSFER_RATE = 4000.0  # KB per second
PAGE_KB = 260.0
PAGE_TIME = 0.065  # transfer time of a page, in seconds
MISS_TIME = 0.005  # time until a cache reports a miss, in seconds


def site(location: str = "north-1", **changes: Any) -> dict[str, Any]:
    """Return the arguments for the site's Settings."""
    base: dict[str, Any] = {
        "location": location,
        "locations": ZONES,
        "classes": (VIDEO, PAGE, SUBMIT),
        "router_count": 4,
        "hub_of": (0, 1, 2, 0, 1, 2),
        "routers_by_location": (0, 0, 0, 2, 1, 1),
        "pace_kb_per_s": TRANSFER_RATE,
        "edge_slow_start": EDGE_COLD,
        "parent_slow_start": PARENT_COLD,
        "max_hold_off": 0.5,
        "may_bypass_caches": False,
        "sibling_sources": SiblingSources.ANY,
        "status_reporting": CacheStatusReporting.SILENT,
    }
    return base | changes


def branch_members(location: str = "north-1", edges: int = 3) -> list[Member]:
    """Return a branch's edge caches, a parent in the branch's hub, one in the next hub, and the origin."""
    edge_caches = [Member(f"edge-{n}", location, weight=8.0) for n in range(edges)]
    parents = [Member("parent-0", "north", Role.PARENT, weight=20.0)]
    parents += [Member("parent-1", "middle", Role.PARENT, weight=20.0)]
    return [*edge_caches, *parents, Member("origin", "north", Role.ORIGIN)]


class BranchSimulation:
    """One router of a branch in virtual time, with requests, and attempts whose results a test determines."""

    def __init__(self, seed: int = 1, **changes: Any) -> None:
        self.harness = RouterHarness(branch_members(), seed, 100.0, **site(**changes))
        self.random = random.Random(seed)
        self.event_queue: list[tuple[float, int, Any]] = []  # heap of time, sequence number and event
        self.sequence = itertools.count()
        self.fetches: list[tuple[float, Fetch]] = []  # attempts with the times at which they were sent
        self.results: list[tuple[float, str]] = []  # arrival time and result of each request that has ended
        self.attempt_numbers: dict[str, int] = {}  # latest attempt of each request
        self.arrival_times: dict[str, float] = {}

    def fill_result(self, fetch: Fetch) -> tuple[float, AttemptResult]:
        """Return the duration and result of a fill; tests replace this method."""
        return PAGE_TIME, AttemptResult.OK

    def run(self, until: float, rate: float = 40.0, cls: str = "page", size_kb: float = PAGE_KB) -> None:
        """Send requests, each for a new object, until a time."""
        at = self.harness.now
        while (at := at + self.random.expovariate(rate)) < until:
            self.advance(at)
            number = next(self.sequence)
            self.arrival_times[f"q{number}"] = at
            time_limit = PAGE.time_limit if cls == "page" else VIDEO.time_limit
            arrival = Arrival(f"q{number}", time_limit, cls, f"o{number}", size_kb=size_kb)
            self.execute(self.harness.router.handle(arrival, at))
        self.advance(until)

    def advance(self, until: float) -> None:
        """Let the router handle all events that are due by a time."""
        while self.event_queue and self.event_queue[0][0] <= until:
            self.harness.now, _, event = heapq.heappop(self.event_queue)
            self.execute(self.harness.router.handle(event, self.harness.now))
        self.harness.now = until

    def execute(self, actions: list[Action]) -> None:
        """Carry out the router's actions."""
        for action in actions:
            if isinstance(action, Fetch):
                self.fetch(action)
            elif isinstance(action, SetTimer):
                self.schedule(action.at, TimerFired(action.token))
            elif isinstance(action, Reject | Fail):
                self.results.append((self.arrival_times[action.request_id], type(action).__name__))

    def schedule(self, at: float, event: Any) -> None:
        """Add an event that is due at a time."""
        heapq.heappush(self.event_queue, (at, next(self.sequence), event))

    def fetch(self, fetch: Fetch) -> None:
        """Start an attempt and schedule its outcome."""
        self.fetches.append((self.harness.now, fetch))
        number = self.attempt_numbers.get(fetch.request_id, -1) + 1
        self.attempt_numbers[fetch.request_id] = number
        # All objects are new: an attempt without a fill is a miss, and so is one whose source may answer only
        # from its cache, unless the source fails.
        wait, result = (
            (MISS_TIME, AttemptResult.MISS) if fetch.source == fetch.server else self.fill_result(fetch)
        )
        if fetch.only_if_cached and result is AttemptResult.OK:
            wait, result = MISS_TIME, AttemptResult.MISS
        if wait > fetch.timeout:
            wait, result = fetch.timeout, AttemptResult.TIMEOUT
        ok = result is AttemptResult.OK
        if ok:
            self.results.append((self.arrival_times[fetch.request_id], "served"))
        outcome = Outcome(fetch.request_id, number, fetch.server, result, wait, ok, CacheStatus.UNKNOWN)
        self.schedule(self.harness.now + wait, outcome)

    def served_share(self, since: float, until: float) -> float:
        """Return the share of the requests that arrived in a period and were served."""
        results = [result for at, result in self.results if since <= at < until]
        return results.count("served") / max(1, len(results))

    def fill_sources(self, since: float) -> list[str]:
        """Return the sources of all fills from a time on."""
        return [fetch.source for at, fetch in self.fetches if at >= since and fetch.source != fetch.server]


def peak_overload(role: str, factor: float) -> float:
    """Return the highest load on a server that has just started, relative to the load that makes it fail.

    The server's configured weight is `factor` times its true weight. The two routers that may use the server
    send 400 requests per second together.
    """
    harnesses = [RouterHarness(branch_members(), n, 100.0, **site()) for n in range(2)]
    known = next(m for m in branch_members() if m.server == f"{role}-0")
    true_weight, slow_start = known.weight / factor, EDGE_COLD if role == "edge" else PARENT_COLD
    transfers: list[tuple[float, float]] = []  # start time and duration
    worst = 0.0
    for harness in harnesses:
        harness.update_members([replace(known, started_at=100.0)])
    for n in range(int(400 * slow_start.ramp)):
        harness = harnesses[n % len(harnesses)]
        harness.now = now = 100.0 + n / 400
        fetch = harness.serve_request(f"o{n}", "page", CacheStatus.UNKNOWN, time_left=3.0, size_kb=PAGE_KB)
        if known.server in (fetch.server, fetch.source):
            transfers.append((now, PAGE_TIME))
        capacity = true_weight * (slow_start.share + (1 - slow_start.share) * (now - 100.0) / slow_start.ramp)
        recent = sum(duration for at, duration in transfers if at > now - slow_start.overload_duration)
        worst = max(worst, recent / (slow_start.overload_factor * capacity * slow_start.overload_duration))
    assert transfers  # the server must not be left idle either
    return worst


@pytest.mark.parametrize("factor", [1.0, 1.5, 2.0])
@pytest.mark.parametrize("role", ["edge", "parent"])
def test_cold_server_with_too_high_a_weight_is_not_overloaded(role: str, factor: float) -> None:
    """The routers together stay below the overload limit that follows from the true weight."""
    assert peak_overload(role, factor) <= 1.0


@pytest.mark.parametrize("role", ["edge", "parent"])
def test_cold_server_without_a_budget_is_overloaded(monkeypatch: pytest.MonkeyPatch, role: str) -> None:
    """The check above detects the fault that a server that has just started is used as if it were warm."""
    monkeypatch.setattr(SlowStartBudget, "capacity", lambda self, server, now: math.inf)
    assert peak_overload(role, 2.0) > 1.0


@pytest.mark.parametrize("weights", [(4.0, 16.0, 8.0), (4.0, 4.0, 8.0)])
def test_wrong_weights_of_warm_caches_cost_little(weights: tuple[float, ...]) -> None:
    """One or two of three caches have half of their configured weight; nearly all requests are served."""
    branch = BranchSimulation()
    true_weights = {f"edge-{number}": weight for number, weight in enumerate(weights)}
    in_flight: dict[str, list[float]] = {server: [] for server in true_weights}  # end times of transfers

    def end(fetch: Fetch) -> tuple[float, AttemptResult]:
        now, end_times = branch.harness.now, in_flight[fetch.server]
        end_times[:] = [until for until in end_times if until > now]
        wait = 0.38 * max(1.0, (len(end_times) + 1) / true_weights[fetch.server])
        end_times.append(now + wait)
        return wait, AttemptResult.OK

    branch.fill_result = end  # type: ignore[method-assign]
    branch.run(140.0, rate=35.0, cls="video", size_kb=0.38 * TRANSFER_RATE)
    assert branch.served_share(110, 135) > 0.95


@pytest.mark.parametrize(
    ("result", "wait"),
    [
        (AttemptResult.FULL, 0.02),  # the parent is unreachable, which the cache reports at once
        (AttemptResult.ERROR, 0.03),  # the parent fails at once
        (AttemptResult.ERROR, 2.0),  # the parent does not respond, and the cache abandons the fill
        (AttemptResult.FULL, 2.0),
    ],
)
@pytest.mark.parametrize("failing_share", [1.0, 0.6])
def test_fills_move_to_the_next_hub_on_failure(
    result: AttemptResult, wait: float, failing_share: float
) -> None:
    """When fills from the hub's parent fail, the next hub's parent takes over; no edge cache is ejected."""
    branch = BranchSimulation()
    branch.run(110.0)
    assert set(branch.fill_sources(105.0)) <= {"parent-0", "origin"}
    assert branch.served_share(105, 110) > 0.99

    def end(fetch: Fetch) -> tuple[float, AttemptResult]:
        fails = fetch.source == "parent-0" and branch.random.random() < failing_share
        return (wait, result) if fails else (PAGE_TIME, AttemptResult.OK)

    branch.fill_result = end  # type: ignore[method-assign]
    branch.run(130.0)
    sources = branch.fill_sources(120.0)
    assert branch.served_share(118, 128) > 0.95
    assert sources.count("parent-1") > 0.5 * len(sources)
    assert sources.count("origin") < 0.1 * len(sources)
    assert not any(edge.ejected_until for edge in branch.harness.router.server_table.edges)


def test_branch_is_served_while_its_hub_is_lost_and_the_next_hub_is_cold() -> None:
    """The hub's parent is lost and the next hub's has just started: the origin does part of the fills."""
    branch = BranchSimulation()
    branch.run(105.0)
    cold = replace(branch_members()[4], started_at=105.0)
    lost = replace(branch_members()[3], started_at=0.0)

    def end(fetch: Fetch) -> tuple[float, AttemptResult]:
        return (0.02, AttemptResult.FULL) if fetch.source == lost.server else (PAGE_TIME, AttemptResult.OK)

    branch.fill_result = end  # type: ignore[method-assign]
    branch.harness.update_members([cold])
    branch.run(125.0, rate=20.0)
    assert branch.served_share(110, 124) > 0.5
