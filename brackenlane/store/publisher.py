"""Publishes this router's events to the store, and retries until each is written."""

from __future__ import annotations

import logging
import random
from enum import Enum, auto

import trio

from brackenlane.coldstart.pacing import jittered_backoff
from brackenlane.limits import Limits
from brackenlane.store.errors import StoreError, StoreTimeoutError, StoreUnavailableError
from brackenlane.store.event_codec import StoreEvent, encode_event
from brackenlane.store.event_writer import EventWriter
from brackenlane.store.outbox import Outbox

log = logging.getLogger(__name__)

MIN_RETRY_DELAY = 0.1  # seconds after a failure, whatever wakes the publisher
FIRST_RETRY_DELAY = 0.3  # seconds; bound of the jitter after the first failure
MAX_RETRY_DELAY = 5.0  # seconds; largest bound of the jitter


class PublishResult(Enum):
    """What has become of an event."""

    WRITTEN = auto()
    QUEUED = auto()  # written once the store answers
    REFUSED = auto()  # too many events wait; the other routers are not notified of it


class Publisher:
    """Writes the events of the outbox to the store; `run` retries until each is written."""

    def __init__(self, writer: EventWriter, outbox: Outbox, limits: Limits, rng: random.Random) -> None:
        self.outbox = outbox
        self._writer = writer
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
            if await self._write_on_live_connection(event):
                self.outbox.mark_sent(event)
            else:
                self.outbox.acknowledge(encode_event(event))
            self._notify_progress()

    def _notify_progress(self) -> None:
        self._progress.set()
        self._progress = trio.Event()

    async def _write_on_live_connection(self, event: StoreEvent) -> bool:
        """Write an event; once more if the connection broke, since the store may have ended it at rest."""
        try:
            return await self._writer.write(event)
        except StoreTimeoutError:
            raise
        except StoreUnavailableError:
            return await self._writer.write(event)
