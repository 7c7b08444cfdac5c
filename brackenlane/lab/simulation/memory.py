"""The memory of a cache: copies are evicted by rank, and within a rank by least recent use."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

RANK_COUNT = 3


@dataclass(slots=True)
class StoredCopy:
    """A stored copy of one part of an object."""

    name: str
    obj: str
    group: int
    issued: float  # time at which the origin sent it
    size: float  # transfer-seconds
    rank: int = 1


class RankedMemory:
    """Evicts the lowest rank first and, within a rank, the least recently used copy; never a higher rank."""

    def __init__(self, capacity: float) -> None:
        """capacity: in transfer-seconds, like sizes."""
        self._capacity = capacity
        self._used = dict.fromkeys(range(1, RANK_COUNT + 1), 0.0)  # transfer-seconds by rank
        self._ranks: dict[int, OrderedDict[str, StoredCopy]] = {
            rank: OrderedDict() for rank in range(1, RANK_COUNT + 1)
        }
        self._purge_times: dict[str | int, float] = {}  # time of the latest purge, by object or group

    def __len__(self) -> int:
        return sum(map(len, self._ranks.values()))

    @property
    def used(self) -> float:
        """Total size of all copies."""
        return sum(self._used.values())

    def get(self, name: str) -> StoredCopy | None:
        """Return the copy of this name, if stored."""
        return next((copies[name] for copies in self._ranks.values() if name in copies), None)

    def touch(self, copy: StoredCopy, rank: int) -> None:
        """Mark a copy as used and set its rank; rank 0 keeps the present one."""
        self._remove(copy)
        copy.rank = rank or copy.rank
        self._add(copy)

    def store(self, copy: StoredCopy) -> bool:
        """Store a copy if it fits, evicting copies of its rank or lower; return whether it was stored."""
        if copy.issued < max(self._purge_times.get(copy.obj, 0.0), self._purge_times.get(copy.group, 0.0)):
            return False
        older = self.get(copy.name)
        if older:
            self._remove(older)
        higher = sum(used for rank, used in self._used.items() if rank > copy.rank)
        if self._capacity - higher < copy.size:
            return False
        for rank in range(1, copy.rank + 1):
            while self._ranks[rank] and self._capacity - self.used < copy.size:
                self._remove(next(iter(self._ranks[rank].values())))
        self._add(copy)
        return True

    def purge(self, key: str | int, purged_at: float) -> None:
        """Remove the copies of an object (string) or group (number) that the origin sent before a time."""
        self._purge_times[key] = purged_at
        for copies in self._ranks.values():
            for copy in list(copies.values()):
                if key in (copy.obj, copy.group) and copy.issued < purged_at:
                    self._remove(copy)

    def clear(self) -> None:
        """Remove all copies."""
        for copies in self._ranks.values():
            copies.clear()
        self._used = dict.fromkeys(self._used, 0.0)

    def _remove(self, copy: StoredCopy) -> None:
        del self._ranks[copy.rank][copy.name]
        self._used[copy.rank] -= copy.size

    def _add(self, copy: StoredCopy) -> None:
        self._ranks[copy.rank][copy.name] = copy
        self._used[copy.rank] += copy.size
