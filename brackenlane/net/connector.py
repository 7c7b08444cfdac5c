"""Outgoing connections: sockets of the poller to caches and the change log, streams to store or resolver."""

from __future__ import annotations

import errno
import logging
import socket
import time
from collections.abc import Callable

import trio

from brackenlane.config import Endpoint
from brackenlane.core.timers import Timer, Timers
from brackenlane.net.poller import WRITE, Poller

log = logging.getLogger(__name__)


def family_of(endpoint: Endpoint) -> int:
    """The address family of an address and port."""
    return socket.AF_INET6 if ":" in endpoint[0] else socket.AF_INET


async def connect(endpoint: Endpoint) -> trio.SocketStream:
    """A connection to one address."""
    sock = trio.socket.socket(family_of(endpoint), trio.socket.SOCK_STREAM)
    try:
        await sock.connect(endpoint)
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


class Connector:
    """One try to connect; `then` is called once with its end, perhaps by `start`: a socket, or None."""

    def __init__(
        self,
        endpoint: Endpoint,
        poller: Poller,
        timers: Timers,
        timeout: float,
        then: Callable[[Connector, socket.socket | None], None],
        keep: bool = True,
    ) -> None:
        self.endpoint, self._timers, self._timeout, self._then = endpoint, timers, timeout, then
        self.keep = keep  # whether more is wanted of it than to have come up
        self.starved = False  # we had no descriptor: it tells nothing of the other end
        self._poller = poller
        self._timer: Timer | None = None
        self._sock: socket.socket

    def start(self) -> None:
        """Try, for so long."""
        try:
            self._sock = socket.socket(family_of(self.endpoint))
        except OSError as fault:  # guards whoever waits for its end: it comes in any case
            log.warning("no connection can be opened: %s", fault.strerror)
            self.starved = True
            return self._then(self, None)
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        failed = self._sock.connect_ex(self.endpoint)
        if failed not in (0, errno.EINPROGRESS):
            return self._end(None)
        self._timer = self._timers.at(time.time() + self._timeout, self._end, None)
        try:
            self._poller.add(self._sock.fileno(), self._ready, WRITE, urgent=True)
        except OSError:  # no room to watch it: as if there were no descriptor
            self.starved = True
            self._end(None)

    def _ready(self, _: int) -> None:
        self._end(self._sock if not self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) else None)

    def _end(self, sock: socket.socket | None) -> None:
        if self._timer:
            self._timer.cancel()
            self._poller.remove(self._sock.fileno())
        if sock is None:
            self._sock.close()
        self._then(self, sock)
