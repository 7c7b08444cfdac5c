"""What a console has answered reaches the store and the other routers, whatever happens to the store."""

from __future__ import annotations

import os
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
import trio
import trio.testing

from brackenlane.clock import steady_time
from brackenlane.coldstart.pacing import Capacity
from brackenlane.coldstart.phases import StartupPhases
from brackenlane.discovery.errors import TooManyOrdersError
from brackenlane.discovery.merge import MembershipMerge
from brackenlane.discovery.order_codec import encode_order
from brackenlane.discovery.recent_purges import RecentPurges
from brackenlane.discovery.records import CacheDefinition, DefinitionSource, OperatorOrder, Policy
from brackenlane.discovery.registry import Registry
from brackenlane.lab.stand_ins.redis import Redis, Transaction
from brackenlane.limits import Limits
from brackenlane.store.event_codec import (
    OrderGiven,
    PurgeRequested,
    StoreEvent,
    encode_event,
    encode_operator_order,
)
from brackenlane.store.event_writer import stored_order
from brackenlane.store.outbox import Outbox
from brackenlane.store.publisher import PublishResult
from brackenlane.store.shared_store import SharedStore, StoreSettings
from tests.stand_ins import with_trio

SITE = "branch.example"
LIMITS = Limits()
STALL = 1.5  # seconds by which a stalled store delays its replies; more than a command may take
RETRY_LIMIT = 3.0  # seconds; a blocked read of the stream takes 5 s, so that its end cannot be what helps


def drain(cache: str, at: float = 0.0) -> OrderGiven:
    """Return an order to drain a cache, given now unless a time is given."""
    return OrderGiven(cache, OperatorOrder(True, at or steady_time(), "the console of a"))


def open_store(redis: Redis, registry: Registry, limits: Limits) -> SharedStore:
    """Return one router's access to a store."""
    settings = StoreSettings(("127.0.0.1", redis.port), SITE, "a", Capacity())
    return SharedStore(settings, registry, limits, StartupPhases(0.0))


@asynccontextmanager
async def following_store(
    redis: Redis, registry: Registry | None = None, limits: Limits = LIMITS
) -> AsyncIterator[SharedStore]:
    """Run one router's access to a store that it has read."""
    async with trio.open_nursery() as nursery:
        await redis.open(nursery)
        shared = open_store(redis, registry or registry_with_cache(Policy()), limits)
        nursery.start_soon(shared.run, [])
        await redis.read_started.wait()
        yield shared
        nursery.cancel_scope.cancel()


def events_in_store(redis: Redis) -> list[str]:
    """Return the encoded events of the stream."""
    return [fields[1] for _, fields in redis.keys.get(f"brackenlane:{SITE}:events", [])]


async def wait_until_in_store(redis: Redis, event: StoreEvent) -> None:
    """Wait until the stream has an event."""
    with trio.fail_after(RETRY_LIMIT):
        while encode_event(event) not in events_in_store(redis):
            await trio.sleep(0.01)


@pytest.mark.parametrize("event", [drain("box-1"), PurgeRequested("", 17, 1.7e9)], ids=["drain", "purge"])
@with_trio
async def test_change_in_a_short_stall_is_published_after_it(event: StoreEvent) -> None:
    """Guards against changes that waited until the connection that reads the stream failed, too."""
    redis = Redis()
    async with following_store(redis) as shared:
        connections = redis.connections
        redis.extra_delay = STALL
        assert await shared.publisher.publish(event) is PublishResult.QUEUED
        redis.extra_delay = 0.0
        await wait_until_in_store(redis, event)
        assert await shared.publisher.publish(drain("box-3")) is PublishResult.WRITTEN
        # Only the publisher has opened connections: the one that reads did not fail.
        assert redis.connections - connections <= 4


@with_trio
async def test_change_on_a_connection_that_ended_at_rest_is_published_at_once() -> None:
    """Guards against a drain that has to wait since the store has closed the idle connection."""
    redis = Redis()
    async with following_store(redis) as shared:
        assert await shared.publisher.publish(drain("box-1")) is PublishResult.WRITTEN
        stream = shared.publisher._writer._connection._stream
        assert stream
        with socket.socket(fileno=os.dup(stream.socket.fileno())) as duplicate:
            duplicate.shutdown(socket.SHUT_RDWR)  # unnoticed by the router, as the store's end at rest is
        await trio.testing.wait_all_tasks_blocked(0.05)
        assert await shared.publisher.publish(drain("box-2")) is PublishResult.WRITTEN


