"""Checks a plan against its problem; it repeats the solver's calculations so as to share no fault with it."""

from __future__ import annotations

from brackenlane.placement.model import Plan, Problem, ShareBound

ROUNDING_TOLERANCE = 1e-5  # rounding error allowed in a share, and relative to a limit


def verify(problem: Problem, plan: Plan) -> list[str]:
    """Return a line for each violation in a plan; if there is none, the plan may be applied."""
    violations: list[str] = []
    cache_zones = {cache.id: cache.zone for cache in problem.caches}
    cache_loads = dict.fromkeys(cache_zones, 0.0)
    link_loads: dict[str, float] = {}
    for demand in problem.demands:
        [request_class] = [cls for cls in problem.classes if cls.name == demand.class_name]
        total = unplaced = plan.unplaced.get((demand.zone, demand.class_name), 1.0)
        for (zone, class_name, cache_id), share in plan.shares.items():
            if (zone, class_name) != (demand.zone, demand.class_name):
                continue
            total += share
            if not 0 <= share <= 1 or cache_zones.get(cache_id) != zone:
                violations.append(f"{cache_id} has {share} of {zone}'s {class_name}")
                continue
            cache_loads[cache_id] += share * demand.requests_per_s * request_class.mean_bytes
        if abs(total - 1) > ROUNDING_TOLERANCE:
            violations.append(f"{demand.zone}'s {demand.class_name}: shares sum to {total}")
        link_loads[demand.zone] = link_loads.get(demand.zone, 0.0) + (
            1 - unplaced
        ) * demand.requests_per_s * request_class.mean_bytes * (1 - request_class.hit_ratio)
    for cache in problem.caches:
        capacity = cache.warm_bytes_per_s
        age = problem.now - cache.started_at
        if cache.started_at and age < problem.slow_start.ramp:
            capacity *= (
                problem.slow_start.share
                + (1 - problem.slow_start.share) * max(age, 0.0) / problem.slow_start.ramp
            )
        if cache_loads[cache.id] > capacity + ROUNDING_TOLERANCE * max(1.0, cache.warm_bytes_per_s):
            violations.append(
                f"{cache.id} is given {cache_loads[cache.id]:.0f} bytes a second and bears {capacity:.0f}"
            )
    for zone, link in problem.link_bytes_per_s.items():
        if link_loads.get(zone, 0.0) > link + ROUNDING_TOLERANCE * max(1.0, link):
            violations.append(
                f"the link into {zone} is given {link_loads[zone]:.0f} bytes a second of {link:.0f}"
            )
    if sum(link_loads.values()) > problem.origin_bytes_per_s * (1 + ROUNDING_TOLERANCE):
        violations.append(f"the origin is asked for {sum(link_loads.values()):.0f} bytes a second")
    reported = {constraint.name: constraint.slack for constraint in plan.relaxed}
    for constraint in problem.constraints:
        for (_, class_name, cache_id), share in plan.shares.items():
            if (class_name, cache_id) == (constraint.class_name, constraint.cache_id):
                excess = (
                    constraint.share - share
                    if constraint.bound is ShareBound.AT_LEAST
                    else share - constraint.share
                )
                if excess > reported.get(constraint.name, 0.0) + ROUNDING_TOLERANCE:
                    violations.append(f"{constraint.name} gave way by {excess:.6f}, and that is not said")
    return violations
