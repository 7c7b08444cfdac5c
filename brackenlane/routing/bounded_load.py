"""Consistent hashing with bounded loads: which caches may take one transfer more.

Pure. Where the widths of caches' links are unknown, whether a transfer ends in time cannot be computed, but
loads can be compared: a cache above a factor times the mean load of its location comes last (Mirrokni, Thorup
and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018). A load is transfers in flight for each
transfer that the link carries at a time.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

LOAD_FACTOR = 1.25  # of the mean load, that a cache may have; as the paper's authors chose
SPARE_TRANSFERS = 2.0  # that each cache may have besides: a mean of few transfers says little

ServerT = TypeVar("ServerT")


def below_bound_first(
    preferred: Sequence[ServerT],
    peers: Sequence[ServerT],
    in_flight: Callable[[ServerT], float],
    width: Callable[[ServerT], float],
) -> list[ServerT]:
    """Return the preferred caches in their order, but last those that one transfer more puts over the bound.

    peers: all caches of the location, for the mean; in_flight: transfers; width: transfers at a time, above
    0.
    """
    mean = sum(in_flight(peer) / width(peer) for peer in peers) / max(1, len(peers))

    def is_over_bound(server: ServerT) -> bool:
        bound = LOAD_FACTOR * (mean + SPARE_TRANSFERS / width(server))
        return (in_flight(server) + 1) / width(server) > bound

    return sorted(preferred, key=is_over_bound)  # stable: False, below the bound, comes before True
