"""Converts the tables of an operator's file to routing settings, whose fields have other names."""

from __future__ import annotations

from typing import Any

from brackenlane.routing.settings import Idempotency, RequestClass, Scope, Settings, SlowStart
from brackenlane.settings.appliance import ApplianceFile, ClassTable, SettingsTable

UNKNOWN_PEER_INDEX = -1

# Keys of the file whose field in the routing settings has another name.
SETTING_FIELDS = {
    "edge_cold": "edge_slow_start",
    "parent_cold": "parent_slow_start",
    "gateway": "router_index",
    "gateways": "router_count",
    "mate": "peer_index",
    "seats": "routers_by_location",
    "purge_done": "purge_propagation_time",
    "weights_told": "weights_known",
    "second_copies": "may_hedge",
    "direct": "may_bypass_caches",
    "joins": "may_join_fills",
}
SLOW_START_FIELDS = {"factor": "overload_factor", "span": "overload_duration"}
CLASS_FIELDS = {
    "aim": "latency_objective",
    "give_up": "time_limit",
    "aim_stretch": "objective_stretch",
    "worth": "value_weight",
    "late_worth": "late_value",
    "stale_worth": "stale_value",
    "effect": "idempotency",
    "fresh": "fresh_for",
}


def routing_settings(file: ApplianceFile) -> Settings:
    """Return the routing settings of an operator's file."""
    table = file.settings
    values = _by_field_name(table.model_dump(), SETTING_FIELDS)
    if table.mate is None:
        values["peer_index"] = _default_peer_index(table)
    for field in ("locations", "hub_of", "routers_by_location", "link_kb_per_s"):
        values[field] = tuple(values[field])
    for field in ("edge_slow_start", "parent_slow_start"):
        values[field] = SlowStart(**_by_field_name(values[field], SLOW_START_FIELDS))
    classes = tuple(_request_class(cls) for cls in file.classes)
    return Settings(classes=classes, **values)


def _default_peer_index(table: SettingsTable) -> int:
    """Return the router's index in its location, or UNKNOWN_PEER_INDEX.

    It follows from `gateway`, the index among all routers, only if all routers are in this location;
    without `seats` they are assumed to be.
    """
    if not table.seats:
        return table.gateway if table.gateway < table.gateways else UNKNOWN_PEER_INDEX
    here = table.seats[table.locations.index(table.location)]
    is_only_location = here == sum(table.seats) == table.gateways
    return table.gateway if is_only_location and table.gateway < here else UNKNOWN_PEER_INDEX


def _request_class(table: ClassTable) -> RequestClass:
    values = _by_field_name(table.model_dump(), CLASS_FIELDS)
    values["idempotency"] = Idempotency(table.effect)
    values["scope"] = Scope(table.scope)
    return RequestClass(**values)


def _by_field_name(table: dict[str, Any], field_names: dict[str, str]) -> dict[str, Any]:
    """Return the values of a table, keyed by field name."""
    return {field_names.get(key, key): value for key, value in table.items()}
