"""Selection of the route of an attempt: its edge cache and fill source.

Pure. Times are Unix seconds.
"""

from __future__ import annotations

from brackenlane.routing.attempts import Request, Route
from brackenlane.routing.edge_selection import EdgeSelection
from brackenlane.routing.fill_source import FillSourceSelection
from brackenlane.routing.lookup_policy import LookupPolicy
from brackenlane.routing.members import Member
from brackenlane.routing.membership import ServerTable
from brackenlane.routing.server_capacity import ServerCapacity
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import Idempotency, Settings


class RouteSelection:
    """Selects routes; stateless."""

    def __init__(
        self,
        settings: Settings,
        servers: ServerTable,
        capacity: ServerCapacity,
        edges: EdgeSelection,
        fill_sources: FillSourceSelection,
        lookup_policy: LookupPolicy,
    ) -> None:
        self._may_hedge = settings.may_hedge
        self._servers = servers
        self._capacity = capacity
        self._edges = edges
        self._fill_sources = fill_sources
        self._lookup_policy = lookup_policy

    def select(self, request: Request, now: float) -> Route | None:
        """Return the route of the next attempt of a request; None if no server can answer in time."""
        source = self._fill_sources.select(request, now)
        edge = self._edges.select(request, source, now)
        if edge is None or not self._can_send(request, edge.member, now):
            return None
        if request.cache_missed and source is None:
            return None
        origin = self._origin_behind(request, source)
        if origin and not self._capacity.is_usable(origin, request, now):
            return None
        route = Route(edge, fill_source=source, attributed_source=origin or source)
        return self._lookup_policy.apply(request, route, now)

    def _origin_behind(self, request: Request, source: Server | None) -> Server | None:
        """Return the origin if the source has to fetch the object from it, so that its window applies."""
        return self._servers.origin if request.parent_missed and source else None

    def _can_send(self, request: Request, server: Member, now: float) -> bool:
        """Whether a request may have another attempt in flight, and may run at a server."""
        if request.in_flight:
            can_hedge = self._may_hedge and request.idempotency is not Idempotency.NON_IDEMPOTENT
            if not can_hedge:
                return False
        return request.can_run_at(server, now)
