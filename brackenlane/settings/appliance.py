"""Schema of the operator's file: the keys of every table with their types, bounds and defaults.

Field names are the keys of the file; an unknown key is a fault. Durations are in seconds. Checks across
several tables are in consistency.py; conversion.py converts the tables to the router's settings.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from brackenlane.settings.value_types import (
    AddressWithPort,
    CacheId,
    CacheRole,
    DnsName,
    Host,
    PerSecond,
    PositiveSeconds,
    ResponseValue,
    Seconds,
    SrvName,
    Weight,
    Zone,
)

DAY = 86_400.0  # seconds
MAX_ROUTERS = 10_000
MAX_CACHES = 10_000


class Table(BaseModel):
    """Base class of all tables. Unknown keys and numbers that are written as strings are rejected."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class SlowStartTable(Table):
    """Slow start of a cache after its start (`[settings.edge_cold]`, `[settings.parent_cold]`).

    The keys are explained at `brackenlane.routing.settings.SlowStart`.
    """

    share: Annotated[float, Field(gt=0, le=1)] = 1.0
    ramp: Seconds = 0.0
    factor: Annotated[float, Field(gt=0, le=1000)] = 1.0
    span: PositiveSeconds = 1.0


class SettingsTable(Table):
    """Routing settings (`[settings]`).

    The keys are explained at the fields of `brackenlane.routing.settings.Settings`; conversion.py maps the
    keys that have another name there.
    """

    location: Zone
    locations: Annotated[list[Zone], Field(min_length=1, max_length=1000)]
    gateway: Annotated[int, Field(ge=0, le=MAX_ROUTERS)] = 0
    gateways: Annotated[int, Field(ge=1, le=MAX_ROUTERS)] = 1
    mate: Annotated[int, Field(ge=0, le=MAX_ROUTERS)] | None = None  # index in its location, from 0
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
    """One class of requests (`[[class]]`).

    The keys are explained at the fields of `brackenlane.routing.settings.RequestClass`; conversion.py maps
    the keys that have another name there.
    """

    name: Annotated[str, Field(pattern=r"^[0-9A-Za-z-]{1,63}$")]
    aim: PositiveSeconds
    give_up: PositiveSeconds
    aim_stretch: Annotated[float, Field(ge=0, le=100)] = 0.0
    worth: ResponseValue = 1.0
    late_worth: ResponseValue = 0.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    scope: Literal["all", "zone", "cell"] = "all"
    repeat_window: Seconds = 0.0
    fresh: Annotated[float, Field(ge=0)] = 0.0
    grace: Annotated[float, Field(ge=0)] = 0.0
    stale_worth: ResponseValue = 0.0
    in_parts: bool = False
    uncached: bool = False


class CacheTable(Table):
    """One cache (`[[box]]`). `host` is an IP address or a host name that is resolved by DNS."""

    id: CacheId
    host: Host
    port: Annotated[int, Field(ge=1, le=65_535)]
    zone: Zone
    role: CacheRole = "edge"
    weight: Weight = 1.0


class SrvTable(Table):
    """One SRV name whose targets are caches (`[[discover]]`)."""

    srv: SrvName
    zone: Zone
    role: CacheRole = "edge"
    weight_scale: Weight = 1.0
    enough: Annotated[int, Field(ge=1, le=MAX_CACHES)] = 1


class DiscoveryTable(Table):
    """Limits of discovery and of the DNS cache (`[discovery]`).

    `appliance/config.py` maps the keys to the fields of Policy and Lifetimes, which explain them.
    """

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
    # Path of the snapshot file, relative to the folder of this file; empty: no snapshot is kept.
    last_list: Annotated[str, Field(max_length=255)] = ""


class ColdStartTable(Table):
    """How starting routers limit their load on the shared store and the resolver (`[coldstart]`).

    Rates are for all routers of the site together.
    """

    # Number of routers; None: settings.gateways.
    doormans: Annotated[int, Field(ge=1, le=MAX_ROUTERS)] | None = None
    asks: PerSecond = 500.0  # small requests per second that the store can serve
    loads: PerSecond = 20.0  # full loads per second that the store can serve
    look_ups: PerSecond = 1000.0  # queries per second that the resolver can serve
    # Maximum age of a snapshot whose caches are used at once. An older one has to wait for the store.
    trust: Annotated[float, Field(ge=0, le=31 * DAY)] = DAY
    # How long to wait for the store's answer before a snapshot older than `trust` is used.
    patience: Annotated[float, Field(ge=0, le=600)] = 10.0
    # "listed": /-/healthy succeeds at once; "current": only once the store has been read.
    ready: Literal["listed", "current"] = "listed"


class ApplianceFile(Table):
    """The whole operator's file."""

    name: Annotated[str, Field(min_length=1, max_length=64)]
    http: AddressWithPort
    dns: AddressWithPort
    zone: DnsName
    console: Annotated[str, Field(min_length=1, max_length=100)]
    resolver: AddressWithPort | Annotated[list[AddressWithPort], Field(min_length=1, max_length=8)] | None = (
        None
    )
    redis: AddressWithPort | None = None
    settings: SettingsTable
    classes: Annotated[list[ClassTable], Field(alias="class", min_length=1, max_length=64)]
    caches: Annotated[list[CacheTable], Field(alias="box", max_length=MAX_CACHES)] = []
    discover: Annotated[list[SrvTable], Field(max_length=64)] = []
    discovery: DiscoveryTable = DiscoveryTable()
    coldstart: ColdStartTable = ColdStartTable()

    @property
    def resolvers(self) -> tuple[str, ...]:
        """Addresses of the upstream resolvers, in the order of the file."""
        if self.resolver is None:
            return ()
        if isinstance(self.resolver, str):
            return (self.resolver,)
        return tuple(self.resolver)
