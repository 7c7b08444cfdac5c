"""The last result at each cache, as an operator sees it."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from brackenlane.routing.events import AttemptResult

MAX_REMOVED = 64  # results kept for caches that are gone, besides as many as there are caches


@dataclass(frozen=True, slots=True)
class LastResult:
    """The result of the last attempt at a cache."""

    result: AttemptResult
    at: float  # Unix time

    @property
    def is_good(self) -> bool:
        """Whether the cache answered as it should; a cache miss is such an answer."""
        return self.result in (AttemptResult.OK, AttemptResult.MISS)


class CacheHealth:
    """The last results of all caches."""

    def __init__(self) -> None:
        self._results: dict[str, LastResult] = {}

    def record(self, server: str, result: AttemptResult, now: float) -> None:
        """Keep the result of an attempt that ended at a Unix time."""
        self._results[server] = LastResult(result, now)

    def forget_removed(self, listed: Collection[str]) -> None:
        """Bound the memory: once many results are kept, forget those of caches that are listed no more."""
        if len(self._results) > 2 * len(listed) + MAX_REMOVED:
            for server in self._results.keys() - set(listed):
                del self._results[server]

    def describe(self, server: str, now: float) -> str:
        """Return the health of a cache in a few words."""
        last = self._results.get(server)
        if last is None:
            return "not asked yet"
        label = "well" if last.is_good else last.result.value
        return f"{label}, {max(0.0, now - last.at):.0f} s ago"
