"""The actor that follows the change log: caches and purges, to the core and to the boxes' actors."""

from __future__ import annotations

import logging
import random
import socket
import time
from collections.abc import Callable, Iterable

from brackenlane.config import Endpoint, Site
from brackenlane.core.timers import Timer, Timers
from brackenlane.limits import Limits
from brackenlane.net.change_log_codec import Change, FrameReader, ListError, read_frame
from brackenlane.net.connection_pools import ConnectionPools
from brackenlane.net.connector import Connector
from brackenlane.net.poller import Poller
from brackenlane.routing.events import Event, Membership, MembershipKind
from brackenlane.routing.members import ServerState

log = logging.getLogger(__name__)


class ChangeLogClient:
    """Follows one change log from the last event held, for good; one connection at a time."""

    def __init__(
        self,
        endpoint: Endpoint | None,
        site: Site,
        limits: Limits,
        pools: ConnectionPools,
        notify: Callable[[Event], None],
        poller: Poller,
        timers: Timers,
        seed: int = 0,
    ) -> None:
        self._endpoint, self._site, self._limits = endpoint, site, limits
        self._pools, self._notify, self._poller, self._timers = pools, notify, poller, timers
        self._dial: Connector | None = None
        self._sock: socket.socket | None = None
        self._received_at = 0.0  # when the connection said something last, or came up
        self._silence = self._patience = (
            limits.change_log_silence_timeout
        )  # borne now, and on the next connection
        self._reader = FrameReader(limits.max_change_log_frame)
        self._again: Timer | None = None  # the next try
        self._random, self._wait = random.Random(seed), limits.change_log_retry_delay  # before it, on average
        self.cursor = 0

    def start(self, known: Iterable[Change], cursor: int) -> None:
        """Take in what the configuration already knows, then follow."""
        for change in known:
            self._take(change)
        self.cursor = max(self.cursor, cursor)
        self._connect()

    def move(self, endpoint: Endpoint | None) -> None:
        """Go on at another address, at once, from the last event held."""
        if endpoint != self._endpoint:
            self._endpoint = endpoint
            self._close()
            self._connect()

    def begin_anew(self, endpoint: Endpoint | None, site: Site, known: Iterable[Change], cursor: int) -> None:
        """Read the list by other names of zones and kinds: what is known first, then what came later."""
        self._close()
        self._endpoint, self._site, self.cursor = endpoint, site, 0
        self.start(known, cursor)

    def _connect(self) -> None:
        if self._endpoint is not None:
            self._dial = Connector(
                self._endpoint,
                self._poller,
                self._timers,
                self._limits.change_log_connect_timeout,
                self._dialled,
            )
            self._dial.start()

    def _dialled(self, dial: Connector, sock: socket.socket | None) -> None:
        if dial is not self._dial:  # the log has moved meanwhile
            return sock.close() if sock else None
        self._dial = None
        if sock is None:
            return self._end("no connection")
        self._wait = self._limits.change_log_retry_delay
        self._sock, self._received_at, self._reader = (
            sock,
            time.time(),
            FrameReader(self._limits.max_change_log_frame),
        )
        self._poller.add(sock.fileno(), self._ready, urgent=True)
        self._silence = self._patience
        # Guards against asking anew for ever where the first word takes longer than a usual silence.
        self._patience = min(2 * self._patience, self._limits.max_change_log_silence_timeout)
        self._timers.at(self._received_at + self._silence, self._watch, sock)
        try:
            sock.send(self.cursor.to_bytes(8, "big"))  # a new connection takes so few at once
        except OSError as fault:
            self._end(str(fault))

    def _watch(self, sock: socket.socket) -> None:
        """Guards against a log that is cut off: its connection stays open and says nothing."""
        if sock is not self._sock:
            return  # another connection by now
        until = self._received_at + self._silence
        if time.time() >= until:
            self._end("it says nothing")
        else:
            self._timers.at(until, self._watch, sock)

    def _ready(self, _: int) -> None:
        assert self._sock is not None
        try:
            data = self._sock.recv(65_536)
        except BlockingIOError:
            return
        except OSError as fault:
            return self._end(str(fault))
        if not data:
            return self._end("it ended the connection")
        self._received_at = time.time()
        self._silence = self._patience = self._limits.change_log_silence_timeout
        try:
            for number, kind, payload in self._reader.feed(data):
                self._take(read_frame(number, kind, payload, self._site, self._received_at))
        except ListError as fault:
            self._end(str(fault))
        except Exception:  # one event must not end the following of all others
            log.exception("an event of the change log failed")
            self._end("an event failed")

    def _end(self, why: str) -> None:
        """What was missed while away comes first on the next connection."""
        log.warning("change log: %s", why)
        self._close()
        # Guards the log against all routers, which lose it at one moment and would come back at one.
        wait = self._wait * self._random.uniform(0.5, 1.5)
        self._again = self._timers.at(time.time() + wait, self._connect)
        self._wait = min(2 * self._wait, self._limits.max_change_log_retry_delay)

    def _close(self) -> None:
        self._dial = None  # what comes of it is let go
        if self._again:
            self._again.cancel()
        if self._sock:
            self._poller.remove(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _take(self, change: Change) -> None:
        event = change.event
        if event is None or change.number <= self.cursor:
            return
        if isinstance(event, Membership):
            gone = {m.server for m in event.members if m.state is ServerState.GONE}
            self._pools.follow(change.endpoints, gone, event.kind is MembershipKind.FULL)
        self._notify(event)
        if isinstance(event, Membership):
            self._pools.recheck()
        self.cursor = change.number
