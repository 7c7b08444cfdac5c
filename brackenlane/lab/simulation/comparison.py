"""Runs one site under the tested policy and under the plain one, and compares the value served."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from brackenlane.lab.simulation.invariants import violations
from brackenlane.lab.simulation.plain_policy import PlainPolicy
from brackenlane.lab.simulation.record import Disposition
from brackenlane.lab.simulation.site import Site
from brackenlane.lab.simulation.value import served_value
from brackenlane.lab.simulation.world import PolicyFactory, World, run_site
from brackenlane.routing import Router
from brackenlane.routing.members import ServerState


@dataclass(slots=True, frozen=True)
class Comparison:
    """Outcome of one site under both policies."""

    site: Site
    violations: dict[str, Any]
    exercised: frozenset[str]  # conditions that the invariants cover and that occurred in this run
    module: float
    plain: float

    @property
    def gain(self) -> float:
        """Share of value served by the tested policy, minus that of the plain policy."""
        return self.module - self.plain


def compare(site: Site, policy: PolicyFactory = Router) -> Comparison:
    """Run a site under a policy and under the plain policy."""
    world = World(site, policy)
    record = world.run()
    plain = served_value(run_site(site, PlainPolicy))
    return Comparison(
        site, violations(site, record), exercised_conditions(world), served_value(record), plain
    )


def exercised_conditions(world: World) -> frozenset[str]:
    """Conditions that occurred in a run; an invariant has been tested only if its condition occurred."""
    record = world.record
    cold = {listed.server for listed in record.listed if listed.started_at}
    found = {
        "drains": any(listed.state is ServerState.DRAINING for listed in record.listed),
        "purges": bool(record.purges_notified),
        "writes": bool(record.executed),
        "further attempts": any(sent.number for sent in record.sent),
        "refusals": any(answer.disposition is Disposition.REJECTED for answer in record.answered),
        "cold caches": bool(cold & world.caches.keys()),
        "cold parents": bool(cold & world.parents.keys()),
        "streams": any(load.streamed for load in world.site.classes),
    }
    return frozenset(name for name, seen in found.items() if seen)
