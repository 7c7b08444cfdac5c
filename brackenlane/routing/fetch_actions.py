"""Construction of the `Fetch` action of an attempt: its source, timeout and acceptable copies.

Pure. Times are Unix seconds.
"""

from __future__ import annotations

import math

from brackenlane.routing.actions import Fetch
from brackenlane.routing.attempts import Request, Route
from brackenlane.routing.latency import LatencyEstimate
from brackenlane.routing.membership import ServerTable
from brackenlane.routing.popularity import Popularity
from brackenlane.routing.purges import Purges
from brackenlane.routing.server_capacity import ServerCapacity
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import Idempotency, Settings

# Retention ranks of a copy in a cache (`Fetch.retention_rank`).
RETENTION_NONE = 0
RETENTION_NORMAL = 1
RETENTION_REPEATED = 2  # requested more than once: not evicted in favour of copies of normal rank


class FetchActions:
    """Builds fetches; stateless."""

    def __init__(
        self,
        settings: Settings,
        servers: ServerTable,
        capacity: ServerCapacity,
        latency: LatencyEstimate,
        popularity: Popularity,
        purges: Purges,
    ) -> None:
        self._settings = settings
        self._servers = servers
        self._capacity = capacity
        self._latency = latency
        self._popularity = popularity
        self._purges = purges

    def overdue_after(self, request: Request, now: float) -> float:
        """Return the seconds after which an attempt is overdue.

        This is the usual maximum latency, or the latest time from which a retry still meets the latency
        objective if that is later.
        """
        max_units = self._latency.expected_max
        # The usual latency is capped at the objective only if the size is known.
        if request.arrival.size_kb:
            max_units = min(max_units, 1)
        expected_max = request.wait_unit * max_units
        return max(expected_max, request.objective_at - now - request.work)

    def build(self, request: Request, route: Route, is_retry: bool, now: float) -> Fetch:
        """Return the fetch for a route; is_retry: whether the attempt is a retry."""
        cls = request.cls
        is_lookup = route.attributed_source is None
        timeout = request.deadline - now
        if not self._settings.may_cancel:
            timeout = min(timeout, self.overdue_after(request, now))
        return Fetch(
            request_id=request.arrival.request_id,
            server=route.edge.member.server,
            timeout=timeout,
            source=self._named_source(route).member.server,
            retention_rank=self._retention_rank(request),
            max_age=self._purges.max_age(request.arrival, cls, now, stale=is_retry or is_lookup),
            may_join_fill=self._settings.may_join_fills,
            revalidate=cls.fresh_for > 0,
            only_if_cached=route.is_parent_lookup,
            send_before=self._last_write_at(request),
        )

    def _named_source(self, route: Route) -> Server:
        """Return the source that the fetch names: the cache itself for a lookup, the origin for a parent."""
        if route.edge is route.fill_source and self._servers.origin:
            return self._servers.origin
        return route.fill_source or route.edge

    def _retention_rank(self, request: Request) -> int:
        """Return the retention rank of the copy.

        The high rank is used only by the single router of a location. A router that sees only a part of the
        requests cannot tell which objects are repeated, and its high-ranked copies would never be evicted.
        """
        if request.cls.uncached:
            return RETENTION_NONE
        if self._capacity.edge_sharers < 2 and self._popularity.is_repeated(
            request.arrival.cache_key, request.work
        ):
            return RETENTION_REPEATED
        return RETENTION_NORMAL

    @staticmethod
    def _last_write_at(request: Request) -> float:
        """Return the latest time for the first byte: the end of the window in which repeats are dropped."""
        if request.first_run_by is None or request.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return math.inf
        return request.first_run_at + request.cls.repeat_window
