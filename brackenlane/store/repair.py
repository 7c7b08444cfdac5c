"""Repairs a store that was restored to an older state, or in which an older order replaced a later one."""

from __future__ import annotations

from brackenlane.coldstart.stream_position import missing_orders
from brackenlane.discovery.records import OperatorOrder
from brackenlane.discovery.registry import Registry
from brackenlane.store.connection import Connection
from brackenlane.store.errors import StoreUnavailableError
from brackenlane.store.event_applier import EventApplier
from brackenlane.store.event_codec import OrderGiven
from brackenlane.store.event_writer import stored_order
from brackenlane.store.keys import StoreKeys
from brackenlane.store.publisher import Publisher, PublishResult


class StoreRepair:
    """Rewrites what a store restored to an older state has lost: this router's events and operator orders."""

    def __init__(
        self,
        connection: Connection,
        keys: StoreKeys,
        publisher: Publisher,
        registry: Registry,
        applier: EventApplier,
    ) -> None:
        self._connection = connection
        self._keys = keys
        self._publisher = publisher
        self._registry = registry
        self._applier = applier

    async def run(self) -> None:
        """Repair the store once. Raises StoreError."""
        self._publisher.resend_unacknowledged()
        orders = self._registry.merge.orders
        missing = missing_orders(orders, self._applier.orders_in_store, OperatorOrder.supersedes)
        if not missing:
            return
        # Other routers may have written these orders since this router read the store.
        [texts] = await self._connection.call(["HMGET", self._keys.orders, *missing])
        for server, text in zip(missing, texts, strict=True):
            stored = stored_order(text)
            if stored:
                self._applier.orders_in_store[server] = stored
            if server in orders and orders[server].supersedes(stored):
                await self._republish_order(server, orders[server])

    async def _republish_order(self, server: str, order: OperatorOrder) -> None:
        # One by one: a store that has lost everything lacks more orders than the outbox has room for.
        if await self._publisher.publish(OrderGiven(server, order)) is not PublishResult.WRITTEN:
            raise StoreUnavailableError("orders that the store has lost can't be shared again yet")
