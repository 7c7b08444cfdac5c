"""One simulated run of a site: servers, routers under a policy, purges and the server list."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Protocol

from brackenlane.lab.simulation.clients import Clients
from brackenlane.lab.simulation.clock import EventQueue
from brackenlane.lab.simulation.edge import EdgeCache
from brackenlane.lab.simulation.faults import schedule_faults
from brackenlane.lab.simulation.links import FairLink
from brackenlane.lab.simulation.memory import StoredCopy
from brackenlane.lab.simulation.record import (
    PurgeNotified,
    Record,
    ServerListed,
    ServerOverloaded,
    WriteExecuted,
)
from brackenlane.lab.simulation.reports import Reports
from brackenlane.lab.simulation.routers import RouterHost
from brackenlane.lab.simulation.servers import CacheRequest, Origin, Parent, Server
from brackenlane.lab.simulation.site import ORIGIN, Site
from brackenlane.lab.simulation.slow_start import ColdCapacity
from brackenlane.lab.simulation.streams import Failure, Stream, relay
from brackenlane.lab.simulation.workload import ContentObject, Workload
from brackenlane.routing.actions import Action
from brackenlane.routing.events import Event, Membership, MembershipKind, Purged
from brackenlane.routing.members import Member, Role, ServerState
from brackenlane.routing.rendezvous_hash import score
from brackenlane.routing.settings import RequestClass, Settings

START_TIME = 1000.0  # clock at the start of a run, in seconds; a started_at of 0 means long ago
SETTLE_TIME = 60.0  # seconds after the last arrival within which all requests end, also long streamed answers
PARENT_KEPT_SHARE = 0.93  # share of the requested bytes that a parent stores
# Memory of caches over the size of the popular objects: hashing spreads these unevenly, and objects that are
# requested once take space too.
MEMORY_FACTOR = 1.3
START_SHARE_RANGE = (1.0, 1.7)  # true start share of a cold server, as a multiple of the one in its settings
WARM_UP_RANGE = (0.4, 1.0)  # true time until a cold server is warm, as a share of the one in its settings
NO_GROUP = -1


class Policy(Protocol):
    """A routing policy: the decisions of one router."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Return the actions for one event."""


PolicyFactory = Callable[[Settings, int], Policy]


