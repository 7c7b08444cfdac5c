"""The usual waiting time of answers, as one router sees it, and whether it means overload.

Pure. Waits are multiples of a request's span: its latency objective, or its own transfer time where that is
longer. Mean and deviation are estimated as TCP estimates its round-trip time (Jacobson, "Congestion Avoidance
and Control", 1988; RFC 6298).
"""

from __future__ import annotations

MEMORY = 16  # answers over which mean and deviation are averaged, about
BASELINE_MEMORY = 512  # answers in which the baseline follows a mean that stays higher, about
DEVIATIONS = 4  # above the mean, within which nearly every answer comes (RFC 6298: K)
PRIOR_MEAN = 0.5  # spans
PRIOR_DEVIATION = 0.25  # spans


class LatencyEstimate:
    """The mean wait of answers, its deviation, and the mean while there is no overload."""

    __slots__ = ("_baseline", "_deviation", "_mean", "overloaded")

    def __init__(self) -> None:
        self._mean = PRIOR_MEAN
        self._deviation = PRIOR_DEVIATION
        self._baseline = PRIOR_MEAN  # the least of the means; it rises slowly
        self.overloaded = False  # whether waits are above the baseline and beyond the objective

    @property
    def usual(self) -> float:
        """Spans within which nearly every answer comes."""
        return self._mean + DEVIATIONS * self._deviation

    def learn(self, wait: float) -> None:
        """Learn from the wait of one answer, in spans."""
        error = wait - self._mean
        self._mean += error / MEMORY
        self._deviation += (abs(error) - self._deviation) / MEMORY
        rate = 1.0 if self._mean < self._baseline else 1 / BASELINE_MEMORY
        self._baseline += (self._mean - self._baseline) * rate
        # Waits that have always been long are no overload.
        self.overloaded = self._mean > self._baseline and self._mean + self._deviation > 1
