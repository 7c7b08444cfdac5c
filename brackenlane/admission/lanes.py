"""The lanes of the admission queue, one per request class, with their priority, capacity and longest wait."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

from brackenlane.routing.settings import Idempotency, RequestClass

T = TypeVar("T")

UNCLASSIFIED = ""  # lane of requests without a class, such as those that will be answered with an error
HEALTH = "health"  # lane of health checks

TARGET_SHARE = 1 / 6  # target of controlled delay, as a share of the shortest latency objective
INTERVAL_SHARE = 1 / 2  # interval of controlled delay, as a share of the shortest latency objective
MIN_WAIT_FACTOR = 0.5  # longest wait of a class of low value, as a multiple of the target
MAX_WAIT_FACTOR = 2.0  # longest wait of a class of high value, as a multiple of the target
PRIORITY_WAIT_SHARE = 1 / 4  # longest wait of a non-idempotent class, as a share of its latency objective
RETRY_CAPACITY_SHARE = 1 / 4  # capacity for retries, as a share of the capacity for first attempts
UNCLASSIFIED_CAPACITY_SHARE = 0.5  # capacity for requests without a class, as a share of the whole


class Phase(Enum):
    """State of the queue, which determines the order of service and the longest wait."""

    CALM = "calm"  # no standing queue: oldest first; a request may wait for an interval
    STANDING = "standing"  # standing queue: newest first; a request may wait for about the target


@dataclass(slots=True, frozen=True)
class QueueTimes:
    """The two parameters of controlled delay, in seconds."""

    target: float  # longest wait in a standing queue
    interval: float  # time for which a queue must not have been empty to count as a standing queue


@dataclass(slots=True)
class Lane(Generic[T]):
    """The waiting requests of one class, oldest first."""

    name: str
    has_priority: bool  # served before lanes without priority: non-idempotent writes and health checks
    # A request may join a standing queue while the queue uses less than this share of its capacity.
    capacity_share: float
    longest_wait: dict[Phase, float]  # seconds
    waiting: deque[tuple[float, T]] = field(default_factory=deque)  # arrival in Unix seconds, request


@dataclass(slots=True)
class Lanes(Generic[T]):
    """All lanes for first attempts and for retries, by class name."""

    first_attempts: dict[str, Lane[T]]
    retries: dict[str, Lane[T]]  # only for classes without priority

    def lane(self, cls: str, is_retry: bool) -> Lane[T]:
        """Return the lane of a request; an unknown class uses the lane of unclassified requests."""
        lane = self.first_attempts.get(cls) or self.first_attempts[UNCLASSIFIED]
        if is_retry and not lane.has_priority:
            return self.retries[lane.name]
        return lane


def queue_times(classes: Sequence[RequestClass]) -> QueueTimes:
    """Derive target and interval from the shortest latency objective of all classes."""
    shortest = min(cls.latency_objective for cls in classes)
    return QueueTimes(TARGET_SHARE * shortest, INTERVAL_SHARE * shortest)


def build_lanes(classes: Sequence[RequestClass], times: QueueTimes) -> Lanes[T]:
    """Build the lanes of the classes, of unclassified requests and of health checks.

    Requests of all classes cost about the same CPU time, so the value weight alone gives the value per cost.
    """
    mean_weight = sum(cls.value_weight for cls in classes) / len(classes) or 1.0
    greatest_weight = _greatest_weight(classes)
    first_attempts: dict[str, Lane[T]] = {}
    for cls in classes:
        has_priority = cls.idempotency is Idempotency.NON_IDEMPOTENT
        wait = _longest_wait(cls, times, mean_weight)
        first_attempts[cls.name] = Lane(
            cls.name,
            has_priority,
            cls.value_weight / greatest_weight if greatest_weight else 1.0,
            {Phase.STANDING: wait, Phase.CALM: max(wait, times.interval)},
        )
    first_attempts[UNCLASSIFIED] = Lane(
        UNCLASSIFIED,
        has_priority=False,
        capacity_share=UNCLASSIFIED_CAPACITY_SHARE,
        longest_wait={Phase.STANDING: times.target, Phase.CALM: times.interval},
    )
    first_attempts[HEALTH] = Lane(
        HEALTH, has_priority=True, capacity_share=1.0, longest_wait=dict.fromkeys(Phase, math.inf)
    )
    return Lanes(first_attempts, _retry_lanes(first_attempts))


def _greatest_weight(classes: Sequence[RequestClass]) -> float:
    """Return the greatest value weight of the classes without priority, which compete for the capacity."""
    competing = [cls.value_weight for cls in classes if cls.idempotency is not Idempotency.NON_IDEMPOTENT]
    return max(competing or [cls.value_weight for cls in classes])


def _longest_wait(cls: RequestClass, times: QueueTimes, mean_weight: float) -> float:
    """Return the seconds that a request of a class may wait in a standing queue."""
    if cls.idempotency is Idempotency.NON_IDEMPOTENT:
        return PRIORITY_WAIT_SHARE * cls.latency_objective
    factor = min(MAX_WAIT_FACTOR, cls.value_weight / mean_weight)
    return times.target * max(MIN_WAIT_FACTOR, factor)


def _retry_lanes(first_attempts: dict[str, Lane[T]]) -> dict[str, Lane[T]]:
    """Build the lanes of retries, which have lower priority than first attempts.

    The latency objective of a retry counts from its first attempt, so its answer is likely to be late.
    """
    return {
        name: Lane(name, False, RETRY_CAPACITY_SHARE * lane.capacity_share, lane.longest_wait)
        for name, lane in first_attempts.items()
        if not lane.has_priority
    }
