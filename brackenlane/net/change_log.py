"""Client of the change log: receives cache list changes and purges, and reconnects with backoff."""

from __future__ import annotations

import itertools
import logging
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, replace
from typing import NamedTuple

from brackenlane.clock import steady_time
from brackenlane.config import Endpoint, Site
from brackenlane.core.timers import Timer, Timers
from brackenlane.core.timestamp_ages import TimestampAges
from brackenlane.limits import Limits
from brackenlane.net.change_log_codec import Change, Frame, read_frame
from brackenlane.net.change_log_connection import ChangeLogConnection
from brackenlane.net.connection_pools import ConnectionPools
from brackenlane.net.poller import Poller
from brackenlane.routing.events import Event, Membership, MembershipKind, Purged
from brackenlane.routing.members import Member, ServerState

log = logging.getLogger(__name__)

RETRY_JITTER = (0.5, 1.5)  # range of the random factor on the retry delay
SILENCE_TIMEOUT_JITTER = (1.0, 1.25)  # range of the random factor on the wait for the first or next bytes


class ChangeApplier:
    """Passes each change to the connection pools and the request engine, in order and at most once."""

    def __init__(
        self, pools: ConnectionPools, notify: Callable[[Event], None], max_servers: int = 2**31
    ) -> None:
        """notify: passes an event to the request engine; max_servers: maximum number of listed servers."""
        self._pools = pools
        self._notify = notify
        self._max_servers = max_servers
        self._listed: set[str] = set()
        self.cursor = 0  # number of the last change applied
        self.refused_server_count = 0  # entries of servers that were refused because the list was full

    def apply(self, change: Change) -> None:
        """Apply a change unless it was already applied."""
        event = change.event
        if event is None or change.number <= self.cursor:
            return
        if isinstance(event, Membership):
            event = self._without_excess(event)
            gone = {member.server for member in event.members if member.state is ServerState.GONE}
            endpoints = {
                server: endpoint for server, endpoint in change.endpoints.items() if server in self._listed
            }
            self._pools.update_servers(endpoints, gone, event.kind is MembershipKind.FULL)
        self._notify(event)
        if isinstance(event, Membership):
            self._pools.recheck()
        self.cursor = change.number

    def _without_excess(self, event: Membership) -> Membership:
        """Return a list without the servers for which there is no room; those already listed stay."""
        if event.kind is MembershipKind.FULL:
            self._listed = set()
        members: list[Member] = []
        for member in event.members:
            if member.state is ServerState.GONE:
                self._listed.discard(member.server)
            elif member.server in self._listed or len(self._listed) < self._max_servers:
                self._listed.add(member.server)
            else:
                continue
            members.append(member)
        refused = len(event.members) - len(members)
        if not refused:
            return event
        self.refused_server_count += refused
        log.warning("change log: %d servers refused, %d are listed already", refused, len(self._listed))
        return replace(event, members=tuple(members))


@dataclass(slots=True)
class ChangeLogCounters:
    """Counts since the start of this process."""

    connections: int = 0  # connections opened
    failures: int = 0  # connections that were refused, reset, closed by the log, or sent invalid data
    silences: int = 0  # timeouts without received data after which another connection was opened
    events: int = 0  # events applied

    def by_name(self) -> dict[str, int]:
        """Return each count under the name of its metric."""
        return {f"change_log_{name}": count for name, count in asdict(self).items()}


class ChangeLogSource(NamedTuple):
    """Address of the change log (None if there is none) and the site whose names its lists use."""

    endpoint: Endpoint | None
    site: Site


