"""One open connection to the change log: frames out of its socket, and a watch over its silence."""

from __future__ import annotations

import logging
import socket
import time
from typing import Protocol

from brackenlane.core.timers import Timers
from brackenlane.limits import Limits
from brackenlane.net.change_log_codec import ChangeLogFormatError, Frame, FrameReader
from brackenlane.net.poller import Poller

log = logging.getLogger(__name__)

RECEIVE_BYTES = 65_536
CURSOR_BYTES = 8


class FrameHandler(Protocol):
    """The owner of a connection."""

    def on_frame(self, frame: Frame, received_at: float) -> None:
        """Handle one frame. Raises ChangeLogFormatError for one that cannot be read."""

    def on_failure(self, reason: str) -> None:
        """Handle the end of the connection, which is to be closed."""


class ChangeLogConnection:
    """A connection that has come up; it closes only when its owner says so."""

    def __init__(
        self, sock: socket.socket, poller: Poller, timers: Timers, limits: Limits, handler: FrameHandler
    ) -> None:
        self._sock = sock
        self._poller = poller
        self._timers = timers
        self._handler = handler
        self._usual_silence = limits.change_log_silence_timeout
        self._max_silence = limits.change_log_silence_timeout  # seconds that may pass without bytes now
        self._reader = FrameReader(limits.max_change_log_frame)
        self._received_at = time.time()  # when bytes came last, or the connection came up
        self._is_open = True
        self.has_received = False

    def start(self, cursor: int, max_silence: float) -> None:
        """Ask for all events behind the cursor; allow `max_silence` seconds until the first bytes come."""
        self._max_silence = max_silence
        self._poller.add(self._sock.fileno(), self._on_ready, urgent=True)
        self._timers.at(self._received_at + max_silence, self._check_silence)
        try:
            # The send buffer of a new connection has room for it.
            self._sock.send(cursor.to_bytes(CURSOR_BYTES, "big"))
        except OSError as error:
            self._handler.on_failure(str(error))

    def close(self) -> None:
        """Close the connection."""
        self._is_open = False
        self._poller.remove(self._sock.fileno())
        self._sock.close()

    def _check_silence(self) -> None:
        """Guard against a change log that is cut off: its connection stays open and nothing comes."""
        if not self._is_open:
            return
        deadline = self._received_at + self._max_silence
        if time.time() >= deadline:
            self._handler.on_failure("it says nothing")
        else:
            self._timers.at(deadline, self._check_silence)

    def _on_ready(self, _: int) -> None:
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._handler.on_failure(str(error))
            return
        if not data:
            self._handler.on_failure("it ended the connection")
            return
        self._received_at = time.time()
        self._max_silence = self._usual_silence
        self.has_received = True
        self._handle_frames(data)

    def _handle_frames(self, data: bytes) -> None:
        try:
            for frame in self._reader.feed(data):
                self._handler.on_frame(frame, self._received_at)
        except ChangeLogFormatError as error:
            self._handler.on_failure(str(error))
        except Exception:  # one event must not keep all later ones from being read
            log.exception("an event of the change log failed")
            self._handler.on_failure("an event failed")
