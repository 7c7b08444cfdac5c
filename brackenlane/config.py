"""The configuration of a router on the platform: read and validated at startup and on SIGHUP."""

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

Endpoint = tuple[str, int]  # IP address and port

DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 64
DEFAULT_MEMORY_MB = 192.0
MIN_MEMORY_MB = 1
MAX_PORT = 65_535
MAX_CURSOR = 2**64 - 1
REQUIRED_KEYS = ("name", "listen", "settings")


class ConfigError(Exception):
    """The configuration is invalid; the message has one line per fault."""


@dataclass(frozen=True, slots=True)
class Site:
    """The names needed to decode the change log."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    roles: dict[str, Role]  # role of a server by its kind


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of one router."""

    name: str
    listen: Endpoint
    settings: Settings
    site: Site
    seed: int = 0
    changelog: Endpoint | None = None
    known: dict[str, Any] = field(default_factory=dict)  # changes made before startup, as JSON
    cursor: int = 0  # event number of the last change in `known`
    sockets: int = DEFAULT_SOCKETS  # maximum number of file descriptors
    memory_mb: float = DEFAULT_MEMORY_MB
    transfer_rate: float = 0.0  # maximum rate of one transfer in bytes per second; 0: unknown
    link_rate: float = 0.0  # rate of all transfers of this router together in bytes per second; 0: unknown
    admin: Endpoint | None = None  # address of the admin API; None: no admin API


def read_endpoint(text: object, what: str) -> Endpoint:
    """Parse "ADDRESS:PORT". what: name of the value for the message of a ConfigError."""
    host, _, port_text = str(text).rpartition(":")
    try:
        address = ipaddress.ip_address(host.strip("[]"))
        port = int(port_text)
    except ValueError as error:
        raise ConfigError(f"{what}: {text!r} is no address and port") from error
    if not 0 <= port <= MAX_PORT:
        raise ConfigError(f"{what}: {text!r} is no address and port")
    return str(address), port


def read_settings(raw: Any) -> tuple[Settings, Site]:
    """Return the settings of the router's decisions and the names of the change log. Raises ConfigError."""
    try:
        settings = settings_codec.read_settings(raw)
        site = Site(settings.locations, settings_codec.kind_names(raw), settings_codec.kind_roles(raw))
    except SettingsError as error:
        raise ConfigError(str(error)) from error
    return settings, site


def parse(text: bytes, admin: str = "") -> Config:
    """Parse the JSON text of a configuration. Raises ConfigError.

    admin: address of the admin API if the text has none; empty: no admin API.
    """
    raw = _read_json(text)
    settings, site = read_settings(raw["settings"])
    seed = _read_seed(raw)
    known = _read_object(raw, "known")
    cursor = _read_cursor(known)
    limits = _read_object(raw, "limits")
    sockets = _read_number(limits, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS)
    changelog = raw.get("changelog")
    admin = raw.get("ops") or admin
    return Config(
        name=str(raw["name"]),
        listen=read_endpoint(raw["listen"], "listen"),
        settings=settings,
        site=site,
        seed=seed,
        changelog=read_endpoint(changelog, "changelog") if changelog else None,
        known=known,
        cursor=cursor,
        sockets=int(sockets),
        memory_mb=_read_number(limits, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB),
        transfer_rate=_read_number(raw, "flow_bytes_per_s", 0),
        link_rate=_read_number(raw, "link_bytes_per_s", 0),
        admin=read_endpoint(admin, "ops") if admin else None,
    )


def _read_json(text: bytes) -> dict[str, Any]:
    """Parse a JSON object and check that it has all required keys."""
    try:
        raw = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"configuration is not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigError("configuration: an object is needed")
    for key in REQUIRED_KEYS:
        if key not in raw:
            raise ConfigError(f"{key}: missing")
    return raw


def _read_seed(raw: dict[str, Any]) -> int:
    text = str(raw.get("seed", "0"))
    try:
        return int(text, 16)
    except ValueError as error:
        raise ConfigError(f"seed: {raw['seed']!r} is not a hexadecimal number") from error


def _read_object(raw: dict[str, Any], key: str) -> dict[str, Any]:
    """Return the object at a key, or an empty object if the key is absent."""
    value = raw.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: an object is needed")
    return value


def _read_cursor(known: dict[str, Any]) -> int:
    cursor = known.get("seq", 0)
    if type(cursor) is not int or not 0 <= cursor <= MAX_CURSOR:  # excludes bool
        raise ConfigError(f"known.seq: {cursor!r} is no event's number")
    return cursor


def _read_number(raw: dict[str, Any], key: str, default: float, minimum: float = 0) -> float:
    """Return the finite number at a key, at least `minimum`; the default if the key is absent."""
    value = raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value < float("inf"):
        raise ConfigError(f"{key}: {value!r} is no number of at least {minimum}")
    return value


def load(path: str | None, admin: str = "") -> Config:
    """Load the configuration from the file that GW_CONFIG names. Raises ConfigError. admin: see `parse`."""
    if not path:
        raise ConfigError("GW_CONFIG: names no file")
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: {path}: {error.strerror}") from error
    return parse(text, admin)
