"""Selection order and timeouts of the upstream resolvers. Pure: the time is an argument."""

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
    """Limits of timeouts and backoff in seconds."""

    initial: float = 0.4  # timeout of an upstream whose response time is unknown
    shortest: float = 0.05
    longest: float = 1.0
    backoff: float = 0.5  # how long an upstream is queried last after a failure; doubles with each one
    max_backoff: float = 8.0


@dataclass(slots=True)
class Upstream:
    """State of one upstream resolver, with its response time smoothed as in RFC 6298."""

    endpoint: Endpoint
    mean: float = 0.0  # seconds; 0: not measured yet
    deviation: float = 0.0  # seconds
    failures: int = 0  # consecutive failures
    backoff_until: float = 0.0  # Unix time until which it is queried last
    edns: bool = True  # whether it supports EDNS
    query_count: int = 0

    @property
    def name(self) -> str:
        """The address and port, as shown in logs and on the console."""
        return f"{self.endpoint[0]}:{self.endpoint[1]}"


class Upstreams:
    """The upstream resolvers of a site."""

    def __init__(self, endpoints: Iterable[Endpoint], timeouts: UpstreamTimeouts) -> None:
        self.all = [Upstream(endpoint) for endpoint in endpoints]
        self._timeouts = timeouts

    def order(self, now: float) -> list[Upstream]:
        """Return the upstreams: responsive ones by response time, then failed ones by the end of backoff."""

        def rank(upstream: Upstream) -> tuple[bool, float]:
            is_backing_off = now < upstream.backoff_until
            return is_backing_off, upstream.backoff_until if is_backing_off else upstream.mean

        return sorted(self.all, key=rank)

    def timeout(self, upstream: Upstream) -> float:
        """Return the timeout in seconds: mean plus four deviations, doubled for each consecutive failure."""
        limits = self._timeouts
        expected = limits.initial
        if upstream.mean:
            expected = upstream.mean + DEVIATIONS_IN_TIMEOUT * upstream.deviation
        doublings = min(upstream.failures, MAX_TIMEOUT_DOUBLINGS)
        return float(min(limits.longest, max(limits.shortest, expected) * 2**doublings))

    def record_answer(self, upstream: Upstream, seconds: float) -> None:
        """Record the response time of a reply of any kind, and end the backoff."""
        if upstream.mean:
            upstream.deviation += (abs(seconds - upstream.mean) - upstream.deviation) * DEVIATION_GAIN
            upstream.mean += (seconds - upstream.mean) * MEAN_GAIN
        else:
            upstream.mean = seconds
            upstream.deviation = seconds / 2
        upstream.failures = 0
        upstream.backoff_until = 0.0

    def record_failure(self, upstream: Upstream, now: float) -> None:
        """Record that an upstream timed out or was unreachable, and start or extend its backoff."""
        upstream.failures += 1
        doublings = min(upstream.failures - 1, MAX_BACKOFF_DOUBLINGS)
        backoff = self._timeouts.backoff * 2**doublings
        upstream.backoff_until = now + min(self._timeouts.max_backoff, backoff)
