"""The description of one site and one day on it, and the settings that its routers are told."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, replace
from enum import Enum
from functools import cached_property

from brackenlane.routing.settings import (
    CacheStatusReporting,
    RequestClass,
    Settings,
    SiblingSources,
    SlowStart,
)

ORIGIN = "origin"
ORIGIN_SIZING_LOAD = 0.6  # for which the origin is sized
PARENT_MISS_RATIO = 0.35  # share of what well-used parents are asked for that they lack
ORIGIN_RESERVE_FILLS = 2.0  # fills of one location that the origin bears on top
LINK_SCALING_CACHES = 6  # caches; the link of a location with fewer is wider than in proportion


class StatusReports(Enum):
    """Which notes come with outcomes."""

    ALL = "all"
    HIT = "hit"
    SILENT = "silent"


class WeightAccuracy(Enum):
    """What the list says of a server's link."""

    EXACT = "exact"
    ROUGH = "rough"
    SILENT = "silent"


class FaultKind(Enum):
    """What goes wrong."""

    FAST_ERRORS = "fast errors"
    HANG = "hang"
    CRASH = "crash"
    REPLACE = "replace"
    ORIGIN_SLOW = "origin slow"
    PURGE_GROUPS = "purge of groups"
    OVERSIZE = "oversize objects"


@dataclass(frozen=True)
class Fault:
    """One trouble of the day."""

    kind: FaultKind
    at: float  # seconds after the start of the day
    seconds: float
    share: float = 0.1  # of the servers, groups or requests concerned
    magnitude: float = 2.0  # errors: share of requests; origin: slowdown; oversize: times the usual size
    parents: bool = False  # whether it strikes parents, else caches


@dataclass(frozen=True)
class ClassLoad:
    """How one class is asked for."""

    cls: RequestClass
    share: float  # of all requests
    mean_work: float  # in transfer-seconds
    sigma: float = 0.8  # of the logarithm of the size
    zipf: float = 1.0
    objects: int = 200
    parts: int = 1
    part_interval: float = 0.5  # seconds between two parts
    local: float = 0.2  # share of requests for objects wanted at one location only
    one_time_share: float = 0.02  # share of requests for objects never asked for again
    streamed: bool = False


@dataclass(frozen=True)
class Location:
    """One location: its hub, the widths of its caches and the number of its routers."""

    hub: int
    widths: tuple[float, ...]
    routers: int = 1


