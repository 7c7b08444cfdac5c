"""Keeps this router's registry in sync with the store: catches up or loads all, then follows the stream."""

from __future__ import annotations

from brackenlane.coldstart.stream_position import StreamPosition, is_log_continuous
from brackenlane.discovery.registry import Registry
from brackenlane.store.event_applier import EventApplier
from brackenlane.store.event_codec import StreamEntry
from brackenlane.store.outbox import Outbox
from brackenlane.store.reader import StoreReader, StoreState


class Replica:
    """Owns the stream position; all entries up to it have been applied."""

    def __init__(
        self,
        reader: StoreReader,
        registry: Registry,
        applier: EventApplier,
        outbox: Outbox,
        position: StreamPosition,
    ) -> None:
        self.position = position
        self._reader = reader
        self._registry = registry
        self._applier = applier
        self._outbox = outbox

    async def catch_up(self, state: StoreState) -> bool:
        """Apply the entries after the position; False if some may be missing and a full load is needed."""
        entries = state.entries + await self._reader.read_following_pages(state.entries)
        if not is_log_continuous(self.position, {entry.position for entry in entries}):
            return False
        self._registry.apply(self._registry.merge.confirm_snapshot())
        self._applier.orders_in_store.clear()
        for text in state.order_texts:
            if text:
                self._applier.apply_stored_order(text)
        self._apply(entries)
        return True

    async def load(self, purge_lifetime: float) -> None:
        """Load all orders and caches, page by page, and the purges of the last `purge_lifetime` seconds.

        The position is read first: changes during the load come after it in the stream, and `follow` applies
        them.
        """
        position = await self._reader.read_newest_position()
        self._applier.orders_in_store.clear()
        # Orders are applied before caches, so that a drained cache is never in service.
        async for text in self._reader.scan_orders():
            self._applier.apply_stored_order(text)
        async for text in self._reader.scan_caches():
            self._applier.apply_stored_cache(text)
        for entry in await self._reader.read_entries_from(position.earlier(purge_lifetime)):
            self._applier.apply_entry_if_purge(entry)
        self._registry.apply(self._registry.merge.drop_snapshot())
        self.position = position

    async def follow(self, block: float) -> None:
        """Wait up to `block` seconds for new entries, and apply them."""
        self._apply(await self._reader.read_updates(self.position, block))

    def _apply(self, entries: list[StreamEntry]) -> None:
        for entry in entries:
            self._outbox.acknowledge(entry.event_text)
            if entry.position > self.position:
                self._applier.apply_entry(entry)
                self.position = entry.position
