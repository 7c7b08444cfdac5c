"""Placement by lexicographic linear programming with the HiGHS solver.

The limits (present capacity of caches, links, origin) are always met. The goals are optimized one after the
other, each under the condition that those before it keep their optimum: the operator's constraints in their
order, the value of the requests placed, bytes over links, the highest utilization of a cache (to within a
tenth), and the least movement from the shares in force. The result is deterministic: HiGHS runs with one
thread, and variables and rows are added in the problem's order.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import highspy

from brackenlane.placement.model import Plan, Problem, RelaxedConstraint, ShareBound

TOLERANCE = 1e-7  # numerical error allowed in a share and in the optimum of a goal (relative above 1)
PEAK_FACTOR = 1.1  # factor by which the peak may exceed its optimum, so that less demand has to move
SHARE_UNITS = 10**6  # shares are rounded to multiples of 1 / SHARE_UNITS that sum to one


@dataclass
class Row:
    """A linear constraint: low <= sum of coefficient * variable <= high."""

    name: str
    coefficients: dict[int, float]  # keyed by the index of the variable
    low: float
    high: float


@dataclass
class LinearProgram:
    """Variables with a lower bound of 0, and rows; a goal that was optimized becomes a row."""

    upper_bounds: list[float] = field(default_factory=list)  # indexed like the variables
    rows: list[Row] = field(default_factory=list)

    def add_variable(self, upper_bound: float = math.inf) -> int:
        """Add a variable and return its index."""
        self.upper_bounds.append(upper_bound)
        return len(self.upper_bounds) - 1

    def minimize(
        self, goal: dict[int, float], excluded_rows: frozenset[str] = frozenset()
    ) -> list[float] | None:
        """Return the values of all variables at the minimum of a goal; None if the program is infeasible.

        excluded_rows: names of the rows to leave out.
        """
        solver = highspy.Highs()  # type: ignore[no-untyped-call]
        solver.setOptionValue("output_flag", False)
        solver.setOptionValue("threads", 1)
        solver.setOptionValue("random_seed", 1)
        for variable, upper_bound in enumerate(self.upper_bounds):
            solver.addVar(0.0, upper_bound)
            if cost := goal.get(variable):
                solver.changeColCost(variable, cost)
        for row in self.rows:
            if row.name not in excluded_rows and row.coefficients:
                solver.addRow(
                    row.low,
                    row.high,
                    len(row.coefficients),
                    list(row.coefficients),
                    list(row.coefficients.values()),
                )
        solver.run()
        if solver.getModelStatus() != highspy.HighsModelStatus.kOptimal:
            return None
        return list(solver.getSolution().col_value)

    def minimize_and_fix(self, name: str, goal: dict[int, float], slack: float = 0.0) -> list[float]:
        """Minimize a goal and add a row that keeps it within this relative slack of its minimum."""
        values = self.minimize(goal)
        if values is None:
            raise ValueError(f"no feasible placement for the goal {name}")
        optimum = sum(cost * values[variable] for variable, cost in goal.items())
        margin = TOLERANCE * max(1.0, abs(optimum)) + slack * abs(optimum)
        self.rows.append(Row(f"goal: {name}", dict(goal), -math.inf, optimum + margin))
        return values


def solve(problem: Problem) -> Plan:
    """Return the best placement. Demand that cannot be placed is reported in it, so there always is one."""
    classes = {cls.name: cls for cls in problem.classes}
    program = LinearProgram()
    # Byte rates are divided by the largest demand, which keeps the coefficients near one.
    scale = (
        max([d.requests_per_s * classes[d.class_name].mean_bytes for d in problem.demands], default=1.0)
        or 1.0
    )
    demand_rates = {
        (d.zone, d.class_name): d.requests_per_s * classes[d.class_name].mean_bytes / scale
        for d in problem.demands
    }
    share_variables = {
        (d.zone, d.class_name, cache.id): program.add_variable(1.0)
        for d in problem.demands
        for cache in problem.caches
        if cache.zone == d.zone
    }
    unplaced_variables = {(d.zone, d.class_name): program.add_variable(1.0) for d in problem.demands}
    for key, unplaced_variable in unplaced_variables.items():
        coefficients = {
            variable: 1.0
            for (zone, class_name, _), variable in share_variables.items()
            if (zone, class_name) == key
        }
        program.rows.append(Row("all of a demand", {**coefficients, unplaced_variable: 1.0}, 1.0, 1.0))
    peak = program.add_variable()
    limits: list[Row] = []
    for cache in problem.caches:
        load = {
            variable: demand_rates[zone, class_name]
            for (zone, class_name, cache_id), variable in share_variables.items()
            if cache_id == cache.id
        }
        capacity = cache.capacity_at(problem.slow_start, problem.now) / scale
        limit_name = "cold budget" if capacity < cache.warm_bytes_per_s / scale else "capacity"
        limits.append(Row(f"{cache.id}'s {limit_name}", load, -math.inf, capacity))
        if load and capacity:
            program.rows.append(Row("peak", {**load, peak: -capacity}, -math.inf, 0.0))
    miss_rates = {key: demand_rates[key] * (1 - classes[key[1]].hit_ratio) for key in unplaced_variables}
    for zone, link in problem.link_bytes_per_s.items():
        link_load = {unplaced_variables[key]: -rate for key, rate in miss_rates.items() if key[0] == zone}
        limits.append(
            Row(
                f"the link into {zone}",
                link_load,
                -math.inf,
                link / scale - sum(rate for key, rate in miss_rates.items() if key[0] == zone),
            )
        )
    if math.isfinite(problem.origin_bytes_per_s):
        limits.append(
            Row(
                "the origin",
                {unplaced_variables[key]: -rate for key, rate in miss_rates.items()},
                -math.inf,
                problem.origin_bytes_per_s / scale - sum(miss_rates.values()),
            )
        )
    program.rows += limits
    slack_variables = _add_constraints(problem, program, share_variables)
    # Relaxations are minimized in the order of the constraints, so the last constraints are relaxed first.
    values: list[float] = []
    for name, slack in slack_variables:
        values = program.minimize_and_fix(name, {slack: 1.0})
    relaxations = {name: values[slack] for name, slack in slack_variables if values[slack] > 10 * TOLERANCE}
    value_rates = {
        key: classes[key[1]].request_value
        * next(d.requests_per_s for d in problem.demands if (d.zone, d.class_name) == key)
        for key in unplaced_variables
    }
    largest = max(value_rates.values(), default=1.0) or 1.0
    program.minimize_and_fix(
        "worth", {unplaced_variables[key]: rate / largest for key, rate in value_rates.items()}
    )
    program.minimize_and_fix(
        "link bytes", {unplaced_variables[key]: -rate for key, rate in miss_rates.items()}
    )
    values = program.minimize_and_fix("peak", {peak: 1.0}, PEAK_FACTOR - 1)
    if problem.current_shares:
        values = program.minimize_and_fix(
            "movement", _add_movement(problem, program, share_variables, demand_rates)
        )
    shares, unplaced = _round_shares(
        values,
        share_variables,
        unplaced_variables,
        demand_rates,
        {cache.id: cache.capacity_at(problem.slow_start, problem.now) / scale for cache in problem.caches},
    )
    return Plan(
        shares,
        unplaced,
        tuple(
            RelaxedConstraint(
                name, relaxation, _find_conflict(problem, program, limits, slack_variables, name)
            )
            for name, relaxation in relaxations.items()
        ),
        sum(rate * (1 - unplaced[key]) for key, rate in value_rates.items()),
        scale * sum(rate * (1 - unplaced[key]) for key, rate in miss_rates.items()),
        values[peak],
        tuple(
            row.name
            for row in limits
            if _row_value(row, values) >= row.high - 1e-6 * max(1.0, abs(row.high)) and row.coefficients
        ),
    )


def _add_constraints(
    problem: Problem, program: LinearProgram, share_variables: dict[tuple[str, str, str], int]
) -> list[tuple[str, int]]:
    """Add a row for each operator's constraint; return its name and the slack variable that relaxes it."""
    slack_variables: list[tuple[str, int]] = []
    for constraint in problem.constraints:
        for (_, class_name, cache_id), variable in share_variables.items():
            if (class_name, cache_id) == (constraint.class_name, constraint.cache_id):
                slack = program.add_variable()
                name = f"wish: {constraint.name}"
                slack_variables.append((constraint.name, slack))
                program.rows.append(
                    Row(name, {variable: 1.0, slack: 1.0}, constraint.share, math.inf)
                    if constraint.bound is ShareBound.AT_LEAST
                    else Row(name, {variable: 1.0, slack: -1.0}, -math.inf, constraint.share)
                )
    return slack_variables


