"""One router's access to the shared store: wires the parts of this package, and reconnects after a failure.

Redis holds a hash of the caches, a hash of the operators' orders, a stream of events, and a key for each
claimed submit (keys.py). A router that remembers its position in the stream reads the entries after it. If
the stream no longer holds that position, the router waits for a load ticket, reads the hashes in pages, and
follows the stream from the position that was the newest before the load, so that it misses no change.
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import trio

from brackenlane.clock import steady_time
from brackenlane.coldstart.pacing import Capacity, StorePacing
from brackenlane.coldstart.phases import StartupEvent, StartupPhases
from brackenlane.coldstart.stream_position import STREAM_START, StreamPosition
from brackenlane.config import Endpoint
from brackenlane.core.service_tasks import run_service
from brackenlane.discovery.records import CacheDefinition
from brackenlane.discovery.registry import Registry
from brackenlane.limits import Limits
from brackenlane.store.capacity_hint import apply_hint
from brackenlane.store.connection import Connection
from brackenlane.store.errors import StoreCommandError, StoreDataError, StoreError, StoreTimeoutError
from brackenlane.store.event_applier import EventApplier
from brackenlane.store.event_codec import decode_own_event
from brackenlane.store.event_writer import EventWriter
from brackenlane.store.file_registration import FileRegistration
from brackenlane.store.idempotency_claims import RedisClaimStore
from brackenlane.store.keys import StoreKeys
from brackenlane.store.load_tickets import LoadTickets
from brackenlane.store.outbox import Outbox
from brackenlane.store.publisher import Publisher
from brackenlane.store.reader import StoreReader, StoreState
from brackenlane.store.repair import StoreRepair
from brackenlane.store.replica import Replica

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The store's address, and this router's settings for it."""

    endpoint: Endpoint
    site: str
    router_name: str
    capacity: Capacity


