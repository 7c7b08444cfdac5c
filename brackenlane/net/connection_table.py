"""Connection table: states and deadlines of client connections, and which ones to close in a shortage."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterator

import trio

from brackenlane.clock import steady_time
from brackenlane.limits import Limits
from brackenlane.net.client_connection import CONNECTION_SIZE, ClientConnection
from brackenlane.net.client_state import ClientState
from brackenlane.net.front_context import FrontContext

# States of a connection without a request in flight, in the order in which such connections are closed.
IDLE_STATES = (ClientState.CLOSING, ClientState.NEW, ClientState.IDLE)
TIMED_STATES = tuple(state for state in ClientState if state is not ClientState.ACTIVE)


def _timeouts(limits: Limits) -> list[float]:
    """Return the maximum time in each state in seconds, indexed by `ClientState`."""
    return [
        math.inf,
        limits.first_request_timeout,
        limits.client_idle_timeout,
        limits.request_read_timeout,
        limits.response_write_timeout,
        limits.linger_timeout,
    ]


class ConnectionTable:
    """Counts the open client connections of one front and tracks their states and deadlines."""

    def __init__(self, context: FrontContext) -> None:
        self._context = context
        # Deadlines (Unix seconds) of the connections in each state; the connection longest in it comes first.
        self._deadlines: list[dict[ClientConnection, float]] = [{} for _ in ClientState]
        self._timeouts = _timeouts(context.limits)
        self._count = 0
        self._share = 1.0  # share of the connection limit, which the processes of one router divide
        self._capacity = context.limits.max_client_connections
        self._emptied = trio.Event()  # set when the last connection is closed

    def reconfigure(self) -> None:
        """Apply the context's new limits; open connections keep their current deadlines."""
        self._timeouts = _timeouts(self._context.limits)
        self.set_share(self._share)

    def set_share(self, share: float) -> None:
        """Use this share of the connection limit; idle connections beyond it are closed."""
        self._share = share
        self._capacity = max(1, int(self._context.limits.max_client_connections * share))
        excess = max(0, self._count - self._capacity)
        for connection in list(itertools.islice(self._connections_in(*IDLE_STATES), excess)):
            connection.close_if_idle()

    @property
    def is_full(self) -> bool:
        """Whether the connection limit is reached."""
        return self._count >= self._capacity

    @property
    def has_memory(self) -> bool:
        """Whether there is memory for another connection."""
        return self._context.memory.ensure_available(CONNECTION_SIZE)

    @property
    def is_rejection_limit_reached(self) -> bool:
        """Whether the extra connections for answering 503 to clients beyond the limit are in use as well."""
        return self._count >= self._capacity + self._context.limits.max_rejected_connections

    @property
    def active(self) -> int:
        """Number of connections with an unfinished request; all others are closing or wait for a request."""
        without_request = (ClientState.NEW, ClientState.IDLE, ClientState.READING, ClientState.CLOSING)
        return self._count - sum(len(self._deadlines[state]) for state in without_request)

    def add(self) -> None:
        """Increment the number of open connections."""
        self._count += 1

    def count_closed(self) -> None:
        """Decrement the number of open connections."""
        self._count -= 1
        if not self._count:
            self._emptied.set()

    def move(self, connection: ClientConnection, previous: ClientState, state: ClientState) -> None:
        """Record a change of state and set the deadline of the new state."""
        deadline = self._deadlines[previous].pop(connection, None) if previous else None
        if state is ClientState.ACTIVE:
            return
        is_first_request = previous is ClientState.NEW and state is ClientState.READING
        # The deadline of a new connection stays in force while its first request is read; otherwise slow
        # clients could occupy descriptors for longer.
        if not is_first_request or deadline is None:
            deadline = steady_time() + self._timeouts[state]
        self._deadlines[state][connection] = deadline

    def forget(self, connection: ClientConnection, state: ClientState) -> None:
        """Remove a connection that is closed while in this state."""
        self._deadlines[state].pop(connection, None)

    def in_state(self, state: ClientState) -> list[ClientConnection]:
        """Return the connections in a state with a deadline; the one longest in it comes first."""
        return list(self._deadlines[state])

    def close_one_without_request(self) -> bool:
        """Close one connection without a request in flight; return whether there was one.

        It frees a descriptor for another connection.

        Closing connections come first, then clients that never sent a request, then idle ones, then the one
        that has been sending a request for longest. A connection that turns out to have sent a request stays
        open: its socket may not have been read since it was accepted.
        """
        candidates = itertools.islice(self._connections_in(*IDLE_STATES), self._context.limits.max_accepts)
        for connection in list(candidates):
            connection.close_if_idle(at_once=True)
            if not connection.is_open:
                return True
        slowest = next(self._connections_in(ClientState.READING), None)
        if slowest is None:
            return False
        slowest.close()
        return True

    def close_idle_connections(self) -> None:
        """Close all connections that wait for a request, those that have waited longest first."""
        for state in (ClientState.NEW, ClientState.IDLE):
            for connection in self.in_state(state):
                connection.close_if_idle()

    def expire_overdue(self, now: float) -> None:
        """Close the connections whose deadlines have passed; now: Unix time."""
        for state in TIMED_STATES:
            overdue = [client for client, deadline in self._deadlines[state].items() if deadline < now]
            for connection in overdue:
                connection.expire()

    async def wait_until_closed(self) -> None:
        """Wait until no connection is open."""
        while self._count:
            self._emptied = trio.Event()
            await self._emptied.wait()

    def _connections_in(self, *states: ClientState) -> Iterator[ClientConnection]:
        return (connection for state in states for connection in self._deadlines[state])
