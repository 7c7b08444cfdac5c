"""Two hundred routers that act at the same time, in virtual time and without network connections."""

from __future__ import annotations

import heapq
import itertools
import math
import random
import time
from collections.abc import Callable
from typing import Any

import pytest

from brackenlane import clock as clock_module
from brackenlane.config import Site
from brackenlane.core.timers import Timer, Timers
from brackenlane.limits import Limits
from brackenlane.net import change_log_connection
from brackenlane.net.change_log import ChangeApplier, ChangeLogClient, ChangeLogSource
from brackenlane.net.connection_pools import ConnectionPools
from brackenlane.routing.actions import Fetch
from brackenlane.routing.events import AttemptResult, CacheStatus, MembershipKind, Outcome
from brackenlane.routing.members import Member, Role
from brackenlane.routing.settings import RequestClass
from tests.router_harness import VIDEO, RouterHarness, actions_of, members, settings


class VirtualClock(Timers):
    """Timers of many routers on one clock, which a test advances."""

    def __init__(self) -> None:
        super().__init__(self.time)
        self.now = 1000.0
        self.call_count = 0

    def time(self) -> float:
        """Return the current time."""
        return self.now

    def call_at(self, when: float, call: Callable[..., None], *args: Any) -> Timer:
        """Schedule a call."""
        timer = Timer(call, args)
        heapq.heappush(self._heap, (when, len(self._heap) + self.call_count, timer))
        return timer

    def run_to(self, until: float) -> None:
        """Advance to a time, and make all calls scheduled up to it."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, timer = heapq.heappop(self._heap)
            if timer.call:
                self.call_count += 1
                timer.call(*timer.args)
        self.now = until


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> VirtualClock:
    """A virtual clock in place of the monotonic one."""
    virtual_clock = VirtualClock()
    monkeypatch.setattr(clock_module, "UNIX_TIME_AT_ZERO", 0.0)
    monkeypatch.setattr(time, "monotonic", virtual_clock.time)
    return virtual_clock


class RefusingConnector:
    """A connector that records its attempts, all of which are refused."""

    attempts: list[tuple[float, int]] = []

    def __init__(
        self, endpoint: Any, poller: Any, timers: Any, timeout: float, then: Any, keep: bool = True
    ) -> None:
        self._timers, self._then = timers, then

    def start(self) -> None:
        """Record an attempt, and refuse it immediately."""
        self.attempts.append((self._timers.now, id(self._then.__self__._owner)))
        self._then(self, None)

    def cancel(self) -> None:
        """Do nothing, since no attempt is pending."""


def test_routers_reconnect_to_a_lost_change_log_spread_over_time(
    clock: VirtualClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All routers lose the change log at the same time.

    A router counts as notified of a change after 2 s, so each one has to try at least once a second.
    """
    monkeypatch.setattr(change_log_connection, "Connector", RefusingConnector)
    monkeypatch.setattr(RefusingConnector, "attempts", [])
    limits = Limits()
    caches: Any = None
    clients = [
        ChangeLogClient(
            ChangeLogSource(("127.0.0.1", 9), Site((), (), {})),
            limits,
            ChangeApplier(caches, lambda _: None),
            caches,
            clock,
            random.Random(seed),
        )
        for seed in range(200)
    ]
    for client in clients:
        client.start([], 0)
    start = clock.now
    clock.run_to(start + 5)
    attempt_times = [at - start for at, _ in RefusingConnector.attempts[200:]]
    for hundredth in range(20, 480):  # at most a tenth of the routers in any 0.01 s
        assert sum(hundredth <= at * 100 < hundredth + 1 for at in attempt_times) <= 20
    times_by_client: dict[int, list[float]] = {}
    for at, client_id in RefusingConnector.attempts:
        times_by_client.setdefault(client_id, []).append(at)
    assert len(times_by_client) == 200
    assert all(b - a < 1.0 for times in times_by_client.values() for a, b in itertools.pairwise(times))


def test_idle_router_checks_connections_seldom_and_busy_one_often(clock: VirtualClock) -> None:
    """Guards against 4000 wakeups a second, if 200 idle routers check their connections 20 times a second."""
    limits = Limits()

    class BusyPool:
        """The connection pool of a cache, with a request in flight."""

        is_busy = True

        def check_liveness(self, now: float, lag: float) -> bool:
            """Report that there is something left to check."""
            return True

        def dispatch(self, attempt: Any) -> bool:
            """Accept the attempt."""
            return True

    unused: Any = None
    caches = ConnectionPools(unused, limits, unused, unused, unused, clock)
    clock.run_to(clock.now + 10)
    assert clock.call_count <= 25
    cache: Any = BusyPool()
    caches._pools["s-00000001"] = cache
    attempt: Any = type("Attempt", (), {"fetch": type("Fetch", (), {"server": "s-00000001"})})
    caches.dispatch(attempt)
    calls_before = clock.call_count
    clock.run_to(clock.now + 1)
    assert clock.call_count - calls_before >= 0.8 / limits.connection_check_interval


