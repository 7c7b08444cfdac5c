"""The memory of this process as the operating system counts it, and how much of it peers may use."""

from __future__ import annotations

import contextlib
import ctypes
import logging
import os
from collections.abc import Callable
from pathlib import Path

from brackenlane.core.memory_budget import MemoryBudget
from brackenlane.core.timers import Timers

log = logging.getLogger(__name__)

# Parameters of mallopt(3).
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Blocks of this many bytes and more return to the system when they are freed. By default the C library raises
# this limit with each large block that is freed, and keeps later ones.
MMAP_THRESHOLD = 65_536
TRIM_THRESHOLD = 131_072  # bytes of free memory at the end of the heap that are kept
# Bytes beyond those at the start that are in use and not counted, from which the C library is asked to return
# what is free.
TRIM_FROM = 1_048_576
STATM = Path("/proc/self/statm")
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")


def return_freed_blocks() -> None:
    """Make the C library return freed blocks to the system; without effect where it is not glibc."""
    with contextlib.suppress(OSError, AttributeError):
        library = ctypes.CDLL(None)
        library.mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD)
        library.mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD)


def read_resident_size() -> int:
    """Return the resident memory of this process in bytes; 0 if the system does not tell it."""
    try:
        return int(STATM.read_bytes().split()[1]) * PAGE_SIZE
    except (OSError, ValueError, IndexError):
        return 0


def read_private_size(process_number: int) -> int:
    """Return the resident memory of a process in bytes, without pages of files; 0 if it is unknown."""
    try:
        _, resident, shared, *_ = Path(f"/proc/{process_number}/statm").read_bytes().split()
        return (int(resident) - int(shared)) * PAGE_SIZE
    except (OSError, ValueError):
        return 0


def _trim_heap() -> None:
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)


class MemoryMonitor:
    """Keeps the capacity of a memory budget at what the memory of the settings leaves.

    The memory of the process is that of the program, of tables that are bounded by count, of what the budget
    counts, and of fragments of the heap. All but the third is measured and taken off.
    """

    def __init__(self, budget: MemoryBudget, limit: float, reserve: int, min_capacity: int) -> None:
        """limit: bytes of memory that the settings allow; reserve: bytes that are never given out."""
        self._budget = budget
        self.limit = limit
        self._reserve = reserve
        self._min_capacity = min_capacity
        self.other_usage: Callable[[], int] = lambda: 0
        """Returns the bytes that files and the other processes of this router take of the same memory."""
        self.resident = read_resident_size()
        self._uncounted_at_start = self._uncounted()
        self._apply()

    def start(self, timers: Timers, interval: float) -> None:
        """Check now and then at every interval (seconds)."""
        log.info(
            "memory: %d kB are allowed, %d kB in use at the start, %d kB for clients and caches",
            int(self.limit) // 1024,
            self.resident // 1024,
            int(self._budget.capacity) // 1024,
        )
        self._check_again(timers, interval)

    def _check_again(self, timers: Timers, interval: float) -> None:
        self.check()
        timers.call_at(timers.clock() + interval, self._check_again, timers, interval)

    def check(self) -> None:
        """Measure the memory of the process and set the capacity."""
        self.resident = read_resident_size()
        if self._uncounted() > self._uncounted_at_start + TRIM_FROM and self.resident > self.limit / 2:
            _trim_heap()
            self.resident = read_resident_size()
        self._apply()
        if self.resident > self.limit:
            log.warning(
                "%d kB of memory are in use and %d kB are allowed; %d kB of them are counted",
                self.resident // 1024,
                int(self.limit) // 1024,
                self._budget.held // 1024,
            )

    def metrics(self) -> dict[str, int]:
        """Return the current values in bytes by the name of their metric."""
        return {
            "memory_resident_bytes": self.resident,
            "memory_held_bytes": self._budget.held,
            "memory_capacity_bytes": int(self._budget.capacity),
        }

    def _uncounted(self) -> int:
        return max(0, self.resident - self._budget.held)

    def _apply(self) -> None:
        # What is held may lie in memory that was resident at the start, so that less seems to be uncounted.
        uncounted = max(self._uncounted(), self._uncounted_at_start)
        available = self.limit - self._reserve - uncounted - self.other_usage()
        self._budget.set_capacity(max(self._min_capacity, available))
