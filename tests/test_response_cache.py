"""The response cache: within its room, ages and purges, and only while our link has room."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
import trio

from brackenlane.core.response_cache import Copy, ResponseCache
from brackenlane.routing.events import Arrival, Purged
from tests.router_harness import TILES, VIDEO, settings
from tests.stand_ins import Log, platform, with_trio
from tests.test_platform import fleet


def arrival(obj: str = "a", cls: str = "video", part: int = 0, group: int = 7) -> Arrival:
    """A request."""
    return Arrival("q1", 3.0, cls, obj, part, group)


def copies(**retained: int) -> ResponseCache:
    """Room for 8,000 bytes, a link of 10,000 a second in flows of 1,000, and copies of so many bytes."""
    found = ResponseCache(settings(classes=(VIDEO, TILES)), 8000, 1000.0, 10_000.0, 0.05)
    for name, size in retained.items():
        found.keep(Copy(arrival(name), bytes(size), "e1", 100.0))
    return found


@pytest.mark.parametrize(
    ("obj", "cls", "age", "served"),
    [
        ("a", "video", 9.0, True),
        ("b", "video", 9.0, False),
        ("a", "tiles", 6.3, True),
        ("a", "tiles", 6.4, False),  # in the last fifth of its fresh time
    ],
)
def test_find(obj: str, cls: str, age: float, served: bool) -> None:
    """A copy serves its object while it is fresh."""
    found = copies()
    found.keep(Copy(arrival("a", cls), b"x" * 100, "e1", 100.0))
    assert bool(found.find(arrival(obj, cls), "", 100.0 + age)) is served


@pytest.mark.parametrize(
    ("purge", "left"),
    [
        (Purged("a", -1, 0.0), {"b", "c"}),
        (Purged("", 7, 0.0), {"c"}),
        (Purged("a", -1, 50.0), {"a", "b", "c"}),
        (Purged("", 8, 0.0), {"a", "b"}),
    ],
)
def test_purge(purge: Purged, left: set[str]) -> None:
    """A copy older than a purge of its object or its group goes at once, all parts of it."""
    found = copies(a=100, b=100)
    found.keep(Copy(arrival("a", part=1), bytes(100), "e1", 100.0))
    found.keep(Copy(arrival("c", group=8), bytes(100), "e1", 100.0))
    found.purge(purge, 110.0)
    assert {name for name in "abc" if found.find(arrival(name), "", 110.0)} == left
    assert bool(found.find(arrival("a", part=1), "", 110.0)) is ("a" in left)


def test_room() -> None:
    """Bytes are bounded; what was used longest ago goes first; what is too large is not kept."""
    found = copies(**{f"o{n}": 1000 for n in range(8)}, large=1001)
    assert found.find(arrival("o0"), "", 101.0) and not found.find(arrival("large"), "", 101.0)
    found.keep(Copy(arrival("new"), bytes(1000), "e1", 100.0))
    assert not found.find(arrival("o1"), "", 105.0) and found.find(arrival("o0"), "", 110.0)


def test_link() -> None:
    """A full link of our own leaves requests to the caches; telling that a copy holds takes little of it."""
    found = copies(a=1000)
    served = sum(bool(found.find(arrival(), "", 101.0)) for _ in range(100))
    assert 5 <= served <= 20
    assert found.find(arrival(), "", 103.0)
    reported = sum(bool(found.find(arrival(), "e1", 201.0)) for _ in range(100))
    assert reported > served


@with_trio
async def test_served_once_fetched(tmp_path: Path) -> None:
    """What was fetched for one request serves the next, until a purge is told."""
    async with trio.open_nursery() as nursery:
        log = await Log().open(nursery)
        edge, origin = [await cache.open(nursery) for cache in fleet()]
        async with platform(tmp_path, [edge, origin], log, flow=100_000.0) as router_process:
            for _ in range(3):
                assert (await router_process.ask())[::2] == (200, b"bytes")
            assert (await router_process.ask(If_None_Match='"e1"'))[::2] == (304, b"")
            assert len(edge.asked) == 1
            purged = int(time.time() * 1000).to_bytes(8, "big")
            await log.tell(2, 3, bytes.fromhex("7f3a9c21e0b4d655") + purged)
            await log.cut()
            assert (await router_process.ask())[0] == 200
            assert len(edge.asked) == 2
        nursery.cancel_scope.cancel()
