"""The source of a fill: a capped geometric draw over the origin and the parents of a hub.

Pure. Each parent is drawn so many times as often as the next one, and the origin, below them all, as often as
that leaves, up to a cap. Times are Unix seconds.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import TypeVar

from brackenlane.routing.attempts import Request
from brackenlane.routing.membership import ServerTable
from brackenlane.routing.server_capacity import ServerCapacity
from brackenlane.routing.servers import Server

PARENT_RATIO = 2.0  # of the chances of a parent and the next one, up to FEW_PARENTS of them
UNEXPIRING_PARENT_RATIO = 8.0  # the same for copies without a time to live
BASE_RATIO_PARENTS = 3  # of a hub; with more of them the ratio grows in proportion
MAX_ORIGIN_SHARE = 1 / 20  # of all draws
EXPIRING_SMOOTHING_DRAWS = 256  # draws that the share of expiring copies is a mean over, about

SourceT = TypeVar("SourceT")


class FillSourceSelection:
    """Selects fill sources among the servers that have room."""

    def __init__(self, servers: ServerTable, capacity: ServerCapacity, rng: random.Random) -> None:
        self._servers = servers
        self._capacity = capacity
        self._random = rng
        self._draw = FillSourceDraw(rng)

    def select(self, request: Request, now: float) -> Server | None:
        """Return the server that fills a miss of this request; None if none has room for it."""
        if not self._capacity.has_local_link_room(request, now):
            return None
        candidates = self._nearest_parents(request, now)
        origin = self._usable_origin(request, now)
        is_uncached = request.cls.uncached
        is_parent_in_use = not is_uncached and self._is_any_parent_in_use(now)
        if candidates and not is_uncached:
            most_parents = max(map(len, self._servers.parents_by_distance))
            expires = request.cls.fresh_for > 0
            return self._draw.draw(candidates, origin, expires, most_parents)
        if is_parent_in_use:
            # Fills for which the parents have no room are not the origin's: it bears a part of them at most,
            # and every router would send it theirs at once. It stands in for ejected parents alone.
            return None
        if origin is None and candidates:
            return candidates[-1]
        return origin

    def _nearest_parents(self, request: Request, now: float) -> list[Server]:
        """Return the parents with room at the least distance at which there is one, in rendezvous order."""
        for distance in range(len(self._servers.parents_by_distance)):
            candidates = self._parents_at(distance, request, now)
            if candidates:
                return candidates
        return []

    def _parents_at(self, distance: int, request: Request, now: float) -> list[Server]:
        """Return the parents with room at a distance of hubs; one whose fills come late only now and then.

        Such a parent is never ejected for long, as some of its fills come in time, and one fill in flight of
        each router are many: it is offered as often as its timeliness deserves, also if all others are full.
        """
        capacity = self._capacity
        sharers = capacity.far_parent_sharers if distance else capacity.near_parent_sharers
        parents = self._servers.parents_by_distance[distance]
        best = max((parent.timeliness for parent in parents if not parent.ejected_until), default=1.0)
        return [
            parent
            for parent in self._servers.parents_in_order(request.arrival.obj, distance)
            if capacity.is_usable(parent, request, now)
            and capacity.has_room(parent, sharers, request, now)
            and (parent.ejected_until or self._random.random() * best**2 < parent.timeliness**2)
        ]

    def _usable_origin(self, request: Request, now: float) -> Server | None:
        origin = self._servers.origin
        if origin is None or not self._capacity.is_usable(origin, request, now):
            return None
        return origin

    def _is_any_parent_in_use(self, now: float) -> bool:
        """Whether a parent is neither ejected nor kept empty by its slow start."""
        budget = self._capacity.slow_start_budget
        return any(
            not parent.ejected_until and budget.capacity(parent, now) > 0 for parent in self._servers.parents
        )


class FillSourceDraw:
    """Draws fill sources; learns which share of its draws the origin may have."""

    __slots__ = ("_expiring_share", "_random")

    def __init__(self, rng: random.Random) -> None:
        # Share of draws for copies that expire: for these alone the origin is drawn.
        self._expiring_share = 1.0
        self._random = rng

    def draw(
        self, parents: Sequence[SourceT], origin: SourceT | None, expires: bool, most_parents: int
    ) -> SourceT:
        """Return one of the parents, or the origin if it is given.

        parents: at least one, the least preferred first; expires: whether the copy has a time to live;
        most_parents: the most that one hub has.
        """
        # Each parent that the requests for an object reach fetches it from the origin: the ratio grows with
        # the parents of a hub. Copies without a time to live never expire together: few parents are enough.
        ratio = max(
            PARENT_RATIO if expires else UNEXPIRING_PARENT_RATIO,
            PARENT_RATIO * most_parents / BASE_RATIO_PARENTS,
        )
        chances = [ratio**candidate for candidate in range(1, len(parents) + 1)]
        self._expiring_share += (expires - self._expiring_share) / EXPIRING_SMOOTHING_DRAWS
        share = min(MAX_ORIGIN_SHARE / max(self._expiring_share, MAX_ORIGIN_SHARE), 1 / (1 + sum(chances)))
        if origin and expires and self._random.random() < share:
            return origin
        return self._random.choices(parents, chances)[0]