LOCATIONS = [f"site-{n}" for n in range(33)]
PARENT_COUNT = 12


class RouterFleet:
    """200 routers in 33 locations of one hub, with four edge caches per location and twelve parents for all.

    cold_share: part of all caches that start at about the same time; 0: one edge cache and one parent do.
    """

    def __init__(self, cold_share: float, uneven: bool, divides_budgets: bool = True) -> None:
        self.random = random.Random(5)
        self.divides_budgets = divides_budgets
        self.routers_by_location = [6] * 31 + [7, 7]
        router_locations = [
            location
            for location, n in zip(LOCATIONS, self.routers_by_location, strict=True)
            for _ in range(n)
        ]
        self.loads = [self.random.uniform(0.3, 3.0) if uneven else 1.0 for _ in router_locations]
        start_times = {
            f"{location}/{n}": 100 + self.random.uniform(0, 7) for location in LOCATIONS for n in range(4)
        }
        start_times |= {f"parent-{n}": 100 + self.random.uniform(0, 7) for n in range(PARENT_COUNT)}
        names = sorted(start_times)
        in_slow_start = set(
            self.random.sample(names, int(cold_share * len(names)))
            if cold_share
            else ["site-0/0", "parent-3"]
        )
        self.start_times = {name: at for name, at in start_times.items() if name in in_slow_start}
        self.parents = [self._make_member(f"parent-{n}", "hub-a", Role.PARENT) for n in range(PARENT_COUNT)]
        self.now = 100.0
        self.harnesses = [
            self._start_router(location, seed) for seed, location in enumerate(router_locations)
        ]
        self.send_times: dict[str, list[float]] = {name: [] for name in in_slow_start}

    def _make_member(self, name: str, zone: str, role: Role) -> Member:
        return Member(name, zone, role, started_at=self.start_times.get(name, 0.0))

    def _start_router(self, location: str, seed: int) -> RouterHarness:
        harness = RouterHarness(
            [],
            seed,
            self.now,
            location=location,
            locations=("hub-a", *LOCATIONS),
            hub_of=(0,) * 34,
            router_count=sum(self.routers_by_location),
            routers_by_location=(0, *self.routers_by_location),
            weights_known=False,
            classes=(VIDEO,),
        )
        harness.update_members(
            [
                *(self._make_member(f"{location}/{n}", location, Role.EDGE) for n in range(4)),
                *self.parents,
                Member("origin", "hub-a", Role.ORIGIN),
            ],
            MembershipKind.REMEMBERED,
        )
        if not self.divides_budgets:  # the injected fault: a router uses the whole budget
            budget = harness.router.slow_start_budget
            harness.router.capacity.edge_sharers = budget.local_router_count = 1.0
            budget.peer_locations = budget.peer_locations[:1]
            budget.peer_locations[0].member = Member("", location, weight=1.0)
        return harness

    def run(self, until: float, rate: float = 250.0) -> str:
        """Send requests at a rate (per second); return the first server that is sent more than its budget."""
        while self.now < until:
            self.now += self.random.expovariate(rate)
            [harness] = self.random.choices(self.harnesses, self.loads)
            harness.now = self.now
            for fetch in actions_of(harness.send_request(f"o{self.random.randrange(9999)}"), Fetch):
                harness.finish_attempt(fetch, cache_status=CacheStatus.FILLED)
                for name in {fetch.server, fetch.source} & self.send_times.keys():
                    if self.now >= self.start_times[name]:
                        self.send_times[name].append(self.now)
                        if self._exceeds_budget(name):
                            return name
        return ""

    def _exceeds_budget(self, name: str) -> bool:
        is_edge = "/" in name
        rule, weight = (EDGE_COLD, 4.0) if is_edge else (PARENT_COLD, 10.0)
        share = rule.share + (1 - rule.share) * min(1.0, (self.now - self.start_times[name]) / rule.ramp)
        recent = sum(0.4 for at in self.send_times[name] if at > self.now - rule.overload_duration)
        return share < 1 and recent > rule.overload_factor * weight * share * rule.overload_duration


EDGE_COLD, PARENT_COLD = settings().edge_slow_start, settings().parent_slow_start


@pytest.mark.parametrize("uneven", [False, True])
@pytest.mark.parametrize("cold", [0.0, 0.6])
def test_cold_caches_are_neither_overloaded_nor_idle(cold: float, uneven: bool) -> None:
    """One edge cache and one parent are in slow start, or 60 % of all caches.

    The routers have equal loads, or loads that differ by up to a factor of ten.
    """
    fleet = RouterFleet(cold, uneven)
    assert fleet.run(118.0) == ""
    assert all(fleet.send_times.values())


def test_check_detects_routers_that_each_use_the_whole_budget() -> None:
    """If each router uses the whole budget (injected fault), the check detects it."""
    assert RouterFleet(0.6, False, divides_budgets=False).run(118.0)


