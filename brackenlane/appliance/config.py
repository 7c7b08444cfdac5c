"""Converts the tables of the operator's file to the configuration records of the appliance's components."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from dns.name import Name

from brackenlane.coldstart.pacing import Capacity
from brackenlane.config import Endpoint, read_endpoint
from brackenlane.discovery.dns_cache import Lifetimes
from brackenlane.discovery.records import CacheDefinition, Policy, SrvWatch
from brackenlane.dns.names import read_zone
from brackenlane.routing.members import Role
from brackenlane.routing.settings import Settings
from brackenlane.settings.appliance import (
    ApplianceFile,
    CacheTable,
    ColdStartTable,
    DiscoveryTable,
    SrvTable,
)
from brackenlane.settings.conversion import routing_settings
from brackenlane.settings.loader import load_appliance


@dataclass(frozen=True, slots=True)
class DiscoveryConfig:
    """The configured caches and SRV entries, and how DNS names are resolved."""

    caches: tuple[CacheDefinition, ...]
    watches: tuple[SrvWatch, ...]
    resolvers: tuple[Endpoint, ...]
    policy: Policy
    lifetimes: Lifetimes
    snapshot_path: Path | None  # None: no snapshot is kept across restarts


@dataclass(frozen=True, slots=True)
class ApplianceConfig:
    """The configuration of one router."""

    name: str
    http: Endpoint
    dns: Endpoint
    zone: Name
    console: Path  # path of the console's Unix socket
    settings: Settings
    discovery: DiscoveryConfig
    redis: Endpoint | None  # address of the shared store; None: no store
    store_capacity: Capacity
    coldstart: ColdStartTable

    @property
    def console_changes_path(self) -> Path:
        """Path of the file that keeps the console's orders and purges if no snapshot is configured."""
        return self.console.with_name(f"{self.console.name}.changes")


def load(path: str) -> ApplianceConfig:
    """Return the configuration from the file at a path. Raises ConfigError that lists all faults."""
    return convert(load_appliance(path), Path(path).parent)


def convert(file: ApplianceFile, folder: Path) -> ApplianceConfig:
    """Return the configuration of a file. Paths in the file are relative to `folder`."""
    return ApplianceConfig(
        name=file.name,
        http=read_endpoint(file.http, "http"),
        dns=read_endpoint(file.dns, "dns"),
        zone=read_zone(file.zone),
        console=folder / file.console,
        settings=routing_settings(file),
        discovery=_discovery_config(file, folder),
        redis=read_endpoint(file.redis, "redis") if file.redis else None,
        store_capacity=Capacity(
            file.coldstart.doormans or file.settings.gateways, file.coldstart.asks, file.coldstart.loads
        ),
        coldstart=file.coldstart,
    )


def _discovery_config(file: ApplianceFile, folder: Path) -> DiscoveryConfig:
    table = file.discovery
    return DiscoveryConfig(
        caches=tuple(_cache_definition(cache) for cache in file.caches),
        watches=tuple(_srv_watch(entry) for entry in file.discover),
        resolvers=tuple(read_endpoint(address, "resolver") for address in file.resolvers),
        policy=_policy(table),
        lifetimes=Lifetimes(
            min_ttl=table.floor,
            max_ttl=table.ceiling,
            max_negative_ttl=table.negative,
            max_stale_age=table.stale,
        ),
        snapshot_path=folder / table.last_list if table.last_list else None,
    )


def _cache_definition(table: CacheTable) -> CacheDefinition:
    return CacheDefinition(
        table.id, _canonical_name(table.host), table.port, table.zone, Role(table.role), table.weight
    )


def _srv_watch(table: SrvTable) -> SrvWatch:
    return SrvWatch(
        _canonical_name(table.srv), table.zone, Role(table.role), table.weight_scale, table.enough
    )


def _policy(table: DiscoveryTable) -> Policy:
    return Policy(
        removal_grace=table.grace,
        max_unconfirmed_share=table.most_gone,
        confirmation_delay=table.confirm,
        min_move_interval=table.settle,
        max_snapshot_age=table.remembered,
        max_warm_age=table.warm,
    )


def _canonical_name(name: str) -> str:
    """Return a DNS name in lower case, without the trailing dot."""
    return name.rstrip(".").lower()
