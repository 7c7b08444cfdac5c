"""Consistency checks across the tables of an operator's file. A fault is one line with the key's path."""

from __future__ import annotations

from collections.abc import Iterator

from brackenlane.discovery.records import ip_address_of
from brackenlane.settings.appliance import ApplianceFile, SettingsTable


def find_faults(file: ApplianceFile) -> Iterator[str]:
    """Yield a line for each inconsistency of a file whose tables are each valid."""
    yield from _location_faults(file.settings)
    yield from _duplicate_names(file)
    yield from _unknown_zones(file)
    yield from _missing_sources(file)


def _location_faults(settings: SettingsTable) -> Iterator[str]:
    if settings.location not in settings.locations:
        yield f"settings.location: {settings.location!r} is not among settings.locations"
    routers_by_location = dict(zip(settings.locations, settings.seats, strict=False))
    router_count = routers_by_location.get(settings.location, settings.gateways)
    if settings.mate is not None and settings.mate >= router_count:
        yield (f"settings.mate: {settings.mate}: the location has {router_count:g} doormans, counted from 0")
    location_count = len(settings.locations)
    for key in ("hub_of", "seats", "link_kb_per_s"):
        values = getattr(settings, key)
        if values and len(values) != location_count:
            yield f"settings.{key}: {len(values)} values; one for each location is needed"
    if any(hub >= location_count for hub in settings.hub_of):
        yield "settings.hub_of: a hub is no place among settings.locations"


def _duplicate_names(file: ApplianceFile) -> Iterator[str]:
    names_by_table = {
        "box": [cache.id for cache in file.caches],
        "class": [cls.name for cls in file.classes],
        "discover": [entry.srv.rstrip(".").lower() for entry in file.discover],
    }
    for table, names in names_by_table.items():
        duplicates = {name for name in names if names.count(name) > 1}
        for name in sorted(duplicates):
            yield f"{table}: two bear the name {name!r}"


def _unknown_zones(file: ApplianceFile) -> Iterator[str]:
    zones = [(f"box[{index}]", cache.zone) for index, cache in enumerate(file.caches)]
    zones += [(f"discover[{index}]", entry.zone) for index, entry in enumerate(file.discover)]
    known_zones = set(file.settings.locations)
    for path, zone in zones:
        if zone not in known_zones:
            yield f"{path}.zone: {zone!r} is not among settings.locations"


def _missing_sources(file: ApplianceFile) -> Iterator[str]:
    looked_up = [cache.id for cache in file.caches if ip_address_of(cache.host) is None]
    looked_up += [entry.srv for entry in file.discover]
    if looked_up and file.resolver is None:
        yield f"resolver: needed, since {looked_up[0]} must be looked up"
    if not file.caches and not file.discover and not file.redis:
        yield "box: no box, no discover and no redis: nothing says where boxes are"
