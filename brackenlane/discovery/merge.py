"""One list of caches out of what all sources define, by one stated rule (docs/design/discovery.md).

A decision module: no I/O, no clock of its own. `sources` holds what was reported, `operator_orders` the
drains, `merged_list` what follows; each event changes the first or second and rebuilds the third.
"""

from __future__ import annotations

from collections.abc import Iterable

from brackenlane.discovery import explanation
from brackenlane.discovery.merged_list import MergedList
from brackenlane.discovery.operator_orders import OperatorOrders
from brackenlane.discovery.records import (
    NEVER,
    CacheDefinition,
    Change,
    DefinitionSource,
    OperatorOrder,
    Policy,
    RememberedMembers,
    SrvRecord,
    SrvWatch,
)
from brackenlane.discovery.sources import Sources


class MembershipMerge:
    """The merge of all sources. Methods that change the list return the changes to publish, in order."""

    def __init__(self, policy: Policy, watches: Iterable[SrvWatch] = ()) -> None:
        self.sources = Sources(policy, watches)
        self.entries = self.sources.entries
        self.orders = OperatorOrders(policy.max_orders)
        self.omitted_count = 0  # definitions that exceeded `Policy.max_caches`
        self._list = MergedList(self.sources, self.orders)
        self.caches = self._list.caches

    # Reports of the sources

    def define(self, source: DefinitionSource, definition: CacheDefinition) -> list[Change]:
        """Add a source's definition of a cache, or replace its earlier one."""
        definitions = self.sources.definitions
        known = definitions.get(source, definition.id)
        if known == definition:
            return []
        if known is None and self.sources.remaining_capacity() <= 0:
            self.omitted_count += 1
            return []
        definitions.put(source, definition)
        return self._list.rebuild()

    def remove(self, source: DefinitionSource, cache_id: str) -> list[Change]:
        """Remove a source's definition of a cache."""
        if not self.sources.definitions.remove(source, cache_id):
            return []
        return self._list.rebuild()

    def order(self, cache_id: str, order: OperatorOrder) -> list[Change]:
        """Apply an operator's drain or restore; it holds over any answer, also while the cache is unknown."""
        if not self.orders.add(cache_id, order):
            return []
        cache = self._list.find(cache_id)
        return self._list.update_ordered(cache) if cache else []

    def apply_srv_answer(
        self, srv: str, records: Iterable[SrvRecord], upstream: str, now: float
    ) -> list[Change]:
        """Apply a complete answer of an SRV entry."""
        capacity = self.sources.remaining_capacity()
        self.entries[srv].apply_answer(records, upstream, now, capacity)
        return self._list.rebuild()

    def apply_host_answer(
        self, host: str, addresses: Iterable[str], now: float, dead: bool = False
    ) -> list[Change]:
        """Apply a complete answer for a host name; `dead`: nobody answers at its address in use."""
        if not self.sources.addresses.apply_answer(host, addresses, now, dead):
            return []
        return self._list.rebuild()

    def replace_unreachable(self, host: str, address: str, now: float) -> list[Change]:
        """Move a host's caches to another of its addresses at once: nobody answers at this one."""
        if not self.sources.addresses.replace_unreachable(host, address, now):
            return []
        return self._list.rebuild()

    # Restart and the shared store

    def to_remember(self) -> RememberedMembers:
        """Return what a later start has to know while no source answers."""
        return self.sources.remember(dict(self.orders))

    def restore_snapshot(self, memory: RememberedMembers, saved: float, now: float) -> list[Change]:
        """Restore a snapshot; if it is older than `Policy.max_snapshot_age`, its orders alone."""
        self.orders.restore(memory.orders)
        self.sources.restore(memory, saved, now)
        return self._list.rebuild()

    def count_all_as_cold(self, now: float) -> list[Change]:
        """Count all caches as cold from now: it is unknown whether they were running before."""
        self.sources.warm_up.all_cold_since = now
        return self._list.rebuild()

    def drop_snapshot(self) -> list[Change]:
        """Drop the definitions of the snapshot: the store has been read completely."""
        self.sources.definitions.replace_all(DefinitionSource.MEMORY, ())
        return self._list.rebuild()

    def confirm_snapshot(self) -> list[Change]:
        """Count the definitions of the snapshot as the store's: it has confirmed them."""
        if not self.sources.definitions.move_snapshot_to_store():
            return []
        return self._list.rebuild()

    # Time

    def tick(self, now: float) -> list[Change]:
        """Apply what time alone changes: ended grace periods, delayed moves, standby after an order."""
        is_due = self._list.is_standby_due
        if self.sources.remove_expired_members(now):
            is_due = True
        changes: list[Change] = []
        for host in self.sources.addresses.by_host:
            if self.sources.addresses.settle(host, now):
                changes += self._list.rebuild()
        if is_due:
            changes += self._list.rebuild()
        return changes

    def next_due(self) -> float:
        """Return when `tick` has something to do; infinity for never."""
        return NEVER if self._list.is_standby_due else self.sources.next_due()

    # Reading

    def is_known(self, cache_id: str) -> bool:
        """Whether a cache or an order of that id is known."""
        return self._list.find(cache_id) is not None or cache_id in self.orders

    def explain(self, cache_id: str, now: float) -> list[str]:
        """Return the lines that tell an operator why a cache is in its state; none if the id is unknown."""
        return explanation.explain(self._list, self.sources, self.orders, cache_id, now)
