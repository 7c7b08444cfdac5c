"""Virtual time shared by several processes: a file mapped into each, and a trio clock that reads it.

Only `time_coordinator` advances it, once every process is idle: waits for input or for a time to come. So how
fast the machine runs each of them has no part in what happens when.
"""

from __future__ import annotations

import math
import mmap
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import trio

FAR = 3600.0  # real seconds of one wait for a time that only the coordinator brings on
RUNNING = -math.inf  # in place of a deadline, while a process runs
CELL = 8  # bytes; a double is written in one piece
SLOT = 2  # cells of a process: how often it has become idle, and until when it is


class IdleState(NamedTuple):
    """What a process says of itself."""

    idled: float  # how often it has become idle
    until: float  # the deadline that it waits for; RUNNING while it runs


class SharedClock:
    """The mapped file: the time, then a slot for each process. Times are seconds since virtual time began."""

    def __init__(self, path: Path) -> None:
        """Map a file that `create` has made."""
        self.path = path
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), 0)
        self._cells = memoryview(self._map).cast("d")

    @classmethod
    def create(cls, path: Path, slots: int) -> SharedClock:
        """A new file, at time 0, for so many processes."""
        path.write_bytes(bytes(CELL * (1 + SLOT * slots)))
        return cls(path)

    @property
    def now(self) -> float:
        """The time."""
        return self._cells[0]

    def advance(self, now: float) -> None:
        """Set the time; for the coordinator alone."""
        self._cells[0] = now

    def mark_running(self, slot: int) -> None:
        """A process runs."""
        self._cells[SLOT * slot + 2] = RUNNING

    def mark_idle(self, slot: int, until: float) -> None:
        """A process waits for input, or for a time."""
        self._cells[SLOT * slot + 1] += 1
        self._cells[SLOT * slot + 2] = until

    def idle_state(self, slot: int) -> IdleState:
        """What a process says of itself."""
        return IdleState(self._cells[SLOT * slot + 1], self._cells[SLOT * slot + 2])

    def close(self) -> None:
        """Unmap the file."""
        self._cells.release()
        self._map.close()


class VirtualClock(trio.abc.Clock):
    """Trio's clock of one process."""

    def __init__(self, shared: SharedClock) -> None:
        self._shared = shared
        self.deadline = math.inf  # the next of this process, as trio asked last

    def start_clock(self) -> None:
        """Nothing to start: the time is shared."""

    def current_time(self) -> float:
        """The shared time."""
        return self._shared.now

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Real seconds to wait: none for a deadline that has come, else until the coordinator wakes us."""
        self.deadline = deadline
        return FAR if deadline > self._shared.now else 0.0


class IdleReport(trio.abc.Instrument):
    """Reports when a process becomes idle and when it runs again, in its slot."""

    def __init__(self, shared: SharedClock, slot: int, clock: VirtualClock) -> None:
        self._shared = shared
        self._slot = slot
        self._clock = clock
        self._threads = 0  # calls made in other threads at present, whose ends trio does not foresee

    def before_io_wait(self, timeout: float) -> None:
        """Nothing is left to do but to wait, unless the wait is none."""
        if timeout > 0 and not self._threads:
            self._shared.mark_idle(self._slot, self._clock.deadline)

    def after_io_wait(self, timeout: float) -> None:
        """Something may have come."""
        self._shared.mark_running(self._slot)

    def counting_threads(self, run_sync: Callable[..., Any]) -> Callable[..., Any]:
        """`trio.to_thread.run_sync`, during which this process is not idle."""

        async def counted(*args: Any, **more: Any) -> Any:
            self._threads += 1
            try:
                return await run_sync(*args, **more)
            finally:
                self._threads -= 1

        return counted


class ProcessTime:
    """While entered, `time` of this process tells the shared time. The machine's clock is left alone."""

    def __init__(self, shared: SharedClock, wall: Callable[[float], float]) -> None:
        """wall: the Unix time at a shared time."""
        self._shared = shared
        self._wall = wall
        self._real = time.time, time.monotonic, time.perf_counter

    def __enter__(self) -> None:
        time.time = lambda: self._wall(self._shared.now)
        time.monotonic = time.perf_counter = lambda: self._shared.now

    def __exit__(self, *_: object) -> None:
        time.time, time.monotonic, time.perf_counter = self._real
