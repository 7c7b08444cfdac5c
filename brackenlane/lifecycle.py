"""What both fronts do alike: open the door to clients, and leave in order on SIGTERM."""

from __future__ import annotations

import array
import contextlib
import logging
import signal
import socket
import struct
from collections.abc import Callable
from typing import Any

import trio

from brackenlane.config import ConfigError, Endpoint
from brackenlane.net.connector import family_of
from brackenlane.net.http_front import HttpFront
from brackenlane.net.poller import Poller

log = logging.getLogger(__name__)

SO_ATTACH_REUSEPORT_CBPF = 51  # asm-generic/socket.h
BPF_RETURN = 0x06  # BPF_RET | BPF_K, linux/bpf_common.h


async def listen(endpoint: Endpoint) -> list[trio.SocketListener]:
    """Listeners on one TCP address."""
    try:
        return await trio.open_tcp_listeners(endpoint[1], host=endpoint[0])
    except OSError as fault:
        raise ConfigError(f"cannot listen on {endpoint[0]}:{endpoint[1]}: {fault.strerror}") from None


def listen_plain(endpoint: Endpoint, shared: bool = False) -> socket.socket:
    """A listening socket for the board, on one address; shared: with others of this user."""
    sock = socket.socket(family_of(endpoint))
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(endpoint)
        sock.listen(4_096)
    except OSError as fault:
        sock.close()
        raise ConfigError(f"cannot listen on {endpoint[0]}:{endpoint[1]}: {fault.strerror}") from None
    sock.setblocking(False)
    return sock


def steer(listener: socket.socket, place: int) -> None:
    """Lead all new connections of a shared address to the listener at a place, in the order of their starts.

    A program of one line, `return place`, for the kernel's choice within the group (socket(7),
    SO_ATTACH_REUSEPORT_CBPF). Should that listener go, the place is empty and the kernel chooses by its hash.
    """
    line = array.array("B", struct.pack("=HBBI", BPF_RETURN, 0, 0, place))
    try:
        listener.setsockopt(
            socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, struct.pack("@HP", 1, line.buffer_info()[0])
        )
    except OSError as fault:  # then both are chosen by hash, until the earlier one leaves
        log.warning("new connections are not steered: %s", fault.strerror)


class EarlySignal:
    """A handler for a signal that comes before it can be served: `Signals` serves it then."""

    came = False

    def __call__(self, *_: object) -> None:
        """It came."""
        self.came = True


class SignalWatcher:
    """Signals by a socket on the board: a board that waits itself does not hear trio's own way of telling."""

    def __init__(self, poller: Poller, *signals: signal.Signals) -> None:
        self._poller = poller
        self._signals = signals
        self._read, self._write = socket.socketpair()
        self._came = trio.Event()
        self._old: list[Any] = []

    def __enter__(self) -> SignalWatcher:
        self._read.setblocking(False)
        self._write.setblocking(False)
        self._poller.add(self._read.fileno(), self._ready, urgent=True)
        self._old = [signal.signal(number, self._tell) for number in self._signals]
        if any(isinstance(old, EarlySignal) and old.came for old in self._old):
            self._tell()
        return self

    def __exit__(self, *_: object) -> None:
        for number, handler in zip(self._signals, self._old, strict=True):
            signal.signal(number, handler)
        self._poller.remove(self._read.fileno())
        self._read.close()
        self._write.close()

    async def next(self) -> None:
        """Wait for one; those that come before it is waited for count as one."""
        await self._came.wait()
        self._came = trio.Event()

    def _tell(self, *_: object) -> None:
        with contextlib.suppress(BlockingIOError):  # full: it is told already
            self._write.send(b"!")

    def _ready(self, _: int) -> None:
        with contextlib.suppress(BlockingIOError):
            self._read.recv(4_096)
            self._came.set()


async def serve_until_signal(
    front: HttpFront,
    endpoint: Endpoint,
    name: str,
    beside: Callable[[], int] | None = None,
    serving: Callable[[], None] = lambda: None,
) -> None:
    """Serve clients; after SIGTERM go on for a moment, then end once all that was taken is answered.

    A second signal meanwhile does what it does by itself: it ends the program. `beside` tells how many
    earlier processes of this router serve at the same address (None: none may); `serving` is called once it
    serves.
    """
    with SignalWatcher(front.poller, signal.SIGTERM, signal.SIGINT) as leave:
        if beside is None:
            front.open([plain(listener) for listener in await listen(endpoint)])
        else:
            listener = listen_plain(endpoint, shared=True)
            steer(listener, beside())
            front.open([listener])
        serving()
        log.info("%s serves on %s:%d", name, *endpoint)
        await leave.next()
    limits = front.limits
    log.info("%s leaves: it takes what comes for %.1f s more", name, limits.shutdown_accept_time)
    # New connections and requests keep coming for a moment, and all are owed an answer.
    await trio.sleep(limits.shutdown_accept_time)
    front.shut()
    front.leave()
    with trio.move_on_after(limits.shutdown_response_timeout) as late:
        await front.emptied()
    if late.cancelled_caught:  # an answer now is better than none
        front.finish()
        with trio.move_on_after(limits.shutdown_reject_timeout):
            await front.emptied()


def plain(listener: trio.SocketListener) -> socket.socket:
    """The listening socket itself, for the board."""
    sock = socket.socket(fileno=listener.socket.detach())
    sock.setblocking(False)
    return sock
