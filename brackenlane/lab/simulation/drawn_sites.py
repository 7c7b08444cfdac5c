"""Random sites, with parameters inside and outside the ranges of all sites known so far."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from brackenlane.lab.simulation.site import (
    ClassLoad,
    Fault,
    FaultKind,
    Location,
    Site,
    StatusReports,
    WeightAccuracy,
)
from brackenlane.routing.settings import Idempotency, RequestClass, Scope, SiblingSources, SlowStart

REQUESTS_PER_RUN = 1000  # approximate
MIN_RUN_SECONDS = 4.0
MAX_RUN_SECONDS = 16.0
SMALL_ONLY_SIZE_FACTOR = 3.0  # multiplies the mean size of small objects at a site without large ones


def draw_slow_start(rng: Random, min_share: float) -> SlowStart:
    """Draw the slow-start settings of recently started servers."""
    return SlowStart(
        rng.uniform(min_share, 0.5), rng.uniform(4.0, 25.0), rng.uniform(1.5, 5.0), rng.uniform(0.5, 2.0)
    )


def draw_large_objects(rng: Random, name: str) -> ClassLoad:
    """Draw a class of large objects: whole or in parts, fresh until purged or for a time; some streamed."""
    parts = rng.choice([1, 4, 12, 20])
    fresh = rng.choice([0.0, 0.0, 20.0])
    cls = RequestClass(
        name,
        latency_objective=rng.uniform(0.3, 1.0),
        time_limit=rng.uniform(3.0, 8.0),
        objective_stretch=rng.uniform(1.0, 3.0),
        value_weight=rng.uniform(1.0, 4.0),
        late_value=rng.uniform(0.0, 0.3),
        fresh_for=fresh,
        grace=rng.choice([0.0, 20.0]) if fresh else 0.0,
        stale_value=rng.uniform(0.3, 1.0),
        in_parts=parts > 1,
    )
    return ClassLoad(
        cls,
        share=rng.uniform(0.2, 0.7),
        mean_work=rng.uniform(0.2, 0.6),
        sigma=rng.uniform(0.3, 1.2),
        zipf=rng.uniform(0.8, 1.2),
        objects=max(30, 600 // parts),
        parts=parts,
        part_interval=rng.uniform(0.3, 0.9),
        local=rng.uniform(0.0, 0.4),
        streamed=rng.choice([False, False, False, True]),
    )


def draw_small_objects(rng: Random, name: str) -> ClassLoad:
    """Draw a class of small objects, most of them with a freshness lifetime."""
    fresh = rng.choice([0.0, 3.0, 8.0, 15.0])
    cls = RequestClass(
        name,
        latency_objective=rng.uniform(0.2, 0.5),
        time_limit=rng.uniform(1.5, 4.0),
        objective_stretch=rng.uniform(0.0, 3.0),
        value_weight=rng.uniform(0.5, 2.0),
        late_value=rng.uniform(0.0, 0.3),
        fresh_for=fresh,
        grace=rng.choice([0.0, 10.0, 40.0]) if fresh else 0.0,
        stale_value=rng.uniform(0.3, 1.0),
    )
    return ClassLoad(
        cls,
        share=rng.uniform(0.2, 0.6),
        mean_work=rng.uniform(0.03, 0.12),
        sigma=rng.uniform(0.3, 1.3),
        zipf=rng.uniform(0.9, 1.3),
        objects=rng.choice([60, 100, 200]),
        local=rng.uniform(0.0, 0.3),
    )


def draw_writes(rng: Random, name: str) -> ClassLoad:
    """Draw a class of writes: not idempotent, idempotent with a key within a time window, or idempotent."""
    cls = RequestClass(
        name,
        latency_objective=rng.uniform(0.4, 1.0),
        time_limit=rng.uniform(2.0, 4.0),
        value_weight=rng.uniform(1.0, 4.0),
        idempotency=rng.choice(list(Idempotency)),
        scope=rng.choice([Scope.ALL, Scope.ALL, Scope.ZONE, Scope.CELL]),
        repeat_window=rng.uniform(0.5, 6.0),
        uncached=True,
    )
    return ClassLoad(cls, share=rng.uniform(0.02, 0.08), mean_work=rng.uniform(0.01, 0.03))


def draw_class_loads(rng: Random) -> tuple[ClassLoad, ...]:
    """Draw one to four classes in random order; at least one of them is cached."""
    makers = [rng.choice([draw_large_objects, draw_small_objects])]
    makers += rng.choices([draw_large_objects, draw_small_objects, draw_writes], k=rng.randint(0, 3))
    rng.shuffle(makers)
    loads = [make(rng, f"class-{n}") for n, make in enumerate(makers)]
    if draw_large_objects not in makers:  # keeps the number of requests in a run small
        loads = [replace(load, mean_work=load.mean_work * SMALL_ONLY_SIZE_FACTOR) for load in loads]
    return tuple(loads)


def draw_faults(rng: Random, seconds: float) -> tuple[Fault, ...]:
    """Draw one or two faults that begin within the run."""
    kinds = rng.sample(list(FaultKind), rng.randint(1, 2))
    shares = {FaultKind.PURGE_GROUPS: (0.3, 0.8), FaultKind.OVERSIZE: (0.005, 0.03)}
    magnitudes = {
        FaultKind.FAST_ERRORS: (0.3, 0.9),
        FaultKind.ORIGIN_SLOW: (1.5, 6.0),
        FaultKind.OVERSIZE: (5.0, 30.0),
    }
    return tuple(
        Fault(
            kind,
            at=rng.uniform(0.05, 0.4) * seconds,
            seconds=rng.uniform(0.2, 0.5) * seconds,
            share=rng.uniform(*shares.get(kind, (0.05, 0.35))),
            magnitude=rng.uniform(*magnitudes.get(kind, (1.0, 2.0))),
            parents=rng.choice([False, True]),
        )
        for kind in kinds
    )


def draw_site(rng: Random) -> Site:
    """Draw a site with its load, faults and length of the run."""
    hubs = rng.randint(1, 4)
    locations = tuple(
        Location(
            rng.randint(0, hubs - 1),
            tuple(rng.uniform(2.5, 6.0) for _ in range(rng.randint(2, 4))),
            rng.randint(1, 2),
        )
        for _ in range(rng.randint(1, 4))
    )
    tick = rng.choice([0.001, 0.002, 0.005])
    site = Site(
        seed=rng.randint(0, 10_000),
        locations=locations,
        classes=draw_class_loads(rng),
        hubs=hubs,
        parents=tuple(rng.randint(0, hubs - 1) for _ in range(rng.randint(0, 4))),
        load=rng.uniform(0.3, 1.1),
        hit_ratio=rng.uniform(0.55, 0.8),
        pace_kb_per_s=rng.uniform(2000.0, 12000.0),
        fill_pace=rng.uniform(1.5, 4.0),
        link_capacity=rng.uniform(1.0, 1.6),
        parent_capacity=rng.uniform(1.0, 1.6),
        locations_per_parent=rng.uniform(1.5, 5.0),
        origin_capacity=rng.uniform(1.5, 2.6),
        origin_seconds=rng.uniform(0.015, 0.07),
        origin_queue_seconds=rng.uniform(0.3, 2.0),
        origin_stops_on_overload=rng.choice([False, True]),
        near_latency=rng.uniform(0.003, 0.015),
        latency_per_hub=rng.uniform(0.015, 0.05),
        fills_per_cache=rng.randint(6, 40),
        fill_timeout=rng.uniform(1.0, 4.0),
        abort_fill=rng.choice([False, True]),
        status_reports=rng.choice(list(StatusReports)),
        load_reports=rng.choice([False, True]),
        weights=rng.choice(list(WeightAccuracy)),
        links_known=rng.choice([False, True]),
        peers_known=rng.choice([False, True]),
        sizes_known=rng.choice([False, True]),
        sizes_seen=rng.choice([False, True]),
        may_bypass_caches=rng.choice([False, True]),
        may_join_fills=rng.choice([False, True]),
        siblings=rng.choice(list(SiblingSources)),
        may_cancel=rng.choice([True, True, False]),
        may_hedge=rng.choice([False, True]),
        max_attempts=rng.randint(2, 8),
        max_hold_off=rng.choice([0.0, 0.5]),
        edge_cold=draw_slow_start(rng, 0.15),
        parent_cold=draw_slow_start(rng, 0.05),
        drain_grace=rng.uniform(0.1, 1.0),
        purge_grace=rng.uniform(0.1, 1.0),
        purge_propagation_time=rng.uniform(3.0, 8.0),
        purge_notice_delay=rng.uniform(0.05, 0.4),
        purges_per_second=rng.uniform(0.0, 1.5),
        list_notice_delay=rng.uniform(0.3, 3.0),
        client_retries=rng.randint(0, 2),
        request_time_share=rng.uniform(0.5, 1.0),
        tick=tick,
        answer_slack=4 * tick,
    )
    rate = sum(site.request_rate(n) for n in range(len(locations)))
    seconds = max(MIN_RUN_SECONDS, min(MAX_RUN_SECONDS, REQUESTS_PER_RUN / rate))
    return replace(site, seconds=seconds, faults=draw_faults(rng, seconds))


def random_site(number: int) -> Site:
    """Return the random site of a seed.

    Hypothesis does not draw these sites: it also picks up constants from this code, so that any change of the
    code would change all sites.
    """
    return draw_site(Random(number))