class ChangeLogClient:
    """Receives the events of one change log after the last change applied, until the program ends.

    A connection on which no data arrives is not closed at once: another one is opened in parallel, the first
    one to deliver data is used, and all others are closed. A log that is slow to start sending is thus still
    received, and a connection that stays silent delays updates only until the next connection is opened.
    The timeouts do not adapt to earlier connections, whose behavior does not predict that of the next one,
    least of all at another address. Each event is applied once, by its number, on whichever connection it
    arrives.
    """

    def __init__(
        self,
        source: ChangeLogSource,
        limits: Limits,
        applier: ChangeApplier,
        poller: Poller,
        timers: Timers,
        random_source: random.Random,
    ) -> None:
        self._source = source
        self._limits = limits
        self._applier = applier
        self._poller = poller
        self._timers = timers
        self._random = random_source
        self.counters = ChangeLogCounters()
        self._purge_ages = TimestampAges()
        self._connections: list[ChangeLogConnection] = []  # oldest first
        self._active_connection: ChangeLogConnection | None = None  # the one that last delivered data
        self._connection_numbers = itertools.count(1)
        self._retry_interval = limits.change_log_retry_delay  # seconds, before jitter
        self._timer: Timer | None = None
        self._timer_due_at = math.inf  # Unix time at which the timer fires
        # Unix time at which another connection is opened, unless data arrives before.
        self._next_connection_at = math.inf

    @property
    def cursor(self) -> int:
        """Number of the last event applied."""
        return self._applier.cursor

    def start(self, known: Iterable[Change], cursor: int) -> None:
        """Apply the changes contained in the configuration, then receive those after the cursor."""
        for change in known:
            self._applier.apply(change)
        self._applier.cursor = max(self._applier.cursor, cursor)
        self._open_connection()

    def move(self, endpoint: Endpoint | None) -> None:
        """Reconnect to another address at once and continue after the last change applied."""
        if endpoint != self._source.endpoint:
            self._source = self._source._replace(endpoint=endpoint)
            self._close_all_connections()
            self._open_connection()

    def restart(self, source: ChangeLogSource, known: Iterable[Change], cursor: int) -> None:
        """Start over with a new source: names of zones or server kinds changed, so all events are read again.

        known: changes contained in the configuration, applied first; cursor: number after which to continue.
        """
        self._close_all_connections()
        self._source = source
        self._applier.cursor = 0
        self.start(known, cursor)

    def on_connected(self, connection: ChangeLogConnection) -> None:
        """Start the silence timeout for the first bytes of a new connection."""
        log.info("change log: connection %d established, last event is %d", connection.number, self.cursor)
        self._wait_for_bytes(self._limits.change_log_silence_timeout)

    def on_received(self, connection: ChangeLogConnection) -> None:
        """Use the connection that delivered data and close all others."""
        if connection is not self._active_connection:
            self._active_connection = connection
            log.info(
                "change log: connection %d delivers data, last event is %d", connection.number, self.cursor
            )
        if len(self._connections) > 1:
            others = [other for other in self._connections if other is not connection]
            for other in others:
                self._close_connection(other, f"connection {connection.number} delivers data")
        self._retry_interval = self._limits.change_log_retry_delay
        self._wait_for_bytes(self._limits.change_log_silence_timeout)

    def on_frame(self, frame: Frame) -> None:
        """Apply the change of one frame. Raises ChangeLogFormatError."""
        before = self.cursor
        now = steady_time()
        change = read_frame(frame, self._source.site, now)
        if isinstance(change.event, Purged):
            # The age is not computed from the two clocks: if a purge seemed older than it is, copies from
            # before it would be accepted.
            age = self._purge_ages.age(change.event.purged_at, now)
            change = replace(change, event=replace(change.event, age=age))
        self._applier.apply(change)
        self.counters.events += self.cursor != before

    def on_failure(self, connection: ChangeLogConnection, reason: str) -> None:
        """Reconnect after a delay; the next connection starts with the changes missed meanwhile."""
        self._connections.remove(connection)
        self.counters.failures += 1
        # Jittered, because all routers lose the log at the same moment and must not reconnect in step.
        delay = self._retry_interval * self._random.uniform(*RETRY_JITTER)
        self._retry_interval = min(2 * self._retry_interval, self._limits.max_change_log_retry_delay)
        log.warning(
            "change log: %s; connection %d at event %d, the next in %.2f s",
            reason,
            connection.number,
            self.cursor,
            delay,
        )
        self._open_connection_in(delay)

    def _open_connection(self) -> None:
        """Open another connection; at the limit the oldest one is closed first."""
        self._next_connection_at = math.inf
        if self._source.endpoint is None:
            return
        if len(self._connections) >= self._limits.max_change_log_connections:
            self._close_connection(
                self._connections[0], "no data received, and the limit of connections is reached"
            )
        connection = ChangeLogConnection(
            next(self._connection_numbers), self._poller, self._timers, self._limits, self
        )
        self._connections.append(connection)
        self.counters.connections += 1
        self._wait_for_bytes(self._limits.change_log_connection_attempt_delay)
        connection.start(self._source.endpoint)

    def _open_another(self) -> None:
        """Open another connection in parallel to those on which no data arrived within the timeout."""
        if self._connections:
            self.counters.silences += 1
            newest = self._connections[-1]
            log.warning(
                "change log: no data received; connection %d is %s at event %d, opening another one",
                newest.number,
                newest.state.value,
                self.cursor,
            )
        self._open_connection()

    def _close_all_connections(self) -> None:
        for connection in list(self._connections):
            self._close_connection(connection, "the address or the names of the log have changed")
        self._retry_interval = self._limits.change_log_retry_delay
        self._next_connection_at = math.inf

    def _close_connection(self, connection: ChangeLogConnection, reason: str) -> None:
        log.info(
            "change log: closing connection %d (%s): %s", connection.number, connection.state.value, reason
        )
        self._connections.remove(connection)
        connection.close()

    def _wait_for_bytes(self, timeout: float) -> None:
        """Open another connection after a jittered timeout in seconds, unless data arrives before."""
        self._open_connection_in(timeout * self._random.uniform(*SILENCE_TIMEOUT_JITTER))

    def _open_connection_in(self, delay: float) -> None:
        self._next_connection_at = self._timers.clock() + delay
        # A timer that fires earlier is kept: `_on_timer` sets it again for the later time.
        if self._next_connection_at < self._timer_due_at:
            self._set_timer()

    def _set_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer_due_at = self._next_connection_at
        self._timer = self._timers.call_at(self._timer_due_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._timer_due_at = math.inf
        if self._next_connection_at <= self._timers.clock():
            self._open_another()
        elif self._next_connection_at < math.inf:
            self._set_timer()