def _add_movement(
    problem: Problem,
    program: LinearProgram,
    share_variables: dict[tuple[str, str, str], int],
    demand_rates: dict[tuple[str, str], float],
) -> dict[int, float]:
    """Add variables for the changes of shares; return the goal that sums the bytes moved."""
    goal: dict[int, float] = {}
    for (zone, class_name, cache_id), variable in share_variables.items():
        current = problem.current_shares.get((zone, class_name, cache_id), 0.0)
        change = program.add_variable()
        program.rows.append(Row("moved", {variable: 1.0, change: -1.0}, -math.inf, current))
        program.rows.append(Row("moved", {variable: 1.0, change: 1.0}, current, math.inf))
        goal[change] = demand_rates[zone, class_name]
    return goal


def _round_shares(
    values: list[float],
    share_variables: dict[tuple[str, str, str], int],
    unplaced_variables: dict[tuple[str, str], int],
    demand_rates: dict[tuple[str, str], float],
    free_capacity: dict[str, float],
) -> tuple[dict[tuple[str, str, str], float], dict[tuple[str, str], float]]:
    """Round shares down to SHARE_UNITS and return them with the unplaced shares; each demand sums to one.

    What rounding leaves over goes to the cache with the most free capacity if it fits there, else it is
    unplaced. free_capacity: capacity of each cache, from which the rounded loads are subtracted.
    """
    units = {
        share_key: math.floor(max(0.0, values[variable]) * SHARE_UNITS + 1e-4)
        for share_key, variable in share_variables.items()
    }
    for (zone, class_name, cache_id), count in units.items():
        free_capacity[cache_id] -= demand_rates[zone, class_name] * count / SHARE_UNITS
    unplaced: dict[tuple[str, str], float] = {}
    for key in unplaced_variables:
        share_keys = [share_key for share_key in units if share_key[:2] == key]
        remainder = SHARE_UNITS - sum(units[share_key] for share_key in share_keys)
        freest = max(share_keys, key=lambda share_key: free_capacity[share_key[2]], default=None)
        # A remainder beyond what rounding explains is demand that the solver left unplaced.
        is_rounding = values[unplaced_variables[key]] * SHARE_UNITS < 0.5 * len(share_keys) + 0.5
        # Without this check the rounding remainders of forty other caches can overload a full cache.
        if freest and is_rounding and demand_rates[key] * remainder / SHARE_UNITS <= free_capacity[freest[2]]:
            units[freest] += remainder
            free_capacity[freest[2]] -= demand_rates[key] * remainder / SHARE_UNITS
            remainder = 0
        unplaced[key] = remainder / SHARE_UNITS
    return {share_key: count / SHARE_UNITS for share_key, count in units.items()}, unplaced


