"""The router on the platform: creates its components from the configuration and reloads it on SIGHUP."""

from __future__ import annotations

import functools
import logging
import os
import random
import resource
import signal
from pathlib import Path
from typing import NamedTuple

import trio

from brackenlane import config as configuration
from brackenlane.clock import ClockStepMonitor, steady_time
from brackenlane.config import Config, ConfigError
from brackenlane.core.engine import RequestEngine
from brackenlane.core.engine_config import EngineConfig
from brackenlane.core.memory_budget import MemoryBudget
from brackenlane.core.metrics import RequestMetrics
from brackenlane.core.process_memory import MemoryMonitor, read_private_size, return_freed_blocks
from brackenlane.core.response_cache import ResponseCache
from brackenlane.lifecycle import OtherFronts, SignalWatcher, open_listening_socket, serve_until_signal
from brackenlane.limits import BYTES_PER_MB, Limits
from brackenlane.net.change_log import ChangeApplier, ChangeLogClient, ChangeLogSource
from brackenlane.net.change_log_codec import Change, ChangeLogFormatError, read_configured_changes
from brackenlane.net.connection_pools import ConnectionPools
from brackenlane.net.http_front import HttpFront
from brackenlane.net.poller import Poller
from brackenlane.ops.admin_api import AdminApi
from brackenlane.ops.admin_routes import AdminRoutes
from brackenlane.ops.handover import Handover
from brackenlane.ops.handover_log import HandoverLog, HandoverLogError
from brackenlane.ops.maintenance_orders import MaintenanceOrders

log = logging.getLogger(__name__)

# Addresses that cannot change without a restart: configuration key by field of `Config`.
FIXED_ADDRESS_KEYS = {"listen": "listen", "admin": "ops"}
# Fields of `Config` that the engine uses; if any of them changes, the engine is reconfigured.
ENGINE_FIELDS = ("settings", "sockets", "memory_mb", "transfer_rate", "link_rate")


def load_config() -> Config:
    """Load the configuration given by the environment (GW_CONFIG, GW_OPS). Raises ConfigError."""
    return configuration.load(os.environ.get("GW_CONFIG"), os.environ.get("GW_OPS", ""))


def run(config: Config) -> None:
    """Run a router until it has shut down. Raises ConfigError, possibly within an exception group."""
    return_freed_blocks()
    trio.run(serve, config, derive_limits(config))


def derive_limits(config: Config) -> Limits:
    """Derive the limits from the configuration and from the system's limit on file descriptors."""
    max_sockets, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets = min(config.sockets, max_sockets)
    return (
        Limits()
        .with_descriptors(sockets)
        .with_memory(config.memory_mb * BYTES_PER_MB)
        .with_settings(config.settings)
        .with_kill_deadline(config.settings)
    )


class RouterParts(NamedTuple):
    """The components of one router."""

    poller: Poller
    engine: RequestEngine
    pools: ConnectionPools
    front: HttpFront
    admin_api: AdminApi | None  # None if none is configured
    orders: MaintenanceOrders
    handover: Handover | None  # None if there is no admin API or no handover log
    change_log: ChangeLogClient
    clock_steps: ClockStepMonitor
    memory_monitor: MemoryMonitor


async def serve(config: Config, limits: Limits) -> None:
    """Run a router until it has shut down after SIGTERM."""
    poller = Poller(limits.max_poll_events, blocks_thread=True)
    with SignalWatcher(poller, signal.SIGHUP) as sighups:
        async with trio.open_nursery() as nursery:
            parts = build(config, limits, poller)
            nursery.start_soon(parts.engine.run)
            nursery.start_soon(poller.run)
            parts.change_log.start(
                read_configured_changes(config.known, config.site, steady_time()), config.cursor
            )
            nursery.start_soon(Reloader(config, parts).run, sighups)
            _check_clock(parts)
            parts.memory_monitor.start(parts.engine.timers, limits.memory_check_interval)
            await _serve_clients(config, parts)
            if parts.handover:
                parts.handover.close()
            nursery.cancel_scope.cancel()


