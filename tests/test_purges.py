"""Purges without end take bounded memory, and none of them is forgotten before its time."""

from __future__ import annotations

import pytest

from brackenlane.core.membership_view import MembershipView
from brackenlane.routing.events import Arrival, Purged
from brackenlane.routing.purges import MAX_PURGES, Purges
from tests.router_harness import TILES, VIDEO, settings

FLOOD = 5 * MAX_PURGES
PROPAGATION_TIME = 6.0


def arrival(number: int) -> Arrival:
    return Arrival("q1", 3.0, "video", f"{number:016x}", 0, 17)


@pytest.mark.parametrize("number", [0, MAX_PURGES // 2, MAX_PURGES, FLOOD - 1])
def test_flood_of_purges_is_bounded_and_forgets_none(number: int) -> None:
    purges = Purges(PROPAGATION_TIME, 0.002)
    view = MembershipView(settings(classes=(VIDEO, TILES), purge_propagation_time=PROPAGATION_TIME))
    for at in range(FLOOD):
        event = Purged(f"{at:016x}", -1, 0.0, 100.0 + at / FLOOD)
        purges.add(event, 100.0 + at / FLOOD)
        view.apply(event, 100.0 + at / FLOOD)
    assert len(purges) <= MAX_PURGES + 1
    assert len(view.purges) <= MAX_PURGES + 1
    assert len(view._purge_times_at_origin) == len(view.purges)
    purged_at = 100.0 + number / FLOOD
    assert 0 < purges.max_age(arrival(number), VIDEO, 103.0, stale=False) <= 103.0 - purged_at
    assert view.is_purged(arrival(number), purged_at)
    assert purges.max_age(arrival(number), VIDEO, 101.0 + 2 * PROPAGATION_TIME, stale=False) == 0
