"""Explanation of a cache for operators: its state, the reason, and what each source reports. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from brackenlane.discovery.host_addresses import HostAddressTable
from brackenlane.discovery.merged_list import MergedList
from brackenlane.discovery.operator_orders import OperatorOrders
from brackenlane.discovery.records import MergedCache
from brackenlane.discovery.sources import Sources
from brackenlane.discovery.srv_entries import SrvEntry


def explain(
    merged_list: MergedList, sources: Sources, orders: OperatorOrders, cache_id: str, now: float
) -> list[str]:
    """Return the lines of an explanation; an empty list if the id is unknown."""
    cache = merged_list.find(cache_id)
    if cache:
        cache_id = cache.definition.id
    ids = {cache_id}
    lines: list[str] = []
    if cache:
        ids.update(cache.aliases)
        lines += _explain_state(cache, now)
    lines += _explain_definitions(sources, ids)
    for entry in sources.entries.values():
        for member_id in sorted(ids & entry.members.keys()):
            lines += _explain_member(entry, member_id, now)
    if cache:
        lines += _explain_addresses(sources.addresses, cache.definition.host, now)
    elif cache_id in orders:
        lines.append(f"{cache_id} is named by nobody now; the order stays for when it is again")
    for ordered_id in sorted(ids & orders.keys()):
        order = orders[ordered_id]
        action = "drained" if order.drained else "restored"
        lines.append(f"  {action} by {order.by} {_seconds_since(order.at, now)} ago")
    return lines


def _seconds_since(time: float, now: float) -> str:
    return f"{max(0.0, now - time):.0f} s"


def _explain_state(cache: MergedCache, now: float) -> Iterator[str]:
    endpoint_text = f" at {cache.endpoint[0]}, port {cache.endpoint[1]}" if cache.endpoint else ""
    yield f"{cache.definition.id} is {cache.state.value}{endpoint_text}: {cache.reason}"
    if cache.cold_since:
        yield f"  cold since {_seconds_since(cache.cold_since, now)}"
    for alias in cache.aliases:
        yield f"  the same box as {alias}"


def _explain_definitions(sources: Sources, ids: set[str]) -> Iterator[str]:
    for source, definition in sources.all_definitions():
        if definition.id in ids:
            yield (
                f"  {source.name.lower()}: {definition.host}, port {definition.port}, "
                f"weight {definition.weight:g}, priority {definition.priority}"
            )


def _explain_member(entry: SrvEntry, cache_id: str, now: float) -> Iterator[str]:
    name = entry.watch.srv
    member = entry.members[cache_id]
    line = f"  {name}: told {_seconds_since(member.last_seen_at, now)} ago"
    if member.missing_since is not None:
        line += f", missing since {now - member.missing_since:.0f} s"
    yield line
    if entry.pending_removal and cache_id in entry.pending_removal.cache_ids:
        other_count = len(entry.pending_removal.cache_ids) - 1
        yield f"  {name}: missing with {other_count} others, not believed until it is confirmed"
    if entry.last_error:
        yield f"  {name}: the last look-up failed: {entry.last_error}"


def _explain_addresses(addresses: HostAddressTable, host: str, now: float) -> Iterator[str]:
    state = addresses.by_host.get(host)
    if state is None:
        return
    addresses_text = ", ".join(state.addresses) or "nowhere"
    error = f", {state.error}" if state.error else ""
    yield f"  {host}: {addresses_text}, told {_seconds_since(state.received_at, now)} ago{error}"
