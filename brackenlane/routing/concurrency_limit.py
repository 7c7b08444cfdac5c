"""How many transfers at a time a server is given: learned around what is told or assumed of its link.

Pure. Widths are in transfers at a time, times are Unix seconds.

What a list tells of a link is rough, and where it tells nothing a width is assumed. But whether answers
come in time is seen, and the limit follows it as TCP's window does: a slow start until the first late answer,
then additive increase and multiplicative decrease (Chiu and Jain 1989; Jacobson 1988). A width that is told
is its bound: servers that many routers gave more than that fail together when one of them is lost.
"""

from __future__ import annotations

import math

DECREASE = 3 / 4  # of the limit, that a late answer leaves
USED = 1 / 2  # of the limit in flight, from which an answer in time is a reason to raise it


class ConcurrencyLimit:
    """The limit of one server, as a factor of the width that is told or assumed."""

    __slots__ = ("_decreased", "_most", "factor")

    def __init__(self, most: float = 1.0) -> None:
        """The width itself, until learned; most: times the width, at most."""
        self.factor = 1.0
        self._most = most
        self._decreased = -math.inf  # when it was last lowered

    def observe(self, late: bool, used: float, width: float, now: float, pause: float) -> None:
        """Take in one answer.

        used: the part of the limit that was in flight as it was asked for; width: as told or assumed; pause:
        seconds in which all late answers count as one crowd. Of a link that bears nothing there is nothing to
        learn: its server may be listed so while answers of it are still to come.
        """
        if width <= 0:
            return
        if late:
            self._lower(width, now, pause)
        elif used >= USED:
            step = 1.0 if self._decreased == -math.inf else 1 / max(1.0, self.factor * width)
            self.factor = min(self._most, self.factor + step / width)

    def _lower(self, width: float, now: float, pause: float) -> None:
        """Leave at least one transfer: by its answer the server is seen to bear more."""
        if now > self._decreased + pause:
            self.factor = max(min(1.0, 1 / width), self.factor * DECREASE)
            self._decreased = now
