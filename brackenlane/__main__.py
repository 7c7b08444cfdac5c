"""The router as a program: reads its configuration, starts its actors, leaves on SIGTERM."""

from __future__ import annotations

import logging
import os
import resource
import signal
import sys
import time
from pathlib import Path

import trio

from brackenlane.config import Config, ConfigError, load
from brackenlane.core.engine import RequestEngine
from brackenlane.core.metrics import RequestMetrics
from brackenlane.core.response_cache import ResponseCache
from brackenlane.lifecycle import EarlySignal, SignalWatcher, listen_plain, serve_until_signal
from brackenlane.limits import Limits
from brackenlane.net.change_log import ChangeLogClient
from brackenlane.net.change_log_codec import ListError, read_known
from brackenlane.net.connection_pool import ConnectionPools
from brackenlane.net.http_front import HttpFront
from brackenlane.net.poller import Poller
from brackenlane.observe.throttle import Throttle
from brackenlane.ops.admin_api import AdminApi
from brackenlane.ops.admin_routes import AdminRoutes
from brackenlane.ops.handover import Handover
from brackenlane.ops.handover_log import HandoverLog, HandoverLogError
from brackenlane.ops.maintenance_orders import MaintenanceOrders

log = logging.getLogger(__name__)

APPLIED = ("settings", "sockets", "memory_mb", "flow", "link")  # one of these changed: nothing learned stays


async def serve(config: Config, limits: Limits) -> None:
    """Run the platform's front until SIGTERM and the last answer after it."""
    poller = Poller(limits.batch, alone=True)
    with SignalWatcher(poller, signal.SIGHUP) as hangups:
        async with trio.open_nursery() as nursery:
            core = RequestEngine(
                config.settings,
                config.seed,
                limits,
                lambda attempt: pools.place(attempt),
                flow=config.flow,
                cache=_response_cache(config, limits),
            )
            core.timers.first = poller.handle_urgent
            counts = RequestMetrics(c.name for c in config.settings.classes)
            pools = ConnectionPools(
                core.membership, limits, config.settings, core.report, poller, core.timers, counts.tried
            )
            front = HttpFront(core, limits, poller, counts=counts)
            handover_log = _open_handover_log(config, limits) if config.ops else None
            orders = MaintenanceOrders(core, limits.taken_out, handover_log)
            handover = Handover(core, front, limits, handover_log, orders) if handover_log else None
            if config.ops:
                routes = AdminRoutes(
                    is_serving=lambda: front.serves,
                    metrics=lambda: orders.metrics(front.counts, front.active),
                    order=orders.order,
                )
                AdminApi(poller, core.timers, limits, routes).open(listen_plain(config.ops))
            changes = ChangeLogClient(
                config.changelog,
                config.site,
                limits,
                pools,
                orders.on_event,
                poller,
                core.timers,
                config.seed,
            )
            nursery.start_soon(core.run)
            nursery.start_soon(poller.run)
            changes.start(read_known(config.known, config.site, time.time()), config.cursor)
            nursery.start_soon(_reload, hangups, config, core, pools, front, changes)
            await serve_until_signal(
                front,
                config.listen,
                config.name,
                (lambda: handover.older_process_count if handover else 0) if config.ops else None,
                handover.announce_serving if handover else lambda: None,
            )
            if handover:
                handover.close()
            nursery.cancel_scope.cancel()


def _open_handover_log(config: Config, limits: Limits) -> HandoverLog | None:
    """Open the log that this router's processes share in `$TMPDIR`; None if there is none or it fails."""
    folder = os.environ.get("TMPDIR")
    if not folder:
        log.warning("TMPDIR is not set: orders and submits are not known to the next process")
        return None
    host, port = config.listen
    try:
        return HandoverLog(Path(folder) / f"brackenlane.{host}.{port}", limits)
    except HandoverLogError as fault:
        log.warning("orders and submits are not known to the next process: %s", fault)
        return None


def _response_cache(config: Config, limits: Limits) -> ResponseCache | None:
    """The response cache, copies of our own, where we are told what our link bears."""
    if not config.flow or not config.link:
        return None
    capacity = limits.copies * config.memory_mb * 2**20
    return ResponseCache(config.settings, capacity, config.flow, config.link, limits.age_slack)


def _limits(config: Config) -> Limits:
    """The limits that follow from a configuration, and from what the system allows this process."""
    sockets = min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    return Limits().within(sockets).suited(config.settings).before_killed(config.settings)


async def _reload(
    hangups: SignalWatcher,
    config: Config,
    core: RequestEngine,
    pools: ConnectionPools,
    front: HttpFront,
    changes: ChangeLogClient,
) -> None:
    """On SIGHUP read the file again. One that can't be used changes nothing; another holds whole at once."""
    while True:
        await hangups.next()
        try:
            new = load(os.environ.get("GW_CONFIG"), os.environ.get("GW_OPS", ""))
            if reported := [
                name for name in ("listen", "ops") if getattr(new, name) != getattr(config, name)
            ]:
                raise ConfigError(f"{', '.join(reported)}: another address needs a new process")
            known = list(read_known(new.known, new.site, time.time()))  # all faults come before any change
            if any(getattr(new, name) != getattr(config, name) for name in APPLIED):
                limits = _limits(new)
                core.reconfigure(new.settings, new.seed, limits, new.flow, _response_cache(new, limits))
                pools.reconfigure(limits, new.settings)
                front.reconfigure(limits)
                log.info("SIGHUP: other settings hold")
        except (ConfigError, ListError) as fault:
            log.warning("SIGHUP: the old configuration stays in force: %s", " ".join(str(fault).split()))
            continue
        except Exception:  # guards the requests in hand against what no check foresaw
            log.exception("SIGHUP: the old configuration stays in force")
            continue
        if new.site != config.site:
            changes.begin_anew(new.changelog, new.site, known, new.cursor)
        else:
            changes.move(new.changelog)
        config = new
        host, port = new.changelog or ("nowhere", 0)
        log.info("SIGHUP: the change log is at %s, port %d", host, port)


def main(arguments: list[str]) -> int:
    """Run what the command line names; 2 for a configuration that can't be used."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    for handler in logging.getLogger().handlers:
        handler.addFilter(Throttle(Limits().log_lines, Limits().log_span))
    # Guards against a SIGHUP that ends the program, and against a new file whose SIGHUP comes between the
    # reading of the old one and the handler; before this line `run` in the deploy file has it ignored.
    signal.signal(signal.SIGHUP, EarlySignal() if not arguments else signal.SIG_IGN)
    status = 0
    try:
        match arguments:
            case []:
                config = load(os.environ.get("GW_CONFIG"), os.environ.get("GW_OPS", ""))
                trio.run(serve, config, _limits(config))
            case _:
                from brackenlane.cli.main import run  # the platform's router needs none of it

                status = run(arguments)
    except* (ConfigError, ListError) as faults:
        for line in str(_first(faults)).splitlines():
            print(f"brackenlane: {' '.join(line.split())}", file=sys.stderr)
        status = 2
    except* KeyboardInterrupt:
        status = 130
    return status


def _first(fault: BaseException) -> BaseException:
    while isinstance(fault, BaseExceptionGroup):
        fault = fault.exceptions[0]
    return fault


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
