"""The admission queue: what is served next and what is rejected, by how long requests have waited.

A decision module: no I/O, no clock of its own; times are Unix seconds. Controlled delay after Nichols and
Jacobson (RFC 8289), for a queue of requests instead of packets: one that has not been empty for a whole
interval is no burst. While it stands, nothing may wait longer than a short target, and the newest goes first,
since the oldest is the most likely to be too late. Both times come from the classes' latency objectives.
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
    """The requests that wait for service, bounded by the caller: a connection has at most one in it."""

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        known = list(classes)
        times = queue_times(known)
        self._target = times.target
        self._interval = times.interval
        self._lanes: Lanes[T] = build_lanes(known, times)
        self._first_attempts = list(self._lanes.first_attempts.values())
        self._retries = list(self._lanes.retries.values())
        self._priority = [lane for lane in self._first_attempts if lane.has_priority]
        self._competing = [lane for lane in self._first_attempts if not lane.has_priority]
        self._last_empty_at = -math.inf
        self._phase = Phase.CALM
        self._service_rate = ServiceRate()
        self.size = 0

    @property
    def service_rate(self) -> float:
        """Requests taken per second while a queue stands, learned; 0 if unknown."""
        return self._service_rate.per_second

    def has_capacity_for(self, cls: str, is_retry: bool) -> bool:
        """Whether a request may join the queue; else it is rejected on arrival, which costs least.

        Behind a standing queue there is capacity for as many as will be taken within the target, by the
        learned rate (Little's law); the less a class is worth, the sooner it is used up.
        """
        rate = self._service_rate.per_second
        if self._phase is Phase.CALM or not rate:
            return True
        lane = self._lanes.lane(cls, is_retry)
        return lane.has_priority or self.size < max(1.0, rate * self._target * lane.capacity_share)

    def add(self, item: T, cls: str, is_retry: bool, now: float) -> None:
        """Add a request.

        cls: its class, `HEALTH`, or any other name for a request without a class; is_retry: marked by its
        client as a retry.
        """
        if not self.size:
            self._last_empty_at = now
        self._lanes.lane(cls, is_retry).waiting.append((now, item))
        self.size += 1

    def phase(self, now: float) -> Phase:
        """Return whether a queue stands: it has not been empty for an interval.

        A queue emptied by shedding counts as empty. Were it not so, a load that the CPU can bear, whose usual
        waits are over the target, would be shed from for good: a second equilibrium.
        """
        if not self.size:
            self._last_empty_at = now
        is_burst = now - self._last_empty_at < self._interval
        self._phase = Phase.CALM if is_burst else Phase.STANDING
        return self._phase

    def shed(self, now: float) -> list[T]:
        """Remove and return the requests to reject at once: those that waited longer than allowed."""
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
        """Remove and return the next request to serve and when it was added; None if none waits."""
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
        """Remove a request whose client has disconnected; whether it was waiting."""
        lane = self._lanes.lane(cls, is_retry)
        for position, (_, waiting) in enumerate(lane.waiting):
            if waiting is item:
                del lane.waiting[position]
                self.size -= 1
                return True
        return False

    def hold_off(self, now: float) -> float:
        """Return the seconds after which a rejected client may retry: until what waits has been served.

        At least an interval while a queue stands.
        """
        rate = self._service_rate.per_second
        time_to_empty = self.size / rate if rate else 0.0
        shortest = self._interval if self.phase(now) is Phase.STANDING else 0.0
        return max(time_to_empty, shortest)

    def _next_lane(self, phase: Phase) -> Lane[T]:
        """Return the lane to serve: priority lanes, then first attempts, then retries.

        Within each group it is the lane with the oldest request of all, or the newest while a queue stands.
        Priority lanes are always served oldest first.
        """
        find = _lane_with_newest if phase is Phase.STANDING else _lane_with_oldest
        lane = _lane_with_oldest(self._priority) or find(self._competing) or find(self._retries)
        assert lane is not None  # the size counts what is in the lanes
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
