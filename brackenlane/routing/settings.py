"""The settings of one router and of its request classes, as records that validate their fields.

Durations are in seconds, rates in KB per second. A field out of its range raises
InvalidSettingError. settings_codec reads the records from JSON.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from brackenlane.routing.errors import InvalidSettingError

UNKNOWN_PEER_INDEX = -1


class Idempotency(Enum):
    """Whether a request may run more than once (RFC 9110, 9.2.2)."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"  # servers drop a repeat that has the same idempotency key
    NON_IDEMPOTENT = "unsafe"


class Scope(Enum):
    """The set of caches that together drop the repeats of a request with an idempotency key."""

    ALL = "all"  # all caches
    ZONE = "zone"  # the caches of one zone
    CELL = "cell"  # the caches of one cell


class CacheStatusReporting(Enum):
    """Which answers of caches carry a cache status."""

    ALL = "all"  # every answer
    HIT = "hit"  # successful answers only; the status of a fill does not show whether it used the origin
    SILENT = "silent"  # no answer


class SiblingSources(Enum):
    """Which other edge caches may be a fill source."""

    NONE = "none"
    LOCATION = "location"  # edge caches of the cache's own location
    ANY = "any"  # edge caches of all locations


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests: how the value of an answer depends on its time, and how its copies age."""

    name: str  # the name by which requests select the class
    latency_objective: float  # seconds within which an answer has its full value
    time_limit: float  # seconds that a client waits, over all attempts
    objective_stretch: float = 0.0  # the objective grows by this factor times the request's transfer time
    value_weight: float = 1.0  # value of an answer within the objective
    late_value: float = 0.0  # share of the value, 0 to 1, that an answer after the objective has
    idempotency: Idempotency = Idempotency.IDEMPOTENT  # whether a request may run more than once
    scope: Scope = Scope.ALL  # the caches that drop repeats, where requests have idempotency keys
    # Seconds for which repeats are dropped, from the first attempt that may have run.
    repeat_window: float = 0.0
    fresh_for: float = 0.0  # freshness lifetime of a copy in seconds; 0: unlimited
    grace: float = 0.0  # seconds past the freshness lifetime for which a stale copy may be served
    stale_value: float = 0.0  # share of the value, 0 to 1, that an answer from a stale copy has
    in_parts: bool = False  # whether its objects have several parts
    uncached: bool = False  # whether answers are never cached and always come from the origin

    def __post_init__(self) -> None:
        """Raise InvalidSettingError where a field is out of its range."""
        for name in ("latency_objective", "time_limit"):
            _check_above_zero(f"class {self.name} {name}", getattr(self, name))
        for name in (
            "objective_stretch",
            "value_weight",
            "late_value",
            "repeat_window",
            "fresh_for",
            "grace",
            "stale_value",
        ):
            _check_at_least(f"class {self.name} {name}", getattr(self, name))


@dataclass(slots=True, frozen=True)
class SlowStart:
    """Capacity of servers that started recently, and the overload that makes them fail."""

    share: float = 1.0  # lowest share of its capacity, above 0 to 1, that a server has at its start
    ramp: float = 0.0  # seconds from the start to full capacity; 0: full capacity at once
    # A load above this multiple of its present capacity for `overload_duration` makes a server fail.
    overload_factor: float = 1.0
    overload_duration: float = 1.0  # seconds

    def __post_init__(self) -> None:
        """Raise InvalidSettingError where a field is out of its range."""
        _check_above_zero("cold share", self.share)
        _check_at_least("cold ramp", self.ramp)
        _check_above_zero("cold factor", self.overload_factor)
        _check_above_zero("cold span", self.overload_duration)
        if self.share > 1:
            raise InvalidSettingError("cold share", f"{self.share!r} must be at most 1")


@dataclass(slots=True, frozen=True)
class Settings:
    """The configuration of one router at its start.

    Fields with one value for each location have them in the order of `locations`.
    """

    location: str  # location of this router
    locations: tuple[str, ...]  # all locations of the site
    classes: tuple[RequestClass, ...]  # the first also applies to requests that name no known class
    router_index: int = 0  # index of this router among all routers of the site, from 0
    router_count: int = 1  # number of routers of the whole site
    hub_of: tuple[int, ...] = ()  # index of the hub's location for each location; empty: no hubs
    routers_by_location: tuple[int, ...] = ()  # number of routers at each location; empty: unknown
    peer_index: int = UNKNOWN_PEER_INDEX  # index of this router among those of its location, from 0
    link_kb_per_s: tuple[float, ...] = ()  # rate of the link into each location; 0 or empty: unknown
    pace_kb_per_s: float = 0.0  # highest transfer rate of one answer, the unit of weights; 0: unknown
    edge_slow_start: SlowStart = field(default_factory=SlowStart)  # slow start of edge caches
    parent_slow_start: SlowStart = field(default_factory=SlowStart)  # slow start of parents
    tick: float = 0.001  # resolution of measured times, in seconds
    answer_slack: float = 0.0  # seconds past its deadline in which a final answer still counts as in time
    connect_timeout: float = 1.0  # seconds
    keepalive: float = 0.0  # seconds after which a server closes an idle connection; 0: unknown
    streams: int = 100  # number of attempts that one connection carries concurrently
    purge_propagation_time: float = 0.0  # seconds within which caches drop purged copies on their own
    max_attempts: int = 1  # attempts of one request
    max_hold_off: float = 0.0  # longest Retry-After that clients obey, in seconds; 0: none is sent
    weights_known: bool = True  # if not, every server's weight is 1 and unrelated to its link rate
    must_subscribe: bool = False  # whether discovery sends changes only on request
    may_cancel: bool = False  # whether attempts can be cancelled
    may_probe: bool = False  # whether load reports may be requested from servers
    probe_price: float = 0.0  # share of the value served that one probe per request costs
    may_message_peers: bool = False  # whether routers may send messages to each other
    may_hedge: bool = False  # whether a request may have two attempts in flight
    may_bypass_caches: bool = False  # whether parents and the origin take attempts as well
    may_join_fills: bool = False  # whether a request can join a fill in progress
    sibling_sources: SiblingSources = SiblingSources.NONE  # edge caches that may fill others
    status_reporting: CacheStatusReporting = CacheStatusReporting.ALL  # answers that carry a cache status

    def __post_init__(self) -> None:
        """Raise InvalidSettingError where a field is out of its range or contradicts another."""
        if not self.classes:
            raise InvalidSettingError("classes", "at least one class is needed")
        if self.location not in self.locations:
            raise InvalidSettingError("location", f"{self.location!r} is not among the locations")
        names = {cls.name for cls in self.classes}
        if len(names) < len(self.classes):
            raise InvalidSettingError("classes", "two classes have the same name")
        self._check_values_by_location()
        _check_at_least("router_count", self.router_count, 1)
        _check_at_least("router_index", self.router_index)
        self._check_peer_index()
        _check_at_least("max_attempts", self.max_attempts, 1)
        _check_at_least("streams", self.streams, 1)
        _check_above_zero("tick", self.tick)
        for name in (
            "pace_kb_per_s",
            "answer_slack",
            "connect_timeout",
            "keepalive",
            "purge_propagation_time",
            "max_hold_off",
            "probe_price",
        ):
            _check_at_least(name, getattr(self, name))

    def _check_values_by_location(self) -> None:
        for name in ("hub_of", "routers_by_location", "link_kb_per_s"):
            values = getattr(self, name)
            if values and len(values) != len(self.locations):
                raise InvalidSettingError(name, "one value for each location is needed")
            for value in values:
                _check_at_least(name, value)
        for hub in self.hub_of:
            if int(hub) >= len(self.locations):
                raise InvalidSettingError(
                    "hub_of", "the index of a hub must be below the number of locations"
                )

    def _check_peer_index(self) -> None:
        if self.peer_index < 0:
            return
        peer_count = self.router_count
        if self.routers_by_location:
            peer_count = self.routers_by_location[self.locations.index(self.location)]
        if self.peer_index >= peer_count:
            raise InvalidSettingError(
                "peer_index", f"{self.peer_index} must be below the number of routers at its location"
            )


def _check_at_least(name: str, value: float, minimum: float = 0.0) -> None:
    _check_finite(name, value)
    if value < minimum:
        raise InvalidSettingError(name, f"{value!r} must be at least {minimum:g}")


def _check_above_zero(name: str, value: float) -> None:
    _check_finite(name, value)
    if value <= 0:
        raise InvalidSettingError(name, f"{value!r} must be above 0")


def _check_finite(name: str, value: float) -> None:
    if not isinstance(value, (int, float)) or not math.isfinite(value):
        raise InvalidSettingError(name, f"{value!r} is not a finite number")
