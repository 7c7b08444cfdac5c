"""Load figures of this process: counted per second, for the admin console and for one log line a second.

Pure: all times are handed in. The words of `summary` and `REASON_NAMES` are read by operators.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from enum import IntEnum

PERIOD = 1.0  # seconds that one sample covers


class Reason(IntEnum):
    """Why a request was rejected on arrival; a number, since rejections are counted by it at full load."""

    QUEUED = 0  # waited longer than a standing queue allows, or found no capacity in it
    LATE = 1  # its deadline passed before it could be served
    FULL = 2  # no connection was free, and all open ones have active requests


REASON_NAMES = {
    Reason.QUEUED: "stood too long",
    Reason.LATE: "out of time",
    Reason.FULL: "no connection free",
}


@dataclass(slots=True, frozen=True)
class LoadSample:
    """The figures of one period."""

    taken: int = 0  # requests handed to the core
    shed: tuple[tuple[Reason, int], ...] = ()
    wait: float = 0.0  # longest wait in the admission queue of a request that was taken, seconds
    lag: float = 0.0  # the most that a timer was late, seconds
    cpu: float = 0.0  # share of one core

    @property
    def is_shedding(self) -> bool:
        """Whether any request was rejected on arrival."""
        return bool(self.shed)

    def summary(self) -> str:
        """Return all figures in one line for an operator."""
        shed = ", ".join(f"{count} {REASON_NAMES[reason]}" for reason, count in self.shed) or "none"
        return (
            f"taken {self.taken}, refused at the door: {shed}; longest wait {self.wait * 1000:.0f} ms, "
            f"lag {self.lag * 1000:.0f} ms, CPU {self.cpu:.2f} of a core"
        )


class Figures:
    """Counts per period, and totals since the start."""

    def __init__(self) -> None:
        self.last = LoadSample()  # the last complete period
        self.taken = 0  # total
        self.shed: Counter[Reason] = Counter()  # total
        self._period_start = -math.inf
        self._cpu_at_start = 0.0
        self._clear_period()

    def _clear_period(self) -> None:
        self._taken = 0
        self._longest_wait = 0.0
        self._longest_lag = 0.0
        self._shed = [0] * len(Reason)

    def count_taken(self, wait: float) -> None:
        """Count a request handed to the core after so many seconds in the admission queue."""
        self._taken += 1
        self._longest_wait = max(self._longest_wait, wait)

    def count_rejected(self, reason: Reason) -> None:
        """Count a request rejected on arrival."""
        self._shed[reason] += 1

    def tick(self, now: float, lag: float, cpu: float) -> LoadSample | None:
        """Return the sample of a period that is over; None while it is not.

        now: seconds of any clock; lag: seconds that a timer was late; cpu: processor seconds used so far.
        """
        self._longest_lag = max(self._longest_lag, lag)
        elapsed = now - self._period_start
        if elapsed < PERIOD:
            return None
        self.last = LoadSample(
            self._taken,
            tuple((reason, self._shed[reason]) for reason in Reason if self._shed[reason]),
            self._longest_wait,
            self._longest_lag,
            (cpu - self._cpu_at_start) / elapsed if math.isfinite(elapsed) else 0.0,
        )
        self.taken += self._taken
        self.shed.update(dict(self.last.shed))
        self._period_start = now
        self._cpu_at_start = cpu
        self._clear_period()
        return self.last
