"""Answers requests from the response cache, if one is configured."""

from __future__ import annotations

from brackenlane.core.memory_budget import MemoryBudget
from brackenlane.core.requests import Answer, Disposition, PendingRequest
from brackenlane.core.response_cache import CacheEntry, ResponseCache
from brackenlane.routing.events import Purged

RELEASED_SHARE = 1 / 4  # share of the cache that is evicted at a time when memory is short


class CachedResponses:
    """Wraps the optional response cache; if there is none, nothing is stored and every lookup fails."""

    def __init__(self, cache: ResponseCache | None, memory: MemoryBudget | None = None) -> None:
        self._cache = cache
        self._memory = memory or MemoryBudget()

    @property
    def is_enabled(self) -> bool:
        """Whether a response cache is configured."""
        return self._cache is not None

    def holds(self, cls: str, cache_key: str) -> bool:
        """Whether a response is stored; `cache_key` identifies one part of an object."""
        return self._cache is not None and self._cache.holds(cls, cache_key)

    def set_share(self, share: float) -> None:
        """Limit the cache to a share (0 to 1) of the configured capacity."""
        if self._cache:
            self._cache.set_capacity(share * self._cache.max_capacity)
            self._count_memory()

    def replace(self, cache: ResponseCache | None) -> None:
        """Replace the cache; None disables it. The current capacity share applies to the new cache too."""
        if cache and self._cache:
            cache.set_capacity(cache.max_capacity * self._cache.share)
        self._cache = cache
        self._count_memory()

    def find_answer(self, request: PendingRequest, now: float) -> Answer | None:
        """Return an answer built from a stored response, so that no cache has to be asked; None if absent."""
        if self._cache is None or request.connect_only:
            return None
        entry = self._cache.find(request.arrival, request.tag, now)
        if entry is None:
            return None
        if entry.tag == request.tag:
            return Answer(Disposition.UNCHANGED, tag=entry.tag)
        return Answer(Disposition.SERVED, entry.body, entry.tag)

    def store(self, entry: CacheEntry) -> None:
        """Store a response if a cache is configured and there is memory for it."""
        if self._cache and self._memory.is_available(entry.memory_size):
            self._cache.store(entry)
            self._count_memory()

    def purge(self, event: Purged, now: float) -> None:
        """Remove the stored responses that a purge covers."""
        if self._cache:
            self._cache.purge(event, now)
            self._count_memory()

    def release_memory(self) -> str:
        """Evict a part of the stored responses."""
        if self._cache is None or not self._cache.size:
            return ""
        self._cache.evict_to((1 - RELEASED_SHARE) * self._cache.size)
        self._count_memory()
        return "evicted the least recently used copies"

    def _count_memory(self) -> None:
        self._memory.resize(self, self._cache.size if self._cache else 0)
