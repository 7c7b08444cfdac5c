"""Determines since when a cache counts as cold. Pure. Times are Unix seconds; 0 means warm."""

from __future__ import annotations

from collections.abc import Iterable

from brackenlane.discovery.host_addresses import HostAddressTable
from brackenlane.discovery.records import CacheDefinition, DefinitionSource
from brackenlane.discovery.srv_entries import SrvEntry


class WarmUpTimes:
    """The times since when caches count as cold, by the source that added them."""

    def __init__(self) -> None:
        self.all_cold_since = 0.0  # set when it is unknown how long the caches have been running
        self.snapshot_cold_since = 0.0  # for caches defined by an old snapshot only

    def cold_since(
        self,
        source: DefinitionSource,
        definition: CacheDefinition,
        entries: Iterable[SrvEntry],
        addresses: HostAddressTable,
    ) -> float:
        """Return when a cache was added or moved, whichever is later; 0 if it is warm."""
        return max(addresses.cold_since(definition.host), self._added_at(source, definition.id, entries))

    def _added_at(self, source: DefinitionSource, cache_id: str, entries: Iterable[SrvEntry]) -> float:
        if source is DefinitionSource.MEMORY:
            return max(self.all_cold_since, self.snapshot_cold_since)
        if source is not DefinitionSource.SRV:
            return self.all_cold_since
        times = [added_at for entry in entries if (added_at := entry.cold_since(cache_id)) is not None]
        return max(times, default=self.all_cold_since)
