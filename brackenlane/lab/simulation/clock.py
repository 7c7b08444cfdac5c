"""Virtual time: calls that are due at a moment, made in order."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class ScheduledCall:
    """A call that is due at a moment and may be cancelled before it."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Never make the call."""
        self.call = None


class EventQueue:
    """Scheduled calls; those due at one moment are made in the order in which they were scheduled."""

    def __init__(self, start: float) -> None:
        """start: the clock at first, in seconds."""
        self.now = start
        self._order = itertools.count()
        self._heap: list[tuple[float, int, ScheduledCall]] = []

    def at(self, when: float, call: Callable[[], None]) -> ScheduledCall:
        """Make a call at a moment, or as soon as possible if that has passed."""
        scheduled = ScheduledCall(call)
        heapq.heappush(self._heap, (max(when, self.now), next(self._order), scheduled))
        return scheduled

    def after(self, delay: float, call: Callable[[], None]) -> ScheduledCall:
        """Make a call some seconds from now."""
        return self.at(self.now + delay, call)

    def run(self, until: float) -> None:
        """Make all calls that are due up to a moment."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, scheduled = heapq.heappop(self._heap)
            if scheduled.call:
                scheduled.call()
        self.now = until
