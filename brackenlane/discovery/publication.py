"""Publishes the merged list as differences from its last published version. Pure."""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import replace

from brackenlane.discovery.records import Change, MergedCache, MergedState
from brackenlane.routing.members import ServerState

PUBLISHED_STATES = frozenset({MergedState.SERVING, MergedState.DRAINING})


class Publication:
    """The last published change of each cache that is currently published."""

    def __init__(self) -> None:
        self._published: dict[str, Change] = {}

    def publish(self, caches: Iterable[MergedCache]) -> list[Change]:
        """Return the changes of these caches since they were last published, and record them as published."""
        changes: list[Change] = []
        for cache in caches:
            cache_id = cache.definition.id
            is_listed = cache.state in PUBLISHED_STATES
            change = Change(cache.member, cache.endpoint if is_listed else None)
            published = self._published.get(cache_id)
            if published == change or (published is None and not is_listed):
                continue
            changes.append(change)
            if is_listed:
                self._published[cache_id] = change
            else:
                del self._published[cache_id]
        return changes

    def withdraw_missing(self, present: Container[str]) -> list[Change]:
        """Return the removals of published caches that are not in `present`, and record them as removed."""
        missing = [cache_id for cache_id in self._published if cache_id not in present]
        removed = [self._published.pop(cache_id).member for cache_id in missing]
        return [Change(replace(member, state=ServerState.GONE), None) for member in removed]
