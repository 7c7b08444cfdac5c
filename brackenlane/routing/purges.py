"""Purges that a router was notified of, and the maximum age that they allow for a copy.

Pure. Times are Unix seconds, ages and durations are in seconds. The rule (page WIRE-brackenlane, "Lines not
to cross", 5): an attempt that starts more than `HeedWithinS` after a notification must not be answered from a
copy that left the origin before the purge.
"""

from __future__ import annotations

import math

from brackenlane.routing.events import Arrival, Purged
from brackenlane.routing.settings import RequestClass

MIN_AGE_SECONDS = 1e-6  # lower bound of a maximum age, because 0 means any age
PRUNE_INTERVAL_PURGES = 64  # expired purges are dropped when the number held is a multiple of this
MAX_PURGES = 4_096  # purges remembered one by one; older ones count as one purge of all objects
# The key under which a purge of all objects is remembered; as a group in an event, it covers no group.
ALL_OBJECTS = -1
RETENTION_FACTOR = 2  # a purge is remembered for this multiple of the propagation time

# The name of an object, or the number of a group.
PurgeKey = str | int


def merge_oldest_purges(purge_times: dict[PurgeKey, float]) -> None:
    """Replace the older half of too many purges by one purge of all objects, as late as the latest of them.

    No copy that one of them covered is allowed by that. purge_times: Unix times by key.
    """
    if len(purge_times) <= MAX_PURGES:
        return
    oldest_first = sorted(purge_times.items(), key=lambda item: item[1])
    merged = oldest_first[: len(oldest_first) // 2]
    for key, _ in merged:
        del purge_times[key]
    purge_times[ALL_OBJECTS] = max(merged[-1][1], purge_times.get(ALL_OBJECTS, -math.inf))


class Purges:
    """The latest purge of each object and group, kept as long as a server may still hold an older copy."""

    def __init__(self, propagation_time: float, tick: float) -> None:
        """propagation_time: seconds within which caches drop purged copies by themselves.

        tick: resolution of the clock in seconds.
        """
        self._retention = RETENTION_FACTOR * propagation_time
        self._tick = tick
        self._latest: dict[PurgeKey, float] = {}  # Unix time of the purge

    def __len__(self) -> int:
        return len(self._latest)

    def keys(self) -> set[PurgeKey]:
        """Return the objects and groups that have a remembered purge."""
        return set(self._latest)

    def add(self, event: Purged, now: float) -> None:
        """Record a purge; it never replaces a later purge of the same key."""
        key = event.obj or event.group
        purged_at = now - event.age
        self._latest[key] = max(purged_at, self._latest.get(key, purged_at))
        if len(self._latest) % PRUNE_INTERVAL_PURGES == 0:
            self._prune(now)
        merge_oldest_purges(self._latest)

    def is_group_purged(self, group: int, now: float) -> bool:
        """Return whether a group was purged so recently that parents hold no copies of it either."""
        return any(now - self._latest.get(key, -math.inf) <= self._retention for key in (group, ALL_OBJECTS))

    def max_age(self, arrival: Arrival, cls: RequestClass, now: float, stale: bool) -> float:
        """Return the maximum age of a usable copy in seconds, 0 for any age.

        A usable copy is fresh and newer than every purge of its object and group. stale: whether a copy past
        its fresh time may be served within the grace period of its class.
        """
        age = cls.fresh_for
        if stale and cls.fresh_for:
            age += cls.grace
        for key in (arrival.obj, arrival.group, ALL_OBJECTS):
            since_purge = now - self._latest.get(key, -math.inf)
            if since_purge <= self._retention:
                age = min(age or math.inf, max(since_purge - self._tick, MIN_AGE_SECONDS))
        return age

    def _prune(self, now: float) -> None:
        oldest = now - self._retention
        self._latest = {key: purged_at for key, purged_at in self._latest.items() if purged_at > oldest}
