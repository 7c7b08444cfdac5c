"""Placements by linear programming, one goal after the other (HiGHS).

Goals, each kept while the next is sought: rules (what caches bear now, links, origin) never give way;
operators' wishes, the first of the list last; worth placed; bytes over links; the highest load of a cache, to
within a tenth; least movement from the shares in force. Deterministic: one thread, in the problem's order.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import highspy

from brackenlane.placement.model import GaveWay, Plan, Preference, Problem

TINY = 1e-7  # of a share, and of a limit
SLACK = 1.1  # of the lowest peak, for the sake of less movement
UNITS = 10**6  # shares are rounded to millionths that sum to one


@dataclass
class Row:
    """low <= sum of coefficients <= high."""

    name: str
    terms: dict[int, float]
    low: float
    high: float


@dataclass
class Program:
    """Variables by number, rows, and the goals so far as rows."""

    upper: list[float] = field(default_factory=list)
    rows: list[Row] = field(default_factory=list)

    def variable(self, upper: float = math.inf) -> int:
        """One more, from 0."""
        self.upper.append(upper)
        return len(self.upper) - 1

    def best(self, goal: dict[int, float], without: frozenset[str] = frozenset()) -> list[float] | None:
        """The values that make the goal least; None if nothing satisfies all rows but those left out."""
        solver = highspy.Highs()  # type: ignore[no-untyped-call]
        solver.setOptionValue("output_flag", False)
        solver.setOptionValue("threads", 1)
        solver.setOptionValue("random_seed", 1)
        for number, upper in enumerate(self.upper):
            solver.addVar(0.0, upper)
            if cost := goal.get(number):
                solver.changeColCost(number, cost)
        for row in self.rows:
            if row.name not in without and row.terms:
                solver.addRow(row.low, row.high, len(row.terms), list(row.terms), list(row.terms.values()))
        solver.run()
        if solver.getModelStatus() != highspy.HighsModelStatus.kOptimal:
            return None
        return list(solver.getSolution().col_value)

    def settle(self, name: str, goal: dict[int, float], slack: float = 0.0) -> list[float]:
        """Reach a goal as far as it goes, and keep it from now on."""
        values = self.best(goal)
        if values is None:
            raise ValueError(f"no placement at all: {name}")
        reached = sum(cost * values[number] for number, cost in goal.items())
        capacity = TINY * max(1.0, abs(reached)) + slack * abs(reached)
        self.rows.append(Row(f"goal: {name}", dict(goal), -math.inf, reached + capacity))
        return values


def solve(problem: Problem) -> Plan:
    """The best placement; what can't be placed is left out and said, so there always is one."""
    kinds = {kind.name: kind for kind in problem.kinds}
    program = Program()
    # The bytes of a demand as a share's weight, in units that keep the numbers near one.
    scale = max([d.per_s * kinds[d.kind].mean_bytes for d in problem.demands], default=1.0) or 1.0
    weight = {(d.zone, d.kind): d.per_s * kinds[d.kind].mean_bytes / scale for d in problem.demands}
    x = {
        (d.zone, d.kind, cache.id): program.variable(1.0)
        for d in problem.demands
        for cache in problem.caches
        if cache.zone == d.zone
    }
    out = {(d.zone, d.kind): program.variable(1.0) for d in problem.demands}
    for key, variable in out.items():
        mine = {number: 1.0 for (zone, kind, _), number in x.items() if (zone, kind) == key}
        program.rows.append(Row("all of a demand", {**mine, variable: 1.0}, 1.0, 1.0))
    peak = program.variable()
    limits: list[Row] = []
    for cache in problem.caches:
        load = {number: weight[zone, kind] for (zone, kind, name), number in x.items() if name == cache.id}
        bears = cache.bears(problem.cold, problem.now) / scale
        cold = "cold budget" if bears < cache.bytes_per_s / scale else "capacity"
        limits.append(Row(f"{cache.id}'s {cold}", load, -math.inf, bears))
        if load and bears:
            program.rows.append(Row("peak", {**load, peak: -bears}, -math.inf, 0.0))
    missed = {key: weight[key] * (1 - kinds[key[1]].hit) for key in out}
    for zone, link in problem.link_bytes_per_s.items():
        over = {out[key]: -miss for key, miss in missed.items() if key[0] == zone}
        limits.append(
            Row(
                f"the link into {zone}",
                over,
                -math.inf,
                link / scale - sum(miss for key, miss in missed.items() if key[0] == zone),
            )
        )
    if math.isfinite(problem.origin_bytes_per_s):
        limits.append(
            Row(
                "the origin",
                {out[key]: -miss for key, miss in missed.items()},
                -math.inf,
                problem.origin_bytes_per_s / scale - sum(missed.values()),
            )
        )
    program.rows += limits
    options = _preferences(problem, program, x)
    # What can't be kept in full gives way from the end of the list: the first wishes are settled first.
    values: list[float] = []
    for name, slack in options:
        values = program.settle(name, {slack: 1.0})
    gave = {name: values[slack] for name, slack in options if values[slack] > 10 * TINY}
    worth = {
        key: kinds[key[1]].worth * next(d.per_s for d in problem.demands if (d.zone, d.kind) == key)
        for key in out
    }
    most = max(worth.values(), default=1.0) or 1.0
    program.settle("worth", {out[key]: value / most for key, value in worth.items()})
    program.settle("link bytes", {out[key]: -miss for key, miss in missed.items()})
    values = program.settle("peak", {peak: 1.0}, SLACK - 1)
    if problem.in_force:
        values = program.settle("movement", _movement(problem, program, x, weight))
    shares, unplaced = _rounded(
        values,
        x,
        out,
        weight,
        {cache.id: cache.bears(problem.cold, problem.now) / scale for cache in problem.caches},
    )
    return Plan(
        shares,
        unplaced,
        tuple(
            GaveWay(name, by, _conflict(problem, program, limits, options, name)) for name, by in gave.items()
        ),
        sum(value * (1 - unplaced[key]) for key, value in worth.items()),
        scale * sum(miss * (1 - unplaced[key]) for key, miss in missed.items()),
        values[peak],
        tuple(
            row.name
            for row in limits
            if _used(row, values) >= row.high - 1e-6 * max(1.0, abs(row.high)) and row.terms
        ),
    )


