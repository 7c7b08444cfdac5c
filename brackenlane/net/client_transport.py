"""Socket of one client connection: receives bytes, and sends answers as fast as the client reads them."""

from __future__ import annotations

import select
import socket

from brackenlane.net.poller import HANG_UP, READ, WRITE, Poller
from brackenlane.net.socket_errors import is_temporary

RECEIVE_SIZE = 16_384  # bytes
discarded = bytearray(65_536)  # receives the bytes that are not kept, of all clients


class ClientDisconnectedError(Exception):
    """The socket of a client cannot be written any more, because the client has disconnected."""


class ClientTransport:
    """Owns a client's socket and the unsent rest of an answer."""

    __slots__ = ("_poller", "_sock", "_unsent", "is_paused", "unsent_size")

    def __init__(self, sock: socket.socket, poller: Poller) -> None:
        self._sock = sock
        self._poller = poller
        self._unsent: list[memoryview] = []
        self.unsent_size = 0  # bytes of memory of the answer, until its last byte is sent
        self.is_paused = False  # whether nothing is read

    @property
    def has_unsent(self) -> bool:
        """Whether a part of the answer is still to be sent."""
        return bool(self._unsent)

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes of the answer that are still to be sent."""
        return sum(map(len, self._unsent))

    def receive(self) -> bytes | None:
        """Return received bytes, None if there are none, or b"" if the client has disconnected."""
        try:
            return self._sock.recv(RECEIVE_SIZE)
        except OSError as error:
            return None if is_temporary(error) else b""

    def discard(self) -> int | None:
        """Receive bytes that are not kept; return their number, None if there are none, 0 at the end."""
        try:
            return self._sock.recv_into(discarded)
        except OSError as error:
            return None if is_temporary(error) else 0

    def has_ended(self) -> bool:
        """Return whether the client has disconnected, also if unread data precedes the end."""
        return self._is_ready(select.POLLRDHUP)

    def has_unread(self) -> bool:
        """Return whether there are bytes to read, or the end."""
        return self._is_ready(select.POLLIN)

    def _is_ready(self, events: int) -> bool:
        poll = select.poll()
        poll.register(self._sock.fileno(), events)
        return bool(poll.poll(0))

    def pause_reading(self) -> None:
        """Read nothing more; only the end of the connection is still noticed."""
        if not self.is_paused:
            self.is_paused = True
            self._poll()

    def resume_reading(self) -> None:
        """Read again."""
        if self.is_paused:
            self.is_paused = False
            self._poll()

    def _poll(self) -> None:
        events = HANG_UP if self.is_paused else READ
        self._poller.set_events(self._sock.fileno(), events | WRITE if self._unsent else events)

    def send(self, head: bytes, body: bytes = b"") -> None:
        """Send what the socket accepts now; `flush` sends the rest once the socket is writable.

        Raises ClientDisconnectedError.
        """
        parts = [*self._unsent, *(memoryview(part) for part in (head, body) if part)]
        self._unsent = _after(parts, self._send(parts))
        if self._unsent:
            self.unsent_size += len(head) + len(body)
            self._poll()

    def flush(self) -> bool:
        """Continue sending; return whether the answer is now sent completely.

        Raises ClientDisconnectedError.
        """
        self._unsent = _after(self._unsent, self._send(self._unsent))
        if self._unsent:
            return False
        self.unsent_size = 0
        self._poll()
        return True

    def _send(self, parts: list[memoryview]) -> int:
        """Return how many bytes the socket accepted. Raises ClientDisconnectedError."""
        try:
            return self._sock.sendmsg(parts)
        except OSError as error:
            if is_temporary(error):
                return 0
            raise ClientDisconnectedError(error.strerror) from error

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
        self._unsent = []


def _after(parts: list[memoryview], sent: int) -> list[memoryview]:
    """Return what is left of the parts after so many bytes; they are not copied."""
    rest: list[memoryview] = []
    for part in parts:
        if sent < len(part):
            rest.append(part[sent:])
        sent = max(0, sent - len(part))
    return rest
