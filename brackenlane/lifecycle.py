"""Lifecycle of a server process: listening sockets, signals, and graceful shutdown on SIGTERM."""

from __future__ import annotations

import array
import contextlib
import logging
import signal
import socket
import struct
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import trio

from brackenlane.config import ConfigError, Endpoint
from brackenlane.limits import Limits
from brackenlane.net.connector import family_of
from brackenlane.net.front import Front
from brackenlane.net.http_front import HttpFront
from brackenlane.net.poller import Poller

log = logging.getLogger(__name__)

SO_ATTACH_REUSEPORT_CBPF = 51  # asm-generic/socket.h
BPF_RETURN = 0x06  # BPF_RET | BPF_K, linux/bpf_common.h
BACKLOG = 4_096  # maximum number of connections waiting for accept; also limited by net.core.somaxconn
SIGNAL_READ_SIZE = 4_096  # bytes read at a time; each signal is one byte


async def listen(endpoint: Endpoint) -> list[trio.SocketListener]:
    """Open listeners on all addresses of a TCP endpoint. Raises ConfigError."""
    host, port = endpoint
    try:
        return await trio.open_tcp_listeners(port, host=host)
    except OSError as error:
        raise ConfigError(f"cannot listen on {host}:{port}: {error.strerror}") from error


def open_listening_socket(endpoint: Endpoint, shared: bool = False) -> socket.socket:
    """Open a non-blocking listening socket for a poller. Raises ConfigError.

    shared: whether other processes of the same user may listen on the same address.
    """
    sock = socket.socket(family_of(endpoint))
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(endpoint)
        sock.listen(BACKLOG)
    except OSError as error:
        sock.close()
        host, port = endpoint
        raise ConfigError(f"cannot listen on {host}:{port}: {error.strerror}") from error
    sock.setblocking(False)
    return sock


def direct_new_connections(listener: socket.socket, index: int) -> None:
    """Direct all new connections of a shared address to one listener.

    index: position of that listener in the reuseport group, in the order in which the listeners were opened.

    Attaches a BPF program with the single instruction `return index`, which selects a listener of the group
    (socket(7), SO_ATTACH_REUSEPORT_CBPF). After that listener is closed, the kernel selects by hash again.
    """
    instruction = array.array("B", struct.pack("=HBBI", BPF_RETURN, 0, 0, index))
    program = struct.pack("@HP", 1, instruction.buffer_info()[0])
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError as error:  # not fatal: the kernel selects by hash until the earlier process ends
        log.warning("cannot direct new connections to this process: %s", error.strerror)


@dataclass(frozen=True, slots=True)
class OtherFronts:
    """The fronts of a process besides its HTTP front; each has to be named here to be drained."""

    for_clients: Sequence[Front] = ()  # drained together with the HTTP front
    until_the_end: Sequence[
        Front
    ] = ()  # drained last: operators watch the shutdown, and UDP cannot be closed


class EarlySignalHandler:
    """Records a signal that arrives before a `SignalWatcher` is installed, which then reports it."""

    def __init__(self) -> None:
        self.was_received = False

    def __call__(self, *_: object) -> None:
        """Record that the signal was received."""
        self.was_received = True


class SignalWatcher:
    """Reports signals through a socket that the poller watches.

    trio's own signal handling does not wake up a poller that blocks in epoll itself.
    """

    def __init__(self, poller: Poller, *signals: signal.Signals) -> None:
        self._poller = poller
        self._signals = signals
        self._read, self._write = socket.socketpair()
        self._received = trio.Event()
        self._previous_handlers: list[Any] = []

    def __enter__(self) -> SignalWatcher:
        self._read.setblocking(False)
        self._write.setblocking(False)
        self._poller.add(self._read.fileno(), self._on_ready, urgent=True)
        self._previous_handlers = [signal.signal(number, self._on_signal) for number in self._signals]
        early = [handler for handler in self._previous_handlers if isinstance(handler, EarlySignalHandler)]
        if any(handler.was_received for handler in early):
            self._on_signal()
        return self

    def __exit__(self, *_: object) -> None:
        for number, handler in zip(self._signals, self._previous_handlers, strict=True):
            signal.signal(number, handler)
        self._poller.remove(self._read.fileno())
        self._read.close()
        self._write.close()

    def release(self, number: signal.Signals) -> None:
        """Restore the previous handler of one signal."""
        signal.signal(number, self._previous_handlers[self._signals.index(number)])

    def ignore_when_left(self, number: signal.Signals) -> None:
        """Ignore a signal once this watcher ends, instead of restoring its previous handler."""
        self._previous_handlers[self._signals.index(number)] = signal.SIG_IGN

    async def next(self) -> None:
        """Wait for a signal; several signals since the last wait count as one."""
        await self._received.wait()
        self._received = trio.Event()

    def _on_signal(self, *_: object) -> None:
        with contextlib.suppress(BlockingIOError):  # the buffer is full: signals are already pending
            self._write.send(b"!")

    def _on_ready(self, _: int) -> None:
        with contextlib.suppress(BlockingIOError):
            self._read.recv(SIGNAL_READ_SIZE)
            self._received.set()


