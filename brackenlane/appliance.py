"""The appliance for small sites: DNS and HTTP in front, one core, an operator's file behind."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from pathlib import Path

import trio
from dns.name import Name

from brackenlane import console
from brackenlane.coldstart.pacing import Capacity
from brackenlane.coldstart.phases import StartupEvent, StartupPhases
from brackenlane.coldstart.stream_position import STREAM_START
from brackenlane.config import ConfigError, Endpoint, read_endpoint
from brackenlane.core.engine import RequestEngine
from brackenlane.core.engine_config import EngineConfig
from brackenlane.discovery import snapshot
from brackenlane.discovery.dns_cache import Lifetimes
from brackenlane.discovery.dns_source import DnsSource
from brackenlane.discovery.merge import MembershipMerge
from brackenlane.discovery.records import (
    CacheDefinition,
    DefinitionSource,
    Policy,
    RememberedMembers,
    SrvWatch,
)
from brackenlane.discovery.registry import Registry
from brackenlane.discovery.resolver import Resolver
from brackenlane.discovery.snapshot_codec import Snapshot
from brackenlane.dns.names import read_zone
from brackenlane.dns.responder import Responder
from brackenlane.dns.server import Server
from brackenlane.lifecycle import listen, serve_until_signal
from brackenlane.limits import Limits
from brackenlane.net.connection_pools import ConnectionPools
from brackenlane.net.http_front import HttpFront
from brackenlane.net.poller import Poller
from brackenlane.routing.events import AttemptResult
from brackenlane.routing.members import Role
from brackenlane.routing.settings import Settings
from brackenlane.settings.appliance import ApplianceFile, ColdStarts, load_appliance
from brackenlane.store.shared_store import SharedStore, StoreSettings

log = logging.getLogger(__name__)

GROUPS = 256  # of objects, by number


@dataclass(frozen=True, slots=True)
class ApplianceConfig:
    """What the operator's file says, as the parts take it."""

    name: str
    http: Endpoint
    dns: Endpoint
    zone: Name
    settings: Settings
    caches: tuple[CacheDefinition, ...]
    watches: tuple[SrvWatch, ...]
    resolvers: tuple[Endpoint, ...]
    redis: Endpoint | None
    console: str
    policy: Policy
    lifetimes: Lifetimes
    last_list: Path | None
    capacity: Capacity
    coldstart: ColdStarts


def load(path: str) -> ApplianceConfig:
    """The operator's file from its place; ConfigError names all that is wrong with it."""
    return adapt(load_appliance(path), Path(path).parent)


def adapt(reported: ApplianceFile, base: Path) -> ApplianceConfig:
    """The file's records as the parts take them; other files it names stand beside it."""
    d = reported.discovery
    return ApplianceConfig(
        reported.name,
        read_endpoint(reported.http, "http"),
        read_endpoint(reported.dns, "dns"),
        read_zone(reported.zone),
        reported.module_settings(),
        tuple(
            CacheDefinition(b.id, b.host.rstrip(".").lower(), b.port, b.zone, Role(b.role), b.weight)
            for b in reported.caches
        ),
        tuple(
            SrvWatch(w.srv.rstrip(".").lower(), w.zone, Role(w.role), w.weight_scale, w.enough)
            for w in reported.discover
        ),
        tuple(read_endpoint(at, "resolver") for at in reported.resolvers),
        read_endpoint(reported.redis, "redis") if reported.redis else None,
        str(base / reported.console),
        Policy(d.grace, d.most_gone, d.confirm, d.settle, d.remembered, d.warm),
        Lifetimes(floor=d.floor, ceiling=d.ceiling, negative=d.negative, stale=d.stale),
        base / d.last_list if d.last_list else None,
        Capacity(
            reported.coldstart.doormans or reported.settings.gateways,
            reported.coldstart.asks,
            reported.coldstart.loads,
        ),
        reported.coldstart,
    )


def start_merge(
    config: ApplianceConfig, roster: Registry, retained: Snapshot | None, phases: StartupPhases
) -> bool:
    """What is known before anybody is asked: the last list's orders and caches, then the file's own.

    False: the last list is too old to be trusted before the store is asked; its orders hold all the same.
    """
    now, trusted = time.time(), True
    # Who lost power can't know that the caches kept it, nor what has become of them since long ago.
    if config.last_list and not (
        retained and retained.left and 0 <= now - retained.saved <= config.policy.warm
    ):
        roster.apply(roster.merge.count_all_as_cold(now))
    if retained:
        trusted = config.redis is None or 0 <= now - retained.saved <= config.coldstart.trust
        if trusted:
            recall(roster, phases, retained)
        else:
            roster.apply(
                roster.merge.restore_snapshot(RememberedMembers(orders=retained.memory.orders), now, now)
            )
    for cache in config.caches:
        roster.define(DefinitionSource.FILE, cache)
    return trusted


def recall(roster: Registry, phases: StartupPhases, retained: Snapshot) -> None:
    """Serve from a last list."""
    now = time.time()
    roster.apply(roster.merge.restore_snapshot(retained.memory, retained.saved, now))
    phases.step(StartupEvent.SNAPSHOT_RESTORED, now)
    log.info("the last list, of %.0f s ago: %d boxes", now - retained.saved, len(roster.merge.caches))


