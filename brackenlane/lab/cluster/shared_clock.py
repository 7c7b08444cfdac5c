"""Virtual time shared by several processes: a file mapped into each, and a trio clock that reads it.

Only `time_coordinator` advances it, once every process is idle, i.e. waits for input or for a deadline. The
order and times of events therefore don't depend on how fast the machine runs each process.
"""

from __future__ import annotations

import math
import mmap
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import trio

MAX_WAIT_S = 3600.0  # real seconds of one wait, which the coordinator interrupts when the deadline is reached
RUNNING = -math.inf  # stored instead of a deadline while a process runs
CELL_BYTES = 8  # bytes of a double, which is written atomically
CELLS_PER_SLOT = 2  # cells for each process: its idle count and its deadline


class IdleState(NamedTuple):
    """What a process last reported in its slot."""

    idle_count: float  # number of times that the process has become idle
    wait_deadline: float  # the deadline that the process waits for; RUNNING while it runs


class SharedClock:
    """The mapped file: the current time, then a slot for each process.

    Times are in seconds since virtual time began.
    """

    def __init__(self, path: Path) -> None:
        """Map a file written by `create`."""
        self.path = path
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), 0)
        self._cells = memoryview(self._map).cast("d")

    @classmethod
    def create(cls, path: Path, slots: int) -> SharedClock:
        """Create the file with time 0 and `slots` process slots, and map it."""
        path.write_bytes(bytes(CELL_BYTES * (1 + CELLS_PER_SLOT * slots)))
        return cls(path)

    @property
    def now(self) -> float:
        """The current virtual time."""
        return self._cells[0]

    def advance(self, now: float) -> None:
        """Set the current time; only the coordinator may call this."""
        self._cells[0] = now

    def mark_running(self, slot: int) -> None:
        """Record that a process runs."""
        self._cells[CELLS_PER_SLOT * slot + 2] = RUNNING

    def mark_idle(self, slot: int, wait_deadline: float) -> None:
        """Record that a process waits for input or for the deadline `wait_deadline`."""
        self._cells[CELLS_PER_SLOT * slot + 1] += 1
        self._cells[CELLS_PER_SLOT * slot + 2] = wait_deadline

    def idle_state(self, slot: int) -> IdleState:
        """Return what a process last reported."""
        return IdleState(self._cells[CELLS_PER_SLOT * slot + 1], self._cells[CELLS_PER_SLOT * slot + 2])

    def close(self) -> None:
        """Unmap the file."""
        self._cells.release()
        self._map.close()


class VirtualClock(trio.abc.Clock):
    """The trio clock of one process; it reads the shared time."""

    def __init__(self, shared: SharedClock) -> None:
        self._shared = shared
        self.deadline = math.inf  # the next deadline of this process, as trio last passed it

    def start_clock(self) -> None:
        """Do nothing: the shared clock exists already."""

    def current_time(self) -> float:
        """Return the shared time."""
        return self._shared.now

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the real seconds to wait: 0 if the deadline is reached, else `MAX_WAIT_S`."""
        self.deadline = deadline
        return MAX_WAIT_S if deadline > self._shared.now else 0.0


class IdleReport(trio.abc.Instrument):
    """Records in the process's slot when it becomes idle and when it runs again."""

    def __init__(self, shared: SharedClock, slot: int, clock: VirtualClock) -> None:
        self._shared = shared
        self._slot = slot
        self._clock = clock
        self._threads = 0  # calls in progress in worker threads; trio has no deadline for their end

    def before_io_wait(self, timeout: float) -> None:
        """Mark the process idle if trio is about to wait and no worker thread is in use."""
        if timeout > 0 and not self._threads:
            self._shared.mark_idle(self._slot, self._clock.deadline)

    def after_io_wait(self, timeout: float) -> None:
        """Mark the process running: input may have arrived."""
        self._shared.mark_running(self._slot)

    def counting_threads(self, run_sync: Callable[..., Any]) -> Callable[..., Any]:
        """Wrap `trio.to_thread.run_sync` so that the process does not count as idle during the call."""

        async def run_counted(*args: Any, **kwargs: Any) -> Any:
            self._threads += 1
            try:
                return await run_sync(*args, **kwargs)
            finally:
                self._threads -= 1

        return run_counted


class ProcessTime:
    """Context in which the `time` module of this process returns the shared time.

    The machine's clock is not changed.
    """

    def __init__(self, shared: SharedClock, wall: Callable[[float], float]) -> None:
        """`wall` returns the Unix time of this process for a given shared time."""
        self._shared = shared
        self._wall = wall
        self._real = time.time, time.monotonic, time.perf_counter

    def __enter__(self) -> None:
        time.time = lambda: self._wall(self._shared.now)
        time.monotonic = time.perf_counter = lambda: self._shared.now

    def __exit__(self, *_: object) -> None:
        time.time, time.monotonic, time.perf_counter = self._real
