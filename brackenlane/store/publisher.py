"""Publishes this router's events to the store, and repairs a store that was restored to an older state."""

from __future__ import annotations

import logging
import random
from enum import Enum, auto

import hiredis
import trio

from brackenlane.coldstart.pacing import jittered_backoff
from brackenlane.coldstart.stream_position import missing_orders
from brackenlane.discovery.records import OperatorOrder
from brackenlane.discovery.registry import Registry
from brackenlane.limits import Limits
from brackenlane.store.connection import Command, Connection
from brackenlane.store.errors import (
    StoreCommandError,
    StoreDataError,
    StoreError,
    StoreTimeoutError,
    StoreUnavailableError,
)
from brackenlane.store.event_applier import EventApplier
from brackenlane.store.event_codec import (
    CacheDefined,
    OrderGiven,
    PurgeRequested,
    StoreEvent,
    decode_order,
    encode_event,
)
from brackenlane.store.event_commands import (
    append_command,
    read_order_commands,
    transaction,
    write_commands,
)
from brackenlane.store.keys import StoreKeys
from brackenlane.store.outbox import Outbox

log = logging.getLogger(__name__)

MIN_RETRY_DELAY = 0.1  # seconds after a failure, whatever wakes the publisher
FIRST_RETRY_DELAY = 0.3  # seconds; bound of the jitter after the first failure
MAX_RETRY_DELAY = 5.0  # seconds; largest bound of the jitter
MAX_WRITE_CONFLICTS = 10  # attempts to write an order; then the store counts as unavailable


class PublishResult(Enum):
    """What has become of an event."""

    WRITTEN = auto()
    QUEUED = auto()  # written once the store answers
    REFUSED = auto()  # too many events wait; the other routers are not notified of it


class Publisher:
    """Writes the events of the outbox to the store; `run` retries until each is written."""

    def __init__(
        self,
        connection: Connection,
        keys: StoreKeys,
        limits: Limits,
        outbox: Outbox,
        applier: EventApplier,
        rng: random.Random,
    ) -> None:
        """connection: used by no other component, whose failure would end a transaction in the middle."""
        self.outbox = outbox
        self._connection = connection
        self._keys = keys
        self._applier = applier
        self._max_stream_length = limits.max_store_events
        self._rng = rng
        self._answer_time = limits.store_publish_wait
        self._wake_up = trio.Event()
        self._progress = trio.Event()  # set when an event was written or an attempt has failed
        self._attempt_count = 0
        self._last_failed_attempt = 0

    async def publish(self, event: StoreEvent) -> PublishResult:
        """Add an event to the outbox, and wait a moment until it is written."""
        next_attempt = self._attempt_count + 1  # an attempt under way may fail before it gets to this event
        if not self.enqueue(event):
            return PublishResult.REFUSED
        with trio.move_on_after(self._answer_time):
            while self.outbox.is_unsent(event) and self._last_failed_attempt < next_attempt:
                await self._progress.wait()
        return PublishResult.QUEUED if self.outbox.is_unsent(event) else PublishResult.WRITTEN

    def enqueue(self, event: StoreEvent) -> bool:
        """Add an event to the outbox, to be written soon; return False if there is no room."""
        if not self.outbox.add(event):
            return False
        self.wake_up()
        return True

    def resend_unacknowledged(self) -> None:
        """Write all events again that were not read back; the store may have lost them."""
        self.outbox.mark_all_unsent()
        self.wake_up()

    def wake_up(self) -> None:
        """Retry soon: there is a new event, or the store has answered on another connection."""
        self._wake_up.set()

    async def run(self) -> None:
        """Write the events of the outbox until cancelled. Only one task may run this."""
        failures = 0
        while True:
            self._wake_up = trio.Event()
            self._attempt_count += 1
            try:
                await self._write_unsent()
            except StoreError as error:
                failures += 1
                self._last_failed_attempt = self._attempt_count
                self._notify_progress()
                log.warning("changes wait for the store: %s", error)
                await trio.sleep(MIN_RETRY_DELAY)
                delay = jittered_backoff(failures, FIRST_RETRY_DELAY, MAX_RETRY_DELAY, self._rng)
                with trio.move_on_after(delay):
                    await self._wake_up.wait()
            else:
                failures = 0
                await self._wake_up.wait()

    async def _write_unsent(self) -> None:
        """Write the events that were not sent yet, oldest first. Raises StoreError if one cannot be sent."""
        while event := self.outbox.next_unsent():
            await self._write_on_live_connection(event)
            self.outbox.mark_sent(event)
            self._notify_progress()

    def _notify_progress(self) -> None:
        self._progress.set()
        self._progress = trio.Event()

    async def _write_on_live_connection(self, event: StoreEvent) -> None:
        """Write an event; once more if the connection broke, since the store may have ended it at rest."""
        try:
            await self._write(event)
        except StoreTimeoutError:
            raise
        except StoreUnavailableError:
            await self._write(event)

    async def _write(self, event: StoreEvent) -> None:
        match event:
            case OrderGiven():
                await self._write_order(event)
            case CacheDefined():
                await self._run_transaction(write_commands(event, self._keys, self._max_stream_length))
            case PurgeRequested():
                await self._append(event)

    async def _write_order(self, event: OrderGiven) -> None:
        """Write an order unless the stored one takes precedence, whenever either was given or is written."""
        commands = write_commands(event, self._keys, self._max_stream_length)
        for _ in range(MAX_WRITE_CONFLICTS):
            _, text = await self._connection.call(*read_order_commands(event.server, self._keys))
            if not isinstance(text, str | None):
                raise StoreDataError(f"reply to HGET: {type(text).__name__}")
            stored = stored_order(text)
            if not event.order.supersedes(stored):
                await self._leave_stored_order(event, stored, text)
                return
            if await self._run_transaction(commands):
                return
        raise StoreUnavailableError(f"other orders were written {MAX_WRITE_CONFLICTS} times meanwhile")

    async def _leave_stored_order(
        self, event: OrderGiven, stored: OperatorOrder | None, text: str | None
    ) -> None:
        """Handle an order that the stored one equals or takes precedence over."""
        await self._connection.call(["UNWATCH"])
        if stored == event.order:
            # An earlier attempt may have failed between the hash and the stream.
            await self._append(event)
            return
        self.outbox.acknowledge(encode_event(event))
        self._applier.apply_stored_order(str(text))

    async def _append(self, event: StoreEvent) -> None:
        await self._connection.call(append_command(event, self._keys, self._max_stream_length))

    async def _run_transaction(self, commands: list[Command]) -> bool:
        """Run commands in a transaction; return False if a watched key was written meanwhile."""
        *_, results = await self._connection.call(*transaction(commands))
        if results is None:
            return False
        if not isinstance(results, list):
            raise StoreDataError(f"reply to EXEC: {type(results).__name__}")
        for result in results:
            if isinstance(result, hiredis.ReplyError):
                raise StoreCommandError(str(result))
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
                self._publisher.enqueue(OrderGiven(server, orders[server]))


def stored_order(text: str | None) -> OperatorOrder | None:
    """Return the order in a value of the hash of orders; None if there is none or it cannot be decoded."""
    if not text:
        return None
    try:
        return decode_order(text).order
    except StoreDataError:
        return None
