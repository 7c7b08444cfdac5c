"""Where one router stands: its hub, the steps from there to the other hubs, and who shares its links.

Pure; all of it follows from the settings. Hubs form a ring by the places of their locations in the settings.
"""

from __future__ import annotations

from brackenlane.routing.members import Member
from brackenlane.routing.settings import Settings


class Topology:
    """The place of one router among locations and hubs."""

    __slots__ = ("hub_count", "hub_distance", "local_router_count", "peer_locations")

    def __init__(self, settings: Settings) -> None:
        """Work it out from settings that were checked (see settings.Settings)."""
        here = settings.locations.index(settings.location)
        own_hub = int(settings.hub_of[here]) if settings.hub_of else here
        ring = sorted({int(hub) for hub in settings.hub_of}) or [here]
        self.hub_count = len(ring)
        self.hub_distance: dict[
            str, int
        ] = {}  # by the location of a hub: along the ring from this gateway's hub
        for place, hub in enumerate(ring):
            gap = place - ring.index(own_hub)
            self.hub_distance[settings.locations[hub]] = min(gap % self.hub_count, -gap % self.hub_count)
        # The routers of this location: they share its caches and its link in.
        self.local_router_count = max(
            1.0, settings.routers_by_location[here] if settings.routers_by_location else settings.router_count
        )
        # The locations of this hub with routers, weighed by how many: they share its parents.
        places = zip(settings.locations, settings.routers_by_location, settings.hub_of, strict=False)
        self.peer_locations = [
            Member(zone, zone, weight=count) for zone, count, hub in places if count and hub == own_hub
        ]
        self.peer_locations = self.peer_locations or [
            Member("", settings.location, weight=settings.router_count)
        ]
