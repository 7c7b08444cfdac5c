"""One gateway's part of what servers bear that started lately.

Pure. Times are Unix seconds, work is in transfer-seconds. The rule itself and how a budget is shared among
gateways: brackenlane.routing/cold.py.
"""

from __future__ import annotations

import math

from brackenlane.routing.members import Role
from brackenlane.routing.rendezvous_hash import HashOrders
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import Settings
from brackenlane.routing.sizes import Sizes
from brackenlane.routing.slow_start import ability, burst, joined, rota
from brackenlane.routing.topology import Topology


class SlowStartBudget:
    """What this gateway may send to cold servers."""

    def __init__(self, settings: Settings, topology: Topology, sizes: Sizes, kept: int) -> None:
        """kept: cold servers remembered, at most."""
        self.seats = topology.seats  # gateways that share a cache
        self.mates = [Server(mate) for mate in topology.mates]  # locations that share the hub's parents
        self.narrow = 0.0  # the least width learned of a warm cache; more is in flight than on a link
        self._settings = settings
        self._steps = topology.steps
        self._sizes = sizes
        self._orders = HashOrders(kept)
        self._request = max(c.aim for c in settings.classes)  # the work of about one request

    def room(self, server: Server, now: float) -> float:
        """Work that may be sent now; infinite: the server is warm."""
        rule = self._settings.parent_cold if server.me.role is Role.PARENT else self._settings.edge_cold
        age = max(0.0, now - server.born)  # the clock of its machine may be ahead of ours
        if server.born <= 0 or age >= rule.ramp or server.me.role is Role.ORIGIN:
            return math.inf
        # What others have at a cache is a guess, which a jam of fills multiplies: a width learned so is none.
        alone = self.seats < 2 and server.me.role is Role.EDGE
        weight = max(server.me.weight, self.narrow / 2 if alone else 0.0)
        can = ability(rule, weight, age)
        most = burst(rule, can)
        sharers = self._sharers(server, most)
        if not sharers or (server.me.role is Role.PARENT and self._steps.get(server.me.zone, 0)):
            return 0.0
        return server.tokens.fill(now, can / sharers, most / sharers)

    def _sharers(self, server: Server, most: float) -> float:
        """By how many gateways the burst of a server is shared now; 0: it is not yet this one's turn."""
        mate = self._settings.mate
        if mate >= 0 and (len(self.mates) < 2 or server.me.role is Role.EDGE):
            return rota(most, self._sizes.largest, mate, int(self.seats), server.me.server)
        if server.me.role is not Role.PARENT:
            return self.seats
        order = self._orders.order(f"{server.me.server}@{server.me.started_at}", self.mates)
        mates = ((zone.me.zone, zone.me.weight) for zone in order)
        return joined(most, self._request, mates, self._settings.location)