async def serve_until_signal(
    front: HttpFront,
    endpoint: Endpoint,
    name: str,
    other_fronts: OtherFronts,
    count_older_processes: Callable[[], int] | None = None,
    on_serving: Callable[[], None] = lambda: None,
) -> None:
    """Serve clients until SIGTERM or SIGINT, then shut down gracefully and return.

    During the shutdown another SIGTERM is ignored, and another SIGINT ends the program at once.

    other_fronts: those that serve already. count_older_processes: returns how many earlier processes of this
    router listen on the same address; None: the address is not shared. on_serving: called once connections
    are accepted.
    """
    with SignalWatcher(front.poller, signal.SIGTERM, signal.SIGINT) as stop:
        if count_older_processes is None:
            front.open([_detach_socket(listener) for listener in await listen(endpoint)])
        else:
            listener = open_listening_socket(endpoint, shared=True)
            direct_new_connections(listener, count_older_processes())
            front.open([listener])
        on_serving()
        log.info("%s serves on %s:%d", name, *endpoint)
        await stop.next()
        # A second SIGTERM is ignored: signals may be sent repeatedly, the shutdown has a time limit, and the
        # remaining answers must be sent. A second Ctrl-C is intended to end the program at once.
        stop.release(signal.SIGINT)
        stop.ignore_when_left(signal.SIGTERM)
        stages = (front, *other_fronts.for_clients), other_fronts.until_the_end
        await _shut_down(stages, front.limits, name)


async def _shut_down(stages: Sequence[Sequence[Front]], limits: Limits, name: str) -> None:
    """Shut down in three steps with time limits: keep accepting, answer open requests, reject the rest.

    stages: the fronts of each one are drained together, after those of the one before.
    """
    log.info("%s leaves: it takes what comes for %.1f s more", name, limits.shutdown_accept_time)
    # Clients keep sending requests until they notice the shutdown, and each request has to be answered.
    await trio.sleep(limits.shutdown_accept_time)
    with trio.move_on_after(limits.shutdown_response_timeout) as last_answers:
        for fronts in stages:
            await _close_listeners(fronts, limits.accept_pause)
            for front in fronts:
                front.start_draining()
            await _wait_until_closed(fronts)
    if last_answers.cancelled_caught:  # time is up: reject the rest, which is better than no answer
        all_fronts = [front for fronts in stages for front in fronts]
        for front in all_fronts:
            front.start_draining()
            front.reject_open_requests()
        with trio.move_on_after(limits.shutdown_reject_timeout):
            await _wait_until_closed(all_fronts)


async def _close_listeners(fronts: Sequence[Front], pause: float) -> None:
    """Stop accepting connections; if system resources are short, retry after a pause until it succeeds."""
    remaining = [front for front in fronts if not front.stop_accepting()]
    while remaining:
        await trio.sleep(pause)
        remaining = [front for front in remaining if not front.stop_accepting()]


async def _wait_until_closed(fronts: Sequence[Front]) -> None:
    for front in fronts:
        await front.wait_until_closed()


def _detach_socket(listener: trio.SocketListener) -> socket.socket:
    """Detach the listening socket from a trio listener, for use with a poller."""
    sock = socket.socket(fileno=listener.socket.detach())
    sock.setblocking(False)
    return sock
