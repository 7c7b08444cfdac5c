"""Selection of the source of a fill: a geometric distribution over the parents of a hub and the origin.

Pure. The probabilities of successive parents differ by a constant ratio. The origin has the smallest one,
which is also capped. Times are Unix seconds.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import TypeVar

from brackenlane.routing.attempts import Request
from brackenlane.routing.membership import ServerTable
from brackenlane.routing.server_capacity import ServerCapacity
from brackenlane.routing.servers import Server

PARENT_RATIO = 2.0  # ratio of the chances of two successive parents, with up to BASE_RATIO_PARENTS of them
UNEXPIRING_PARENT_RATIO = 8.0  # minimum ratio for copies without a time to live
BASE_RATIO_PARENTS = 3  # number of parents in a hub above which the ratio grows proportionally
MAX_ORIGIN_SHARE = 1 / 20  # maximum share of all draws that choose the origin
EXPIRING_SMOOTHING_DRAWS = 256  # time constant of the mean share of expiring copies, in draws

SourceT = TypeVar("SourceT")


class FillSourceSelection:
    """Selects fill sources among the servers with free capacity."""

    def __init__(self, servers: ServerTable, capacity: ServerCapacity, rng: random.Random) -> None:
        self._servers = servers
        self._capacity = capacity
        self._random = rng
        self._draw = FillSourceDraw(rng)

    def select(self, request: Request, now: float) -> Server | None:
        """Return the server that fills a miss of this request; None if no server has capacity for it."""
        if not self._capacity.has_local_link_room(request, now):
            return None
        candidates = self._nearest_parents(request, now)
        origin = self._usable_origin(request, now)
        is_uncached = request.cls.uncached
        is_parent_in_use = not is_uncached and self._is_any_parent_in_use(now)
        if candidates and not is_uncached:
            max_parents = max(map(len, self._servers.parents_by_distance))
            expires = request.cls.fresh_for > 0
            return self._draw.draw(candidates, origin, expires, max_parents)
        if is_parent_in_use:
            # Fills that exceed the capacity of the parents do not go to the origin. It could serve only a
            # part of them, and all routers would send it theirs at once. It replaces ejected parents only.
            return None
        if origin is None and candidates:
            return candidates[-1]
        return origin

    def _nearest_parents(self, request: Request, now: float) -> list[Server]:
        """Return the parents with capacity at the smallest possible distance, in rendezvous order."""
        for distance in range(len(self._servers.parents_by_distance)):
            candidates = self._parents_at(distance, request, now)
            if candidates:
                return candidates
        return []

    def _parents_at(self, distance: int, request: Request, now: float) -> list[Server]:
        """Return the parents with capacity at a hub distance; a parent with late fills is often left out.

        Such a parent is never ejected for long, as some of its fills are timely, and one fill in flight from
        each router is a heavy load. It is included with a probability that depends on its timeliness relative
        to the best parent, even if all other parents are full.
        """
        capacity = self._capacity
        sharers = capacity.far_parent_sharers if distance else capacity.near_parent_sharers
        parents = self._servers.parents_by_distance[distance]
        best = max((parent.timeliness for parent in parents if not parent.ejected_until), default=1.0)
        return [
            parent
            for parent in self._servers.parents_in_order(request.arrival.obj, distance)
            if capacity.is_usable(parent, request, now)
            and capacity.is_available(parent, sharers, request, now)
            and (parent.ejected_until or self._random.random() * best**2 < parent.timeliness**2)
        ]

    def _usable_origin(self, request: Request, now: float) -> Server | None:
        origin = self._servers.origin
        if origin is None or not self._capacity.is_usable(origin, request, now):
            return None
        return origin

    def _is_any_parent_in_use(self, now: float) -> bool:
        """Whether any parent is not ejected and has a slow-start budget."""
        budget = self._capacity.slow_start_budget
        return any(
            not parent.ejected_until and budget.capacity(parent, now) > 0 for parent in self._servers.parents
        )


class FillSourceDraw:
    """Draws fill sources at random; keeps the share of the origin in all draws below its cap."""

    __slots__ = ("_expiring_share", "_random")

    def __init__(self, rng: random.Random) -> None:
        # Moving share of draws for copies that expire. The origin is drawn only for these.
        self._expiring_share = 1.0
        self._random = rng

    def draw(
        self, parents: Sequence[SourceT], origin: SourceT | None, expires: bool, max_parents: int
    ) -> SourceT:
        """Return one of the parents, or the origin unless that is None.

        parents: at least one, in ascending order of probability; expires: whether the copy has a time to
        live; max_parents: largest number of parents in any hub.
        """
        # Each parent that is requested for an object fetches it from the origin, so the ratio grows with the
        # number of parents of a hub. Copies without a time to live never expire at the same time, so that few
        # parents are sufficient for them.
        ratio = max(
            PARENT_RATIO if expires else UNEXPIRING_PARENT_RATIO,
            PARENT_RATIO * max_parents / BASE_RATIO_PARENTS,
        )
        chances = [ratio**candidate for candidate in range(1, len(parents) + 1)]
        self._expiring_share += (expires - self._expiring_share) / EXPIRING_SMOOTHING_DRAWS
        share = min(MAX_ORIGIN_SHARE / max(self._expiring_share, MAX_ORIGIN_SHARE), 1 / (1 + sum(chances)))
        if origin and expires and self._random.random() < share:
            return origin
        return self._random.choices(parents, chances)[0]
