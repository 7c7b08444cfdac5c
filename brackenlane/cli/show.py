"""One query of all sources of caches from the shell: each answer, the merged list, and its reasons.

The JSON document and the table are an interface for operators.
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
from brackenlane.discovery.records import MergedCache, ip_address_of
from brackenlane.discovery.registry import Registry
from brackenlane.discovery.resolver import LookUpFailedError, Resolver
from brackenlane.limits import Limits

HEADING = ("BOX", "ROLE", "ADDRESS", "WEIGHT", "STATE", "BY", "WHY")


@dataclass(frozen=True, slots=True)
class DnsAnswer:
    """What DNS says of one name, or why it says nothing."""

    name: str
    kind: str  # SRV or A
    upstream: str = ""
    records: tuple[str, ...] = ()
    fault: str = ""

    def as_json(self) -> dict[str, object]:
        """Return the answer as the document shows it."""
        if self.fault:
            return {"name": self.name, "kind": self.kind, "fault": self.fault}
        return {
            "name": self.name,
            "kind": self.kind,
            "upstream": self.upstream,
            "records": list(self.records),
        }

    def as_line(self) -> str:
        """Return the answer for a reader."""
        outcome = self.fault or f"from {self.upstream}: {'; '.join(self.records) or 'none'}"
        return f"{self.name} {self.kind}: {outcome}\n"


@dataclass(frozen=True, slots=True)
class DiscoveryView:
    """All answers, SRV entries first, and the caches that they come to, by id."""

    answers: tuple[DnsAnswer, ...]
    caches: tuple[MergedCache, ...]

    @property
    def failed(self) -> list[str]:
        """The names that could not be looked up."""
        return [answer.name for answer in self.answers if answer.fault]

    def as_json(self) -> str:
        """Return the view as one JSON document."""
        document = {
            "answers": [answer.as_json() for answer in self.answers],
            "boxes": [_cache_as_json(cache) for cache in self.caches],
            "failed": self.failed,
        }
        return orjson.dumps(document, option=orjson.OPT_INDENT_2).decode() + "\n"

    def as_table(self) -> str:
        """Return the view for a reader."""
        lines = [answer.as_line() for answer in self.answers]
        rows = [HEADING, *(_cache_as_row(cache) for cache in self.caches)]
        return "".join(lines) + render_table(rows)


async def ask_once(config: ApplianceConfig, limits: Limits) -> DiscoveryView:
    """Look up every SRV entry and host name once, past the cache; a running router is not touched."""
    logging.getLogger("brackenlane").setLevel(logging.ERROR)
    merge = MembershipMerge(config.discovery.policy, config.discovery.watches)
    registry = Registry(merge, lambda _: None, lambda *_: None)
    RegistryBootstrap(config, registry, StartupPhases(steady_time())).fill_registry()
    async with trio.open_nursery() as nursery:
        resolver = Resolver(
            config.discovery.resolvers,
            nursery,
            budget=limits.lookup_timeout,
            lifetimes=config.discovery.lifetimes,
            most=limits.max_lookups,
        )
        query = _Query(registry, resolver)
        await query.look_up_services()
        await query.look_up_hosts()
        nursery.cancel_scope.cancel()
    return DiscoveryView(
        tuple(sorted(query.answers, key=lambda answer: (answer.kind != "SRV", answer.name))),
        tuple(sorted(merge.caches.values(), key=lambda cache: cache.definition.id)),
    )


class _Query:
    """The look-ups of one query; each answer goes into the merge, too."""

    def __init__(self, registry: Registry, resolver: Resolver) -> None:
        self.answers: list[DnsAnswer] = []
        self._registry = registry
        self._merge = registry.merge
        self._resolver = resolver

    async def look_up_services(self) -> None:
        """Look up all SRV entries at once."""
        async with trio.open_nursery() as nursery:
            for name in self._merge.entries:
                nursery.start_soon(self._look_up_service, name)

    async def look_up_hosts(self) -> None:
        """Look up all host names at once, those of the SRV targets included."""
        async with trio.open_nursery() as nursery:
            for name in sorted(self._merge.sources.hosts):
                nursery.start_soon(self._look_up_host, name)

    async def _look_up_service(self, name: str) -> None:
        try:
            found = await self._resolver.look_up(name, RecordType.SRV)
        except LookUpFailedError as error:
            self._fail(name, "SRV", error)
            return
        self._registry.apply(self._merge.apply_srv_answer(name, found.targets, found.upstream, steady_time()))
        records = tuple(
            f"{target.priority} {target.weight} {target.port} {target.host}" for target in found.targets
        )
        self.answers.append(DnsAnswer(name, "SRV", found.upstream, records))

    async def _look_up_host(self, name: str) -> None:
        try:
            found = await self._resolver.addresses(name)
        except LookUpFailedError as error:
            self._fail(name, "A", error)
            return
        self._registry.apply(self._merge.apply_host_answer(name, found.addresses, steady_time()))
        self.answers.append(DnsAnswer(name, "A", found.upstream, tuple(found.addresses)))

    def _fail(self, name: str, kind: str, error: LookUpFailedError) -> None:
        self._merge.sources.record_failure(name, str(error))
        self.answers.append(DnsAnswer(name, kind, fault=str(error)))


def _address(cache: MergedCache) -> str | None:
    return f"{cache.endpoint[0]}:{cache.endpoint[1]}" if cache.endpoint else None


def _host_name(cache: MergedCache) -> str | None:
    """Return the host name of a cache; None if it is described by its address."""
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
