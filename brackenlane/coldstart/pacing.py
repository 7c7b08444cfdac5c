"""Times at which one router contacts the shared store, so that all routers together stay within its capacity.

Times are Unix seconds passed in, and random numbers come from a `random.Random` passed in. The routers do not
communicate: each one knows only how many there are.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from hashlib import blake2b

FIRST_BACKOFF = 0.3  # bound of the jitter after a first failure, in seconds, unless the window is longer
MAX_BACKOFF = 5.0  # largest bound of the jitter, in seconds, unless MIN_BACKOFF_WINDOWS is longer
# Smallest value of the largest bound, in windows: at 2 the fleet retries at half of the store's request rate.
MIN_BACKOFF_WINDOWS = 2.0
WINDOW_GROWTH = 2.0  # factor applied to the window after a refusal or a slow answer
WINDOW_DECAY = 2 / 3  # factor applied to the window after an answer in time
MAX_WINDOW_FACTOR = 4.0  # limits the window, so that all routers reconnect soon after the store has recovered
MIN_RATE = 0.01  # smallest rate in a capacity hint, per second
MAX_RATE = 1e6  # largest rate in a capacity hint, per second
MAX_DOUBLINGS = 30  # largest number of times that a backoff bound is doubled, so that it remains finite


@dataclass(frozen=True, slots=True)
class Capacity:
    """The load that the store can serve to all routers together, as configured by the operator.

    The store can serve both rates at the same time.
    """

    router_count: int = 1
    request_rate: float = 500.0  # small requests (updates since a position) and connections per second
    load_rate: float = 20.0  # full loads per second

    @property
    def window(self) -> float:
        """Seconds in which every router may send one request."""
        return self.router_count / self.request_rate

    @property
    def ticket_window(self) -> float:
        """Seconds after which the numbers of load tickets restart at 1; long enough for one full load."""
        return max(1.0, 1 / self.load_rate)

    @property
    def loads_per_ticket_window(self) -> int:
        """Number of full loads that each ticket window allows."""
        return max(1, int(self.load_rate * self.ticket_window))

    def with_rates(self, request_rate: float, load_rate: float) -> Capacity:
        """Return the capacity with the rates that the store publishes; ValueError for rates out of range."""
        if not (MIN_RATE <= request_rate <= MAX_RATE and MIN_RATE <= load_rate <= MAX_RATE):
            raise ValueError(
                f"asks {request_rate!r} and loads {load_rate!r} must be rates per second from 0.01 to 1000000"
            )
        return replace(self, request_rate=request_rate, load_rate=load_rate)


def hashed_offset(name: str, purpose: str) -> float:
    """Return the offset of a name within a window, as a fraction from 0 to 1, derived from a hash.

    It is the same after each restart, and independent of the offsets of other names and purposes.
    """
    digest = blake2b(f"{purpose}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def jittered_lifetime(lifetime: float, rng: random.Random) -> float:
    """Return the seconds after which an item is refreshed: a random time in the last tenth of its lifetime.

    lifetime: seconds. A DNS cache reports the same expiry time to all its clients, so without jitter they
    would all refresh at the same time from then on.
    """
    return lifetime * rng.uniform(0.9, 1.0)


def jittered_backoff(failures: int, first: float, most: float, rng: random.Random) -> float:
    """Return the seconds to wait after consecutive failures: full jitter up to a bound that doubles.

    failures: number of consecutive failures. first, most: the bound after one failure and the largest bound,
    in seconds. Source: Brooker, "Exponential
    Backoff and Jitter", AWS Architecture Blog 2015.
    """
    doublings = min(failures - 1, MAX_DOUBLINGS)
    return rng.uniform(0.0, min(most, first * 2.0**doublings))


class StorePacing:
    """Computes the times at which one router sends requests to the store, retries, and loads its contents."""

    def __init__(self, name: str, capacity: Capacity, rng: random.Random) -> None:
        self.capacity = capacity
        self.window_factor = 1.0  # multiplier of the window, increased by refusals and slow answers
        self.failures = 0  # number of consecutive failures
        self._name = name
        self._rng = rng

    @property
    def window(self) -> float:
        """Seconds over which the fleet's requests are spread at present, by this router's estimate."""
        return self.capacity.window * self.window_factor

    def initial_delay(self) -> float:
        """Return the seconds from the start to the first request: the hashed offset of this router's name."""
        return hashed_offset(self._name, "ask") * self.window

    def record_failure(self, is_overloaded: bool) -> float:
        """Return the seconds until the next attempt after a failure.

        is_overloaded: whether the store refused the request or answered too late; if not, it is unreachable.
        """
        self.failures += 1
        if is_overloaded:
            self._grow_window()
        # The retry is delayed by one window, so as not to compete with the first requests of other routers.
        first = max(FIRST_BACKOFF, self.window)
        most = max(MAX_BACKOFF, MIN_BACKOFF_WINDOWS * self.window)
        return self.window + jittered_backoff(self.failures, first, most, self._rng)

    def record_answer(self, duration: float, slow_after: float) -> None:
        """Adjust the window to an answer that took `duration` seconds; it was slow above `slow_after`."""
        self.failures = 0
        if duration > slow_after:
            self._grow_window()
        else:
            self.window_factor = max(1.0, self.window_factor * WINDOW_DECAY)

    def _grow_window(self) -> None:
        self.window_factor = min(MAX_WINDOW_FACTOR, self.window_factor * WINDOW_GROWTH)

    def current_ticket_window(self, now: float) -> int:
        """Return the number of the current ticket window, from which the first load ticket is drawn."""
        return int(now / self.capacity.ticket_window)

    def windows_ahead(self, ticket: int) -> int:
        """Return how many ticket windows later the next ticket must be drawn; 0 if this ticket is valid.

        The first ticket of a window is 1. A ticket above the window's number of loads is not valid: the
        router draws again from a later window, by which time routers with smaller tickets will have loaded.
        A few draws give each router a valid ticket, and no ticket is drawn twice.
        """
        return (ticket - 1) // self.capacity.loads_per_ticket_window

    def ticket_delay(self, window: int, ticket: int, now: float) -> float:
        """Return the seconds until the time that a valid ticket assigns to the full load."""
        windows = window + (ticket - 1) / self.capacity.loads_per_ticket_window
        return max(0.0, windows * self.capacity.ticket_window - now)