def _check_clock(parts: RouterParts) -> None:
    """Check for steps of the wall clock, and schedule the next check."""
    parts.clock_steps.check()
    interval = parts.front.limits.clock_check_interval
    parts.engine.timers.call_at(steady_time() + interval, _check_clock, parts)


def build(config: Config, limits: Limits, poller: Poller) -> RouterParts:
    """Create the components, and open the admin API if one is configured. Raises ConfigError."""
    memory = MemoryBudget()
    memory_monitor = MemoryMonitor(
        memory, config.memory_mb * BYTES_PER_MB, limits.memory_reserve, limits.min_memory_capacity
    )
    engine = RequestEngine(
        _engine_config(config, limits, memory),
        lambda attempt: pools.dispatch(attempt),
    )
    engine.timers.before_due_calls = poller.handle_urgent
    counts = RequestMetrics(cls.name for cls in config.settings.classes)
    pools = ConnectionPools(
        engine.membership,
        limits,
        config.settings,
        engine.report,
        poller,
        engine.timers,
        counts.count_attempt,
        memory,
    )
    front = HttpFront(engine, limits, poller, metrics=counts)
    handover_log = open_handover_log(config, limits) if config.admin else None
    if handover_log:
        memory_monitor.other_usage = functools.partial(_memory_beside, handover_log)
    orders = MaintenanceOrders(engine, limits.max_taken_out_servers, handover_log)
    handover = Handover(engine, front, limits, handover_log, orders) if handover_log else None
    clock_steps = ClockStepMonitor()

    def fault_counts() -> dict[str, int]:
        """Return the counters of external faults by metric name."""
        return {
            **change_log.counters.by_name(),
            "change_log_refused_servers": applier.refused_server_count,
            "clock_steps": clock_steps.step_count,
            "accept_shortages": front.listener.shortages,
            "handover_write_failures": handover_log.write_failures if handover_log else 0,
            "handover_read_failures": handover.read_failures if handover else 0,
            "submit_record_rejections": front.submit_record_rejection_count,
            "memory_releases": memory.release_count,
            "memory_waits": memory.wait_count,
            "memory_rejections": front.memory_rejection_count,
        }

    admin_api = None
    if config.admin:
        routes = AdminRoutes(
            is_serving=lambda: front.is_serving,
            metrics=lambda: orders.metrics(
                front.metrics, front.active, fault_counts(), memory_monitor.metrics()
            ),
            order=orders.order,
        )
        admin_api = AdminApi(poller, engine.timers, limits, routes)
        admin_api.open(open_listening_socket(config.admin))
    applier = ChangeApplier(pools, orders.on_event, limits.max_listed_servers)
    change_log = ChangeLogClient(
        ChangeLogSource(config.changelog, config.site),
        limits,
        applier,
        poller,
        engine.timers,
        random.Random(config.seed),
    )
    return RouterParts(
        poller, engine, pools, front, admin_api, orders, handover, change_log, clock_steps, memory_monitor
    )


def _memory_beside(handover_log: HandoverLog) -> int:
    """Return the bytes of memory of the handover log and of the other processes of this router."""
    others = map(read_private_size, handover_log.other_system_process_numbers())
    return handover_log.file_size() + sum(others)


def open_handover_log(config: Config, limits: Limits) -> HandoverLog | None:
    """Open the handover log, which the processes of this router share in `$TMPDIR`.

    Returns None if TMPDIR is not set or the log cannot be opened.
    """
    folder = os.environ.get("TMPDIR")
    if not folder:
        log.warning(
            "TMPDIR is not set: maintenance orders and submits are not handed over to the next process"
        )
        return None
    host, port = config.listen
    try:
        return HandoverLog(Path(folder) / f"brackenlane.{host}.{port}", limits)
    except HandoverLogError as error:
        log.warning("maintenance orders and submits are not handed over to the next process: %s", error)
        return None


