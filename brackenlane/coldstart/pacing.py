"""When one router of many goes to the shared store, so that all together stay within what it bears.

Pure: times are Unix seconds handed in, chance is a `random.Random` handed in. Nothing is known of the other
routers but how many there are.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from hashlib import blake2b

FIRST = 0.3  # seconds: the bound of the wait after a first failure, of a router alone
MOST = 5.0  # seconds: the longest bound of a wait, unless the fleet is so large that it takes longer windows
WINDOWS = 2.0  # windows that a grown bound spans at least: tries of all come at half of what is stated
STRETCH, EASE = 2.0, 2 / 3  # of the windows after a refusal or a slow answer, and after one in time
LONGEST = 4.0  # windows are never stretched by more: all are to be back soon once the store bears them


@dataclass(frozen=True, slots=True)
class Capacity:
    """What the store bears a second from all routers together, as the operator states it: both at once."""

    doormans: int = 1
    asks: float = 500.0  # small questions: what is new since a place; connections count as such
    loads: float = 20.0  # whole lists

    @property
    def window(self) -> float:
        """Seconds in which every router may ask once."""
        return self.doormans / self.asks

    @property
    def span(self) -> float:
        """Seconds in which one whole list at least may be loaded."""
        return max(1.0, 1 / self.loads)

    @property
    def each(self) -> int:
        """Whole lists in each span."""
        return max(1, int(self.loads * self.span))

    def hinted(self, asks: float, loads: float) -> Capacity:
        """With the store's own figures in place of the file's; ValueError for what can't be obeyed."""
        if not (0.01 <= asks <= 1e6 and 0.01 <= loads <= 1e6):
            raise ValueError(f"asks {asks!r} and loads {loads!r} a second: from 0.01 to 1000000 are needed")
        return replace(self, asks=asks, loads=loads)


def place(name: str, what: str) -> float:
    """A name's own place in a window, from 0 to 1: the same at each start, unrelated to any other's."""
    digest = blake2b(f"{what}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def early(lifetime: float, chance: random.Random) -> float:
    """Seconds until something with a lifetime (seconds) is asked for anew: in its last tenth, by chance.

    Caches count down to one instant for all who ask them: without this all come back together for good.
    """
    return lifetime * chance.uniform(0.9, 1.0)


def jittered(failures: int, first: float, most: float, chance: random.Random) -> float:
    """Seconds to wait after so many failures in a row: any time up to a bound that doubles (full jitter)."""
    return chance.uniform(0.0, min(most, first * 2.0 ** min(failures - 1, 30)))


class StorePacing:
    """One doorman's turns at the store."""

    def __init__(self, name: str, capacity: Capacity, chance: random.Random) -> None:
        self.capacity, self._name, self._chance = capacity, name, chance
        self.stretch = 1.0  # of all windows, learned from refusals and slowness
        self.failures = 0  # in a row

    @property
    def window(self) -> float:
        """Seconds over which this router holds the fleet's questions to be spread now."""
        return self.capacity.window * self.stretch

    def first(self) -> float:
        """Seconds from the start to the first question: this name's own place in the window."""
        return place(self._name, "ask") * self.window

    def failed(self, refused: bool) -> float:
        """The store was away (nobody listens), or it refused or was late: seconds until it is asked again."""
        self.failures += 1
        if refused:
            self.stretch = min(LONGEST, self.stretch * STRETCH)
        # Behind a whole window: those whose place in it is still to come are not to be met by second tries.
        bound = max(FIRST, self.window)
        return self.window + jittered(self.failures, bound, max(MOST, WINDOWS * self.window), self._chance)

    def answered(self, took: float, usual: float) -> None:
        """An answer came after some seconds; over `usual`, the store is slow and all should spread more."""
        self.failures = 0
        self.stretch = min(LONGEST, self.stretch * STRETCH) if took > usual else max(1.0, self.stretch * EASE)

    def bucket(self, now: float) -> int:
        """The span of time, by number, in which a ticket for a whole list is drawn first."""
        return int(now / self.capacity.span)

    def ahead(self, ticket: int) -> int:
        """By how many spans further the next ticket is to be drawn; 0: this one holds. A span's first is 1.

        Who comes too late in a span draws where those before it will have loaded, and so on: each finds a
        turn of its own with a few draws, and none is drawn twice.
        """
        return (ticket - 1) // self.capacity.each

    def turn(self, bucket: int, ticket: int, now: float) -> float:
        """Seconds until the turn that a ticket stands for."""
        at = (bucket + (ticket - 1) / self.capacity.each) * self.capacity.span
        return max(0.0, at - now)
