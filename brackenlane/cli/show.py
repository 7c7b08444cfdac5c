"""One look at all sources from the shell: what each says, what the merge makes of it, and why."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Any

import orjson
import trio

from brackenlane.discovery.merge import MembershipMerge
from brackenlane.discovery.query import Kind
from brackenlane.discovery.records import fixed
from brackenlane.discovery.registry import Registry
from brackenlane.discovery.resolver import LookUpFailed, Resolver
from brackenlane.limits import Limits

if TYPE_CHECKING:
    from brackenlane.appliance import ApplianceConfig


async def ask_once(site: ApplianceConfig, limits: Limits) -> dict[str, Any]:
    """Look up every SRV entry and host name once, past the cache; a running router is not touched."""
    from brackenlane.appliance import start_merge
    from brackenlane.coldstart.phases import StartupPhases
    from brackenlane.discovery import snapshot

    logging.getLogger("brackenlane").setLevel(logging.ERROR)
    answers: list[dict[str, Any]] = []
    roster = Registry(MembershipMerge(site.policy, site.watches), lambda _: None, lambda *_: None)
    start_merge(
        site, roster, snapshot.load(site.last_list) if site.last_list else None, StartupPhases(time.time())
    )
    async with trio.open_nursery() as nursery:
        resolver = Resolver(
            site.resolvers,
            nursery,
            budget=limits.lookup_timeout,
            lifetimes=site.lifetimes,
            most=limits.max_lookups,
        )

        async def srv(name: str) -> None:
            try:
                found = await resolver.look_up(name, Kind.SRV)
            except LookUpFailed as fault:
                roster.merge.failed(name, str(fault))
                answers.append({"name": name, "kind": "SRV", "fault": str(fault)})
                return
            roster.apply(roster.merge.answer(name, found.targets, found.upstream, time.time()))
            answers.append(
                {
                    "name": name,
                    "kind": "SRV",
                    "upstream": found.upstream,
                    "records": [f"{t.priority} {t.weight} {t.port} {t.host}" for t in found.targets],
                }
            )

        async def host(name: str) -> None:
            try:
                found = await resolver.addresses(name)
            except LookUpFailed as fault:
                roster.merge.failed(name, str(fault))
                answers.append({"name": name, "kind": "A", "fault": str(fault)})
                return
            roster.apply(roster.merge.locate(name, found.addresses, time.time()))
            answers.append(
                {"name": name, "kind": "A", "upstream": found.upstream, "records": list(found.addresses)}
            )

        async with trio.open_nursery() as entries:
            for entry in roster.merge.entries:
                entries.start_soon(srv, entry)
        async with trio.open_nursery() as hosts:
            for name in sorted(roster.merge.hosts):
                hosts.start_soon(host, name)
        nursery.cancel_scope.cancel()
    caches = [
        {
            "id": cache.definition.id,
            "role": cache.definition.role.value,
            "zone": cache.definition.zone,
            "address": f"{cache.endpoint[0]}:{cache.endpoint[1]}" if cache.endpoint else None,
            "host": None if fixed(cache.definition.host) else cache.definition.host,
            "weight": cache.definition.weight,
            "state": cache.state.value,
            "by": [origin.name.lower() for origin in cache.sources],
            "also": list(cache.aliases),
            "why": cache.reason,
        }
        for cache in sorted(roster.merge.caches.values(), key=lambda cache: cache.definition.id)
    ]
    return {
        "answers": sorted(answers, key=lambda a: (a["kind"] != "SRV", a["name"])),
        "boxes": caches,
        "failed": [a["name"] for a in answers if "fault" in a],
    }


def as_json(view: dict[str, Any]) -> str:
    """The view as one document."""
    return orjson.dumps(view, option=orjson.OPT_INDENT_2).decode() + "\n"


def as_table(view: dict[str, Any]) -> str:
    """The view for a reader."""
    text = ""
    for answer in view["answers"]:
        reported = (
            answer.get("fault") or f"from {answer['upstream']}: {'; '.join(answer['records']) or 'none'}"
        )
        text += f"{answer['name']} {answer['kind']}: {reported}\n"
    rows = [("BOX", "ROLE", "ADDRESS", "WEIGHT", "STATE", "BY", "WHY")]
    rows += [
        (
            cache["id"],
            cache["role"],
            cache["address"] or cache["host"] or "",
            f"{cache['weight']:g}",
            cache["state"],
            ", ".join(cache["by"]),
            cache["why"],
        )
        for cache in view["boxes"]
    ]
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    lines = ("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)) for row in rows)
    return text + "".join(line.rstrip() + "\n" for line in lines)
