"""What both fronts do alike: open the door to clients, and leave in order on SIGTERM."""

from __future__ import annotations

import logging
import signal

import trio

from brackenlane.config import ConfigError, Endpoint
from brackenlane.limits import Limits
from brackenlane.net.clients import Door

log = logging.getLogger(__name__)


async def listen(endpoint: Endpoint) -> list[trio.SocketListener]:
    """Listeners on one TCP address."""
    try:
        return await trio.open_tcp_listeners(endpoint[1], host=endpoint[0])
    except OSError as fault:
        raise ConfigError(f"cannot listen on {endpoint[0]}:{endpoint[1]}: {fault.strerror}") from None


async def serve_until_told(door: Door, endpoint: Endpoint, name: str, limits: Limits,
                           nursery: trio.Nursery) -> None:
    """Serve clients; after SIGTERM go on for a moment, then end once all that was taken is answered."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        accepting = trio.CancelScope()
        await nursery.start(_accept, door, await listen(endpoint), accepting, nursery)
        log.info("%s serves on %s:%d", name, *endpoint)
        await anext(aiter(signals))
    # New connections and requests keep coming for a moment, and all are owed an answer.
    await trio.sleep(limits.leaving)
    accepting.cancel()
    door.leave()
    with trio.move_on_after(limits.last_answers):
        await door.emptied()


async def _accept(door: Door, listeners: list[trio.SocketListener], accepting: trio.CancelScope,
                  clients: trio.Nursery, *, task_status: trio.TaskStatus[object]) -> None:
    """Accept clients until told to stop; those accepted are served on."""
    with accepting:
        await trio.serve_listeners(door.serve, listeners, handler_nursery=clients, task_status=task_status)
