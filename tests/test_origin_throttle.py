"""Overload of the origin in virtual time, with many routers and parents that hold none of the objects."""

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
from tests.router_harness import RouterHarness, single_action

ROUTERS = 60
RATE = 100.0  # requests per second at all routers together
DEGRADED_RATE = 0.6 * RATE  # fills per second of the overloaded origin
FILL_TIMEOUT = 1.265  # seconds that a cache waits for a fill
MAX_QUEUE_SECONDS = 3.0  # seconds of work that the origin queues


class OriginSimulation:
    """Routers, caches and parents without copies, and an origin with a FIFO queue."""

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
        self.events: list[tuple[float, int, Any]] = []
        self.sequence = itertools.count()
        self.now = 100.0
        self.origin_idle_at = 0.0
        self.origin_rate = 4 * RATE  # fills a second
        self.served: list[float] = []  # arrival times of the requests that were answered in time
        self.requested: list[float] = []
        self.rejected: set[tuple[Any, str]] = set()
        self.sent: dict[tuple[Any, str], int] = {}

    def schedule(self, when: float, call: Any) -> None:
        """Schedule a call at a virtual time."""
        heapq.heappush(self.events, (when, next(self.sequence), call))

    def run(self, until: float) -> None:
        """Send requests until a virtual time, each for a different object."""
        next_request = self.now
        while next_request < until:
            next_request += self.random.expovariate(RATE)
            while self.events and self.events[0][0] < next_request:
                self.now, _, call = heapq.heappop(self.events)
                call()
            self.now = next_request
            harness = self.random.choice(self.harnesses)
            harness.now = self.now
            self.requested.append(self.now)
            self.perform(
                harness,
                harness.send_request(f"o{next(self.sequence)}", "tiles", time_left=2.5, size_kb=0.0),
                self.now,
            )

    def perform(self, harness: RouterHarness, actions: list[Action], requested_at: float) -> None:
        """Perform the actions of a router."""
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
        """Start an attempt: a lookup misses at once, a fill waits in the queue of the origin."""
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
        if self.origin_idle_at - start > MAX_QUEUE_SECONDS:
            self.schedule(start + 0.05, lambda: end(AttemptResult.FULL))
            return
        # The origin completes the fill even after it has been abandoned.
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
def test_origin_at_six_tenths_of_the_request_rate_stays_useful(seed: int) -> None:
    """At 0.6 of the request rate, the origin serves a good part of that; after recovery, nearly all."""
    simulation = OriginSimulation(seed)
    simulation.run(105.0)
    assert simulation.share(101, 104) > 0.95
    simulation.origin_rate = DEGRADED_RATE
    simulation.run(121.0)
    assert simulation.share(110, 120) > 0.35  # at most 0.6 is possible
    simulation.origin_rate = 4 * RATE
    simulation.run(133.0)
    assert simulation.share(130, 132) > 0.9


def test_without_the_throttle_few_requests_are_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """The failure that the throttle prevents: the origin completes only fills that were abandoned."""
    monkeypatch.setattr(OriginThrottle, "current_share", lambda self, now: 1.0)
    simulation = OriginSimulation(1)
    simulation.run(105.0)
    simulation.origin_rate = DEGRADED_RATE
    simulation.run(121.0)
    assert simulation.share(110, 120) < 0.2


@pytest.mark.parametrize("is_fast", [True, False])
def test_late_failures_throttle_the_origin_and_fast_ones_do_not(is_fast: bool) -> None:
    """Errors after a long wait reduce the admitted share; the same errors without a wait do not."""
    harness = RouterHarness(
        [Member("edge-0", "depot", weight=8.0), Member("origin", "hub-a", Role.ORIGIN)], now=100.0
    )
    harness.serve_request(cache_status=CacheStatus.FILLED)
    fetch = single_action(harness.send_request("lost", "tiles", time_left=2.5, size_kb=0.0), Fetch)
    assert (fetch.server, fetch.source) == ("edge-0", "origin")
    harness.finish_attempt(fetch, AttemptResult.ERROR, CacheStatus.UNKNOWN, wait=0.015 if is_fast else 1.265)
    assert (harness.router.origin_throttle.current_share(harness.now) == 1.0) is is_fast


@pytest.mark.parametrize(("failing", "share"), [(0, 1.0), (1, 0.875), (2, 0.75), (4, 0.5)])
def test_late_errors_of_parents_are_attributed_to_the_origin_by_their_share(
    failing: int, share: float
) -> None:
    """An error is attributed to the origin in proportion to the other parents that have failures too."""
    parents = [Member(f"parent-{n}", "hub-a", Role.PARENT, weight=20.0) for n in range(5)]
    origin = Member("origin", "hub-a", Role.ORIGIN)
    harness = RouterHarness([Member("edge-0", "depot", weight=8.0), *parents, origin], now=100.0)
    fetch = single_action(harness.send_request("lost", time_left=5.0, size_kb=0.0), Fetch)
    others = [name for name in (parent.server for parent in parents) if name != fetch.source]
    for name in others[:failing]:
        harness.router.servers[name].failure_score = 1.0
    harness.finish_attempt(fetch, AttemptResult.ERROR, CacheStatus.UNKNOWN, wait=3.0)
    assert harness.router.origin_throttle.current_share(harness.now) == pytest.approx(share)


@pytest.mark.parametrize(("every", "low", "high"), [(5, 0.6, 1.0), (1, 0.0, 0.2)])
def test_origin_that_is_late_at_times_is_throttled_little(every: int, low: float, high: float) -> None:
    """An origin with a latency near the objective is late at times.

    With 1 late answer in 5, little is rejected; with only late answers, nearly everything is.
    """
    throttle = OriginThrottle()
    shares: list[float] = []
    for n in range(60):
        now, wait = 100 + 0.2 * n, 0.39 if n % every == 0 else 0.05
        fill = Outcome("x", 0, "edge-0", AttemptResult.OK, wait, True, CacheStatus.FILLED_BY_ORIGIN, wait)
        throttle.learn(fill, now, 0.28, 1.0, 0.4, 0.004)
        shares.append(throttle.current_share(now))
    assert low <= sum(shares[20:]) / 40 <= high


def test_share_is_halved_once_per_cooldown_and_recovers_with_time() -> None:
    """The share is halved once per cooldown, has a lower bound, and returns to 1 within the recovery time."""
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
