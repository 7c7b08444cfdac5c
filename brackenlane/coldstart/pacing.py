"""When one router of many contacts the shared store, so that all together stay within what it can serve.

Pure: times are Unix seconds handed in, random numbers come from a `random.Random` handed in. Nothing is known
of the other routers but how many there are.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from hashlib import blake2b

FIRST_BACKOFF = 0.3  # seconds: the bound of the jitter after a first failure, for a router alone
MAX_BACKOFF = 5.0  # seconds: the largest bound of the jitter, unless the fleet needs longer windows
MIN_BACKOFF_WINDOWS = 2.0  # windows that a fully grown bound spans: the fleet retries at half of its rate
WINDOW_GROWTH = 2.0  # factor of the window after a refusal or a slow answer
WINDOW_DECAY = 2 / 3  # factor of the window after an answer in time
MAX_WINDOW_FACTOR = 4.0  # windows never grow further: all routers are to be back soon once the store recovers
MIN_RATE = 0.01  # per second, of a capacity hint
MAX_RATE = 1e6  # per second, of a capacity hint
MAX_DOUBLINGS = 30  # of a backoff bound, so that it stays a finite float


@dataclass(frozen=True, slots=True)
class Capacity:
    """What the store can serve to all routers together, both kinds at once, as the operator states it."""

    router_count: int = 1
    request_rate: float = 500.0  # per second: small requests (updates since a position) and connections
    load_rate: float = 20.0  # per second: full loads

    @property
    def window(self) -> float:
        """Seconds in which every router may send one request."""
        return self.router_count / self.request_rate

    @property
    def ticket_window(self) -> float:
        """Seconds for which load tickets are numbered from 1; at least one full load fits in."""
        return max(1.0, 1 / self.load_rate)

    @property
    def loads_per_ticket_window(self) -> int:
        """Full loads in each ticket window."""
        return max(1, int(self.load_rate * self.ticket_window))

    def with_rates(self, request_rate: float, load_rate: float) -> Capacity:
        """Return the capacity with the store's own rates; ValueError for rates out of range."""
        if not (MIN_RATE <= request_rate <= MAX_RATE and MIN_RATE <= load_rate <= MAX_RATE):
            raise ValueError(
                f"asks {request_rate!r} and loads {load_rate!r} a second: from 0.01 to 1000000 are needed"
            )
        return replace(self, request_rate=request_rate, load_rate=load_rate)


def hashed_offset(name: str, purpose: str) -> float:
    """Return the fixed offset of a name in a window, from 0 to 1.

    It is the same at each start, and unrelated to that of another name or purpose.
    """
    digest = blake2b(f"{purpose}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def jittered_lifetime(lifetime: float, rng: random.Random) -> float:
    """Return the seconds after which something with a lifetime (seconds) is refreshed: in its last tenth.

    A DNS cache counts down to the same instant for all its clients: without jitter they would all refresh
    together from then on.
    """
    return lifetime * rng.uniform(0.9, 1.0)


def jittered_backoff(failures: int, first: float, most: float, rng: random.Random) -> float:
    """Return the seconds to wait after this many failures in a row: full jitter up to a bound that doubles.

    first, most: the bound after one failure and the largest one, in seconds. Source: Brooker, "Exponential
    Backoff and Jitter", AWS Architecture Blog 2015.
    """
    doublings = min(failures - 1, MAX_DOUBLINGS)
    return rng.uniform(0.0, min(most, first * 2.0**doublings))


class StorePacing:
    """When one router may send its requests to the store, retry, and load everything."""

    def __init__(self, name: str, capacity: Capacity, rng: random.Random) -> None:
        self.capacity = capacity
        self.window_factor = 1.0  # of the window, learned from refusals and slow answers
        self.failures = 0  # in a row
        self._name = name
        self._rng = rng

    @property
    def window(self) -> float:
        """Seconds over which the fleet's requests are to be spread now, as far as this router knows."""
        return self.capacity.window * self.window_factor

    def initial_delay(self) -> float:
        """Return the seconds from the start to the first request: the offset of this name in the window."""
        return hashed_offset(self._name, "ask") * self.window

    def record_failure(self, is_overloaded: bool) -> float:
        """Return the seconds until the next attempt.

        is_overloaded: the store refused or answered too late; otherwise nobody listens there.
        """
        self.failures += 1
        if is_overloaded:
            self._grow_window()
        # After one window: a retry must not compete with routers whose first request is still to come.
        first = max(FIRST_BACKOFF, self.window)
        most = max(MAX_BACKOFF, MIN_BACKOFF_WINDOWS * self.window)
        return self.window + jittered_backoff(self.failures, first, most, self._rng)

    def record_answer(self, duration: float, slow_after: float) -> None:
        """Adapt the window to an answer that took `duration` seconds; the store is slow past `slow_after`."""
        self.failures = 0
        if duration > slow_after:
            self._grow_window()
        else:
            self.window_factor = max(1.0, self.window_factor * WINDOW_DECAY)

    def _grow_window(self) -> None:
        self.window_factor = min(MAX_WINDOW_FACTOR, self.window_factor * WINDOW_GROWTH)

    def ticket_window(self, now: float) -> int:
        """Return the number of the ticket window in which a load ticket is drawn first."""
        return int(now / self.capacity.ticket_window)

    def windows_ahead(self, ticket: int) -> int:
        """Return how many ticket windows later the next ticket is to be drawn; 0 if this ticket is valid.

        A window's first ticket is 1. Routers that come too late in a window draw again where those before
        them will have loaded, and so on: each gets a time of its own in a few draws, and none is used twice.
        """
        return (ticket - 1) // self.capacity.loads_per_ticket_window

    def ticket_delay(self, window: int, ticket: int, now: float) -> float:
        """Return the seconds until the load that a valid ticket allows."""
        windows = window + (ticket - 1) / self.capacity.loads_per_ticket_window
        return max(0.0, windows * self.capacity.ticket_window - now)
