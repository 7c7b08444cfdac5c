"""A doorman's CPU as a queue in virtual time: one server, impatient clients that try again.

Nothing here waits or measures: a run of 20 simulated seconds gives the same result on any machine. What is
served, and when, is decided by the real `Admission`, or by one of the plain policies beside it.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from brackenlane.admission.controller import AdmissionQueue
from brackenlane.routing.settings import Idempotency, RequestClass

CLASSES = (
    RequestClass("video-parts", latency_objective=0.5, time_limit=6.0, value_weight=2.0),
    RequestClass("sheet-pages", latency_objective=0.3, time_limit=2.5),
    RequestClass(
        "sheet-submit",
        latency_objective=0.8,
        time_limit=3.0,
        value_weight=3.0,
        idempotency=Idempotency.NON_IDEMPOTENT,
        uncached=True,
    ),
)
SHARES = (0.56, 0.405, 0.035)


class Policy(Protocol):
    """What stands at the door."""

    def has_capacity_for(self, cls: str, is_retry: bool) -> bool:
        """Whether one more may wait."""

    def add(self, item: Try, cls: str, is_retry: bool, now: float) -> None:
        """One more waits."""

    def shed(self, now: float) -> list[Try]:
        """Who is refused now."""

    def take(self, now: float) -> tuple[Try, float] | None:
        """Who is served next."""

    def remove(self, item: Try, cls: str, is_retry: bool) -> bool:
        """One has left."""


@dataclass(eq=False, slots=True)
class Try:
    """One try of a client."""

    cls: RequestClass
    born: float  # the first try's time
    sent: float
    until: float  # the client leaves then
    number: int = 1
    ended: str = ""


class Fifo:
    """First come, first served; `bound` requests at most, none that is out of time if `dead` is set."""

    def __init__(self, bound: float = float("inf"), dead: bool = False, newest: bool = False) -> None:
        self._waiting: deque[tuple[float, Try]] = deque()
        self._bound = bound
        self._dead = dead
        self._newest = newest

    def has_capacity_for(self, cls: str, is_retry: bool) -> bool:
        """Within the bound."""
        return len(self._waiting) < self._bound

    def add(self, item: Try, cls: str, is_retry: bool, now: float) -> None:
        """Wait behind the others."""
        self._waiting.append((now, item))

    def shed(self, now: float) -> list[Try]:
        """Those out of time, if that is looked at."""
        late = [item for _, item in self._waiting if now > item.until] if self._dead else []
        if late:
            self._waiting = deque(pair for pair in self._waiting if now <= pair[1].until)
        return late

    def take(self, now: float) -> tuple[Try, float] | None:
        """The oldest, or the newest."""
        if not self._waiting:
            return None
        since, item = self._waiting.pop() if self._newest else self._waiting.popleft()
        return item, since

    def remove(self, item: Try, cls: str, is_retry: bool) -> bool:
        """A plain server does not notice that a client has left until it has served it."""
        return False


@dataclass
class Costs:
    """CPU seconds."""

    serve: float = 0.005  # mean, drawn exponentially
    refuse: float = 0.0
    turn: float = 0.004  # served before what has come is looked at


@dataclass
class Result:
    """What became of it, by the second of the first try."""

    requested: Counter[int] = field(default_factory=Counter)
    good: Counter[int] = field(default_factory=Counter)
    ends: Counter[str] = field(default_factory=Counter)  # of tries
    classes: Counter[tuple[str, str]] = field(default_factory=Counter)
    refusing: float = 0.0  # CPU seconds
    served_twice: int = 0

    def share(self, start: int, end: int) -> float:
        """Of those first asked for in these seconds, how many were served in time."""
        return sum(self.good[n] for n in range(start, end)) / max(
            1, sum(self.requested[n] for n in range(start, end))
        )

    def goodput(self, start: int, end: int) -> float:
        """Served in time, a second."""
        return sum(self.good[n] for n in range(start, end)) / (end - start)


def run_queue(
    policy: Policy,
    rate: Callable[[float], float],
    seconds: float,
    seed: int = 1,
    costs: Costs | None = None,
    shares: Sequence[float] = SHARES,
    slow: Callable[[float], float] = lambda now: 1.0,
) -> Result:
    """Play a day. rate: first tries a second at a time; slow: by how much service costs more then."""
    costs = costs or Costs()
    rng = random.Random(seed)
    order = itertools.count()
    result = Result()
    events: list[tuple[float, int, Try]] = []

    def again(item: Try, now: float, harmless: bool) -> None:
        if item.number < 3 and (harmless or item.cls.idempotency is Idempotency.IDEMPOTENT):
            at = now + rng.uniform(0.1, 0.5)
            ttl = item.cls.time_limit * rng.uniform(0.5, 1.0)
            heapq.heappush(events, (at, next(order), Try(item.cls, item.born, at, at + ttl, item.number + 1)))

    def end(item: Try, how: str, now: float) -> None:
        assert not item.ended, (item, how)
        item.ended = how
        result.ends[how] += 1
        result.classes[item.cls.name, how] += 1
        if how == "served" and now - item.born <= item.cls.latency_objective:
            result.good[int(item.born)] += 1
        elif how != "served":
            again(item, now, how == "refused")

    at = 0.0
    while at < seconds:
        step = rng.expovariate(max(rate(at), 1e-9))
        if step > 0.05:  # the rate may have changed meanwhile
            at += 0.05
            continue
        at += step
        cls = rng.choices(CLASSES, shares)[0]
        result.requested[int(at)] += 1
        ttl = cls.time_limit * rng.uniform(0.5, 1.0)
        heapq.heappush(events, (at, next(order), Try(cls, at, at, at + ttl)))

    leaves: list[tuple[float, int, Try]] = []
    now = 0.0
    waiting = 0

    def refuse(item: Try) -> None:
        nonlocal now
        now += costs.refuse
        result.refusing += costs.refuse
        end(item, "refused", now)

    while events or waiting:
        if not waiting and events[0][0] > now:
            now = events[0][0]
        while events and events[0][0] <= now:  # all that has come is looked at
            item = heapq.heappop(events)[2]
            if policy.has_capacity_for(item.cls.name, item.number > 1):
                policy.add(item, item.cls.name, item.number > 1, now)
                heapq.heappush(leaves, (item.until, next(order), item))
                waiting += 1
            else:
                refuse(item)
        while leaves and leaves[0][0] <= now:
            item = heapq.heappop(leaves)[2]
            if not item.ended and policy.remove(item, item.cls.name, item.number > 1):
                waiting -= 1
                end(item, "left", now)
        for item in policy.shed(now):
            waiting -= 1
            refuse(item)
        stop = now + costs.turn
        while now < stop and (taken := policy.take(now)):
            item, _ = taken
            waiting -= 1
            now += rng.expovariate(1 / costs.serve) * slow(now)
            end(item, "served" if now <= item.until else "left", now)
    return result


def admission() -> AdmissionQueue[Try]:
    """The door's own policy."""
    return AdmissionQueue(CLASSES)
