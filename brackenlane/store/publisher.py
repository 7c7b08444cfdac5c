"""Publishes this router's events to the store, and repairs a store that was restored to an older state."""

from __future__ import annotations

import logging
from collections import OrderedDict, deque

from brackenlane.coldstart.stream_position import missing_orders
from brackenlane.discovery.records import OperatorOrder
from brackenlane.discovery.registry import Registry
from brackenlane.limits import Limits
from brackenlane.store.connection import Connection
from brackenlane.store.errors import StoreDataError, StoreError, StoreUnavailableError
from brackenlane.store.event_applier import EventApplier
from brackenlane.store.event_codec import OrderGiven, StoreEvent, decode_order, encode_event
from brackenlane.store.event_commands import transaction, write_commands
from brackenlane.store.keys import StoreKeys

log = logging.getLogger(__name__)


class Publisher:
    """Owns the events that are not written to the store yet, and those not read back from the stream yet."""

    def __init__(self, connection: Connection, keys: StoreKeys, limits: Limits) -> None:
        self._connection = connection
        self._keys = keys
        self._max_stream_length = limits.max_store_events
        self._max_unacknowledged = limits.max_unshared_changes
        self._pending: deque[StoreEvent] = deque(maxlen=limits.max_unshared_changes)
        # The events not read back yet, by encoded event, oldest first. A store that is restored to an older
        # state may have lost them.
        self._unacknowledged: OrderedDict[str, StoreEvent] = OrderedDict()

    async def publish(self, event: StoreEvent) -> bool:
        """Write an event to the store; False if it was queued until the store is available again."""
        # Queued events are written first: a full load must not undo a drain that is not in the store yet.
        if not self._pending and await self._send(event):
            return True
        self._pending.append(event)
        return False

    async def flush_pending(self) -> None:
        """Write the queued events. Raises StoreUnavailableError if one cannot be sent."""
        while self._pending:
            if not await self._send(self._pending[0]):
                raise StoreUnavailableError("what changed meanwhile can't be shared yet")
            self._pending.popleft()

    def acknowledge(self, event_text: str) -> None:
        """Mark an event as read back from the stream."""
        self._unacknowledged.pop(event_text, None)

    async def resend_unacknowledged(self) -> None:
        """Rewrite the events that were not read back. Raises StoreUnavailableError if one cannot be sent."""
        events = list(self._unacknowledged.values())
        self._unacknowledged.clear()
        for event in events:
            if not await self._send(event):
                raise StoreUnavailableError("what the store has lost can't be shared again yet")

    async def _send(self, event: StoreEvent) -> bool:
        self._unacknowledged[encode_event(event)] = event
        if len(self._unacknowledged) > self._max_unacknowledged:
            self._unacknowledged.popitem(last=False)
        commands = write_commands(event, self._keys, self._max_stream_length)
        if len(commands) > 1:
            commands = transaction(commands)
        try:
            await self._connection.call(*commands)
        except StoreError as error:
            log.warning("%s not published: %s", type(event).__name__, error)
            return False
        return True


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
        await self._publisher.resend_unacknowledged()
        orders = self._registry.merge.orders
        missing = missing_orders(orders, self._applier.orders_in_store, OperatorOrder.supersedes)
        if not missing:
            return
        # Other routers may have written these orders since this router read the store.
        [texts] = await self._connection.call(["HMGET", self._keys.orders, *missing])
        for server, text in zip(missing, texts, strict=True):
            stored = _stored_order(text)
            if stored:
                self._applier.orders_in_store[server] = stored
            if server in orders and orders[server].supersedes(stored):
                await self._republish_order(server, orders[server])

    async def _republish_order(self, server: str, order: OperatorOrder) -> None:
        if not await self._publisher.publish(OrderGiven(server, order)):
            raise StoreUnavailableError("orders that the store has lost can't be shared again yet")


def _stored_order(text: str | None) -> OperatorOrder | None:
    if not text:
        return None
    try:
        return decode_order(text).order
    except StoreDataError:
        return None