@with_trio
async def test_slow_store_gets_a_change_although_commands_time_out() -> None:
    """Guards against changes that never reach a store whose replies are later than a command may take."""
    redis = Redis()
    async with following_store(redis) as shared:
        redis.extra_delay = 1.5 * LIMITS.store_command_timeout
        assert await shared.publisher.publish(drain("box-1")) is PublishResult.QUEUED
        with trio.fail_after(RETRY_LIMIT):
            while shared.outbox.next_unsent():
                await trio.sleep(0.01)
        assert order_in_hash(redis, "box-1")


@with_trio
async def test_waiting_change_is_written_when_another_connection_gets_an_answer() -> None:
    """Guards against a change that waits for its backoff although the store serves this router again."""
    redis = Redis()
    async with following_store(redis) as shared:
        shared.publisher._rng = random.Random()
        shared.publisher._rng.uniform = lambda *_: 60.0  # type: ignore[method-assign]
        redis.extra_delay = STALL
        assert await shared.publisher.publish(drain("box-1")) is PublishResult.QUEUED
        while not shared.publisher._last_failed_attempt:
            await trio.sleep(0.01)
        redis.extra_delay = 0.0
        assert shared.outbox.next_unsent()
        with trio.fail_after(RETRY_LIMIT):
            while shared.outbox.next_unsent():
                await shared.claims.claim("txn-1")
                await trio.sleep(0.05)


def test_later_change_takes_the_place_of_an_earlier_one() -> None:
    """Guards against an older order that is written after a later one, and against a queue of repeats."""
    outbox = Outbox(limit=2)
    first, later = drain("box-1", 5.0), OrderGiven("box-1", OperatorOrder(False, 6.0, "the console of a"))
    assert outbox.add(first)
    assert outbox.add(PurgeRequested("clip", -1, 1.0))
    assert outbox.add(later)
    outbox.mark_sent(first)  # its write ends only now
    assert outbox.event_texts == (encode_event(PurgeRequested("clip", -1, 1.0)), encode_event(later))
    outbox.acknowledge(encode_event(first))
    assert len(outbox.event_texts) == 2


def test_full_outbox_refuses_a_change_and_drops_none_that_waits() -> None:
    """Guards against an answered change that is dropped for a later one; one already written may be."""
    outbox = Outbox(limit=2)
    assert outbox.add(drain("box-1", 1.0))
    assert outbox.add(drain("box-2", 2.0))
    assert not outbox.add(drain("box-3", 3.0))
    oldest = outbox.next_unsent()
    assert oldest == drain("box-1", 1.0)
    outbox.mark_sent(oldest)
    assert outbox.add(drain("box-3", 3.0))
    assert outbox.next_unsent() == drain("box-2", 2.0)


def restore_order(cache: str, at: float) -> OrderGiven:
    """Return an order to restore a cache, given at a Unix time."""
    return OrderGiven(cache, OperatorOrder(False, at, "the console of a"))


def order_in_hash(redis: Redis, cache: str) -> OperatorOrder | None:
    """Return the order of a cache that a router reads at its start."""
    return stored_order(redis.keys.get(f"brackenlane:{SITE}:orders", {}).get(cache))


@with_trio
async def test_older_order_that_was_kept_back_does_not_replace_a_later_one() -> None:
    """Guards against a drain that a router loses at its restart: an order from a cut was written over it."""
    redis = Redis()
    async with following_store(redis) as shared:
        now = steady_time()
        later = drain("box-1", now)
        redis.order(SITE, encode_order("box-1", later.order))
        assert await shared.publisher.publish(restore_order("box-1", now - 1.0)) is PublishResult.WRITTEN
        assert order_in_hash(redis, "box-1") == later.order
        assert not shared.outbox.event_texts
        # An order that is later than the stored one replaces it.
        newest = restore_order("box-1", now + 1.0)
        assert await shared.publisher.publish(newest) is PublishResult.WRITTEN
        assert order_in_hash(redis, "box-1") == newest.order


