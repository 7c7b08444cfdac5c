"""The tables of an operator's file: every key, its type, its bounds and its default.

An unknown key is a fault. Field names are the file's keys. What the tables say together is checked in
consistency.py; the router's settings follow from them in conversion.py.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from brackenlane.settings.value_types import (
    Address,
    CacheId,
    CacheRole,
    DnsName,
    Host,
    PerSecond,
    PositiveSeconds,
    Seconds,
    Service,
    Value,
    Weight,
    Zone,
)

DAY = 86_400.0  # seconds
MAX_ROUTERS = 10_000
MAX_CACHES = 10_000


class Table(BaseModel):
    """A table of the file: no unknown keys, no numbers as text."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class SlowStartTable(Table):
    """Slow start of a cache that has started recently (`[settings.edge_cold]`, `[settings.parent_cold]`)."""

    share: Annotated[float, Field(gt=0, le=1)] = 1.0
    ramp: Seconds = 0.0
    factor: Annotated[float, Field(gt=0, le=1000)] = 1.0
    span: PositiveSeconds = 1.0


class SettingsTable(Table):
    """Settings of the decisions (`[settings]`); `brackenlane.routing.settings.Settings` explains them."""

    location: Zone
    locations: Annotated[list[Zone], Field(min_length=1, max_length=1000)]
    gateway: Annotated[int, Field(ge=0, le=MAX_ROUTERS)] = 0
    gateways: Annotated[int, Field(ge=1, le=MAX_ROUTERS)] = 1
    mate: Annotated[int, Field(ge=0, le=MAX_ROUTERS)] | None = None  # place in this location, from 0
    hub_of: list[Annotated[int, Field(ge=0)]] = []
    seats: list[Annotated[float, Field(ge=0)]] = []
    link_kb_per_s: list[Annotated[float, Field(ge=0)]] = []
    pace_kb_per_s: Annotated[float, Field(ge=0)] = 0.0
    edge_cold: SlowStartTable = SlowStartTable()
    parent_cold: SlowStartTable = SlowStartTable()
    tick: PositiveSeconds = 0.001
    answer_slack: Seconds = 0.0
    connect_timeout: PositiveSeconds = 1.0
    purge_done: Seconds = 0.0
    max_attempts: Annotated[int, Field(ge=1, le=16)] = 1
    max_hold_off: Seconds = 0.0
    weights_told: bool = True
    may_cancel: bool = False
    may_probe: bool = False
    second_copies: bool = False
    direct: bool = False
    joins: bool = False


class ClassTable(Table):
    """One class of requests (`[[class]]`)."""

    name: Annotated[str, Field(pattern=r"^[0-9A-Za-z-]{1,63}$")]
    aim: PositiveSeconds
    give_up: PositiveSeconds
    aim_stretch: Annotated[float, Field(ge=0, le=100)] = 0.0
    worth: Value = 1.0
    late_worth: Value = 0.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    scope: Literal["all", "zone", "cell"] = "all"
    repeat_window: Seconds = 0.0
    fresh: Annotated[float, Field(ge=0)] = 0.0
    grace: Annotated[float, Field(ge=0)] = 0.0
    stale_worth: Value = 0.0
    in_parts: bool = False
    uncached: bool = False


class CacheTable(Table):
    """One cache (`[[box]]`), by address or by a host name that is looked up."""

    id: CacheId
    host: Host
    port: Annotated[int, Field(ge=1, le=65_535)]
    zone: Zone
    role: CacheRole = "edge"
    weight: Weight = 1.0


class SrvTable(Table):
    """One SRV entry whose targets are caches (`[[discover]]`)."""

    srv: Service
    zone: Zone
    role: CacheRole = "edge"
    weight_scale: Weight = 1.0
    enough: Annotated[int, Field(ge=1, le=MAX_CACHES)] = 1


class DiscoveryTable(Table):
    """When DNS answers are believed (`[discovery]`); seconds, and shares of a list."""

    grace: Seconds = 5.0
    most_gone: Annotated[float, Field(ge=0, le=1)] = 0.5
    confirm: Seconds = 2.0
    settle: Seconds = 5.0
    remembered: Annotated[float, Field(ge=0, le=31 * DAY)] = 7 * DAY
    warm: Seconds = 600.0
    floor: Annotated[float, Field(ge=0.1, le=60)] = 0.5
    ceiling: Annotated[float, Field(ge=1, le=DAY)] = 300.0
    negative: Annotated[float, Field(ge=0.1, le=3600)] = 30.0
    stale: Annotated[float, Field(ge=0, le=7 * DAY)] = 3600.0
    last_list: Annotated[str, Field(max_length=255)] = ""  # snapshot file, beside this one; empty: none


class ColdStartTable(Table):
    """How starting routers spare the shared store and the resolver (`[coldstart]`); rates of all routers."""

    doormans: Annotated[int, Field(ge=1, le=MAX_ROUTERS)] | None = None  # None: as settings.gateways
    asks: PerSecond = 500.0  # small queries that the store bears
    loads: PerSecond = 20.0  # full lists that the store bears
    look_ups: PerSecond = 1000.0  # queries that the resolver bears
    trust: Annotated[float, Field(ge=0, le=31 * DAY)] = DAY  # an older snapshot waits for the store
    patience: Annotated[float, Field(ge=0, le=600)] = 10.0  # for so long; then an old snapshot is used
    ready: Literal["listed", "current"] = "listed"  # what /-/healthy waits for


class ApplianceFile(Table):
    """The whole file."""

    name: Annotated[str, Field(min_length=1, max_length=64)]
    http: Address
    dns: Address
    zone: DnsName
    console: Annotated[str, Field(min_length=1, max_length=100)]
    resolver: Address | Annotated[list[Address], Field(min_length=1, max_length=8)] | None = None
    redis: Address | None = None
    settings: SettingsTable
    classes: Annotated[list[ClassTable], Field(alias="class", min_length=1, max_length=64)]
    caches: Annotated[list[CacheTable], Field(alias="box", max_length=MAX_CACHES)] = []
    discover: Annotated[list[SrvTable], Field(max_length=64)] = []
    discovery: DiscoveryTable = DiscoveryTable()
    coldstart: ColdStartTable = ColdStartTable()

    @property
    def resolvers(self) -> tuple[str, ...]:
        """The addresses of the upstream resolvers, in the order of the file."""
        if self.resolver is None:
            return ()
        if isinstance(self.resolver, str):
            return (self.resolver,)
        return tuple(self.resolver)
