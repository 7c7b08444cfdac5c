"""An origin that falls behind, in virtual time: many routers, parents that lack all that is asked for."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any

import pytest

from brackenlane.routing.actions import Action, Cancel, Fail, Fetch, Reject, SetTimer
from brackenlane.routing.events import AttemptResult, CacheStatus, Outcome, TimerFired
from brackenlane.routing.members import Member, Role
from brackenlane.routing.origin_throttle import MIN_SHARE, RECOVERY_SECONDS, OriginThrottle
from tests.router_harness import RouterHarness, only

ROUTERS = 60
RATE = 100.0  # requests a second over all
DEGRADED_RATE = 0.6 * RATE  # what the origin does a second once it falls behind
FILL_TIMEOUT = 1.265  # seconds that a cache waits for a fill
LONGEST_QUEUE = 3.0  # seconds of work that the origin queues


class World:
    """Routers in front of caches and parents that hold nothing, and an origin that serves in order."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        fleet = [Member(f"edge-{n}", "depot", weight=8.0) for n in range(8)]
        fleet += [Member(f"parent-{n}", "hub-a", Role.PARENT, weight=20.0) for n in range(12)]
        fleet.append(Member("origin", "hub-a", Role.ORIGIN))
        self.harnesses = [
            RouterHarness(
                fleet, n, 100.0, router_count=ROUTERS, routers_by_location=(0, 0, 0, 6), weights_known=False
            )
            for n in range(ROUTERS)
        ]
        self.heap: list[tuple[float, int, Any]] = []
        self.order = itertools.count()
        self.now = 100.0
        self.origin_idle_at = 0.0
        self.origin_rate = 4 * RATE  # fills a second
        self.served: list[float] = []  # when each that was answered in time was requested
        self.requested: list[float] = []
        self.rejected: set[tuple[Any, str]] = set()
        self.sent: dict[tuple[Any, str], int] = {}

    def schedule(self, when: float, call: Any) -> None:
        """Call a function at a time."""
        heapq.heappush(self.heap, (when, next(self.order), call))

    def run(self, until: float) -> None:
        """Send requests until a time, each for another object."""
        next_request = self.now
        while next_request < until:
            next_request += self.random.expovariate(RATE)
            while self.heap and self.heap[0][0] < next_request:
                self.now, _, call = heapq.heappop(self.heap)
                call()
            self.now = next_request
            harness = self.random.choice(self.harnesses)
            harness.now = self.now
            self.requested.append(self.now)
            self.perform(
                harness, harness.ask(f"o{next(self.order)}", "tiles", time_left=2.5, size_kb=0.0), self.now
            )

    def perform(self, harness: RouterHarness, actions: list[Action], requested_at: float) -> None:
        """Perform what a router decides."""
        for action in actions:
            if isinstance(action, Fetch):
                self.start_attempt(harness, action, requested_at)
            elif isinstance(action, SetTimer):
                self.schedule(
                    action.at,
                    lambda token=action.token: self.notify(harness, TimerFired(token), requested_at),
                )
            elif isinstance(action, Reject):
                self.rejected.add((harness, action.request_id))
            else:
                assert isinstance(action, Cancel | Fail), action

    def notify(self, harness: RouterHarness, event: Any, requested_at: float) -> None:
        """Notify a router of one event."""
        harness.now = self.now
        self.perform(harness, harness.router.handle(event, self.now), requested_at)

    def start_attempt(self, harness: RouterHarness, fetch: Fetch, requested_at: float) -> None:
        """Start an attempt: a cache lookup is answered at once, a fill waits at the origin."""
        key = (harness, fetch.request_id)
        number = self.sent[key] = self.sent.get(key, -1) + 1
        start = self.now

        def end(
            result: AttemptResult, cache_status: CacheStatus = CacheStatus.UNKNOWN, first: float = 0.0
        ) -> None:
            wait = self.now - start
            if result is AttemptResult.OK and key not in self.rejected and self.now - requested_at < 0.7:
                self.served.append(requested_at)
            self.notify(
                harness,
                Outcome(
                    fetch.request_id,
                    number,
                    fetch.server,
                    result,
                    wait,
                    result is AttemptResult.OK,
                    cache_status,
                    first,
                ),
                requested_at,
            )

        if fetch.source == fetch.server or fetch.only_if_cached:
            self.schedule(start + 0.01, lambda: end(AttemptResult.MISS))
            return
        if self.origin_idle_at - start > LONGEST_QUEUE:
            self.schedule(start + 0.05, lambda: end(AttemptResult.FULL))
            return
        # It works that off even if nobody waits for it.
        self.origin_idle_at = max(self.origin_idle_at, start) + 1 / self.origin_rate
        done = self.origin_idle_at + 0.05
        if done - start > FILL_TIMEOUT:
            self.schedule(start + FILL_TIMEOUT, lambda: end(AttemptResult.ERROR))
            return
        self.schedule(done, lambda: end(AttemptResult.OK, CacheStatus.FILLED_BY_ORIGIN, done - start))

    def share(self, since: float, until: float) -> float:
        """Return the share of the requests of an interval that were answered in time."""
        requested = sum(since <= at < until for at in self.requested)
        return sum(since <= at < until for at in self.served) / requested


