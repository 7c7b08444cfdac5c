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
from brackenlane.routing.origin_throttle import LEAST_SHARE, RECOVERY_SECONDS, OriginThrottle
from tests.router_harness import RouterHarness, only

GATEWAYS, RATE = 60, 100.0  # requests a second over all
SLOW = 0.6 * RATE  # what the origin does a second once it falls behind
PATIENCE = 1.265  # seconds that a cache waits for a fill
ROOM = 3.0  # seconds of work that the origin lets stand


class World:
    """Gateways in front of caches and parents that hold nothing, and an origin that serves in order."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        fleet = [Member(f"edge-{n}", "depot", weight=8.0) for n in range(8)]
        fleet += [Member(f"parent-{n}", "hub-a", Role.PARENT, weight=20.0) for n in range(12)]
        fleet.append(Member("origin", "hub-a", Role.ORIGIN))
        self.harnesses = [
            RouterHarness(
                fleet, n, 100.0, router_count=GATEWAYS, routers_by_location=(0, 0, 0, 6), weights_known=False
            )
            for n in range(GATEWAYS)
        ]
        self.heap: list[tuple[float, int, Any]] = []
        self.order = itertools.count()
        self.now, self.free, self.pace = 100.0, 0.0, 4 * RATE
        self.served: list[float] = []  # when each that is in time was asked for
        self.asked: list[float] = []
        self.over: set[tuple[Any, str]] = set()
        self.sent: dict[tuple[Any, str], int] = {}

    def at(self, when: float, call: Any) -> None:
        """Call then."""
        heapq.heappush(self.heap, (when, next(self.order), call))

    def run(self, until: float) -> None:
        """Requests until a time, each for an object of its own."""
        next_ask = self.now
        while next_ask < until:
            next_ask += self.random.expovariate(RATE)
            while self.heap and self.heap[0][0] < next_ask:
                self.now, _, call = heapq.heappop(self.heap)
                call()
            self.now = next_ask
            harness = self.random.choice(self.harnesses)
            harness.now = self.now
            self.asked.append(self.now)
            self.take(
                harness, harness.ask(f"o{next(self.order)}", "tiles", time_left=2.5, size_kb=0.0), self.now
            )

    def take(self, harness: RouterHarness, actions: list[Action], born: float) -> None:
        """Carry out what a router decides."""
        for action in actions:
            if isinstance(action, Fetch):
                self.fetch(harness, action, born)
            elif isinstance(action, SetTimer):
                self.at(action.at, lambda token=action.token: self.tell(harness, TimerFired(token), born))
            elif isinstance(action, Reject):
                self.over.add((harness, action.request_id))
            else:
                assert isinstance(action, Cancel | Fail), action

    def tell(self, harness: RouterHarness, event: Any, born: float) -> None:
        """One event to a router."""
        harness.now = self.now
        self.take(harness, harness.router.handle(event, self.now), born)

    def fetch(self, harness: RouterHarness, fetch: Fetch, born: float) -> None:
        """An attempt: looks come back, fills wait at the origin."""
        key = harness, fetch.request_id
        number = self.sent[key] = self.sent.get(key, -1) + 1
        start = self.now

        def end(
            result: AttemptResult, cache_status: CacheStatus = CacheStatus.UNKNOWN, first: float = 0.0
        ) -> None:
            wait = self.now - start
            if result is AttemptResult.OK and key not in self.over and self.now - born < 0.7:
                self.served.append(born)
            self.tell(
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
                born,
            )

        if fetch.source == fetch.server or fetch.only_if_cached:
            return self.at(start + 0.01, lambda: end(AttemptResult.MISS))
        if self.free - start > ROOM:
            return self.at(start + 0.05, lambda: end(AttemptResult.FULL))
        self.free = max(self.free, start) + 1 / self.pace  # it works that off, whoever still waits
        done = self.free + 0.05
        if done - start > PATIENCE:
            return self.at(start + PATIENCE, lambda: end(AttemptResult.ERROR))
        self.at(done, lambda: end(AttemptResult.OK, CacheStatus.FILLED_BY_ORIGIN, done - start))

    def share(self, since: float, until: float) -> float:
        """Of what was asked for in a time, the part served in time."""
        requested = sum(since <= at < until for at in self.asked)
        return sum(since <= at < until for at in self.served) / requested


@pytest.mark.parametrize("seed", [1, 2])
def test_an_origin_at_six_tenths_serves_what_it_can(seed: int) -> None:
    """It falls to 0.6 of what is asked of it: a good part of that is served, and all soon after it mends."""
    world = World(seed)
    world.run(105.0)
    assert world.share(101, 104) > 0.95
    world.pace = SLOW
    world.run(121.0)
    assert world.share(110, 120) > 0.35  # of 0.6
    world.pace = 4 * RATE
    world.run(133.0)
    assert world.share(130, 132) > 0.9


def test_without_the_limit_nobody_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """The fault that the check must find: all is let through, the origin works off what was given up."""
    monkeypatch.setattr(OriginThrottle, "part", lambda self, now: 1.0)
    world = World(1)
    world.run(105.0)
    world.pace = SLOW
    world.run(121.0)
    assert world.share(110, 120) < 0.2


@pytest.mark.parametrize("quick", [True, False])
def test_quick_errors_are_no_queue(quick: bool) -> None:
    """Errors that come at once hold nothing back from the origin; the same errors after a long wait do."""
    harness = RouterHarness(
        [Member("edge-0", "depot", weight=8.0), Member("origin", "hub-a", Role.ORIGIN)], now=100.0
    )
    harness.serve(cache_status=CacheStatus.FILLED)
    fetch = only(harness.ask("lost", "tiles", time_left=2.5, size_kb=0.0), Fetch)
    assert (fetch.server, fetch.source) == ("edge-0", "origin")
    harness.end(fetch, AttemptResult.ERROR, CacheStatus.UNKNOWN, wait=0.015 if quick else 1.265)
    assert (harness.router.origin_throttle.part(harness.now) == 1.0) is quick


@pytest.mark.parametrize(("failing", "part"), [(0, 1.0), (1, 0.875), (2, 0.75), (4, 0.5)])
def test_late_errors_of_several_parents_are_the_origins_by_their_share(failing: int, part: float) -> None:
    """What fails at one parent is its own; what fails at half of the others is held back by half as much."""
    parents = [Member(f"parent-{n}", "hub-a", Role.PARENT, weight=20.0) for n in range(5)]
    origin = Member("origin", "hub-a", Role.ORIGIN)
    harness = RouterHarness([Member("edge-0", "depot", weight=8.0), *parents, origin], now=100.0)
    fetch = only(harness.ask("lost", time_left=5.0, size_kb=0.0), Fetch)
    others = [name for name in (parent.server for parent in parents) if name != fetch.source]
    for name in others[:failing]:
        harness.router.servers[name].failure_score = 1.0
    harness.end(fetch, AttemptResult.ERROR, CacheStatus.UNKNOWN, wait=3.0)
    assert harness.router.origin_throttle.part(harness.now) == pytest.approx(part)


@pytest.mark.parametrize(("every", "low", "high"), [(5, 0.6, 1.0), (1, 0.0, 0.2)])
def test_late_now_and_then(every: int, low: float, high: float) -> None:
    """An origin whose usual wait is near an aim is late for some: little is held back; always late, most."""
    throttle = OriginThrottle()
    parts: list[float] = []
    for n in range(60):
        now, wait = 100 + 0.2 * n, 0.39 if n % every == 0 else 0.05
        fill = Outcome("x", 0, "edge-0", AttemptResult.OK, wait, True, CacheStatus.FILLED_BY_ORIGIN, wait)
        throttle.learn(fill, now, 0.28, 1.0, 0.4, 0.004)
        parts.append(throttle.part(now))
    assert low <= sum(parts[20:]) / 40 <= high


def test_part() -> None:
    """Halved once for each crowd, down to its least; back to the whole in its time."""
    throttle = OriginThrottle()
    assert throttle.part(100.0) == 1.0
    throttle.decrease(100.0, 1.0, 0.5)
    throttle.decrease(100.4, 1.0, 0.5)
    assert throttle.part(100.4) == pytest.approx(0.55)
    throttle.decrease(101.0, 0.5, 0.5)
    assert throttle.part(101.0) == pytest.approx(0.625 * 0.75)
    for n in range(20):
        throttle.decrease(102.0 + n * 0.51, 1.0, 0.5)
    assert LEAST_SHARE <= throttle.part(112.2) < 0.15
    assert throttle.part(112.2 + RECOVERY_SECONDS) == 1.0
    throttle.decrease(130.0, 0.0, 0.5)
    assert throttle.part(130.0) == 1.0