@dataclass(frozen=True)
class Site:
    """One site and one day on it."""

    seed: int
    locations: tuple[Location, ...]
    classes: tuple[ClassLoad, ...]
    hubs: int = 1
    parents: tuple[int, ...] = (0,)  # the hub of each
    load: float = 0.5
    seconds: float = 15.0
    hit_ratio: float = 0.7  # share of the bytes asked for that a location's caches keep
    pace_kb_per_s: float = 5000.0
    fill_pace: float = 2.8  # of a fill, times a client's
    link_capacity: float = 1.3
    parent_capacity: float = 1.3
    locations_per_parent: float = 3.0  # locations whose fills one parent is sized for, however many there are
    origin_capacity: float = 2.0
    origin_seconds: float = 0.04
    origin_queue_seconds: float = 1.0
    origin_stops_on_overload: bool = False
    near_latency: float = 0.008  # seconds to the servers of the own hub, one way
    latency_per_hub: float = 0.03  # seconds for each hub further
    fills_per_cache: int = 16
    fill_timeout: float = 2.0
    abort_fill: bool = False
    slots_per_width: float = 4.0
    status_reports: StatusReports = StatusReports.ALL
    load_reports: bool = False
    weights: WeightAccuracy = WeightAccuracy.EXACT
    links_known: bool = False
    peers_known: bool = False
    sizes_known: bool = True  # with requests
    sizes_seen: bool = False  # in answers
    may_bypass_caches: bool = True
    may_join_fills: bool = True
    siblings: SiblingSources = SiblingSources.NONE
    may_cancel: bool = True
    may_hedge: bool = True
    max_attempts: int = 8
    max_hold_off: float = 0.0
    edge_cold: SlowStart = SlowStart(0.25, 16.0, 3.0, 1.0)
    parent_cold: SlowStart = SlowStart(0.065, 20.0, 2.0, 1.0)
    drain_grace: float = 0.5
    purge_grace: float = 0.5
    purge_propagation_time: float = 6.0
    purge_notice_delay: float = 0.2  # seconds until routers are notified, on average
    purges_per_second: float = 0.4
    list_notice_delay: float = 1.5  # seconds until routers hear of a change, on average
    client_retries: int = 2
    request_time_share: float = 0.75  # of the give-up time, that one try is given
    retry_backoff: float = 0.2
    answer_slack: float = 0.008
    tick: float = 0.002
    connect_timeout: float = 0.4
    faults: tuple[Fault, ...] = ()

    @cached_property
    def zones(self) -> tuple[str, ...]:
        """Hubs first, then locations."""
        hubs = [f"hub-{n}" for n in range(self.hubs)]
        return (*hubs, *(f"site-{n}" for n in range(len(self.locations))))

    @cached_property
    def router_homes(self) -> list[int]:
        """The location of each router."""
        return [n for n, location in enumerate(self.locations) for _ in range(location.routers)]

    @property
    def mean_work(self) -> float:
        """Of one request, in transfer-seconds."""
        total_share = sum(load.share for load in self.classes)
        return sum(load.share * load.mean_work for load in self.classes) / total_share

    def request_rate(self, location: int) -> float:
        """Requests a second at one location."""
        return self.load * sum(self.locations[location].widths) / self.mean_work

    def link_width(self, location: int) -> float:
        """Transfers at pace on the link in of one location."""
        widths = self.locations[location].widths
        few_caches_factor = math.sqrt(max(1.0, LINK_SCALING_CACHES / len(widths)))
        return sum(widths) * (1 - self.hit_ratio) * self.link_capacity * few_caches_factor

    @property
    def fills_at_full_load(self) -> float:
        """Transfers that all fills take at load 1."""
        return sum(sum(location.widths) for location in self.locations) * (1 - self.hit_ratio)

    @property
    def parent_width(self) -> float:
        """Transfers at pace on the link of one parent."""
        served_locations = max(self.locations_per_parent, len(self.locations) / max(1, len(self.parents)))
        return self.fills_at_full_load / len(self.locations) * served_locations * self.parent_capacity

    @property
    def origin_width(self) -> float:
        """Transfers at pace on the link of the origin."""
        miss_ratio = PARENT_MISS_RATIO if self.parents else 1.0
        largest = max(sum(location.widths) for location in self.locations) * (1 - self.hit_ratio)
        return (
            self.origin_capacity * ORIGIN_SIZING_LOAD * self.fills_at_full_load * miss_ratio
            + ORIGIN_RESERVE_FILLS * largest
        )

    @property
    def origin_workers(self) -> int:
        """Requests that the origin works on at once, enough for those that its link carries."""
        return max(2, math.ceil(self.origin_width / self.mean_work * self.origin_seconds))

    def hops(self, hub: int, other: int) -> int:
        """Hubs on the way between two; they form a ring."""
        return min((hub - other) % self.hubs, (other - hub) % self.hubs)

    def settings(self, router: int) -> Settings:
        """What one router is told at its start."""
        homes = self.router_homes
        home = homes[router]
        links = [0.0] * self.hubs
        links += [self.link_width(n) * self.pace_kb_per_s for n in range(len(self.locations))]
        return Settings(
            location=self.zones[self.hubs + home],
            locations=self.zones,
            classes=tuple(load.cls for load in self.classes),
            router_index=router,
            router_count=len(homes),
            hub_of=(*range(self.hubs), *(location.hub for location in self.locations)),
            routers_by_location=(*[0] * self.hubs, *(location.routers for location in self.locations)),
            peer_index=router - homes.index(home) if self.peers_known else -1,
            link_kb_per_s=tuple(links) if self.links_known else (0.0,) * len(links),
            pace_kb_per_s=self.pace_kb_per_s,
            edge_cold=self.edge_cold,
            parent_cold=self.parent_cold,
            tick=self.tick,
            answer_slack=self.answer_slack,
            connect_timeout=self.connect_timeout,
            keepalive=30.0,
            purge_propagation_time=self.purge_propagation_time,
            max_attempts=self.max_attempts,
            max_hold_off=self.max_hold_off,
            weights_known=self.weights is not WeightAccuracy.SILENT,
            may_cancel=self.may_cancel,
            may_hedge=self.may_hedge,
            may_bypass_caches=self.may_bypass_caches,
            may_join_fills=self.may_join_fills,
            sibling_sources=self.siblings,
            status_reporting=CacheStatusReporting(self.status_reports.value),
        )

    def listed_weight(self, server: str, width: float) -> float:
        """What the list says of a server's link."""
        if self.weights is WeightAccuracy.EXACT:
            return width
        if self.weights is WeightAccuracy.SILENT:
            return 1.0
        return width * 2 ** random.Random(f"{self.seed}/{server}").uniform(-1, 1)

    def without_faults(self) -> Site:
        """The same day without its troubles."""
        return replace(self, faults=())
