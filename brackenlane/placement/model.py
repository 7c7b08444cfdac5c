"""Input and output records of a placement: sizes in bytes, rates per second, shares from 0 to 1."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from brackenlane.routing.settings import SlowStart


@dataclass(frozen=True, slots=True)
class PlacementCache:
    """One cache."""

    id: str
    zone: str
    warm_bytes_per_s: float  # rate of its link, which it can use in full once it is warm
    started_at: float = 0.0  # Unix time of its last start; 0: it is warm

    def capacity_at(self, slow_start: SlowStart, now: float) -> float:
        """Return the bytes per second that it can serve at a time, by its slow-start ramp."""
        age = now - self.started_at
        if not self.started_at or age >= slow_start.ramp:
            return self.warm_bytes_per_s
        return self.warm_bytes_per_s * (
            slow_start.share + (1 - slow_start.share) * max(0.0, age) / slow_start.ramp
        )


@dataclass(frozen=True, slots=True)
class PlacementClass:
    """One class of requests."""

    name: str
    mean_bytes: float  # mean size of an answer
    request_value: float = 1.0  # value of one request that is served
    hit_ratio: float = 0.0  # share served from cached copies; the rest uses the link into the zone


@dataclass(frozen=True, slots=True)
class Demand:
    """The demand of one zone for one class."""

    zone: str
    class_name: str
    requests_per_s: float


class ShareBound(Enum):
    """The direction in which a constraint bounds the share of a cache in its zone's demand for a class."""

    AT_LEAST = "at least"
    AT_MOST = "at most"


@dataclass(frozen=True, slots=True)
class Constraint:
    """A bound that an operator wants, relaxed if it cannot be met; the last in the list is relaxed first."""

    name: str
    cache_id: str
    class_name: str
    bound: ShareBound
    share: float  # 0 with AT_MOST: the cache must not serve the class


@dataclass(frozen=True, slots=True)
class Problem:
    """The input of a placement: the state of one site at one time."""

    caches: tuple[PlacementCache, ...]
    classes: tuple[PlacementClass, ...]
    demands: tuple[Demand, ...]
    link_bytes_per_s: dict[str, float] = field(default_factory=dict)  # link into each zone; absent: no limit
    origin_bytes_per_s: float = float("inf")
    constraints: tuple[Constraint, ...] = ()
    slow_start: SlowStart = field(default_factory=SlowStart)
    now: float = 0.0  # Unix seconds
    # Shares in force at present, by zone, class and cache.
    current_shares: dict[tuple[str, str, str], float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RelaxedConstraint:
    """A constraint that could not be met in full."""

    name: str
    slack: float  # amount by which the bound is relaxed, as a share
    conflict: tuple[str, ...]  # names of constraints and limits that cannot all be met; none is redundant

    def describe(self) -> str:
        """Return one line for an operator."""
        return f"{self.name} gave way by {self.slack:.0%}: {' and '.join(self.conflict)} can't hold together"


@dataclass(frozen=True, slots=True)
class Plan:
    """The result of a placement, to be verified before its shares are applied."""

    shares: dict[tuple[str, str, str], float]  # share of the demand, by zone, class and cache
    unplaced: dict[tuple[str, str], float]  # share of the demand that no cache can serve, by zone and class
    relaxed: tuple[RelaxedConstraint, ...]
    value_per_s: float  # value of the requests that are placed
    link_bytes_per_s: float  # sum over the links into all zones
    peak_utilization: float  # highest load of a cache as a fraction of its present capacity
    binding_limits: tuple[str, ...]  # names of the limits that are used in full
