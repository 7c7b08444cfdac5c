"""Delays of DNS look-ups: before the first one, after a failure, and before an answer expires.

Hundreds of routers query the same upstreams, so each delay is spread or jittered.
"""

from __future__ import annotations

import random

from brackenlane.clock import steady_time
from brackenlane.coldstart.pacing import hashed_offset, jittered_backoff, jittered_lifetime
from brackenlane.limits import Limits

MAX_RETRY_FACTOR = 16.0  # ratio of the longest retry delay to the first one


class LookUpSchedule:
    """Look-up delays of one router, in seconds."""

    def __init__(self, router_name: str, window: float, limits: Limits) -> None:
        """`window`: seconds over which the site's routers spread their first look-up of one name."""
        self._router_name = router_name
        self._window = window
        self._limits = limits
        self._random = random.Random()

    def first_wait(self, name: str, name_count: int) -> float:
        """Return the delay of the first look-up, spread over `name_count` windows by a hash of both names."""
        return hashed_offset(self._router_name, name) * self._window * max(1, name_count)

    def retry_wait(self, failures: int) -> float:
        """Return the delay after a number of consecutive failures."""
        first = max(self._limits.resolve_retry_delay, self._window)
        return jittered_backoff(failures, first, MAX_RETRY_FACTOR * first, self._random)

    def refresh_wait(self, expires_at: float) -> float:
        """Return the delay before an answer that expires at a Unix time is looked up again."""
        return max(
            self._limits.min_resolve_interval, jittered_lifetime(expires_at - steady_time(), self._random)
        )
