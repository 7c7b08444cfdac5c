"""Simulates the start of many routers in virtual time: the real pacing code and a store of limited capacity.

The store serves requests in order; a request that would wait longer than its patience is refused at once.
Times are in seconds.
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
class SimulatedStore:
    """A store that serves small requests and full loads in two independent queues."""

    capacity: Capacity
    patience: float = 0.5
    refuses: Callable[[float], bool] = lambda _: False  # whether it refuses at a time, whatever the load
    is_unreachable: Callable[[float], bool] = lambda _: False  # whether it is unreachable at a time
    # End of the work accepted so far, of small requests and of full loads.
    busy_until: list[float] = field(default_factory=lambda: [0.0, 0.0])
    # Arrival times of small requests, including refused ones.
    request_times: list[float] = field(default_factory=list)
    load_times: list[float] = field(
        default_factory=list
    )  # arrival times of full loads, including refused ones
    refused: int = 0
    tickets: dict[int, int] = field(default_factory=dict)  # number of tickets drawn in each window

    def request(self, now: float, complete: bool) -> float | None:
        """Return the seconds until the answer, None if refused.

        complete: whether it is a full load instead of a small request.
        """
        (self.load_times if complete else self.request_times).append(now)
        cost = 1 / (self.capacity.load_rate if complete else self.capacity.request_rate)
        begin = max(self.busy_until[complete], now)
        if self.is_unreachable(now) or self.refuses(now) or begin - now > self.patience:
            self.refused += 1
            return None
        self.busy_until[complete] = begin + cost
        return begin + cost - now

    def ticket(self, bucket: int) -> int:
        """Draw a ticket in a window; return its number, from 1."""
        self.tickets[bucket] = self.tickets.get(bucket, 0) + 1
        return self.tickets[bucket]


class SimulatedFleet:
    """`count` routers that start at given times; `remembers` is the share of them that need no full load."""

    def __init__(
        self,
        count: int,
        store: SimulatedStore,
        seed: int,
        *,
        remembers: float = 1.0,
        starts: Callable[[int], float] = lambda _: 0.0,
        pace: Callable[[str, Capacity, random.Random], StorePacing] = StorePacing,
    ) -> None:
        self.store = store
        self.now = 0.0
        self.rng = random.Random(seed)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        # Time at which each became up to date, since its latest start or loss of the store.
        self.current: dict[int, float] = {}
        self.pacings = [
            pace(f"router-{n}", store.capacity, random.Random(seed * 100_003 + n)) for n in range(count)
        ]
        self._needs_full_load = [self.rng.random() >= remembers for _ in range(count)]
        for n in range(count):
            self.at(starts(n) + self.pacings[n].initial_delay(), partial(self._send_request, n))

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(self._heap, (when, next(self._sequence), call))

    def run(self, until: float) -> None:
        """Run the scheduled calls up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until

    def lose(self) -> None:
        """Break the store connection of all up-to-date routers: each notices within 5 ms."""
        affected = list(self.current)
        self.current = {}
        for n in affected:
            self.at(self.now + self.rng.uniform(0, 0.005), partial(self._retry_later, n))

    def _retry_later(self, n: int) -> None:
        self.at(
            self.now + self.pacings[n].record_failure(not self.store.is_unreachable(self.now)),
            partial(self._send_request, n),
        )

    def _send_request(self, n: int) -> None:
        wait_s = self.store.request(self.now, False)
        if wait_s is None:
            return self._retry_later(n)
        self.pacings[n].record_answer(wait_s, 0.15)
        self.at(
            self.now + wait_s,
            lambda: self._draw_ticket(n) if self._needs_full_load[n] else self._mark_current(n),
        )

    def _draw_ticket(self, n: int) -> None:
        pace = self.pacings[n]
        window = pace.current_ticket_window(self.now)
        while ahead := pace.windows_ahead(ticket := self.store.ticket(window)):
            window += ahead
        self.at(self.now + pace.ticket_delay(window, ticket, self.now), partial(self._request_full_load, n))

    def _request_full_load(self, n: int) -> None:
        wait_s = self.store.request(self.now, True)
        if wait_s is None:
            return self._retry_later(n)
        self.at(self.now + wait_s, lambda: self._mark_current(n))

    def _mark_current(self, n: int) -> None:
        self._needs_full_load[n] = False
        self.current[n] = self.now


def max_count_in_span(times: list[float], span: float = 1.0) -> int:
    """Return the largest number of times within any interval of `span` seconds."""
    times = sorted(times)
    low = 0
    highest = 0
    for high, at in enumerate(times):
        while times[low] <= at - span:
            low += 1
        highest = max(highest, high - low + 1)
    return highest
