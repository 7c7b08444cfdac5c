"""Slow start: limits the work that all routers together send to a recently started server.

The budget is divided among the routers without messages between them. Pure. Times are Unix seconds, work is
in seconds of transfer at the highest pace, capacity and weight are in concurrent transfers. The rule (page
WIRE-brackenlane, "Lines not to cross", 4): a server in slow start fails if it is sent more than
`overload_factor` times its capacity for `overload_duration` seconds. The limit is a token bucket: its depth
is the permitted burst, and it fills at the rate at which the server completes work.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

from brackenlane.routing.members import Member
from brackenlane.routing.settings import SlowStart

BUDGET_SHARE = 0.85  # share of a budget that is used, as weights and sizes are approximate
MIN_REQUEST_WORK = 1e-9  # seconds of transfer; avoids a division by zero


def capacity_by_age(rule: SlowStart, weight: float, age: float) -> float:
    """Return the guaranteed capacity of a server, in concurrent transfers, at an age in seconds.

    The actual ramp is unknown; the slowest one that the rule permits is linear. A negative age counts as 0,
    since the clock of the server may be ahead. A ramp of 0 means full capacity at any age.
    """
    warmth = max(0.0, age) / rule.ramp if rule.ramp else 1.0
    return BUDGET_SHARE * weight * (rule.share + (1 - rule.share) * warmth)


def burst(rule: SlowStart, capacity: float) -> float:
    """Return the work that may be sent at once, in addition to what the server completes meanwhile."""
    return (rule.overload_factor - 1) * capacity * rule.overload_duration


def sharers_by_location(
    burst_work: float, request_work: float, locations: Iterable[Member], own_location: str
) -> float:
    """Return how many routers share a burst now; 0: the routers of the own location are not among them yet.

    If a small burst were divided among all routers, no share would suffice for a request. Locations are
    therefore admitted in the given order, which is the same at all routers, once the burst covers one request
    (`request_work`) for each of their routers. locations: each has its name as `zone` and its number of
    routers as `weight`; own_location: its name.
    """
    sharers = 0.0
    is_own_included = False
    for location in locations:
        if sharers and burst_work < request_work * (sharers + location.weight):
            break
        sharers += location.weight
        is_own_included = is_own_included or location.zone == own_location
    return sharers if is_own_included else 0.0


def sharers_by_turn(
    burst_work: float, request_work: float, peer_index: int, peer_count: int, server: str
) -> int:
    """Return how many routers of one location share a burst now; 0: this router is not among them yet.

    Requires that each router knows its index among its peers (from 0). Routers are admitted one by one, once
    the burst covers one request (`request_work`) for each of them. A hash of the server name determines the
    first index, so that different routers come first at different servers and none stays idle.
    """
    sharers = min(peer_count, max(1, int(burst_work / max(request_work, MIN_REQUEST_WORK))))
    turn = (peer_index + crc32(server.encode())) % peer_count
    return sharers if turn < sharers else 0


class TokenBucket:
    """The share of one router in the budget of one server; a token is one second of transfer."""

    __slots__ = ("filled_at", "work")

    def __init__(self, since: float) -> None:
        """Create an empty bucket that fills from a Unix time on."""
        self.work = 0.0  # seconds of transfer in the bucket
        self.filled_at = since  # Unix time up to which the bucket is filled

    def fill(self, now: float, rate: float, max_work: float) -> float:
        """Fill the bucket up to now and return its content; rate: work per second; max_work: its depth."""
        self.work = min(self.work + max(0.0, now - self.filled_at) * rate, max_work)
        self.filled_at = now
        return self.work
