"""Estimate of the rate at which requests are served while there is always one to serve.

Pure.
"""

from __future__ import annotations

import math

SAMPLE_WEIGHT = 1 / 32  # of the newest sample in the moving average


class ServiceRate:
    """Exponential moving average of the time between two requests taken from a queue that was not empty."""

    def __init__(self) -> None:
        self.per_second = 0.0  # 0 until the first sample
        self._gap = 0.0  # seconds between two
        self._last_taken_at = -math.inf
        self._is_busy = False  # whether requests were left when the last was taken

    def on_taken(self, now: float, has_more: bool) -> None:
        """Add a sample as a request is taken; `has_more`: whether others wait behind it."""
        if self._is_busy:
            gap = now - self._last_taken_at
            self._gap += (gap - self._gap) * (SAMPLE_WEIGHT if self._gap else 1.0)
            self.per_second = 1 / self._gap if self._gap else 0.0
        self._last_taken_at = now
        self._is_busy = has_more
