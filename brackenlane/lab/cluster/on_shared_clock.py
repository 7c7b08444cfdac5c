"""Runs a router in virtual time; the arguments are FILE SLOT WAKE EPOCH OFFSET RATE WORDS...

FILE is the file of the shared clock, SLOT this process's slot in it. WAKE is the descriptor of an eventfd
that the coordinator writes to when this process's deadline is reached. EPOCH is the Unix time at which
virtual time began. OFFSET and RATE are the error of this process's wall clock, in seconds and as a factor.
WORDS are the router's own arguments.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import trio

from brackenlane.lab.cluster.shared_clock import IdleReport, ProcessTime, SharedClock, VirtualClock


async def _consume_wakeups(wake_fd: int) -> None:
    """Empty the eventfd after each write: the wakeup makes trio read the clock again."""
    while True:
        await trio.lowlevel.wait_readable(wake_fd)
        os.eventfd_read(wake_fd)


def keep_time(shared: SharedClock, slot: int, wake_fd: int) -> None:
    """Make trio in this process use the shared clock and report to it when the process is idle."""
    clock = VirtualClock(shared)
    report = IdleReport(shared, slot, clock)
    real_run = trio.run

    def run(main: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        async def main_with_wakeups() -> Any:
            trio.lowlevel.spawn_system_task(_consume_wakeups, wake_fd)
            return await main(*args)

        return real_run(main_with_wakeups, clock=clock, instruments=[report])

    trio.run = run  # type: ignore[assignment]
    trio.to_thread.run_sync = report.counting_threads(trio.to_thread.run_sync)  # type: ignore[assignment]


def main(arguments: list[str]) -> int:
    """Run the router with the arguments that follow those of the clock; return its exit status."""
    path, slot, wake_fd, *clock = arguments[:6]
    virtual_epoch, offset, rate = map(float, clock)
    shared = SharedClock(Path(path))
    keep_time(shared, int(slot), int(wake_fd))
    with ProcessTime(shared, lambda now: virtual_epoch + offset + now * rate):
        # Imported only now: default arguments in the router bind `time.time` at import.
        from brackenlane.__main__ import main as program

        return program(arguments[6:])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
