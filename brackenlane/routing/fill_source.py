"""The capped geometric draw of a fill's source, over the origin and the parents of a hub.

Pure. Each parent is drawn so many times as often as the next one, and the origin, below them all, as often as
that leaves, up to a cap.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import TypeVar

RATIO = 2.0  # of the chances of two neighbours, up to FEW parents
STEADY_RATIO = 8.0  # the same for copies without a fresh time
FEW = 3  # parents of a hub, from which on the ratio grows with them
ORIGIN_CAP = 1 / 20  # the origin's share of all draws, at most
CLASS_MEMORY = 256  # draws that a class's learned share of them is a mean over, about

SourceT = TypeVar("SourceT")


class FillSourceDraw:
    """Draws sources; learns which part of its draws the origin may have."""

    __slots__ = ("_expiring", "_random")

    def __init__(self, rng: random.Random) -> None:
        """All draws count as draws of copies that expire, until learned."""
        self._expiring = 1.0  # their share of all draws: for these alone the origin is drawn
        self._random = rng

    def draw(
        self, parents: Sequence[SourceT], origin: SourceT | None, expires: bool, most_parents: int
    ) -> SourceT:
        """One of the parents, the least preferred first and one at least, or the origin where there is one.

        expires: whether the copy has a fresh time; most_parents: of one hub.
        """
        # Each parent that the requests for an object reach asks the origin for it: the ratio grows with the
        # parents of a hub. Copies without a fresh time never expire together, so few parents are enough.
        ratio = max(RATIO if expires else STEADY_RATIO, RATIO * most_parents / FEW)
        chances = [ratio**candidate for candidate in range(1, len(parents) + 1)]
        self._expiring += (expires - self._expiring) / CLASS_MEMORY
        share = min(ORIGIN_CAP / max(self._expiring, ORIGIN_CAP), 1 / (1 + sum(chances)))
        if origin and expires and self._random.random() < share:
            return origin
        return self._random.choices(parents, chances)[0]
