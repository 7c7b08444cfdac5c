"""Caches that came back into service and whose start since then may not have been reported yet. Pure."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

MAX_RETURNS = 1_024  # caches that are kept; past it the earliest return is dropped
RETURN_LIFETIME = 3_600.0  # seconds; longer than any slow start


class CacheReturn(NamedTuple):
    """A cache was out of service from one Unix time to another; it may have been restarted meanwhile."""

    entered_at: float
    exited_at: float


class CacheReturns(OrderedDict[str, CacheReturn]):
    """The latest return of each cache by its id, earliest return first."""

    def record(self, server: str, cache_return: CacheReturn) -> None:
        """Keep the return of a cache in place of its earlier one."""
        self.pop(server, None)
        self[server] = cache_return
        if len(self) > MAX_RETURNS:
            self.popitem(last=False)
