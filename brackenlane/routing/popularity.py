"""How much each object has been asked for lately, in a bounded table.

Pure. Work is in transfer-seconds, times are Unix seconds.
"""

from __future__ import annotations

import math
from collections import OrderedDict

DECAY_SECONDS = 10.0  # in which an aged count falls to 1/e


class Popularity:
    """Exponentially aged work asked for per copy; those asked for longest ago are forgotten first."""

    def __init__(self, most: int) -> None:
        """most: copies remembered."""
        self._most = most
        self._asked: OrderedDict[str, tuple[float, float]] = OrderedDict()  # aged work, and when it was aged

    def __len__(self) -> int:
        return len(self._asked)

    def add(self, copy: str, work: float, now: float) -> float:
        """Count a request; the load that the copy brings, in transfers at a time."""
        requested, at = self._asked.get(copy, (0.0, now))
        requested = requested * math.exp((at - now) / DECAY_SECONDS) + work
        self._asked[copy] = (requested, now)
        self._asked.move_to_end(copy)
        if len(self._asked) > self._most:
            self._asked.popitem(last=False)
        return requested / DECAY_SECONDS

    def is_repeated(self, copy: str, work: float) -> bool:
        """Whether more than one request of this work was counted for a copy."""
        return self._asked.get(copy, (0.0, 0.0))[0] > work
