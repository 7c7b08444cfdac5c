"""One list of caches out of all that is told of them, by one stated rule (docs/design/discovery.md).

A decision module: no I/O, no clock of its own. Every source says what it knows; the merge keeps all of it,
with its age, and works out for each cache its state, its address and the reason.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from brackenlane.config import Endpoint
from brackenlane.discovery.records import (
    NEVER,
    CacheDefinition,
    Change,
    DefinitionSource,
    HostAddresses,
    MergedCache,
    MergedState,
    OperatorOrder,
    PendingRemoval,
    Policy,
    RememberedMembers,
    SrvEntry,
    SrvMember,
    SrvRecord,
    SrvWatch,
    fixed,
    srv_cache_id,
)


class MembershipMerge:
    """All that is told of caches, and the one list of it. Each method returns what changed, in order."""

    def __init__(self, policy: Policy, watches: Iterable[SrvWatch] = ()) -> None:
        self.policy = policy
        self.entries = {watch.srv: SrvEntry(watch) for watch in watches}
        self.places: dict[str, HostAddresses] = {}
        self.orders: dict[str, OperatorOrder] = {}
        self.caches: dict[str, MergedCache] = {}
        self.left_out = 0  # for want of room
        self._said: dict[DefinitionSource, dict[str, CacheDefinition]] = {
            o: {} for o in DefinitionSource if o is not DefinitionSource.SRV
        }
        self._recalled = 0.0  # from when what memory alone names counts as cold; 0: it is warm still
        self._cold = 0.0  # from when all caches count as cold; 0: they don't
        self._published: dict[str, Change] = {}
        self._alias: dict[str, str] = {}  # ids that are another box's as well
        self._due = False  # a drain or a restore may have changed who stands by

    # What is told

    def define(self, origin: DefinitionSource, definition: CacheDefinition, now: float) -> list[Change]:
        """A console, the store or the file describes a cache; what it said before is replaced."""
        said = self._said[origin]
        if said.get(definition.id) == definition:
            return []
        if definition.id not in said and self._count() >= self.policy.caches:
            self.left_out += 1
            return []
        said[definition.id] = definition
        return self._renew(now)

    def remove(self, origin: DefinitionSource, server: str, now: float) -> list[Change]:
        """That source names the cache no more."""
        return self._renew(now) if self._said[origin].pop(server, None) else []

    def order(self, server: str, order: OperatorOrder, now: float) -> list[Change]:
        """An operator drains or restores a cache, known or not: the last word holds over any answer."""
        if not order.beats(self.orders.get(server)):
            return []
        if server not in self.orders and len(self.orders) >= self.policy.drains:
            spare = min(
                (s for s, o in self.orders.items() if not o.drained),
                default=None,
                key=lambda s: self.orders[s].at,
            )
            if spare is None:  # never forget a drain for a new one: the operator is told
                return []
            del self.orders[spare]
        self.orders[server] = order
        # One cache changes by it, whoever else is on the list: a drain waits for no merge of thousands.
        known = self.caches.get(self._alias.get(server, server))
        if known is None:
            return []
        # Who stands by behind it may be wanted now: the next tick sees to that, which is due at once.
        self._due |= any(self._watched(known, entry) for entry in self.entries.values())
        return self._publish([self._decide_state(known)])

    def answer(self, srv: str, targets: Iterable[SrvRecord], upstream: str, now: float) -> list[Change]:
        """A whole answer of an SRV entry; a target "." means no service and counts as none (RFC 2782)."""
        entry = self.entries[srv]
        # At a start with nothing remembered nobody can tell who is new: all are taken as warm.
        first = entry.answered == NEVER and not entry.listed
        reported: dict[str, CacheDefinition] = {}
        for target in targets:
            host = target.host.rstrip(".").lower()
            if not host or not 0 < target.port < 65536:
                continue
            server = srv_cache_id(host, target.port)
            if server in reported and reported[server].priority <= target.priority:
                continue
            # RFC 2782: weight 0 is there for when there is nothing to choose; the module needs more than 0.
            weight = entry.watch.weight_scale * max(target.weight, 0.1)
            reported[server] = CacheDefinition(
                server, host, target.port, entry.watch.zone, entry.watch.role, weight, target.priority
            )
        entry.left_out = 0
        for server, definition in reported.items():
            if listed := entry.listed.get(server):
                listed.definition, listed.last, listed.missing = definition, now, None
            elif self._count() < self.policy.caches:
                entry.listed[server] = SrvMember(definition, now, now, cold=not first)
            else:
                entry.left_out += 1
        self._missing(entry, frozenset(entry.listed.keys() - reported.keys()), upstream, now)
        entry.answered, entry.fault = now, ""
        return self._renew(now)

    def failed(self, name: str, why: str) -> None:
        """A look-up failed, was cut or lame: it takes nothing away and adds nothing."""
        if name in self.entries:
            self.entries[name].fault = why
        elif name in self.places:
            self.places[name].fault = why

    def locate_failed(self, host: str, why: str) -> None:
        """Nobody answers at any address that was told: nothing is taken away, the module finds out itself."""
        self.places.setdefault(host, HostAddresses()).fault = why

    def locate(self, host: str, addresses: Iterable[str], now: float, dead: bool = False) -> list[Change]:
        """A whole answer for a host name. No address at all takes the cache away after the grace period.

        dead: nobody answers at the address in use, so that a move need not wait.
        """
        place = self.places.setdefault(host, HostAddresses())
        if dead:
            place.moved = NEVER
        place.addresses, place.received_at, place.fault = tuple(addresses), now, ""
        if place.addresses:
            place.missing = None
        elif place.missing is None:
            place.missing = now
        return self._settle(host, place, now)

    def leave(self, host: str) -> None:
        """Guards memory: nothing names a host any more, so where it was is let go of."""
        if host not in self.hosts:
            self.places.pop(host, None)

    def doubt(self, host: str, address: str, now: float) -> list[Change]:
        """Nobody answers at an address that was told: another one is used at once, if there is one."""
        place = self.places.get(host)
        if place is None or place.address != address:
            return []
        others = [a for a in place.addresses if a != address]
        place.moved = NEVER
        place.addresses = (*others, *(a for a in place.addresses if a == address))
        if others:
            self._move(place, others[0], now)
            return self._renew(now)
        return []

    def memory(self) -> RememberedMembers:
        """What a later start is to know while nobody else can be asked."""
        others = {
            definition.id: definition
            for origin in (DefinitionSource.MEMORY, DefinitionSource.STORE, DefinitionSource.CONSOLE)
            for definition in self._said[origin].values()
        }
        return RememberedMembers(
            tuple(others.values()),
            {
                srv: tuple(listed.definition for listed in entry.listed.values())
                for srv, entry in self.entries.items()
            },
            {host: place.address for host, place in self.places.items() if place.address},
            dict(self.orders),
        )

    def count_all_as_cold(self, now: float) -> list[Change]:
        """Nobody can tell whether the caches were running before now: all count as cold from now."""
        self._cold = now
        return self._renew(now)

    def restore_snapshot(self, memory: RememberedMembers, saved: float, now: float) -> list[Change]:
        """The last list, weighed by its age: too old, its caches are left out; the orders never are."""
        for server, order in memory.orders.items():
            if order.beats(self.orders.get(server)):
                self.orders[server] = order
        if not 0 <= now - saved <= self.policy.remembered:
            return self._renew(now)
        self._recalled = now if now - saved > self.policy.warm else 0.0
        self._said[DefinitionSource.MEMORY] = {definition.id: definition for definition in memory.others}
        for srv, caches in memory.listed.items():
            if entry := self.entries.get(srv):
                for definition in caches:
                    entry.listed.setdefault(
                        definition.id, SrvMember(definition, now, saved, cold=self._recalled > 0)
                    )
        for host, address in memory.places.items():
            if host not in self.places:
                self.places[host] = HostAddresses((), address, saved, self._recalled or NEVER, True)
        return self._renew(now)

    def forget(self, now: float) -> list[Change]:
        """The store has been read: what memory kept of it is wanted no more."""
        self._said[DefinitionSource.MEMORY].clear()
        return self._renew(now)

    def confirm(self, now: float) -> list[Change]:
        """The store stands behind what memory kept of it: these are its words now."""
        retained = self._said[DefinitionSource.MEMORY]
        if not retained:
            return []
        self._said[DefinitionSource.STORE] = {**retained, **self._said[DefinitionSource.STORE]}
        self._said[DefinitionSource.MEMORY] = {}
        return self._renew(now)

    def tick(self, now: float) -> list[Change]:
        """What time alone changes: periods of grace that are over, moves that were put off."""
        over = self._due
        for entry in self.entries.values():
            for server, listed in list(entry.listed.items()):
                if listed.missing is not None and now - listed.missing >= self.policy.grace:
                    del entry.listed[server]
                    over = True
        changes: list[Change] = []
        for host, place in self.places.items():
            changes += self._settle(host, place, now)
        return changes + (self._renew(now) if over else [])

    @property
    def hosts(self) -> set[str]:
        """The host names whose addresses are wanted."""
        return {definition.host for _, definition in self._all() if fixed(definition.host) is None}

    def next_due(self) -> float:
        """When `tick` has something to do; infinity for never."""
        if self._due:
            return NEVER
        due = [
            listed.missing + self.policy.grace
            for entry in self.entries.values()
            for listed in entry.listed.values()
            if listed.missing is not None
        ]
        for place in self.places.values():
            if place.missing is not None and place.address:
                due.append(place.missing + self.policy.grace)
            elif place.address and place.addresses and place.address not in place.addresses:
                due.append(place.moved + self.policy.settle)
        return min(due, default=float("inf"))

    # How it is worked out

    def _missing(self, entry: SrvEntry, gone: frozenset[str], upstream: str, now: float) -> None:
        """Boxes that a whole answer lacks; a mass disappearance waits to be confirmed."""
        most = max(1.0, self.policy.most_gone * len(entry.listed))
        if len(gone) > most:
            held = entry.held
            if held is None or not held.gone & gone:
                entry.held = PendingRemoval(gone, upstream, now)
                return
            both = held.gone & gone
            if upstream == held.upstream and now - held.since < self.policy.confirm:
                entry.held = PendingRemoval(both, upstream, held.since)
                return
            gone = both
        entry.held = None
        for server in gone:
            listed = entry.listed[server]
            listed.missing = now if listed.missing is None else listed.missing

    def _settle(self, host: str, place: HostAddresses, now: float) -> list[Change]:
        """Choose among a name's addresses: the one in use while it is told; a new one, not too often."""
        if place.address in place.addresses:
            return []
        if not place.addresses:
            if place.address and place.missing is not None and now - place.missing >= self.policy.grace:
                place.address = None
                return self._renew(now)
            return []
        # Hysteresis: answers that alternate move a cache once in a while, not each time.
        if place.address and now - place.moved < self.policy.settle:
            return []
        self._move(place, place.addresses[0], now)
        return self._renew(now)

    @staticmethod
    def _move(place: HostAddresses, address: str, now: float) -> None:
        # Found again, or at another address, it may be another machine: it starts cold.
        place.moved = now if place.once else NEVER
        place.address, place.once = address, True

    def _count(self) -> int:
        return sum(len(said) for said in self._said.values()) + sum(
            len(entry.listed) for entry in self.entries.values()
        )

    def _all(self) -> Iterable[tuple[DefinitionSource, CacheDefinition]]:
        for origin in DefinitionSource:
            if origin is DefinitionSource.SRV:
                for entry in self.entries.values():
                    for listed in entry.listed.values():
                        yield origin, listed.definition
            else:
                for definition in self._said[origin].values():
                    yield origin, definition

    def _endpoint(self, definition: CacheDefinition) -> Endpoint | None:
        address = fixed(definition.host)
        if address is None and (place := self.places.get(definition.host)):
            address = place.address
        return (address, definition.port) if address else None

    def _renew(self, now: float) -> list[Change]:
        """The whole list anew, by the table: who is one cache, whose words hold, who serves."""
        self._due = False
        found: dict[str, MergedCache] = {}
        names: dict[tuple[str, int], str] = {}  # host and port, as told
        ends: dict[Endpoint, str] = {}
        self._alias = {}
        for origin, definition in self._all():
            endpoint = self._endpoint(definition)
            server = (
                definition.id
                if definition.id in found
                else names.get((definition.host, definition.port))
                or (ends.get(endpoint) if endpoint else None)
                or definition.id
            )
            names.setdefault((definition.host, definition.port), server)
            if endpoint:
                ends.setdefault(endpoint, server)
            if server != definition.id:
                self._alias[definition.id] = server
            if known := found.get(server):
                aliases = (
                    known.aliases
                    if definition.id in (server, *known.aliases)
                    else (*known.aliases, definition.id)
                )
                sources = known.sources if origin in known.sources else (*known.sources, origin)
                found[server] = replace(known, sources=sources, aliases=aliases)
            else:
                found[server] = MergedCache(
                    definition, MergedState.LOST, endpoint, self._started(origin, definition), (origin,)
                )
        self.caches = {}
        changed = [self._decide_state(cache) for cache in found.values()]
        for entry in self.entries.values():
            changed += self._apply_standby(entry)
        changed += [
            replace(cache, state=MergedState.LOST, endpoint=None)
            for cache in (
                MergedCache(
                    CacheDefinition(
                        server, "", 0, change.member.zone, change.member.role, change.member.weight
                    ),
                    MergedState.LOST,
                    None,
                    change.member.started_at,
                    (),
                )
                for server, change in self._published.items()
                if server not in self.caches
            )
        ]
        final = {
            cache.definition.id: cache for cache in changed
        }  # the last word on each, so that nobody flaps
        return self._publish(final.values())

    def _started(self, origin: DefinitionSource, definition: CacheDefinition) -> float:
        """From when a cache counts as cold: since it was added or has moved; 0 if it is warm."""
        place = self.places.get(definition.host)
        moved = place.moved if place and place.moved > 0 else 0.0
        added = self._cold
        if origin is DefinitionSource.SRV:
            added = max(
                (
                    listed.first
                    for entry in self.entries.values()
                    if (listed := entry.listed.get(definition.id)) and listed.cold
                ),
                default=added,
            )
        elif origin is DefinitionSource.MEMORY:
            added = max(added, self._recalled)
        return max(moved, added)

    def _drain(self, cache: MergedCache) -> OperatorOrder | None:
        """The order that keeps a cache out, under whichever of its ids it was given."""
        orders = [
            self.orders[server] for server in (cache.definition.id, *cache.aliases) if server in self.orders
        ]
        return next((order for order in orders if order.drained), None)

    def _decide_state(self, cache: MergedCache) -> MergedCache:
        """A cache by its own merits: drains first, then whether it can be reached at all."""
        if order := self._drain(cache):
            state, reason = MergedState.DRAINING, f"drained by {order.by}"
        elif cache.endpoint is None:
            place = self.places.get(cache.definition.host)
            why = place.fault if place and place.fault else "no address told"
            state, reason = MergedState.LOST, f"{cache.definition.host}: {why}"
        else:
            state, reason = (
                MergedState.SERVING,
                f"named by {', '.join(o.name.lower() for o in cache.sources)}",
            )
        if state is MergedState.DRAINING and cache.endpoint is None:
            state = MergedState.LOST  # drained and nowhere: off the list, the order stays
        self.caches[cache.definition.id] = found = replace(cache, state=state, reason=reason)
        return found

    def _watched(self, cache: MergedCache, entry: SrvEntry) -> bool:
        return cache.sources[0] is DefinitionSource.SRV and cache.definition.id in entry.listed

    def _apply_standby(self, entry: SrvEntry) -> list[MergedCache]:
        """RFC 2782: a target of lower priority is used only while too few better ones serve."""
        mine = sorted(
            (
                cache
                for server in entry.listed
                if (cache := self.caches.get(server)) and self._watched(cache, entry)
            ),
            key=lambda cache: (cache.definition.priority, cache.definition.id),
        )
        better, level, serving = 0, None, 0
        changed: list[MergedCache] = []
        for cache in mine:
            if cache.definition.priority != level:
                better, level = better + serving, cache.definition.priority
                serving = 0
            if cache.state is not MergedState.SERVING:
                continue
            if better >= entry.watch.enough:
                found = replace(
                    cache,
                    state=MergedState.STANDBY,
                    reason=f"standby: {better} of a better priority serve",
                )
                self.caches[cache.definition.id] = found
                changed.append(found)
            else:
                serving += 1
        return changed

    def _publish(self, caches: Iterable[MergedCache]) -> list[Change]:
        """The real changes among these caches, one for each."""
        changes: list[Change] = []
        for cache in caches:
            on = cache.state in (MergedState.SERVING, MergedState.DRAINING)
            change = Change(cache.member, cache.endpoint if on else None)
            known = self._published.get(cache.definition.id)
            if known == change or (known is None and not on):
                continue
            changes.append(change)
            if on:
                self._published[cache.definition.id] = change
            else:
                del self._published[cache.definition.id]
        return changes

    # What an operator sees

    def explain(self, server: str, now: float) -> list[str]:
        """Why a cache stands as it does, and what each source says of it; nothing if nobody names it."""
        server = self._alias.get(server, server)
        cache, lines = self.caches.get(server), []
        if cache:
            at = f" at {cache.endpoint[0]}, port {cache.endpoint[1]}" if cache.endpoint else ""
            lines.append(f"{server} is {cache.state.value}{at}: {cache.reason}")
            if cache.started:
                lines.append(f"  cold since {max(0.0, now - cache.started):.0f} s")
            lines += [f"  the same box as {other}" for other in cache.aliases]
        ids = {server, *(cache.aliases if cache else ())}
        for origin, definition in self._all():
            if definition.id in ids:
                lines.append(
                    f"  {origin.name.lower()}: {definition.host}, port {definition.port}, "
                    f"weight {definition.weight:g}, priority {definition.priority}"
                )
        for entry in self.entries.values():
            for name in sorted(ids & entry.listed.keys()):
                listed = entry.listed[name]
                lines.append(
                    f"  {entry.watch.srv}: told {max(0.0, now - listed.last):.0f} s ago"
                    + (f", missing since {now - listed.missing:.0f} s" if listed.missing is not None else "")
                )
                if entry.held and name in entry.held.gone:
                    lines.append(
                        f"  {entry.watch.srv}: missing with {len(entry.held.gone) - 1} others, "
                        "not believed until it is confirmed"
                    )
                if entry.fault:
                    lines.append(f"  {entry.watch.srv}: the last look-up failed: {entry.fault}")
        if cache and (place := self.places.get(cache.definition.host)):
            fault = f", {place.fault}" if place.fault else ""
            lines.append(
                f"  {cache.definition.host}: {', '.join(place.addresses) or 'nowhere'}, "
                f"told {max(0.0, now - place.received_at):.0f} s ago{fault}"
            )
        if not cache and self.orders.get(server):
            lines.append(f"{server} is named by nobody now; the order stays for when it is again")
        for name in sorted(ids & self.orders.keys()):
            order = self.orders[name]
            lines.append(
                f"  {'drained' if order.drained else 'restored'} by {order.by} "
                f"{max(0.0, now - order.at):.0f} s ago"
            )
        return lines
