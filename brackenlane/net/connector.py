"""Outgoing connections: polled sockets to caches and the change log, trio streams to store and resolver."""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable

import trio

from brackenlane.clock import steady_time
from brackenlane.config import Endpoint
from brackenlane.core.timers import Timer, Timers
from brackenlane.net.poller import WRITE, Poller
from brackenlane.net.socket_errors import is_shortage

log = logging.getLogger(__name__)

# Results of connect(2) after which the connect is in progress; after EINTR it continues asynchronously.
CONNECT_BEGUN = (0, errno.EINPROGRESS, errno.EINTR)


def family_of(endpoint: Endpoint) -> int:
    """Return the address family of an address and port."""
    return socket.AF_INET6 if ":" in endpoint[0] else socket.AF_INET


async def connect(endpoint: Endpoint) -> trio.SocketStream:
    """Open a stream to one address. Raises OSError."""
    sock = trio.socket.socket(family_of(endpoint), trio.socket.SOCK_STREAM)
    try:
        await sock.connect(endpoint)
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def _open_socket(endpoint: Endpoint) -> socket.socket:
    """Return a non-blocking socket to connect with. Raises OSError."""
    sock = socket.socket(family_of(endpoint))
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock


class Connector:
    """One attempt to open a connection.

    `on_end` is called once with this connector and the connected socket, or None if the attempt failed. The
    call may happen before `start` returns.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        poller: Poller,
        timers: Timers,
        timeout: float,
        on_end: Callable[[Connector, socket.socket | None], None],
        keep: bool = True,
    ) -> None:
        self.endpoint = endpoint
        self.keep = keep  # False: the connection only tests whether the server accepts connections
        # The failure is local, such as a lack of descriptors: it gives no information about the remote end.
        self.had_local_shortage = False
        self._poller = poller
        self._timers = timers
        self._timeout = timeout  # seconds
        self._on_end = on_end
        self._timer: Timer | None = None
        self._sock: socket.socket
        self._is_finished = False

    def start(self) -> None:
        """Start to connect."""
        try:
            self._sock = _open_socket(self.endpoint)
        except OSError as error:
            log.warning("no socket for a connection: %s", error.strerror)
            self.had_local_shortage = True
            self._is_finished = True
            self._on_end(self, None)
            return
        error_number = self._begin_connect()
        if error_number not in CONNECT_BEGUN:
            self.had_local_shortage = is_shortage(error_number)
            self._finish(None)
            return
        self._timer = self._timers.call_at(steady_time() + self._timeout, self._finish, None)
        try:
            self._poller.add(self._sock.fileno(), self._on_writable, WRITE, urgent=True)
        except OSError:  # epoll cannot register the socket: treated like a lack of descriptors
            self.had_local_shortage = True
            self._finish(None)

    def _begin_connect(self) -> int:
        """Begin to connect; return the error number of connect(2)."""
        try:
            return self._sock.connect_ex(self.endpoint)
        except OSError as error:  # the address names no interface of this machine (RFC 4007, 11)
            log.warning("cannot connect to %s, port %d: %s", *self.endpoint, error.strerror)
            return errno.EADDRNOTAVAIL

    def cancel(self) -> None:
        """Abandon the attempt; `on_end` is not called."""
        if not self._is_finished:
            self._stop_watching()
            self._sock.close()

    def _on_writable(self, _: int) -> None:
        has_failed = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
        self._finish(None if has_failed else self._sock)

    def _finish(self, sock: socket.socket | None) -> None:
        self._stop_watching()
        if sock is None:
            self._sock.close()
        self._on_end(self, sock)

    def _stop_watching(self) -> None:
        self._is_finished = True
        if self._timer:
            self._timer.cancel()
            self._poller.remove(self._sock.fileno())
