"""Consistent hashing with bounded loads: which caches may take one transfer more.

Pure. Where nobody tells how wide the links of caches are, whether a transfer ends in time cannot be worked
out, but loads can be compared: a cache over a factor times the mean of its location is asked last (Mirrokni,
Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018). A load is transfers in flight for
each transfer that the link bears at a time.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

LOAD_FACTOR = 1.25  # of the mean load, that a cache may have; the paper's authors' own choice
SPARE_TRANSFERS = 2.0  # that each cache may have besides: of so few in flight a mean says little

ServerT = TypeVar("ServerT")


def below_bound_first(
    preferred: Sequence[ServerT],
    peers: Sequence[ServerT],
    in_flight: Callable[[ServerT], float],
    width: Callable[[ServerT], float],
) -> list[ServerT]:
    """The preferred caches in their order, but those that one transfer more takes over the bound come last.

    peers: all caches of the location, for the mean; in_flight: transfers; width: transfers at a time, over 0.
    """
    mean = sum(in_flight(peer) / width(peer) for peer in peers) / max(1, len(peers))

    def is_over(server: ServerT) -> bool:
        bound = LOAD_FACTOR * (mean + SPARE_TRANSFERS / width(server))
        return (in_flight(server) + 1) / width(server) > bound

    return sorted(preferred, key=is_over)
