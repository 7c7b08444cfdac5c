"""Hard cases of the second site for one decision module: weights that are told roughly.

Its settings: caches tell no notes, parents and origin are fill sources alone, nobody may be probed.
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
PACE = 4000.0  # KB a second
PAGE_KB, PAGE_WORK = 260.0, 0.065
LOOK = 0.005  # seconds until a cache says that it has nothing


def site(location: str = "north-1", **changes: Any) -> dict[str, Any]:
    """What the site's settings say."""
    reported: dict[str, Any] = {
        "location": location,
        "locations": ZONES,
        "classes": (VIDEO, PAGE, SUBMIT),
        "router_count": 4,
        "hub_of": (0, 1, 2, 0, 1, 2),
        "routers_by_location": (0, 0, 0, 2, 1, 1),
        "pace_kb_per_s": PACE,
        "edge_cold": EDGE_COLD,
        "parent_cold": PARENT_COLD,
        "max_hold_off": 0.5,
        "may_bypass_caches": False,
        "sibling_sources": SiblingSources.ANY,
        "status_reporting": CacheStatusReporting.SILENT,
    }
    return reported | changes


def boxes(location: str = "north-1", edges: int = 3) -> list[Member]:
    """A branch's caches, a parent in the branch's hub, one in the next, and the origin."""
    found = [Member(f"edge-{n}", location, weight=8.0) for n in range(edges)]
    parents = [Member("parent-0", "north", Role.PARENT, weight=20.0)]
    parents += [Member("parent-1", "middle", Role.PARENT, weight=20.0)]
    return [*found, *parents, Member("origin", "north", Role.ORIGIN)]


class Branch:
    """One router of a branch in virtual time: its requests, and attempts that end as a test says."""

    def __init__(self, seed: int = 1, **changes: Any) -> None:
        self.harness = RouterHarness(boxes(), seed, 100.0, **site(**changes))
        self.random = random.Random(seed)
        self.heap: list[tuple[float, int, Any]] = []
        self.order = itertools.count()
        self.sent: list[tuple[float, Fetch]] = []
        self.ended: list[tuple[float, str]] = []  # when it was asked for, and how it ended
        self.number: dict[str, int] = {}
        self.born: dict[str, float] = {}

    def end(self, fetch: Fetch) -> tuple[float, AttemptResult]:
        """How a fill ends, and after what time; a test's to say."""
        return PAGE_WORK, AttemptResult.OK

    def run(self, until: float, rate: float = 40.0, cls: str = "page", size_kb: float = PAGE_KB) -> None:
        """Requests for objects of their own until a time."""
        at = self.harness.now
        while (at := at + self.random.expovariate(rate)) < until:
            self.work_off(at)
            number = next(self.order)
            self.born[f"q{number}"] = at
            give_up = PAGE.time_limit if cls == "page" else VIDEO.time_limit
            arrival = Arrival(f"q{number}", give_up, cls, f"o{number}", size_kb=size_kb)
            self.take(self.harness.router.handle(arrival, at))
        self.work_off(until)

    def work_off(self, until: float) -> None:
        """All that is due by a time."""
        while self.heap and self.heap[0][0] <= until:
            self.harness.now, _, event = heapq.heappop(self.heap)
            self.take(self.harness.router.handle(event, self.harness.now))
        self.harness.now = until

    def take(self, actions: list[Action]) -> None:
        """Carry out what the router decides."""
        for action in actions:
            if isinstance(action, Fetch):
                self.fetch(action)
            elif isinstance(action, SetTimer):
                self.post(action.at, TimerFired(action.token))
            elif isinstance(action, Reject | Fail):
                self.ended.append((self.born[action.request_id], type(action).__name__))

    def post(self, at: float, event: Any) -> None:
        """An event to come."""
        heapq.heappush(self.heap, (at, next(self.order), event))

    def fetch(self, fetch: Fetch) -> None:
        """An attempt, and its outcome to come."""
        self.sent.append((self.harness.now, fetch))
        number = self.number[fetch.request_id] = self.number.get(fetch.request_id, -1) + 1
        # All objects are new, so whoever is asked only for what it holds has nothing, if it answers at all.
        wait, result = (LOOK, AttemptResult.MISS) if fetch.source == fetch.server else self.end(fetch)
        if fetch.only_if_cached and result is AttemptResult.OK:
            wait, result = LOOK, AttemptResult.MISS
        if wait > fetch.timeout:
            wait, result = fetch.timeout, AttemptResult.TIMEOUT
        ok = result is AttemptResult.OK
        if ok:
            self.ended.append((self.born[fetch.request_id], "served"))
        outcome = Outcome(fetch.request_id, number, fetch.server, result, wait, ok, CacheStatus.UNKNOWN)
        self.post(self.harness.now + wait, outcome)

    def share(self, since: float, until: float) -> float:
        """The share served of what was asked for in a time."""
        found = [how for at, how in self.ended if since <= at < until]
        return found.count("served") / max(1, len(found))

    def sources(self, since: float) -> list[str]:
        """The sources of fills from a time on."""
        return [fetch.source for at, fetch in self.sent if at >= since and fetch.source != fetch.server]


