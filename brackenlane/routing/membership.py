"""The servers that a router may use, by role, location and hub distance.

Pure. Times are Unix seconds, weights are in concurrent transfers.
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

INITIAL_WINDOW = 8.0  # maximum initial limit of one router on its fills in flight at a source
INITIAL_WINDOW_OF_ALL = 80.0  # maximum sum of the initial limits of all routers, if each is at least 1
# Assumed link widths in concurrent transfers if discovery gives no weights.
DEFAULT_WIDTH = {Role.EDGE: 4.0, Role.PARENT: 10.0, Role.ORIGIN: 16.0}


class ServerTable:
    """The servers on the discovery list that are not gone, indexed for routing."""

    def __init__(
        self, settings: Settings, topology: Topology, max_orders: int, max_order_bytes: float = math.inf
    ) -> None:
        """max_orders, max_order_bytes: maximum number and memory of cached rendezvous orders."""
        self.servers: dict[str, Server] = {}
        self.edges: list[Server] = []  # serving edge caches of this location
        self.parents_by_distance: list[list[Server]] = []  # serving parents, by hub distance
        self.parents: list[Server] = []  # serving parents of all hubs, nearest first
        self.origin: Server | None = None
        self.orders = HashOrders(max_orders, max_order_bytes)
        # Slow-start budget from before this time counts as spent, as it is unknown what was sent until then.
        self.router_started_at = -math.inf
        self._settings = settings
        self._topology = topology
        self._initial_window = max(1.0, min(INITIAL_WINDOW, INITIAL_WINDOW_OF_ALL / settings.router_count))

    def update(self, event: Membership) -> None:
        """Apply a list of members; servers that are draining or gone are no longer used."""
        if event.kind in (MembershipKind.FULL, MembershipKind.REMEMBERED):
            self.servers = {
                m.server: self.servers.get(m.server) or self._create_server(m) for m in event.members
            }
        for member in event.members:
            self._update_member(member)
        # Caches are replaced continually, so entries of gone servers must not accumulate.
        self.servers = {
            name: server
            for name, server in self.servers.items()
            if server.member.state is not ServerState.GONE
        }
        self._index()

    def edges_in_order(self, cache_key: str) -> list[Server]:
        """Return the edge caches of this location in the rendezvous order of a cache key."""
        return self.orders.order(cache_key, self.edges)

    def parents_in_order(self, obj: str, distance: int) -> list[Server]:
        """Return the parents at a hub distance in the rendezvous order of an object."""
        return self.orders.order(f"{obj}|{distance}", self.parents_by_distance[distance])

    def peers(self, server: Server) -> Sequence[Server]:
        """Return the servers with which outlier detection compares a server."""
        return self.edges if server.member.role is Role.EDGE else self.parents

    def _update_member(self, member: Member) -> None:
        """Apply one entry; the state of a server with a later start time is reset."""
        server = self.servers.get(member.server)
        if server is None or member.started_at > server.slow_start_since:
            server = self._create_server(member)
            self.servers[member.server] = server
        if self._settings.weights_known:
            server.member = member
        else:
            server.member = replace(member, weight=DEFAULT_WIDTH[member.role])

    def _create_server(self, member: Member) -> Server:
        """Return the initial state of a server."""
        return Server(member, self._initial_window, self.router_started_at, self._settings.weights_known)

    def _index(self) -> None:
        """Index the serving servers by role, location and hub distance."""
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
