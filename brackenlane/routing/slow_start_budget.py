"""The share of one router in the slow-start budgets of recently started servers.

Pure. Times are Unix seconds, work is in seconds of transfer time. For the rule, and how a budget is divided
among routers, see slow_start.
"""

from __future__ import annotations

import math

from brackenlane.routing.members import Role
from brackenlane.routing.rendezvous_hash import HashOrders
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import Settings, SlowStart
from brackenlane.routing.sizes import Sizes
from brackenlane.routing.slow_start import burst, capacity_by_age, sharers_by_location, sharers_by_turn
from brackenlane.routing.topology import Topology


class SlowStartBudget:
    """Limits the work that this router sends to servers in slow start."""

    def __init__(self, settings: Settings, topology: Topology, sizes: Sizes, max_entries: int) -> None:
        """max_entries: maximum number of servers for which the order of locations is cached."""
        self.local_router_count = topology.local_router_count  # number of routers that share an edge cache
        # Locations that share the parents of the hub, as servers so that rendezvous hashing can order them.
        self.peer_locations = [Server(location) for location in topology.peer_locations]
        self.min_learned_width = 0.0  # smallest learned width of a warm cache, in transfers; 0: none learned
        self._settings = settings
        self._hub_distance = topology.hub_distance
        self._sizes = sizes
        self._orders = HashOrders(max_entries)
        # Approximate work of one request.
        self._request_work = max(cls.latency_objective for cls in settings.classes)

    def capacity(self, server: Server, now: float) -> float:
        """Return the work that may be sent to a server now; infinite if its slow start is over."""
        role = server.member.role
        if server.slow_start_since <= 0 or role is Role.ORIGIN:
            return math.inf
        rule = self._rule(role)
        age = max(0.0, now - server.slow_start_since)  # the clock of the server may be ahead
        if age >= rule.ramp:
            return math.inf
        bearable = capacity_by_age(rule, self._weight(server), age)
        max_work = burst(rule, bearable)
        sharers = self._sharers(server, max_work)
        if not sharers or self._is_parent_elsewhere(server):
            return 0.0
        return server.slow_start_bucket.fill(now, bearable / sharers, max_work / sharers)

    def _rule(self, role: Role) -> SlowStart:
        return self._settings.parent_slow_start if role is Role.PARENT else self._settings.edge_slow_start

    def _weight(self, server: Server) -> float:
        """Return the concurrent transfers that a server carries after slow start.

        The learned width of warm caches is used only if this router does not share its caches: the transfers
        of other routers are estimated, and an overload by fills multiplies the error of that estimate.
        """
        is_shared = self.local_router_count >= 2 or server.member.role is not Role.EDGE
        # Halved, because more transfers are in flight than are on the link.
        return max(server.member.weight, 0.0 if is_shared else self.min_learned_width / 2)

    def _is_parent_elsewhere(self, server: Server) -> bool:
        """Return whether a server is a parent of another hub."""
        return server.member.role is Role.PARENT and self._hub_distance.get(server.member.zone, 0) > 0

    def _sharers(self, server: Server, burst_work: float) -> float:
        """Return how many routers share the burst of a server now; 0: this router is not among them yet."""
        member = server.member
        peer_index = self._settings.peer_index
        is_within_location = len(self.peer_locations) < 2 or member.role is Role.EDGE
        if peer_index >= 0 and is_within_location:
            peer_count = int(self.local_router_count)
            return sharers_by_turn(
                burst_work, self._sizes.largest_mean, peer_index, peer_count, member.server
            )
        if member.role is not Role.PARENT:
            return self.local_router_count
        order = self._orders.order(f"{member.server}@{member.started_at}", self.peer_locations)
        locations = (location.member for location in order)
        return sharers_by_location(burst_work, self._request_work, locations, self._settings.location)
