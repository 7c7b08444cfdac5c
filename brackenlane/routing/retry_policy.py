"""Whether a request may have a further attempt, and whether one in flight is cancelled for it.

Pure. Times are Unix seconds, work is in transfer-seconds.
"""

from __future__ import annotations

from brackenlane.routing.attempts import FULL_RETRY_COST, Request, Route
from brackenlane.routing.retry_budget import RetryBudget
from brackenlane.routing.settings import Settings


class RetryPolicy:
    """The bounds on attempts: their number, the deadline and the retry budget."""

    __slots__ = ("_budget", "_max_attempts", "_may_cancel")

    def __init__(self, settings: Settings, budget: RetryBudget) -> None:
        """budget: earned by each request, spent by each retry."""
        self._budget = budget
        self._max_attempts = settings.max_attempts
        self._may_cancel = settings.may_cancel

    def can_attempt(self, request: Request, now: float) -> bool:
        """Whether a request may have its first or a further attempt."""
        if request.attempts_sent >= self._max_attempts:
            return False
        if not request.is_next_a_retry:
            return True
        return request.deadline - now >= request.work and self._budget.can_spend(request.retry_cost)

    def should_cancel(self, request: Request, route: Route, now: float) -> bool:
        """Whether to cancel an overdue attempt: one of its servers is ejected, and a retry would be in time.

        A long wait alone is no reason.
        """
        source = route.attributed_source
        is_ejected = bool(route.edge.ejected_until or (source and source.ejected_until))
        return (
            is_ejected
            and self._may_cancel
            and request.attempts_sent < self._max_attempts
            and self._budget.can_spend(FULL_RETRY_COST)
            and request.deadline - now > request.work
        )
