"""Groups definitions of the same cache: those with the same id, host and port, or endpoint. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from brackenlane.config import Endpoint
from brackenlane.discovery.records import CacheDefinition, DefinitionSource, MergedCache, MergedState

ColdSince = Callable[[DefinitionSource, CacheDefinition], float]
FindEndpoint = Callable[[CacheDefinition], Endpoint | None]


class CacheGrouping:
    """Groups definitions by cache. They are added in order of precedence: the first one of each is used."""

    def __init__(self, find_endpoint: FindEndpoint, cold_since: ColdSince) -> None:
        self.caches: dict[str, MergedCache] = {}  # by id, with a preliminary state
        self.aliases: dict[str, str] = {}  # other ids of a cache -> its id in `caches`
        self._find_endpoint = find_endpoint
        self._cold_since = cold_since
        self._by_host: dict[tuple[str, int], str] = {}
        self._by_endpoint: dict[Endpoint, str] = {}

    def add(self, source: DefinitionSource, definition: CacheDefinition) -> None:
        """Add a definition to the cache it describes, or add a new cache if there is none."""
        endpoint = self._find_endpoint(definition)
        cache_id = self._identify(definition, endpoint)
        self._by_host.setdefault((definition.host, definition.port), cache_id)
        if endpoint:
            self._by_endpoint.setdefault(endpoint, cache_id)
        if cache_id != definition.id:
            self.aliases[definition.id] = cache_id
        existing = self.caches.get(cache_id)
        if existing is not None:
            self.caches[cache_id] = _add_source(existing, source, definition.id)
            return
        cold_since = self._cold_since(source, definition)
        self.caches[cache_id] = MergedCache(definition, MergedState.LOST, endpoint, cold_since, (source,))

    def _identify(self, definition: CacheDefinition, endpoint: Endpoint | None) -> str:
        if definition.id in self.caches:
            return definition.id
        same_host = self._by_host.get((definition.host, definition.port))
        if same_host:
            return same_host
        same_endpoint = self._by_endpoint.get(endpoint) if endpoint else None
        return same_endpoint or definition.id


def _add_source(cache: MergedCache, source: DefinitionSource, cache_id: str) -> MergedCache:
    """Return a cache with one more source, and with the id that source uses as an alias if it differs."""
    aliases = cache.aliases
    if cache_id not in (cache.definition.id, *aliases):
        aliases = (*aliases, cache_id)
    sources = cache.sources
    if source not in sources:
        sources = (*sources, source)
    return replace(cache, sources=sources, aliases=aliases)
