"""Decides when an attempt is a lookup without a fill, and when requests to the origin are rejected.

Pure. Times are Unix seconds. In an overload, a request first looks for an existing copy at the cache and then
at the parent, because the origin behind them may be the cause of the overload.
"""

from __future__ import annotations

import random

from brackenlane.routing.attempts import Request, Route
from brackenlane.routing.members import Role
from brackenlane.routing.overload import OverloadSignals
from brackenlane.routing.purges import Purges
from brackenlane.routing.server_capacity import ServerCapacity
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import Settings

LOOKUP_PAUSE_SECONDS = 10.0  # time without lookups at a parent after one of its lookups was overdue
# Attempts that a request must be allowed, so that one remains for the fill after unsuccessful lookups.
MIN_ATTEMPTS_FOR_CACHE_LOOKUP = 2
MIN_ATTEMPTS_FOR_PARENT_LOOKUP = 3


class LookupPolicy:
    """Replaces the route of a fetch by that of a lookup, or drops it, if there is an overload."""

    def __init__(
        self,
        settings: Settings,
        capacity: ServerCapacity,
        overload: OverloadSignals,
        purges: Purges,
        rng: random.Random,
    ) -> None:
        self._max_attempts = settings.max_attempts
        self._capacity = capacity
        self._overload = overload
        self._purges = purges
        self._random = rng

    def apply(self, request: Request, route: Route, now: float) -> Route | None:
        """Return the route to use instead of this one; None if the origin throttle rejects the request."""
        origin_share = self._overload.origin_throttle.current_share(now)
        is_overloaded = self._overload.latency.overloaded or origin_share < 1
        # There are no copies of uncached answers.
        if not is_overloaded or request.cls.uncached:
            return route
        is_group_purged = self._purges.is_group_purged(request.arrival.group, now)
        if self._needs_origin(request, route, is_group_purged) and self._random.random() > origin_share:
            return None
        if self._can_look_up_at_cache(request, route.edge, now):
            return Route(route.edge, fill_source=None, attributed_source=None)
        if not is_group_purged and self._can_look_up_at_parent(request, route, now):
            return Route(route.edge, route.fill_source, route.attributed_source, is_parent_lookup=True)
        return route

    @staticmethod
    def _needs_origin(request: Request, route: Route, is_group_purged: bool) -> bool:
        """Whether only the origin can serve a request, because no other server has a copy."""
        if request.parent_missed and route.is_filled_by_origin:
            return True
        return request.cache_missed and is_group_purged

    def _can_look_up_at_cache(self, request: Request, edge: Server, now: float) -> bool:
        """Whether to look up at the cache first; not after a miss, nor at a cache still in slow start."""
        return (
            not request.cache_missed
            and self._max_attempts >= MIN_ATTEMPTS_FOR_CACHE_LOOKUP
            and edge.member.role is Role.EDGE
            and self._capacity.is_warm(edge, now)
        )

    def _can_look_up_at_parent(self, request: Request, route: Route, now: float) -> bool:
        """Whether to look up at the parent next, after a miss at the cache but none at the parent."""
        source = route.fill_source
        return (
            request.cache_missed
            and self._max_attempts >= MIN_ATTEMPTS_FOR_PARENT_LOOKUP
            and source is not None
            and source is not route.edge
            and not (request.parent_missed and route.is_filled_by_origin)
            and now > source.lookup_overdue_at + LOOKUP_PAUSE_SECONDS
        )
