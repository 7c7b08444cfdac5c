"""The appliance's file: every key, its type, its bounds and its default. An unknown key is a fault."""

from __future__ import annotations

import ipaddress
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import dns.exception
import dns.name
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError, model_validator

from brackenlane.config import ConfigError
from brackenlane.discovery.records import fixed
from brackenlane.routing.settings import Idempotency, RequestClass, Scope, Settings, SlowStart


def _endpoint(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("an address and port are needed, such as 127.0.0.1:7053") from None
    if not (port.isascii() and port.isdigit() and int(port) < 65536):
        raise ValueError("a port from 0 to 65535 is needed behind the last colon")
    return text


def _name(text: str) -> str:
    try:
        name = dns.name.from_text(text)
    except (dns.exception.DNSException, UnicodeError) as fault:
        raise ValueError(f"a DNS name is needed: {fault}") from None
    if len(name.labels) < 2:
        raise ValueError("a DNS name of one label at least is needed")
    return text


def _host(text: str) -> str:
    return text if fixed(text) else _name(text)


def _service(text: str) -> str:
    if not re.match(r"_[A-Za-z0-9-]+\._(tcp|udp)\..", text):
        raise ValueError("an SRV owner name is needed, such as _cache._tcp.branch.example.")
    return _name(text)


Address = Annotated[str, AfterValidator(_endpoint)]
DnsName = Annotated[str, AfterValidator(_name)]
Host = Annotated[str, AfterValidator(_host)]
Service = Annotated[str, AfterValidator(_service)]
Seconds = Annotated[float, Field(ge=0, le=3600)]
Some = Annotated[float, Field(gt=0, le=3600)]
Zone = Annotated[str, Field(min_length=1, max_length=64)]
CacheRole = Literal["edge", "parent", "origin"]
Id = Annotated[str, Field(pattern=r"^[0-9a-z-]{1,63}$")]


class Record(BaseModel):
    """A table of the file: no unknown keys, no numbers as text."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Cold(Record):
    """How a cache that has just started is spared."""

    share: Annotated[float, Field(gt=0, le=1)] = 1.0
    ramp: Seconds = 0.0
    factor: Annotated[float, Field(gt=0, le=1000)] = 1.0
    span: Some = 1.0


class Module(Record):
    """What the decision module is told (`brackenlane.routing.interface.Settings`)."""

    location: Zone
    locations: Annotated[list[Zone], Field(min_length=1, max_length=1000)]
    gateway: Annotated[int, Field(ge=0, le=10_000)] = 0
    gateways: Annotated[int, Field(ge=1, le=10_000)] = 1
    mate: Annotated[int, Field(ge=0, le=10_000)] | None = None  # place among those of this location, from 0
    hub_of: list[Annotated[int, Field(ge=0)]] = []
    seats: list[Annotated[float, Field(ge=0)]] = []
    link_kb_per_s: list[Annotated[float, Field(ge=0)]] = []
    pace_kb_per_s: Annotated[float, Field(ge=0)] = 0.0
    edge_cold: Cold = Cold()
    parent_cold: Cold = Cold()
    tick: Some = 0.001
    answer_slack: Seconds = 0.0
    connect_timeout: Some = 1.0
    purge_done: Seconds = 0.0
    max_attempts: Annotated[int, Field(ge=1, le=16)] = 1
    max_hold_off: Seconds = 0.0
    weights_told: bool = True
    may_cancel: bool = False
    may_probe: bool = False
    second_copies: bool = False
    direct: bool = False
    joins: bool = False


class Class(Record):
    """One class of requests."""

    name: Annotated[str, Field(pattern=r"^[0-9A-Za-z-]{1,63}$")]
    aim: Some
    give_up: Some
    aim_stretch: Annotated[float, Field(ge=0, le=100)] = 0.0
    worth: Annotated[float, Field(ge=0, le=1e6)] = 1.0
    late_worth: Annotated[float, Field(ge=0, le=1e6)] = 0.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    scope: Literal["all", "zone", "cell"] = "all"
    repeat_window: Seconds = 0.0
    fresh: Annotated[float, Field(ge=0)] = 0.0
    grace: Annotated[float, Field(ge=0)] = 0.0
    stale_worth: Annotated[float, Field(ge=0, le=1e6)] = 0.0
    in_parts: bool = False
    uncached: bool = False


class CacheRecord(Record):
    """One cache, by address or by a host name that is looked up."""

    id: Id
    host: Host
    port: Annotated[int, Field(ge=1, le=65535)]
    zone: Zone
    role: CacheRole = "edge"
    weight: Annotated[float, Field(gt=0, le=1e6)] = 1.0


class Discover(Record):
    """One SRV entry whose targets are caches."""

    srv: Service
    zone: Zone
    role: CacheRole = "edge"
    weight_scale: Annotated[float, Field(gt=0, le=1e6)] = 1.0
    enough: Annotated[int, Field(ge=1, le=10_000)] = 1


class Discovery(Record):
    """How answers are believed; seconds, and shares of a list."""

    grace: Seconds = 5.0
    most_gone: Annotated[float, Field(ge=0, le=1)] = 0.5
    confirm: Seconds = 2.0
    settle: Seconds = 5.0
    remembered: Annotated[float, Field(ge=0, le=31 * 86_400)] = 7 * 86_400.0
    warm: Seconds = 600.0
    floor: Annotated[float, Field(ge=0.1, le=60)] = 0.5
    ceiling: Annotated[float, Field(ge=1, le=86_400)] = 300.0
    negative: Annotated[float, Field(ge=0.1, le=3600)] = 30.0
    stale: Annotated[float, Field(ge=0, le=7 * 86_400)] = 3600.0
    last_list: Annotated[str, Field(max_length=255)] = ""  # a file beside this one; empty: none is kept


class ColdStarts(Record):
    """How a start spares the shared store and the resolver; figures a second are of all routers."""

    doormans: Annotated[int, Field(ge=1, le=10_000)] | None = None  # that share the store; settings.gateways
    asks: Annotated[float, Field(ge=0.1, le=1e6)] = 500.0  # small questions that the store bears a second
    loads: Annotated[float, Field(ge=0.1, le=1e6)] = 20.0  # whole lists that it bears a second
    look_ups: Annotated[float, Field(ge=0.1, le=1e6)] = 1000.0  # look-ups that the resolver bears a second
    trust: Annotated[float, Field(ge=0, le=31 * 86_400)] = 86_400.0  # an older last list waits for the store
    patience: Annotated[float, Field(ge=0, le=600)] = 10.0  # so long; then an old list is better than none
    ready: Literal["listed", "current"] = "listed"  # what /-/healthy waits for


# The file's keys stay as operators wrote them; the records that they fill have field names of their own.
SETTING_FIELDS = {
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


def _renamed(record: dict[str, Any], fields: dict[str, str]) -> dict[str, Any]:
    """A table of the file under the names of the record's fields."""
    return {fields.get(key, key): value for key, value in record.items()}


def _request_class(record: Class) -> RequestClass:
    """One class of the file as the decisions take it."""
    values = _renamed(record.model_dump(), CLASS_FIELDS)
    values["idempotency"] = Idempotency(record.effect)
    values["scope"] = Scope(record.scope)
    return RequestClass(**values)


class ApplianceFile(Record):
    """The whole file."""

    name: Annotated[str, Field(min_length=1, max_length=64)]
    http: Address
    dns: Address
    zone: DnsName
    console: Annotated[str, Field(min_length=1, max_length=100)]
    resolver: Address | Annotated[list[Address], Field(min_length=1, max_length=8)] | None = None
    redis: Address | None = None
    settings: Module
    classes: Annotated[list[Class], Field(alias="class", min_length=1, max_length=64)]
    caches: Annotated[list[CacheRecord], Field(alias="box", max_length=10_000)] = []
    discover: Annotated[list[Discover], Field(max_length=64)] = []
    discovery: Discovery = Discovery()
    coldstart: ColdStarts = ColdStarts()

    @model_validator(mode="after")
    def _fits(self) -> ApplianceFile:
        """What one record alone can't show; all of it at once."""
        if faults := list(self._misfits()):
            raise ValueError("\n".join(faults))
        return self

    def _misfits(self) -> Iterator[str]:
        zones = set(self.settings.locations)
        if self.settings.location not in zones:
            yield f"settings.location: {self.settings.location!r} is not among settings.locations"
        seats = dict(zip(self.settings.locations, self.settings.seats, strict=False))
        most = seats.get(self.settings.location, self.settings.gateways)
        if self.settings.mate is not None and self.settings.mate >= most:
            yield f"settings.mate: {self.settings.mate}: the location has {most:g} doormans, counted from 0"
        for name in ("hub_of", "seats", "link_kb_per_s"):
            told = getattr(self.settings, name)
            if told and len(told) != len(self.settings.locations):
                yield f"settings.{name}: {len(told)} values; one for each location is needed"
        if any(hub >= len(self.settings.locations) for hub in self.settings.hub_of):
            yield "settings.hub_of: a hub is no place among settings.locations"
        for what, ids in (
            ("box", [b.id for b in self.caches]),
            ("class", [c.name for c in self.classes]),
            ("discover", [d.srv.rstrip(".").lower() for d in self.discover]),
        ):
            for one in sorted({one for one in ids if ids.count(one) > 1}):
                yield f"{what}: two bear the name {one!r}"
        placed = [(f"box[{n}]", box.zone) for n, box in enumerate(self.caches)]
        placed += [(f"discover[{n}]", entry.zone) for n, entry in enumerate(self.discover)]
        for path, zone in placed:
            if zone not in zones:
                yield f"{path}.zone: {zone!r} is not among settings.locations"
        named = [b.id for b in self.caches if fixed(b.host) is None]
        if self.resolver is None and (named or self.discover):
            yield f"resolver: needed, since {named[0] if named else self.discover[0].srv} must be looked up"
        if not self.caches and not self.discover and not self.redis:
            yield "box: no box, no discover and no redis: nothing says where boxes are"

    def module_settings(self) -> Settings:
        """As the decision module takes them."""
        told: dict[str, Any] = _renamed(self.settings.model_dump(), SETTING_FIELDS)
        s = self.settings
        seats = s.seats[s.locations.index(s.location)] if s.seats else s.gateways
        if s.mate is None:  # where all routers are of one location, it is the place among all
            told["peer_index"] = (
                s.gateway if s.gateway < seats == sum(s.seats or [seats]) == s.gateways else -1
            )
        for name in ("locations", "hub_of", "routers_by_location", "link_kb_per_s"):
            told[name] = tuple(told[name])
        for name in ("edge_cold", "parent_cold"):
            told[name] = SlowStart(**told[name])
        classes = tuple(_request_class(c) for c in self.classes)
        return Settings(classes=classes, **told)

    @property
    def resolvers(self) -> tuple[str, ...]:
        """The upstreams, in their order."""
        return (
            ()
            if self.resolver is None
            else ((self.resolver,) if isinstance(self.resolver, str) else tuple(self.resolver))
        )


def read_appliance(text: str, file: str) -> ApplianceFile:
    """The operator's file; ConfigError with a line for each fault: file, path, value, what is allowed."""
    try:
        return ApplianceFile.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as fault:
        raise ConfigError(f"{file}: not TOML: {fault}") from None
    except ValidationError as faults:
        raise ConfigError("\n".join(f"{file}: {line}" for line in _lines(faults))) from None


def _lines(faults: ValidationError) -> Iterator[str]:
    seen: set[str] = set()
    for fault in faults.errors(include_url=False):
        text = fault["msg"].removeprefix("Value error, ")
        if not fault["loc"]:  # of the whole file, with its paths in its words
            yield from text.splitlines()
            continue
        # Of a value that may be one of two types, the type tried stands in its path too.
        parts = [part for part in fault["loc"] if isinstance(part, int) or not ("[" in part or part == "str")]
        path = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in parts).lstrip(".")
        if path in seen:  # one value, wrong in two readings of it
            continue
        seen.add(path)
        if fault["type"] == "missing":
            yield f"{path}: missing"
        elif fault["type"] == "extra_forbidden":
            yield f"{path}: not known"
        else:
            shown = repr(fault["input"])
            yield f"{path}: {shown if len(shown) <= 60 else shown[:57] + '...'}: {text}"


def load_appliance(path: str) -> ApplianceFile:
    """The operator's file from its place."""
    try:
        return read_appliance(Path(path).read_text(), path)
    except (OSError, UnicodeDecodeError) as fault:
        raise ConfigError(f"{path}: {getattr(fault, 'strerror', None) or fault}") from None
