"""The actor that asks: SRV entries and host names, time and again, into the merge."""

from __future__ import annotations

import logging
import random
import time
from dataclasses import dataclass, field

import trio

from brackenlane.coldstart.pacing import hashed_offset, jittered_backoff, jittered_lifetime
from brackenlane.discovery.query import Kind
from brackenlane.discovery.registry import Registry
from brackenlane.discovery.resolver import Found, LookUpFailed, Resolver
from brackenlane.limits import Limits
from brackenlane.net.connector import connect

log = logging.getLogger(__name__)


LONGEST = 16.0  # times the wait after a first failure that a later one may take


@dataclass(slots=True)
class Watcher:
    """One name that is asked for; `again` is set when its answer has been found wanting."""

    again: trio.Event = field(default_factory=trio.Event)
    asked: float = 0.0
    failures: int = 0  # in a row


class DnsSource:
    """Keeps the merge's SRV entries and addresses right for as long as something names them."""

    def __init__(
        self,
        roster: Registry,
        resolver: Resolver,
        limits: Limits,
        connect_timeout: float,
        nursery: trio.Nursery,
        name: str = "",
        window: float = 0.0,
    ) -> None:
        """name: of this router; window: seconds in which the whole fleet asks for one name."""
        self._name, self._window, self._chance = name, window, random.Random()
        self._roster, self._merge, self._resolver = roster, roster.merge, resolver
        self._limits, self._connect_timeout, self._nursery = limits, connect_timeout, nursery
        self._hosts: dict[str, Watcher] = {}
        self._nudge = trio.Event()
        self._dials = trio.CapacityLimiter(limits.max_discovery_dials)
        roster.changed.append(self._changed)

    async def run(self) -> None:
        """Ask for good."""
        for srv in self._merge.entries:
            self._nursery.start_soon(self._follow_srv, srv)
        self._changed()
        while True:
            now = time.time()
            with trio.move_on_after(max(0.0, self._merge.next_due() - now)):
                await self._nudge.wait()
            self._nudge = trio.Event()
            if changes := self._merge.tick(time.time()):
                self._roster.apply(changes)
            await trio.sleep(self._limits.min_resolve_interval / 10)  # changes that come in a burst are one

    def doubt(self, server: str) -> None:
        """An attempt did not reach a cache: its address may be that of a dead one."""
        cache = self._merge.caches.get(server)
        if cache and cache.endpoint and (watcher := self._hosts.get(cache.definition.host)):
            if changes := self._merge.doubt(cache.definition.host, cache.endpoint[0], time.time()):
                self._roster.apply(changes)
            watcher.again.set()

    def _changed(self) -> None:
        self._nudge.set()
        for host in self._merge.hosts - self._hosts.keys():
            self._hosts[host] = Watcher()
            self._nursery.start_soon(self._follow_host, host)

    async def _follow_srv(self, srv: str) -> None:
        """One SRV entry: its answers, by their lifetimes."""
        await self._turn(srv)
        failures = 0
        while True:
            failures += 1
            try:
                found = await self._resolver.look_up(srv, Kind.SRV)
            except LookUpFailed as fault:
                self._failed(srv, str(fault))
            else:
                if found.stale:
                    self._failed(srv, f"the last answer is used on: {found.why}")
                else:
                    self._roster.apply(self._merge.answer(srv, found.targets, found.upstream, time.time()))
                    failures = 0
            await trio.sleep(self._retry(failures) if failures else self._wait(found))

    async def _turn(self, name: str) -> None:
        """This doorman's own place in the time in which all ask for a name first."""
        names = max(1, len(self._hosts) + len(self._merge.entries))
        await trio.sleep(hashed_offset(self._name, name) * self._window * names)

    def _retry(self, failures: int) -> float:
        """Seconds until the next try: hundreds whom one resolver failed must not come back together."""
        first = max(self._limits.resolve_retry_delay, self._window)
        return jittered_backoff(failures, first, LONGEST * first, self._chance)

    async def _follow_host(self, host: str) -> None:
        """One host name, until nothing names it any more."""
        watcher = self._hosts[host]
        await self._turn(host)
        while host in self._merge.hosts:
            wait = await self._locate(host, watcher)
            watcher.asked = time.time()
            with trio.move_on_after(wait):
                await watcher.again.wait()
                self._resolver.doubt(host)
                await trio.sleep(max(0.0, watcher.asked + self._limits.min_resolve_interval - time.time()))
            watcher.again = trio.Event()
        del self._hosts[host]
        self._merge.leave(host)

    async def _locate(self, host: str, watcher: Watcher) -> float:
        """Look up once; seconds until the next time."""
        watcher.failures += 1
        try:
            found = await self._resolver.addresses(host)
        except LookUpFailed as fault:
            self._failed(host, str(fault))
            return self._retry(watcher.failures)
        if found.stale:
            self._failed(host, f"the last answer is used on: {found.why}")
            return self._retry(watcher.failures)
        spot = self._merge.places.get(host)
        known = spot.address if spot else None
        if known is not None and found.addresses == (known,):
            # Told again what is in use: no look, or all routers dial all caches each lifetime.
            self._roster.apply(self._merge.locate(host, found.addresses, time.time()))
            watcher.failures = 0
            return self._wait(found)
        # Guards against a stale cached answer: an address is taken only if a cache answers there.
        ports = {
            cache.definition.port for cache in self._merge.caches.values() if cache.definition.host == host
        }
        alive = [address for address in found.addresses if await self._alive(address, ports)]
        if found.addresses and not alive:
            self._merge.locate_failed(host, f"nobody answers at {', '.join(found.addresses)}")
            self._resolver.doubt(host)
            return self._retry(watcher.failures)
        # A cache that has left its old address moves at once; two that both answer move it once in a while.
        old = spot.address if spot and spot.address not in alive else None
        dead = old is not None and not await self._alive(old, ports)
        self._roster.apply(self._merge.locate(host, alive, time.time(), dead))
        if not alive:
            return self._retry(watcher.failures)
        watcher.failures = 0
        return self._wait(found)

    async def _alive(self, address: str, ports: set[int]) -> bool:
        for port in ports:
            async with self._dials:
                with trio.move_on_after(self._connect_timeout):
                    try:
                        await trio.aclose_forcefully(await connect((address, port)))
                    except OSError:
                        continue
                    return True
        return False

    def _wait(self, found: Found) -> float:
        return max(
            self._limits.min_resolve_interval, jittered_lifetime(found.until - time.time(), self._chance)
        )

    def _failed(self, name: str, why: str) -> None:
        log.warning("%s: %s", name, why)
        self._merge.failed(name, why)
