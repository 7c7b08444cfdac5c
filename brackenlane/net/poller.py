"""Polls many sockets in one trio task and calls their handlers in batches, without a task switch for each.

With one trio task per connection, every wait costs a task switch, an epoll_ctl call and an allocation, which
is more than the work for a client request. The poller registers a socket once and calls its handler whenever
the socket is ready. It waits only for its own epoll and returns control to trio after each batch, so that
other tasks are not starved.

There are two ways to wait. If all sockets of the program are registered here, the poller itself blocks in
its flat epoll while every trio task is blocked and none is due. If other tasks wait on sockets through trio
(as in the appliance), trio waits for the poller's epoll inside its own. Some platforms do not report
readiness of an inner epoll to an outer one; there the second way would never see a client.
"""

from __future__ import annotations

import logging
import math
import select
from collections.abc import Callable
from dataclasses import dataclass

import trio

# `trio.testing` exports the same function, but loads pytest as well where that is installed.
from trio._core._generated_run import wait_all_tasks_blocked

from brackenlane.clock import steady_time
from brackenlane.net.socket_errors import is_shortage

log = logging.getLogger(__name__)

HANG_UP = select.EPOLLRDHUP  # the peer has closed its half of the connection
READABLE = select.EPOLLIN
READ = READABLE | HANG_UP
GONE = HANG_UP | select.EPOLLHUP | select.EPOLLERR  # the peer has closed or reset the connection
WRITE = select.EPOLLOUT
Handler = Callable[[int], None]
MIN_STOP_TIME = 0.05  # seconds between two polls, above which the process counts as having been stopped
URGENT_BATCHES = 4  # maximum batches of events of urgent sockets in one round


@dataclass(slots=True, frozen=True)
class Registration:
    """Handler and priority of a polled socket."""

    urgent: bool
    handler: Handler


