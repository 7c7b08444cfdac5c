"""The settings of one router and of its classes of requests. Times are in seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class Scope(Enum):
    """Which caches drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class CacheStatusReporting(Enum):
    """Which answers of caches tell how they came about."""

    ALL = "all"
    HIT = "hit"
    SILENT = "silent"


class SiblingSources(Enum):
    """Which other edge caches may be a fill source."""

    NONE = "none"
    LOCATION = "location"
    ANY = "any"


def _check(name: str, value: float, low: float = 0.0, above: bool = False) -> None:
    """Refuse a setting that is no number or lies out of its range."""
    if not isinstance(value, (int, float)) or not math.isfinite(value):
        raise ValueError(f"setting {name}: {value!r} is not a finite number")
    if value < low or (above and value == low):
        raise ValueError(f"setting {name}: {value!r} must be {'above' if above else 'at least'} {low:g}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    name: str
    latency_objective: float
    time_limit: float
    objective_stretch: float = 0.0
    value_weight: float = 1.0
    late_value: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    scope: Scope = Scope.ALL
    repeat_window: float = 0.0
    fresh_for: float = 0.0
    grace: float = 0.0
    stale_value: float = 0.0
    in_parts: bool = False
    uncached: bool = False

    def __post_init__(self) -> None:
        _check(f"class {self.name} latency_objective", self.latency_objective, above=True)
        _check(f"class {self.name} time_limit", self.time_limit, above=True)
        for name in (
            "objective_stretch",
            "value_weight",
            "late_value",
            "repeat_window",
            "fresh_for",
            "grace",
            "stale_value",
        ):
            _check(f"class {self.name} {name}", getattr(self, name))


@dataclass(slots=True, frozen=True)
class SlowStart:
    """The rule for servers that started lately: least share, ramp, and what pushes them over."""

    share: float = 1.0
    ramp: float = 0.0
    factor: float = 1.0
    span: float = 1.0

    def __post_init__(self) -> None:
        _check("cold share", self.share, above=True)
        _check("cold ramp", self.ramp)
        _check("cold factor", self.factor, above=True)
        _check("cold span", self.span, above=True)
        if self.share > 1:
            raise ValueError(f"setting cold share: {self.share!r} must be at most 1")


@dataclass(slots=True, frozen=True)
class Settings:
    """All that one router is told at start."""

    location: str
    locations: tuple[str, ...]
    classes: tuple[RequestClass, ...]
    router_index: int = 0
    router_count: int = 1
    hub_of: tuple[int, ...] = ()
    routers_by_location: tuple[int, ...] = ()
    peer_index: int = -1  # this gateway's place among those of its location, from 0; -1: not told
    link_kb_per_s: tuple[float, ...] = ()
    pace_kb_per_s: float = 0.0
    edge_cold: SlowStart = field(default_factory=SlowStart)
    parent_cold: SlowStart = field(default_factory=SlowStart)
    tick: float = 0.001
    answer_slack: float = 0.0
    connect_timeout: float = 1.0
    keepalive: float = 0.0  # after which a server closes a connection that rests; 0: not told
    streams: int = 100  # attempts that one connection carries at once
    purge_propagation_time: float = 0.0
    max_attempts: int = 1
    max_hold_off: float = 0.0
    weights_known: bool = True  # else every weight is 1 and tells nothing
    must_subscribe: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    probe_price: float = 0.0  # what one probe a request takes off the share of worth served
    may_message_peers: bool = False
    may_hedge: bool = False
    may_bypass_caches: bool = False
    may_join_fills: bool = False
    sibling_sources: SiblingSources = SiblingSources.NONE
    status_reporting: CacheStatusReporting = CacheStatusReporting.ALL

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("setting classes: at least one class is needed")
        if self.location not in self.locations:
            raise ValueError(f"setting location: {self.location!r} is not among the locations")
        if len({c.name for c in self.classes}) < len(self.classes):
            raise ValueError("setting classes: two classes bear one name")
        for name in ("hub_of", "routers_by_location", "link_kb_per_s"):
            known = getattr(self, name)
            if known and len(known) != len(self.locations):
                raise ValueError(f"setting {name}: one value for each location is needed")
            for value in known:
                _check(name, value)
        if any(int(hub) >= len(self.locations) for hub in self.hub_of):
            raise ValueError("setting hub_of: a hub is no place among the locations")
        _check("router_count", self.router_count, 1)
        _check("router_index", self.router_index)
        if self.peer_index >= 0 and not self.peer_index < (
            self.routers_by_location[self.locations.index(self.location)]
            if self.routers_by_location
            else self.router_count
        ):
            raise ValueError(
                f"setting peer_index: {self.peer_index} is no place among the routers of its location"
            )
        _check("max_attempts", self.max_attempts, 1)
        _check("streams", self.streams, 1)
        _check("tick", self.tick, above=True)
        for name in (
            "pace_kb_per_s",
            "answer_slack",
            "connect_timeout",
            "keepalive",
            "purge_propagation_time",
            "max_hold_off",
            "probe_price",
        ):
            _check(name, getattr(self, name))
