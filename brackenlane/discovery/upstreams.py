"""The order in which upstream resolvers are asked, and the timeout of each. Pure: the clock is handed in."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from brackenlane.config import Endpoint

# Smoothing of response times (RFC 6298, 2.3).
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS_IN_TIMEOUT = 4
MAX_TIMEOUT_DOUBLINGS = 6
MAX_BACKOFF_DOUBLINGS = 8


@dataclass(frozen=True, slots=True)
class UpstreamTimeouts:
    """Seconds."""

    initial: float = 0.4  # timeout of an upstream whose response time is unknown
    shortest: float = 0.05
    longest: float = 1.0
    backoff: float = 0.5  # for which an upstream that failed is asked last; doubled with each failure
    max_backoff: float = 8.0


@dataclass(slots=True)
class Upstream:
    """What is known of one resolver; its response time is smoothed as in RFC 6298."""

    endpoint: Endpoint
    mean: float = 0.0  # seconds; 0: unknown
    deviation: float = 0.0
    failures: int = 0  # in a row
    backoff_until: float = 0.0  # Unix time until which it is asked last
    edns: bool = True  # whether it understands EDNS
    asked: int = 0

    @property
    def name(self) -> str:
        """The name in the log and on the console."""
        return f"{self.endpoint[0]}:{self.endpoint[1]}"


class Upstreams:
    """All upstream resolvers."""

    def __init__(self, endpoints: Iterable[Endpoint], timeouts: UpstreamTimeouts) -> None:
        self.all = [Upstream(endpoint) for endpoint in endpoints]
        self._timeouts = timeouts

    def order(self, now: float) -> list[Upstream]:
        """Return those that answer, the fastest first, then the failed ones, the earliest back first."""

        def rank(upstream: Upstream) -> tuple[bool, float]:
            is_backing_off = now < upstream.backoff_until
            return is_backing_off, upstream.backoff_until if is_backing_off else upstream.mean

        return sorted(self.all, key=rank)

    def timeout(self, upstream: Upstream) -> float:
        """Return the seconds to wait for an answer: the mean and four deviations, doubled by each failure."""
        limits = self._timeouts
        expected = limits.initial
        if upstream.mean:
            expected = upstream.mean + DEVIATIONS_IN_TIMEOUT * upstream.deviation
        doublings = min(upstream.failures, MAX_TIMEOUT_DOUBLINGS)
        return float(min(limits.longest, max(limits.shortest, expected) * 2**doublings))

    def record_answer(self, upstream: Upstream, seconds: float) -> None:
        """Record the response time of an answer, whatever it says of the question."""
        if upstream.mean:
            upstream.deviation += (abs(seconds - upstream.mean) - upstream.deviation) * DEVIATION_GAIN
            upstream.mean += (seconds - upstream.mean) * MEAN_GAIN
        else:
            upstream.mean = seconds
            upstream.deviation = seconds / 2
        upstream.failures = 0
        upstream.backoff_until = 0.0

    def record_failure(self, upstream: Upstream, now: float) -> None:
        """Record that an upstream did not answer in time, or could not be reached."""
        upstream.failures += 1
        doublings = min(upstream.failures - 1, MAX_BACKOFF_DOUBLINGS)
        backoff = self._timeouts.backoff * 2**doublings
        upstream.backoff_until = now + min(self._timeouts.max_backoff, backoff)
