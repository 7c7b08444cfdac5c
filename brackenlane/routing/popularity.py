"""Recently requested work per cache key, in a bounded table.

Pure. Work is in seconds of transfer time, times are Unix seconds.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

DECAY_SECONDS = 10.0  # time constant: without requests, a sum falls to 1/e in this time


class _RequestedWork(NamedTuple):
    """An exponentially decayed sum of work."""

    work: float
    at: float  # Unix time up to which the decay is applied


NOTHING_REQUESTED = _RequestedWork(0.0, 0.0)


class Popularity:
    """Decayed sums of requested work by cache key; evicts the least recently requested keys."""

    def __init__(self, max_entries: int) -> None:
        """max_entries: maximum number of cache keys remembered."""
        self._max_entries = max_entries
        self._requested: OrderedDict[str, _RequestedWork] = OrderedDict()

    def __len__(self) -> int:
        return len(self._requested)

    def add(self, cache_key: str, work: float, now: float) -> float:
        """Count a request; return the load on its cache key, in mean concurrent transfers."""
        earlier = self._requested.get(cache_key)
        total = work
        if earlier is not None:
            total = earlier.work * math.exp((earlier.at - now) / DECAY_SECONDS) + work
        self._requested[cache_key] = _RequestedWork(total, now)
        self._requested.move_to_end(cache_key)
        if len(self._requested) > self._max_entries:
            self._requested.popitem(last=False)
        return total / DECAY_SECONDS

    def is_repeated(self, cache_key: str, work: float) -> bool:
        """Return whether more than one request of this work was counted recently for a cache key."""
        return self._requested.get(cache_key, NOTHING_REQUESTED).work > work
