"""Placements against brute force, an independent check, cold caches, and contradictory options."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenlane.placement.model import Constraint, Demand, Kind, PlacementCache, Preference, Problem
from brackenlane.placement.solve import solve
from brackenlane.placement.verify import verify
from brackenlane.routing.settings import SlowStart

COLD = SlowStart(0.3, 18.0, 3.0, 1.0)
KINDS = (Kind("video", 1000.0, 2.0, 0.7), Kind("pages", 300.0, 1.0, 0.5), Kind("large", 4000.0, 3.0, 0.0))


def site(
    caps: tuple[float, ...], kinds: int = 2, link: float = 1e9, cold: int = 0, per_s: float = 10.0
) -> Problem:
    """One branch; the first so many caches started just now."""
    caches = tuple(
        PlacementCache(f"box-{n}", "branch", cap, 1000.0 if n < cold else 0.0) for n, cap in enumerate(caps)
    )
    demands = tuple(Demand("branch", kind.name, per_s) for kind in KINDS[:kinds])
    return Problem(caches, KINDS[:kinds], demands, {"branch": link}, cold=COLD, now=1000.0)


def brute(problem: Problem, steps: int) -> float:
    """The most worth that any shares on a grid place, all rules kept."""
    caches, kinds = problem.caches, problem.kinds
    grid = itertools.product(range(steps + 1), repeat=len(caches))
    parts = np.array([shares for shares in grid if sum(shares) <= steps]) / steps
    placed = parts.sum(axis=1)
    bears = np.array([cache.bears(problem.cold, problem.now) for cache in caches])
    load = np.zeros((1, len(caches)))
    worth, over = np.zeros(1), np.zeros(1)
    for demand, kind in zip(problem.demands, kinds, strict=True):
        size = demand.per_s * kind.mean_bytes
        load = (load[:, None, :] + parts[None] * size).reshape(-1, len(caches))
        worth = (worth[:, None] + placed[None] * demand.per_s * kind.worth).ravel()
        over = (over[:, None] + placed[None] * size * (1 - kind.hit)).ravel()
        good = (load <= bears + 1e-6).all(axis=1) & (over <= problem.link_bytes_per_s["branch"] + 1e-6)
        load, worth, over = load[good], worth[good], over[good]
    return float(worth.max())


FAMILY = [
    (caps[:n], kinds, link, cold)
    for n in range(1, 7)
    for kinds in (1, 2, 3)
    for caps in ((4000.0,) * 6, (9000.0, 2000.0, 5000.0, 500.0, 7000.0, 1000.0))
    for link in (1e9, 6000.0, 900.0)
    for cold in (0, 1, n)
]


def test_brute_force() -> None:
    """On every instance of the family the solver is never worse than the grid, and the check agrees."""
    for caps, kinds, link, cold in FAMILY:
        problem = site(caps, kinds, link, cold)
        plan = solve(problem)
        assert verify(problem, plan) == []
        assert not plan.gave_way
        steps = {1: 8, 2: 8, 3: 4, 4: 3}.get(len(caps), 2)
        assert plan.worth_per_s >= brute(problem, steps) - 1e-3, (caps, kinds, link, cold, plan)


def test_restarted_cache() -> None:
    """Two caches, one just restarted: along its ramp it is never given more than it bears at any moment."""
    for step in range(0, 190, 5):
        problem = replace(site((9000.0, 9000.0), cold=1), now=1000.0 + step / 10)
        plan = solve(problem)
        assert verify(problem, plan) == []
        given_bytes = sum(plan.shares["branch", k.name, "box-0"] * 10 * k.mean_bytes for k in KINDS[:2])
        assert given_bytes <= problem.caches[0].bears(COLD, problem.now) * (1 + 1e-5)
        assert plan.worth_per_s == pytest.approx(30.0 if step >= 40 else plan.worth_per_s, abs=0.1)


@pytest.mark.parametrize(
    ("options", "gave", "conflict"),
    [
        ([("half", "box-0", Preference.AT_LEAST, 0.5)], None, ()),
        (
            [("half", "box-0", Preference.AT_LEAST, 0.5), ("none", "box-0", Preference.AT_MOST, 0.0)],
            "none",
            ("none", "half"),
        ),
        (
            [("none", "box-0", Preference.AT_MOST, 0.0), ("half", "box-0", Preference.AT_LEAST, 0.5)],
            "half",
            ("half", "none"),
        ),
        ([("all", "box-0", Preference.AT_LEAST, 1.0)], "all", ("box-0's capacity", "all")),
        (
            [
                ("a", "box-0", Preference.AT_LEAST, 0.3),
                ("b", "box-1", Preference.AT_LEAST, 0.4),
                ("c", "box-2", Preference.AT_LEAST, 0.4),
            ],
            "c",
            ("c", "b", "a"),
        ),
    ],
)
def test_conflicts(
    options: list[tuple[str, str, Preference, float]], gave: str | None, conflict: tuple[str, ...]
) -> None:
    """Wishes that can't all hold, in pairs, in threes and against a limit: the last gives way, and why."""
    problem = replace(
        site((6000.0,) * 3, kinds=1),
        constraints=tuple(
            Constraint(name, cache, "video", option, share) for name, cache, option, share in options
        ),
    )
    plan = solve(problem)
    assert verify(problem, plan) == []
    assert [found.name for found in plan.gave_way] == ([gave] if gave else [])
    if gave:
        assert plan.gave_way[0].conflict == conflict
        assert gave in plan.gave_way[0].line()


