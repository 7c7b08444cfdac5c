"""Whether a request may have another attempt, and whether an overdue attempt is cancelled for a retry.

Pure. Times are Unix seconds, work is in seconds of transfer time.
"""

from __future__ import annotations

from brackenlane.routing.attempts import FULL_RETRY_COST, Request, Route
from brackenlane.routing.retry_budget import RetryBudget
from brackenlane.routing.settings import Settings


class RetryPolicy:
    """Limits attempts by their number, the deadline of the request and the retry budget."""

    __slots__ = ("_budget", "_max_attempts", "_may_cancel")

    def __init__(self, settings: Settings, budget: RetryBudget) -> None:
        """budget: the caller credits it for each request and charges it for each retry."""
        self._budget = budget
        self._max_attempts = settings.max_attempts
        self._may_cancel = settings.may_cancel

    def can_attempt(self, request: Request, now: float) -> bool:
        """Whether a request may have its first or another attempt."""
        if request.attempts_sent >= self._max_attempts:
            return False
        if not request.is_next_a_retry:
            return True
        return request.deadline - now >= request.work and self._budget.can_spend(request.retry_cost)

    def should_cancel(self, request: Request, route: Route, now: float) -> bool:
        """Whether to cancel an overdue attempt, so that its request is retried.

        One of its servers must be ejected, and a retry must be able to meet the deadline. A long wait
        alone is not sufficient.
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
