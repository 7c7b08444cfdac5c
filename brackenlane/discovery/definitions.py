"""Cache definitions from the sources that give each cache an id: console, store, file and snapshot.

Pure. Members of SRV entries, whose ids are derived from host and port, are in srv_entries.py.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from brackenlane.discovery.records import CacheDefinition, DefinitionSource


class DefinitionTable:
    """The definitions of every source except SRV; a later definition replaces the source's earlier one."""

    def __init__(self) -> None:
        self._by_source: dict[DefinitionSource, dict[str, CacheDefinition]] = {
            source: {} for source in DefinitionSource if source is not DefinitionSource.SRV
        }

    def __len__(self) -> int:
        return sum(len(definitions) for definitions in self._by_source.values())

    def get(self, source: DefinitionSource, cache_id: str) -> CacheDefinition | None:
        """Return a source's definition of a cache, if there is one."""
        return self._by_source[source].get(cache_id)

    def put(self, source: DefinitionSource, definition: CacheDefinition) -> None:
        """Add or replace one definition."""
        self._by_source[source][definition.id] = definition

    def remove(self, source: DefinitionSource, cache_id: str) -> bool:
        """Remove one definition; return whether there was one."""
        return self._by_source[source].pop(cache_id, None) is not None

    def replace_all(self, source: DefinitionSource, definitions: Iterable[CacheDefinition]) -> None:
        """Replace all definitions of a source."""
        self._by_source[source] = {definition.id: definition for definition in definitions}

    def of(self, source: DefinitionSource) -> Iterator[CacheDefinition]:
        """Yield the definitions of one source."""
        yield from self._by_source[source].values()

    def move_snapshot_to_store(self) -> bool:
        """Move the snapshot's definitions to the store's, which has precedence; False if there are none."""
        remembered = self._by_source[DefinitionSource.MEMORY]
        if not remembered:
            return False
        self._by_source[DefinitionSource.STORE] = {
            **remembered,
            **self._by_source[DefinitionSource.STORE],
        }
        self._by_source[DefinitionSource.MEMORY] = {}
        return True

    def snapshot_content(self) -> tuple[CacheDefinition, ...]:
        """Return the definitions for a snapshot; those of the file are read again at each start."""
        remembered = {
            definition.id: definition
            for source in (DefinitionSource.MEMORY, DefinitionSource.STORE, DefinitionSource.CONSOLE)
            for definition in self.of(source)
        }
        return tuple(remembered.values())
