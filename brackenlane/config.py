"""What the router is told at start: read once, into the few values that are used."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from brackenlane.routing import settings_codec
from brackenlane.routing.checked_json import SettingsError
from brackenlane.routing.members import Role
from brackenlane.routing.settings import Settings

Endpoint = tuple[str, int]


class ConfigError(Exception):
    """Something that cannot be used, in one plain line."""


@dataclass(frozen=True, slots=True)
class Site:
    """The names by which the list's numbers and words are read."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    roles: dict[str, Role]


@dataclass(frozen=True, slots=True)
class Config:
    """One doorman's start."""

    name: str
    listen: Endpoint
    settings: Settings
    site: Site
    seed: int = 0
    changelog: Endpoint | None = None
    known: dict[str, Any] = field(default_factory=dict)
    cursor: int = 0  # the number of the last event known
    sockets: int = 1024
    memory_mb: float = 192.0
    flow: float = 0.0  # bytes a second of one transfer at the most, 0: not told
    link: float = 0.0  # of all our own transfers together
    ops: Endpoint | None = None  # where operators call, if told


def read_endpoint(text: object, what: str) -> Endpoint:
    """An address and port."""
    host, _, port = str(text).rpartition(":")
    try:
        address = ipaddress.ip_address(host.strip("[]"))
        number = int(port)
        if not 0 <= number <= 65535:
            raise ValueError(port)
    except ValueError:
        raise ConfigError(f"{what}: {text!r} is no address and port") from None
    return str(address), number


def read_settings(raw: Any) -> tuple[Settings, Site]:
    """The settings as the module takes them, and the names that the list uses."""
    try:
        settings = settings_codec.read_settings(raw)
        site = Site(settings.locations, settings_codec.kind_names(raw), settings_codec.kind_roles(raw))
    except SettingsError as fault:
        raise ConfigError(str(fault)) from None
    return settings, site


def parse(text: bytes, ops: str = "") -> Config:
    """The configuration from its JSON text; ops: the operators' address, where the text names none."""
    try:
        raw = orjson.loads(text)
    except orjson.JSONDecodeError as fault:
        raise ConfigError(f"configuration is not JSON: {fault}") from None
    if not isinstance(raw, dict):
        raise ConfigError("configuration: an object is needed")
    for name in ("name", "listen", "settings"):
        if name not in raw:
            raise ConfigError(f"{name}: missing")
    settings, site = read_settings(raw["settings"])
    try:
        seed = int(str(raw.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: {raw['seed']!r} is not a hexadecimal number") from None
    known = raw.get("known", {})
    if not isinstance(known, dict):
        raise ConfigError("known: an object is needed")
    cursor = known.get("seq", 0)
    if type(cursor) is not int or not 0 <= cursor < 2**64:
        raise ConfigError(f"known.seq: {cursor!r} is no event's number")
    log, limits = raw.get("changelog"), raw.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: an object is needed")
    sockets = _read_number(limits, "sockets", 1024, 64)
    return Config(
        str(raw["name"]),
        read_endpoint(raw["listen"], "listen"),
        settings,
        site,
        seed,
        read_endpoint(log, "changelog") if log else None,
        known,
        cursor,
        int(sockets),
        _read_number(limits, "memory_mb", 192, 1),
        _read_number(raw, "flow_bytes_per_s", 0),
        _read_number(raw, "link_bytes_per_s", 0),
        read_endpoint(ops, "ops") if (ops := raw.get("ops") or ops) else None,
    )


def _read_number(raw: dict[str, Any], name: str, absent: float, least: float = 0) -> float:
    """A number of at least so much."""
    value = raw.get(name, absent)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value < float("inf"):
        raise ConfigError(f"{name}: {value!r} is no number of at least {least}")
    return value


def load(path: str | None, ops: str = "") -> Config:
    """The configuration from its file; ops: as `parse` takes it."""
    if not path:
        raise ConfigError("GW_CONFIG: names no file")
    try:
        return parse(Path(path).read_bytes(), ops)
    except OSError as fault:
        raise ConfigError(f"GW_CONFIG: {path}: {fault.strerror}") from None
