"""Where one gateway stands: its hub, the steps from there to the other hubs, and who shares its links.

Pure; all of it follows from the settings. Hubs form a ring by the places of their locations in the settings.
"""

from __future__ import annotations

from brackenlane.routing.members import Member
from brackenlane.routing.settings import Settings


class Topology:
    """The place of one gateway among locations and hubs."""

    __slots__ = ("hubs", "mates", "seats", "steps")

    def __init__(self, settings: Settings) -> None:
        """Work it out from settings that were checked (see interface.Settings)."""
        here = settings.locations.index(settings.location)
        own_hub = int(settings.hub_of[here]) if settings.hub_of else here
        ring = sorted({int(hub) for hub in settings.hub_of}) or [here]
        self.hubs = len(ring)
        self.steps: dict[str, int] = {}  # by the location of a hub: along the ring from this gateway's hub
        for place, hub in enumerate(ring):
            gap = place - ring.index(own_hub)
            self.steps[settings.locations[hub]] = min(gap % self.hubs, -gap % self.hubs)
        # The gateways of this location: they share its caches and its link in.
        self.seats = max(1.0, settings.seats[here] if settings.seats else settings.gateways)
        # The locations of this hub with gateways, weighed by how many: they share its parents.
        places = zip(settings.locations, settings.seats, settings.hub_of, strict=False)
        self.mates = [
            Member(zone, zone, weight=seats) for zone, seats, hub in places if seats and hub == own_hub
        ]
        self.mates = self.mates or [Member("", settings.location, weight=settings.gateways)]
