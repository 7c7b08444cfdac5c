"""The explanation that an operator reads: the state of a cache, its reason, and each source's words. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from brackenlane.discovery.host_addresses import HostAddressTable
from brackenlane.discovery.records import (
    CacheDefinition,
    DefinitionSource,
    MergedCache,
    OperatorOrder,
)
from brackenlane.discovery.srv_entries import SrvEntry, SrvMember


@dataclass(frozen=True, slots=True)
class MembershipView:
    """What an explanation is drawn from; read only."""

    caches: Mapping[str, MergedCache]
    aliases: Mapping[str, str]
    definitions: Iterable[tuple[DefinitionSource, CacheDefinition]]
    entries: Iterable[SrvEntry]
    addresses: HostAddressTable
    orders: Mapping[str, OperatorOrder]


def explain(view: MembershipView, cache_id: str, now: float) -> list[str]:
    """Return the lines of an explanation; none if nothing is known of that id."""
    cache_id = view.aliases.get(cache_id, cache_id)
    cache = view.caches.get(cache_id)
    ids = {cache_id}
    lines: list[str] = []
    if cache:
        ids.update(cache.aliases)
        lines += _explain_state(cache, now)
    lines += _explain_definitions(view, ids)
    for entry in view.entries:
        for member_id in sorted(ids & entry.listed.keys()):
            lines += _explain_member(entry, member_id, now)
    if cache:
        lines += _explain_addresses(view.addresses, cache.definition.host, now)
    elif cache_id in view.orders:
        lines.append(f"{cache_id} is named by nobody now; the order stays for when it is again")
    for ordered_id in sorted(ids & view.orders.keys()):
        order = view.orders[ordered_id]
        action = "drained" if order.drained else "restored"
        lines.append(f"  {action} by {order.by} {_seconds_since(order.at, now)} ago")
    return lines


def _seconds_since(time: float, now: float) -> str:
    return f"{max(0.0, now - time):.0f} s"


def _explain_state(cache: MergedCache, now: float) -> Iterator[str]:
    place = f" at {cache.endpoint[0]}, port {cache.endpoint[1]}" if cache.endpoint else ""
    yield f"{cache.definition.id} is {cache.state.value}{place}: {cache.reason}"
    if cache.started:
        yield f"  cold since {_seconds_since(cache.started, now)}"
    for alias in cache.aliases:
        yield f"  the same box as {alias}"


def _explain_definitions(view: MembershipView, ids: set[str]) -> Iterator[str]:
    for source, definition in view.definitions:
        if definition.id in ids:
            yield (
                f"  {source.name.lower()}: {definition.host}, port {definition.port}, "
                f"weight {definition.weight:g}, priority {definition.priority}"
            )


def _explain_member(entry: SrvEntry, cache_id: str, now: float) -> Iterator[str]:
    name = entry.watch.srv
    member: SrvMember = entry.listed[cache_id]
    seen = f"  {name}: told {_seconds_since(member.last_seen_at, now)} ago"
    if member.missing_since is not None:
        seen += f", missing since {now - member.missing_since:.0f} s"
    yield seen
    if entry.held and cache_id in entry.held.gone:
        others = len(entry.held.gone) - 1
        yield f"  {name}: missing with {others} others, not believed until it is confirmed"
    if entry.fault:
        yield f"  {name}: the last look-up failed: {entry.fault}"


def _explain_addresses(addresses: HostAddressTable, host: str, now: float) -> Iterator[str]:
    known = addresses.by_host.get(host)
    if known is None:
        return
    places = ", ".join(known.addresses) or "nowhere"
    error = f", {known.error}" if known.error else ""
    yield f"  {host}: {places}, told {_seconds_since(known.received_at, now)} ago{error}"
