"""Clients: they start operations at planned times (open loop) and retry failed requests where permitted."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from brackenlane.lab.simulation.record import Disposition, Operation, Request
from brackenlane.lab.simulation.workload import PlannedOperation
from brackenlane.routing.events import Arrival, CacheStatus
from brackenlane.routing.settings import Idempotency, Scope

if TYPE_CHECKING:
    from brackenlane.lab.simulation.world import World

MIN_REQUEST_TIME = 0.05  # seconds; with less time before its deadline, a client sends no further request


@dataclass(slots=True)
class Client:
    """One operation and the number of requests sent for it so far."""

    operation: Operation
    planned: PlannedOperation
    request_count: int = 0


class Clients:
    """All clients of one run."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._by_location: dict[int, list[int]] = {}
        for router, location in enumerate(world.site.router_homes):
            self._by_location.setdefault(location, []).append(router)

    def schedule(self, operations: list[PlannedOperation]) -> None:
        """Schedule the first request of each operation at its planned time."""
        for n, planned in enumerate(operations):
            self._world.queue.at(planned.at, partial(self._begin, n, planned))

    def _begin(self, number: int, planned: PlannedOperation) -> None:
        operation = Operation(f"op-{number}", planned.cls, planned.at, planned.obj.work)
        self._world.record.operations[operation.name] = operation
        self._send_request(Client(operation, planned))

    def _send_request(self, client: Client) -> None:
        world = self._world
        site = self._world.site
        now = self._world.queue.now
        cls = client.planned.cls
        obj = client.planned.obj
        remaining_time = min(
            cls.time_limit * site.request_time_share, client.operation.started_at + cls.time_limit - now
        )
        if remaining_time < MIN_REQUEST_TIME:
            return
        client.request_count += 1
        name = f"{client.operation.name}-try-{client.request_count}"
        router = world.routers[world.random.choice(self._by_location[client.planned.location])]
        arrival = Arrival(
            name,
            remaining_time,
            cls.name,
            obj.name,
            client.planned.part,
            obj.group,
            obj.work * site.pace_kb_per_s if site.sizes_known else 0.0,
            cls.uncached,
            client.request_count > 1,
        )
        request = Request(
            name, client.operation.name, router.number, cls, now, now + remaining_time, obj.name, obj.group
        )
        router.handle_request(
            request,
            arrival,
            obj.work,
            lambda disposition, cache_status: self._on_answer(client, disposition, cache_status),
        )

    def _on_answer(self, client: Client, disposition: Disposition, cache_status: CacheStatus) -> None:
        operation = client.operation
        site = self._world.site
        if disposition is Disposition.SERVED:
            if operation.answered_at is None:
                operation.answered_at = self._world.queue.now
                operation.stale = cache_status is CacheStatus.STALE
            return
        if client.request_count > site.client_retries or not _may_retry(
            client, disposition, self._world.queue.now
        ):
            return
        delay = site.retry_backoff * 2 ** (client.request_count - 1) * self._world.random.uniform(0.5, 1.5)
        self._world.queue.after(delay, lambda: self._send_request(client))


def _may_retry(client: Client, disposition: Disposition, now: float) -> bool:
    """Whether the client may retry: a request that may have been executed, only if a repeat is safe."""
    cls = client.operation.cls
    if cls.idempotency is Idempotency.IDEMPOTENT or disposition is Disposition.REJECTED:
        return True
    in_window = now < client.operation.started_at + cls.repeat_window
    return cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and cls.scope is Scope.ALL and in_window
