"""Change log server of the soak test: one event history, served to each router at its own endpoint."""

from __future__ import annotations

import contextlib
import math
import socket
import struct
import time
from dataclasses import dataclass, field
from enum import Enum

import trio

from brackenlane.lab.soak.record import Notification, Record
from brackenlane.lab.stand_ins.cache_server import CacheListener

# Frame types of the change log protocol.
HEARTBEAT = 0
LIST_CHANGES = 2
GROUP_PURGE = 4
HEARTBEAT_INTERVAL = 1.0  # seconds
MAX_NOTIFICATION_DELAY = 7.0  # seconds; documented limit, after which an event counts as received
UNLIMITED_CONNECTIONS = 1_000_000  # more than any run opens
RECOVERY_TIME = 4.0  # seconds; the documented limit after the endpoint moved or failed
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER value that makes close() send a reset


class ConnectionFault(Enum):
    """How an endpoint treats its first connections."""

    NONE = 0
    SILENT = 1
    RESETS = 2
    DELAYED = 3


@dataclass(slots=True)
class LogEvent:
    """One published event."""

    number: int
    frame: bytes
    published_at: float
    change: Notification
    first_received_at: dict[int, float] = field(default_factory=dict)  # by router number


class ChangeHistory:
    """All published events, and the time at which each router counts as notified of them."""

    def __init__(self, first_number: int) -> None:
        self.events: list[LogEvent] = []
        self.fault_times: dict[int, list[float]] = {}  # by router: when its endpoint failed or moved
        self._next_number = first_number
        self.event_added = trio.Event()

    def publish(self, kind: int, payload: bytes, change: Notification) -> None:
        """Append an event and notify the connections that wait for one."""
        head = struct.pack(">IQB", 9 + len(payload), self._next_number, kind)
        event = LogEvent(self._next_number, head + payload, trio.current_time(), change)
        self.events.append(event)
        self._next_number += 1
        event_added, self.event_added = self.event_added, trio.Event()
        event_added.set()

    def notifications(self, record: Record) -> list[Notification]:
        """Return when each router counts as notified of each event.

        This is the time of receipt, or the documented limit where that is earlier.
        """
        found = []
        for event in self.events:
            for router in record.routers:
                at = self._notified_at(event, router.number)
                change = event.change
                found.append(
                    Notification(
                        router.number,
                        at,
                        change.server,
                        change.is_serving,
                        change.purged_group,
                        change.purged_at,
                    )
                )
        return found

    def _notified_at(self, event: LogEvent, router: int) -> float:
        published_at = event.published_at
        bound = published_at + MAX_NOTIFICATION_DELAY
        fault_times = [at for at in self.fault_times.get(router, ()) if at <= bound]
        if fault_times:
            ended_by = max(fault_times) + RECOVERY_TIME
            if ended_by >= published_at:
                bound = min(bound, ended_by)
        return min(bound, event.first_received_at.get(router, math.inf))


class ChangeLogEndpoint(CacheListener):
    """One address at which one router reads the change log."""

    def __init__(
        self, history: ChangeHistory, router: int, fault: ConnectionFault = ConnectionFault.NONE
    ) -> None:
        self._history = history
        self._router = router
        self._fault = fault
        self._connections = 0
        self._last_silenced = 0  # connections up to this number send nothing more
        self._streams: list[trio.SocketStream] = []

    def silence_open_connections(self) -> None:
        """Send nothing more on the connections that are open now."""
        self._last_silenced = self._connections

    def reset_all_and_refuse(self) -> None:
        """Reset the connections that are open now, and each later one."""
        self._fault = ConnectionFault.RESETS
        # Keeps the numbers of all later connections within the range that is reset.
        self._connections = -UNLIMITED_CONNECTIONS
        self.reset_all()

    def reset_all(self) -> None:
        """Reset the connections that are open now."""
        for stream in self._streams:
            _reset_stream(stream)
        self._streams.clear()

    async def _serve(self, stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            cursor = int.from_bytes(await stream.receive_some(8), "big")
            self._connections += 1
            number = self._connections
            self._streams.append(stream)
            if number == 1 and self._fault is ConnectionFault.SILENT:
                await trio.sleep_forever()
            if number <= 3 and self._fault is ConnectionFault.RESETS:
                _reset_stream(stream)
                return
            if self._fault is ConnectionFault.DELAYED:
                await trio.sleep(1.0)
            await self._follow(stream, number, cursor)

    async def _follow(self, stream: trio.SocketStream, number: int, cursor: int) -> None:
        while True:
            event_added = self._history.event_added
            for event in self._history.events:
                if event.number > cursor and number > self._last_silenced:
                    await stream.send_all(event.frame)
                    cursor = event.number
                    event.first_received_at.setdefault(self._router, trio.current_time())
            with trio.move_on_after(HEARTBEAT_INTERVAL) as quiet:
                await event_added.wait()
            if number <= self._last_silenced:
                await trio.sleep_forever()
            if quiet.cancelled_caught:
                await stream.send_all(struct.pack(">IQB", 9, cursor, HEARTBEAT))


def _reset_stream(stream: trio.SocketStream) -> None:
    with contextlib.suppress(OSError, trio.ClosedResourceError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        stream.socket.close()


def publish_purge(history: ChangeHistory, group: int) -> None:
    """Publish a purge of a group with the current time."""
    now_ms = int(time.time() * 1000)
    payload = struct.pack(">HQ", group, now_ms)
    history.publish(GROUP_PURGE, payload, Notification(-1, 0.0, purged_group=group, purged_at=now_ms / 1000))