class InterruptedRedis(Redis):
    """A stand-in for Redis at which another router writes an order between the read and the transaction."""

    def __init__(self, order: OrderGiven) -> None:
        super().__init__()
        self._order: OrderGiven | None = order

    async def _execute(self, command: list[str], transaction: Transaction) -> bytes:
        if command == ["MULTI"] and self._order:
            self.order(SITE, encode_order(self._order.server, self._order.order))
            self._order = None
        return await super()._execute(command, transaction)


@pytest.mark.parametrize("lead", [-1.0, 1.0], ids=["older", "later"])
@with_trio
async def test_of_two_orders_written_at_once_the_later_one_stays(lead: float) -> None:
    """Guards against an order that is compared with one which another router replaces before the write."""
    other = restore_order("box-1", steady_time() + lead)
    redis = InterruptedRedis(other)
    async with following_store(redis) as shared:
        own = drain("box-1")
        assert await shared.publisher.publish(own) is PublishResult.WRITTEN
        assert order_in_hash(redis, "box-1") == (other if lead > 0 else own).order


@with_trio
async def test_order_that_an_earlier_version_wrote_over_a_later_one_is_repaired() -> None:
    """Guards against a router that starts beside one of an earlier version, which writes without a look."""
    redis = Redis()
    async with following_store(redis) as shared:
        later = drain("box-1")
        assert await shared.publisher.publish(later) is PublishResult.WRITTEN
        redis.order(SITE, encode_order("box-1", restore_order("box-1", later.order.at - 1.0).order))
        with trio.fail_after(RETRY_LIMIT):
            while order_in_hash(redis, "box-1") != later.order:
                await trio.sleep(0.01)


@with_trio
async def test_store_that_has_lost_more_orders_than_the_outbox_holds_gets_them_all() -> None:
    """Guards against orders that a full outbox refuses, so that a store which came back empty lacks them."""
    redis = Redis()
    registry = registry_with_cache(Policy())
    for number in range(20):
        registry.order(f"box-{number}", drain(f"box-{number}").order)
    async with following_store(redis, registry, replace(LIMITS, max_unshared_changes=4)):
        with trio.fail_after(RETRY_LIMIT):
            while len(redis.keys.get(f"brackenlane:{SITE}:orders", {})) < 20:
                await trio.sleep(0.01)


@with_trio
async def test_order_without_its_stream_entry_is_completed() -> None:
    """Guards against an order that others never get: its write failed between the hash and the stream."""
    redis = Redis()
    async with following_store(redis) as shared:
        own = drain("box-1")
        redis.keys[f"brackenlane:{SITE}:orders"] = {"box-1": encode_operator_order("box-1", own.order)}
        assert await shared.publisher.publish(own) is PublishResult.WRITTEN
        await wait_until_in_store(redis, own)


def registry_with_cache(policy: Policy) -> Registry:
    """Return a registry that knows box-1 and box-2."""
    registry = Registry(
        MembershipMerge(policy), lambda _: None, lambda *_: None, RecentPurges(12.0, limit=10)
    )
    for cache in ("box-1", "box-2"):
        registry.define(DefinitionSource.FILE, CacheDefinition(cache, "127.0.0.1", 80, "branch"))
    return registry


def test_order_behind_one_of_a_clock_ahead_holds() -> None:
    """Guards against a console that answers "restored" for an order which the earlier one overrides."""
    registry = registry_with_cache(Policy())
    ahead = drain("box-1", steady_time() + 30.0)
    registry.order("box-1", ahead.order)
    restored = registry.drain("box-1", False, "the console of b")
    assert restored
    assert restored.supersedes(ahead.order)
    assert registry.merge.orders["box-1"] == restored


def test_order_that_cannot_be_kept_is_not_answered_as_done() -> None:
    """Guards against a console that answers "drained" for an order past the limit, which is dropped."""
    registry = registry_with_cache(Policy(max_orders=1))
    assert registry.drain("box-1", True, "the console of a")
    with pytest.raises(TooManyOrdersError):
        registry.drain("box-2", True, "the console of a")
