"""Whether a plan keeps what it must, worked out anew from the problem: nothing is shared with the solver."""

from __future__ import annotations

from brackenlane.placement.model import Plan, Preference, Problem

SMALL = 1e-5  # of a share, and of a limit: rounding


def verify(problem: Problem, plan: Plan) -> list[str]:
    """All that is wrong with a plan; nothing: it may be put in force."""
    faults: list[str] = []
    zones = {cache.id: cache.zone for cache in problem.caches}
    load = dict.fromkeys(zones, 0.0)
    over: dict[str, float] = {}
    for demand in problem.demands:
        [kind] = [k for k in problem.kinds if k.name == demand.kind]
        total = left = plan.unplaced.get((demand.zone, demand.kind), 1.0)
        for (zone, name, server), share in plan.shares.items():
            if (zone, name) != (demand.zone, demand.kind):
                continue
            total += share
            if not 0 <= share <= 1 or zones.get(server) != zone:
                faults.append(f"{server} has {share} of {zone}'s {name}")
                continue
            load[server] += share * demand.per_s * kind.mean_bytes
        if abs(total - 1) > SMALL:
            faults.append(f"{demand.zone}'s {demand.kind}: shares sum to {total}")
        over[demand.zone] = over.get(demand.zone, 0.0) + (1 - left) * demand.per_s * kind.mean_bytes * (
            1 - kind.hit
        )
    for cache in problem.caches:
        bears = cache.bytes_per_s
        age = problem.now - cache.started
        if cache.started and age < problem.cold.ramp:
            bears *= problem.cold.share + (1 - problem.cold.share) * max(age, 0.0) / problem.cold.ramp
        if load[cache.id] > bears + SMALL * max(1.0, cache.bytes_per_s):
            faults.append(f"{cache.id} is given {load[cache.id]:.0f} bytes a second and bears {bears:.0f}")
    for zone, link in problem.link_bytes_per_s.items():
        if over.get(zone, 0.0) > link + SMALL * max(1.0, link):
            faults.append(f"the link into {zone} is given {over[zone]:.0f} bytes a second of {link:.0f}")
    if sum(over.values()) > problem.origin_bytes_per_s * (1 + SMALL):
        faults.append(f"the origin is asked for {sum(over.values()):.0f} bytes a second")
    said = {gave.name: gave.by for gave in plan.gave_way}
    for option in problem.constraints:
        for (_, name, server), share in plan.shares.items():
            if (name, server) == (option.kind, option.box):
                short = (
                    option.share - share if option.preference is Preference.AT_LEAST else share - option.share
                )
                if short > said.get(option.name, 0.0) + SMALL:
                    faults.append(f"{option.name} gave way by {short:.6f}, and that is not said")
    return faults
