"""Timers of one process: a heap of calls run by a single task, without a task or cancel scope per timer."""

from __future__ import annotations

import heapq
import itertools
import logging
import math
from collections.abc import Callable
from typing import Any

import trio

from brackenlane.clock import steady_time

log = logging.getLogger(__name__)

BATCH_INTERVAL = 0.004  # seconds between two rounds, so that calls are made in batches
# The heap is rebuilt without cancelled timers when there are more of them than this and than other timers.
MIN_CANCELLED_TO_REBUILD = 256


class Timer:
    """A call scheduled for a point in time."""

    __slots__ = ("args", "call", "on_cancelled")

    def __init__(
        self,
        call: Callable[..., None],
        args: tuple[Any, ...],
        on_cancelled: Callable[[], None] = lambda: None,
    ) -> None:
        self.call: Callable[..., None] | None = call  # None once it is cancelled or made
        self.args = args
        self.on_cancelled = on_cancelled

    def cancel(self) -> None:
        """Cancel the call and release its arguments immediately, since they may hold a large answer."""
        if self.call is not None:
            self.release()
            self.on_cancelled()

    def release(self) -> None:
        """Release the call and its arguments."""
        self.call = None
        self.args = ()


class Timers:
    """Calls scheduled for Unix times, made in order of time; ties are broken by order of insertion."""

    def __init__(self, clock: Callable[[], float] = steady_time) -> None:
        self.clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._numbers = itertools.count()
        self._cancelled_count = 0  # cancelled timers in the heap
        self.before_due_calls: Callable[[], None] | None = None  # reads pending input before calls are made
        self._sleep = trio.CancelScope()
        self._wakes_at = -math.inf  # time until which the task sleeps; -inf while it is not sleeping

    def call_at(self, when: float, call: Callable[..., None], *args: Any) -> Timer:
        """Schedule a call for a Unix time; it is made then, or as soon as the event loop is free."""
        timer = Timer(call, args, self._on_cancelled)
        heapq.heappush(self._heap, (when, next(self._numbers), timer))
        if when < self._wakes_at:
            self._wakes_at = when
            self._sleep.deadline = trio.current_time() + max(0.0, when - self.clock())
        return timer

    def call_due(self, now: float) -> None:
        """Make the calls that are due at a Unix time."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            timer = heapq.heappop(heap)[2]
            if timer.call is None:
                self._cancelled_count -= 1
                continue
            call, args = timer.call, timer.args
            timer.release()
            try:
                call(*args)
            except Exception:  # an error in one timer must not stop the others
                log.exception("timer callback failed")

    async def run(self) -> None:
        """Make each call when it is due, until cancelled."""
        while True:
            self._drop_cancelled()
            await self._sleep_until_due()
            # Input that has arrived but was not read yet is applied first, so that no timeout fires for it.
            if self.before_due_calls:
                self.before_due_calls()
            self.call_due(self.clock())
            await trio.sleep(BATCH_INTERVAL)

    def _drop_cancelled(self) -> None:
        """Remove cancelled timers from the front of the heap."""
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
            self._cancelled_count -= 1

    def _on_cancelled(self) -> None:
        """Count a cancelled timer; the timers of requests that allow long waits are cancelled early."""
        self._cancelled_count += 1
        if self._cancelled_count > max(MIN_CANCELLED_TO_REBUILD, len(self._heap) // 2):
            # In place, as a call that is being made may cancel timers.
            self._heap[:] = [entry for entry in self._heap if entry[2].call is not None]
            heapq.heapify(self._heap)
            self._cancelled_count = 0

    async def _sleep_until_due(self) -> None:
        """Sleep until the first call is due; `call_at` shortens the sleep if it adds an earlier call."""
        self._wakes_at = self._heap[0][0] if self._heap else math.inf
        # The heap is on the Unix clock, which may be set, so the wait is recomputed in each round.
        with trio.CancelScope() as self._sleep:
            wait = self._wakes_at - self.clock()
            self._sleep.deadline = trio.current_time() + max(0.0, wait)
            if wait > 0:
                await trio.sleep_forever()
        self._wakes_at = -math.inf
