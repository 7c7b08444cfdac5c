"""Advances a fleet's virtual time, from one deadline to the next, once it and every process are idle.

A process is idle if it says so by the shared clock and the kernel has it asleep. What one sends on loopback
wakes its receiver before the sender goes on, so no message is in flight while all are idle at one moment.
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

STEP = 0.004  # virtual seconds that time advances by at least, so that deadlines come in batches
LOOK = 0.001  # real seconds between two looks at processes that still run
HANG = 300.0  # real seconds at one moment of virtual time; a hang, since a start takes a few
RUNNABLE = "R"
SLEEPING = "S"
STOPPED = "T"
ENDED = "Z"  # states in /proc/PID/stat (proc(5))

Result = TypeVar("Result")


class NeverIdle(Exception):
    """A process stays busy at one moment of virtual time."""


class NoDeadline(Exception):
    """Everyone waits, and nobody for a time."""


@dataclass
class Process:
    """One process that keeps virtual time."""

    slot: int
    shared: SharedClock
    wake: int = field(default_factory=lambda: os.eventfd(0, os.EFD_NONBLOCK))
    popen: subprocess.Popen[bytes] | None = None  # of its latest start

    def launch(self, begun: float, skew: tuple[float, float]) -> list[str]:
        """Before it is started: the arguments of its interpreter, in front of those of its program.

        begun: the Unix time at which virtual time began; skew: the error of its wall clock, seconds and rate.
        """
        self.shared.mark_running(self.slot)
        clock = (self.shared.path, self.slot, self.wake, begun, *skew)
        return ["-m", "brackenlane.lab.cluster.on_shared_clock", *map(str, clock)]

    def state(self) -> str:
        """Its state by the kernel; ENDED once it has ended with all its threads, or was never started."""
        if self.popen is None or self.popen.returncode is not None:
            return ENDED
        with open(f"/proc/{self.popen.pid}/stat") as stat:
            state = stat.read().rpartition(") ")[2][:1]
        return state if state != ENDED or self.popen.poll() is not None else RUNNABLE

    def deadline(self) -> float | None:
        """The time that it waits for; None while it runs."""
        until = self.shared.idle_state(self.slot).until
        state = self.state()
        if state in (STOPPED, ENDED):
            return math.inf
        return until if state == SLEEPING and until > self.shared.now else None


class TimeCoordinator:
    """The one that advances the shared time, from within the test cluster's own loop."""

    def __init__(self, path: Path, processes: int) -> None:
        """path: of the clock's file, which is made; processes: how many keep its time besides it."""
        self.shared = SharedClock.create(path, processes)
        self.begun = time.time()
        self.processes = [Process(slot, self.shared) for slot in range(processes)]

    def run(self, main: Callable[[], Awaitable[Result]]) -> Result:
        """Run the test cluster in a loop of its own, by the shared time. To be called once."""

        async def retained() -> Result:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._keep)
                result = await main()
                nursery.cancel_scope.cancel()
            return result

        try:
            with ProcessTime(self.shared, lambda now: self.begun + now):
                return trio.run(retained, clock=VirtualClock(self.shared))
        finally:
            for process in self.processes:
                os.close(process.wake)
            self.shared.close()

    async def _keep(self) -> None:
        """Advance time, for good."""
        while True:
            self._advance(await self._all_idle())

    async def _all_idle(self) -> float:
        """Wait until all are idle at one moment; the first time that any of them waits for."""
        looked = time.clock_gettime(time.CLOCK_MONOTONIC)
        pause = 0.0
        while time.clock_gettime(time.CLOCK_MONOTONIC) < looked + HANG:
            await wait_all_tasks_blocked(pause)
            pause = LOOK
            before = [self.shared.idle_state(process.slot) for process in self.processes]
            await wait_all_tasks_blocked()  # whatever any of them sent before this look is read by now
            deadlines = [process.deadline() for process in self.processes]
            if before == [self.shared.idle_state(process.slot) for process in self.processes]:
                known = [deadline for deadline in deadlines if deadline is not None]
                if len(known) == len(deadlines):
                    return min([self._own_deadline(), *known])
        running = [process.slot for process in self.processes if process.deadline() is None]
        raise NeverIdle(f"at {self.shared.now:.3f} s processes {running} stay busy")

    def _own_deadline(self) -> float:
        """The next deadline of the test cluster's own tasks."""
        return self.shared.now + trio.lowlevel.current_statistics().seconds_to_next_deadline

    def _advance(self, deadline: float) -> None:
        if deadline == math.inf:
            raise NoDeadline(f"at {self.shared.now:.3f} s nobody waits for a time")
        self.shared.advance(max(deadline, self.shared.now + STEP))
        for process in self.processes:
            if process.shared.idle_state(process.slot).until <= self.shared.now:
                os.eventfd_write(process.wake, 1)
