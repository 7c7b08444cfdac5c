"""How long answers take, as one router sees it, and whether that is a jam.

Pure. Waits are in spans: of a request's aim, or of its own sending time where that is longer. Mean and
deviation are learned as TCP learns its round trips (Jacobson, "Congestion Avoidance and Control", 1988).
"""

from __future__ import annotations

MEMORY = 16  # answers that the mean and the deviation are means over, about
CALM_MEMORY = 512  # answers in which the calm wait follows a mean that stays higher


class LatencyEstimate:
    """The mean wait of answers, its deviation, and the mean in calm times."""

    __slots__ = ("_calm", "_deviation", "_mean", "overloaded")

    def __init__(self) -> None:
        """Half a span, until learned."""
        self._mean, self._deviation = 0.5, 0.25
        self._calm = 0.5  # the least of the means; it rises slowly
        self.overloaded = False  # look for hits first, and let go of what is late

    @property
    def usual(self) -> float:
        """Spans within which nearly every answer comes."""
        return self._mean + 4 * self._deviation

    def learn(self, wait: float) -> None:
        """Take in how long an answer took, in spans."""
        error = wait - self._mean
        self._mean += error / MEMORY
        self._deviation += (abs(error) - self._deviation) / MEMORY
        rise = 1.0 if self._mean < self._calm else 1 / CALM_MEMORY
        self._calm += (self._mean - self._calm) * rise
        # Waits that were always long are no jam.
        self.overloaded = self._mean > self._calm and self._mean + self._deviation > 1
