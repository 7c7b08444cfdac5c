"""The signs of an overload that a router sees: late answers of caches, and what the origin answers late.

Pure. Times are Unix seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from brackenlane.routing.latency import LatencyEstimate
from brackenlane.routing.origin_throttle import OriginThrottle


@dataclass(slots=True, frozen=True)
class OverloadSigns:
    """The two estimates that tell of an overload."""

    latency: LatencyEstimate
    origin_throttle: OriginThrottle

    def has_any(self, now: float) -> bool:
        """Whether answers are late, or the origin takes less than all of its requests."""
        return self.latency.overloaded or self.origin_throttle.part(now) < 1
