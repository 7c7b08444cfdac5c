"""How many transfers at a time a server is given, learned around its known or assumed width.

Pure. Widths are in transfers at a time, times are Unix seconds.

A listed weight is rough, and where none is listed a width is assumed. But whether answers come in time is
seen, and the limit follows it as TCP's congestion window does: slow start until the first late answer, then
additive increase and multiplicative decrease (Chiu and Jain, 1989; Jacobson, 1988; RFC 5681). A known width
is its upper bound: servers to which many routers gave more would fail together once one of them is lost.
"""

from __future__ import annotations

import math

DECREASE_FACTOR = 3 / 4  # of the limit, that a late answer leaves
LEAST_USED_SHARE = 1 / 2  # of the limit in flight, from which an answer in time is a reason to raise it


class ConcurrencyLimit:
    """The limit of one server, as a factor of its width."""

    __slots__ = ("_decreased_at", "_largest_factor", "factor")

    def __init__(self, largest_factor: float = 1.0) -> None:
        """Start with the width itself."""
        self.factor = 1.0
        self._largest_factor = largest_factor
        self._decreased_at = -math.inf

    def observe(self, late: bool, used: float, width: float, now: float, window: float) -> None:
        """Learn from one answer.

        used: the share of the limit that was in flight when it was requested; width: as known or assumed;
        window: seconds after a decrease in which there is no other, since late answers then have one cause.
        """
        if width <= 0:
            return  # its weight became 0 while answers were still to come; nothing can be learned of it
        if late:
            self._decrease(width, now, window)
        elif used >= LEAST_USED_SHARE:
            self._increase(width)

    def _increase(self, width: float) -> None:
        """Add a transfer in slow start; later, one for as many answers as the limit holds."""
        is_slow_start = self._decreased_at == -math.inf
        transfers = 1.0 if is_slow_start else 1 / max(1.0, self.factor * width)
        self.factor = min(self._largest_factor, self.factor + transfers / width)

    def _decrease(self, width: float, now: float, window: float) -> None:
        """Multiply the limit, but leave one transfer: its answer shows whether the server bears more."""
        if now > self._decreased_at + window:
            self.factor = max(min(1.0, 1 / width), self.factor * DECREASE_FACTOR)
            self._decreased_at = now
