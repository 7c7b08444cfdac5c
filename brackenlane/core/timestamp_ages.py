"""Computes the age of timestamps from other machines, even if this machine's clock was wrong at startup.

The difference between a timestamp and its arrival time here is its true age plus the offset between the two
clocks. The smallest difference seen so far is an upper bound of that offset, so subtracting it from a later
difference never gives more than the true age. A timestamp in the future (the other clock was stepped, or this
one is behind) is not used for the correction: it would make later timestamps seem too old.
"""

from __future__ import annotations

import math


class TimestampAges:
    """Estimates the ages of timestamps from one source; an estimate never exceeds the true age."""

    def __init__(self) -> None:
        self._min_difference = math.inf

    def age(self, timestamp: float, now: float) -> float:
        """Return a lower bound of a timestamp's age in seconds.

        timestamp, now: Unix times on the clocks of the source and of this machine.
        """
        difference = now - timestamp
        self._min_difference = min(self._min_difference, difference)
        return max(0.0, difference - max(0.0, self._min_difference))
