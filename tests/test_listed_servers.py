"""A change log that adds servers without end fills no memory, and those that are listed stay."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from brackenlane.net.change_log import ChangeApplier
from brackenlane.net.change_log_codec import Change
from brackenlane.net.connection_pools import ConnectionPools
from brackenlane.routing.events import Event, Membership, MembershipKind
from brackenlane.routing.members import Member, ServerState

MAX_SERVERS = 100


class RecordingPools:
    """Records the addresses that the pools are given."""

    def __init__(self) -> None:
        self.endpoints: dict[str, tuple[str, int]] = {}
        self.recheck: Callable[[], Any] = lambda: None

    def update_servers(self, endpoints: dict[str, tuple[str, int]], gone: set[str], complete: bool) -> None:
        """Apply a list as the pools do."""
        self.endpoints = endpoints if complete else self.endpoints | endpoints
        for server in gone:
            self.endpoints.pop(server, None)


def change(
    number: int, kind: MembershipKind, *names: str, state: ServerState = ServerState.SERVING
) -> Change:
    members = tuple(Member(name, "here", state=state) for name in names)
    is_gone = state is ServerState.GONE
    return Change(
        number, Membership(kind, members), {} if is_gone else {name: ("127.0.0.1", 1) for name in names}
    )


def test_servers_past_the_limit_are_refused_and_listed_ones_stay() -> None:
    pools, events = RecordingPools(), list[Event]()
    applier = ChangeApplier(cast(ConnectionPools, pools), events.append, MAX_SERVERS)
    for number in range(1, 51):
        applier.apply(change(number, MembershipKind.CHANGES, *(f"s{number}-{n}" for n in range(20))))
    assert len(pools.endpoints) == MAX_SERVERS
    assert sum(len(cast(Membership, event).members) for event in events) == MAX_SERVERS
    assert applier.refused_server_count == 50 * 20 - MAX_SERVERS
    applier.apply(change(51, MembershipKind.CHANGES, "s1-0", state=ServerState.DRAINING))
    applier.apply(change(52, MembershipKind.CHANGES, "s1-0", "unknown", state=ServerState.GONE))
    applier.apply(change(53, MembershipKind.CHANGES, "new", "refused"))
    assert [member.server for member in cast(Membership, events[-1]).members] == ["new"]
    assert set(pools.endpoints) >= {"s1-1", "new"}
    assert "refused" not in pools.endpoints
    applier.apply(change(54, MembershipKind.FULL, "a", "b"))
    assert set(pools.endpoints) == {"a", "b"}
