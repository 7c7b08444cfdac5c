"""The retry budget of one router: retries are a bounded share of requests.

Pure. Budgets and costs are in retries (Envoy, "retry budgets"; Google SRE book, "Handling overload").
"""

from __future__ import annotations

EARNED_PER_REQUEST = 0.2  # retries that each request adds to the budget
INITIAL_RETRIES = 1 / EARNED_PER_REQUEST
MAX_RETRIES = 4 / EARNED_PER_REQUEST  # upper bound of the budget, available for a burst of failures


class RetryBudget:
    """The number of retries that may be sent now."""

    __slots__ = ("available",)

    def __init__(self) -> None:
        self.available = INITIAL_RETRIES

    def earn(self) -> None:
        """Credit the budget for one request."""
        self.available = min(self.available + EARNED_PER_REQUEST, MAX_RETRIES)

    def can_spend(self, cost: float) -> bool:
        """Whether a retry of this cost is within the budget."""
        return self.available >= cost

    def spend(self, cost: float) -> None:
        """Charge the budget for a retry that is sent."""
        self.available -= cost
