"""The actor that keeps SRV entries and host names looked up and applies the answers to the merge."""

from __future__ import annotations

import logging
from collections.abc import Awaitable
from dataclasses import dataclass, field

import trio

from brackenlane.clock import steady_time
from brackenlane.core.service_tasks import run_service
from brackenlane.discovery.address_probe import AddressProbe
from brackenlane.discovery.look_up_schedule import LookUpSchedule
from brackenlane.discovery.query import RecordType
from brackenlane.discovery.records import Change
from brackenlane.discovery.registry import Registry
from brackenlane.discovery.resolver import LookUpFailedError, LookUpResult, Resolver
from brackenlane.limits import Limits

log = logging.getLogger(__name__)

# Limits the rate of merge ticks, so that a burst of changes leads to one tick.
MAX_TICKS_PER_LOOK_UP_INTERVAL = 10


@dataclass(slots=True)
class HostWatch:
    """Look-up state of one host name; `refresh` is set when the address in use is unreachable."""

    refresh: trio.Event = field(default_factory=trio.Event)
    looked_up_at: float = 0.0  # Unix time
    failures: int = 0  # consecutive failed look-ups


class DnsSource:
    """Looks up the SRV entries of the merge, and each host name while a definition refers to it."""

    def __init__(
        self,
        registry: Registry,
        resolver: Resolver,
        limits: Limits,
        connect_timeout: float,
        nursery: trio.Nursery,
        name: str = "",
        spread_seconds: float = 0.0,
    ) -> None:
        """`name`: this router's name.

        `spread_seconds`: time over which the site's routers spread one look-up.
        """
        self._registry = registry
        self._merge = registry.merge
        self._resolver = resolver
        self._nursery = nursery
        self._min_interval = limits.min_resolve_interval
        self._schedule = LookUpSchedule(name, spread_seconds, limits)
        self._probe = AddressProbe(connect_timeout, limits.max_discovery_dials)
        self._hosts: dict[str, HostWatch] = {}
        self._merge_changed = trio.Event()
        registry.on_change_callbacks.append(self._on_change)

    async def run(self) -> None:
        """Run all look-ups until cancelled."""
        for srv in self._merge.entries:
            self._nursery.start_soon(run_service, f"look-up of {srv}", self._watch_srv, srv)
        self._on_change()
        await run_service("list of caches", self._run_timers)

    async def _run_timers(self) -> None:
        """Apply what is due in the merge, until cancelled."""
        while True:
            with trio.move_on_after(max(0.0, self._merge.next_due() - steady_time())):
                await self._merge_changed.wait()
            self._merge_changed = trio.Event()
            self._apply_if_any(self._merge.tick(steady_time()))
            await trio.sleep(self._min_interval / MAX_TICKS_PER_LOOK_UP_INTERVAL)

    def replace_unreachable(self, server: str) -> None:
        """Switch an unreachable cache to another known address, and look up its host name again."""
        cache = self._merge.caches.get(server)
        if cache is None or cache.endpoint is None:
            return
        host = cache.definition.host
        watch = self._hosts.get(host)
        if watch is None:
            return
        address, _ = cache.endpoint
        self._apply_if_any(self._merge.replace_unreachable(host, address, steady_time()))
        watch.refresh.set()

    def _apply_if_any(self, changes: list[Change]) -> None:
        if changes:
            self._registry.apply(changes)

    def _on_change(self) -> None:
        self._merge_changed.set()
        for host in self._merge.sources.hosts - self._hosts.keys():
            self._hosts[host] = HostWatch()
            self._nursery.start_soon(run_service, f"look-up of {host}", self._watch_host, host)

    async def _watch_srv(self, srv: str) -> None:
        """Look up one SRV entry again each time its answer expires."""
        await self._wait_for_turn(srv)
        failures = 0
        while True:
            result = await self._fresh_result(srv, self._resolver.look_up(srv, RecordType.SRV))
            if result is None:
                failures += 1
                await trio.sleep(self._schedule.retry_wait(failures))
                continue
            failures = 0
            self._registry.apply(
                self._merge.apply_srv_answer(srv, result.targets, result.upstream, steady_time())
            )
            await trio.sleep(self._schedule.refresh_wait(result.expires_at))

    async def _watch_host(self, host: str) -> None:
        """Look up one host name again on expiry or `refresh`, until no definition refers to it."""
        watch = self._hosts.setdefault(host, HostWatch())
        await self._wait_for_turn(host)
        while host in self._merge.sources.hosts:
            wait = await self._look_up_host(host, watch)
            watch.looked_up_at = steady_time()
            with trio.move_on_after(wait):
                await watch.refresh.wait()
                self._resolver.expire_addresses(host)
                not_before = watch.looked_up_at + self._min_interval
                await trio.sleep(max(0.0, not_before - steady_time()))
            watch.refresh = trio.Event()
        self._hosts.pop(host, None)
        self._merge.sources.discard_unnamed_host(host)

    async def _wait_for_turn(self, name: str) -> None:
        name_count = len(self._hosts) + len(self._merge.entries)
        await trio.sleep(self._schedule.first_wait(name, name_count))

    async def _fresh_result(self, name: str, look_up: Awaitable[LookUpResult]) -> LookUpResult | None:
        """Return the result of a look-up; if it failed or is stale, record the reason and return None."""
        try:
            result = await look_up
        except LookUpFailedError as error:
            reason = str(error)
        else:
            if not result.is_stale:
                return result
            reason = f"the last answer is used on: {result.stale_reason}"
        log.warning("look-up of %s failed: %s", name, reason)
        self._merge.sources.record_failure(name, reason)
        return None

    async def _look_up_host(self, host: str, watch: HostWatch) -> float:
        """Look up a host name once; return the seconds until the next look-up."""
        result = await self._fresh_result(host, self._resolver.addresses(host))
        has_address = result is not None and await self._apply_addresses(host, result.addresses)
        if result is None or not has_address:
            watch.failures += 1
            return self._schedule.retry_wait(watch.failures)
        watch.failures = 0
        return self._schedule.refresh_wait(result.expires_at)

    async def _apply_addresses(self, host: str, addresses: tuple[str, ...]) -> bool:
        """Apply the reachable addresses of an answer; return whether there are any."""
        state = self._merge.sources.addresses.by_host.get(host)
        if state is not None and state.address is not None and addresses == (state.address,):
            # An unchanged address is not probed, or every router would connect to every cache once per TTL.
            self._registry.apply(self._merge.apply_host_answer(host, addresses, steady_time()))
            return True
        ports = {
            cache.definition.port for cache in self._merge.caches.values() if cache.definition.host == host
        }
        reachable = await self._probe.select_reachable(addresses, ports)
        if addresses and not reachable:
            self._merge.sources.addresses.record_unreachable(
                host, f"nobody answers at {', '.join(addresses)}"
            )
            self._resolver.expire_addresses(host)
            return False
        # If the current address is unreachable, the new one is used immediately. While both are reachable,
        # the change waits for `Policy.min_move_interval`.
        is_current_unreachable = False
        if state is not None and state.address is not None and state.address not in reachable:
            is_current_unreachable = not await self._probe.is_reachable(state.address, ports)
        self._registry.apply(
            self._merge.apply_host_answer(host, reachable, steady_time(), is_current_unreachable)
        )
        return bool(reachable)
