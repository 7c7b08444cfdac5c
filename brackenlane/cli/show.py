"""Implements `discover`: queries all sources of caches once and shows the answers and the merged list.

Operators' scripts may read the JSON document and the table, so their format has to stay stable.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

import orjson
import trio

from brackenlane.appliance.config import ApplianceConfig
from brackenlane.appliance.startup import RegistryBootstrap
from brackenlane.clock import steady_time
from brackenlane.coldstart.phases import StartupPhases
from brackenlane.console.text_table import render_table
from brackenlane.discovery.merge import MembershipMerge
from brackenlane.discovery.query import RecordType
from brackenlane.discovery.recent_purges import RecentPurges
from brackenlane.discovery.records import MergedCache, ip_address_of
from brackenlane.discovery.registry import Registry
from brackenlane.discovery.resolver import LookUpFailedError, Resolver
from brackenlane.limits import Limits

HEADING = ("BOX", "ROLE", "ADDRESS", "WEIGHT", "STATE", "BY", "WHY")


@dataclass(frozen=True, slots=True)
class DnsAnswer:
    """The DNS answer for one name, or the reason why the look-up failed."""

    name: str
    record_type: str  # "SRV" or "A"
    upstream: str = ""
    records: tuple[str, ...] = ()
    fault: str = ""

    def as_json(self) -> dict[str, object]:
        """Return the answer as an object of the JSON document."""
        if self.fault:
            return {"name": self.name, "kind": self.record_type, "fault": self.fault}
        return {
            "name": self.name,
            "kind": self.record_type,
            "upstream": self.upstream,
            "records": list(self.records),
        }

    def as_line(self) -> str:
        """Return the answer as a line of text."""
        outcome = self.fault or f"from {self.upstream}: {'; '.join(self.records) or 'none'}"
        return f"{self.name} {self.record_type}: {outcome}\n"


@dataclass(frozen=True, slots=True)
class DiscoveryView:
    """All DNS answers, SRV first, and the resulting caches, sorted by id."""

    answers: tuple[DnsAnswer, ...]
    caches: tuple[MergedCache, ...]

    @property
    def failed_names(self) -> list[str]:
        """Names whose look-up failed."""
        return [answer.name for answer in self.answers if answer.fault]

    def as_json(self) -> str:
        """Return the view as one JSON document."""
        document = {
            "answers": [answer.as_json() for answer in self.answers],
            "boxes": [_cache_as_json(cache) for cache in self.caches],
            "failed": self.failed_names,
        }
        return orjson.dumps(document, option=orjson.OPT_INDENT_2).decode() + "\n"

    def as_table(self) -> str:
        """Return the view as lines of text and a table."""
        lines = [answer.as_line() for answer in self.answers]
        rows = [HEADING, *(_cache_as_row(cache) for cache in self.caches)]
        return "".join(lines) + render_table(rows)


async def query_once(config: ApplianceConfig, limits: Limits) -> DiscoveryView:
    """Look up every SRV entry and host name once.

    Uses a resolver and a registry of its own, so the DNS cache of a running router is neither read nor
    changed.
    """
    logging.getLogger("brackenlane").setLevel(logging.ERROR)
    merge = MembershipMerge(config.discovery.policy, config.discovery.watches)
    purges = RecentPurges(config.settings.purge_propagation_time, limits.max_kept_purges)  # not shown
    registry = Registry(merge, lambda _: None, lambda *_: None, purges)
    RegistryBootstrap(config, registry, StartupPhases(steady_time())).fill_registry()
    async with trio.open_nursery() as nursery:
        resolver = Resolver(
            config.discovery.resolvers,
            nursery,
            budget=limits.lookup_timeout,
            lifetimes=config.discovery.lifetimes,
            max_look_ups=limits.max_lookups,
        )
        query = _DiscoveryQuery(registry, resolver)
        await query.look_up_services()
        await query.look_up_hosts()
        nursery.cancel_scope.cancel()
    return DiscoveryView(
        tuple(sorted(query.answers, key=lambda answer: (answer.record_type != "SRV", answer.name))),
        tuple(sorted(merge.caches.values(), key=lambda cache: cache.definition.id)),
    )


class _DiscoveryQuery:
    """Looks up all names, records the answers and applies each of them to the merged list."""

    def __init__(self, registry: Registry, resolver: Resolver) -> None:
        self.answers: list[DnsAnswer] = []
        self._registry = registry
        self._merge = registry.merge
        self._resolver = resolver

    async def look_up_services(self) -> None:
        """Look up all SRV entries concurrently."""
        async with trio.open_nursery() as nursery:
            for name in self._merge.entries:
                nursery.start_soon(self._look_up_service, name)

    async def look_up_hosts(self) -> None:
        """Look up all host names concurrently, including those of SRV targets."""
        async with trio.open_nursery() as nursery:
            for name in sorted(self._merge.sources.hosts):
                nursery.start_soon(self._look_up_host, name)

    async def _look_up_service(self, name: str) -> None:
        try:
            result = await self._resolver.look_up(name, RecordType.SRV)
        except LookUpFailedError as error:
            self._record_failure(name, "SRV", error)
            return
        self._registry.apply(
            self._merge.apply_srv_answer(name, result.targets, result.upstream, steady_time())
        )
        records = tuple(
            f"{target.priority} {target.weight} {target.port} {target.host}" for target in result.targets
        )
        self.answers.append(DnsAnswer(name, "SRV", result.upstream, records))

    async def _look_up_host(self, name: str) -> None:
        try:
            result = await self._resolver.addresses(name)
        except LookUpFailedError as error:
            self._record_failure(name, "A", error)
            return
        self._registry.apply(self._merge.apply_host_answer(name, result.addresses, steady_time()))
        self.answers.append(DnsAnswer(name, "A", result.upstream, tuple(result.addresses)))

    def _record_failure(self, name: str, record_type: str, error: LookUpFailedError) -> None:
        self._merge.sources.record_failure(name, str(error))
        self.answers.append(DnsAnswer(name, record_type, fault=str(error)))


def _address(cache: MergedCache) -> str | None:
    return f"{cache.endpoint[0]}:{cache.endpoint[1]}" if cache.endpoint else None


def _host_name(cache: MergedCache) -> str | None:
    """Return the host name of a cache; None if it is defined by an IP address."""
    host = cache.definition.host
    return host if ip_address_of(host) is None else None


def _source_names(cache: MergedCache) -> list[str]:
    return [source.name.lower() for source in cache.sources]


def _cache_as_json(cache: MergedCache) -> dict[str, object]:
    definition = cache.definition
    return {
        "id": definition.id,
        "role": definition.role.value,
        "zone": definition.zone,
        "address": _address(cache),
        "host": _host_name(cache),
        "weight": definition.weight,
        "state": cache.state.value,
        "by": _source_names(cache),
        "also": list(cache.aliases),
        "why": cache.reason,
    }


def _cache_as_row(cache: MergedCache) -> tuple[str, ...]:
    definition = cache.definition
    return (
        definition.id,
        definition.role.value,
        _address(cache) or _host_name(cache) or "",
        f"{definition.weight:g}",
        cache.state.value,
        ", ".join(_source_names(cache)),
        cache.reason,
    )
