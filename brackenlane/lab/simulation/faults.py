"""Injection of a site's faults: each begins at its time and ends after its duration."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from brackenlane.lab.simulation.servers import Health, Server
from brackenlane.lab.simulation.site import Fault, FaultKind
from brackenlane.lab.simulation.workload import GROUP_COUNT
from brackenlane.routing.members import ServerState

if TYPE_CHECKING:
    from brackenlane.lab.simulation.world import World

DRAIN_SECONDS = 3.0  # time from the notice of a drain until the server stops


def schedule_faults(world: World) -> None:
    """Schedule all faults of the site."""
    for fault in world.site.faults:
        at = world.queue.now + fault.at
        world.queue.at(at, partial(_begin_fault, world, fault))


def _begin_fault(world: World, fault: Fault) -> None:
    match fault.kind:
        case FaultKind.ORIGIN_SLOW:
            world.origin.set_slowdown(fault.magnitude)
            world.queue.after(fault.seconds, lambda: world.origin.set_slowdown(1.0))
        case FaultKind.PURGE_GROUPS:
            for group in world.random.sample(range(GROUP_COUNT), max(1, round(fault.share * GROUP_COUNT))):
                world.purge(group)
        case FaultKind.OVERSIZE:
            pass  # the workload contains the oversize objects
        case _:
            for server in _affected_servers(world, fault):
                _begin_server_fault(world, fault, server)


def _affected_servers(world: World, fault: Fault) -> list[Server]:
    """Choose servers at random, at least one; caches if the site has no parents."""
    candidates: list[Server] = [*world.parents.values()] if fault.parents else []
    candidates = candidates or [*world.caches.values()]
    servers_up = [server for server in candidates if server.health is Health.UP]
    return world.random.sample(
        servers_up, min(len(servers_up), max(1, math.floor(fault.share * len(candidates))))
    )


def _begin_server_fault(world: World, fault: Fault, server: Server) -> None:
    match fault.kind:
        case FaultKind.FAST_ERRORS:
            server.error_share = fault.magnitude
            world.queue.after(fault.seconds, lambda: _end_server_fault(server))
        case FaultKind.HANG:
            server.health = Health.HUNG
            world.queue.after(fault.seconds, lambda: _end_server_fault(server))
        case FaultKind.CRASH:
            _crash(world, server, fault.seconds)
        case FaultKind.REPLACE:
            _replace(world, server)


def _end_server_fault(server: Server) -> None:
    server.error_share = 0.0
    if server.health is Health.HUNG:
        server.health = Health.UP


def _crash(world: World, server: Server, seconds: float) -> None:
    """Stop a server at once and restart it later, cold and with an empty memory."""
    server.stop()
    world.announce(server.name, ServerState.GONE)
    world.queue.after(seconds, lambda: world.start_server(server.name))


def _replace(world: World, server: Server) -> None:
    """Drain a server and replace it; a cache gets a new name, a parent restarts under its own."""
    world.announce(server.name, ServerState.DRAINING)

    def leave() -> None:
        server.stop()
        world.announce(server.name, ServerState.GONE)
        if server.name in world.caches:
            successor = f"{server.name}-next"
            world.add_cache(successor, server.name)
            world.start_server(successor)
        else:
            world.start_server(server.name)

    world.queue.after(DRAIN_SECONDS, leave)
