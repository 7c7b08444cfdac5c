"""The response cache: capacity, ages, purges, and the capacity of the link to clients."""

from __future__ import annotations

import time
import tracemalloc
from pathlib import Path

import pytest
import trio

from brackenlane.core.response_cache import ENTRY_OVERHEAD, CacheEntry, ResponseCache
from brackenlane.routing.events import Arrival, Purged
from tests.router_harness import TILES, VIDEO, settings
from tests.stand_ins import ChangeLogStandIn, run_platform, with_trio
from tests.test_platform import make_caches


def arrival(obj: str = "a", cls: str = "video", part: int = 0, group: int = 7) -> Arrival:
    """Build a request of the given object, class, part and group."""
    return Arrival("q1", 3.0, cls, obj, part, group)


def build_cache(**sizes: int) -> ResponseCache:
    """Build a cache for 8 objects of 1,000 bytes; the link has 10 kB/s, a transfer 1 kB/s."""
    capacity = 8 * (1000 + ENTRY_OVERHEAD)
    cache = ResponseCache(settings(classes=(VIDEO, TILES)), capacity, 1000.0, 10_000.0, 0.05)
    for name, size in sizes.items():
        cache.store(CacheEntry(arrival(name), bytes(size), "e1", 100.0, 100.0))
    return cache


@pytest.mark.parametrize(
    ("obj", "cls", "age", "served"),
    [
        ("a", "video", 9.0, True),
        ("b", "video", 9.0, False),
        ("a", "tiles", 6.3, True),
        ("a", "tiles", 6.4, False),  # the copy is in the last fifth of its fresh time
    ],
)
def test_copy_serves_its_object_while_it_is_fresh(obj: str, cls: str, age: float, served: bool) -> None:
    """A copy is not served for another object, nor in the last fifth of its fresh time."""
    cache = build_cache()
    cache.store(CacheEntry(arrival("a", cls), b"x" * 100, "e1", 100.0, 100.0))
    assert bool(cache.find(arrival(obj, cls), "", 100.0 + age)) is served


@pytest.mark.parametrize(
    ("purge", "left"),
    [
        (Purged("a", -1, 0.0), {"b", "c"}),
        (Purged("", 7, 0.0), {"c"}),
        (Purged("a", -1, 50.0), {"a", "b", "c"}),
        (Purged("", 8, 0.0), {"a", "b"}),
    ],
)
def test_purge_drops_all_older_copies_of_its_object_or_group(purge: Purged, left: set[str]) -> None:
    """All parts of an object are dropped; copies issued after the purge are kept."""
    cache = build_cache(a=100, b=100)
    cache.store(CacheEntry(arrival("a", part=1), bytes(100), "e1", 100.0, 100.0))
    cache.store(CacheEntry(arrival("c", group=8), bytes(100), "e1", 100.0, 100.0))
    cache.purge(purge, 110.0)
    assert {name for name in "abc" if cache.find(arrival(name), "", 110.0)} == left
    assert bool(cache.find(arrival("a", part=1), "", 110.0)) is ("a" in left)


def test_least_recently_used_copy_is_dropped_first() -> None:
    """The number of bytes is bounded, and a response that is too large is not stored."""
    cache = build_cache(**{f"o{n}": 1000 for n in range(8)}, large=1001)
    assert cache.find(arrival("o0"), "", 101.0)
    assert not cache.find(arrival("large"), "", 101.0)
    cache.store(CacheEntry(arrival("new"), bytes(1000), "e1", 100.0, 100.0))
    assert not cache.find(arrival("o1"), "", 105.0)
    assert cache.find(arrival("o0"), "", 110.0)


def test_copies_of_tiny_objects_take_the_memory_of_the_capacity_only() -> None:
    capacity = 4_000_000
    cache = ResponseCache(settings(classes=(VIDEO, TILES)), capacity, 1000.0, 10_000.0, 0.05)
    tracemalloc.start()
    try:
        for number in range(20_000):
            cache.store(CacheEntry(arrival(f"object-{number}"), b"%d" % number, f"e{number}", 1.0, 1.0))
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held <= capacity


def test_full_link_leaves_requests_to_the_caches() -> None:
    """Answers without a body, sent when the client's copy is current, use little of the link."""
    cache = build_cache(a=1000)
    served = sum(bool(cache.find(arrival(), "", 101.0)) for _ in range(100))
    assert 5 <= served <= 20
    assert cache.find(arrival(), "", 103.0)
    unchanged = sum(bool(cache.find(arrival(), "e1", 201.0)) for _ in range(100))
    assert unchanged > served


@with_trio
async def test_fetched_response_serves_the_next_request_until_a_purge(tmp_path: Path) -> None:
    """A client that has a current copy gets 304; after the purge the request goes to a cache again."""
    async with trio.open_nursery() as nursery:
        log = await ChangeLogStandIn().open(nursery)
        edge, origin = [await cache.open(nursery) for cache in make_caches()]
        async with run_platform(tmp_path, [edge, origin], log, flow_bytes_per_s=100_000.0) as router_process:
            for _ in range(3):
                assert (await router_process.request_object())[::2] == (200, b"bytes")
            assert (await router_process.request_object(If_None_Match='"e1"'))[::2] == (304, b"")
            assert len(edge.received) == 1
            purged = int(time.time() * 1000).to_bytes(8, "big")
            await log.send_frame(2, 3, bytes.fromhex("7f3a9c21e0b4d655") + purged)
            await log.reconnect()
            assert (await router_process.request_object())[0] == 200
            assert len(edge.received) == 2
        nursery.cancel_scope.cancel()
