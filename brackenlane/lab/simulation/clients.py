"""Clients: open-loop first tries, and retries after failures where these are allowed."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from brackenlane.lab.simulation.record import Disposition, Operation, Request
from brackenlane.lab.simulation.workload import FirstTry
from brackenlane.routing.events import Arrival, CacheStatus
from brackenlane.routing.settings import Idempotency, Scope

if TYPE_CHECKING:
    from brackenlane.lab.simulation.world import World

LEAST_TRY = 0.05  # seconds left, below which no client tries again


@dataclass(slots=True)
class Client:
    """One operation and the tries made for it."""

    operation: Operation
    first: FirstTry
    tries: int = 0


class Clients:
    """All clients of one day."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._by_location: dict[int, list[int]] = {}
        for router, home in enumerate(world.site.router_homes):
            self._by_location.setdefault(home, []).append(router)

    def schedule(self, tries: list[FirstTry]) -> None:
        """Ask for all of these at their times."""
        for n, first in enumerate(tries):
            self._world.queue.at(first.at, partial(self._begin, n, first))

    def _begin(self, number: int, first: FirstTry) -> None:
        operation = Operation(f"op-{number}", first.cls, first.at, first.obj.work)
        self._world.record.operations[operation.name] = operation
        self._try(Client(operation, first))

    def _try(self, client: Client) -> None:
        world = self._world
        site = self._world.site
        now = self._world.queue.now
        cls = client.first.cls
        obj = client.first.obj
        left = min(cls.time_limit * site.try_share, client.operation.born + cls.time_limit - now)
        if left < LEAST_TRY:
            return
        client.tries += 1
        name = f"{client.operation.name}-try-{client.tries}"
        router = world.routers[world.random.choice(self._by_location[client.first.location])]
        send_request = Arrival(
            name,
            left,
            cls.name,
            obj.name,
            client.first.part,
            obj.group,
            obj.work * site.pace_kb_per_s if site.sizes_known else 0.0,
            cls.uncached,
            client.tries > 1,
        )
        request = Request(
            name, client.operation.name, router.number, cls, now, now + left, obj.name, obj.group
        )
        router.take(
            request,
            send_request,
            obj.work,
            lambda disposition, cache_status: self._ended(client, disposition, cache_status),
        )

    def _ended(self, client: Client, disposition: Disposition, cache_status: CacheStatus) -> None:
        operation = client.operation
        site = self._world.site
        if disposition is Disposition.SERVED:
            if operation.answered_at is None:
                operation.answered_at = self._world.queue.now
                operation.stale = cache_status is CacheStatus.STALE
            return
        if client.tries > site.client_retries or not _may_retry(client, disposition, self._world.queue.now):
            return
        wait = site.backoff * 2 ** (client.tries - 1) * self._world.random.uniform(0.5, 1.5)
        self._world.queue.after(wait, lambda: self._try(client))


def _may_retry(client: Client, disposition: Disposition, now: float) -> bool:
    """Whether a client repeats: writes only where that does no harm."""
    cls = client.operation.cls
    if cls.idempotency is Idempotency.IDEMPOTENT or disposition is Disposition.REJECTED:
        return True
    within = now < client.operation.born + cls.repeat_window
    return cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and cls.scope is Scope.ALL and within
