"""A toy site to try brackenlane with: the boxes that a configuration names, and a resolver for their names.

    python example/toy_site.py example/config.json         the boxes of the platform's doorman
    python example/toy_site.py deploy/appliance.toml       the boxes and the resolver of an appliance
    python example/toy_site.py deploy/appliance-srv.toml   the same with boxes that SRV records name

Every box holds every object, some made-up bytes, and writes down what it is asked.
"""

from __future__ import annotations

import json
import sys
import tomllib
from pathlib import Path
from typing import Any

import trio

sys.path.insert(0, str(Path(__file__).parent.parent))

from brackenlane.lab.stand_ins.cache_commands import Asked  # noqa: E402
from brackenlane.lab.stand_ins.cache_server import Box, data  # noqa: E402
from brackenlane.lab.stand_ins.dns import DnsServer  # noqa: E402

Endpoint = tuple[str, int]


def read_site(path: Path) -> tuple[dict[str, Endpoint], Endpoint | None, dict[str, list[int]]]:
    """The boxes by id, the resolver if there is one, and the ports of the boxes that each SRV entry names."""
    if path.suffix == ".json":
        known: list[dict[str, Any]] = json.loads(path.read_text())["known"]["results"]
        ends = {t["uid"]: t["endpoint"].rsplit(":", 1) for e in known for t in e["fleet"]["targets"]}
        return {uid: (host, int(port)) for uid, (host, port) in ends.items()}, None, {}
    raw = tomllib.loads(path.read_text())
    # A box with a host name stands on this machine: the toy resolver says so.
    boxes = {b["id"]: (b["host"] if b["host"][0].isdigit() else "127.0.0.1", b["port"]) for b in raw["box"]}
    services = {
        entry["srv"]: [7111 + 10 * n + i for i in range(3)] for n, entry in enumerate(raw.get("discover", ()))
    }
    boxes |= {
        f"cache-{i + 1} of {srv}": ("127.0.0.1", port)
        for srv, ports in services.items()
        for i, port in enumerate(ports)
    }
    host, _, port = raw.get("resolver", "").rpartition(":")
    return boxes, (host, int(port)) if host else None, services


async def serve_box(name: str, endpoint: Endpoint, nursery: trio.Nursery) -> None:
    """One box, which holds every object and writes down what it is asked."""

    def answer(asked: Asked) -> bytes:
        told = ",".join(f"{field}={value}" for field, value in asked.fields.items())
        print(f"{name} GET {asked.id} {told} {len(asked.body)}", flush=True)
        return data(
            asked,
            f"{asked.fields['path']}/{asked.fields['blk']} as {name} keeps it\n".encode(),
            entity="toy1",
        )

    box = Box(name, answer=answer)
    box.host, box.port = endpoint
    await box.open(nursery)


async def serve_names(endpoint: Endpoint, services: dict[str, list[int]], nursery: trio.Nursery) -> None:
    """The resolver: each box's name is this machine, and each SRV entry names the boxes at some ports."""
    server = DnsServer()
    server.port = endpoint[1]
    server.default = "127.0.0.1"
    for srv, ports in services.items():
        domain = srv.rstrip(".").split(".", 2)[2]
        server.put(
            srv,
            "SRV",
            *(f"{10 * (n > 1)} 8 {port} cache-{n + 1}.{domain}." for n, port in enumerate(ports)),
            ttl=5,
        )
    await server.open(nursery)


async def main(path: Path) -> None:
    """Run the whole site."""
    boxes, resolver, services = read_site(path)
    async with trio.open_nursery() as nursery:
        for name, endpoint in boxes.items():
            await serve_box(name, endpoint, nursery)
        if resolver:
            await serve_names(resolver, services, nursery)
        print(f"{len(boxes)} boxes are up", flush=True)


if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    trio.run(main, Path(sys.argv[1]))