def overload(role: str, factor: float) -> float:
    """A server starts whose weight is told so many times too high; at most how much of what pushes it over it
    is sent by the routers that may use it, at 400 requests a second."""
    harnesses = [RouterHarness(boxes(), n, 100.0, **site()) for n in range(2)]
    known = next(m for m in boxes() if m.server == f"{role}-0")
    true, rule = known.weight / factor, EDGE_COLD if role == "edge" else PARENT_COLD
    spent: list[tuple[float, float]] = []
    worst = 0.0
    for harness in harnesses:
        harness.tell([replace(known, started_at=100.0)])
    for n in range(int(400 * rule.ramp)):
        harness = harnesses[n % len(harnesses)]
        harness.now = now = 100.0 + n / 400
        fetch = harness.serve(f"o{n}", "page", CacheStatus.UNKNOWN, time_left=3.0, size_kb=PAGE_KB)
        if known.server in (fetch.server, fetch.source):
            spent.append((now, PAGE_WORK))
        can = true * (rule.share + (1 - rule.share) * (now - 100.0) / rule.ramp)
        recent = sum(work for at, work in spent if at > now - rule.span)
        worst = max(worst, recent / (rule.factor * can * rule.span))
    assert spent  # it is not kept idle either
    return worst


@pytest.mark.parametrize("factor", [1.0, 1.5, 2.0])
@pytest.mark.parametrize("role", ["edge", "parent"])
def test_cold_server_with_too_high_a_weight_is_not_overloaded(role: str, factor: float) -> None:
    """All routers that may use it stay under the rule by its true weight."""
    assert overload(role, factor) <= 1.0


@pytest.mark.parametrize("role", ["edge", "parent"])
def test_without_its_cold_budget_it_is_pushed_over(monkeypatch: pytest.MonkeyPatch, role: str) -> None:
    """The fault that the check must find: a server that started is used as if it were warm."""
    monkeypatch.setattr(SlowStartBudget, "capacity", lambda self, server, now: math.inf)
    assert overload(role, 2.0) > 1.0


@pytest.mark.parametrize("widths", [(4.0, 16.0, 8.0), (4.0, 4.0, 8.0)])
def test_wrong_weight_costs_a_warm_location_little(widths: tuple[float, ...]) -> None:
    """A cache or two of three bear half of what is told: their crowds differ, yet all is served."""
    branch = Branch()
    true = {f"edge-{number}": width for number, width in enumerate(widths)}
    in_flight: dict[str, list[float]] = {name: [] for name in true}

    def end(fetch: Fetch) -> tuple[float, AttemptResult]:
        now, mine = branch.harness.now, in_flight[fetch.server]
        mine[:] = [until for until in mine if until > now]
        wait = 0.38 * max(1.0, (len(mine) + 1) / true[fetch.server])
        mine.append(now + wait)
        return wait, AttemptResult.OK

    branch.end = end  # type: ignore[method-assign]
    branch.run(140.0, rate=35.0, cls="video", size_kb=0.38 * PACE)
    assert branch.share(110, 135) > 0.95


@pytest.mark.parametrize(
    ("result", "wait"),
    [
        (AttemptResult.FULL, 0.02),  # it can't be reached: said at once
        (AttemptResult.ERROR, 0.03),  # it fails fast
        (AttemptResult.ERROR, 2.0),  # cut off: the cache gives the fill up
        (AttemptResult.FULL, 2.0),
    ],
)
@pytest.mark.parametrize("share", [1.0, 0.6])
def test_fills_of_a_lost_hub_go_to_the_next(result: AttemptResult, wait: float, share: float) -> None:
    """The branch is served by the next hub's parent within seconds, and no cache is shut for it."""
    branch = Branch()
    branch.run(110.0)
    assert set(branch.sources(105.0)) <= {"parent-0", "origin"}
    assert branch.share(105, 110) > 0.99

    def end(fetch: Fetch) -> tuple[float, AttemptResult]:
        lost = fetch.source == "parent-0" and branch.random.random() < share
        return (wait, result) if lost else (PAGE_WORK, AttemptResult.OK)

    branch.end = end  # type: ignore[method-assign]
    branch.run(130.0)
    late = branch.sources(120.0)
    assert branch.share(118, 128) > 0.95
    assert late.count("parent-1") > 0.5 * len(late)
    assert late.count("origin") < 0.1 * len(late)
    assert not any(edge.ejected_until for edge in branch.harness.router.server_table.edges)


def test_a_branch_whose_hub_is_lost_is_served_while_the_next_hub_is_cold() -> None:
    """Its parent is gone, the next hub's has just started: what neither may fill, the origin does in part."""
    branch = Branch()
    branch.run(105.0)
    cold = replace(boxes()[4], started_at=105.0)
    gone = replace(boxes()[3], started_at=0.0)

    def end(fetch: Fetch) -> tuple[float, AttemptResult]:
        return (0.02, AttemptResult.FULL) if fetch.source == gone.server else (PAGE_WORK, AttemptResult.OK)

    branch.end = end  # type: ignore[method-assign]
    branch.harness.tell([cold])
    branch.run(125.0, rate=20.0)
    assert branch.share(110, 124) > 0.5
