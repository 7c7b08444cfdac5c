"""Starts the appliance's router: creates its components from the configuration and runs them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

import trio

from brackenlane.appliance.config import ApplianceConfig
from brackenlane.appliance.startup import RegistryBootstrap
from brackenlane.clock import steady_time
from brackenlane.coldstart.phases import StartupEvent, StartupPhases
from brackenlane.coldstart.stream_position import STREAM_START
from brackenlane.config import DEFAULT_MEMORY_MB, ConfigError, Endpoint
from brackenlane.console.admin_console import AdminConsole, ConsoleSources, Persistence
from brackenlane.console.cache_health import CacheHealth
from brackenlane.console.server import create_front, open_listener
from brackenlane.core.engine import RequestEngine
from brackenlane.core.engine_config import EngineConfig
from brackenlane.core.memory_budget import MemoryBudget
from brackenlane.core.process_memory import MemoryMonitor, return_freed_blocks
from brackenlane.core.service_tasks import run_isolated, run_service
from brackenlane.discovery.dns_source import DnsSource
from brackenlane.discovery.merge import MembershipMerge
from brackenlane.discovery.recent_purges import RecentPurges
from brackenlane.discovery.registry import Registry
from brackenlane.discovery.resolver import Resolver
from brackenlane.discovery.snapshot import SnapshotContent, SnapshotWriter
from brackenlane.dns.query_answering import QueryAnswering
from brackenlane.dns.responder import Responder
from brackenlane.dns.tcp_server import create_tcp_front
from brackenlane.dns.udp_front import UdpFront
from brackenlane.lifecycle import OtherFronts, listen, serve_until_signal
from brackenlane.limits import BYTES_PER_MB, Limits
from brackenlane.net.connection_pools import ConnectionPools
from brackenlane.net.http_front import HttpFront
from brackenlane.net.poller import Poller
from brackenlane.net.stream_front import StreamFront
from brackenlane.routing.events import AttemptResult
from brackenlane.routing.purges import RETENTION_FACTOR
from brackenlane.store.shared_store import SharedStore, StoreSettings

# After these results the address of a cache is looked up again, since it may have changed.
LOOKUP_TRIGGERS = (AttemptResult.UNREACHABLE, AttemptResult.BROKEN)
SEED_BITS = 63  # length of the seed of the engine's random numbers


class CacheObserver:
    """Passes the result of each attempt to the console's health records and to discovery.

    `registry` and `dns_source` are None until these components have been created.
    """

    def __init__(self) -> None:
        self.health = CacheHealth()
        self.registry: Registry | None = None
        self.dns_source: DnsSource | None = None

    def on_result(self, server: str, result: AttemptResult) -> None:
        """Record the result of an attempt; after one of LOOKUP_TRIGGERS, look up the cache's address."""
        self.health.record(server, result, steady_time())
        if self.registry:
            self.health.forget_removed(self.registry.merge.caches.keys())
        if self.dns_source and result in LOOKUP_TRIGGERS:
            self.dns_source.replace_unreachable(server)


@dataclass(frozen=True, slots=True)
class ServingComponents:
    """The components that serve requests."""

    engine: RequestEngine
    poller: Poller
    registry: Registry
    observer: CacheObserver
    phases: StartupPhases


async def serve(config: ApplianceConfig, limits: Limits) -> None:
    """Run the DNS and HTTP fronts until SIGTERM, then finish the open requests. Raises ConfigError."""
    return_freed_blocks()
    async with trio.open_nursery() as nursery:
        components = build_serving_components(config, limits)
        nursery.start_soon(run_service, "timers", components.engine.run)
        nursery.start_soon(components.poller.run)
        bootstrap = RegistryBootstrap(config, components.registry, components.phases)
        bootstrap.fill_registry()
        start_discovery(config, limits, components, nursery)
        store = start_store(config, limits, components, bootstrap, nursery)
        snapshot_writer = start_snapshot_writer(config, limits, components, store, nursery)
        if store:
            await wait_for_orders(store, limits.store_start_wait)
        dns_fronts = await start_dns_fronts(config, limits, components, nursery)
        front = HttpFront(
            components.engine, limits, components.poller, store.claims if store else None, nursery
        )
        front.is_ready = lambda: components.phases.is_store_read or config.coldstart.ready == "listed"
        sources = ConsoleSources(
            components.registry,
            Persistence(store, snapshot_writer),
            components.observer.health,
            front.figures,
            components.phases,
        )
        console = start_console(config, limits, sources, nursery)
        others = OtherFronts((console, dns_fronts.tcp), until_the_end=(dns_fronts.udp,))
        await serve_until_signal(front, config.http, config.name, others)
        config.console.unlink(missing_ok=True)
        await snapshot_writer.write_last()
        nursery.cancel_scope.cancel()


