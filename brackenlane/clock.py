"""The clocks of this process: a steady clock for measuring durations, and the machine's wall clock.

The wall clock may be stepped forward or back at any time; the monotonic clock is not affected by that.
Therefore every deadline, wait, backoff, grace, age and lease is a difference of two readings of
`steady_time`: the monotonic clock plus a fixed offset, so that it started at the Unix time at which this
process started. Its readings can be compared with Unix times of other machines (of a purge, of the issue of a
copy, of the start of a server), and a later step of the wall clock has no effect on them. The kernel slews
both clocks equally, so they only diverge by steps.

No other module reads the wall clock, which the linter enforces (`banned-api` in pyproject.toml).
docs/design/clocks.md explains which clock is used for each piece of state, and why.
"""

from __future__ import annotations

import logging
import time
from typing import Protocol

log = logging.getLogger(__name__)

MIN_STEP = 0.5  # change in seconds of the offset between both clocks that counts as a step


class Clock(Protocol):
    """The monotonic clock and the wall clock of a machine, both in seconds."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary time; never decreases and is not affected by steps."""

    def wall(self) -> float:
        """Return the current Unix time according to the machine."""


class SystemClock:
    """The clocks of the machine that this process runs on."""

    @staticmethod
    def monotonic() -> float:
        """Return CLOCK_MONOTONIC."""
        return time.monotonic()

    @staticmethod
    def wall() -> float:
        """Return CLOCK_REALTIME."""
        return time.time()


# Unix time at which the monotonic clock was zero, according to the wall clock at startup.
UNIX_TIME_AT_ZERO = time.time() - time.monotonic()


def steady_time() -> float:
    """Return the Unix time in seconds: as of the start of this process, plus the monotonic time since."""
    return time.monotonic() + UNIX_TIME_AT_ZERO


class ClockStepMonitor:
    """Logs and counts steps of the wall clock; for monitoring only."""

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._offset = self._read_offset()
        self.step_count = 0

    def check(self) -> None:
        """Check whether the wall clock was stepped since the last call; to be called periodically."""
        offset = self._read_offset()
        step = offset - self._offset
        if abs(step) < MIN_STEP:
            return
        self._offset = offset
        self.step_count += 1
        log.warning("the wall clock was stepped by %+.3f s; time goes on by the monotonic clock", step)

    def _read_offset(self) -> float:
        return self._clock.wall() - self._clock.monotonic()
