"""A fleet's starts in virtual time: the routers' own decisions before a store that bears so much.

The store serves in order; what would wait longer than its patience is refused at once. Times are seconds.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from brackenlane.coldstart.pacing import Capacity, StorePacing


@dataclass
class Store:
    """It bears small questions and whole lists side by side, each kind in order."""

    capacity: Capacity
    patience: float = 0.5
    refuses: Callable[[float], bool] = lambda _: False  # besides, at a time
    away: Callable[[float], bool] = lambda _: False  # nobody listens, at a time
    free: list[float] = field(default_factory=lambda: [0.0, 0.0])  # when it has done what it was asked
    asked: list[float] = field(default_factory=list)  # when each question came, those refused among them
    loaded: list[float] = field(default_factory=list)
    refused: int = 0
    tickets: dict[int, int] = field(default_factory=dict)

    def request(self, now: float, complete: bool) -> float | None:
        """Seconds until the answer; None: refused."""
        (self.loaded if complete else self.asked).append(now)
        cost = 1 / (self.capacity.load_rate if complete else self.capacity.request_rate)
        begin = max(self.free[complete], now)
        if self.away(now) or self.refuses(now) or begin - now > self.patience:
            self.refused += 1
            return None
        self.free[complete] = begin + cost
        return begin + cost - now

    def ticket(self, bucket: int) -> int:
        """The number drawn in a span."""
        self.tickets[bucket] = self.tickets.get(bucket, 0) + 1
        return self.tickets[bucket]


class SimulatedFleet:
    """So many routers that start at given times; `remembers`: the share of them that need no whole list."""

    def __init__(
        self,
        count: int,
        store: Store,
        seed: int,
        *,
        remembers: float = 1.0,
        starts: Callable[[int], float] = lambda _: 0.0,
        pace: Callable[[str, Capacity, random.Random], StorePacing] = StorePacing,
    ) -> None:
        self.store = store
        self.now = 0.0
        self.chance = random.Random(seed)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.current: dict[int, float] = {}  # when each knew all, after its latest start or loss
        self.paces = [
            pace(f"router-{n}", store.capacity, random.Random(seed * 100_003 + n)) for n in range(count)
        ]
        self._complete = [self.chance.random() >= remembers for _ in range(count)]
        for n in range(count):
            self.at(starts(n) + self.paces[n].initial_delay(), partial(self._send_request, n))

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Call then."""
        heapq.heappush(self._heap, (when, next(self._order), call))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until

    def lose(self) -> None:
        """The store goes away for all who are current at one moment: each notices within 5 ms."""
        lost = list(self.current)
        self.current = {}
        for n in lost:
            self.at(self.now + self.chance.uniform(0, 0.005), partial(self._again, n))

    def _again(self, n: int) -> None:
        self.at(
            self.now + self.paces[n].record_failure(not self.store.away(self.now)),
            partial(self._send_request, n),
        )

    def _send_request(self, n: int) -> None:
        took = self.store.request(self.now, False)
        if took is None:
            return self._again(n)
        self.paces[n].record_answer(took, 0.15)
        self.at(self.now + took, lambda: self._load(n) if self._complete[n] else self._done(n))

    def _load(self, n: int) -> None:
        pace = self.paces[n]
        window = pace.ticket_window(self.now)
        while ahead := pace.windows_ahead(ticket := self.store.ticket(window)):
            window += ahead
        self.at(self.now + pace.ticket_delay(window, ticket, self.now), partial(self._complete_list, n))

    def _complete_list(self, n: int) -> None:
        took = self.store.request(self.now, True)
        if took is None:
            return self._again(n)
        self.at(self.now + took, lambda: self._done(n))

    def _done(self, n: int) -> None:
        self._complete[n] = False
        self.current[n] = self.now


def peak(times: list[float], span: float = 1.0) -> int:
    """The most that came within any span."""
    times = sorted(times)
    low = 0
    most = 0
    for high, at in enumerate(times):
        while times[low] <= at - span:
            low += 1
        most = max(most, high - low + 1)
    return most
