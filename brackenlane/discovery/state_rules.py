"""Decides the state of a cache: draining, not found, on standby or serving.

Pure. Standby follows from SRV priorities (RFC 2782).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from brackenlane.discovery.records import DefinitionSource, MergedCache, MergedState, OperatorOrder
from brackenlane.discovery.srv_entries import SrvEntry


def decide_state(cache: MergedCache, drain: OperatorOrder | None, address_error: str) -> MergedCache:
    """Return a cache with its state and the reason for it, without regard to other caches.

    `address_error`: why its host name could not be looked up; empty if it could.
    """
    if drain:
        # Without an address the cache is not published; the order is kept.
        state = MergedState.DRAINING if cache.endpoint else MergedState.LOST
        return replace(cache, state=state, reason=f"drained by {drain.by}")
    if cache.endpoint is None:
        reason = f"{cache.definition.host}: {address_error or 'no address told'}"
        return replace(cache, state=MergedState.LOST, reason=reason)
    sources = ", ".join(source.name.lower() for source in cache.sources)
    return replace(cache, state=MergedState.SERVING, reason=f"named by {sources}")


def is_governed_by(cache: MergedCache, entry: SrvEntry) -> bool:
    """Return whether an entry's priorities apply: to members without a definition of higher precedence."""
    return cache.sources[0] is DefinitionSource.SRV and cache.definition.id in entry.members


def find_standby(entry: SrvEntry, caches: Mapping[str, MergedCache]) -> list[MergedCache]:
    """Return the caches that go on standby because enough members of better priority are serving."""
    members = [caches[cache_id] for cache_id in entry.members if cache_id in caches]
    governed = [cache for cache in members if is_governed_by(cache, entry)]
    governed.sort(key=lambda cache: (cache.definition.priority, cache.definition.id))
    standby: list[MergedCache] = []
    priority: int | None = None
    better_serving = 0
    same_serving = 0
    for cache in governed:
        if cache.definition.priority != priority:
            priority = cache.definition.priority
            better_serving += same_serving
            same_serving = 0
        if cache.state is not MergedState.SERVING:
            continue
        if better_serving < entry.watch.standby_threshold:
            same_serving += 1
            continue
        reason = f"standby: {better_serving} of a better priority serve"
        standby.append(replace(cache, state=MergedState.STANDBY, reason=reason))
    return standby
