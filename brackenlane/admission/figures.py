"""What a router knows of its own load: counted, for a console and for one log line a second.

Pure: all times are handed in.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from enum import IntEnum

SPAN = 1.0  # seconds that the figures of a moment cover


class Reason(IntEnum):
    """Why a request was refused at the door; a number, since refusals are counted by it at full load."""

    QUEUED = 0  # waited longer than a standing queue allows, or found no room behind it
    LATE = 1  # its client's time was up before it could be served
    FULL = 2  # no connection was free, and all that are open have work in hand


REASON_NAMES = {
    Reason.QUEUED: "stood too long",
    Reason.LATE: "out of time",
    Reason.FULL: "no connection free",
}


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The last whole second."""

    taken: int = 0  # requests handed to the core
    shed: tuple[tuple[Reason, int], ...] = ()
    wait: float = 0.0  # the longest wait at the door of one that was taken, seconds
    lag: float = 0.0  # the most that a timer came late, seconds
    cpu: float = 0.0  # share of one core

    @property
    def shedding(self) -> bool:
        """Whether anything was refused at the door."""
        return bool(self.shed)

    def line(self) -> str:
        """All of it in one line."""
        shed = ", ".join(f"{n} {REASON_NAMES[reason]}" for reason, n in self.shed) or "none"
        return (
            f"taken {self.taken}, refused at the door: {shed}; longest wait {self.wait * 1000:.0f} ms, "
            f"lag {self.lag * 1000:.0f} ms, CPU {self.cpu:.2f} of a core"
        )


class Figures:
    """Counts by the second, and in all."""

    def __init__(self) -> None:
        self.last = Snapshot()
        self.taken = 0  # since the start
        self.shed: Counter[Reason] = Counter()  # since the start
        self._start = -math.inf
        self._cpu = 0.0
        self._now_taken, self._now_wait, self._now_lag = 0, 0.0, 0.0
        self._now_shed = [0] * len(Reason)

    def take(self, wait: float) -> None:
        """A request was handed to the core after so many seconds at the door."""
        self._now_taken += 1
        self._now_wait = max(self._now_wait, wait)

    def refuse(self, reason: Reason) -> None:
        """A request was refused at the door."""
        self._now_shed[reason] += 1

    def tick(self, now: float, lag: float, cpu: float) -> Snapshot | None:
        """A second's figures, once it is over. lag: of a timer, seconds; cpu: seconds used so far."""
        self._now_lag = max(self._now_lag, lag)
        if now - self._start < SPAN:
            return None
        span = now - self._start
        self.last = Snapshot(
            self._now_taken,
            tuple((reason, self._now_shed[reason]) for reason in Reason if self._now_shed[reason]),
            self._now_wait,
            self._now_lag,
            (cpu - self._cpu) / span if math.isfinite(span) else 0.0,
        )
        self.taken += self._now_taken
        self.shed.update(dict(self.last.shed))
        self._start, self._cpu = now, cpu
        self._now_taken, self._now_wait, self._now_lag = 0, 0.0, 0.0
        self._now_shed = [0] * len(Reason)
        return self.last
