"""What a placement is worked out from, as typed records: bytes, rates a second, shares from 0 to 1."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from brackenlane.routing.settings import SlowStart


@dataclass(frozen=True, slots=True)
class PlacementCache:
    """One cache."""

    id: str
    zone: str
    bytes_per_s: float  # that its link carries when it is warm
    started: float = 0.0  # Unix time of a late start; 0: warm

    def bears(self, cold: SlowStart, now: float) -> float:
        """Bytes a second that it may be given at a time: all it can do then, by its ramp."""
        age = now - self.started
        if not self.started or age >= cold.ramp:
            return self.bytes_per_s
        return self.bytes_per_s * (cold.share + (1 - cold.share) * max(0.0, age) / cold.ramp)


@dataclass(frozen=True, slots=True)
class Kind:
    """One class of requests."""

    name: str
    mean_bytes: float
    worth: float = 1.0  # of a request
    hit: float = 0.0  # share served from copies that are kept: the rest comes over the zone's link in


@dataclass(frozen=True, slots=True)
class Demand:
    """What one zone asks for of one class."""

    zone: str
    kind: str
    per_s: float


class Preference(Enum):
    """What an operator may ask of a box's share of a class, over all of its zone's demand for it."""

    AT_LEAST = "at least"
    AT_MOST = "at most"


@dataclass(frozen=True, slots=True)
class Constraint:
    """An operator's wish. The later in the list, the sooner it gives way."""

    name: str
    box: str
    kind: str
    preference: Preference
    share: float  # 0 with AT_MOST forbids


@dataclass(frozen=True, slots=True)
class Problem:
    """One site at one time."""

    caches: tuple[PlacementCache, ...]
    kinds: tuple[Kind, ...]
    demands: tuple[Demand, ...]
    link_bytes_per_s: dict[str, float] = field(default_factory=dict)  # into each zone; absent: no limit
    origin_bytes_per_s: float = float("inf")
    constraints: tuple[Constraint, ...] = ()
    cold: SlowStart = field(default_factory=SlowStart)
    now: float = 0.0
    in_force: dict[tuple[str, str, str], float] = field(default_factory=dict)  # zone, class, cache: share


@dataclass(frozen=True, slots=True)
class GaveWay:
    """A wish that could not be kept."""

    name: str
    by: float  # of share
    conflict: tuple[str, ...]  # the smallest set found of wishes and limits that can't hold together

    def line(self) -> str:
        """For an operator."""
        return f"{self.name} gave way by {self.by:.0%}: {' and '.join(self.conflict)} can't hold together"


@dataclass(frozen=True, slots=True)
class Plan:
    """Shares that may be put in force once they are verified."""

    shares: dict[tuple[str, str, str], float]  # zone, class, cache
    unplaced: dict[tuple[str, str], float]  # zone, class: share of its demand that nobody bears
    gave_way: tuple[GaveWay, ...]
    worth_per_s: float  # of what is placed
    link_bytes_per_s: float  # over all links in
    peak: float  # the most that any cache carries, of what it bears now
    binding: tuple[str, ...]  # limits that are used up
