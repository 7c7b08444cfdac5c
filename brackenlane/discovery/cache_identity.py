"""Which definitions describe the same cache: those with the same id, host and port, or endpoint. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from brackenlane.config import Endpoint
from brackenlane.discovery.records import CacheDefinition, DefinitionSource, MergedCache, MergedState

StartedAt = Callable[[DefinitionSource, CacheDefinition], float]
FindEndpoint = Callable[[CacheDefinition], Endpoint | None]


class CacheGrouping:
    """Joins definitions into caches; they are added in the order of precedence, so the first one holds."""

    def __init__(self, find_endpoint: FindEndpoint, started_at: StartedAt) -> None:
        self.caches: dict[str, MergedCache] = {}  # by id; their states are not decided yet
        self.aliases: dict[str, str] = {}  # ids that name a cache under another id
        self._find_endpoint = find_endpoint
        self._started_at = started_at
        self._by_host: dict[tuple[str, int], str] = {}
        self._by_endpoint: dict[Endpoint, str] = {}

    def add(self, source: DefinitionSource, definition: CacheDefinition) -> None:
        """Add a definition to the cache it describes, which is a new one if nothing else describes it."""
        endpoint = self._find_endpoint(definition)
        cache_id = self._identify(definition, endpoint)
        self._by_host.setdefault((definition.host, definition.port), cache_id)
        if endpoint:
            self._by_endpoint.setdefault(endpoint, cache_id)
        if cache_id != definition.id:
            self.aliases[definition.id] = cache_id
        known = self.caches.get(cache_id)
        if known is not None:
            self.caches[cache_id] = _with_source(known, source, definition.id)
            return
        started_at = self._started_at(source, definition)
        self.caches[cache_id] = MergedCache(definition, MergedState.LOST, endpoint, started_at, (source,))

    def _identify(self, definition: CacheDefinition, endpoint: Endpoint | None) -> str:
        if definition.id in self.caches:
            return definition.id
        same_host = self._by_host.get((definition.host, definition.port))
        if same_host:
            return same_host
        same_endpoint = self._by_endpoint.get(endpoint) if endpoint else None
        return same_endpoint or definition.id


def _with_source(cache: MergedCache, source: DefinitionSource, cache_id: str) -> MergedCache:
    """Return a cache that one more definition describes, by the id of that definition."""
    aliases = cache.aliases
    if cache_id not in (cache.definition.id, *aliases):
        aliases = (*aliases, cache_id)
    sources = cache.sources
    if source not in sources:
        sources = (*sources, source)
    return replace(cache, sources=sources, aliases=aliases)
