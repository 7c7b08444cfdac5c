"""Consistent hashing with bounded loads: caches that may accept one more transfer come first.

Pure. If the link widths of caches are unknown, it cannot be computed whether a transfer completes in time,
but loads can be compared: a cache whose load exceeds the mean of its location by a factor comes last
(Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018). The load of a cache is
its number of transfers in flight divided by its link width.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

LOAD_FACTOR = 1.25  # maximum load of a cache relative to the mean load, as in the paper
SPARE_TRANSFERS = 2.0  # additional transfers per cache, as a mean of few transfers is not significant

ServerT = TypeVar("ServerT")


def below_bound_first(
    preferred: Sequence[ServerT],
    peers: Sequence[ServerT],
    in_flight: Callable[[ServerT], float],
    width: Callable[[ServerT], float],
) -> list[ServerT]:
    """Return the preferred caches in order, with those last that one more transfer puts over the bound.

    peers: all caches of the location, which the mean is taken over; in_flight: returns the transfers in
    flight of a cache; width: returns its link width in concurrent transfers, above 0.
    """
    mean = sum(in_flight(peer) / width(peer) for peer in peers) / max(1, len(peers))

    def is_over_bound(server: ServerT) -> bool:
        bound = LOAD_FACTOR * (mean + SPARE_TRANSFERS / width(server))
        return (in_flight(server) + 1) / width(server) > bound

    return sorted(preferred, key=is_over_bound)  # stable sort: caches below the bound (False) come first
