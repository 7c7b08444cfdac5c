"""The queue at the door: what is served next, what is refused, by how long work has stood there.

A decision module: no I/O, no clock of its own. Controlled delay after Nichols and Jacobson (RFC 8289), for a
queue of requests instead of packets: one that has stood for a whole interval is no burst, so while it stands
nothing may wait longer than a short target, and the newest goes first, since the oldest is the most likely to
be too late. Both times come from the classes' aims.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

from brackenlane.routing.settings import Idempotency, RequestClass

T = TypeVar("T")

TARGET = 1 / 6  # of the least aim: the longest wait at the door while a queue stands
INTERVAL = 1 / 2  # of the least aim: a queue that has stood for so long stands
AGAIN = 1 / 4  # of the room of first tries, up to which a retry may join a standing queue
LAST = 1 / 4  # of its own aim, which a class that may not be repeated may wait in any case
RATE = 1 / 32  # weight of the newest sample in learned figures


class Phase(Enum):
    """How the door stands. CALM: oldest first, a burst may wait an interval. STANDING: newest first."""

    CALM = "calm"
    STANDING = "standing"


@dataclass(slots=True)
class Lane(Generic[T]):
    """The waiting requests of one class, oldest first."""

    name: str
    first: bool  # served before all others: what may not be repeated, and what asks after our health
    part: float  # of the room behind a standing queue that may be taken when one of this class comes
    patience: dict[Phase, float]  # seconds
    waiting: deque[tuple[float, T]]


class Admission(Generic[T]):
    """The queue of one door. Bounded by its caller: a connection has at most one request in it."""

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        known = list(classes)
        least = min(c.latency_objective for c in known)
        self.target, self.interval = TARGET * least, INTERVAL * least
        best = max(
            (c.value_weight for c in known if c.idempotency is not Idempotency.NON_IDEMPOTENT),
            default=max(c.value_weight for c in known),
        )
        worth = sum(c.value_weight for c in known) / len(known) or 1.0
        self._lanes: dict[str, Lane[T]] = {}
        for c in known:
            first = c.idempotency is Idempotency.NON_IDEMPOTENT
            # Worth for cost: a request costs us about the same in any class, so worth alone weighs.
            positions = (
                LAST * c.latency_objective
                if first
                else self.target * max(0.5, min(2.0, c.value_weight / worth))
            )
            self._lanes[c.name] = Lane(
                c.name,
                first,
                c.value_weight / best if best else 1.0,
                {Phase.STANDING: positions, Phase.CALM: max(positions, self.interval)},
                deque(),
            )
        # What asks for no class: health, and what will be told its fault.
        self._lanes[""] = Lane(
            "", False, 0.5, {Phase.STANDING: self.target, Phase.CALM: self.interval}, deque()
        )
        self._lanes["health"] = Lane("health", True, 1.0, dict.fromkeys(Phase, math.inf), deque())
        # A retry's aim runs from its first try, so its answer is likely late: it gives way to first tries.
        self._again: dict[str, Lane[T]] = {
            name: Lane(name, False, AGAIN * lane.part, lane.patience, deque())
            for name, lane in self._lanes.items()
            if not lane.first
        }
        self._all = [*self._lanes.values(), *self._again.values()]
        self._turns = [
            [lane for lane in self._lanes.values() if lane.first],
            [lane for lane in self._lanes.values() if not lane.first],
            list(self._again.values()),
        ]
        self._emptied = -math.inf  # when the queue was empty last
        self._phase = Phase.CALM
        self.pace = 0.0  # requests taken a second while a queue stands, learned
        self._taken, self._busy, self._gap = -math.inf, False, 0.0
        self.size = 0

    def _lane(self, cls: str, again: bool) -> Lane[T]:
        lane = self._lanes.get(cls) or self._lanes[""]
        return self._again[lane.name] if again and not lane.first else lane

    def welcome(self, cls: str, again: bool) -> bool:
        """Whether a request may join the queue; else it is refused as it comes, which costs least.

        Behind a standing queue there is room for as many as will be taken within the target, by what was
        taken lately (Little's law); the less a class is worth, the sooner it is full.
        """
        if self._phase is Phase.CALM or not self.pace:
            return True
        lane = self._lane(cls, again)
        return bool(lane.first or self.size < max(1.0, self.pace * self.target * lane.part))

    def offer(self, item: T, cls: str, again: bool, now: float) -> None:
        """One more request waits.

        cls: its class, "health", or anything else for what asks for none; again: marked as a client's retry.
        """
        if not self.size:
            self._emptied = now
        self._lane(cls, again).waiting.append((now, item))
        self.size += 1

    def phase(self, now: float) -> Phase:
        """Whether a queue stands: it has not been empty for an interval.

        A queue emptied by shedding counts as empty. Were it not so, a load that the CPU can bear, whose usual
        waits are over the target, would be shed from for good: a second equilibrium.
        """
        if not self.size:
            self._emptied = now
        self._phase = Phase.CALM if now - self._emptied < self.interval else Phase.STANDING
        return self._phase

    def shed(self, now: float) -> list[T]:
        """The requests to refuse at once: who has waited longer than this phase allows."""
        phase = self.phase(now)
        found: list[T] = []
        for lane in self._all:
            patience = lane.patience[phase]
            while lane.waiting and now - lane.waiting[0][0] > patience:
                found.append(lane.waiting.popleft()[1])
        if found:
            self.size -= len(found)
        return found

    def take(self, now: float) -> tuple[T, float] | None:
        """The next request to serve and since when it waits (as told to `offer`); None if none waits."""
        if not self.size:
            return None
        phase = self.phase(now)
        for turn, lanes in enumerate(self._turns):
            newest = phase is Phase.STANDING and turn > 0
            if lane := self._pick(lanes, newest):
                break
        assert lane is not None
        since, item = lane.waiting.pop() if newest else lane.waiting.popleft()
        self.size -= 1
        if self._busy:  # the time between two, while there was always one to take, is what one costs
            self._gap += ((now - self._taken) - self._gap) * (RATE if self._gap else 1.0)
            self.pace = 1 / self._gap if self._gap else 0.0
        self._taken, self._busy = now, self.size > 0
        return item, since

    def drop(self, item: T, cls: str, again: bool) -> bool:
        """Forget a request whose client has left; whether it was waiting."""
        lane = self._lane(cls, again)
        for place, (_, known) in enumerate(lane.waiting):
            if known is item:
                del lane.waiting[place]
                self.size -= 1
                return True
        return False

    def hold_off(self, now: float) -> float:
        """Seconds after which a refused client may come back: until what waits is worked off, an interval
        at least while a queue stands."""
        wait = self.size / self.pace if self.pace else 0.0
        return max(wait, self.interval if self.phase(now) is Phase.STANDING else 0.0)

    @staticmethod
    def _pick(lanes: list[Lane[T]], newest: bool) -> Lane[T] | None:
        """The lane whose oldest, or newest, request is the one of all."""
        best: Lane[T] | None = None
        for lane in lanes:
            if lane.waiting and (
                best is None
                or (
                    lane.waiting[-1][0] > best.waiting[-1][0]
                    if newest
                    else lane.waiting[0][0] < best.waiting[0][0]
                )
            ):
                best = lane
        return best
