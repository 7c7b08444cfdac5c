"""Caches of unknown link width: requests spill over from caches whose load exceeds the bound."""

from __future__ import annotations

import itertools

import pytest

from brackenlane.routing.actions import Fetch
from brackenlane.routing.bounded_load import below_bound_first
from brackenlane.routing.events import Arrival
from brackenlane.routing.members import Member, Role
from tests.router_harness import RouterHarness, actions_of

EDGES = [Member(f"edge-{n}", "depot") for n in range(3)]
FLEET = [
    *EDGES,
    Member("parent-0", "hub-a", Role.PARENT),
    Member("origin", "hub-a", Role.ORIGIN),
]


@pytest.mark.parametrize(
    ("loads", "expected"),
    [
        ([0.0, 0.0, 0.0], "abc"),  # idle: hash order
        ([1.0, 0.0, 0.0], "abc"),  # below the bound with spare transfers
        ([4.0, 0.0, 0.0], "bca"),
        ([4.0, 4.0, 4.0], "abc"),  # equal loads do not change the order
        ([14.0, 14.0, 1.0], "cab"),
        ([300.0, 300.0, 299.0], "abc"),
    ],
)
def test_cache_over_the_bound_comes_last(loads: list[float], expected: str) -> None:
    """The hash order applies to the caches below the bound, and then to the others."""
    load = dict(zip("abc", loads, strict=True))
    assert "".join(below_bound_first("abc", "abc", load.__getitem__, lambda _: 1.0)) == expected


def test_load_is_relative_to_link_width() -> None:
    load, width = {"a": 6.0, "b": 6.0}, {"a": 6.0, "b": 1.0}
    order = below_bound_first("ba", "ab", load.__getitem__, width.__getitem__)
    assert order == ["a", "b"]


def open_requests(harness: RouterHarness, count: int) -> dict[str, int]:
    """Send requests for objects that prefer the first cache, without answers; return the count by cache."""
    sent = dict.fromkeys((member.server for member in EDGES), 0)
    requested, names = 0, itertools.count()
    while requested < count:
        obj = f"object-{next(names)}"
        order = harness.router.server_table.edges_in_order(Arrival("", 5.0, "video", obj).cache_key)
        if order[0].member.server != "edge-0":
            continue
        requested += 1
        for fetch in actions_of(harness.send_request(obj, part=0, size_kb=0.0), Fetch):
            sent[fetch.server] += 1
    return sent


@pytest.mark.parametrize("reported", [False, True])
def test_requests_spill_over_from_a_hot_cache_where_widths_are_unknown(reported: bool) -> None:
    """Without the bound, all 8 requests went to one cache, whose link carries fewer; the others were idle."""
    harness = RouterHarness(FLEET, weights_known=reported)
    if reported:
        harness.update_members([Member(m.server, m.zone, m.role, weight=20.0) for m in FLEET])
    sent = open_requests(harness, 8)
    assert sum(sent.values()) == 8
    assert (max(sent.values()) < 8) is not reported, sent


def test_requests_do_not_spill_over_while_the_origin_is_throttled() -> None:
    """A cache that receives spillover needs another fill, which a slow origin cannot serve."""
    harness = RouterHarness(FLEET, now=100.0, weights_known=False)
    harness.router.origin_throttle.decrease(harness.now, origin_probability=1.0, cooldown=0.0)
    assert open_requests(harness, 8)["edge-0"] == 8
