"""The hub of one router, its distance to the other hubs, and the routers that share links with it.

Pure; derived from the settings alone. Hubs form a ring, in the order of their locations in the settings.
"""

from __future__ import annotations

from brackenlane.routing.members import Member
from brackenlane.routing.settings import Settings


class Topology:
    """Hubs and routers as seen from one router."""

    __slots__ = ("hub_count", "hub_distance", "local_router_count", "peer_locations")

    def __init__(self, settings: Settings) -> None:
        """Derive the topology from validated settings."""
        own = settings.locations.index(settings.location)
        own_hub = int(settings.hub_of[own]) if settings.hub_of else own
        ring = sorted({int(hub) for hub in settings.hub_of}) or [own]
        self.hub_count = len(ring)
        # Hops along the ring from the hub of this router, by the location of a hub.
        self.hub_distance = _hub_distances(settings, ring, own_hub)
        # Number of routers at this location; they share its edge caches and the link into it.
        routers_by_location = settings.routers_by_location
        self.local_router_count = max(
            1.0, routers_by_location[own] if routers_by_location else settings.router_count
        )
        # Locations of this hub that have routers, all of which share its parents. The weight of a location
        # is its number of routers.
        self.peer_locations = _peer_locations(settings, own_hub)


def _hub_distances(settings: Settings, ring: list[int], own_hub: int) -> dict[str, int]:
    own_position = ring.index(own_hub)
    distances: dict[str, int] = {}
    for position, hub in enumerate(ring):
        offset = position - own_position
        distances[settings.locations[hub]] = min(offset % len(ring), -offset % len(ring))
    return distances


def _peer_locations(settings: Settings, own_hub: int) -> list[Member]:
    """Return the locations of a hub as members, so that rendezvous hashing can order them like servers."""
    # If hubs or counts are not configured, these lists are empty and all routers count as local.
    by_location = zip(settings.locations, settings.routers_by_location, settings.hub_of, strict=False)
    locations = [
        Member(location, location, weight=router_count)
        for location, router_count, hub in by_location
        if router_count and hub == own_hub
    ]
    return locations or [Member("", settings.location, weight=settings.router_count)]
