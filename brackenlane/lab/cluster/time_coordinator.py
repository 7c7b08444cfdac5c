"""Advances a cluster's virtual time from one deadline to the next, once it and every process are idle.

A process counts as idle if it has reported so in the shared clock and the kernel shows it as sleeping. Data
sent on loopback wakes its receiver before the sender continues, so no message is in flight when all processes
are idle at the same moment.
"""

from __future__ import annotations

import math
import os
import subprocess
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

import trio
from trio.testing import wait_all_tasks_blocked

from brackenlane.lab.cluster.shared_clock import ProcessTime, SharedClock, VirtualClock

# Virtual seconds by which time advances at least, so that near deadlines are handled together.
MIN_STEP_S = 0.004
POLL_INTERVAL_S = 0.001  # real seconds between two checks of processes that still run
# Real seconds without progress of virtual time that count as a hang; starting a cluster takes a few seconds.
HANG_TIMEOUT_S = 300.0
# Process states in /proc/PID/stat (proc(5)).
RUNNABLE = "R"
SLEEPING = "S"
STOPPED = "T"
ENDED = "Z"

Result = TypeVar("Result")


class NeverIdle(Exception):
    """A process stayed busy for `HANG_TIMEOUT_S` real seconds at one moment of virtual time."""


class NoDeadline(Exception):
    """All processes wait and none has a deadline, so virtual time can't advance."""


@dataclass
class Process:
    """One process that runs in virtual time."""

    slot: int
    shared: SharedClock
    wake_fd: int = field(default_factory=lambda: os.eventfd(0, os.EFD_NONBLOCK))
    popen: subprocess.Popen[bytes] | None = None  # the process as last started

    def launch_arguments(self, virtual_epoch: float, skew: tuple[float, float]) -> list[str]:
        """Mark the process running and return the interpreter's arguments that go before the program's own.

        virtual_epoch: the Unix time at which virtual time began; skew: the error of the process's wall clock
        as (seconds, rate).
        """
        self.shared.mark_running(self.slot)
        clock = (self.shared.path, self.slot, self.wake_fd, virtual_epoch, *skew)
        return ["-m", "brackenlane.lab.cluster.on_shared_clock", *map(str, clock)]

    def state(self) -> str:
        """Return the kernel's state; ENDED if it was never started or has exited with all its threads."""
        if self.popen is None or self.popen.returncode is not None:
            return ENDED
        with open(f"/proc/{self.popen.pid}/stat") as stat:
            state = stat.read().rpartition(") ")[2][:1]
        return state if state != ENDED or self.popen.poll() is not None else RUNNABLE

    def deadline(self) -> float | None:
        """Return the time that the process waits for; infinity if stopped or ended, None while it runs."""
        wait_deadline = self.shared.idle_state(self.slot).wait_deadline
        state = self.state()
        if state in (STOPPED, ENDED):
            return math.inf
        return wait_deadline if state == SLEEPING and wait_deadline > self.shared.now else None


class TimeCoordinator:
    """Advances the shared time from a task in the test cluster's own trio loop."""

    def __init__(self, path: Path, processes: int) -> None:
        """path: the clock's file, which is created; processes: number of other processes that use it."""
        self.shared = SharedClock.create(path, processes)
        self.virtual_epoch = time.time()
        self.processes = [Process(slot, self.shared) for slot in range(processes)]

    def run(self, main: Callable[[], Awaitable[Result]]) -> Result:
        """Run `main` in a new trio loop on the shared time. May be called once only."""

        async def run_with_time() -> Result:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._advance_forever)
                result = await main()
                nursery.cancel_scope.cancel()
            return result

        try:
            with ProcessTime(self.shared, lambda now: self.virtual_epoch + now):
                return trio.run(run_with_time, clock=VirtualClock(self.shared))
        finally:
            for process in self.processes:
                os.close(process.wake_fd)
            self.shared.close()

    async def _advance_forever(self) -> None:
        """Advance time until cancelled."""
        while True:
            self._advance(await self._all_idle())

    async def _all_idle(self) -> float:
        """Wait until all are idle at the same moment; return the earliest deadline of any of them."""
        wait_started = time.clock_gettime(time.CLOCK_MONOTONIC)
        pause = 0.0
        while time.clock_gettime(time.CLOCK_MONOTONIC) < wait_started + HANG_TIMEOUT_S:
            await wait_all_tasks_blocked(pause)
            pause = POLL_INTERVAL_S
            before = [self.shared.idle_state(process.slot) for process in self.processes]
            await wait_all_tasks_blocked()  # data sent by the processes before this check is read by now
            deadlines = [process.deadline() for process in self.processes]
            if before == [self.shared.idle_state(process.slot) for process in self.processes]:
                known = [deadline for deadline in deadlines if deadline is not None]
                if len(known) == len(deadlines):
                    return min([self._own_deadline(), *known])
        running = [process.slot for process in self.processes if process.deadline() is None]
        raise NeverIdle(f"at {self.shared.now:.3f} s processes {running} are still busy")

    def _own_deadline(self) -> float:
        """Return the next deadline of the test cluster's own tasks."""
        return self.shared.now + trio.lowlevel.current_statistics().seconds_to_next_deadline

    def _advance(self, deadline: float) -> None:
        if deadline == math.inf:
            raise NoDeadline(f"at {self.shared.now:.3f} s nobody waits for a deadline")
        self.shared.advance(max(deadline, self.shared.now + MIN_STEP_S))
        for process in self.processes:
            if process.shared.idle_state(process.slot).wait_deadline <= self.shared.now:
                os.eventfd_write(process.wake_fd, 1)
