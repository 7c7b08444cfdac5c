"""Estimates the rate at which requests are served while the queue is not empty. Performs no I/O."""

from __future__ import annotations

import math

SAMPLE_WEIGHT = 1 / 32  # weight of the newest sample in the moving average


class ServiceRate:
    """Exponential moving average of the time between two requests taken from a non-empty queue."""

    def __init__(self) -> None:
        self.per_second = 0.0  # 0 until the first sample
        self._mean_gap = 0.0  # average seconds between two requests
        self._last_taken_at = -math.inf
        self._is_busy = False  # whether the queue was not empty after the last request was taken

    def on_taken(self, now: float, has_more: bool) -> None:
        """Add a sample when a request is taken; `has_more`: whether the queue is not empty afterwards."""
        if self._is_busy:
            gap = now - self._last_taken_at
            self._mean_gap += (gap - self._mean_gap) * (SAMPLE_WEIGHT if self._mean_gap else 1.0)
            self.per_second = 1 / self._mean_gap if self._mean_gap else 0.0
        self._last_taken_at = now
        self._is_busy = has_more
