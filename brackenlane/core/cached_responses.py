"""Answers from the response cache, where the site has one configured."""

from __future__ import annotations

from brackenlane.core.requests import Answer, Disposition, PendingRequest
from brackenlane.core.response_cache import Copy, ResponseCache
from brackenlane.routing.events import Purged


class CachedResponses:
    """Owner of the optional response cache; without one nothing is stored and nothing is found."""

    def __init__(self, cache: ResponseCache | None) -> None:
        self._cache = cache

    @property
    def is_enabled(self) -> bool:
        """Whether there is a response cache, so that a response may be in it."""
        return self._cache is not None

    def holds(self, cls: str, copy: str) -> bool:
        """Whether a response is stored; `copy` is the cache key of one part of an object."""
        return self._cache is not None and self._cache.holds(cls, copy)

    def set_share(self, share: float) -> None:
        """Use this share (0 to 1) of the configured capacity from now on."""
        if self._cache:
            self._cache.set_capacity(share * self._cache.max_capacity)

    def replace(self, cache: ResponseCache | None) -> None:
        """Use another cache, or none; it takes over the share of its capacity that may be used."""
        if cache and self._cache:
            cache.set_capacity(cache.max_capacity * self._cache.share)
        self._cache = cache

    def answer(self, request: PendingRequest, now: float) -> Answer | None:
        """Return the answer by a stored response, which spares the caches a request; None without one."""
        if self._cache is None or request.connect_only:
            return None
        copy = self._cache.find(request.arrival, request.tag, now)
        if copy is None:
            return None
        if copy.tag == request.tag:
            return Answer(Disposition.UNCHANGED, tag=copy.tag)
        return Answer(Disposition.SERVED, copy.body, copy.tag)

    def store(self, copy: Copy) -> None:
        """Store a response."""
        if self._cache:
            self._cache.store(copy)

    def purge(self, event: Purged, now: float) -> None:
        """Drop what a purge covers."""
        if self._cache:
            self._cache.purge(event, now)
