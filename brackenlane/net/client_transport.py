"""Socket of one client connection: receives bytes, and sends answers as fast as the client reads them."""

from __future__ import annotations

import socket

from brackenlane.net.poller import READ, WRITE, Poller
from brackenlane.net.socket_errors import is_temporary

RECEIVE_SIZE = 16_384  # bytes


class ClientDisconnectedError(Exception):
    """The socket of a client cannot be written any more, because the client has disconnected."""


class ClientTransport:
    """Owns a client's socket and the unsent rest of an answer."""

    __slots__ = ("_poller", "_sock", "_unsent")

    def __init__(self, sock: socket.socket, poller: Poller) -> None:
        self._sock = sock
        self._poller = poller
        self._unsent = memoryview(b"")

    @property
    def has_unsent(self) -> bool:
        """Whether a part of the answer is still to be sent."""
        return bool(self._unsent)

    def receive(self) -> bytes | None:
        """Return received bytes, None if there are none, or b"" if the client has disconnected."""
        try:
            return self._sock.recv(RECEIVE_SIZE)
        except OSError as error:
            return None if is_temporary(error) else b""

    def send(self, head: bytes, body: bytes = b"") -> None:
        """Send what the socket accepts now; `flush` sends the rest once the socket is writable.

        Raises ClientDisconnectedError.
        """
        try:
            sent = self._sock.sendmsg((head, body)) if body else self._sock.send(head)
        except OSError as error:
            if not is_temporary(error):
                raise ClientDisconnectedError(error.strerror) from error
            sent = 0
        if sent < len(head) + len(body):
            self._unsent = memoryview(head + body)[sent:]
            self._poller.set_events(self._sock.fileno(), READ | WRITE)

    def flush(self) -> bool:
        """Continue sending; return whether the answer is now sent completely.

        Raises ClientDisconnectedError.
        """
        try:
            sent = self._sock.send(self._unsent)
        except OSError as error:
            if is_temporary(error):
                return False
            raise ClientDisconnectedError(error.strerror) from error
        self._unsent = self._unsent[sent:]
        if self._unsent:
            return False
        self._unsent = memoryview(b"")  # drops the reference to the answer's memory
        self._poller.set_events(self._sock.fileno(), READ)
        return True

    def end_sending(self) -> None:
        """Shut down the sending half; the client may still send. Raises ClientDisconnectedError."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise ClientDisconnectedError(error.strerror) from error

    def close(self) -> None:
        """Stop polling the socket and close it."""
        self._poller.remove(self._sock.fileno())
        self._sock.close()
