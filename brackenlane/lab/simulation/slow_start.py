"""Capacity of a recently started server, and detection of the overload that makes it fail."""

from __future__ import annotations

import math
from collections import deque

from brackenlane.routing.settings import SlowStart

# Tolerance above the budget for random variation of the load: this many standard deviations of the work in a
# window (square root of the budget in mean requests), plus as many mean requests.
RANDOM_MARGIN = 2.0


class ColdCapacity:
    """Capacity of one cold server, and the work that arrives within the span of its slow-start settings."""

    def __init__(
        self, rule: SlowStart, width: float, start_share: float, warm_after: float, started_at: float
    ) -> None:
        """start_share, warm_after: true values of the server.

        The settings that routers have state the lowest start share and the longest time until warm.
        """
        self._rule = rule
        self._width = width
        self._start_share = start_share
        self._warm_after = max(warm_after, 1e-9)
        self.started_at = started_at
        self._recent: deque[tuple[float, float, bool]] = deque()

    def share(self, now: float) -> float:
        """Share of its full width that the server has now."""
        warmed = min(1.0, max(0.0, now - self.started_at) / self._warm_after)
        return self._start_share + (1 - self._start_share) * warmed

    def add(self, now: float, work: float, notified: bool, mean_work: float) -> float | None:
        """Add arriving work; return None unless it overloads the server.

        After an overload, return the share of the recent work from routers notified of the server's start.
        mean_work: mean work of a request of the largest class, which sets the tolerance for random variation.
        """
        share = self.share(now)
        if share >= 1:
            return None
        self._recent.append((now, work, notified))
        while self._recent[0][0] < now - self._rule.overload_duration:
            self._recent.popleft()
        received = sum(work for _, work, _ in self._recent)
        budget = self._rule.overload_factor * self._width * share * self._rule.overload_duration
        if received <= budget + RANDOM_MARGIN * (math.sqrt(budget * mean_work) + mean_work):
            return None
        return sum(work for _, work, notified in self._recent if notified) / received
