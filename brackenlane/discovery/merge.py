"""One list of caches out of what all sources define, by one stated rule (docs/design/discovery.md).

A decision module: no I/O, no clock of its own. Each concern owns its state in a module of its own:
definitions, srv_entries, host_addresses, operator_orders, warm_up and publication. The merge joins them:
cache_identity tells which definitions are one cache, state_rules its state, explanation why.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from functools import partial

from brackenlane.config import Endpoint
from brackenlane.discovery import explanation
from brackenlane.discovery.cache_identity import CacheGrouping
from brackenlane.discovery.definitions import DefinitionTable
from brackenlane.discovery.host_addresses import HostAddressTable
from brackenlane.discovery.operator_orders import OperatorOrders
from brackenlane.discovery.publication import Publication
from brackenlane.discovery.records import (
    NEVER,
    CacheDefinition,
    Change,
    DefinitionSource,
    MergedCache,
    OperatorOrder,
    Policy,
    RememberedMembers,
    SrvRecord,
    SrvWatch,
    fixed,
)
from brackenlane.discovery.srv_entries import SrvEntry
from brackenlane.discovery.state_rules import decide_state, find_standby, is_governed_by
from brackenlane.discovery.warm_up import WarmUpTimes


class MembershipMerge:
    """The merged list of caches. Each method that changes it returns the changes to publish, in order."""

    def __init__(self, policy: Policy, watches: Iterable[SrvWatch] = ()) -> None:
        self.policy = policy
        self.definitions = DefinitionTable()
        self.entries = {watch.srv: SrvEntry(watch, policy) for watch in watches}
        self.addresses = HostAddressTable(policy)
        self.orders = OperatorOrders(policy.max_orders)
        self.caches: dict[str, MergedCache] = {}
        self.aliases: dict[str, str] = {}  # ids that name a cache under another id
        self.left_out = 0  # definitions that exceeded `Policy.max_caches`
        self._warm_up = WarmUpTimes()
        self._publication = Publication()
        self._is_standby_due = False  # a drain or a restore may have changed which caches are on standby

    # Changes by the sources

    def define(self, source: DefinitionSource, definition: CacheDefinition) -> list[Change]:
        """Add a source's definition of a cache, or replace its earlier one."""
        known = self.definitions.get(source, definition.id)
        if known == definition:
            return []
        if known is None and self._remaining_capacity() <= 0:
            self.left_out += 1
            return []
        self.definitions.put(source, definition)
        return self._rebuild()

    def remove(self, source: DefinitionSource, cache_id: str) -> list[Change]:
        """Remove a source's definition of a cache."""
        if not self.definitions.remove(source, cache_id):
            return []
        return self._rebuild()

    def order(self, cache_id: str, order: OperatorOrder) -> list[Change]:
        """Apply an operator's drain or restore; it holds over any answer, also while the cache is unknown."""
        if not self.orders.add(cache_id, order):
            return []
        # One cache changes by it, however many are on the list: a drain waits for no merge of thousands.
        cache = self.caches.get(self.aliases.get(cache_id, cache_id))
        if cache is None:
            return []
        # Caches on standby behind it may be needed now: the next tick, which is due at once, decides that.
        for entry in self.entries.values():
            if is_governed_by(cache, entry):
                self._is_standby_due = True
        return self._publication.publish([self._decide(cache)])

    def answer(self, srv: str, records: Iterable[SrvRecord], upstream: str, now: float) -> list[Change]:
        """Apply a complete answer of an SRV entry."""
        self.entries[srv].apply_answer(records, upstream, now, self._remaining_capacity())
        return self._rebuild()

    def failed(self, name: str, error: str) -> None:
        """Record that a look-up failed or its answer was unusable: nothing is added or removed by it."""
        if name in self.entries:
            self.entries[name].fault = error
        elif name in self.addresses.by_host:
            self.addresses.by_host[name].error = error

    def locate(self, host: str, addresses: Iterable[str], now: float, dead: bool = False) -> list[Change]:
        """Apply a complete answer for a host name; `dead`: nobody answers at its address in use."""
        if not self.addresses.apply_answer(host, addresses, now, dead):
            return []
        return self._rebuild()

    def replace_unreachable(self, host: str, address: str, now: float) -> list[Change]:
        """Move a host's caches to another of its addresses at once: nobody answers at this one."""
        if not self.addresses.replace_unreachable(host, address, now):
            return []
        return self._rebuild()

    def discard_unnamed_host(self, host: str) -> None:
        """Discard the addresses of a host that no definition names any more, so that they do not add up."""
        if host not in self.hosts:
            self.addresses.discard(host)

    # Restart and the shared store

    def memory(self) -> RememberedMembers:
        """Return what a later start has to know while no source answers."""
        srv_members = {
            srv: tuple(member.definition for member in entry.listed.values())
            for srv, entry in self.entries.items()
        }
        return RememberedMembers(
            self.definitions.to_remember(), srv_members, self.addresses.in_use(), dict(self.orders)
        )

    def count_all_as_cold(self, now: float) -> list[Change]:
        """Count all caches as cold from now: it is unknown whether they were running before."""
        self._warm_up.all_cold_since = now
        return self._rebuild()

    def restore_snapshot(self, memory: RememberedMembers, saved: float, now: float) -> list[Change]:
        """Restore a snapshot; if it is older than `Policy.max_snapshot_age`, its orders alone."""
        self.orders.restore(memory.orders)
        age = now - saved
        if not 0 <= age <= self.policy.max_snapshot_age:
            return self._rebuild()
        is_cold = age > self.policy.warm
        self._warm_up.snapshot_cold_since = now if is_cold else 0.0
        self.definitions.replace_all(DefinitionSource.MEMORY, memory.definitions)
        for srv, definitions in memory.srv_members.items():
            if entry := self.entries.get(srv):
                entry.restore(definitions, saved, now, is_cold)
        self.addresses.restore(memory.addresses, saved, now if is_cold else NEVER)
        return self._rebuild()

    def forget(self, now: float) -> list[Change]:
        """Drop the definitions of the snapshot: the store has been read completely."""
        self.definitions.replace_all(DefinitionSource.MEMORY, ())
        return self._rebuild()

    def confirm(self, now: float) -> list[Change]:
        """Count the definitions of the snapshot as the store's: it has confirmed them."""
        if not self.definitions.move_snapshot_to_store():
            return []
        return self._rebuild()

    # Time

    def tick(self, now: float) -> list[Change]:
        """Apply what time alone changes: ended grace periods, delayed moves, standby after an order."""
        is_due = self._is_standby_due
        for entry in self.entries.values():
            if entry.remove_expired(now):
                is_due = True
        changes: list[Change] = []
        for host in self.addresses.by_host:
            if self.addresses.settle(host, now):
                changes += self._rebuild()
        if is_due:
            changes += self._rebuild()
        return changes

    def next_due(self) -> float:
        """Return when `tick` has something to do; infinity for never."""
        if self._is_standby_due:
            return NEVER
        due = [self.addresses.next_due()]
        for entry in self.entries.values():
            due += entry.removal_times()
        return min(due)

    # Reading

    @property
    def hosts(self) -> set[str]:
        """The host names whose addresses are needed."""
        return {definition.host for _, definition in self._all() if fixed(definition.host) is None}

    def is_known(self, cache_id: str) -> bool:
        """Whether a cache or an order of that id is known."""
        return cache_id in self.caches or cache_id in self.aliases or cache_id in self.orders

    def explain(self, cache_id: str, now: float) -> list[str]:
        """Return the lines that tell an operator why a cache is in its state; none if the id is unknown."""
        view = explanation.MembershipView(
            self.caches, self.aliases, self._all(), self.entries.values(), self.addresses, self.orders
        )
        return explanation.explain(view, cache_id, now)

    # The list

    def _remaining_capacity(self) -> int:
        members = sum(len(entry.listed) for entry in self.entries.values())
        return self.policy.max_caches - len(self.definitions) - members

    def _all(self) -> Iterator[tuple[DefinitionSource, CacheDefinition]]:
        """Yield all definitions, those of the first source in precedence first."""
        for source in DefinitionSource:
            if source is DefinitionSource.SRV:
                for entry in self.entries.values():
                    for member in entry.listed.values():
                        yield source, member.definition
            else:
                for definition in self.definitions.of(source):
                    yield source, definition

    def _rebuild(self) -> list[Change]:
        """Build the whole list anew and return its changes."""
        self._is_standby_due = False
        started_at = partial(
            self._warm_up.started_at, entries=self.entries.values(), addresses=self.addresses
        )
        grouping = CacheGrouping(self._endpoint, started_at)
        for source, definition in self._all():
            grouping.add(source, definition)
        self.aliases = grouping.aliases
        self.caches = {}
        for cache in grouping.caches.values():
            self._decide(cache)
        for entry in self.entries.values():
            for cache in find_standby(entry, self.caches):
                self.caches[cache.definition.id] = cache
        changes = self._publication.publish(self.caches.values())
        return changes + self._publication.withdraw_missing(self.caches)

    def _endpoint(self, definition: CacheDefinition) -> Endpoint | None:
        address = self.addresses.resolve(definition.host)
        return (address, definition.port) if address else None

    def _decide(self, cache: MergedCache) -> MergedCache:
        """Set a cache's state by its own merits and return it."""
        drain = self.orders.drain_of((cache.definition.id, *cache.aliases))
        known = self.addresses.by_host.get(cache.definition.host)
        decided = decide_state(cache, drain, known.error if known else "")
        self.caches[cache.definition.id] = decided
        return decided
