"""State reported by all sources: definitions, SRV entries, addresses, and when caches became cold.

Pure. Times are Unix seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from brackenlane.config import Endpoint
from brackenlane.discovery.definitions import DefinitionTable
from brackenlane.discovery.host_addresses import HostAddressTable
from brackenlane.discovery.records import (
    NEVER,
    CacheDefinition,
    DefinitionSource,
    OperatorOrder,
    PersistedMembership,
    Policy,
    SrvWatch,
    ip_address_of,
)
from brackenlane.discovery.srv_entries import SrvEntry
from brackenlane.discovery.warm_up import WarmUpTimes


class Sources:
    """The state of all sources; independent of the merged list."""

    def __init__(self, policy: Policy, watches: Iterable[SrvWatch]) -> None:
        self.definitions = DefinitionTable()
        self.entries = {watch.srv: SrvEntry(watch, policy) for watch in watches}
        self.addresses = HostAddressTable(policy)
        self.warm_up = WarmUpTimes()
        self._policy = policy

    @property
    def hosts(self) -> set[str]:
        """The host names that definitions refer to and whose addresses have to be looked up."""
        return {
            definition.host
            for _, definition in self.all_definitions()
            if ip_address_of(definition.host) is None
        }

    def remaining_capacity(self) -> int:
        """Return how many more definitions may be added."""
        members = sum(len(entry.members) for entry in self.entries.values())
        return self._policy.max_caches - len(self.definitions) - members

    def all_definitions(self) -> Iterator[tuple[DefinitionSource, CacheDefinition]]:
        """Yield all definitions with their sources, in order of precedence."""
        for source in DefinitionSource:
            if source is DefinitionSource.SRV:
                for entry in self.entries.values():
                    for member in entry.members.values():
                        yield source, member.definition
            else:
                for definition in self.definitions.of(source):
                    yield source, definition

    def endpoint_of(self, definition: CacheDefinition) -> Endpoint | None:
        """Return the address and port of a cache; None while its host name has no address."""
        address = self.addresses.resolve(definition.host)
        return (address, definition.port) if address else None

    def cold_since(self, source: DefinitionSource, definition: CacheDefinition) -> float:
        """Return since when a cache counts as cold; 0 if it is warm."""
        return self.warm_up.cold_since(source, definition, self.entries.values(), self.addresses)

    def record_failure(self, name: str, error: str) -> None:
        """Record that a look-up failed or its answer was unusable, which adds and removes no caches."""
        if name in self.entries:
            self.entries[name].last_error = error
        elif name in self.addresses.by_host:
            self.addresses.by_host[name].error = error

    def discard_unnamed_host(self, host: str) -> None:
        """Discard the addresses of a host that no definition refers to, so that the table does not grow."""
        if host not in self.hosts:
            self.addresses.discard(host)

    def remove_expired_members(self, now: float) -> bool:
        """Remove SRV members whose grace period has ended; return whether there were any."""
        has_removed = False
        for entry in self.entries.values():
            if entry.remove_expired(now):
                has_removed = True
        return has_removed

    def next_due(self) -> float:
        """Return when the next timer is due; infinity if none is running."""
        due = [self.addresses.next_due()]
        for entry in self.entries.values():
            due += entry.removal_times()
        return min(due)

    def snapshot_content(self, orders: dict[str, OperatorOrder]) -> PersistedMembership:
        """Return the state for a snapshot, with the operators' orders."""
        srv_members = {
            srv: tuple(member.definition for member in entry.members.values())
            for srv, entry in self.entries.items()
        }
        return PersistedMembership(
            self.definitions.snapshot_content(), srv_members, self.addresses.in_use(), orders
        )

    def restore(self, remembered: PersistedMembership, saved: float, now: float) -> None:
        """Restore a snapshot written at `saved`, unless it is older than `Policy.max_snapshot_age`."""
        age = now - saved
        if not 0 <= age <= self._policy.max_snapshot_age:
            return
        is_cold = age > self._policy.max_warm_age
        self.warm_up.snapshot_cold_since = now if is_cold else 0.0
        self.definitions.replace_all(DefinitionSource.MEMORY, remembered.definitions)
        for srv, definitions in remembered.srv_members.items():
            if entry := self.entries.get(srv):
                entry.restore(definitions, saved, now, is_cold)
        self.addresses.restore(remembered.addresses, saved, now if is_cold else NEVER)
