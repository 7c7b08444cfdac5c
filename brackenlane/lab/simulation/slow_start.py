"""How much a server that started lately can do, and when it is pushed over."""

from __future__ import annotations

import math
from collections import deque

from brackenlane.routing.settings import SlowStart

RANDOM_MARGIN = (
    2.0  # roots of the budget, in mean requests, and as many requests, that are put down to chance
)


class ColdCapacity:
    """Work that reaches one cold server, in windows of the rule's span."""

    def __init__(
        self, rule: SlowStart, width: float, start_share: float, warm_after: float, started_at: float
    ) -> None:
        """start_share and warm_after: as the server truly is; the rule tells the least and the latest."""
        self._rule = rule
        self._width = width
        self._start_share = start_share
        self._warm_after = max(warm_after, 1e-9)
        self.started_at = started_at
        self._recent: deque[tuple[float, float, bool]] = deque()

    def share(self, now: float) -> float:
        """The part of its width that the server can use now."""
        warmed = min(1.0, max(0.0, now - self.started_at) / self._warm_after)
        return self._start_share + (1 - self._start_share) * warmed

    def add(self, now: float, work: float, notified: bool, mean_work: float) -> float | None:
        """Count work that arrives; if that pushes the server over, the share from routers told of its start.

        mean_work: the mean work of the largest class, by which chance is judged.
        """
        share = self.share(now)
        if share >= 1:
            return None
        self._recent.append((now, work, notified))
        while self._recent[0][0] < now - self._rule.span:
            self._recent.popleft()
        received = sum(work for _, work, _ in self._recent)
        budget = self._rule.factor * self._width * share * self._rule.span
        if received <= budget + RANDOM_MARGIN * (math.sqrt(budget * mean_work) + mean_work):
            return None
        return sum(work for _, work, notified in self._recent if notified) / received
