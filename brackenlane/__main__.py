"""The doorman as a program: reads its configuration, starts its actors, leaves on SIGTERM."""

from __future__ import annotations

import logging
import os
import signal
import sys
import time

import trio

from brackenlane.config import Config, ConfigError, load
from brackenlane.core import Core
from brackenlane.limits import Limits
from brackenlane.net.changelog import ChangeLog
from brackenlane.net.clients import Door
from brackenlane.net.depots import Depots
from brackenlane.net.listing import ListError, read_known

log = logging.getLogger(__name__)


async def serve(config: Config, limits: Limits) -> None:
    """Run the platform's front until SIGTERM and the last answer after it."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            core = Core(config.settings, config.seed, limits, lambda attempt: depots.place(attempt))
            depots = Depots(core.fleet, limits, config.settings.connect_timeout, core.report, nursery)
            changes = ChangeLog(config.changelog, config.site, limits, depots, core.tell)
            nursery.start_soon(core.run)
            await changes.start(read_known(config.known, config.site, time.time()),
                                int(config.known.get("seq", 0)))
            nursery.start_soon(changes.run)
            door = Door(core, limits)
            listeners = await trio.open_tcp_listeners(config.listen[1], host=config.listen[0])
            accepting = trio.CancelScope()
            await nursery.start(accept, door, listeners, accepting, nursery)
            log.info("%s serves on %s:%d", config.name, *config.listen)
            await anext(aiter(signals))
            # New connections and requests keep coming for a moment, and all are owed an answer.
            await trio.sleep(limits.leaving)
            accepting.cancel()
            door.leave()
            with trio.move_on_after(limits.last_answers):
                await door.emptied()
            nursery.cancel_scope.cancel()


async def accept(door: Door, listeners: list[trio.SocketListener], accepting: trio.CancelScope,
                 clients: trio.Nursery, *, task_status: trio.TaskStatus[object]) -> None:
    """Accept clients until told to stop; those accepted are served on."""
    with accepting:
        await trio.serve_listeners(door.serve, listeners, handler_nursery=clients, task_status=task_status)


def main() -> int:
    """Run by the platform's environment; 2 for a configuration that can't be used."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    status = 0
    try:
        config = load(os.environ.get("GW_CONFIG"))
        trio.run(serve, config, Limits())
    except* (ConfigError, ListError) as faults:
        print(f"brackenlane: {' '.join(str(faults.exceptions[0]).split())}", file=sys.stderr)
        status = 2
    return status


if __name__ == "__main__":
    sys.exit(main())
