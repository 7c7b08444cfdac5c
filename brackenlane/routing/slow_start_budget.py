"""One gateway's part of what servers bear that started lately.

Pure. Times are Unix seconds, work is in transfer-seconds. The rule itself and how a budget is shared among
routers: brackenlane.routing/cold.py.
"""

from __future__ import annotations

import math

from brackenlane.routing.members import Role
from brackenlane.routing.rendezvous_hash import HashOrders
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import Settings
from brackenlane.routing.sizes import Sizes
from brackenlane.routing.slow_start import burst, capacity_by_age, joined, turn_order
from brackenlane.routing.topology import Topology


class SlowStartBudget:
    """What this router may send to cold servers."""

    def __init__(self, settings: Settings, topology: Topology, sizes: Sizes, retained: int) -> None:
        """kept: cold servers remembered, at most."""
        self.local_router_count = topology.local_router_count  # routers that share a cache
        self.peer_locations = [
            Server(peer_index) for peer_index in topology.peer_locations
        ]  # locations that share the hub's parents
        self.narrow = 0.0  # the least width learned of a warm cache; more is in flight than on a link
        self._settings = settings
        self._steps = topology.hub_distance
        self._sizes = sizes
        self._orders = HashOrders(retained)
        self._request = max(c.latency_objective for c in settings.classes)  # the work of about one request

    def capacity(self, server: Server, now: float) -> float:
        """Work that may be sent now; infinite: the server is warm."""
        rule = self._settings.parent_cold if server.member.role is Role.PARENT else self._settings.edge_cold
        age = max(0.0, now - server.born)  # the clock of its machine may be ahead of ours
        if server.born <= 0 or age >= rule.ramp or server.member.role is Role.ORIGIN:
            return math.inf
        # What others have at a cache is a guess, which a jam of fills multiplies: a width learned so is none.
        alone = self.local_router_count < 2 and server.member.role is Role.EDGE
        weight = max(server.member.weight, self.narrow / 2 if alone else 0.0)
        can = capacity_by_age(rule, weight, age)
        most = burst(rule, can)
        sharers = self._sharers(server, most)
        if not sharers or (server.member.role is Role.PARENT and self._steps.get(server.member.zone, 0)):
            return 0.0
        return server.tokens.fill(now, can / sharers, most / sharers)

    def _sharers(self, server: Server, most: float) -> float:
        """By how many routers the burst of a server is shared now; 0: it is not yet this one's turn."""
        peer_index = self._settings.peer_index
        if peer_index >= 0 and (len(self.peer_locations) < 2 or server.member.role is Role.EDGE):
            return turn_order(
                most, self._sizes.largest, peer_index, int(self.local_router_count), server.member.server
            )
        if server.member.role is not Role.PARENT:
            return self.local_router_count
        order = self._orders.order(f"{server.member.server}@{server.member.started_at}", self.peer_locations)
        peer_locations = ((zone.member.zone, zone.member.weight) for zone in order)
        return joined(most, self._request, peer_locations, self._settings.location)
