"""Whether a server can accept a transfer: link capacity, fills in flight, slow start and ejection.

Pure. Times are Unix seconds, work is in seconds of transfer time, loads are in concurrent transfers. The
width of a link is the number of concurrent transfers that it carries at the highest pace. Each other router
is assumed to have as many transfers on a link as this router has on average.
"""

from __future__ import annotations

import math

from brackenlane.routing.attempts import PLANNABLE_TIME_SHARE, LinkLoad, Request
from brackenlane.routing.members import Member, Role
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import Settings
from brackenlane.routing.sizes import Sizes
from brackenlane.routing.slow_start_budget import SlowStartBudget
from brackenlane.routing.topology import Topology

# Tolerance for the rounding error of summed fractions of transfers. Without it, a source whose window is 1
# could stay closed forever.
ROUNDING_TOLERANCE_TRANSFERS = 1e-6


class ServerCapacity:
    """Decides which servers can accept one more transfer; owns the load of the link into this location."""

    def __init__(self, settings: Settings, topology: Topology, sizes: Sizes, budget: SlowStartBudget) -> None:
        """budget: work that this router may send to servers in slow start."""
        self.slow_start_budget = budget
        # Numbers of routers that share the link of a server.
        self.edge_sharers = topology.local_router_count
        self.near_parent_sharers = sum(location.weight for location in topology.peer_locations)
        self.far_parent_sharers = settings.router_count
        self.local_link = Server(Member("", "", weight=_local_link_width(settings)))
        self._sizes = sizes
        self._tick = settings.tick

    def transfers(self, server: Server, sharers: float) -> float:
        """Return the transfers on a link: those of this router plus the assumed ones of the other sharers."""
        return server.in_flight + (sharers - 1) * server.mean_in_flight

    def transfer_capacity(self, server: Server, request: Request, now: float) -> float:
        """Return the number of concurrent transfers like this request's that the link completes in time."""
        seconds_left = PLANNABLE_TIME_SHARE * (request.objective_at - now)
        return server.transfer_limit * seconds_left / request.work

    def is_available(self, server: Server, sharers: float, request: Request, now: float) -> bool:
        """Whether the link of a server can complete one more transfer in time."""
        return self.transfers(server, sharers) + 1 <= self.transfer_capacity(server, request, now)

    def has_local_link_room(self, request: Request, now: float) -> bool:
        """Whether the link into this location can complete one more fill in time."""
        return self.is_available(self.local_link, self.edge_sharers, request, now)

    def link_load(self, server: Server, sharers: float, request: Request, now: float) -> LinkLoad:
        """Return the load of the link of a server with one more transfer like this request's."""
        transfers = self.transfers(server, sharers)
        # The capacity is 0 after the objective; the clock resolution replaces it to avoid a division by 0.
        capacity = max(self.transfer_capacity(server, request, now), self._tick)
        return LinkLoad(transfers, (transfers + 1) / capacity)

    def is_usable(self, server: Server, request: Request, now: float) -> bool:
        """Whether a server may be sent a request: by its window, its ejection and its slow-start budget.

        An ejected server whose trial is due may be sent a single request.
        """
        if server.in_flight > max(server.window - 1, ROUNDING_TOLERANCE_TRANSFERS):
            return False
        if server.ejected_until and (server.has_trial or now < server.ejected_until):
            return False
        return self.slow_start_budget.capacity(server, now) >= self.slow_start_cost(server, request)

    def is_warm(self, server: Server, now: float) -> bool:
        """Whether the slow start of a server is over."""
        return self.slow_start_budget.capacity(server, now) == math.inf

    def slow_start_cost(self, server: Server, request: Request) -> float:
        """Return the work that a request is charged at a server in slow start.

        This is the mean of its class; at a parent, the work of the request itself if that is larger.
        """
        own_work = request.work if server.member.role is Role.PARENT else 0.0
        return max(self._sizes.means[request.cls.name], own_work)

    def charge_slow_start(self, server: Server, request: Request, now: float) -> None:
        """Charge a request to the budget of a server if the server is in slow start."""
        if not self.is_warm(server, now):
            server.slow_start_bucket.work -= self.slow_start_cost(server, request)

    def refund_slow_start(self, server: Server, request: Request) -> None:
        """Refund the charge of a request to a server that took no part in it."""
        server.slow_start_bucket.work += self.slow_start_cost(server, request)


def _local_link_width(settings: Settings) -> float:
    """Return the width of the link into this location in transfers; infinite if it is not configured."""
    if not settings.link_kb_per_s or not settings.pace_kb_per_s:
        return math.inf
    link_kb_per_s = settings.link_kb_per_s[settings.locations.index(settings.location)]
    return link_kb_per_s / settings.pace_kb_per_s if link_kb_per_s else math.inf
