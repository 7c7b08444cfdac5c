"""Many timers, one task: a heap of calls to make, without a task or a cancel scope for each."""

from __future__ import annotations

import heapq
import itertools
import logging
import math
import time
from collections.abc import Callable
from typing import Any

import trio

log = logging.getLogger(__name__)

QUANTUM = 0.004  # seconds between two rounds, so that calls come in batches


class Timer:
    """One call to make at a time; cancelled, it holds on to nothing."""

    __slots__ = ("call", "args")

    def __init__(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.call: Callable[..., None] | None = call
        self.args = args

    def cancel(self) -> None:
        """Guards against an answer of 240 kB living on in the heap until its request's time is up."""
        self.call, self.args = None, ()


class Timers:
    """Calls at Unix times, in their order."""

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()
        self.first: Callable[[], None] | None = None  # what must be heard before time is up for anything
        self._sleep = trio.CancelScope()
        self._until = -math.inf  # when the sleeping task wakes by itself; -inf while it is awake

    def at(self, when: float, call: Callable[..., None], *args: Any) -> Timer:
        """Call at a Unix time, or as soon after it as the loop is free."""
        timer = Timer(call, args)
        heapq.heappush(self._heap, (when, next(self._order), timer))
        if when < self._until:
            self._until = when
            self._sleep.deadline = trio.current_time() + max(0.0, when - self._clock())
        return timer

    def ring(self, now: float) -> None:
        """Make the calls that are due."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            timer = heapq.heappop(heap)[2]
            if timer.call is None:
                continue
            try:
                timer.call(*timer.args)
            except Exception:  # one timer must not end the others
                log.exception("a timer failed")

    async def run(self) -> None:
        """Make each call as it comes due, for good."""
        while True:
            while self._heap and self._heap[0][2].call is None:
                heapq.heappop(self._heap)
            self._until = self._heap[0][0] if self._heap else math.inf
            # The heap is on the Unix clock; the wait for its first is taken anew each time round.
            with trio.CancelScope() as self._sleep:
                wait = self._until - self._clock()
                self._sleep.deadline = trio.current_time() + max(0.0, wait)
                if wait > 0:
                    await trio.sleep_forever()
            self._until = -math.inf
            if self.first:
                self.first()  # guards against calling late what has come, and was not read yet
            self.ring(self._clock())
            await trio.sleep(QUANTUM)
