"""Merges the definitions of all sources into one list of caches (rules: docs/design/discovery.md).

Pure: no I/O, no clock. `sources` holds what the sources reported, `operator_orders` the drains and restores;
`merged_list` is updated from both after each event.
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
    PersistedMembership,
    Policy,
    SrvRecord,
    SrvWatch,
)
from brackenlane.discovery.sources import Sources


class MembershipMerge:
    """Merges all sources. Methods that change the list return the changes to publish, in order."""

    def __init__(self, policy: Policy, watches: Iterable[SrvWatch] = ()) -> None:
        self.sources = Sources(policy, watches)
        self.entries = self.sources.entries
        self.orders = OperatorOrders(policy.max_orders)
        self.omitted_count = 0  # definitions rejected because of `Policy.max_caches`
        self._list = MergedList(self.sources, self.orders)
        self.caches = self._list.caches

    # Updates from sources and operators

    def define(self, source: DefinitionSource, definition: CacheDefinition) -> list[Change]:
        """Add a source's definition of a cache, or replace its earlier one."""
        definitions = self.sources.definitions
        existing = definitions.get(source, definition.id)
        if existing == definition:
            return []
        if existing is None and self.sources.remaining_capacity() <= 0:
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
        """Apply an operator's drain or restore. It overrides all answers and is kept for unknown caches."""
        if not self.orders.add(cache_id, order):
            return []
        cache = self._list.find(cache_id)
        return self._list.update_ordered(cache) if cache else []

    def apply_srv_answer(
        self, srv: str, records: Iterable[SrvRecord], upstream: str, now: float
    ) -> list[Change]:
        """Apply a complete answer to the look-up of an SRV entry."""
        capacity = self.sources.remaining_capacity()
        self.entries[srv].apply_answer(records, upstream, now, capacity)
        return self._list.rebuild()

    def apply_host_answer(
        self, host: str, addresses: Iterable[str], now: float, is_current_unreachable: bool = False
    ) -> list[Change]:
        """Apply a complete answer for a host name; see `HostAddressTable.apply_answer`."""
        if not self.sources.addresses.apply_answer(host, addresses, now, is_current_unreachable):
            return []
        return self._list.rebuild()

    def replace_unreachable(self, host: str, address: str, now: float) -> list[Change]:
        """Switch a host's caches from an unreachable address to another one of the last answer."""
        if not self.sources.addresses.replace_unreachable(host, address, now):
            return []
        return self._list.rebuild()

    # Restart and the shared store

    def snapshot_content(self) -> PersistedMembership:
        """Return the state that a restarted router needs while no source responds."""
        return self.sources.snapshot_content(dict(self.orders))

    def restore_snapshot(self, remembered: PersistedMembership, saved: float, now: float) -> list[Change]:
        """Restore a snapshot; only its orders if it is older than `Policy.max_snapshot_age`."""
        self.orders.restore(remembered.orders)
        self.sources.restore(remembered, saved, now)
        return self._list.rebuild()

    def count_all_as_cold(self, now: float) -> list[Change]:
        """Count all caches as cold from now, since it is unknown how long they have been running."""
        self.sources.warm_up.all_cold_since = now
        return self._list.rebuild()

    def drop_snapshot(self) -> list[Change]:
        """Drop the snapshot's definitions, after the store has been read completely."""
        self.sources.definitions.replace_all(DefinitionSource.MEMORY, ())
        return self._list.rebuild()

    def confirm_snapshot(self) -> list[Change]:
        """Convert the snapshot's definitions to definitions of the store, which has confirmed them."""
        if not self.sources.definitions.move_snapshot_to_store():
            return []
        return self._list.rebuild()

    # Timers

    def tick(self, now: float) -> list[Change]:
        """Apply what is due: ended grace periods, delayed address changes, standby after an order."""
        is_due = self._list.is_standby_due
        if self.sources.remove_expired_members(now):
            is_due = True
        changes: list[Change] = []
        for host in self.sources.addresses.by_host:
            if self.sources.addresses.choose_address(host, now):
                changes += self._list.rebuild()
        if is_due:
            changes += self._list.rebuild()
        return changes

    def next_due(self) -> float:
        """Return when `tick` is next due; infinity if never."""
        return NEVER if self._list.is_standby_due else self.sources.next_due()

    # Queries

    def is_known(self, cache_id: str) -> bool:
        """Return whether a cache or an order with this id is known."""
        return self._list.find(cache_id) is not None or cache_id in self.orders

    def explain(self, cache_id: str, now: float) -> list[str]:
        """Return lines that explain the state of a cache to an operator; an empty list for an unknown id."""
        return explanation.explain(self._list, self.sources, self.orders, cache_id, now)
