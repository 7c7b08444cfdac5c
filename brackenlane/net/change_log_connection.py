"""One connection to the change log: connects, sends the number of the last event applied, reads frames."""

from __future__ import annotations

import logging
import socket
from enum import Enum
from typing import Protocol

from brackenlane.config import Endpoint
from brackenlane.core.timers import Timers
from brackenlane.limits import Limits
from brackenlane.net.change_log_codec import ChangeLogFormatError, Frame, FrameReader
from brackenlane.net.connector import Connector
from brackenlane.net.poller import READ, WRITE, Poller
from brackenlane.net.socket_errors import is_temporary

log = logging.getLogger(__name__)

RECEIVE_BYTES = 65_536
CURSOR_BYTES = 8


class ConnectionState(Enum):
    """State of a connection; transitions only go down this list."""

    CONNECTING = "connecting"
    SILENT = "silent"  # connected, no data received yet
    FOLLOWING = "following"  # connected, data received
    CLOSED = "closed"


class ConnectionOwner(Protocol):
    """Receiver of the events of a connection."""

    @property
    def cursor(self) -> int:
        """Number of the last event applied."""

    def on_connected(self, connection: ChangeLogConnection) -> None:
        """Called when the connection is established."""

    def on_received(self, connection: ChangeLogConnection) -> None:
        """Called when bytes were received, before their frames are handled."""

    def on_frame(self, frame: Frame) -> None:
        """Handle one frame. Raises ChangeLogFormatError if it cannot be decoded."""

    def on_failure(self, connection: ChangeLogConnection, reason: str) -> None:
        """Called when the connection failed or ended; it is already closed."""


class ChangeLogConnection:
    """One connection to the change log; after `close` its owner is not called any more."""

    def __init__(
        self, number: int, poller: Poller, timers: Timers, limits: Limits, owner: ConnectionOwner
    ) -> None:
        """number: identifies the connection in the log of this process."""
        self.number = number
        self.state = ConnectionState.CONNECTING
        self._poller = poller
        self._timers = timers
        self._owner = owner
        self._connect_timeout = limits.change_log_connect_timeout
        self._reader = FrameReader(limits.max_change_log_frame)
        self._unsent_cursor = b""  # bytes of the encoded cursor that are still to be sent
        self._sock: socket.socket | None = None
        self._connector: Connector | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection is not closed; it may still be connecting."""
        return self.state is not ConnectionState.CLOSED

    def start(self, endpoint: Endpoint) -> None:
        """Start to connect; the owner may be called before this returns."""
        self._connector = Connector(
            endpoint, self._poller, self._timers, self._connect_timeout, self._on_connect_end
        )
        self._connector.start()

    def close(self) -> None:
        """Close the connection, or cancel the connect in progress."""
        self.state = ConnectionState.CLOSED
        if self._connector:
            self._connector.cancel()
            self._connector = None
        if self._sock:
            self._poller.remove(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _fail(self, reason: str) -> None:
        if self.is_open:
            self.close()
            self._owner.on_failure(self, reason)

    def _on_connect_end(self, _: Connector, sock: socket.socket | None) -> None:
        self._connector = None
        if sock is None:
            self._fail("cannot connect")
            return
        self._sock = sock
        try:
            self._poller.add(sock.fileno(), self._on_ready, urgent=True)
        except OSError as error:
            self._fail(f"epoll cannot register the socket: {error.strerror}")
            return
        self.state = ConnectionState.SILENT
        self._unsent_cursor = self._owner.cursor.to_bytes(CURSOR_BYTES, "big")
        self._owner.on_connected(self)
        self._send_cursor()

    def _send_cursor(self) -> None:
        """Send the rest of the cursor: send(2) may accept any part of it at a time."""
        if self._sock is None:
            return
        try:
            self._unsent_cursor = self._unsent_cursor[self._sock.send(self._unsent_cursor) :]
        except OSError as error:
            if not is_temporary(error):
                self._fail(str(error))
                return
        self._poller.set_events(self._sock.fileno(), READ | WRITE if self._unsent_cursor else READ)

    def _on_ready(self, _: int) -> None:
        if self._unsent_cursor:
            self._send_cursor()
        if self._sock is None:
            return
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except OSError as error:
            if not is_temporary(error):
                self._fail(str(error))
            return
        if not data:
            self._fail("the log closed the connection")
            return
        self.state = ConnectionState.FOLLOWING
        self._owner.on_received(self)
        self._handle_frames(data)

    def _handle_frames(self, data: bytes) -> None:
        try:
            for frame in self._reader.feed(data):
                if not self.is_open:
                    return
                self._owner.on_frame(frame)
        except ChangeLogFormatError as error:
            self._fail(str(error))
        except Exception:  # reconnects, so that a failure on one event does not stop all later ones
            log.exception("an event of the change log failed")
            self._fail("unexpected error while applying an event")
