"""The work that was requested lately of each cached copy, in a bounded table.

Pure. Work is in seconds of transfer, times are Unix seconds.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

DECAY_SECONDS = 10.0  # in which a sum falls to 1/e


class _RequestedWork(NamedTuple):
    """An exponentially decayed sum of work."""

    work: float
    at: float  # the Unix time to which it is decayed


NOTHING_REQUESTED = _RequestedWork(0.0, 0.0)


class Popularity:
    """Decayed sums of requested work by cache key; those requested longest ago are forgotten first."""

    def __init__(self, retained: int) -> None:
        """retained: cache keys remembered, at most."""
        self._retained = retained
        self._requested: OrderedDict[str, _RequestedWork] = OrderedDict()

    def __len__(self) -> int:
        return len(self._requested)

    def add(self, cache_key: str, work: float, now: float) -> float:
        """Count a request; return the load of its copy, in transfers at a time."""
        earlier = self._requested.get(cache_key)
        total = work
        if earlier is not None:
            total = earlier.work * math.exp((earlier.at - now) / DECAY_SECONDS) + work
        self._requested[cache_key] = _RequestedWork(total, now)
        self._requested.move_to_end(cache_key)
        if len(self._requested) > self._retained:
            self._requested.popitem(last=False)
        return total / DECAY_SECONDS

    def is_repeated(self, cache_key: str, work: float) -> bool:
        """Return whether more than one request of this work was counted lately for a copy."""
        return self._requested.get(cache_key, NOTHING_REQUESTED).work > work
