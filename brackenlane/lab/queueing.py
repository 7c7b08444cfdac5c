"""Simulation of a router's CPU as a single-server queue, with clients that leave and retry.

Time is virtual: a run of 20 simulated seconds gives the same result on any machine. The real `AdmissionQueue`
or the plain `Fifo` policy decides on the order of service and on rejections.
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
    """An admission policy; `AdmissionQueue` is the real one."""

    def has_capacity_for(self, cls: str, is_retry: bool) -> bool:
        """Whether one more request may be queued."""

    def add(self, item: QueuedRequest, cls: str, is_retry: bool, now: float) -> None:
        """Queue a request."""

    def shed(self, now: float) -> list[QueuedRequest]:
        """Remove and return the queued requests to reject now."""

    def take(self, now: float) -> tuple[QueuedRequest, float] | None:
        """Remove and return the next request to serve, and the time it was queued."""

    def remove(self, item: QueuedRequest, cls: str, is_retry: bool) -> bool:
        """Remove a request whose client has left; return whether it was queued."""


@dataclass(eq=False, slots=True)
class QueuedRequest:
    """One request of a client: the first of its operation, or a retry."""

    cls: RequestClass
    started_at: float  # seconds, arrival of the first request
    sent: float  # seconds, arrival of this request
    leaves_at: float  # seconds, time at which the client gives up
    number: int = 1
    outcome: str = ""


class Fifo:
    """A plain queue: first in, first out, or last in, first out if `takes_newest` is set.

    At most `limit` requests are queued; those whose clients have left are shed if `drops_expired` is set.
    """

    def __init__(
        self, limit: float = float("inf"), drops_expired: bool = False, takes_newest: bool = False
    ) -> None:
        self._waiting: deque[tuple[float, QueuedRequest]] = deque()
        self._limit = limit
        self._drops_expired = drops_expired
        self._takes_newest = takes_newest

    def has_capacity_for(self, cls: str, is_retry: bool) -> bool:
        """Whether the queue is shorter than its limit."""
        return len(self._waiting) < self._limit

    def add(self, item: QueuedRequest, cls: str, is_retry: bool, now: float) -> None:
        """Append a request."""
        self._waiting.append((now, item))

    def shed(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose clients have left, if `drops_expired` is set."""
        late = [item for _, item in self._waiting if now > item.leaves_at] if self._drops_expired else []
        if late:
            self._waiting = deque(pair for pair in self._waiting if now <= pair[1].leaves_at)
        return late

    def take(self, now: float) -> tuple[QueuedRequest, float] | None:
        """Remove and return the oldest request, or the newest if `takes_newest` is set."""
        if not self._waiting:
            return None
        since, item = self._waiting.pop() if self._takes_newest else self._waiting.popleft()
        return item, since

    def remove(self, item: QueuedRequest, cls: str, is_retry: bool) -> bool:
        """Return False: a plain server does not notice that a client has left until it has served it."""
        return False


@dataclass
class Costs:
    """CPU time in seconds."""

    service_s: float = 0.005  # mean time of serving one request, exponentially distributed
    rejection_s: float = 0.0  # time of rejecting one request
    batch_s: float = 0.004  # longest time of service between two looks at new arrivals


@dataclass
class Result:
    """Counts of one run; by second means the second of the first request."""

    requested: Counter[int] = field(default_factory=Counter)
    in_time: Counter[int] = field(default_factory=Counter)
    requests_by_outcome: Counter[str] = field(default_factory=Counter)
    classes: Counter[tuple[str, str]] = field(default_factory=Counter)
    rejection_cpu_s: float = 0.0  # CPU seconds spent on rejections
    served_twice: int = 0

    def in_time_share(self, start: int, end: int) -> float:
        """Share of the operations started in these seconds that were served in time."""
        return sum(self.in_time[n] for n in range(start, end)) / max(
            1, sum(self.requested[n] for n in range(start, end))
        )

    def goodput(self, start: int, end: int) -> float:
        """Operations served in time, per second."""
        return sum(self.in_time[n] for n in range(start, end)) / (end - start)


def run_queue(
    policy: Policy,
    rate: Callable[[float], float],
    seconds: float,
    seed: int = 1,
    costs: Costs | None = None,
    shares: Sequence[float] = SHARES,
    service_factor: Callable[[float], float] = lambda now: 1.0,
) -> Result:
    """Run the queue.

    rate: first requests per second, by time; service_factor: factor of the service time, by time.
    """
    costs = costs or Costs()
    rng = random.Random(seed)
    order = itertools.count()
    result = Result()
    events: list[tuple[float, int, QueuedRequest]] = []

    def schedule_retry(item: QueuedRequest, now: float, is_rejection: bool) -> None:
        if item.number < 3 and (is_rejection or item.cls.idempotency is Idempotency.IDEMPOTENT):
            at = now + rng.uniform(0.1, 0.5)
            patience = item.cls.time_limit * rng.uniform(0.5, 1.0)
            heapq.heappush(
                events,
                (
                    at,
                    next(order),
                    QueuedRequest(item.cls, item.started_at, at, at + patience, item.number + 1),
                ),
            )

    def end(item: QueuedRequest, outcome: str, now: float) -> None:
        assert not item.outcome, (item, outcome)
        item.outcome = outcome
        result.requests_by_outcome[outcome] += 1
        result.classes[item.cls.name, outcome] += 1
        if outcome == "served" and now - item.started_at <= item.cls.latency_objective:
            result.in_time[int(item.started_at)] += 1
        elif outcome != "served":
            schedule_retry(item, now, outcome == "refused")

    at = 0.0
    while at < seconds:
        step = rng.expovariate(max(rate(at), 1e-9))
        if step > 0.05:  # draws again, since the rate may have changed
            at += 0.05
            continue
        at += step
        cls = rng.choices(CLASSES, shares)[0]
        result.requested[int(at)] += 1
        patience = cls.time_limit * rng.uniform(0.5, 1.0)
        heapq.heappush(events, (at, next(order), QueuedRequest(cls, at, at, at + patience)))

    departures: list[tuple[float, int, QueuedRequest]] = []
    now = 0.0
    waiting = 0

    def refuse(item: QueuedRequest) -> None:
        nonlocal now
        now += costs.rejection_s
        result.rejection_cpu_s += costs.rejection_s
        end(item, "refused", now)

    while events or waiting:
        if not waiting and events[0][0] > now:
            now = events[0][0]
        while events and events[0][0] <= now:  # queues or rejects all arrivals up to now
            item = heapq.heappop(events)[2]
            if policy.has_capacity_for(item.cls.name, item.number > 1):
                policy.add(item, item.cls.name, item.number > 1, now)
                heapq.heappush(departures, (item.leaves_at, next(order), item))
                waiting += 1
            else:
                refuse(item)
        while departures and departures[0][0] <= now:
            item = heapq.heappop(departures)[2]
            if not item.outcome and policy.remove(item, item.cls.name, item.number > 1):
                waiting -= 1
                end(item, "left", now)
        for item in policy.shed(now):
            waiting -= 1
            refuse(item)
        stop = now + costs.batch_s
        while now < stop and (taken := policy.take(now)):
            item, _ = taken
            waiting -= 1
            now += rng.expovariate(1 / costs.service_s) * service_factor(now)
            end(item, "served" if now <= item.leaves_at else "left", now)
    return result


def admission() -> AdmissionQueue[QueuedRequest]:
    """Return the real admission queue."""
    return AdmissionQueue(CLASSES)
