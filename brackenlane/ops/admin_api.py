"""HTTP server of the admin API (actor): one call per connection, answered as soon as it is read.

The number of connections and the time of each are limited; a connection past the limit closes an older one.
The poller handles the admin API before all clients, and nothing in here blocks.
"""

from __future__ import annotations

import logging
import socket
from dataclasses import replace

import trio

from brackenlane.clock import steady_time
from brackenlane.core.timers import Timers
from brackenlane.limits import Limits
from brackenlane.net.http_codec import RequestParser, encode_answer
from brackenlane.net.poller import READ, WRITE, Poller
from brackenlane.net.socket_errors import is_shortage, is_temporary
from brackenlane.ops.admin_routes import AdminResponse, AdminRoutes

log = logging.getLogger(__name__)

RECEIVE_BYTES = 4_096
EXPIRY_CHECKS_PER_TIMEOUT = 4  # checks for expired connections within the timeout of one


class AdminApi:
    """The admin listener and its connections."""

    def __init__(self, poller: Poller, timers: Timers, limits: Limits, routes: AdminRoutes) -> None:
        self.poller = poller
        self.routes = routes
        self.request_limits = replace(
            limits, max_head_size=limits.max_admin_head_size, max_upload_size=limits.max_admin_head_size
        )
        self._timers = timers
        self._max_connections = limits.max_admin_connections
        self._connection_timeout = limits.admin_call_timeout
        self._accept_pause = limits.accept_pause
        self._deadlines: dict[AdminConnection, float] = {}  # Unix times, oldest connection first
        self._listener: socket.socket | None = None
        self._is_accept_paused = False
        self._is_sent = trio.Event()

    def open(self, listener: socket.socket) -> None:
        """Start to accept connections."""
        self._listener = listener
        self.poller.add(listener.fileno(), self._accept, urgent=True)
        self._close_expired()

    def _accept(self, _: int) -> None:
        """Accept the pending connections, in one call at most as many as may be open at once."""
        assert self._listener is not None
        self._is_accept_paused = False
        for _ in range(self._max_connections):
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if is_shortage(error.errno):
                    self._pause_accepting()
                    return
                continue  # the client has closed the connection already
            if len(self._deadlines) >= self._max_connections:
                self._close_for_new_connection()
            sock.setblocking(False)
            connection = AdminConnection(self, sock)
            try:
                self.poller.add(sock.fileno(), connection.on_ready, urgent=True)
            except OSError as error:  # the listener must remain open
                log.warning("an admin connection cannot be registered with the poller: %s", error.strerror)
                sock.close()
                continue
            self._deadlines[connection] = steady_time() + self._connection_timeout

    def _pause_accepting(self) -> None:
        """Stop polling the listener for a while; otherwise a pending connection would make the loop spin."""
        assert self._listener is not None
        self._is_accept_paused = True
        self.poller.set_events(self._listener.fileno(), 0)
        self._timers.call_at(steady_time() + self._accept_pause, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._listener:
            self.poller.set_events(self._listener.fileno(), READ)

    def _close_for_new_connection(self) -> None:
        """Close the oldest answered connection, or the oldest one if none is answered.

        This protects against clients that connect and never send a complete call.
        """
        for connection in self._deadlines:
            if connection.is_answered:
                connection.close()
                return
        oldest = next(iter(self._deadlines))
        oldest.close()

    def on_closed(self, connection: AdminConnection) -> None:
        """Remove a closed connection from the table."""
        self._deadlines.pop(connection, None)
        self.on_sent()

    # Graceful shutdown; implements `net.front.Front`

    def stop_accepting(self) -> bool:
        """Accept the calls in the backlog, then no more; return False if they cannot be accepted."""
        if self._listener is None:
            return True
        self._accept(self._listener.fileno())
        if self._is_accept_paused:
            return False
        self.poller.remove(self._listener.fileno())
        self._listener.close()
        self._listener = None
        return True

    def start_draining(self) -> None:
        """Answer the calls that have arrived, and close the connections without one."""
        for connection in list(self._deadlines):
            connection.start_draining()

    async def wait_until_closed(self) -> None:
        """Wait until all responses are sent."""
        while any(connection.has_unsent_bytes for connection in self._deadlines):
            self._is_sent = trio.Event()
            await self._is_sent.wait()

    def reject_open_requests(self) -> None:
        """Do nothing: each call is answered when it is read."""

    def on_sent(self) -> None:
        """Notify the shutdown that a response is sent or its connection is closed."""
        self._is_sent.set()

    def _close_expired(self) -> None:
        now = steady_time()
        for connection, deadline in list(self._deadlines.items()):
            if deadline < now:
                connection.close()
        self._timers.call_at(now + self._connection_timeout / EXPIRY_CHECKS_PER_TIMEOUT, self._close_expired)


class AdminConnection:
    """One connection with one call."""

    def __init__(self, api: AdminApi, sock: socket.socket) -> None:
        self.is_answered = False
        self._api = api
        self._sock = sock
        self._parser = RequestParser(api.request_limits)
        self._unsent = memoryview(b"")
        self._discardable_bytes = api.request_limits.max_head_size  # bytes that may follow the call
        self._is_open = True

    def close(self) -> None:
        """Close the connection if it is open."""
        if self._is_open:
            self._is_open = False
            self._api.poller.remove(self._sock.fileno())
            self._sock.close()
            self._parser.close()
            self._api.on_closed(self)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether a part of the response is not sent yet."""
        return bool(self._unsent)

    def start_draining(self) -> None:
        """Answer the call if it has arrived; close the connection if it has not."""
        if not self.is_answered:
            self.on_ready(READ)
        if self._is_open and not self.is_answered:
            self.close()

    def on_ready(self, events: int) -> None:
        """Handle readiness of the socket. events: a set of the poller's flags."""
        try:
            if events & WRITE:
                self._flush()
            if self._is_open and events & ~WRITE:
                self._receive()
        except OSError:
            self.close()
        except Exception:  # a failed connection must not affect the others
            log.exception("an admin call failed")
            self.close()

    def _receive(self) -> None:
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except OSError as error:
            if is_temporary(error):
                return
            raise
        if not data:
            self.close()
        elif self.is_answered:
            self._discard(data)
        else:
            self._parse(data)

    def _discard(self, data: bytes) -> None:
        """Discard bytes after the call: if they stayed unread, a reset could destroy the response."""
        self._discardable_bytes -= len(data)
        if self._discardable_bytes < 0:
            self.close()

    def _parse(self, data: bytes) -> None:
        self._parser.feed(data)
        request = self._parser.next()
        if request is not None:
            self._send(self._api.routes.respond(request), has_body=request.method != "HEAD")
            return
        fault = self._parser.fault
        if fault is not None:
            self._send(AdminResponse(fault.status, f"{fault}\n".encode(), fault.headers))

    def _send(self, response: AdminResponse, has_body: bool = True) -> None:
        self.is_answered = True
        data = encode_answer(response.status, response.headers, response.body, close=True)
        if has_body:
            data += response.body
        self._unsent = memoryview(data)
        self._flush()

    def _flush(self) -> None:
        try:
            sent = self._sock.send(self._unsent)
        except OSError as error:
            if not is_temporary(error):
                raise
            sent = 0
        self._unsent = self._unsent[sent:]
        if self._unsent:
            self._api.poller.set_events(self._sock.fileno(), READ | WRITE)
        elif self.is_answered:
            self._api.poller.set_events(self._sock.fileno(), READ)
            self._sock.shutdown(socket.SHUT_WR)
            self._api.on_sent()