@pytest.mark.parametrize("seed", [1, 2])
def test_origin_at_six_tenths_of_the_demand_serves_a_good_part_of_it(seed: int) -> None:
    """It falls to 0.6 of what is asked of it: a good part of that is served, and all soon after it mends."""
    world = World(seed)
    world.run(105.0)
    assert world.share(101, 104) > 0.95
    world.origin_rate = DEGRADED_RATE
    world.run(121.0)
    assert world.share(110, 120) > 0.35  # of 0.6
    world.origin_rate = 4 * RATE
    world.run(133.0)
    assert world.share(130, 132) > 0.9


def test_without_the_throttle_few_requests_are_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """The fault to detect: all is admitted, and the origin works off requests that were abandoned."""
    monkeypatch.setattr(OriginThrottle, "current_share", lambda self, now: 1.0)
    world = World(1)
    world.run(105.0)
    world.origin_rate = DEGRADED_RATE
    world.run(121.0)
    assert world.share(110, 120) < 0.2


@pytest.mark.parametrize("is_fast", [True, False])
def test_late_failures_throttle_the_origin_and_fast_ones_do_not(is_fast: bool) -> None:
    """Errors that come at once hold nothing back from the origin; the same errors after a long wait do."""
    harness = RouterHarness(
        [Member("edge-0", "depot", weight=8.0), Member("origin", "hub-a", Role.ORIGIN)], now=100.0
    )
    harness.serve(cache_status=CacheStatus.FILLED)
    fetch = only(harness.ask("lost", "tiles", time_left=2.5, size_kb=0.0), Fetch)
    assert (fetch.server, fetch.source) == ("edge-0", "origin")
    harness.end(fetch, AttemptResult.ERROR, CacheStatus.UNKNOWN, wait=0.015 if is_fast else 1.265)
    assert (harness.router.origin_throttle.current_share(harness.now) == 1.0) is is_fast


@pytest.mark.parametrize(("failing", "part"), [(0, 1.0), (1, 0.875), (2, 0.75), (4, 0.5)])
def test_late_errors_of_parents_are_attributed_to_the_origin_by_their_share(
    failing: int, part: float
) -> None:
    """What fails at one parent is its own; what fails at half of the others is held back by half as much."""
    parents = [Member(f"parent-{n}", "hub-a", Role.PARENT, weight=20.0) for n in range(5)]
    origin = Member("origin", "hub-a", Role.ORIGIN)
    harness = RouterHarness([Member("edge-0", "depot", weight=8.0), *parents, origin], now=100.0)
    fetch = only(harness.ask("lost", time_left=5.0, size_kb=0.0), Fetch)
    others = [name for name in (parent.server for parent in parents) if name != fetch.source]
    for name in others[:failing]:
        harness.router.servers[name].failure_score = 1.0
    harness.end(fetch, AttemptResult.ERROR, CacheStatus.UNKNOWN, wait=3.0)
    assert harness.router.origin_throttle.current_share(harness.now) == pytest.approx(part)


@pytest.mark.parametrize(("every", "low", "high"), [(5, 0.6, 1.0), (1, 0.0, 0.2)])
def test_origin_that_is_late_at_times_is_throttled_little(every: int, low: float, high: float) -> None:
    """An origin whose usual wait is near an aim is late for some: little is held back; always late, most."""
    throttle = OriginThrottle()
    parts: list[float] = []
    for n in range(60):
        now, wait = 100 + 0.2 * n, 0.39 if n % every == 0 else 0.05
        fill = Outcome("x", 0, "edge-0", AttemptResult.OK, wait, True, CacheStatus.FILLED_BY_ORIGIN, wait)
        throttle.learn(fill, now, 0.28, 1.0, 0.4, 0.004)
        parts.append(throttle.current_share(now))
    assert low <= sum(parts[20:]) / 40 <= high


def test_share_is_halved_once_in_a_window_and_recovers_with_time() -> None:
    """Halved once for all that is late together, down to its least; back to 1 in the recovery time."""
    throttle = OriginThrottle()
    assert throttle.current_share(100.0) == 1.0
    throttle.decrease(100.0, 1.0, 0.5)
    throttle.decrease(100.4, 1.0, 0.5)
    assert throttle.current_share(100.4) == pytest.approx(0.55)
    throttle.decrease(101.0, 0.5, 0.5)
    assert throttle.current_share(101.0) == pytest.approx(0.625 * 0.75)
    for n in range(20):
        throttle.decrease(102.0 + n * 0.51, 1.0, 0.5)
    assert MIN_SHARE <= throttle.current_share(112.2) < 0.15
    assert throttle.current_share(112.2 + RECOVERY_SECONDS) == 1.0
    throttle.decrease(130.0, 0.0, 0.5)
    assert throttle.current_share(130.0) == 1.0