class Poller:
    """Polls sockets in two priorities: urgent ones (caches, change log, signals) before those of clients.

    Handlers are called with epoll's event bits. They must not block. If a handler raises, its socket is no
    longer polled.
    """

    def __init__(self, batch: int, blocks_thread: bool = False) -> None:
        """Create an empty poller.

        batch: maximum number of events of clients handled in one round.
        blocks_thread: no other trio task waits on a socket, so the poller blocks in its own epoll.
        """
        self.round_callbacks: list[Callable[[], bool]] = []
        """Called once in each round, for work that belongs to no socket.

        Each callback returns whether it has more work to do.
        """
        self.polled_at = steady_time()  # Unix time at which clients' sockets were polled last
        # Unix time after which the client data read in this round arrived. It is the time of the poll, unless
        # the process was stopped before it.
        self.earliest_arrival = self.polled_at
        # Whether sockets that became ready while the process was stopped are still to be handled.
        self._is_catching_up = False
        self._last_ran_at = self.polled_at  # Unix time at which the process was last known to run
        self._batch = batch
        self._alone = blocks_thread
        # Urgent sockets are registered with both epolls: they can be polled separately, and a wait on `_all`
        # covers all sockets.
        self._all = select.epoll()
        self._urgent = select.epoll()
        self._registered: dict[int, Registration] = {}
        # Changes of events that epoll_ctl(2) failed to apply, by descriptor; retried in each round.
        self._unapplied_events: dict[int, int] = {}

    def add(self, fd: int, handler: Handler, events: int = READ, urgent: bool = False) -> None:
        """Start polling a socket. Raises OSError if epoll cannot register it."""
        registered: list[select.epoll] = []
        try:
            for poll in self._polls(urgent):
                poll.register(fd, events)
                registered.append(poll)
        except OSError:
            for poll in registered:  # a registered socket without a handler would wake the loop repeatedly
                poll.unregister(fd)
            raise
        self._registered[fd] = Registration(urgent, handler)

    def set_events(self, fd: int, events: int) -> None:
        """Change the events for which a socket is polled; if memory is short, retried in the next round."""
        self._unapplied_events.pop(fd, None)
        try:
            for poll in self._polls(self._registered[fd].urgent):
                poll.modify(fd, events)
        except OSError as error:
            if not is_shortage(error.errno):
                raise
            # Kept for a retry: otherwise a listener whose polling is resumed would never accept again.
            self._unapplied_events[fd] = events

    def _retry_unapplied_events(self) -> None:
        for fd, events in list(self._unapplied_events.items()):
            self.set_events(fd, events)

    def remove(self, fd: int) -> None:
        """Stop polling a socket; call it before the socket is closed."""
        self._unapplied_events.pop(fd, None)
        registration = self._registered.pop(fd, None)
        if registration is not None:
            for poll in self._polls(registration.urgent):
                poll.unregister(fd)

    def _polls(self, urgent: bool) -> tuple[select.epoll, ...]:
        return (self._all, self._urgent) if urgent else (self._all,)

    async def run(self) -> None:
        """Handle ready sockets until cancelled."""
        try:
            while True:
                await self._wait()
                while self.run_round():
                    await trio.lowlevel.checkpoint()  # lets the tasks for drains, purges and signals run
        finally:
            self._registered.clear()  # `remove` does nothing for sockets that are closed later
            for poll in (self._all, self._urgent):
                poll.close()

    async def _wait(self) -> None:
        """Wait until a socket is ready; if the poller is alone, also until a trio task is due."""
        if self._alone:
            await wait_all_tasks_blocked()
            self._block_until_due()
        else:
            await trio.lowlevel.wait_readable(self._all.fileno())
            self._last_ran_at = steady_time()

    def _block_until_due(self) -> None:
        """Block the thread until a socket is ready or a trio task is due.

        Nothing else can wake a trio task meanwhile: if the poller is alone, the program has no other thread
        and trio waits on no socket.
        """
        due = max(0.0, trio.lowlevel.current_statistics().seconds_to_next_deadline)
        began_at = steady_time()
        was_stopped_before = began_at - self._last_ran_at > MIN_STOP_TIME
        self._all.poll(None if due == math.inf else due, 1)
        if was_stopped_before:
            return
        ended_at = steady_time()
        # If the wait ended long after its timeout, the process was stopped during it, and received data may
        # be as old as the start of the wait.
        self._last_ran_at = began_at if ended_at - began_at > due + MIN_STOP_TIME else ended_at

    def handle_urgent(self) -> None:
        """Handle the urgent sockets that are ready now."""
        self._handle(self._urgent, URGENT_BATCHES * self._batch)

    def run_round(self) -> bool:
        """Run one round (urgent sockets, a batch of all, callbacks); return whether more may be ready."""
        if self._unapplied_events:
            self._retry_unapplied_events()
        more = self._handle(self._urgent, URGENT_BATCHES * self._batch)
        self.polled_at = steady_time()
        was_stopped = self.polled_at - self._last_ran_at > MIN_STOP_TIME
        if was_stopped:
            self.earliest_arrival = self._last_ran_at
        elif not self._is_catching_up:
            self.earliest_arrival = self.polled_at
        self._last_ran_at = self.polled_at
        has_more_clients = self._handle(self._all, self._batch)
        self._is_catching_up = has_more_clients and (was_stopped or self._is_catching_up)
        more |= has_more_clients
        for work in self.round_callbacks:
            try:
                more |= work()
            except Exception:  # a failure of one callback must not stop the poller
                log.exception("unexpected error in a callback of the polling loop")
        return more

    def _handle(self, poll: select.epoll, max_events: int) -> bool:
        # Registrations are looked up before any handler is called. A handler may close another socket whose
        # event is pending, and a new socket may reuse its descriptor; the event is not for that new socket.
        ready = [(fd, self._registered.get(fd), events) for fd, events in poll.poll(0, max_events)]
        for fd, registration, events in ready:
            if registration is None or self._registered.get(fd) is not registration:
                continue
            try:
                registration.handler(events)
            except Exception:  # a failure on one socket must not affect the others
                log.exception("unexpected error in the handler of a socket, which is removed")
                if self._registered.get(fd) is registration:
                    self.remove(fd)
        return len(ready) == max_events