def simulate_cold_cache(
    router_count: int, weight: float, latency_objective: float, service_time: float, assumed_router_count: int
) -> tuple[int, bool]:
    """Return how many requests the routers send to a cold cache, and whether they ever exceed its budget.

    Each router assumes that there are `assumed_router_count`. Requests are counted, not the costs that the
    routers estimate: if the rule allows N, chance may add two square roots of N and 2. Sizes vary and differ
    from what the latency objective suggests, the cache may have half of the weight that is assumed where none
    is configured, and every 0.4 s a router restarts and loses its record of what it sent.
    """
    rng = random.Random(1)
    cls = RequestClass(
        "c",
        latency_objective=latency_objective,
        time_limit=8.0,
        objective_stretch=2.0,
        in_parts=service_time > 0.3,
    )
    sizes = [service_time * rng.lognormvariate(-0.18, 0.6) for _ in range(3000)]
    cold_cache, now, next_restart, is_reported = (
        Member("edge-0", "depot", weight=weight, started_at=100.0),
        90.0,
        100.5,
        False,
    )
    others = [m for m in members(edges=4) if m.server != "edge-0"]

    def start_router(seed: int) -> RouterHarness:
        return RouterHarness(
            [*others, *[cold_cache] * is_reported],
            seed,
            now,
            router_count=assumed_router_count,
            routers_by_location=(0, 0, 0, assumed_router_count),
            weights_known=False,
            classes=(cls,),
        )

    harnesses = [start_router(seed) for seed in range(router_count)]
    in_flight: list[tuple[float, int, RouterHarness, Fetch]] = []
    send_times: list[float] = []
    for count in range(int(22 * 45 / service_time)):
        now += rng.expovariate(45 / service_time)
        while in_flight and in_flight[0][0] <= now:
            at, obj, harness, fetch = heapq.heappop(in_flight)
            harness.now = at
            harness.router.handle(
                Outcome(
                    fetch.request_id,
                    0,
                    fetch.server,
                    AttemptResult.OK,
                    sizes[obj] * 1.1,
                    True,
                    CacheStatus.HIT,
                    size_kb=sizes[obj] * 4000.0,
                ),
                at,
            )
        if now >= 100 and not is_reported:
            is_reported = True
            for harness in harnesses:
                harness.now = now
                harness.update_members([cold_cache])
        if now > next_restart:
            next_restart += 0.4
            harnesses[count % router_count] = start_router(count)
        harness, obj = rng.choice(harnesses), rng.randrange(3000)
        harness.now = now
        for fetch in actions_of(harness.send_request(f"o{obj}", "c", size_kb=0.0), Fetch):
            heapq.heappush(in_flight, (now + sizes[obj] * 1.1, obj, harness, fetch))
            if fetch.server == "edge-0":
                send_times.append(now)
                share = EDGE_COLD.share + (1 - EDGE_COLD.share) * (now - 100.0) / EDGE_COLD.ramp
                allowed = (
                    EDGE_COLD.overload_factor * weight * share * EDGE_COLD.overload_duration / service_time
                )
                recent = sum(at > now - EDGE_COLD.overload_duration for at in send_times[-2000:])
                if recent > allowed + 2 * math.sqrt(allowed) + 2:
                    return len(send_times), True
    return len(send_times), False


@pytest.mark.parametrize("weight", [4.0, 2.0])
@pytest.mark.parametrize("router_count", [20, 30])
@pytest.mark.parametrize(
    ("latency_objective", "service_time"), [(0.5, 0.4), (0.3, 0.075), (0.15, 0.6), (0.8, 0.05)]
)
def test_routers_together_keep_a_slow_start_budget_through_restarts(
    router_count: int, weight: float, latency_objective: float, service_time: float
) -> None:
    request_count, is_exceeded = simulate_cold_cache(
        router_count, weight, latency_objective, service_time, router_count
    )
    assert not is_exceeded
    assert request_count or router_count * service_time > 7


def test_simulation_detects_routers_that_assume_to_be_alone() -> None:
    assert simulate_cold_cache(20, 4.0, 0.3, 0.075, 1)[1]


def test_restarted_routers_do_not_spend_a_slow_start_budget_twice() -> None:
    """All routers are killed just after a new cache was listed, and lose the record of what they sent to it.

    What it was sent before and after must not exceed its budget.
    """
    spent_seconds, new_cache = 0.0, Member("edge-0", "depot", started_at=100.0)
    for started_at, now in ((90.0, 104.0), (104.3, 104.4)):
        for seed in range(6):
            harness = RouterHarness(
                members()[1:],
                seed,
                started_at,
                router_count=6,
                routers_by_location=(0, 0, 0, 6),
                weights_known=False,
            )
            harness.now = now
            harness.update_members([new_cache])
            for n in range(20):
                spent_seconds += 0.4 * (harness.serve_request(f"o{n}").server == "edge-0")
    rule = EDGE_COLD
    assert (
        0
        < spent_seconds
        <= rule.overload_factor
        * 4.0
        * (rule.share + (1 - rule.share) * 4.3 / rule.ramp)
        * rule.overload_duration
    )
