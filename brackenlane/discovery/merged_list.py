"""The merged list of caches with their states, built from the sources and the operators' orders.

Pure. `cache_identity` groups the definitions of one cache; `state_rules` decides its state.
"""

from __future__ import annotations

from brackenlane.discovery.cache_identity import CacheGrouping
from brackenlane.discovery.operator_orders import OperatorOrders
from brackenlane.discovery.publication import Publication
from brackenlane.discovery.records import Change, MergedCache
from brackenlane.discovery.sources import Sources
from brackenlane.discovery.state_rules import decide_state, find_standby, is_governed_by


class MergedList:
    """The list and its last published version. Methods return the changes to publish, in order."""

    def __init__(self, sources: Sources, orders: OperatorOrders) -> None:
        self.caches: dict[str, MergedCache] = {}
        self.aliases: dict[str, str] = {}  # other ids of a cache -> its id in `caches`
        self.is_standby_due = False  # whether an order may have changed which caches are on standby
        self._sources = sources
        self._orders = orders
        self._publication = Publication()

    def find(self, cache_id: str) -> MergedCache | None:
        """Return the cache with this id or alias, if there is one."""
        return self.caches.get(self.aliases.get(cache_id, cache_id))

    def rebuild(self) -> list[Change]:
        """Rebuild the whole list from the sources and orders."""
        self.is_standby_due = False
        grouping = CacheGrouping(self._sources.endpoint_of, self._sources.cold_since)
        for source, definition in self._sources.all_definitions():
            grouping.add(source, definition)
        self.aliases = grouping.aliases
        self.caches.clear()
        for cache in grouping.caches.values():
            self._decide(cache)
        for entry in self._sources.entries.values():
            for cache in find_standby(entry, self.caches):
                self.caches[cache.definition.id] = cache
        changes = self._publication.publish(self.caches.values())
        return changes + self._publication.withdraw_missing(self.caches)

    def update_ordered(self, cache: MergedCache) -> list[Change]:
        """Update the state of one cache after an order.

        This does not rebuild the list, so that a drain takes effect at once even with thousands of caches.
        """
        # Caches on standby may be needed now: the next tick, which is due immediately, decides that.
        for entry in self._sources.entries.values():
            if is_governed_by(cache, entry):
                self.is_standby_due = True
        return self._publication.publish([self._decide(cache)])

    def _decide(self, cache: MergedCache) -> MergedCache:
        """Set the state of a cache, without regard to standby, and return the cache."""
        drain = self._orders.drain_of((cache.definition.id, *cache.aliases))
        address_state = self._sources.addresses.by_host.get(cache.definition.host)
        decided = decide_state(cache, drain, address_state.error if address_state else "")
        self.caches[cache.definition.id] = decided
        return decided
