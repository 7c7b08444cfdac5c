"""The admission queue: decides what is served next and what is rejected, by how long requests have waited.

It performs no I/O and reads no clock; times are Unix seconds. It applies controlled delay (CoDel, Nichols and
Jacobson, RFC 8289) to requests instead of packets. A queue that has not been empty for a whole interval is a
standing queue rather than a burst. While there is a standing queue, requests that have waited longer than a
short target are rejected, and the newest request is served first, since the oldest one is the most likely to
miss its deadline. Interval and target are derived from the latency objectives of the classes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Generic, TypeVar

from brackenlane.admission.lanes import Lane, Lanes, Phase, build_lanes, queue_times
from brackenlane.admission.service_rate import ServiceRate
from brackenlane.routing.settings import RequestClass

T = TypeVar("T")


class AdmissionQueue(Generic[T]):
    """The requests that wait for service; bounded by the caller, as a connection has at most one in it."""

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        class_list = list(classes)
        times = queue_times(class_list)
        self._target = times.target
        self._interval = times.interval
        self._lanes: Lanes[T] = build_lanes(class_list, times)
        self._first_attempts = list(self._lanes.first_attempts.values())
        self._retries = list(self._lanes.retries.values())
        self._priority = [lane for lane in self._first_attempts if lane.has_priority]
        self._without_priority = [lane for lane in self._first_attempts if not lane.has_priority]
        self._last_empty_at = -math.inf
        self._phase = Phase.CALM
        self._service_rate = ServiceRate()
        self.size = 0

    @property
    def service_rate(self) -> float:
        """Measured rate of requests taken from a non-empty queue, per second; 0 if unknown."""
        return self._service_rate.per_second

    def has_capacity_for(self, cls: str, is_retry: bool) -> bool:
        """Whether a request may join the queue; if not, it is rejected on arrival, which is cheapest.

        A standing queue has capacity for as many requests as are served within the target at the measured
        rate (Little's law). Classes of less value may use only a part of this capacity.
        """
        rate = self._service_rate.per_second
        if self._phase is Phase.CALM or not rate:
            return True
        lane = self._lanes.lane(cls, is_retry)
        return lane.has_priority or self.size < max(1.0, rate * self._target * lane.capacity_share)

    def add(self, item: T, cls: str, is_retry: bool, now: float) -> None:
        """Add a request.

        cls: the name of its class, `HEALTH`, or any other name for a request without a class; is_retry:
        whether the client marked it as a retry.
        """
        if not self.size:
            self._last_empty_at = now
        self._lanes.lane(cls, is_retry).waiting.append((now, item))
        self.size += 1

    def phase(self, now: float) -> Phase:
        """Return the phase; `STANDING` if the queue has not been empty for an interval.

        A queue emptied by shedding counts as empty. Otherwise shedding could go on forever under a load that
        the CPU can handle but whose usual waits exceed the target: a second equilibrium.
        """
        if not self.size:
            self._last_empty_at = now
        is_burst = now - self._last_empty_at < self._interval
        self._phase = Phase.CALM if is_burst else Phase.STANDING
        return self._phase

    def shed(self, now: float) -> list[T]:
        """Remove and return the requests to reject: those that have waited longer than allowed."""
        phase = self.phase(now)
        expired: list[T] = []
        for lanes in (self._first_attempts, self._retries):
            for lane in lanes:
                longest_wait = lane.longest_wait[phase]
                while lane.waiting and now - lane.waiting[0][0] > longest_wait:
                    expired.append(lane.waiting.popleft()[1])
        self.size -= len(expired)
        return expired

    def take(self, now: float) -> tuple[T, float] | None:
        """Remove and return the next request to serve and when it was added; None if the queue is empty."""
        if not self.size:
            return None
        phase = self.phase(now)
        lane = self._next_lane(phase)
        is_newest_first = phase is Phase.STANDING and not lane.has_priority
        added_at, item = lane.waiting.pop() if is_newest_first else lane.waiting.popleft()
        self.size -= 1
        self._service_rate.on_taken(now, self.size > 0)
        return item, added_at

    def remove(self, item: T, cls: str, is_retry: bool) -> bool:
        """Remove a request whose client has disconnected; return whether it was in the queue."""
        lane = self._lanes.lane(cls, is_retry)
        for position, (_, waiting) in enumerate(lane.waiting):
            if waiting is item:
                del lane.waiting[position]
                self.size -= 1
                return True
        return False

    def retry_after(self, now: float) -> float:
        """Return the seconds after which a rejected client may retry: the time needed to serve the queue.

        In a standing queue it is at least one interval.
        """
        rate = self._service_rate.per_second
        time_to_empty = self.size / rate if rate else 0.0
        shortest = self._interval if self.phase(now) is Phase.STANDING else 0.0
        return max(time_to_empty, shortest)

    def _next_lane(self, phase: Phase) -> Lane[T]:
        """Return the lane to serve: priority lanes, then first attempts, then retries.

        Among lanes of the same kind, the one with the oldest request is served, or in a standing queue the
        one with the newest. Priority lanes are always served oldest first.
        """
        find = _lane_with_newest if phase is Phase.STANDING else _lane_with_oldest
        lane = _lane_with_oldest(self._priority) or find(self._without_priority) or find(self._retries)
        assert lane is not None  # `size` is not 0, so a lane has a request
        return lane


def _lane_with_oldest(lanes: list[Lane[T]]) -> Lane[T] | None:
    best: Lane[T] | None = None
    for lane in lanes:
        if lane.waiting and (best is None or lane.waiting[0][0] < best.waiting[0][0]):
            best = lane
    return best


def _lane_with_newest(lanes: list[Lane[T]]) -> Lane[T] | None:
    best: Lane[T] | None = None
    for lane in lanes:
        if lane.waiting and (best is None or lane.waiting[-1][0] > best.waiting[-1][0]):
            best = lane
    return best