def _engine_config(config: Config, limits: Limits, memory: MemoryBudget) -> EngineConfig:
    """Return the configuration of the request engine."""
    return EngineConfig(
        config.settings,
        config.seed,
        limits,
        config.transfer_rate,
        _response_cache(config, limits, memory),
        memory,
    )


def _response_cache(config: Config, limits: Limits, memory: MemoryBudget) -> ResponseCache | None:
    """Create the response cache; None if the capacity of the link is unknown."""
    if not config.transfer_rate or not config.link_rate:
        return None
    max_bytes = min(
        limits.response_cache_share * config.memory_mb * BYTES_PER_MB,
        limits.response_cache_capacity_share * memory.capacity,
    )
    return ResponseCache(
        config.settings, max_bytes, config.transfer_rate, config.link_rate, limits.clock_tolerance
    )


async def _serve_clients(config: Config, parts: RouterParts) -> None:
    """Serve clients until the shutdown is complete.

    With an admin API, the listening address is shared with other processes of this router.
    """
    handover = parts.handover
    others = OtherFronts(until_the_end=(parts.admin_api,) if parts.admin_api else ())
    if config.admin is None:
        await serve_until_signal(parts.front, config.listen, config.name, others)
    elif handover is None:
        await serve_until_signal(parts.front, config.listen, config.name, others, lambda: 0)
    else:
        await serve_until_signal(
            parts.front,
            config.listen,
            config.name,
            others,
            lambda: handover.older_process_count,
            handover.announce_serving,
        )


class Reloader:
    """Owns the current configuration; on SIGHUP replaces it as a whole or, if the new one fails, keeps it."""

    def __init__(self, config: Config, parts: RouterParts) -> None:
        self._config = config
        self._parts = parts

    async def run(self, sighups: SignalWatcher) -> None:
        """Reload the configuration on each SIGHUP, until cancelled."""
        while True:
            await sighups.next()
            self.reload()

    def reload(self) -> None:
        """Read the file again and apply it; an invalid file changes nothing."""
        try:
            new = load_config()
            self._check_addresses(new)
            # Validate the whole file before any part of it is applied.
            known = list(read_configured_changes(new.known, new.site, steady_time()))
            self._reconfigure(new)
        except (ConfigError, ChangeLogFormatError) as error:
            log.warning("SIGHUP: the old configuration remains in force: %s", " ".join(str(error).split()))
            return
        except Exception:  # an unexpected error must not affect requests in flight
            log.exception("SIGHUP: the old configuration remains in force")
            return
        try:
            self._update_change_log(new, known)
        except Exception:  # the program goes on; the next SIGHUP applies the file again
            log.exception("SIGHUP: the change log cannot be read from its new address")
            return
        self._config = new

    def _check_addresses(self, new: Config) -> None:
        changed_keys = [
            key
            for field, key in FIXED_ADDRESS_KEYS.items()
            if getattr(new, field) != getattr(self._config, field)
        ]
        if changed_keys:
            raise ConfigError(f"{', '.join(changed_keys)}: another address needs a new process")

    def _reconfigure(self, new: Config) -> None:
        """Apply changed settings; the state learned under the old settings is discarded."""
        if all(getattr(new, field) == getattr(self._config, field) for field in ENGINE_FIELDS):
            return
        limits = derive_limits(new)
        engine = self._parts.engine
        engine.reconfigure(_engine_config(new, limits, engine.memory))
        self._parts.memory_monitor.limit = new.memory_mb * BYTES_PER_MB
        self._parts.pools.reconfigure(limits, new.settings)
        self._parts.front.reconfigure(limits)
        log.info("SIGHUP: other settings hold")

    def _update_change_log(self, new: Config, known: list[Change]) -> None:
        if new.site != self._config.site:
            self._parts.change_log.restart(ChangeLogSource(new.changelog, new.site), known, new.cursor)
        else:
            self._parts.change_log.move(new.changelog)
        host, port = new.changelog or ("nowhere", 0)
        log.info("SIGHUP: the change log is read from %s, port %d", host, port)
