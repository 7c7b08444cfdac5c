"""Purges that a router was notified of, and the oldest copy that they leave usable.

Pure. Times are Unix seconds, ages and durations seconds. The rule (page WIRE-brackenlane, "Lines not to
cross", 5): no attempt made more than `HeedWithinS` after a notification may be answered from a copy that left
the origin before the purge.
"""

from __future__ import annotations

import math

from brackenlane.routing.events import Arrival, Purged
from brackenlane.routing.settings import RequestClass

SMALLEST_AGE = 1e-6  # seconds; as the oldest age allowed, 0 would mean any age
PRUNE_EVERY = 64  # purges held, at whose multiples those that no longer matter are dropped
RETENTION_FACTOR = 2  # times the propagation time: how long a purge is remembered

# An object by its name, or a group by its number.
PurgeKey = str | int


class Purges:
    """The latest purge of each object and group, while a copy older than it may still exist somewhere."""

    def __init__(self, propagation_time: float, tick: float) -> None:
        """propagation_time: seconds in which caches drop older copies by themselves; tick: of the clock."""
        self._retention = RETENTION_FACTOR * propagation_time
        self._tick = tick
        self._latest: dict[PurgeKey, float] = {}  # when it was made

    def __len__(self) -> int:
        return len(self._latest)

    def keys(self) -> set[PurgeKey]:
        """Return the objects and groups whose purge is remembered."""
        return set(self._latest)

    def add(self, event: Purged, now: float) -> None:
        """Remember a purge; an older one never replaces a newer one."""
        key = event.obj or event.group
        purged_at = now - event.age
        self._latest[key] = max(purged_at, self._latest.get(key, purged_at))
        if len(self._latest) % PRUNE_EVERY == 0:
            self._prune(now)

    def is_group_void(self, group: int, now: float) -> bool:
        """Return whether a group was purged so lately that parents hold nothing of it either."""
        return now - self._latest.get(group, -math.inf) <= self._retention

    def max_age(self, arrival: Arrival, cls: RequestClass, now: float, stale: bool) -> float:
        """Return the oldest age of a usable copy, in seconds (0: any): fresh, and younger than any purge.

        stale: whether a copy past its fresh time may be served within the grace of its class.
        """
        age = cls.fresh_for
        if stale and cls.fresh_for:
            age += cls.grace
        for key in (arrival.obj, arrival.group):
            since_purge = now - self._latest.get(key, -math.inf)
            if since_purge <= self._retention:
                age = min(age or math.inf, max(since_purge - self._tick, SMALLEST_AGE))
        return age

    def _prune(self, now: float) -> None:
        oldest = now - self._retention
        self._latest = {key: purged_at for key, purged_at in self._latest.items() if purged_at > oldest}
