"""Selection of the edge cache: weighted rendezvous hashing, replicas of popular objects, bounded loads.

Pure. Times are Unix seconds, loads are in concurrent transfers.
"""

from __future__ import annotations

import random

from brackenlane.routing.attempts import Request
from brackenlane.routing.bounded_load import below_bound_first
from brackenlane.routing.membership import ServerTable
from brackenlane.routing.overload import OverloadSignals
from brackenlane.routing.popularity import Popularity
from brackenlane.routing.server_capacity import ServerCapacity
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import Settings

MAX_REPLICAS = 3  # maximum number of edge caches that serve one object
REPLICA_LINK_SHARE = 1 / 8  # load per replica, as a share of the mean link width of the caches
MIN_LOAD_PER_REPLICA = 1e-9  # concurrent transfers; avoids a division by zero if all weights are 0


class EdgeSelection:
    """Selects edge caches, and records the popularity of objects."""

    def __init__(
        self,
        settings: Settings,
        servers: ServerTable,
        capacity: ServerCapacity,
        overload: OverloadSignals,
        rng: random.Random,
        popularity: Popularity,
    ) -> None:
        """popularity: updated only by this class."""
        self._popularity = popularity
        self._settings = settings
        self._servers = servers
        self._capacity = capacity
        self._overload = overload
        self._random = rng

    def select(self, request: Request, source: Server | None, now: float) -> Server | None:
        """Return the server that is sent the request; None if no server can answer it in time.

        The fill source itself is returned if the edge caches have to be bypassed, because none is usable or
        the last one had no slot for a fill.
        """
        ranked = self._servers.edges_in_order(request.arrival.cache_key)
        usable = [edge for edge in ranked if self._capacity.is_usable(edge, request, now)]
        must_bypass = not usable or (request.is_cache_full and source is not None)
        if must_bypass and self._settings.may_bypass_caches:
            return source
        candidates = self._spill_order(self._candidates(request, usable, now), now)
        sharers = self._capacity.edge_sharers
        # Caches without room are skipped. If no cache has room, another transfer would only add to the
        # overload.
        for edge in candidates:
            if self._capacity.is_available(edge, sharers, request, now):
                return edge
        return None

    def _candidates(self, request: Request, usable: list[Server], now: float) -> list[Server]:
        """Return the replicas of the object in random order, then the other caches, without those tried."""
        replica_count = 1 if request.attempts_sent else self._replica_count(request, now)
        replicas = usable[:replica_count]
        self._random.shuffle(replicas)
        tried = request.tried_servers
        untried = [edge for edge in replicas + usable[len(replicas) :] if edge.member.server not in tried]
        return untried or replicas

    def _spill_order(self, candidates: list[Server], now: float) -> list[Server]:
        """Return the candidates, with those over the load bound last if link widths are unknown.

        The order stays unchanged in an overload, because a cache that receives spillover has to fill the
        object.
        """
        if self._settings.weights_known or self._overload.is_overloaded(now):
            return candidates
        sharers = self._capacity.edge_sharers
        return below_bound_first(
            candidates,
            self._servers.edges,
            lambda edge: self._capacity.transfers(edge, sharers),
            lambda edge: edge.transfer_limit,
        )

    def _replica_count(self, request: Request, now: float) -> int:
        """Record the request and return the number of replicas of its object, by its recent load."""
        load = self._popularity.add(request.arrival.cache_key, request.work, now)
        edges = self._servers.edges
        mean_width = sum(edge.member.weight for edge in edges) / max(1, len(edges))
        load_per_replica = max(REPLICA_LINK_SHARE * mean_width, MIN_LOAD_PER_REPLICA)
        return 1 + min(MAX_REPLICAS - 1, int(load / load_per_replica))
