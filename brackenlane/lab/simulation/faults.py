"""What goes wrong in a day: each trouble strikes at its time and ends by itself."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from brackenlane.lab.simulation.servers import Health, Server
from brackenlane.lab.simulation.site import Trouble, TroubleKind
from brackenlane.lab.simulation.workload import GROUPS
from brackenlane.routing.members import ServerState

if TYPE_CHECKING:
    from brackenlane.lab.simulation.world import World

DRAIN_SECONDS = 3.0  # that a server drains before it is gone


def begin_troubles(world: World) -> None:
    """Schedule all troubles of the day."""
    for trouble in world.site.troubles:
        at = world.queue.now + trouble.at
        world.queue.at(at, partial(_strike, world, trouble))


def _strike(world: World, trouble: Trouble) -> None:
    match trouble.kind:
        case TroubleKind.ORIGIN_SLOW:
            world.origin.set_slowdown(trouble.size)
            world.queue.after(trouble.seconds, lambda: world.origin.set_slowdown(1.0))
        case TroubleKind.PURGE_GROUPS:
            for group in world.random.sample(range(GROUPS), max(1, round(trouble.part * GROUPS))):
                world.purge(group)
        case TroubleKind.OVERSIZE:
            pass  # the workload was drawn with it
        case _:
            for server in _struck(world, trouble):
                _strike_server(world, trouble, server)


def _struck(world: World, trouble: Trouble) -> list[Server]:
    """Some servers, at least one; parents if there are any and they are meant."""
    tier: list[Server] = [*world.parents.values()] if trouble.parents else []
    tier = tier or [*world.caches.values()]
    up = [server for server in tier if server.health is Health.UP]
    return world.random.sample(up, min(len(up), max(1, math.floor(trouble.part * len(tier)))))


def _strike_server(world: World, trouble: Trouble, server: Server) -> None:
    match trouble.kind:
        case TroubleKind.FAST_ERRORS:
            server.error_share = trouble.size
            world.queue.after(trouble.seconds, lambda: _heal(server))
        case TroubleKind.HANG:
            server.health = Health.HUNG
            world.queue.after(trouble.seconds, lambda: _heal(server))
        case TroubleKind.CRASH:
            _crash(world, server, trouble.seconds)
        case TroubleKind.REPLACE:
            _replace(world, server)


def _heal(server: Server) -> None:
    server.error_share = 0.0
    if server.health is Health.HUNG:
        server.health = Health.UP


def _crash(world: World, server: Server, seconds: float) -> None:
    """The process ends at once and comes back, cold and empty."""
    server.stop()
    world.announce(server.name, ServerState.GONE)
    world.queue.after(seconds, lambda: world.start_server(server.name))


def _replace(world: World, server: Server) -> None:
    """A server drains and another takes its place; a parent comes back under its own name."""
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
