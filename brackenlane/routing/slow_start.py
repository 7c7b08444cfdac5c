"""The work that all routers together may send a server that started lately, shared without messages.

Pure. Times are Unix seconds, work is in seconds of transfer at the highest pace, capacity and weight are in
transfers at a time. The rule (page WIRE-brackenlane, "Lines not to cross", 4): a server that is warming up
and is sent more than `factor` times what it bears, for `span` seconds, fails. A token bucket holds what may
come at once, and fills as fast as the server works.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

from brackenlane.routing.members import Member
from brackenlane.routing.settings import SlowStart

MARGIN = 0.85  # share of a budget that is used: weights and sizes are known roughly
SMALLEST_UNIT = 1e-9  # of work; it keeps a division from being by zero


def capacity_by_age(rule: SlowStart, weight: float, age: float) -> float:
    """Return the transfers at a time that a server certainly bears at an age in seconds.

    The real ramp is unknown; the slowest that the rule allows is linear. A negative age counts as 0: the
    server's clock may be ahead of ours. A ramp of 0 is over at any age.
    """
    warmth = max(0.0, age) / rule.ramp if rule.ramp else 1.0
    return MARGIN * weight * (rule.share + (1 - rule.share) * warmth)


def burst(rule: SlowStart, capacity: float) -> float:
    """Return the work that may come at once, beside what the server works off in the meantime."""
    return (rule.factor - 1) * capacity * rule.span


def sharers_by_location(burst_work: float, unit: float, locations: Iterable[Member], own: str) -> float:
    """Return how many routers share a burst now; 0: those of the own location do not share it yet.

    Divided among all routers, no share would suffice for a request. So locations join in the given order,
    which all routers know, as the burst grows to one request (`unit`, of work) for each of their routers.
    locations: each with its name as `zone` and its number of routers as `weight`.
    """
    sharers = 0.0
    is_own_included = False
    for location in locations:
        if sharers and burst_work < unit * (sharers + location.weight):
            break
        sharers += location.weight
        is_own_included = is_own_included or location.zone == own
    return sharers if is_own_included else 0.0


def sharers_by_turn(burst_work: float, unit: float, peer_index: int, peer_count: int, server: str) -> int:
    """Return how many routers of one location share a burst now; 0: it is not yet this one's turn.

    Where each router knows its index among its peers (from 0), they join one by one as the burst grows to
    one request (`unit`, of work) for each. The order begins at an index that the server's name gives: at each
    server other routers are first, and none is idle.
    """
    sharers = min(peer_count, max(1, int(burst_work / max(unit, SMALLEST_UNIT))))
    turn = (peer_index + crc32(server.encode())) % peer_count
    return sharers if turn < sharers else 0


class TokenBucket:
    """One router's share of one server's budget; a token is a second of transfer."""

    __slots__ = ("stamp", "work")

    def __init__(self, since: float) -> None:
        """Create an empty bucket that fills from a time, in Unix seconds."""
        self.work = 0.0  # in the bucket
        self.stamp = since  # when that was so

    def fill(self, now: float, rate: float, most: float) -> float:
        """Return the work in the bucket once filled until now, at a rate (work a second), to a bound."""
        self.work = min(self.work + max(0.0, now - self.stamp) * rate, most)
        self.stamp = now
        return self.work
