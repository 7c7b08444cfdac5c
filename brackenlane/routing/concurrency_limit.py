"""Adaptive limit on the concurrent transfers of a server, relative to its known or assumed link width.

Pure. Widths are in concurrent transfers, times are Unix seconds.

Listed weights are approximate, and a default width is assumed for servers without one. The limit therefore
adapts to whether answers are late, like the congestion window of TCP: slow start until the first late answer,
then additive increase and multiplicative decrease (Chiu and Jain, 1989; Jacobson, 1988; RFC 5681). A known
width is the upper bound of the limit: if many routers exceeded it, the loss of one server would overload the
remaining ones.
"""

from __future__ import annotations

import math

DECREASE_FACTOR = 3 / 4  # multiplies the limit after a late answer
MIN_UTILIZATION = 1 / 2  # share of the limit that must be in use for a timely answer to raise the limit


class ConcurrencyLimit:
    """The limit of one server, as a factor of its link width."""

    __slots__ = ("_decreased_at", "_max_factor", "factor")

    def __init__(self, max_factor: float = 1.0) -> None:
        """Start with a limit equal to the width; max_factor: upper bound of the factor."""
        self.factor = 1.0
        self._max_factor = max_factor
        self._decreased_at = -math.inf

    def observe(self, is_late: bool, utilization: float, width: float, now: float, cooldown: float) -> None:
        """Adjust the limit to one answer.

        utilization: share of the limit that was in flight when the attempt was sent; width: known or assumed;
        cooldown: seconds after a decrease without another one, as answers that are late together have one
        cause.
        """
        if width <= 0:
            return  # the weight was set to 0 while attempts were in flight
        if is_late:
            self._decrease(width, now, cooldown)
        elif utilization >= MIN_UTILIZATION:
            self._increase(width)

    def _increase(self, width: float) -> None:
        """Raise the limit by one transfer per answer in slow start, then by one per `limit` such answers."""
        is_slow_start = self._decreased_at == -math.inf
        transfers = 1.0 if is_slow_start else 1 / max(1.0, self.factor * width)
        self.factor = min(self._max_factor, self.factor + transfers / width)

    def _decrease(self, width: float, now: float, cooldown: float) -> None:
        """Decrease the limit, but not below one transfer, which detects whether the server has recovered."""
        if now > self._decreased_at + cooldown:
            self.factor = max(min(1.0, 1 / width), self.factor * DECREASE_FACTOR)
            self._decreased_at = now
