"""Estimate of the response latency that one router observes, and detection of overload from it.

Pure. Latencies are multiples of `Request.wait_unit`: the latency objective of a request, or its own transfer
time divided by PLANNABLE_TIME_SHARE if that is longer. Mean and deviation are smoothed like the round-trip
time of TCP (Jacobson, "Congestion Avoidance and Control", 1988; RFC 6298).
"""

from __future__ import annotations

SMOOTHING_ANSWERS = 16  # time constant of the moving mean and deviation, in answers
BASELINE_SMOOTHING_ANSWERS = 512  # time constant with which the baseline follows a higher mean, in answers
DEVIATIONS = 4  # deviations above the mean that nearly every answer stays below (K in RFC 6298)
PRIOR_MEAN = 0.5  # wait units
PRIOR_DEVIATION = 0.25  # wait units


class LatencyEstimate:
    """Moving mean and deviation of latency, and a baseline: the mean latency without overload."""

    __slots__ = ("_baseline", "_deviation", "_mean", "overloaded")

    def __init__(self) -> None:
        self._mean = PRIOR_MEAN
        self._deviation = PRIOR_DEVIATION
        self._baseline = PRIOR_MEAN  # follows the mean down at once and up slowly
        # Whether the mean is above the baseline, and one deviation above the mean exceeds one wait unit.
        self.overloaded = False

    @property
    def expected_max(self) -> float:
        """The latency that nearly every answer stays below, in wait units."""
        return self._mean + DEVIATIONS * self._deviation

    def learn(self, wait: float) -> None:
        """Update the estimate with the latency of one answer, in wait units."""
        error = wait - self._mean
        self._mean += error / SMOOTHING_ANSWERS
        self._deviation += (abs(error) - self._deviation) / SMOOTHING_ANSWERS
        rate = 1.0 if self._mean < self._baseline else 1 / BASELINE_SMOOTHING_ANSWERS
        self._baseline += (self._mean - self._baseline) * rate
        # A latency that has always been high is the baseline, not an overload.
        self.overloaded = self._mean > self._baseline and self._mean + self._deviation > 1