def build_serving_components(config: ApplianceConfig, limits: Limits) -> ServingComponents:
    """Create the components that serve requests. None is started yet, and the registry is empty."""
    observer = CacheObserver()
    memory = MemoryBudget()
    engine = RequestEngine(
        EngineConfig(config.settings, random.SystemRandom().getrandbits(SEED_BITS), limits, memory=memory),
        lambda attempt: pools.dispatch(attempt),
        on_result=observer.on_result,
    )
    poller = Poller(limits.max_poll_events)
    engine.timers.before_due_calls = poller.handle_urgent
    pools = ConnectionPools(
        engine.membership,
        limits,
        config.settings,
        engine.report,
        poller,
        engine.timers,
        memory=memory,
    )
    monitor = MemoryMonitor(
        memory, DEFAULT_MEMORY_MB * BYTES_PER_MB, limits.memory_reserve, limits.min_memory_capacity
    )
    monitor.start(engine.timers, limits.memory_check_interval)
    merge = MembershipMerge(config.discovery.policy, config.discovery.watches)
    purges = RecentPurges(RETENTION_FACTOR * config.settings.purge_propagation_time, limits.max_kept_purges)
    registry = Registry(merge, engine.post, pools.update_servers, purges)
    observer.registry = registry
    return ServingComponents(engine, poller, registry, observer, StartupPhases(steady_time()))


def start_discovery(
    config: ApplianceConfig, limits: Limits, components: ServingComponents, nursery: trio.Nursery
) -> None:
    """Start looking up the caches' addresses in DNS, if the file names resolvers."""
    discovery = config.discovery
    if not discovery.resolvers:
        return
    resolver = Resolver(
        discovery.resolvers,
        nursery,
        budget=limits.lookup_timeout,
        lifetimes=discovery.lifetimes,
        max_look_ups=limits.max_lookups,
    )
    other_routers = config.store_capacity.router_count - 1
    dns_source = DnsSource(
        components.registry,
        resolver,
        limits,
        config.settings.connect_timeout,
        nursery,
        config.name,
        other_routers / config.coldstart.look_ups,
    )
    components.observer.dns_source = dns_source
    nursery.start_soon(run_isolated, "discovery", dns_source.run)


def start_store(
    config: ApplianceConfig,
    limits: Limits,
    components: ServingComponents,
    bootstrap: RegistryBootstrap,
    nursery: trio.Nursery,
) -> SharedStore | None:
    """Start following the shared store, if the file names one.

    Reading begins at the log position of the snapshot, or at the start of the log without a trusted snapshot.
    """
    if config.redis is None:
        # Without a store there are no updates from other routers to wait for.
        components.phases.step(StartupEvent.CAUGHT_UP, steady_time())
        return None
    loaded_snapshot = bootstrap.loaded_snapshot
    store = SharedStore(
        StoreSettings(
            config.redis,
            str(config.zone),
            config.name,
            config.store_capacity,
        ),
        components.registry,
        limits,
        components.phases,
        loaded_snapshot.position if loaded_snapshot and bootstrap.is_snapshot_trusted else STREAM_START,
    )
    changes = bootstrap.operator_changes
    if changes:
        store.restore_unshared(changes.unshared)
    nursery.start_soon(run_service, "shared store", store.run, list(config.discovery.caches))
    nursery.start_soon(run_service, "start without store", bootstrap.fall_back_without_store, limits)
    return store


async def wait_for_orders(store: SharedStore, time_limit: float) -> None:
    """Wait until the store was read, so that no cache is used that was drained while this router was down.

    time_limit: seconds; then the router serves without, since the store may be away for long.
    """
    with trio.move_on_after(time_limit):
        await store.was_read.wait()


def start_snapshot_writer(
    config: ApplianceConfig,
    limits: Limits,
    components: ServingComponents,
    store: SharedStore | None,
    nursery: trio.Nursery,
) -> SnapshotWriter:
    """Start writing snapshots; without a configured file only of what operators have changed."""
    path = config.discovery.snapshot_path
    writer = SnapshotWriter(
        components.registry,
        path or config.console_changes_path,
        limits.snapshot_interval,
        store,
        SnapshotContent.EVERYTHING if path else SnapshotContent.OPERATOR_CHANGES,
    )
    if store:
        store.outbox.on_change = writer.notify_changed
    nursery.start_soon(run_service, "snapshot", writer.run)
    return writer


class DnsFronts(NamedTuple):
    """The fronts for DNS queries."""

    tcp: StreamFront
    udp: UdpFront


async def start_dns_fronts(
    config: ApplianceConfig, limits: Limits, components: ServingComponents, nursery: trio.Nursery
) -> DnsFronts:
    """Start answering DNS queries on UDP and TCP. Raises ConfigError if the address cannot be bound."""
    responder = Responder(config.zone, config.http, components.engine, components.registry, limits)
    answering = QueryAnswering(responder)
    listeners = await listen(config.dns)
    fronts = DnsFronts(
        create_tcp_front(answering, limits), UdpFront(await _bind_udp(config.dns), answering, limits)
    )
    nursery.start_soon(run_service, "DNS over UDP", fronts.udp.run)
    nursery.start_soon(run_service, "DNS over TCP", fronts.tcp.run, listeners)
    return fronts


async def _bind_udp(endpoint: Endpoint) -> trio.socket.SocketType:
    host, port = endpoint
    family = trio.socket.AF_INET6 if ":" in host else trio.socket.AF_INET
    sock = trio.socket.socket(family, trio.socket.SOCK_DGRAM)
    try:
        await sock.bind(endpoint)
    except OSError as error:
        sock.close()
        raise ConfigError(f"cannot listen on {host}:{port}: {error.strerror}") from error
    return sock


def start_console(
    config: ApplianceConfig, limits: Limits, sources: ConsoleSources, nursery: trio.Nursery
) -> StreamFront:
    """Start serving console clients on the Unix socket that the file names."""
    console = AdminConsole(config.name, sources)
    front = create_front(console.execute, limits)
    nursery.start_soon(run_service, "console", front.run, [open_listener(config.console)])
    return front
