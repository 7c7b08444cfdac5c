"""The platform around one router: its configuration, its change log, and processes that share one address."""

from __future__ import annotations

import contextlib
import json
import os
import socket
import struct
import subprocess
import tomllib
from collections.abc import Mapping

import trio

from review.lib.bench import READY_SECONDS, ROOT, Bench, CannotRunError, free_port, wait_for
from review.lib.caches import Box
from review.lib.site import Router

RECORD = struct.Struct(">I4sHBBBHIQ")
STATES = {"in_service": 0, "terminating": 1, "terminated": 2}
HEARTBEAT_SECONDS = 1.0


class ChangeLog:
    """The change log: numbered events after the one that a router names, and an empty frame each second.

    While `is_slow`, it accepts connections and sends nothing on them until it is fast again.
    """

    def __init__(self, settings: Mapping[str, list[str]]) -> None:
        self.port = 0
        self.is_slow = False
        self._zones = settings["Dcs"]
        self._kinds = settings["Skus"]
        self._events: list[tuple[int, bytes]] = []
        self._updated = trio.Event()

    async def open(self, nursery: trio.Nursery) -> None:
        """Listen on a free port of the loopback address."""
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listener.socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve, [listener])

    def tell_change(self, number: int, target: Mapping[str, object]) -> None:
        """Add an event: one changed entry of the list, in the form of the configuration."""
        host, _, port = str(target["endpoint"]).rpartition(":")
        record = RECORD.pack(
            int(str(target["uid"])[2:], 16),
            socket.inet_aton(host),
            int(port),
            STATES[str(target["state"])],
            self._zones.index(str(target["az"])),
            self._kinds.index(str(target["model"])),
            int(str(target["pod_group"])),
            1000,
            0,
        )
        self._events.append((number, b"\x02" + record))
        self._updated.set()
        self._updated = trio.Event()

    async def _serve(self, stream: trio.SocketStream) -> None:
        is_slow = self.is_slow
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            data = b""
            while len(data) < 8:
                more = await stream.receive_some(8 - len(data))
                if not more:
                    return
                data += more
            cursor = int.from_bytes(data, "big")
            while True:
                updated = self._updated
                if not (is_slow and self.is_slow):
                    for number, payload in self._events:
                        if number > cursor:
                            await stream.send_all(_frame(number, payload))
                            cursor = number
                    await stream.send_all(_frame(cursor, b"\x00"))
                with trio.move_on_after(HEARTBEAT_SECONDS):
                    await updated.wait()


def _frame(number: int, payload: bytes) -> bytes:
    return (8 + len(payload)).to_bytes(4, "big") + number.to_bytes(8, "big") + payload


def entry(box: Box, kind: str, zone: str, cell: int, state: str = "in_service") -> dict[str, object]:
    """Return a cache as an entry of the list, in the form of the configuration."""
    return {
        "uid": box.name,
        "endpoint": f"127.0.0.1:{box.port}",
        "az": zone,
        "model": kind,
        "pod_group": cell,
        "state": state,
        "capacity_hint": 1,
        "boot_ms": 0,
    }


class PlatformRouter(Router):
    """The processes of one router: the same client address and folder, an operators' address for each."""

    def __init__(self, bench: Bench, known: list[dict[str, object]], change_log: ChangeLog) -> None:
        super().__init__(bench, "n0")
        self._change_log = change_log
        self._tmp = bench.folder / "tmp"
        self._tmp.mkdir()
        self._count = 0
        example = json.loads((ROOT / "example" / "config.json").read_text())
        example["listen"] = f"127.0.0.1:{self.http_port}"
        example["changelog"] = f"127.0.0.1:{change_log.port}"
        fleet = {"rev": 1, "all": True, "targets": known}
        example["known"] = {"seq": 1, "results": [{"seq": 1, "fleet": fleet}]}
        self._config = example

    async def start_process(self) -> tuple[subprocess.Popen[bytes], int]:
        """Start `run` of the deploy file; return the process and its operators' port once it says yes."""
        self._count += 1
        name = f"process-{self._count}"
        ops_port = free_port()
        self._config["ops"] = f"127.0.0.1:{ops_port}"
        path = self._bench.folder / f"{name}.json"
        path.write_text(json.dumps(self._config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(self._tmp),
            "GW_NAME": str(self._config["name"]),
            "GW_LISTEN": str(self._config["listen"]),
            "GW_CONFIG": str(path),
            "GW_OPS": str(self._config["ops"]),
        }
        process = self._bench.start(name, "/bin/sh", "-c", run, env=environment)

        async def says_yes() -> bool:
            if process.poll() is not None:
                raise CannotRunError(f"{name} ended with {process.returncode}")
            return await call(ops_port, "GET", "/status") == 200

        await wait_for(f"{name} says yes", READY_SECONDS, says_yes)
        self._bench.note(f"{name} says yes")
        return process, ops_port


async def call(port: int, method: str, path: str) -> int:
    """Make one call at the operators' address; return the status, 0 if there is no answer."""
    data = b""
    try:
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await stream.send_all(
                f"{method} {path} HTTP/1.1\r\nHost: ops\r\nConnection: close\r\n\r\n".encode()
            )
            while chunk := await stream.receive_some(4096):
                data += chunk
    except (OSError, trio.BrokenResourceError):
        return 0
    return int(data.split()[1]) if data else 0


def late_requests(boxes: list[Box], name: str, bound_at: float) -> list[float]:
    """Return how long after a bound each request came that was sent to a box, or names it as a source."""
    return sorted(
        one.at - bound_at
        for box in boxes
        for one in box.received
        if one.at > bound_at and name in (one.box, one.fields.get("miss"))
    )
