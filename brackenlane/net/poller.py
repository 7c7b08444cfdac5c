"""Many sockets, one task: what is ready is handled in batches, without a task switch for each.

A task of trio's costs a switch, an epoll_ctl and an allocation for every wait, which at the door is more than
the work itself. The board registers a socket once and calls its handler when it is ready. It never waits but
for its own epoll, and it hands the loop back to trio after each batch, so that no other actor starves.

Two ways of waiting. Where all the program's sockets are on the board, it waits itself, in its one flat
epoll, for as long as every task of trio's is blocked and none is due. Where other actors wait on sockets by
trio's own means (the appliance), trio waits for the board's epoll inside its own. Not every place where the
program runs tells the outer epoll of what is ready in the inner one: there the second way hears of no client.
"""

from __future__ import annotations

import logging
import math
import select
import time
from collections.abc import Callable

import trio
from trio.testing import wait_all_tasks_blocked

log = logging.getLogger(__name__)

READ = select.EPOLLIN | select.EPOLLRDHUP
WRITE = select.EPOLLOUT
Handler = Callable[[int], None]


class Poller:
    """Two queues: what the caches say comes before what clients ask, however much that is.

    Handlers are called with epoll's event bits. They must not wait; one that raises is logged, and its socket
    is taken off the board. `alone`: no actor waits on a socket but by the board.
    """

    def __init__(self, batch: int, alone: bool = False) -> None:
        self._batch = batch  # events handled between two looks at anything else
        self._alone = alone
        # What is urgent is in both, so that it can be looked at without the rest, and one wait is for all.
        self._all, self._urgent = select.epoll(), select.epoll()
        self._handlers: dict[int, tuple[bool, Handler]] = {}
        # Work of a round that is no socket's own, such as the queue at the door: whether more is left.
        self.polled = time.time()  # when the clients were looked at last
        self.after: list[Callable[[], bool]] = []

    def add(self, fd: int, handler: Handler, events: int = READ, urgent: bool = False) -> None:
        """Watch a socket from now on."""
        for poll in self._polls(urgent):
            poll.register(fd, events)
        self._handlers[fd] = urgent, handler

    def want(self, fd: int, events: int) -> None:
        """Watch it for other events."""
        for poll in self._polls(self._handlers[fd][0]):
            poll.modify(fd, events)

    def remove(self, fd: int) -> None:
        """Watch it no more; before it is closed."""
        known = self._handlers.pop(fd, None)
        if known is not None:
            for poll in self._polls(known[0]):
                poll.unregister(fd)

    def _polls(self, urgent: bool) -> tuple[select.epoll, ...]:
        return (self._all, self._urgent) if urgent else (self._all,)

    async def run(self) -> None:
        """Handle what is ready, for good."""
        try:
            while True:
                if self._alone:
                    await wait_all_tasks_blocked()
                    self._wait()
                else:
                    await trio.lowlevel.wait_readable(self._all.fileno())
                while self.turn():
                    await trio.lowlevel.checkpoint()  # drains, purges and signals have their turn
        finally:
            self._handlers.clear()  # who leaves later finds nothing to take off
            for poll in (self._all, self._urgent):
                poll.close()

    def _wait(self) -> None:
        """Wait until a socket is ready or a task is due. The loop stands still meanwhile: whatever else may
        wake a task (another thread, trio's own sockets) has no place in a program whose board is alone."""
        due = trio.lowlevel.current_statistics().seconds_to_next_deadline
        self._all.poll(None if due == math.inf else max(0.0, due), 1)

    def handle_urgent(self) -> None:
        """Handle what the caches have said so far."""
        self._handle(self._urgent, 4 * self._batch)

    def turn(self) -> bool:
        """One round: all that the caches say, then a batch of the rest; whether there may be more."""
        more = self._handle(self._urgent, 4 * self._batch)
        self.polled = time.time()
        more |= self._handle(self._all, self._batch)
        for work in self.after:
            try:
                more |= work()
            except Exception:
                log.exception("a round's work failed")
        return more

    def _handle(self, poll: select.epoll, most: int) -> bool:
        # Taken down before any is called: one handler may end another's socket, whose number may stand for a
        # new one by now, and what was ready of the old tells nothing of that (of a connect, that it came up).
        ready = [(fd, self._handlers.get(fd), events) for fd, events in poll.poll(0, most)]
        for fd, known, events in ready:
            if known is None or self._handlers.get(fd) is not known:
                continue
            try:
                known[1](events)
            except Exception:
                log.exception("a connection failed")
                if self._handlers.get(fd) is known:
                    self.remove(fd)
        return len(ready) == most