def _row_value(row: Row, values: list[float]) -> float:
    return sum(coefficient * values[variable] for variable, coefficient in row.coefficients.items())


def _find_conflict(
    problem: Problem,
    program: LinearProgram,
    limits: list[Row],
    slack_variables: list[tuple[str, int]],
    name: str,
) -> tuple[str, ...]:
    """Return an irreducible set of constraints and limits that cannot all be met (deletion filter).

    name: the constraint that is always part of the set.
    """
    strict = LinearProgram(
        list(program.upper_bounds), [row for row in program.rows if not row.name.startswith("goal")]
    )
    for _, slack in slack_variables:
        strict.upper_bounds[slack] = 0.0  # no constraint may be relaxed
    required = f"wish: {name}"
    candidates = dict.fromkeys(
        [
            *(row.name for row in limits),
            *(f"wish: {constraint.name}" for constraint in reversed(problem.constraints)),
        ]
    )
    excluded: frozenset[str] = frozenset()
    for candidate in candidates:
        if candidate != required and strict.minimize({}, excluded | {candidate}) is None:
            excluded |= {candidate}  # the rest is infeasible without it, so it is redundant
    conflict = [candidate for candidate in candidates if candidate not in excluded]
    return tuple(candidate.removeprefix("wish: ") for candidate in conflict)
