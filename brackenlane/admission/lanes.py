"""The lanes of the admission queue: one per request class, with its priority, capacity and longest wait."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

from brackenlane.routing.settings import Idempotency, RequestClass

T = TypeVar("T")

UNCLASSIFIED = ""  # lane of requests that name no class, such as those that will be answered with an error
HEALTH = "health"  # lane of health checks

TARGET_SHARE = 1 / 6  # of the shortest latency objective: the longest wait while a queue stands
INTERVAL_SHARE = 1 / 2  # of the shortest latency objective: a queue not empty for so long is a standing queue
MIN_WAIT_FACTOR = 0.5  # of the target, for a class of little value
MAX_WAIT_FACTOR = 2.0  # of the target, for a class of much value
PRIORITY_WAIT_SHARE = 1 / 4  # of its own latency objective, which a non-idempotent class may wait
RETRY_CAPACITY_SHARE = 1 / 4  # of the capacity of first attempts, which retries may take in a standing queue
UNCLASSIFIED_CAPACITY_SHARE = 0.5


class Phase(Enum):
    """State of the queue, which sets the order of service and the longest wait."""

    CALM = "calm"  # oldest first; a burst may wait for an interval
    STANDING = "standing"  # newest first; nothing waits longer than about the target


@dataclass(slots=True, frozen=True)
class QueueTimes:
    """The two times of controlled delay, in seconds."""

    target: float  # longest wait while a queue stands
    interval: float  # a queue that has not been empty for so long stands


@dataclass(slots=True)
class Lane(Generic[T]):
    """The waiting requests of one class, oldest first."""

    name: str
    has_priority: bool  # served before all others: what must not be repeated, and health checks
    capacity_share: (
        float  # of the capacity of a standing queue that may be taken when one of this class comes
    )
    longest_wait: dict[Phase, float]  # seconds
    waiting: deque[tuple[float, T]] = field(default_factory=deque)  # arrival in Unix seconds, request


@dataclass(slots=True)
class Lanes(Generic[T]):
    """All lanes: first attempts and retries, each by the name of their class."""

    first_attempts: dict[str, Lane[T]]
    retries: dict[str, Lane[T]]  # of lanes without priority

    def lane(self, cls: str, is_retry: bool) -> Lane[T]:
        """Return the lane of a request; a class that is not known shares that of the unclassified."""
        lane = self.first_attempts.get(cls) or self.first_attempts[UNCLASSIFIED]
        if is_retry and not lane.has_priority:
            return self.retries[lane.name]
        return lane


def queue_times(classes: Sequence[RequestClass]) -> QueueTimes:
    """Return the times that follow from the shortest latency objective of all classes."""
    shortest = min(cls.latency_objective for cls in classes)
    return QueueTimes(TARGET_SHARE * shortest, INTERVAL_SHARE * shortest)


def build_lanes(classes: Sequence[RequestClass], times: QueueTimes) -> Lanes[T]:
    """Build the lanes of the classes, of unclassified requests and of health checks.

    A request costs about the same processor time in any class, so value for cost is the value weight alone.
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
    """Return the greatest value weight of the classes that compete for the capacity."""
    competing = [cls.value_weight for cls in classes if cls.idempotency is not Idempotency.NON_IDEMPOTENT]
    return max(competing or [cls.value_weight for cls in classes])


def _longest_wait(cls: RequestClass, times: QueueTimes, mean_weight: float) -> float:
    """Return the seconds that a request of a class may wait in a standing queue."""
    if cls.idempotency is Idempotency.NON_IDEMPOTENT:
        return PRIORITY_WAIT_SHARE * cls.latency_objective
    factor = min(MAX_WAIT_FACTOR, cls.value_weight / mean_weight)
    return times.target * max(MIN_WAIT_FACTOR, factor)


def _retry_lanes(first_attempts: dict[str, Lane[T]]) -> dict[str, Lane[T]]:
    """Build the lanes of retries, which give way to first attempts.

    The latency objective of a retry runs from its first attempt, so that its answer is likely late.
    """
    return {
        name: Lane(name, False, RETRY_CAPACITY_SHARE * lane.capacity_share, lane.longest_wait)
        for name, lane in first_attempts.items()
        if not lane.has_priority
    }
