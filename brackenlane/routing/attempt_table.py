"""The attempts in flight of one router, and the load that they put on the links of servers.

Pure. Times are Unix seconds, loads are in concurrent transfers.
"""

from __future__ import annotations

from collections.abc import Iterator

from brackenlane.routing.attempts import Attempt, AttemptKey, LinkLoad, Request, Route
from brackenlane.routing.fill_estimate import FillEstimate
from brackenlane.routing.server_capacity import ServerCapacity

NO_LOAD = LinkLoad()


class AttemptTable:
    """The attempts in flight by key; `open` adds their load to the servers, `close` removes it."""

    __slots__ = ("_attempts", "_capacity", "_fills")

    def __init__(self, capacity: ServerCapacity, fills: FillEstimate) -> None:
        self._attempts: dict[AttemptKey, Attempt] = {}
        self._capacity = capacity
        self._fills = fills

    def __len__(self) -> int:
        return len(self._attempts)

    def __iter__(self) -> Iterator[AttemptKey]:
        return iter(self._attempts)

    def __contains__(self, key: object) -> bool:
        return key in self._attempts

    def get(self, key: AttemptKey) -> Attempt | None:
        """Return an attempt in flight; None if it has ended or is unknown."""
        return self._attempts.get(key)

    def open(self, request: Request, route: Route, now: float) -> AttemptKey:
        """Add an attempt as in flight and return its key."""
        self._charge(request, route, now)
        key = AttemptKey(request.arrival.request_id, request.attempts_sent)
        self._attempts[key] = self._start(request, route, now)
        if route.attributed_source:
            request.tried_servers.append(route.edge.member.server)
        request.attempts_sent += 1
        request.in_flight += 1
        return key

    def close(self, key: AttemptKey) -> Attempt | None:
        """Remove an attempt that is no longer in flight and return it; None if it is unknown."""
        attempt = self._attempts.pop(key, None)
        if attempt is None:
            return None
        edge = attempt.route.edge
        source = attempt.route.attributed_source
        edge.in_flight = max(0.0, edge.in_flight - attempt.edge_transfers)
        if source:
            local_link = self._capacity.local_link
            source.in_flight = max(0.0, source.in_flight - attempt.fill_probability)
            local_link.in_flight = max(0.0, local_link.in_flight - attempt.fill_probability)
        return attempt

    def _charge(self, request: Request, route: Route, now: float) -> None:
        """Charge an attempt to the slow-start budgets of its servers; it is the trial of ejected ones."""
        for server in route.servers:
            if server.ejected_until:
                server.has_trial = server in (route.edge, route.attributed_source)
            self._capacity.charge_slow_start(server, request, now)

    def _start(self, request: Request, route: Route, now: float) -> Attempt:
        """Add the transfers of an attempt to its cache, its source and the local link; return its record."""
        capacity = self._capacity
        edge = route.edge
        source = route.attributed_source
        fill_probability = self._fill_probability(request, route)
        # While a fill waits for its source, it does not use the link of its cache.
        edge_transfers = 1 - self._fills.waiting_share * fill_probability
        edge.in_flight += edge_transfers
        capacity.local_link.in_flight += fill_probability
        edge_load = capacity.link_load(edge, capacity.edge_sharers, request, now)
        source_load = NO_LOAD
        if source:
            source.in_flight += fill_probability
            source_load = capacity.link_load(source, capacity.near_parent_sharers, request, now)
        return Attempt(route, now, fill_probability, edge_transfers, edge_load, source_load)

    def _fill_probability(self, request: Request, route: Route) -> float:
        """Return the probability that the source of an attempt takes part in it."""
        source = route.attributed_source
        if source is None:
            return 0.0
        if request.cache_missed or route.edge is source:
            return 1.0
        return self._fills.fill_probability(route.edge)
