"""A router in virtual time; its arguments are FILE SLOT WAKE BEGUN OFF RATE WORDS...

FILE and SLOT: of the shared clock; WAKE: an eventfd that tells that a time has come; BEGUN: the Unix time at
which virtual time began; OFF and RATE: the error of this process's wall clock, in seconds and as a factor;
WORDS: the program's own.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import trio

from brackenlane.lab.cluster.shared_clock import IdleReport, ProcessTime, SharedClock, VirtualClock


async def _be_woken(wake: int) -> None:
    """Read what the coordinator tells: trio looks at the clock after every wait."""
    while True:
        await trio.lowlevel.wait_readable(wake)
        os.eventfd_read(wake)


def keep_time(shared: SharedClock, slot: int, wake: int) -> None:
    """Have trio in this process run by the shared clock, and report when it is idle."""
    clock = VirtualClock(shared)
    report = IdleReport(shared, slot, clock)
    real_run = trio.run

    def run(main: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        async def woken() -> Any:
            trio.lowlevel.spawn_system_task(_be_woken, wake)
            return await main(*args)

        return real_run(woken, clock=clock, instruments=[report])

    trio.run = run  # type: ignore[assignment]
    trio.to_thread.run_sync = report.counting_threads(trio.to_thread.run_sync)  # type: ignore[assignment]


def main(arguments: list[str]) -> int:
    """Run the program of the remaining words."""
    path, slot, wake, *clock = arguments[:6]
    begun, off, rate = map(float, clock)
    shared = SharedClock(Path(path))
    keep_time(shared, int(slot), int(wake))
    with ProcessTime(shared, lambda now: begun + off + now * rate):
        # Imported late: default arguments in the program hold on to `time.time` as it is by then.
        from brackenlane.__main__ import main as program

        return program(arguments[6:])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
