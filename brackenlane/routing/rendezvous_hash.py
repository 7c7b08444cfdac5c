"""Weighted rendezvous hashing: every router ranks the servers for a key in the same order.

Pure. Weights are relative: only their ratios matter. References: Thaler and Ravishankar, "Using Name-Based
Mappings to Increase Hit Rates", 1998; Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", 2005.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from hashlib import blake2b
from typing import Protocol, TypeVar

from brackenlane.routing.members import Member

DIGEST_BYTES = 8
ORDER_SIZE = 256  # bytes of memory of a cached order, besides its references to servers
REFERENCE_SIZE = 8  # bytes of memory of a reference
MIN_WEIGHT = 1e-9  # replaces a weight of 0, with which the score would be 0 for every key


class HasMember(Protocol):
    """Any object that carries a member of the discovery list."""

    member: Member


HasMemberT = TypeVar("HasMemberT", bound=HasMember)


def score(key: str, member: Member) -> float:
    """Return the score of a server for a key, below 0.

    The server with the lowest score is preferred; a server wins keys in proportion to its weight.
    """
    digest = blake2b(f"{key}/{member.server}".encode(), digest_size=DIGEST_BYTES).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / (2 ** (8 * DIGEST_BYTES) + 1)  # above 0, below 1
    return max(member.weight, MIN_WEIGHT) / math.log(uniform)


class HashOrders:
    """Cache of rendezvous orders by key, valid until the list of servers changes."""

    def __init__(self, max_entries: int, max_bytes: float = math.inf) -> None:
        """max_entries, max_bytes: maximum number of cached orders, and memory that all of them may occupy.

        When one of them is reached, the whole cache is cleared.
        """
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._bytes = 0
        self._orders: dict[str, list[HasMember]] = {}

    def __len__(self) -> int:
        return len(self._orders)

    def clear(self) -> None:
        """Drop all cached orders; required when the servers have changed."""
        self._orders = {}
        self._bytes = 0

    def order(self, key: str, servers: Sequence[HasMemberT]) -> list[HasMemberT]:
        """Return the servers, most preferred first; a key must have the same servers until `clear`."""
        if key not in self._orders:
            if len(self._orders) >= self._max_entries or self._bytes > self._max_bytes:
                self.clear()
            self._bytes += ORDER_SIZE + REFERENCE_SIZE * len(servers)
            self._orders[key] = sorted(servers, key=lambda s: (score(key, s.member), s.member.server))
        return self._orders[key]  # type: ignore[return-value]