def _preferences(
    problem: Problem, program: Program, x: dict[tuple[str, str, str], int]
) -> list[tuple[str, int]]:
    """Each wish as a row with a variable by which it may give way."""
    found: list[tuple[str, int]] = []
    for option in problem.constraints:
        for (_, kind, cache), number in x.items():
            if (kind, cache) == (option.kind, option.box):
                slack = program.variable()
                name = f"wish: {option.name}"
                found.append((option.name, slack))
                program.rows.append(
                    Row(name, {number: 1.0, slack: 1.0}, option.share, math.inf)
                    if option.preference is Preference.AT_LEAST
                    else Row(name, {number: 1.0, slack: -1.0}, -math.inf, option.share)
                )
    return found


def _movement(
    problem: Problem,
    program: Program,
    x: dict[tuple[str, str, str], int],
    weight: dict[tuple[str, str], float],
) -> dict[int, float]:
    """Bytes that change their cache, as a goal."""
    goal: dict[int, float] = {}
    for (zone, kind, cache), number in x.items():
        old = problem.in_force.get((zone, kind, cache), 0.0)
        moved = program.variable()
        program.rows.append(Row("moved", {number: 1.0, moved: -1.0}, -math.inf, old))
        program.rows.append(Row("moved", {number: 1.0, moved: 1.0}, old, math.inf))
        goal[moved] = weight[zone, kind]
    return goal


def _rounded(
    values: list[float],
    x: dict[tuple[str, str, str], int],
    out: dict[tuple[str, str], int],
    weight: dict[tuple[str, str], float],
    capacity: dict[str, float],
) -> tuple[dict[tuple[str, str, str], float], dict[tuple[str, str], float]]:
    """Millionths that sum to one: rounded down, what is left goes where there is room, else unplaced."""
    units = {name: math.floor(max(0.0, values[number]) * UNITS + 1e-4) for name, number in x.items()}
    for (zone, kind, cache), unit in units.items():
        capacity[cache] -= weight[zone, kind] * unit / UNITS
    unplaced: dict[tuple[str, str], float] = {}
    for key in out:
        mine = [name for name in units if name[:2] == key]
        spare = UNITS - sum(units[name] for name in mine)
        widest = max(mine, key=lambda name: capacity[name[2]], default=None)
        rounding = values[out[key]] * UNITS < 0.5 * len(mine) + 0.5  # else it is left out on purpose
        # Guards a cache that is full against the crumbs of forty others.
        if widest and rounding and weight[key] * spare / UNITS <= capacity[widest[2]]:
            units[widest] += spare
            capacity[widest[2]] -= weight[key] * spare / UNITS
            spare = 0
        unplaced[key] = spare / UNITS
    return {name: unit / UNITS for name, unit in units.items()}, unplaced


def _used(row: Row, values: list[float]) -> float:
    return sum(coefficient * values[number] for number, coefficient in row.terms.items())


def _conflict(
    problem: Problem, program: Program, limits: list[Row], options: list[tuple[str, int]], name: str
) -> tuple[str, ...]:
    """An irreducible set of wishes and limits that can't hold together with this wish (deletion filter)."""
    hard = Program(list(program.upper), [row for row in program.rows if not row.name.startswith("goal")])
    for _, slack in options:
        hard.upper[slack] = 0.0  # no wish may give way
    mine = f"wish: {name}"
    candidates = dict.fromkeys(
        [*(row.name for row in limits), *(f"wish: {option.name}" for option in reversed(problem.constraints))]
    )
    without: frozenset[str] = frozenset()
    for candidate in candidates:
        if candidate != mine and hard.best({}, without | {candidate}) is None:
            without |= {candidate}  # it fails without this one too, which so has no part in it
    retained = [candidate for candidate in candidates if candidate not in without]
    return tuple(candidate.removeprefix("wish: ") for candidate in retained)
