"""The servers that a router may use: discovery's list by role, location and distance of hubs.

Pure. Times are Unix seconds, weights are in transfers at a time.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import replace
from itertools import chain

from brackenlane.routing.events import Membership, MembershipKind
from brackenlane.routing.members import Member, Role, ServerState
from brackenlane.routing.rendezvous_hash import HashOrders
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import Settings
from brackenlane.routing.topology import Topology

INITIAL_WINDOW = 8.0  # fills in flight at a source that one router starts with, at most
INITIAL_WINDOW_OF_ALL = 80.0  # the same for all routers together
# Transfers at a time, where discovery gives no weights.
DEFAULT_WIDTH = {Role.EDGE: 4.0, Role.PARENT: 10.0, Role.ORIGIN: 16.0}


class ServerTable:
    """The servers on discovery's list that are not gone, and those of them that serve here."""

    def __init__(self, settings: Settings, topology: Topology, max_orders: int) -> None:
        """max_orders: rendezvous orders remembered."""
        self.servers: dict[str, Server] = {}
        self.edges: list[Server] = []  # serving, of this location
        self.parents_by_distance: list[list[Server]] = []  # serving, by hubs between theirs and this one
        self.parents: list[Server] = []  # the same, nearest first
        self.origin: Server | None = None
        self.orders = HashOrders(max_orders)
        # What this router sent to servers in slow start before it started is unknown, and counts as spent.
        self.router_started_at = -math.inf
        self._settings = settings
        self._topology = topology
        self._initial_window = max(1.0, min(INITIAL_WINDOW, INITIAL_WINDOW_OF_ALL / settings.router_count))

    def update(self, event: Membership) -> None:
        """Take in a list; a server that drains or is gone is not used from now on."""
        if event.kind in (MembershipKind.FULL, MembershipKind.REMEMBERED):
            self.servers = {m.server: self.servers.get(m.server) or self._new(m) for m in event.members}
        for member in event.members:
            self._update_member(member)
        # Caches are replaced all day long: those that are gone must not add up.
        self.servers = {
            name: server
            for name, server in self.servers.items()
            if server.member.state is not ServerState.GONE
        }
        self._index()

    def edges_in_order(self, cache_key: str) -> list[Server]:
        """Return this location's edge caches in a copy's rendezvous order."""
        return self.orders.order(cache_key, self.edges)

    def parents_in_order(self, obj: str, distance: int) -> list[Server]:
        """Return the parents at a distance of hubs in an object's rendezvous order."""
        return self.orders.order(f"{obj}|{distance}", self.parents_by_distance[distance])

    def peers(self, server: Server) -> Sequence[Server]:
        """Return the servers that outlier detection compares a server with."""
        return self.edges if server.member.role is Role.EDGE else self.parents

    def _update_member(self, member: Member) -> None:
        """Take in one entry; a server with a new start time is in slow start, and nothing is known of it."""
        server = self.servers.get(member.server)
        if server is None or member.started_at > server.born:
            server = self._new(member)
            self.servers[member.server] = server
        if self._settings.weights_known:
            server.member = member
        else:
            server.member = replace(member, weight=DEFAULT_WIDTH[member.role])

    def _new(self, member: Member) -> Server:
        """Return the state of a server of which nothing is known but its entry."""
        return Server(member, self._initial_window, self.router_started_at, self._settings.weights_known)

    def _index(self) -> None:
        """Sort the serving servers by role and place."""
        serving = [s for s in self.servers.values() if s.member.state is ServerState.SERVING]
        self.edges = [
            s for s in serving if s.member.role is Role.EDGE and s.member.zone == self._settings.location
        ]
        self.origin = next((s for s in serving if s.member.role is Role.ORIGIN), None)
        parents = [s for s in serving if s.member.role is Role.PARENT]
        distances = self._topology.hub_distance
        self.parents_by_distance = [
            [s for s in parents if distances.get(s.member.zone, 0) == distance]
            for distance in range(self._topology.hub_count)
        ]
        self.parents = list(chain(*self.parents_by_distance))
        self.orders.clear()