class SharedStore:
    """Owns the connections to the store, and tracks whether it is available."""

    def __init__(
        self,
        settings: StoreSettings,
        registry: Registry,
        limits: Limits,
        phases: StartupPhases,
        position: StreamPosition = STREAM_START,
    ) -> None:
        """position: the registry already contains all entries of the event stream up to it."""
        self.was_read = trio.Event()  # set once everything in the store has been applied
        self.fault = ""  # why the store is unavailable; empty while it is available
        self._settings = settings
        self._registry = registry
        self._limits = limits
        self._phases = phases
        self._keys = StoreKeys(settings.site)
        self._random = random.Random()
        self.pacing = StorePacing(settings.router_name, settings.capacity, self._random)
        # Separate connections: a read that blocks until there are updates must not delay a claim, and a claim
        # that fails must not end the publisher's transaction.
        command_connection = Connection(settings.endpoint, limits.store_command_timeout, self._on_answer)
        publish_connection = Connection(settings.endpoint, limits.store_publish_timeout)
        self._read_connection = Connection(settings.endpoint, limits.store_command_timeout, self._on_answer)
        self._reader = StoreReader(self._read_connection, self._keys, limits)
        self._tickets = LoadTickets(
            self._read_connection, self._keys, self.pacing, lifetime=limits.store_ticket_lifetime
        )
        self._repair_needed = trio.Event()
        self.applier = EventApplier(registry, self._on_order_overwritten)
        self.claims = RedisClaimStore(
            command_connection, self._keys, settings.router_name, limits.claim_lifetime
        )
        self.outbox = Outbox(limits.max_unshared_changes)
        writer = EventWriter(publish_connection, self._keys, limits.max_store_events, self.applier)
        self.publisher = Publisher(writer, self.outbox, limits, self._random)
        self._repair = StoreRepair(command_connection, self._keys, self.publisher, registry, self.applier)
        self.replica = Replica(self._reader, registry, self.applier, self.outbox, position)

    @property
    def position(self) -> StreamPosition:
        """The position in the event stream up to which everything has been applied."""
        return self.replica.position

    def _on_answer(self) -> None:
        """Retry what waits for the store, which has answered on another connection."""
        if self.outbox.next_unsent():
            self.publisher.wake_up()

    @property
    def unshared(self) -> tuple[str, ...]:
        """The encoded events that are not known to be in the store, oldest first."""
        return self.outbox.event_texts

    def restore_unshared(self, event_texts: Iterable[str]) -> None:
        """Publish again the events that an earlier process of this router has left in its snapshot."""
        for text in event_texts:
            try:
                event = decode_own_event(text, steady_time())
            except StoreDataError as error:
                log.warning("unshared event cannot be decoded, skipped: %s", error)
                continue
            if event:
                self.outbox.add(event)

    async def run(self, file_caches: Sequence[CacheDefinition]) -> None:
        """Follow the store and publish to it until cancelled.

        While the store is unavailable, the registry does not change, and published events wait.
        file_caches: the caches of the operator's file, to be registered in the store.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_service, "publisher", self.publisher.run)
            await self._follow(file_caches)

    async def _follow(self, file_caches: Sequence[CacheDefinition]) -> None:
        registration = FileRegistration(file_caches, self._keys, self._settings.router_name, self._limits)
        await trio.sleep(self.pacing.initial_delay())
        while True:
            error = await self._follow_until_failure(registration)
            self.fault = str(error)
            await self._read_connection.close()
            self._phases.step(StartupEvent.STORE_LOST, steady_time())
            delay = self.pacing.record_failure(isinstance(error, StoreCommandError | StoreTimeoutError))
            log.warning("store unavailable: %s; next attempt in %.1f s", error, delay)
            await trio.sleep(delay)

    async def _follow_until_failure(self, registration: FileRegistration) -> Exception:
        """Catch up, then follow and repair the store concurrently; return the error that ended this.

        An error other than a StoreError is a reply that this version cannot handle; it is logged with its
        traceback, and the store counts as unavailable.
        """
        failures: list[Exception] = []
        try:
            async with trio.open_nursery() as nursery:
                await self._catch_up(registration)
                nursery.start_soon(self._keep_repaired)
                while True:
                    if not registration.is_done:
                        await registration.register(self._read_connection)
                    await self.replica.follow(self._limits.store_block_time)
        except* StoreError as group:
            failures.extend(group.exceptions)
        except* Exception as group:
            log.exception("the store's reply cannot be handled")
            failures.extend(group.exceptions)
        return failures[0]

    async def _catch_up(self, registration: FileRegistration) -> None:
        """Synchronize the registry with the store: read updates, or load everything."""
        requested_at = time.monotonic()
        state = await self._reader.read_state(
            self.replica.position, registration.key, sorted(self._registry.merge.orders)
        )
        self.applier.clock.synchronize(state.clock_seconds, state.clock_microseconds)
        # A submit waits for the store up to the command timeout. An answer that takes over half of it is
        # slow: the routers should spread their requests over more time.
        self.pacing.record_answer(time.monotonic() - requested_at, self._limits.store_command_timeout / 2)
        self._apply_capacity_hint(state)
        registration.apply_stored_value(state.registration)
        if not await self.replica.catch_up(state):
            self._phases.step(StartupEvent.LOAD_STARTED, steady_time())
            await self._tickets.wait_for_turn()
            await self.replica.load(self._registry.purges.lifetime)
        self.fault = ""
        self._phases.step(StartupEvent.CAUGHT_UP, steady_time())
        self.was_read.set()

    def _apply_capacity_hint(self, state: StoreState) -> None:
        if not state.capacity_hint:
            return
        try:
            self.pacing.capacity = apply_hint(state.capacity_hint, self.pacing.capacity)
        except StoreDataError as error:
            log.warning("capacity hint %s ignored: %s", self._keys.capacity_hint, error)

    def _on_order_overwritten(self) -> None:
        self._repair_needed.set()

    async def _keep_repaired(self) -> None:
        """Repair the store once, and again whenever an older order was written over a later one."""
        while True:
            self._repair_needed = trio.Event()
            # All routers notice at the same time that the store lacks something. The first one in the window
            # repairs it; the others read its events before their own delay is over.
            await trio.sleep(self._random.uniform(0.0, self.pacing.window))
            await self._repair.run()
            await self._repair_needed.wait()
