"""What servers can take of one router: transfers on their links, fills in flight, slow start and ejection.

Pure. Times are Unix seconds, work is in transfer-seconds, loads are in transfers at a time. A link bears so
many transfers at a time (its width) and ends each of them in time; other routers are assumed to have as many
on it as this one has on average.
"""

from __future__ import annotations

import math

from brackenlane.routing.attempts import HEADROOM, LinkLoad, Request
from brackenlane.routing.members import Member, Role
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import Settings
from brackenlane.routing.sizes import Sizes
from brackenlane.routing.slow_start_budget import SlowStartBudget
from brackenlane.routing.topology import Topology

# Sums of parts of transfers leave this much behind; a window of 1 would never open again.
ROUNDING_TRANSFERS = 1e-6


class ServerCapacity:
    """Tells which server can take one more transfer; owns the load of this location's own link."""

    def __init__(self, settings: Settings, topology: Topology, sizes: Sizes, budget: SlowStartBudget) -> None:
        """budget: what this router may send to servers in slow start."""
        self.slow_start_budget = budget
        # Routers that share a server's link.
        self.edge_sharers = topology.local_router_count
        self.near_parent_sharers = sum(location.weight for location in topology.peer_locations)
        self.far_parent_sharers = settings.router_count
        self.local_link = Server(Member("", "", weight=_local_link_width(settings)))
        self._sizes = sizes
        self._tick = settings.tick

    def transfers(self, server: Server, sharers: float) -> float:
        """Return the transfers on a link: this router's, and on average those of the others who share it."""
        return server.in_flight + (sharers - 1) * server.mean_in_flight

    def transfer_capacity(self, server: Server, request: Request, now: float) -> float:
        """Return the transfers like this request's that a link can end in time if they run at once."""
        seconds_left = HEADROOM * (request.objective_at - now)
        return server.limit * seconds_left / request.work

    def has_room(self, server: Server, sharers: float, request: Request, now: float) -> bool:
        """Whether one more transfer on a server's link ends in time."""
        return self.transfers(server, sharers) + 1 <= self.transfer_capacity(server, request, now)

    def has_local_link_room(self, request: Request, now: float) -> bool:
        """Whether one more fill over this location's own link ends in time."""
        return self.has_room(self.local_link, self.edge_sharers, request, now)

    def link_load(self, server: Server, sharers: float, request: Request, now: float) -> LinkLoad:
        """Return the load of a server's link with one more transfer like this request's."""
        transfers = self.transfers(server, sharers)
        # Once the objective is over there is no capacity; the least time that is told apart stands for 0.
        capacity = max(self.transfer_capacity(server, request, now), self._tick)
        return LinkLoad(transfers, (transfers + 1) / capacity)

    def is_usable(self, server: Server, request: Request, now: float) -> bool:
        """Whether a server is in use, or due for a single trial, and its window and slow start allow it."""
        if server.in_flight > max(server.window - 1, ROUNDING_TRANSFERS):
            return False
        if server.ejected_until and (server.has_trial or now < server.ejected_until):
            return False
        return self.slow_start_budget.capacity(server, now) >= self.slow_start_cost(server, request)

    def is_warm(self, server: Server, now: float) -> bool:
        """Whether a server's slow start is over."""
        return self.slow_start_budget.capacity(server, now) == math.inf

    def slow_start_cost(self, server: Server, request: Request) -> float:
        """Return the work that a request may cost a server in slow start.

        It is the mean of its class, or its own at a parent if that is more.
        """
        own_work = request.work if server.member.role is Role.PARENT else 0.0
        return max(self._sizes.means[request.cls.name], own_work)

    def charge_slow_start(self, server: Server, request: Request, now: float) -> None:
        """Take a request's cost from the budget of a server that is in slow start."""
        if not self.is_warm(server, now):
            server.tokens.work -= self.slow_start_cost(server, request)

    def refund_slow_start(self, server: Server, request: Request) -> None:
        """Give a request's cost back to a server that took no part in it."""
        server.tokens.work += self.slow_start_cost(server, request)


def _local_link_width(settings: Settings) -> float:
    """Return the transfers at a time that this location's link bears; infinite if it is not configured."""
    if not settings.link_kb_per_s or not settings.pace_kb_per_s:
        return math.inf
    link_kb_per_s = settings.link_kb_per_s[settings.locations.index(settings.location)]
    return link_kb_per_s / settings.pace_kb_per_s if link_kb_per_s else math.inf
