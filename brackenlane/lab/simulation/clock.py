"""The virtual clock and its queue of scheduled calls."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class ScheduledCall:
    """Handle of a scheduled call, by which it can be cancelled."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Cancel the call if it has not been made yet."""
        self.call = None


class EventQueue:
    """Scheduled calls in order of time; calls due at the same time run in the order they were scheduled."""

    def __init__(self, start: float) -> None:
        """start: initial time of the clock, in seconds."""
        self.now = start
        self._order = itertools.count()
        self._heap: list[tuple[float, int, ScheduledCall]] = []

    def at(self, when: float, call: Callable[[], None]) -> ScheduledCall:
        """Schedule a call at a time, or as soon as possible if that time has passed."""
        scheduled = ScheduledCall(call)
        heapq.heappush(self._heap, (max(when, self.now), next(self._order), scheduled))
        return scheduled

    def after(self, delay: float, call: Callable[[], None]) -> ScheduledCall:
        """Schedule a call after a delay in seconds."""
        return self.at(self.now + delay, call)

    def run(self, until: float) -> None:
        """Run all calls that are due up to a time, then set the clock to that time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, scheduled = heapq.heappop(self._heap)
            if scheduled.call:
                scheduled.call()
        self.now = until
