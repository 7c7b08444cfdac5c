"""Description of a simulated site with its load and faults, and the settings of its routers."""

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
ORIGIN_SIZING_LOAD = 0.6  # load for which the origin is dimensioned
PARENT_MISS_RATIO = 0.35  # share of requests that busy parents cannot answer from memory
ORIGIN_RESERVE_FILLS = 2.0  # extra origin capacity, in multiples of the fills of the largest location
LINK_SCALING_CACHES = 6  # caches; locations with fewer get a link wider than in proportion


class StatusReports(Enum):
    """Which cache statuses caches report with their answers."""

    ALL = "all"
    HIT = "hit"  # only how a stored or filled copy was obtained, without the part of the origin
    SILENT = "silent"


class WeightAccuracy(Enum):
    """How accurately the server list states the bandwidth of a server's link."""

    EXACT = "exact"
    ROUGH = "rough"  # off by a random factor from 0.5 to 2
    SILENT = "silent"  # the same weight for all servers


class FaultKind(Enum):
    """Kind of an injected fault."""

    FAST_ERRORS = "fast errors"
    HANG = "hang"
    CRASH = "crash"
    REPLACE = "replace"
    ORIGIN_SLOW = "origin slow"
    PURGE_GROUPS = "purge of groups"
    OVERSIZE = "oversize objects"


@dataclass(frozen=True)
class Fault:
    """One fault injected in the run."""

    kind: FaultKind
    at: float  # seconds after the start of the run
    seconds: float  # duration
    share: float = 0.1  # share of servers, groups or requests affected
    # FAST_ERRORS: share of requests; ORIGIN_SLOW: slowdown factor; OVERSIZE: multiple of the mean size
    magnitude: float = 2.0
    parents: bool = False  # whether parents are affected, or else caches


@dataclass(frozen=True)
class ClassLoad:
    """The load of one class of requests."""

    cls: RequestClass
    share: float  # share of all requests
    mean_work: float  # transfer-seconds per request
    sigma: float = 0.8  # standard deviation of the logarithm of the size
    zipf: float = 1.0  # exponent of the popularity distribution
    objects: int = 200
    parts: int = 1
    part_interval: float = 0.5  # seconds between requests for successive parts
    local: float = 0.2  # share of requests for objects requested at one location only
    one_time_share: float = 0.02  # share of requests for objects that are never requested again
    streamed: bool = False


@dataclass(frozen=True)
class Location:
    """A location: its hub, the link widths of its caches and the number of its routers."""

    hub: int
    widths: tuple[float, ...]
    routers: int = 1


