"""Weighted rendezvous hashing: which servers a key prefers, the same at every router.

Pure. Weights are relative: only their ratios matter. Sources: Thaler and Ravishankar, "Using Name-Based
Mappings to Increase Hit Rates", 1998; Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", 2005.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from hashlib import blake2b
from typing import Protocol, TypeVar

from brackenlane.routing.members import Member

DIGEST_BYTES = 8
SMALLEST_WEIGHT = 1e-9  # in place of 0, whose score would be 0 for every key


class Listed(Protocol):
    """Anything that has an entry of discovery's list."""

    member: Member


ListedT = TypeVar("ListedT", bound=Listed)


def score(key: str, member: Member) -> float:
    """Return the score of a server for a key, below 0: the lowest is preferred, by weight more often."""
    digest = blake2b(f"{key}/{member.server}".encode(), digest_size=DIGEST_BYTES).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / (2 ** (8 * DIGEST_BYTES) + 1)  # above 0, below 1
    return max(member.weight, SMALLEST_WEIGHT) / math.log(uniform)


class HashOrders:
    """Orders of the same servers by key, kept until they change or there are too many."""

    def __init__(self, retained: int) -> None:
        """retained: orders kept, at most; beyond that all are computed anew."""
        self._retained = retained
        self._orders: dict[str, list[Listed]] = {}

    def __len__(self) -> int:
        return len(self._orders)

    def clear(self) -> None:
        """Forget all orders, since the servers have changed."""
        self._orders = {}

    def order(self, key: str, servers: Sequence[ListedT]) -> list[ListedT]:
        """Return the servers, the most preferred first; for one key they must be the same until `clear`."""
        if key not in self._orders:
            if len(self._orders) >= self._retained:
                self._orders.clear()
            self._orders[key] = sorted(servers, key=lambda s: (score(key, s.member), s.member.server))
        return self._orders[key]  # type: ignore[return-value]
