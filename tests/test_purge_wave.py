"""A purge of half of the groups under load must not cause a burst of duplicate fetches at the origin.

Each purged copy is fetched again about once, although many caches miss it at the same time.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from brackenlane.lab.simulation import invariants
from brackenlane.lab.simulation.record import Record
from brackenlane.lab.simulation.servers import CacheRequest
from brackenlane.lab.simulation.site import ClassLoad, Fault, FaultKind, Location, Site, StatusReports
from brackenlane.lab.simulation.streams import Stream
from brackenlane.lab.simulation.value import served_value
from brackenlane.lab.simulation.world import START_TIME, PolicyFactory, World
from brackenlane.routing import Router
from brackenlane.routing.actions import Action, Fetch
from brackenlane.routing.events import Event
from tests.test_simulated_caches import KEYED, PAGE, VIDEO

PURGE_AT = 5.0  # seconds after the start of the run
WATCHED_SECONDS = 6.0  # seconds after the purge in which the servers remove older copies
MAX_FETCHES_PER_COPY = 2.0  # mean fetches of a copy from the origin in that time: one by each parent
MIN_SERVED_VALUE = 0.95  # share of the requested value


def purge_site(seed: int, status_reports: StatusReports) -> Site:
    """Two hubs with a parent each, eight locations, and an origin that stops when overloaded."""
    return Site(
        seed=seed,
        hubs=2,
        locations=tuple(Location(hub, (4.0, 4.0)) for hub in (0, 0, 0, 0, 1, 1, 1, 1)),
        classes=(
            ClassLoad(VIDEO, 0.5, 0.4, objects=12, parts=6, local=0.0, one_time_share=0.0),
            ClassLoad(PAGE, 0.4, 0.07, objects=40, local=0.0, one_time_share=0.0),
            ClassLoad(replace(KEYED, repeat_window=6.0), 0.1, 0.02),
        ),
        parents=(0, 1),
        load=0.6,
        status_reports=status_reports,
        origin_stops_on_overload=True,
        may_bypass_caches=False,
        purges_per_second=0.0,
        faults=(Fault(FaultKind.PURGE_GROUPS, PURGE_AT, 1.0, share=0.5),),
    )


def run_counting_fetches(site: Site, policy: PolicyFactory) -> tuple[Record, Counter[str]]:
    """Return the record of the run and the number of fetches of each copy from the origin after the purge."""
    world, copies = World(site, policy), Counter[str]()
    serve_copy = world.origin.serve_copy

    def count(request: CacheRequest, min_issued: float, stream: Stream) -> None:
        if request.cls is VIDEO and PURGE_AT <= world.queue.now - START_TIME < PURGE_AT + WATCHED_SECONDS:
            copies[request.copy] += 1
        serve_copy(request, min_issued, stream)

    world.origin.serve_copy = count  # type: ignore[method-assign]
    return world.run(), copies


class FillsFromOrigin(Router):
    """A faulty router that names the origin as the source of every fill."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Return the actions of the router with the source replaced."""
        actions = super().handle(event, now)
        return [replace(a, source="origin") if isinstance(a, Fetch) and a.source else a for a in actions]


@pytest.mark.parametrize("status_reports", [StatusReports.ALL, StatusReports.SILENT])
@pytest.mark.parametrize("seed", [3, 4, 5])
def test_each_purged_copy_is_fetched_about_once(seed: int, status_reports: StatusReports) -> None:
    """Each parent fetches a copy once, with one more fetch at most; the origin does not stop."""
    site = purge_site(seed, status_reports)
    record, copies = run_counting_fetches(site, Router)
    assert max(copies.values()) <= len(site.parents) + 1
    assert sum(copies.values()) <= MAX_FETCHES_PER_COPY * len(copies)
    assert record.origin_stops == 0
    assert served_value(record) >= MIN_SERVED_VALUE
    assert invariants.violations(site, record) == {}


def test_burst_of_fetches_is_detected() -> None:
    """Fills of every cache from the origin exceed the bound of the test above."""
    _, copies = run_counting_fetches(purge_site(3, StatusReports.ALL), FillsFromOrigin)
    assert sum(copies.values()) > MAX_FETCHES_PER_COPY * len(copies)