@dataclass(frozen=True)
class Site:
    """A site with its load and faults, for one run.

    Widths and rates are in multiples of a client's pace (see `links`).
    """

    seed: int
    locations: tuple[Location, ...]
    classes: tuple[ClassLoad, ...]
    hubs: int = 1
    parents: tuple[int, ...] = (0,)  # hub of each parent
    load: float = 0.5  # requested work as a share of the caches' link widths
    seconds: float = 15.0  # length of the run
    hit_ratio: float = 0.7  # share of the requested bytes that a location's caches store
    pace_kb_per_s: float = 5000.0
    fill_pace: float = 2.8  # rate of a fill, in multiples of a client's pace
    link_capacity: float = 1.3  # width of a location's link over its fills at full load
    parent_capacity: float = 1.3  # width of a parent's link over the fills it is dimensioned for
    locations_per_parent: float = 3.0  # locations whose fills a parent is dimensioned for, at least
    origin_capacity: float = 2.0  # width of the origin's link over its fills at ORIGIN_SIZING_LOAD
    origin_seconds: float = 0.04  # mean service time of the origin
    origin_queue_seconds: float = 1.0  # wait in a full queue of the origin
    origin_stops_on_overload: bool = False
    near_latency: float = 0.008  # seconds to servers of the own hub, one way
    latency_per_hub: float = 0.03  # additional seconds per hub on the way
    fills_per_cache: int = 16  # concurrent fills of one cache
    fill_timeout: float = 2.0  # seconds to the first byte
    abort_fill: bool = False  # whether a cache aborts a fill that no request waits for
    slots_per_width: float = 4.0  # concurrent requests of a cache per unit of link width
    status_reports: StatusReports = StatusReports.ALL
    load_reports: bool = False  # whether caches attach load reports to their answers
    weights: WeightAccuracy = WeightAccuracy.EXACT
    links_known: bool = False  # whether routers know the widths of the links of locations
    peers_known: bool = False  # whether a router knows its index among the routers of its location
    sizes_known: bool = True  # whether requests state the size of their object
    sizes_seen: bool = False  # whether answers state the size of their object
    may_bypass_caches: bool = True
    may_join_fills: bool = True
    siblings: SiblingSources = SiblingSources.NONE
    may_cancel: bool = True
    may_hedge: bool = True
    max_attempts: int = 8
    max_hold_off: float = 0.0
    edge_cold: SlowStart = SlowStart(0.25, 16.0, 3.0, 1.0)
    parent_cold: SlowStart = SlowStart(0.065, 20.0, 2.0, 1.0)
    drain_grace: float = 0.5  # seconds after the notice of a drain in which its server may still be used
    purge_grace: float = 0.5  # seconds after the notice of a purge in which older copies may be used
    purge_propagation_time: float = 6.0  # seconds until all caches have executed a purge, at most
    purge_notice_delay: float = 0.2  # mean seconds until routers are notified of a purge
    purges_per_second: float = 0.4
    list_notice_delay: float = 1.5  # mean seconds until routers are notified of a change of the server list
    client_retries: int = 2
    request_time_share: float = 0.75  # time for one request, as a share of the time limit of its class
    retry_backoff: float = 0.2  # mean seconds before the first retry, doubled for each further one
    answer_slack: float = 0.008  # seconds past the deadline of a request within which a router may answer
    tick: float = 0.002  # seconds, shortest delay of a timer
    connect_timeout: float = 0.4  # seconds
    faults: tuple[Fault, ...] = ()

    @cached_property
    def zones(self) -> tuple[str, ...]:
        """Names of all zones: hubs first, then locations."""
        hubs = [f"hub-{n}" for n in range(self.hubs)]
        return (*hubs, *(f"site-{n}" for n in range(len(self.locations))))

    @cached_property
    def router_homes(self) -> list[int]:
        """Location index of each router."""
        return [n for n, location in enumerate(self.locations) for _ in range(location.routers)]

    @property
    def mean_work(self) -> float:
        """Mean work of a request over all classes, in transfer-seconds."""
        total_share = sum(load.share for load in self.classes)
        return sum(load.share * load.mean_work for load in self.classes) / total_share

    def request_rate(self, location: int) -> float:
        """Requests per second at one location."""
        return self.load * sum(self.locations[location].widths) / self.mean_work

    def link_width(self, location: int) -> float:
        """Width of the incoming link of one location."""
        widths = self.locations[location].widths
        few_caches_factor = math.sqrt(max(1.0, LINK_SCALING_CACHES / len(widths)))
        return sum(widths) * (1 - self.hit_ratio) * self.link_capacity * few_caches_factor

    @property
    def fills_at_full_load(self) -> float:
        """Width that all fills need at a load of 1."""
        return sum(sum(location.widths) for location in self.locations) * (1 - self.hit_ratio)

    @property
    def parent_width(self) -> float:
        """Width of the link of each parent."""
        served_locations = max(self.locations_per_parent, len(self.locations) / max(1, len(self.parents)))
        return self.fills_at_full_load / len(self.locations) * served_locations * self.parent_capacity

    @property
    def origin_width(self) -> float:
        """Width of the link of the origin."""
        miss_ratio = PARENT_MISS_RATIO if self.parents else 1.0
        largest = max(sum(location.widths) for location in self.locations) * (1 - self.hit_ratio)
        return (
            self.origin_capacity * ORIGIN_SIZING_LOAD * self.fills_at_full_load * miss_ratio
            + ORIGIN_RESERVE_FILLS * largest
        )

    @property
    def origin_workers(self) -> int:
        """Number of requests that the origin serves concurrently, enough to fill its link."""
        return max(2, math.ceil(self.origin_width / self.mean_work * self.origin_seconds))

    def hops(self, hub: int, other: int) -> int:
        """Number of steps between two hubs on the ring of all hubs."""
        return min((hub - other) % self.hubs, (other - hub) % self.hubs)

    def settings(self, router: int) -> Settings:
        """Settings of one router."""
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
            edge_slow_start=self.edge_cold,
            parent_slow_start=self.parent_cold,
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
        """Weight of a server in the server list: the width of its link, as far as the site states it."""
        if self.weights is WeightAccuracy.EXACT:
            return width
        if self.weights is WeightAccuracy.SILENT:
            return 1.0
        return width * 2 ** random.Random(f"{self.seed}/{server}").uniform(-1, 1)

    def without_faults(self) -> Site:
        """Return the same site without faults."""
        return replace(self, faults=())
