"""Load figures of this process, sampled once per second for the admin console and the log.

It performs no I/O and reads no clock. Operators read the texts of `summary` and `REASON_NAMES`.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from enum import IntEnum

PERIOD = 1.0  # length of a sample in seconds


class Reason(IntEnum):
    """Why a request was rejected before it reached the core.

    An integer, so that counting rejections is cheap (they are counted at full load).
    """

    QUEUED = 0  # it waited longer than a standing queue allows, or the queue had no capacity for it
    LATE = 1  # its deadline passed before it could be served
    FULL = 2  # no connection was free, and all open ones had active requests
    MEMORY = 3  # too little memory was left for it


REASON_NAMES = {
    Reason.QUEUED: "stood too long",
    Reason.LATE: "out of time",
    Reason.FULL: "no connection free",
    Reason.MEMORY: "no memory free",
}


@dataclass(slots=True, frozen=True)
class LoadSample:
    """Load figures of one period."""

    taken: int = 0  # requests passed to the core
    shed: tuple[tuple[Reason, int], ...] = ()  # number of rejected requests by reason
    wait: float = 0.0  # longest wait in the admission queue of a request passed to the core, seconds
    lag: float = 0.0  # longest delay of a timer, seconds
    cpu: float = 0.0  # CPU usage as a share of one core

    @property
    def is_shedding(self) -> bool:
        """Whether any request was rejected."""
        return bool(self.shed)

    def summary(self) -> str:
        """Return all figures as one line of text."""
        shed = ", ".join(f"{count} {REASON_NAMES[reason]}" for reason, count in self.shed) or "none"
        return (
            f"taken {self.taken}, refused at the door: {shed}; longest wait {self.wait * 1000:.0f} ms, "
            f"lag {self.lag * 1000:.0f} ms, CPU {self.cpu:.2f} of a core"
        )


class LoadMetrics:
    """Collects the load figures of each period, and totals since the start."""

    def __init__(self) -> None:
        self.last = LoadSample()  # the last complete period
        self.taken = 0  # requests passed to the core since the start
        self.shed: Counter[Reason] = Counter()  # requests rejected since the start
        self._period_start = -math.inf
        self._cpu_at_start = 0.0
        self._clear_period()

    def _clear_period(self) -> None:
        self._taken = 0
        self._longest_wait = 0.0
        self._longest_lag = 0.0
        self._shed = [0] * len(Reason)

    def count_taken(self, wait: float) -> None:
        """Count a request passed to the core after `wait` seconds in the admission queue."""
        self._taken += 1
        self._longest_wait = max(self._longest_wait, wait)

    def count_rejected(self, reason: Reason) -> None:
        """Count a request rejected before it reached the core."""
        self._shed[reason] += 1

    def tick(self, now: float, lag: float, cpu: float) -> LoadSample | None:
        """Return the sample of the period if the period is complete, else None.

        now: seconds on any clock; lag: delay of the calling timer in seconds; cpu: CPU seconds used by this
        process so far.
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
