"""The router's list of caches: passes definitions and orders to the merge and publishes the changes."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from brackenlane.clock import steady_time
from brackenlane.config import Endpoint
from brackenlane.discovery.errors import TooManyOrdersError
from brackenlane.discovery.merge import MembershipMerge
from brackenlane.discovery.recent_purges import RecentPurges, purges_after_restart
from brackenlane.discovery.records import CacheDefinition, Change, DefinitionSource, OperatorOrder
from brackenlane.routing.events import Event, Membership, MembershipKind, Purged

ORDER_INTERVAL = 1e-6  # least seconds between two orders for a cache; double precision tells them apart
UpdatePools = Callable[[dict[str, Endpoint], set[str], bool], None]


@dataclass(frozen=True, slots=True)
class Subscribers:
    """The receivers of changes; each gets every change once, in order."""

    core: Callable[[Event], None]
    pools: UpdatePools  # arguments: endpoints to add, ids to remove, whether to replace the whole list


class Registry:
    """Publishes the changes of the merge synchronously, so that a drain never waits behind other work."""

    def __init__(
        self,
        merge: MembershipMerge,
        core: Callable[[Event], None],
        pools: UpdatePools,
        purges: RecentPurges,
    ) -> None:
        self.merge = merge
        self.purges = purges  # of consoles and of the store
        self.endpoints: dict[str, Endpoint] = {}  # endpoints of the published caches, by id
        self.on_change_callbacks: list[
            Callable[[], None]
        ] = []  # callbacks after each update of the merge and each purge
        self._subscribers = Subscribers(core, pools)

    def apply(self, changes: list[Change]) -> None:
        """Publish changes to the core and the connection pools."""
        for change in changes:
            cache_id = change.member.server
            if change.endpoint:
                self.endpoints[cache_id] = change.endpoint
                self._subscribers.pools({cache_id: change.endpoint}, set(), False)
            else:
                self.endpoints.pop(cache_id, None)
                self._subscribers.pools({}, {cache_id}, False)
        if changes:
            members = tuple(change.member for change in changes)
            self._subscribers.core(Membership(MembershipKind.CHANGES, members))
        self._notify_changed()

    def restore_purges(self, purges: Iterable[tuple[str, int, float]], saved_at: float, now: float) -> None:
        """Apply the purges of a snapshot (object, group, Unix seconds) that had not expired at `saved_at`."""
        for obj, group, purged_at in purges_after_restart(purges, saved_at, now):
            if now - purged_at <= self.purges.lifetime:
                self.purge(obj, group, purged_at)

    def _notify_changed(self) -> None:
        for callback in self.on_change_callbacks:
            callback()

    def define(self, source: DefinitionSource, definition: CacheDefinition) -> None:
        """Apply a source's definition of a cache."""
        self.apply(self.merge.define(source, definition))

    def order(self, cache_id: str, order: OperatorOrder) -> None:
        """Apply a drain or restore that was issued at this router or at another one."""
        self.apply(self.merge.order(cache_id, order))

    def drain(self, cache_id: str, drained: bool, by: str) -> OperatorOrder | None:
        """Drain or restore a cache now; return the order, or None if the id is unknown.

        Raises TooManyOrdersError if the order cannot be kept.
        """
        if not self.merge.is_known(cache_id):
            return None
        order = OperatorOrder(drained, self._time_of_next_order(cache_id), by)
        self.order(cache_id, order)
        if self.merge.orders.get(cache_id) != order:
            raise TooManyOrdersError(f"{len(self.merge.orders)} caches are drained")
        return order

    def _time_of_next_order(self, cache_id: str) -> float:
        """Return now, or a moment after the last order for a cache if its router's clock is ahead."""
        previous = self.merge.orders.get(cache_id)
        return max(steady_time(), previous.at + ORDER_INTERVAL) if previous else steady_time()

    def purge(self, obj: str, group: int, at: float) -> None:
        """Notify the core of a purge of an object or a group; `at` is the Unix time of the purge."""
        self._subscribers.core(Purged(obj, group, max(0.0, steady_time() - at)))
        self.purges.record(obj, group, at)
        self._notify_changed()
