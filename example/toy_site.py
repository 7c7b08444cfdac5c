"""Runs a toy site to try out brackenlane: the caches of a configuration, and a resolver for their names.

    python example/toy_site.py example/config.json         the caches of the platform's router
    python example/toy_site.py deploy/appliance.toml       the caches and the resolver of an appliance
    python example/toy_site.py deploy/appliance-srv.toml   the same, with caches found by SRV records

Every cache has every object, with made-up content, and prints each request.
"""

from __future__ import annotations

import json
import sys
import tomllib
from pathlib import Path
from typing import Any

import trio

sys.path.insert(0, str(Path(__file__).parent.parent))

from brackenlane.lab.stand_ins.cache_commands import ReceivedRequest
from brackenlane.lab.stand_ins.cache_server import CacheStandIn, data_reply
from brackenlane.lab.stand_ins.dns import DnsServer

Endpoint = tuple[str, int]


def read_site(path: Path) -> tuple[dict[str, Endpoint], Endpoint | None, dict[str, list[int]]]:
    """Return the caches by id, the resolver or None, and the cache ports of each SRV entry."""
    if path.suffix == ".json":
        known: list[dict[str, Any]] = json.loads(path.read_text())["known"]["results"]
        addresses = {
            target["uid"]: target["endpoint"].rsplit(":", 1)
            for change in known
            for target in change["fleet"]["targets"]
        }
        return {uid: (host, int(port)) for uid, (host, port) in addresses.items()}, None, {}
    raw = tomllib.loads(path.read_text())
    # The toy resolver resolves all host names to this machine.
    caches = {
        cache["id"]: (cache["host"] if cache["host"][0].isdigit() else "127.0.0.1", cache["port"])
        for cache in raw["box"]
    }
    services = {
        entry["srv"]: [7111 + 10 * index + cache_index for cache_index in range(3)]
        for index, entry in enumerate(raw.get("discover", ()))
    }
    caches |= {
        f"cache-{cache_index + 1} of {srv}": ("127.0.0.1", port)
        for srv, ports in services.items()
        for cache_index, port in enumerate(ports)
    }
    host, _, port = raw.get("resolver", "").rpartition(":")
    return caches, (host, int(port)) if host else None, services


async def run_cache(name: str, endpoint: Endpoint, nursery: trio.Nursery) -> None:
    """Run one cache, which has every object and prints each request."""

    def answer(requested: ReceivedRequest) -> bytes:
        reported = ",".join(f"{field}={value}" for field, value in requested.fields.items())
        print(f"{name} GET {requested.id} {reported} {len(requested.body)}", flush=True)
        return data_reply(
            requested,
            f"{requested.fields['path']}/{requested.fields['blk']} as {name} keeps it\n".encode(),
            entity="toy1",
        )

    cache = CacheStandIn(name, answer=answer)
    cache.host, cache.port = endpoint
    await cache.open(nursery)


async def run_resolver(endpoint: Endpoint, services: dict[str, list[int]], nursery: trio.Nursery) -> None:
    """Run the resolver: host names resolve to this machine, and SRV entries to the ports of their caches."""
    server = DnsServer()
    server.port = endpoint[1]
    server.default = "127.0.0.1"
    for srv, ports in services.items():
        domain = srv.rstrip(".").split(".", 2)[2]
        server.set_records(
            srv,
            "SRV",
            *(f"{10 * (index > 1)} 8 {port} cache-{index + 1}.{domain}." for index, port in enumerate(ports)),
            ttl=5,
        )
    await server.open(nursery)


async def main(path: Path) -> None:
    """Run the caches and the resolver of a configuration file."""
    caches, resolver, services = read_site(path)
    async with trio.open_nursery() as nursery:
        for name, endpoint in caches.items():
            await run_cache(name, endpoint, nursery)
        if resolver:
            await run_resolver(resolver, services, nursery)
        print(f"{len(caches)} boxes are up", flush=True)


if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    trio.run(main, Path(sys.argv[1]))
