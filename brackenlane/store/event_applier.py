"""Applies events and hash values read from the store to the registry of caches."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from brackenlane.clock import steady_time
from brackenlane.coldstart.stream_position import StreamPosition
from brackenlane.discovery.records import DefinitionSource, OperatorOrder
from brackenlane.discovery.registry import Registry
from brackenlane.store.errors import StoreDataError
from brackenlane.store.event_codec import (
    CacheDefined,
    OrderGiven,
    PurgeRequested,
    StoreEvent,
    StreamEntry,
    decode_cache,
    decode_event,
    decode_order,
    decode_purge,
)

log = logging.getLogger(__name__)


class StoreClock:
    """The store's clock, kept as an offset from this router's monotonic clock."""

    def __init__(self) -> None:
        self._offset = 0.0  # seconds

    def synchronize(self, seconds: int, microseconds: int) -> None:
        """Set the offset from the reply to a TIME command."""
        self._offset = seconds + microseconds / 1e6 - time.monotonic()

    def age(self, position: StreamPosition) -> float:
        """Return the seconds since a stream entry was written; 0 if its time is in the future."""
        return max(0.0, time.monotonic() + self._offset - position.milliseconds / 1000)


class EventApplier:
    """Owns the orders read from the store, and its clock. Values that cannot be decoded are skipped."""

    def __init__(self, registry: Registry, on_order_overwritten: Callable[[], None] = lambda: None) -> None:
        """on_order_overwritten: called when an older order was written to the store over a later one.

        This version writes none; an earlier one does.
        """
        # The orders in the store by cache id, as read so far: the last one written, perhaps not the latest.
        self.orders_in_store: dict[str, OperatorOrder] = {}
        self._on_order_overwritten = on_order_overwritten
        self.clock = StoreClock()
        self._registry = registry

    def apply_stored_cache(self, text: str) -> None:
        """Apply a value of the hash of caches."""
        try:
            event = decode_cache(text)
        except StoreDataError as error:
            log.warning("stored cache cannot be decoded, skipped: %s", error)
            return
        self._apply_cache(event)

    def apply_stored_order(self, text: str) -> None:
        """Apply a value of the hash of orders."""
        try:
            event = decode_order(text)
        except StoreDataError as error:
            log.warning("stored order cannot be decoded, skipped: %s", error)
            return
        self._apply_order(event)

    def apply_entry(self, entry: StreamEntry) -> None:
        """Apply an entry of the stream; an event of an unknown type is ignored."""
        try:
            event = decode_event(entry.event_text)
        except StoreDataError as error:
            log.warning("event %s cannot be decoded, skipped: %s", entry.position, error)
            return
        try:
            self._apply_event(event, entry.position)
        except Exception:  # one event must not hide those after it, which may be drains and purges
            log.exception("event %s cannot be applied, skipped", entry.position)

    def _apply_event(self, event: StoreEvent | None, position: StreamPosition) -> None:
        match event:
            case CacheDefined():
                self._apply_cache(event)
            case OrderGiven():
                self._apply_written_order(event)
            case PurgeRequested():
                self._apply_purge(event, position)

    def apply_entry_if_purge(self, entry: StreamEntry) -> None:
        """Apply an entry of the stream if it is a purge; a full load has read all other changes already."""
        try:
            event = decode_purge(entry.event_text)
        except StoreDataError as error:
            log.warning("event %s cannot be decoded, skipped: %s", entry.position, error)
            return
        if event:
            self._apply_purge(event, entry.position)

    def _apply_cache(self, event: CacheDefined) -> None:
        self._registry.define(DefinitionSource.STORE, event.definition)

    def _apply_order(self, event: OrderGiven) -> None:
        if event.order.supersedes(self.orders_in_store.get(event.server)):
            self.orders_in_store[event.server] = event.order
        self._registry.order(event.server, event.order)

    def _apply_written_order(self, event: OrderGiven) -> None:
        """Apply an order of the stream, which was written to the hash of orders with it."""
        previous = self._registry.merge.orders.get(event.server)
        self.orders_in_store[event.server] = event.order
        self._registry.order(event.server, event.order)
        if previous and previous != event.order and previous.supersedes(event.order):
            self._on_order_overwritten()

    def _apply_purge(self, event: PurgeRequested, position: StreamPosition) -> None:
        # The age is measured by the store's clock: if this router's clock were minutes ahead, a new purge
        # would look expired.
        self._registry.purge(event.obj, event.group, steady_time() - self.clock.age(position))