async def handle_silent_store(
    config: ApplianceConfig,
    roster: Registry,
    phases: StartupPhases,
    old: Snapshot | None,
    limits: Limits,
) -> None:
    """What is done while the store has not been heard since our start; old: a last list not trusted yet."""
    await trio.sleep(limits.purge_recovery_timeout)
    if phases.is_store_read:
        return
    # Which purges were told while we were away is unknown: each object counts as purged, for as long as a
    # purge takes at the caches themselves.
    log.warning("the store was not heard yet: no copy from before now is served")
    for group in range(-1, GROUPS):
        roster.purge("", group, time.time())
    if old is not None:
        await trio.sleep(max(0.0, config.coldstart.patience - limits.purge_recovery_timeout))
        if not phases.is_store_read:  # an old list is better than none
            recall(roster, phases, old)


async def serve(config: ApplianceConfig, limits: Limits) -> None:
    """Run both fronts until SIGTERM and the last answer after it."""
    health: console.Health = {}
    feeds: list[DnsSource] = []

    def notice(server: str, result: AttemptResult) -> None:
        health[server] = result, time.time()
        if len(health) > 2 * len(roster.merge.caches) + 64:  # caches come and go: those gone must not add up
            for gone in health.keys() - roster.merge.caches.keys():
                del health[gone]
        if result in (AttemptResult.UNREACHABLE, AttemptResult.BROKEN):
            for feed in feeds:
                feed.doubt(server)

    async with trio.open_nursery() as nursery:
        core = RequestEngine(
            EngineConfig(config.settings, time.time_ns(), limits),
            lambda attempt: pools.place(attempt),
            on_result=notice,
        )
        poller = Poller(limits.max_poll_events)
        core.timers.before_round = poller.handle_urgent
        pools = ConnectionPools(core.membership, limits, config.settings, core.report, poller, core.timers)
        roster = Registry(MembershipMerge(config.policy, config.watches), core.post, pools.follow)
        nursery.start_soon(core.run)
        nursery.start_soon(poller.run)
        phases = StartupPhases(time.time())
        retained = snapshot.load(config.last_list) if config.last_list else None
        trusted = start_merge(config, roster, retained, phases)
        if config.resolvers:
            resolver = Resolver(
                config.resolvers,
                nursery,
                budget=limits.lookup_timeout,
                lifetimes=config.lifetimes,
                most=limits.max_lookups,
            )
            feeds.append(
                DnsSource(
                    roster,
                    resolver,
                    limits,
                    config.settings.connect_timeout,
                    nursery,
                    config.name,
                    (config.capacity.router_count - 1) / config.coldstart.look_ups,
                )
            )
            nursery.start_soon(feeds[0].run)
        shared = (
            SharedStore(
                StoreSettings(
                    config.redis,
                    str(config.zone),
                    config.name,
                    config.settings.purge_propagation_time,
                    config.capacity,
                ),
                roster,
                limits,
                phases,
                retained.position if retained and trusted else STREAM_START,
            )
            if config.redis
            else None
        )
        if shared:
            if retained:
                shared.applier.restore_purges({(obj, group): at for obj, group, at in retained.purges})
            nursery.start_soon(shared.run, list(config.caches))
            nursery.start_soon(
                handle_silent_store, config, roster, phases, None if trusted else retained, limits
            )
        else:
            phases.step(StartupEvent.CAUGHT_UP, time.time())  # nobody else knows more
        keeper = (
            snapshot.SnapshotWriter(roster, config.last_list, limits.snapshot_interval, shared)
            if config.last_list
            else None
        )
        if keeper:
            nursery.start_soon(keeper.run)
        responder = Responder(config.zone, config.http, core, roster, limits)
        await _open_dns(config.dns, Server(responder, limits), nursery)
        front = HttpFront(core, limits, poller, shared.claims if shared else None, nursery)
        front.ready = lambda: phases.is_store_read or config.coldstart.ready == "listed"
        admin_console = console.AdminConsole(
            health, roster, shared, limits, front.figures, config.name, phases
        )
        nursery.start_soon(
            trio.serve_listeners, admin_console.serve, [console.open_listener(Path(config.console))]
        )
        await serve_until_signal(front, config.http, config.name)
        Path(config.console).unlink(missing_ok=True)
        if keeper:
            await keeper.keep(left=True)
        nursery.cancel_scope.cancel()


async def _open_dns(endpoint: Endpoint, server: Server, nursery: trio.Nursery) -> None:
    """Answer on UDP and TCP at one address."""
    listeners = await listen(endpoint)
    family = trio.socket.AF_INET6 if ":" in endpoint[0] else trio.socket.AF_INET
    sock = trio.socket.socket(family, trio.socket.SOCK_DGRAM)
    try:
        await sock.bind(endpoint)
    except OSError as fault:
        raise ConfigError(f"cannot listen on {endpoint[0]}:{endpoint[1]}: {fault.strerror}") from None
    nursery.start_soon(server.serve_udp, sock)
    nursery.start_soon(trio.serve_listeners, server.serve_tcp, listeners)