def test_movement() -> None:
    """With its own plan in force a problem moves nothing; one cache less moves what it had, not much more."""
    problem = site((6000.0, 7000.0, 8000.0, 9000.0))
    plan = solve(problem)
    again = solve(replace(problem, in_force=plan.shares))
    assert again.shares == pytest.approx(plan.shares, abs=1e-5)
    lost = replace(problem, caches=problem.caches[1:], in_force=plan.shares)
    after = solve(lost)
    assert verify(lost, after) == []
    moved = sum(abs(after.shares[key] - plan.shares[key]) for key in after.shares)
    assert moved <= 1.6 * sum(share for key, share in plan.shares.items() if key[2] == "box-0") + 1e-4
    assert solve(problem) == plan  # to the last digit


@pytest.mark.parametrize("seed", range(1, 5))
def test_many_caches(seed: int) -> None:
    """The crumbs of rounding the shares of twenty-five caches don't push over one that is full."""
    rng = random.Random(seed)
    zones = ("a", "b")
    caches = tuple(PlacementCache(f"box-{n}", zones[n % 2], rng.uniform(500, 9000)) for n in range(50))
    kinds = tuple(
        Kind(f"k{n}", rng.uniform(100, 4000), rng.uniform(0.5, 3), rng.uniform(0, 0.8)) for n in range(3)
    )
    each = sum(cache.bytes_per_s for cache in caches) / 6
    demands = tuple(
        Demand(zone, kind.name, rng.uniform(0.5, 1.3) * each / kind.mean_bytes)
        for zone in zones
        for kind in kinds
    )
    problem = Problem(caches, kinds, demands, dict.fromkeys(zones, 1.2 * each), cold=COLD)
    plan = solve(problem)
    assert verify(problem, plan) == []
    lost = replace(problem, caches=caches[1:], in_force=plan.shares)
    assert verify(lost, solve(lost)) == []


def test_verify_finds() -> None:
    """The check finds what a solver could do wrong, each of it."""
    problem = replace(
        site((4000.0, 4000.0), link=2000.0, cold=1),
        constraints=(Constraint("little", "box-1", "video", Preference.AT_MOST, 0.1),),
        origin_bytes_per_s=1500.0,
    )
    good = solve(problem)
    assert verify(problem, good) == []
    key = ("branch", "video", "box-0")
    for share, said in ((2.0, "box-0 has"), (0.9, "box-0 is given")):
        wrong = replace(good, shares={**good.shares, key: share})
        assert any(said in fault for fault in verify(problem, wrong))
    full = replace(good, shares={k: 0.5 for k in good.shares}, unplaced=dict.fromkeys(good.unplaced, 0.0))
    text = " ".join(verify(problem, full))
    for said in ("is given", "the link into branch", "the origin", "little gave way"):
        assert said in text
    assert "sum to" in " ".join(verify(problem, replace(good, unplaced={})))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    caps=st.lists(st.floats(0, 20_000), min_size=1, max_size=40),
    link=st.floats(0, 40_000),
    cold=st.integers(0, 5),
    per_s=st.floats(0.1, 50),
)
def test_any_site(caps: list[float], link: float, cold: int, per_s: float) -> None:
    """Any site to 40 caches, empty capacities included: the check agrees; a cache less is worth no more."""
    problem = site(tuple(caps), 3, link, min(cold, len(caps)), per_s)
    plan = solve(problem)
    assert verify(problem, plan) == []
    fewer = solve(replace(problem, caches=problem.caches[:-1]))
    assert fewer.worth_per_s <= plan.worth_per_s + 1e-3 * max(1.0, per_s)
