"""Overload signals that a router observes: high latency in general, and late fills from the origin.

Pure. Times are Unix seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from brackenlane.routing.latency import LatencyEstimate
from brackenlane.routing.origin_throttle import OriginThrottle


@dataclass(slots=True, frozen=True)
class OverloadSignals:
    """The two estimates from which an overload is detected."""

    latency: LatencyEstimate
    origin_throttle: OriginThrottle

    def is_overloaded(self, now: float) -> bool:
        """Whether latency is too high, or the origin throttle admits less than all requests."""
        return self.latency.overloaded or self.origin_throttle.current_share(now) < 1