class World:
    """One run of a site under a policy."""

    def __init__(self, site: Site, policy: PolicyFactory) -> None:
        """policy: builds the policy of one router from its settings and a seed."""
        self.site = site
        self.queue = EventQueue(START_TIME)
        self.random = random.Random(f"{site.seed}/world")
        self.record = Record()
        self.workload = Workload(site, START_TIME)
        self.location_links = {
            site.zones[site.hubs + n]: FairLink(site.link_width(n)) for n in range(len(site.locations))
        }
        self.caches: dict[str, EdgeCache] = {}
        self.parents: dict[str, Parent] = {}
        self.origin = Origin(ORIGIN, site.zones[0], self)
        self.members: dict[str, Member] = {}
        self._purged: dict[str | int, float] = {}
        self._known_starts: dict[tuple[int, str], float] = {}
        self._create_servers()
        self._mean_works = {load.cls.name: load.mean_work for load in site.classes}
        self._streamed = {load.cls.name for load in site.classes if load.streamed}
        self.routers = [
            RouterHost(self, n, home, policy(site.settings(n), 7919 * site.seed + n))
            for n, home in enumerate(site.router_homes)
        ]
        self.reports = Reports(self)
        self.clients = Clients(self)

    def run(self) -> Record:
        """Simulate the run and return its record."""
        for router in self.routers:
            self._notify(router, MembershipKind.REMEMBERED, tuple(self.members.values()))
        self.clients.schedule(self.workload.planned_operations())
        self._schedule_purges()
        schedule_faults(self)
        self.queue.run(START_TIME + self.site.seconds + SETTLE_TIME)
        return self.record

    def server(self, name: str) -> Server | None:
        """Return a server by its name."""
        if name == ORIGIN:
            return self.origin
        return self.caches.get(name) or self.parents.get(name)

    # The interface of servers (see `servers.Environment`).

    def is_current(self, copy: StoredCopy) -> bool:
        """Whether no purge has been issued since the origin sent the copy."""
        return copy.issued >= max(self._purged.get(copy.obj, 0.0), self._purged.get(copy.group, 0.0))

    def executed(self, operation: str) -> None:
        """Record that the origin executed a write."""
        self.record.executed.append(WriteExecuted(operation, self.queue.now))

    def origin_stopped(self) -> None:
        """Record that the origin stopped because of overload."""
        self.record.origin_stops += 1

    def mean_work(self, cls: RequestClass) -> float:
        """Mean work of a request of a class, in transfer-seconds."""
        return self._mean_works[cls.name]

    def is_streamed(self, cls: RequestClass) -> bool:
        """Whether answers of a class are committed to the client at the first byte."""
        return cls.name in self._streamed

    def fill(
        self, requester: Server, request: CacheRequest, min_issued: float, downstream: Stream, work: float
    ) -> None:
        """Fetch a copy from the source that the request names; a parent fetches from the origin."""
        source = self.origin if isinstance(requester, Parent) else self.server(request.source)
        if source is None:
            self.queue.after(self.site.connect_timeout, lambda: downstream.fail(Failure.UNREACHABLE))
            return
        upstream = Stream()
        latency = self.latency(requester.zone, source)
        links = [source.link]
        pace = self.site.fill_pace
        if requester.zone in self.location_links and source.zone != requester.zone:
            links.append(self.location_links[requester.zone])
            pace = max(1.0, pace / (1 + self._hops(requester.zone, source.zone)))

        def reach() -> None:
            if not downstream.ended:
                source.track_stream(downstream)
                source.serve_copy(request, min_issued, upstream)

        relay(self.queue, upstream, downstream, links, work, pace, latency)
        self.queue.after(latency, reach)

    def record_cold_load(self, server: Server, router: int, work: float) -> None:
        """Account for work that arrives at a recently started server; an overloaded one stops for good."""
        if server.cold_capacity is None:
            return
        notified = self._known_starts.get((router, server.name), 0.0) >= server.cold_capacity.started_at
        share = server.cold_capacity.add(self.queue.now, work, notified, max(self._mean_works.values()))
        if share is not None:
            self.record.overloaded_servers.append(ServerOverloaded(server.name, share, self.queue.now))
            server.stop()
            server.cold_capacity = None
            self.announce(server.name, ServerState.GONE)

    def latency(self, zone: str, server: Server) -> float:
        """One-way latency to a server in seconds."""
        if zone == server.zone:
            return 0.0003
        return self.site.near_latency + self.site.latency_per_hub * self._hops(zone, server.zone)

    # Changes of servers and content.

    def start_server(self, name: str) -> None:
        """Start a server, cold and with an empty memory, and announce it to the routers."""
        server = self.server(name)
        if server is None or server is self.origin:
            return
        rule = self.site.parent_cold if name in self.parents else self.site.edge_cold
        share = min(1.0, rule.share * self.random.uniform(*START_SHARE_RANGE))
        warm_up_time = rule.ramp * self.random.uniform(*WARM_UP_RANGE)
        server.start_cold(ColdCapacity(rule, server.full_width, share, warm_up_time, self.queue.now))
        self.announce(name, ServerState.SERVING, self.queue.now)

    def announce(self, name: str, state: ServerState, started_at: float | None = None) -> None:
        """Notify the routers of a server's state, each after its own delay."""
        known = self.members[name]
        updated = Member(
            name,
            known.zone,
            known.role,
            state=state,
            weight=known.weight,
            started_at=known.started_at if started_at is None else started_at,
        )
        self.members[name] = updated
        for router in self.routers:
            delay = self.site.list_notice_delay * self.random.uniform(0.5, 1.5)
            # Notices are delivered to a router in the order they were sent.
            at = max(self.queue.now + delay, router.last_notice_at)
            router.last_notice_at = at
            self.queue.at(at, partial(self._notify, router, MembershipKind.CHANGES, (updated,)))

    def add_cache(self, name: str, replaced: str) -> None:
        """Add a cache that replaces another, at the same location and with the same width."""
        replaced_cache = self.caches[replaced]
        memory = self._memory(self.members[replaced].zone, replaced_cache.full_width)
        self.caches[name] = EdgeCache(name, replaced_cache.zone, replaced_cache.full_width, memory, self)
        self.members[name] = Member(
            name, replaced_cache.zone, weight=self.site.listed_weight(name, replaced_cache.full_width)
        )

    def purge(self, key: str | int) -> None:
        """Purge an object (string) or group (number) at all servers and notify the routers."""
        now = self._purged[key] = self.queue.now
        for server in (*self.caches.values(), *self.parents.values()):
            wait = self.random.uniform(0.0, self.site.purge_propagation_time)
            self.queue.after(wait, partial(server.memory.purge, key, now))
        for router in self.routers:
            wait = self.site.purge_notice_delay * self.random.uniform(0.5, 1.5)
            self.queue.after(wait, partial(self._notify_purge, router, key, now))

    # Internal helpers.

    def _hops(self, zone: str, other: str) -> int:
        return self.site.hops(self._hub(zone), self._hub(other))

    def _hub(self, zone: str) -> int:
        index = self.site.zones.index(zone)
        return index if index < self.site.hubs else self.site.locations[index - self.site.hubs].hub

    def _notify(self, router: RouterHost, kind: MembershipKind, members: tuple[Member, ...]) -> None:
        for member in members:
            self._known_starts[router.number, member.server] = member.started_at
            self.record.listed.append(
                ServerListed(router.number, member.server, member.state, member.started_at, self.queue.now)
            )
        router.deliver(Membership(kind, members))

    def _notify_purge(self, router: RouterHost, key: str | int, purged_at: float) -> None:
        now = self.queue.now
        self.record.purges_notified.append(PurgeNotified(router.number, key, purged_at, now))
        if isinstance(key, str):
            router.deliver(Purged(key, NO_GROUP, now - purged_at))
        else:
            router.deliver(Purged("", key, now - purged_at))

    def _schedule_purges(self) -> None:
        objects = [obj for obj, _ in self.workload.most_popular(None, 0.8)]
        at = START_TIME
        while objects and self.site.purges_per_second:
            at += self.random.expovariate(self.site.purges_per_second)
            if at > START_TIME + self.site.seconds:
                return
            name = self.random.choice(objects).name
            self.queue.at(at, partial(self.purge, name))

    def _create_servers(self) -> None:
        site = self.site
        self.members[ORIGIN] = Member(ORIGIN, site.zones[0], Role.ORIGIN)
        for n, hub in enumerate(site.parents):
            name = f"parent-{n}"
            self.parents[name] = Parent(name, site.zones[hub], site.parent_width, self._parent_memory(), self)
            weight = site.listed_weight(name, site.parent_width)
            self.members[name] = Member(name, site.zones[hub], Role.PARENT, weight=weight)
        for n, location in enumerate(site.locations):
            zone = site.zones[site.hubs + n]
            for number, width in enumerate(location.widths):
                name = f"cache-{n}-{number}"
                self.caches[name] = EdgeCache(name, zone, width, self._memory(zone, width), self)
                self.members[name] = Member(name, zone, cell=n, weight=site.listed_weight(name, width))
            self._warm_caches(n, zone)
        for parent in self.parents.values():
            self._warm_parent(parent)

    def _memory(self, zone: str, width: float) -> float:
        """Memory of one cache: its share of what the location's caches need for the site's hit ratio."""
        location = self.site.zones.index(zone) - self.site.hubs
        popular = self.workload.most_popular(location, self.site.hit_ratio)
        total = sum(obj.work * obj.parts for obj, _ in popular)
        return MEMORY_FACTOR * total * width / sum(self.site.locations[location].widths)

    def _parent_memory(self) -> float:
        return sum(obj.work * obj.parts for obj, _ in self.workload.most_popular(None, PARENT_KEPT_SHARE))

    def _warm_caches(self, location: int, zone: str) -> None:
        """Fill the caches of a location with its popular objects, placed by rendezvous hash."""
        members = [m for m in self.members.values() if m.zone == zone]
        for obj, cls in reversed(self.workload.most_popular(location, self.site.hit_ratio)):
            for part in range(obj.parts):
                copy = self._copy(obj, part, cls)
                preferred = min(members, key=lambda m: (score(copy.name, m), m.server))
                self.caches[preferred.server].memory.store(copy)

    def _warm_parent(self, parent: Parent) -> None:
        for obj, cls in reversed(self.workload.most_popular(None, PARENT_KEPT_SHARE)):
            for part in range(obj.parts):
                parent.memory.store(self._copy(obj, part, cls))

    def _copy(self, obj: ContentObject, part: int, cls: RequestClass) -> StoredCopy:
        age = self.random.uniform(0.0, cls.fresh_for or 60.0)
        return StoredCopy(f"{obj.name}/{part}", obj.name, obj.group, START_TIME - age, obj.work)


def run_site(site: Site, policy: PolicyFactory) -> Record:
    """Simulate one run of a site under a policy."""
    return World(site, policy).run()
