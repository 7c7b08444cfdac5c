"""Caches of unknown widths: loads are compared, and the first choice of the hash is not overloaded."""

from __future__ import annotations

import itertools

import pytest

from brackenlane.routing.actions import Fetch
from brackenlane.routing.bounded_load import below_bound_first
from brackenlane.routing.events import Arrival
from brackenlane.routing.members import Member, Role
from tests.router_harness import RouterHarness, every

EDGES = [Member(f"edge-{n}", "depot") for n in range(3)]
FLEET = [
    *EDGES,
    Member("parent-0", "hub-a", Role.PARENT),
    Member("origin", "hub-a", Role.ORIGIN),
]


@pytest.mark.parametrize(
    ("loads", "expected"),
    [
        ([0.0, 0.0, 0.0], "abc"),  # idle: the hash decides
        ([1.0, 0.0, 0.0], "abc"),  # a few more than the others have change nothing
        ([4.0, 0.0, 0.0], "bca"),
        ([4.0, 4.0, 4.0], "abc"),  # a load that all share is no reason to go elsewhere
        ([14.0, 14.0, 1.0], "cab"),
        ([300.0, 300.0, 299.0], "abc"),
    ],
)
def test_cache_over_the_bound_comes_last(loads: list[float], expected: str) -> None:
    """Order by the hash, among those that may take one more, then among the others."""
    load = dict(zip("abc", loads, strict=True))
    assert "".join(below_bound_first("abc", "abc", load.__getitem__, lambda _: 1.0)) == expected


def test_wider_link_carries_more() -> None:
    """Loads are counted by width."""
    load, width = {"a": 6.0, "b": 6.0}, {"a": 6.0, "b": 1.0}
    order = below_bound_first("ba", "ab", load.__getitem__, width.__getitem__)
    assert order == ["a", "b"]


def open_requests(harness: RouterHarness, count: int) -> dict[str, int]:
    """Return by cache how many requests are sent to it, for objects that prefer the first one, unanswered."""
    sent = dict.fromkeys((member.server for member in EDGES), 0)
    requested, names = 0, itertools.count()
    while requested < count:
        obj = f"object-{next(names)}"
        order = harness.router.server_table.edges_in_order(Arrival("", 5.0, "video", obj).cache_key)
        if order[0].member.server != "edge-0":
            continue
        requested += 1
        for fetch in every(harness.ask(obj, part=0, size_kb=0.0), Fetch):
            sent[fetch.server] += 1
    return sent


@pytest.mark.parametrize("reported", [False, True])
def test_requests_spill_over_from_a_hot_cache_where_widths_are_unknown(reported: bool) -> None:
    """Eight of eight went to one cache, whose link carries fewer, while its neighbours were idle."""
    harness = RouterHarness(FLEET, weights_known=reported)
    if reported:
        harness.tell([Member(m.server, m.zone, m.role, weight=20.0) for m in FLEET])
    sent = open_requests(harness, 8)
    assert sum(sent.values()) == 8
    assert (max(sent.values()) < 8) is not reported, sent


def test_requests_do_not_spill_over_while_the_origin_is_throttled() -> None:
    """A request that spills over is filled once more, which a slow origin must be spared."""
    harness = RouterHarness(FLEET, now=100.0, weights_known=False)
    harness.router.origin_throttle.decrease(harness.now, origin_probability=1.0, cooldown=0.0)
    assert open_requests(harness, 8)["edge-0"] == 8
