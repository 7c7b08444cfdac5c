"""Cold budgets: what all routers together may send a server that started lately, with no word between them.

Pure: times are handed in, in Unix seconds; work is in transfer-seconds, a server's weight in transfers. The
rule is the platform's fourth (a cold server that is sent more than `factor` times what it can do, for `span`
seconds, falls over): a bucket of tokens holds what may come at once and fills as fast as the server works.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

from brackenlane.routing.settings import SlowStart

MARGIN = 0.85  # part of a cold budget that is used: weights and sizes are known roughly


def capacity_by_age(rule: SlowStart, weight: float, age: float) -> float:
    """Transfers that a server of this age (seconds) surely bears: at the slowest it warms in a line.

    The age is negative where the server's clock is ahead of ours; a ramp of 0 is over at any age.
    """
    warmed = max(0.0, age) / rule.ramp if rule.ramp else 1.0
    return MARGIN * weight * (rule.share + (1 - rule.share) * warmed)


def burst(rule: SlowStart, can: float) -> float:
    """Work that may come at once, on top of what is worked off meanwhile."""
    return (rule.factor - 1) * can * rule.span


def joined(capacity: float, unit: float, peer_locations: Iterable[tuple[str, float]], zone: str) -> float:
    """By how many routers a burst is shared now; 0: those of this zone have not joined yet.

    Split over all, no share pays for a request. So zones join in the order of `mates` (zone, routers), which
    all work out alike, as the burst grows to one request (`unit`, of work) for each of their routers.
    """
    sharers, mine = 0.0, False
    for name, router_count in peer_locations:
        if sharers and capacity < unit * (sharers + router_count):
            break
        sharers, mine = sharers + router_count, mine or name == zone
    return sharers if mine else 0.0


def turn_order(capacity: float, unit: float, peer_index: int, peer_locations: int, server: str) -> int:
    """By how many routers of one location a burst is shared now; 0: it is not yet this one's turn.

    Where each knows its place among its mates (from 0), they join one by one as the burst grows to one
    request (`unit`, of work) for each, from a place that the server's name gives: at each server others are
    first, none is idle.
    """
    few = min(peer_locations, max(1, int(capacity / max(unit, 1e-9))))
    return few if (peer_index + crc32(server.encode())) % peer_locations < few else 0


class TokenBucket:
    """One gateway's share of one server's budget."""

    __slots__ = ("work", "stamp")

    def __init__(self, since: float) -> None:
        """Empty at a Unix time."""
        self.work, self.stamp = 0.0, since

    def fill(self, now: float, rate: float, most: float) -> float:
        """The work that may be sent now, having filled at a rate (work a second) up to a bound."""
        self.work = min(self.work + max(0.0, now - self.stamp) * rate, most)
        self.stamp = now
        return self.work
