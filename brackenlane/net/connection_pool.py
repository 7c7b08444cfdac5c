"""Pool of the connections to one cache, parent or origin, and of the attempts that wait for a connection."""

from __future__ import annotations

import socket
from collections import deque

from brackenlane.config import Endpoint
from brackenlane.core.requests import Attempt, AttemptReply
from brackenlane.net.cache_connection import CacheConnection
from brackenlane.net.connection_context import ConnectionContext
from brackenlane.net.connector import Connector
from brackenlane.net.dispatched_attempt import NEVER_SENT, DispatchedAttempt
from brackenlane.routing.events import AttemptResult


class ConnectionPool:
    """Sends the attempts for one server on the connections to that server."""

    def __init__(self, endpoint: Endpoint, context: ConnectionContext) -> None:
        self._endpoint = endpoint
        self._context = context
        self._connections: list[CacheConnection] = []
        self._earlier_connections: list[CacheConnection] = []  # connections to the server's old addresses
        self._connector: Connector | None = None
        # Attempts waiting for a connection; bounded by `Limits.max_queued_attempts`.
        self._waiting: deque[DispatchedAttempt] = deque()
        self._is_removed = False

    def dispatch(self, attempt: Attempt) -> bool:
        """Send or queue an attempt; return False if too many are queued already."""
        if len(self._waiting) >= self._context.limits.max_queued_attempts:
            return False
        dispatched = DispatchedAttempt(attempt, self._context.report)
        attempt.stop = dispatched.stop
        # The timeout counts from the decision to make the attempt, not from its dispatch.
        deadline = attempt.started_at + attempt.fetch.timeout
        dispatched.timer = self._context.timers.call_at(deadline, dispatched.stop)
        self._assign(dispatched)
        return True

    def move(self, endpoint: Endpoint) -> None:
        """Change the server's address; attempts in flight finish on connections to the old one."""
        if endpoint == self._endpoint:
            return
        self._endpoint = endpoint
        self._earlier_connections += self._connections
        self._connections = []
        self._connector = None  # the result of a connect to the old address is discarded
        if self._waiting:
            are_probes = all(waiting.attempt.request.connect_only for waiting in self._waiting)
            self._start_connecting(keep=not are_probes)

    def recheck_waiting(self) -> None:
        """Finish queued attempts that may no longer be sent to this server."""
        waiting = self._waiting
        self._waiting = deque()
        for dispatched in waiting:
            if self._may_send(dispatched):
                self._waiting.append(dispatched)
            else:
                dispatched.finish(NEVER_SENT)

    def remove(self) -> None:
        """Close the connections as they become idle, because the server was removed from the list."""
        self._is_removed = True

    @property
    def idle_connections(self) -> list[CacheConnection]:
        """The open connections without requests in flight."""
        return [one for one in self._all_connections() if one.is_open and one.is_idle]

    @property
    def is_busy(self) -> bool:
        """Whether any connection waits for a response."""
        return not all(connection.is_idle for connection in self._all_connections())

    def check_liveness(self, now: float, lag: float) -> bool:
        """Check each connection; return whether connections or queued attempts remain.

        now: Unix time; lag: seconds by which this check runs late.
        """
        for connection in self._all_connections():
            connection.check_liveness(now, lag)
            is_obsolete = self._is_removed or connection in self._earlier_connections
            if connection.is_idle and is_obsolete:
                connection.close()
        self._connections = [one for one in self._connections if one.is_open]
        self._earlier_connections = [one for one in self._earlier_connections if one.is_open]
        return bool(self._connections or self._earlier_connections or self._waiting or self._connector)

    def _all_connections(self) -> tuple[CacheConnection, ...]:
        return (*self._connections, *self._earlier_connections)

    def _may_send(self, dispatched: DispatchedAttempt) -> bool:
        return self._context.membership.allows(dispatched.attempt.fetch)

    def _assign(self, dispatched: DispatchedAttempt) -> None:
        """Write an attempt on the connection with the fewest requests in flight, or wait for a new one."""
        if dispatched.is_finished:
            return
        if dispatched.attempt.request.connect_only:
            self._wait_for_connection(dispatched)
            return
        usable = [one for one in self._connections if one.can_carry(dispatched.id)]
        may_open_another = self._is_below_limit() and self._may_send(dispatched)
        if usable:
            connection = min(usable, key=lambda one: one.load)
            # With several connections, one that breaks or hangs affects only a part of the requests.
            if may_open_another and connection.load >= self._context.limits.next_connection_threshold:
                self._start_connecting(needed=False)
            connection.send(dispatched)
        elif may_open_another or self._close_one_idle(dispatched):
            self._wait_for_connection(dispatched)
        else:
            dispatched.finish(NEVER_SENT)

    def _is_below_limit(self) -> bool:
        return sum(one.is_open for one in self._connections) < self._context.limits.max_connections_per_server

    def _close_one_idle(self, dispatched: DispatchedAttempt) -> bool:
        """Close an idle connection, which cannot carry this id again; return whether there was one."""
        idle = next((one for one in self._connections if one.is_open and one.is_idle), None)
        if idle is None or not self._may_send(dispatched):
            return False
        idle.close()
        return True

    def _wait_for_connection(self, dispatched: DispatchedAttempt) -> None:
        """Queue an attempt for a new connection.

        A connect-only attempt (for a DNS answer) finishes as soon as the connection is established.
        """
        if not self._may_send(dispatched):
            dispatched.finish(AttemptReply(AttemptResult.UNREACHABLE, dispatched.elapsed_time()))
            return
        self._waiting.append(dispatched)
        self._start_connecting(keep=not dispatched.attempt.request.connect_only)

    def _take_waiting(self) -> deque[DispatchedAttempt]:
        waiting = self._waiting
        self._waiting = deque()
        return waiting

    def _start_connecting(self, keep: bool = True, needed: bool = True) -> None:
        """Open a connection unless one is already being opened.

        keep: the connection will carry requests; needed: an idle connection may be closed to free a
        descriptor for it.
        """
        if self._connector:
            self._connector.keep |= keep
            return
        if not self._context.quota.acquire(needed):
            # The shortage is local and must not count as a failure of the server.
            for dispatched in self._take_waiting():
                dispatched.finish(NEVER_SENT)
            return
        context = self._context
        self._connector = Connector(
            self._endpoint,
            context.poller,
            context.timers,
            context.settings.connect_timeout,
            self._on_connected,
            keep,
        )
        self._connector.start()

    def _on_connected(self, connector: Connector, sock: socket.socket | None) -> None:
        """Handle the result of a connect: a socket, or None if it failed."""
        if connector is not self._connector:  # the server's address has changed meanwhile
            self._context.quota.release()
            if sock:
                sock.close()
            return
        self._connector = None
        waiting = self._take_waiting()
        is_connected = sock is not None and self._use_socket(connector, sock)
        for dispatched in waiting:
            if connector.had_local_shortage:
                dispatched.finish(NEVER_SENT)
            elif not is_connected:
                dispatched.finish(AttemptReply(AttemptResult.UNREACHABLE, dispatched.elapsed_time()))
            elif dispatched.attempt.request.connect_only:
                dispatched.finish(AttemptReply(AttemptResult.OK, dispatched.elapsed_time()))
            else:
                self._assign(dispatched)

    def _use_socket(self, connector: Connector, sock: socket.socket) -> bool:
        """Add a connection on a new socket if it is to be kept; return False if it cannot be polled."""
        if not connector.keep:
            sock.close()
            self._context.quota.release()
            return True
        try:
            connection = CacheConnection(sock, self._context, self._assign)
        except OSError:  # epoll cannot register the socket: treated like a lack of descriptors
            sock.close()
            connector.had_local_shortage = True
            self._context.quota.release()
            return False
        self._connections = [*(one for one in self._connections if one.is_open), connection]
        return True
