"""Whole sites drawn at random, inside and outside the ranges of all sites known so far."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from brackenlane.lab.simulation.site import (
    ClassLoad,
    Location,
    Site,
    StatusReports,
    Trouble,
    TroubleKind,
    Weights,
)
from brackenlane.routing.settings import Idempotency, RequestClass, Scope, SiblingSources, SlowStart

REQUESTS = 1000  # of one day, about
SHORTEST = 4.0
LONGEST = 16.0  # seconds of one day
SMALL_ALONE = 3.0  # times the usual size of small objects where there are no others


def cold_rules(draw: Random, least: float) -> SlowStart:
    """A rule for servers that started lately."""
    return SlowStart(
        draw.uniform(least, 0.5), draw.uniform(4.0, 25.0), draw.uniform(1.5, 5.0), draw.uniform(0.5, 2.0)
    )


def large_objects(draw: Random, name: str) -> ClassLoad:
    """Objects in parts or whole, good until purged or for some time, now and then streamed."""
    parts = draw.choice([1, 4, 12, 20])
    fresh = draw.choice([0.0, 0.0, 20.0])
    cls = RequestClass(
        name,
        latency_objective=draw.uniform(0.3, 1.0),
        time_limit=draw.uniform(3.0, 8.0),
        objective_stretch=draw.uniform(1.0, 3.0),
        value_weight=draw.uniform(1.0, 4.0),
        late_value=draw.uniform(0.0, 0.3),
        fresh_for=fresh,
        grace=draw.choice([0.0, 20.0]) if fresh else 0.0,
        stale_value=draw.uniform(0.3, 1.0),
        in_parts=parts > 1,
    )
    return ClassLoad(
        cls,
        share=draw.uniform(0.2, 0.7),
        mean_work=draw.uniform(0.2, 0.6),
        sigma=draw.uniform(0.3, 1.2),
        zipf=draw.uniform(0.8, 1.2),
        objects=max(30, 600 // parts),
        parts=parts,
        gap=draw.uniform(0.3, 0.9),
        local=draw.uniform(0.0, 0.4),
        streamed=draw.choice([False, False, False, True]),
    )


def small_objects(draw: Random, name: str) -> ClassLoad:
    """Small objects, often with a fresh time."""
    fresh = draw.choice([0.0, 3.0, 8.0, 15.0])
    cls = RequestClass(
        name,
        latency_objective=draw.uniform(0.2, 0.5),
        time_limit=draw.uniform(1.5, 4.0),
        objective_stretch=draw.uniform(0.0, 3.0),
        value_weight=draw.uniform(0.5, 2.0),
        late_value=draw.uniform(0.0, 0.3),
        fresh_for=fresh,
        grace=draw.choice([0.0, 10.0, 40.0]) if fresh else 0.0,
        stale_value=draw.uniform(0.3, 1.0),
    )
    return ClassLoad(
        cls,
        share=draw.uniform(0.2, 0.6),
        mean_work=draw.uniform(0.03, 0.12),
        sigma=draw.uniform(0.3, 1.3),
        zipf=draw.uniform(0.9, 1.3),
        objects=draw.choice([60, 100, 200]),
        local=draw.uniform(0.0, 0.3),
    )


def writes(draw: Random, name: str) -> ClassLoad:
    """Writes that must not run twice, or only within a window, or as often as one likes."""
    cls = RequestClass(
        name,
        latency_objective=draw.uniform(0.4, 1.0),
        time_limit=draw.uniform(2.0, 4.0),
        value_weight=draw.uniform(1.0, 4.0),
        idempotency=draw.choice(list(Idempotency)),
        scope=draw.choice([Scope.ALL, Scope.ALL, Scope.ZONE, Scope.CELL]),
        repeat_window=draw.uniform(0.5, 6.0),
        uncached=True,
    )
    return ClassLoad(cls, share=draw.uniform(0.02, 0.08), mean_work=draw.uniform(0.01, 0.03))


def loads(draw: Random) -> tuple[ClassLoad, ...]:
    """One to four classes in any order; one at least is kept."""
    found = [draw.choice([large_objects, small_objects])]
    found += draw.choices([large_objects, small_objects, writes], k=draw.randint(0, 3))
    draw.shuffle(found)
    drawn = [kind(draw, f"class-{n}") for n, kind in enumerate(found)]
    if large_objects not in found:  # else a day holds too many requests
        drawn = [replace(load, mean_work=load.mean_work * SMALL_ALONE) for load in drawn]
    return tuple(drawn)


def troubles(draw: Random, seconds: float) -> tuple[Trouble, ...]:
    """One or two troubles, within the day."""
    kinds = draw.sample(list(TroubleKind), draw.randint(1, 2))
    parts = {TroubleKind.PURGE_GROUPS: (0.3, 0.8), TroubleKind.OVERSIZE: (0.005, 0.03)}
    sizes = {
        TroubleKind.FAST_ERRORS: (0.3, 0.9),
        TroubleKind.ORIGIN_SLOW: (1.5, 6.0),
        TroubleKind.OVERSIZE: (5.0, 30.0),
    }
    return tuple(
        Trouble(
            kind,
            at=draw.uniform(0.05, 0.4) * seconds,
            seconds=draw.uniform(0.2, 0.5) * seconds,
            part=draw.uniform(*parts.get(kind, (0.05, 0.35))),
            size=draw.uniform(*sizes.get(kind, (1.0, 2.0))),
            parents=draw.choice([False, True]),
        )
        for kind in kinds
    )


def sites(draw: Random) -> Site:
    """A whole site and a day on it."""
    hubs = draw.randint(1, 4)
    locations = tuple(
        Location(
            draw.randint(0, hubs - 1),
            tuple(draw.uniform(2.5, 6.0) for _ in range(draw.randint(2, 4))),
            draw.randint(1, 2),
        )
        for _ in range(draw.randint(1, 4))
    )
    tick = draw.choice([0.001, 0.002, 0.005])
    site = Site(
        seed=draw.randint(0, 10_000),
        locations=locations,
        classes=loads(draw),
        hubs=hubs,
        parents=tuple(draw.randint(0, hubs - 1) for _ in range(draw.randint(0, 4))),
        load=draw.uniform(0.3, 1.1),
        hits=draw.uniform(0.55, 0.8),
        pace_kb_per_s=draw.uniform(2000.0, 12000.0),
        fill_pace=draw.uniform(1.5, 4.0),
        link_capacity=draw.uniform(1.0, 1.6),
        parent_capacity=draw.uniform(1.0, 1.6),
        per_parent=draw.uniform(1.5, 5.0),
        origin_capacity=draw.uniform(1.5, 2.6),
        origin_seconds=draw.uniform(0.015, 0.07),
        origin_queue_seconds=draw.uniform(0.3, 2.0),
        origin_falls=draw.choice([False, True]),
        near=draw.uniform(0.003, 0.015),
        far=draw.uniform(0.015, 0.05),
        fills_per_cache=draw.randint(6, 40),
        fill_timeout=draw.uniform(1.0, 4.0),
        abort_fill=draw.choice([False, True]),
        status_reports=draw.choice(list(StatusReports)),
        report_x0=draw.choice([False, True]),
        weights=draw.choice(list(Weights)),
        links_known=draw.choice([False, True]),
        peers_known=draw.choice([False, True]),
        sizes_known=draw.choice([False, True]),
        sizes_seen=draw.choice([False, True]),
        may_bypass_caches=draw.choice([False, True]),
        may_join_fills=draw.choice([False, True]),
        siblings=draw.choice(list(SiblingSources)),
        may_cancel=draw.choice([True, True, False]),
        may_hedge=draw.choice([False, True]),
        max_attempts=draw.randint(2, 8),
        max_hold_off=draw.choice([0.0, 0.5]),
        edge_cold=cold_rules(draw, 0.15),
        parent_cold=cold_rules(draw, 0.05),
        drain_grace=draw.uniform(0.1, 1.0),
        purge_grace=draw.uniform(0.1, 1.0),
        purge_propagation_time=draw.uniform(3.0, 8.0),
        purge_notice_delay=draw.uniform(0.05, 0.4),
        purges_per_second=draw.uniform(0.0, 1.5),
        list_notice=draw.uniform(0.3, 3.0),
        client_retries=draw.randint(0, 2),
        try_share=draw.uniform(0.5, 1.0),
        tick=tick,
        answer_slack=4 * tick,
    )
    rate = sum(site.request_rate(n) for n in range(len(locations)))
    seconds = max(SHORTEST, min(LONGEST, REQUESTS / rate))
    return replace(site, seconds=seconds, troubles=troubles(draw, seconds))


def drawn(number: int) -> Site:
    """The site of a seed. Not by Hypothesis: it draws constants of this code too, so any change moved all."""
    return sites(Random(number))
