"""The last attempt result of each cache, as the console shows it."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from brackenlane.routing.events import AttemptResult

MAX_REMOVED_RESULTS = 64  # results of removed caches kept besides one per listed cache


@dataclass(frozen=True, slots=True)
class LastResult:
    """The result of the last attempt at a cache."""

    result: AttemptResult
    at: float  # Unix time at which the attempt ended

    @property
    def is_good(self) -> bool:
        """Whether the cache works as it should; a cache miss is a valid answer."""
        return self.result in (AttemptResult.OK, AttemptResult.MISS)


class CacheHealth:
    """The last attempt result of every cache."""

    def __init__(self) -> None:
        self._results: dict[str, LastResult] = {}

    def record(self, cache_id: str, result: AttemptResult, now: float) -> None:
        """Record the result of an attempt that ended at `now` (Unix time)."""
        self._results[cache_id] = LastResult(result, now)

    def forget_removed(self, listed: Collection[str]) -> None:
        """Discard the results of removed caches once there are many of them, to limit memory."""
        if len(self._results) > 2 * len(listed) + MAX_REMOVED_RESULTS:
            for cache_id in self._results.keys() - set(listed):
                del self._results[cache_id]

    def describe(self, cache_id: str, now: float) -> str:
        """Return the last result of a cache and its age as text."""
        last = self._results.get(cache_id)
        if last is None:
            return "not asked yet"
        label = "well" if last.is_good else last.result.value
        return f"{label}, {max(0.0, now - last.at):.0f} s ago"
