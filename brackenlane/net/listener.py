"""Listener of an HTTP front: accepts clients, and rejects them when connections or descriptors run out."""

from __future__ import annotations

import functools
import logging
import math
import socket
from collections.abc import Iterable

from brackenlane.admission.load_metrics import Reason
from brackenlane.clock import steady_time
from brackenlane.core.timers import Timers
from brackenlane.net.client_connection import ClientConnection
from brackenlane.net.client_state import ClientState
from brackenlane.net.connection_services import ConnectionServices
from brackenlane.net.connection_table import ConnectionTable
from brackenlane.net.delayed_backlog import DelayedBacklog
from brackenlane.net.front_context import FrontContext
from brackenlane.net.poller import READ
from brackenlane.net.socket_errors import is_shortage

log = logging.getLogger(__name__)

MAX_CLOSING_ACCEPTS = 8_192  # maximum accept(2) calls when a listener closes: twice its maximum backlog
FIRST_ACCEPT_PAUSE = 0.005  # seconds after a shortage; doubles up to `Limits.accept_pause` while it lasts
MAX_POLL_ADD_ATTEMPTS = 25  # attempts to register one accepted socket with epoll, over about two seconds


class Listener:
    """Owns the listening sockets of one front."""

    def __init__(
        self, context: FrontContext, timers: Timers, table: ConnectionTable, services: ConnectionServices
    ) -> None:
        self._context = context
        self._timers = timers
        self._table = table
        self._services = services
        self._sockets: list[socket.socket] = []
        self._delayed: dict[socket.socket, DelayedBacklog] = {}  # by listening socket
        self._accept_pause = FIRST_ACCEPT_PAUSE
        self._waiting_since = math.inf  # Unix time since which clients may have been waiting to be accepted
        self._unpolled_count = 0  # accepted sockets that are not yet registered with epoll
        self.shortages = 0  # number of accept(2) calls that failed for lack of a system resource

    @property
    def is_open(self) -> bool:
        """Whether clients are accepted."""
        return bool(self._sockets)

    def open(self, sockets: Iterable[socket.socket]) -> None:
        """Start accepting clients on these sockets; the listener closes them."""
        for listening in sockets:
            self._sockets.append(listening)
            self._delayed[listening] = DelayedBacklog()
            self._context.poller.add(listening.fileno(), functools.partial(self._on_ready, listening))

    def stop_accepting(self) -> bool:
        """Accept the clients in the backlogs, then close the listening sockets; return whether that is done.

        The kernel has already completed the connections in a backlog, and closing the socket would reset
        them. If a shortage of system resources prevents accepting them, this returns False and must be called
        again after a pause. Accepted connections stay open.
        """
        for listening in list(self._sockets):
            if self._accept_all(listening):
                self._close(listening)
        return not self._sockets and not self._unpolled_count

    def close(self) -> None:
        """Close the listening sockets at once, without accepting the clients in their backlogs."""
        for listening in list(self._sockets):
            self._close(listening)

    def _close(self, listening: socket.socket) -> None:
        self._sockets.remove(listening)
        del self._delayed[listening]
        self._context.poller.remove(listening.fileno())
        listening.close()

    def _accept_all(self, listening: socket.socket) -> bool:
        """Accept all clients in a backlog; return False if a shortage prevents that."""
        for _ in range(MAX_CLOSING_ACCEPTS):
            try:
                sock, _address = listening.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                # Close an idle connection to free its descriptor for a client in the backlog.
                if is_shortage(error.errno) and not self._table.close_one_without_request():
                    return False
                continue
            delayed_arrival = self._delayed[listening].take_next()
            self._admit_or_retry(sock, min(delayed_arrival, self._earliest_arrival()))
        return True

    def admit(self, sock: socket.socket, earliest_arrival: float = math.inf) -> None:
        """Serve a new connection, or reject it if the connection limit is reached or memory is short.

        earliest_arrival: Unix time since which it may have been waiting to be accepted or polled.
        Raises OSError if the socket cannot be polled.
        """
        reason = self._rejection_reason()
        if reason is not None and self._table.is_rejection_limit_reached:
            self._context.figures.count_rejected(reason)
            sock.close()
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(sock, self._services)
        self._context.poller.add(sock.fileno(), client.on_ready)
        self._table.add()
        client.enter_state(ClientState.NEW)
        if reason is not None:  # an answer is sent, because a connection closed without one gives no reason
            self._context.figures.count_rejected(reason)
            client.reject_connection()
        elif earliest_arrival < self._context.poller.polled_at:
            # The time limit of the client's request may have been running since then, so its data is read now
            # and not in the next polling round.
            client.read_delayed_input(earliest_arrival)

    def _rejection_reason(self) -> Reason | None:
        """Return why a new connection cannot be served; None if it can. May close another one for it."""
        if self._table.is_full and not self._table.close_one_without_request():
            return Reason.FULL
        return None if self._table.has_memory else Reason.MEMORY

    def _on_ready(self, listening: socket.socket, _: int) -> None:
        self._accept_batch(listening)

    def _accept_batch(self, listening: socket.socket) -> bool:
        """Accept a bounded number of clients; return whether more may be waiting."""
        delayed = self._delayed[listening]
        if self._earliest_arrival() < self._context.poller.polled_at:
            delayed.add_waiting(listening, self._earliest_arrival())
        for _ in range(self._context.limits.max_accepts):
            try:
                sock, _address = listening.accept()
            except BlockingIOError:
                self._waiting_since = math.inf
                delayed.clear()
                return False
            except OSError as error:
                if is_shortage(error.errno):
                    self._pause(listening)
                    return False
                continue  # the client has already closed the connection
            self._accept_pause = FIRST_ACCEPT_PAUSE
            self._admit_or_retry(sock, min(delayed.take_next(), self._earliest_arrival()))
        return True

    def _earliest_arrival(self) -> float:
        """Return the earliest Unix time at which the client that is accepted now can have connected."""
        return min(self._context.poller.earliest_arrival, self._waiting_since)

    def _admit_or_retry(self, sock: socket.socket, earliest_arrival: float, failures: int = 0) -> None:
        """Serve a connection; if epoll cannot register it at the moment, try again after a pause."""
        try:
            self.admit(sock, earliest_arrival)
        except OSError as error:  # a socket that cannot be polled must not stop the listener
            is_available = self._unpolled_count < self._context.limits.max_rejected_connections
            if failures + 1 < MAX_POLL_ADD_ATTEMPTS and is_available:
                self._unpolled_count += 1
                pause = min(FIRST_ACCEPT_PAUSE * 2**failures, self._context.limits.accept_pause)
                self._timers.call_at(steady_time() + pause, self._retry, sock, earliest_arrival, failures + 1)
                return
            log.warning("client connection closed: its socket cannot be polled: %s", error.strerror)
            sock.close()

    def _retry(self, sock: socket.socket, earliest_arrival: float, failures: int) -> None:
        self._unpolled_count -= 1
        self._admit_or_retry(sock, earliest_arrival, failures)

    def _pause(self, listening: socket.socket) -> None:
        """Stop polling a listening socket for a while, because accept(2) failed for lack of a resource.

        Otherwise the socket would stay ready and the loop would spin on it.
        """
        self.shortages += 1
        self._waiting_since = self._earliest_arrival()
        self._context.poller.set_events(listening.fileno(), 0)
        self._timers.call_at(steady_time() + self._accept_pause, self._resume, listening)
        # The first pause is short, because a shortage may end at once and request deadlines are running.
        self._accept_pause = min(2 * self._accept_pause, self._context.limits.accept_pause)

    def _resume(self, listening: socket.socket) -> None:
        if listening in self._sockets:
            self._context.poller.set_events(listening.fileno(), READ)
