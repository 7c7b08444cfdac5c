"""A toy site to try brackenlane with: the boxes that a configuration names, and a resolver for their names.

    python example/toy_site.py example/config.json         the boxes of the platform's doorman
    python example/toy_site.py deploy/appliance.toml       the boxes and the resolver of an appliance

Every box holds every object, some made-up bytes, and writes down what it is asked.
"""

from __future__ import annotations

import json
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

import dns.exception
import dns.message
import dns.rrset
import trio

Endpoint = tuple[str, int]


def read_site(path: Path) -> tuple[dict[str, Endpoint], Endpoint | None]:
    """The boxes by id, and the resolver if there is one."""
    if path.suffix == ".json":
        known: list[dict[str, Any]] = json.loads(path.read_text())["known"]["results"]
        ends = {t["uid"]: t["endpoint"].rsplit(":", 1) for e in known for t in e["fleet"]["targets"]}
        return {uid: (host, int(port)) for uid, (host, port) in ends.items()}, None
    raw = tomllib.loads(path.read_text())
    # A box with a host name stands on this machine: the toy resolver says so.
    boxes = {b["id"]: (b["host"] if b["host"][0].isdigit() else "127.0.0.1", b["port"]) for b in raw["box"]}
    host, _, port = raw.get("resolver", "").rpartition(":")
    return boxes, (host, int(port)) if host else None


async def serve_box(name: str, endpoint: Endpoint) -> None:
    """One box."""
    async def serve(stream: trio.SocketStream) -> None:
        buffer = b""
        while data := await stream.receive_some(65536):
            buffer += data
            while b"\r\n" in buffer:
                line, _, rest = buffer.partition(b"\r\n")
                word, wire_id, *more = line.decode().split(" ")
                if word == "DROP":
                    buffer = rest
                    continue
                if word == "PING":
                    buffer = rest
                    await stream.send_all(f"{wire_id} well - 0\r\n\r\n".encode())
                    continue
                fields, size = more[0], int(more[1])
                if len(rest) < size + 2:
                    break
                buffer = rest[size + 2:]
                print(f"{name} {line.decode()}", flush=True)
                told = dict(pair.split("=") for pair in fields.split(","))
                body = f"{told['path']}/{told['blk']} as {name} keeps it\n".encode()
                head = f"{wire_id} data detail=hit,entity=toy1,issued={int(time.time() * 1000)} {len(body)}"
                await stream.send_all(head.encode() + b"\r\n" + body + b"\r\n")

    await trio.serve_tcp(serve, endpoint[1], host=endpoint[0])


async def serve_names(endpoint: Endpoint) -> None:
    """The resolver: every name is an address of this machine."""
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind(endpoint)
    while True:
        wire, peer = await sock.recvfrom(4096)
        try:
            query = dns.message.from_wire(wire)
        except dns.exception.DNSException:
            continue
        response = dns.message.make_response(query)
        asked = query.question[0]
        if asked.rdtype == 1:
            response.answer.append(dns.rrset.from_text(asked.name, 5, "IN", "A", "127.0.0.1"))
        await sock.sendto(response.to_wire(), peer)


async def main(path: Path) -> None:
    """Run the whole site."""
    boxes, resolver = read_site(path)
    async with trio.open_nursery() as nursery:
        for name, endpoint in boxes.items():
            nursery.start_soon(serve_box, name, endpoint)
        if resolver:
            nursery.start_soon(serve_names, resolver)
        print(f"{len(boxes)} boxes are up", flush=True)


if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    trio.run(main, Path(sys.argv[1]))
