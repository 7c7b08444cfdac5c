"""SRV entries: their members from complete answers, and mass removals that await confirmation.

Pure. Times are Unix seconds. The rules: RFC 2782 and docs/design/discovery.md.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from brackenlane.discovery.records import (
    NEVER,
    PORT_LIMIT,
    CacheDefinition,
    Policy,
    SrvRecord,
    SrvWatch,
    srv_cache_id,
)

# SRV weight 0 means a very small chance of selection (RFC 2782), but a cache's weight must be above 0.
MIN_SRV_WEIGHT = 0.1


@dataclass(slots=True)
class SrvMember:
    """One target of an SRV entry."""

    definition: CacheDefinition
    first_seen_at: float
    last_seen_at: float
    missing_since: float | None = None  # when complete answers began to omit it
    is_cold: bool = True  # added after the entry's first answer, or restored from an old snapshot


@dataclass(slots=True)
class PendingRemoval:
    """The mass removal of members, which is not applied until a second answer confirms it."""

    cache_ids: frozenset[str]
    upstream: str
    since: float


@dataclass(slots=True)
class SrvEntry:
    """The state of one watched SRV entry. Only this class adds and removes its members."""

    watch: SrvWatch
    policy: Policy
    members: dict[str, SrvMember] = field(default_factory=dict)
    pending_removal: PendingRemoval | None = None
    answered_at: float = NEVER  # time of the last complete answer
    last_error: str = ""  # why the last look-up failed
    omitted_count: int = 0  # targets of the last answer that were left out for lack of capacity

    def apply_answer(
        self, records: Iterable[SrvRecord], upstream: str, now: float, remaining_capacity: int
    ) -> None:
        """Apply a complete answer, which adds at most `remaining_capacity` members."""
        # Without an earlier answer or a snapshot it is unknown which caches are new, so all count as warm.
        is_first = self.answered_at == NEVER and not self.members
        reported = definitions_of(records, self.watch)
        self.omitted_count = 0
        for cache_id, definition in reported.items():
            member = self.members.get(cache_id)
            if member is not None:
                member.definition = definition
                member.last_seen_at = now
                member.missing_since = None
            elif remaining_capacity > 0:
                self.members[cache_id] = SrvMember(definition, now, now, is_cold=not is_first)
                remaining_capacity -= 1
            else:
                self.omitted_count += 1
        self._record_missing(frozenset(self.members.keys() - reported.keys()), upstream, now)
        self.answered_at = now
        self.last_error = ""

    def restore(
        self, definitions: Iterable[CacheDefinition], saved_at: float, now: float, is_cold: bool
    ) -> None:
        """Add the members of a snapshot that was written at `saved_at`."""
        for definition in definitions:
            self.members.setdefault(definition.id, SrvMember(definition, now, saved_at, is_cold=is_cold))

    def remove_expired(self, now: float) -> bool:
        """Remove members whose grace period has ended; return whether there were any."""
        expired = [
            cache_id
            for cache_id, member in self.members.items()
            if member.missing_since is not None and now - member.missing_since >= self.policy.removal_grace
        ]
        for cache_id in expired:
            del self.members[cache_id]
        return bool(expired)

    def removal_times(self) -> Iterator[float]:
        """Yield the end of the grace period of each missing member."""
        for member in self.members.values():
            if member.missing_since is not None:
                yield member.missing_since + self.policy.removal_grace

    def cold_since(self, cache_id: str) -> float | None:
        """Return when a cold member was added; None for a warm one or if there is no such member."""
        member = self.members.get(cache_id)
        if member is None or not member.is_cold:
            return None
        return member.first_seen_at

    def _record_missing(self, missing: frozenset[str], upstream: str, now: float) -> None:
        """Start the grace period of missing members; too many of them at once need a second answer first."""
        limit = max(1.0, self.policy.max_unconfirmed_share * len(self.members))
        if len(missing) > limit:
            missing = self._confirm_removal(missing, upstream, now)
            if not missing:
                return
        self.pending_removal = None
        for cache_id in missing:
            member = self.members[cache_id]
            if member.missing_since is None:
                member.missing_since = now

    def _confirm_removal(self, missing: frozenset[str], upstream: str, now: float) -> frozenset[str]:
        """Return the missing members whose removal this answer confirms; an empty set while it is pending.

        An answer of another upstream confirms it at once, one of the same upstream only after
        `Policy.confirmation_delay`.
        """
        pending = self.pending_removal
        confirmed = pending.cache_ids & missing if pending else frozenset()
        if pending is None or not confirmed:
            self.pending_removal = PendingRemoval(missing, upstream, now)
            return frozenset()
        if upstream == pending.upstream and now - pending.since < self.policy.confirmation_delay:
            self.pending_removal = PendingRemoval(confirmed, upstream, pending.since)
            return frozenset()
        return confirmed


def definitions_of(records: Iterable[SrvRecord], watch: SrvWatch) -> dict[str, CacheDefinition]:
    """Return the caches of an answer by id; of two records for one cache, the better priority is used.

    The target "." means that the service is not available (RFC 2782), so it defines no cache.
    """
    reported: dict[str, CacheDefinition] = {}
    for record in records:
        host = record.host.rstrip(".").lower()
        if not host or not 0 < record.port < PORT_LIMIT:
            continue
        cache_id = srv_cache_id(host, record.port)
        if cache_id in reported and reported[cache_id].priority <= record.priority:
            continue
        weight = watch.weight_scale * max(record.weight, MIN_SRV_WEIGHT)
        reported[cache_id] = CacheDefinition(
            cache_id, host, record.port, watch.zone, watch.role, weight, record.priority
        )
    return reported
