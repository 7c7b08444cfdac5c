"""Purges that a router was notified of, and the oldest copy that they leave usable.

Pure. Times are Unix seconds. The rule on purges: nothing sent after the notification (and the settings'
grace) may be answered from a copy older than the purge.
"""

from __future__ import annotations

import math

from brackenlane.routing.events import Arrival, Purged
from brackenlane.routing.settings import RequestClass

LEAST_AGE = 1e-6  # seconds; an age of 0 would mean that any copy will do
PRUNE_EVERY = 64  # purges held between two looks for those that no longer matter


class Purges:
    """The latest purge of each object and group, while a copy older than it may still be somewhere."""

    def __init__(self, done: float, tick: float) -> None:
        """done: seconds in which caches drop older copies by themselves; tick: the least time told apart."""
        self._lasts = 2 * done
        self._tick = tick
        self._latest: dict[str | int, float] = {}  # by object (text) or group (number)

    def __len__(self) -> int:
        return len(self._latest)

    def keys(self) -> set[str | int]:
        """The objects and groups with a purge that is remembered."""
        return set(self._latest)

    def add(self, event: Purged, now: float) -> None:
        """Take in a notification; an older one never replaces a newer one."""
        key, at = event.obj or event.group, now - event.age
        self._latest[key] = max(at, self._latest.get(key, at))
        if len(self._latest) % PRUNE_EVERY == 0:
            self._latest = {k: v for k, v in self._latest.items() if v > now - self._lasts}

    def is_group_void(self, group: int, now: float) -> bool:
        """Whether a whole group was purged so lately that a parent has nothing of it either."""
        return now - self._latest.get(group, -math.inf) <= self._lasts

    def max_age(self, arrival: Arrival, cls: RequestClass, now: float, stale: bool) -> float:
        """The oldest copy that will do, in seconds (0: any age): fresh, and younger than any purge.

        stale: whether a copy past its fresh time may be served within the grace of its class.
        """
        age = cls.fresh_for + cls.grace if stale and cls.fresh_for else cls.fresh_for
        for key in (arrival.obj, arrival.group):
            since = now - self._latest.get(key, -math.inf)
            if since <= self._lasts:
                age = min(age or math.inf, max(since - self._tick, LEAST_AGE))
        return age
