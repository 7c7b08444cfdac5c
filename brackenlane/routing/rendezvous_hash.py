"""Weighted rendezvous hashing: which servers a key prefers, the same at every router.

Pure. Weights are relative; only their ratios matter (Thaler and Ravishankar 1998; Schindelhauer 2005).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from hashlib import blake2b
from typing import Protocol, TypeVar

from brackenlane.routing.members import Member

DIGEST_BYTES = 8
LEAST_WEIGHT = 1e-9  # a server whose weight is 0 comes last, and divides nothing by zero


class Listed(Protocol):
    """Anything that stands for one server of discovery's list."""

    member: Member


ListedT = TypeVar("ListedT", bound=Listed)


def score(key: str, member: Member) -> float:
    """The rank of one server for a key: the lowest comes first; heavier servers come first more often."""
    digest = blake2b(f"{key}/{member.server}".encode(), digest_size=DIGEST_BYTES).digest()
    draw = (int.from_bytes(digest, "big") + 1) / (2 ** (8 * DIGEST_BYTES) + 1)
    return max(member.weight, LEAST_WEIGHT) / math.log(draw)


class HashOrders:
    """Orders by key, kept until the list of servers changes or there are too many of them."""

    def __init__(self, most: int) -> None:
        """most: orders kept; at the bound all are worked out anew."""
        self._most = most
        self._orders: dict[str, list[Listed]] = {}

    def __len__(self) -> int:
        return len(self._orders)

    def clear(self) -> None:
        """Forget all orders: the servers have changed."""
        self._orders = {}

    def order(self, key: str, servers: Sequence[ListedT]) -> list[ListedT]:
        """Servers, the one that the key prefers first; a key is always asked for with the same servers."""
        if key not in self._orders:
            if len(self._orders) >= self._most:
                self._orders.clear()
            self._orders[key] = sorted(servers, key=lambda s: (score(key, s.member), s.member.server))
        return self._orders[key]  # type: ignore[return-value]
