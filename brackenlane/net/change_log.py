"""Client of the change log: follows the caches and purges of the platform, and reconnects with backoff."""

from __future__ import annotations

import logging
import random
import socket
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from brackenlane.config import Endpoint, Site
from brackenlane.core.timers import Timer, Timers
from brackenlane.limits import Limits
from brackenlane.net.change_log_codec import Change, Frame, read_frame
from brackenlane.net.change_log_connection import ChangeLogConnection
from brackenlane.net.connection_pools import ConnectionPools
from brackenlane.net.connector import Connector
from brackenlane.net.poller import Poller
from brackenlane.routing.events import Event, Membership, MembershipKind
from brackenlane.routing.members import ServerState

log = logging.getLogger(__name__)

RETRY_JITTER = (0.5, 1.5)  # bounds of the random factor on a retry interval


class ChangeApplier:
    """Passes each change once, in order, to the connection pools and the request engine."""

    def __init__(self, pools: ConnectionPools, notify: Callable[[Event], None]) -> None:
        """Call `notify` with each event, for the request engine."""
        self._pools = pools
        self._notify = notify
        self.cursor = 0  # the number of the last change applied

    def apply(self, change: Change) -> None:
        """Apply a change, unless it was applied before."""
        event = change.event
        if event is None or change.number <= self.cursor:
            return
        if isinstance(event, Membership):
            gone = {member.server for member in event.members if member.state is ServerState.GONE}
            self._pools.follow(change.endpoints, gone, event.kind is MembershipKind.FULL)
        self._notify(event)
        if isinstance(event, Membership):
            self._pools.recheck()
        self.cursor = change.number


class ChangeLogSource(NamedTuple):
    """Where the change log is (None: nowhere), and by which names its lists are read."""

    endpoint: Endpoint | None
    site: Site


class ChangeLogClient:
    """Follows one change log from the last change applied, forever; one connection at a time."""

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
        self._connector: Connector | None = None
        self._connection: ChangeLogConnection | None = None
        self._retry_timer: Timer | None = None
        self._retry_interval = limits.change_log_retry_delay  # seconds on average
        self._first_silence = (
            limits.change_log_silence_timeout
        )  # seconds that the next connection may stay silent at first

    def start(self, known: Iterable[Change], cursor: int) -> None:
        """Apply the changes known from the configuration, then follow those behind the cursor."""
        for change in known:
            self._applier.apply(change)
        self._applier.cursor = max(self._applier.cursor, cursor)
        self._connect()

    def move(self, endpoint: Endpoint | None) -> None:
        """Continue at another address, at once, from the last change applied."""
        if endpoint != self._source.endpoint:
            self._source = self._source._replace(endpoint=endpoint)
            self._close()
            self._connect()

    def restart(self, source: ChangeLogSource, known: Iterable[Change], cursor: int) -> None:
        """Read all again by other names of zones and kinds: first what is known, then what came later."""
        self._close()
        self._source = source
        self._applier.cursor = 0
        self.start(known, cursor)

    def on_frame(self, frame: Frame, received_at: float) -> None:
        """Apply the change of one frame. Raises ChangeLogFormatError."""
        self._applier.apply(read_frame(frame, self._source.site, received_at))

    def on_failure(self, reason: str) -> None:
        """Reconnect after a while; the changes missed meanwhile come first on the next connection."""
        log.warning("change log: %s", reason)
        self._close()
        # Jittered, since all routers lose the log at one moment and must not come back at one.
        delay = self._retry_interval * self._random.uniform(*RETRY_JITTER)
        self._retry_timer = self._timers.at(time.time() + delay, self._connect)
        self._retry_interval = min(2 * self._retry_interval, self._limits.max_change_log_retry_delay)

    def _connect(self) -> None:
        if self._source.endpoint is None:
            return
        self._connector = Connector(
            self._source.endpoint,
            self._poller,
            self._timers,
            self._limits.change_log_connect_timeout,
            self._on_connect_end,
        )
        self._connector.start()

    def _on_connect_end(self, connector: Connector, sock: socket.socket | None) -> None:
        if connector is not self._connector:  # abandoned: the log has moved meanwhile
            if sock:
                sock.close()
            return
        self._connector = None
        if sock is None:
            self.on_failure("no connection")
            return
        self._retry_interval = self._limits.change_log_retry_delay
        max_silence = self._first_silence
        # Guards against reconnecting forever where the first bytes take longer than a usual silence.
        self._first_silence = min(2 * max_silence, self._limits.max_change_log_silence_timeout)
        self._connection = ChangeLogConnection(sock, self._poller, self._timers, self._limits, self)
        self._connection.start(self._applier.cursor, max_silence)

    def _close(self) -> None:
        """Abandon the connection, the attempt to connect, or the wait for the next one."""
        self._connector = None
        if self._retry_timer:
            self._retry_timer.cancel()
        if self._connection:
            if self._connection.has_received:
                self._first_silence = self._limits.change_log_silence_timeout
            self._connection.close()
            self._connection = None
