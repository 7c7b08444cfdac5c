"""Stand-ins for the peers of the router, and the router as a process, for the tests over the network."""

from __future__ import annotations

import contextlib
import functools
import itertools
import os
import signal
import socket
import subprocess
import sys
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, ParamSpec

import h11
import orjson
import trio

from brackenlane.lab import site
from brackenlane.lab.cluster.ports import reserve_port
from brackenlane.lab.stand_ins.cache_commands import ReceivedRequest
from brackenlane.lab.stand_ins.cache_server import CacheListener, CacheStandIn, ScriptedReply, data_reply
from brackenlane.lab.stand_ins.dns import DnsServer
from brackenlane.lab.stand_ins.redis import Redis

__all__ = ["CacheStandIn", "ReceivedRequest", "Redis", "ScriptedReply", "data_reply"]

FIRST_PORT, PORT_COUNT = 10_000, 10_000  # below the kernel's ephemeral ports and the ports of lab clusters
PORT_OFFSETS = itertools.count(os.getpid() * 97)  # each pytest worker starts at an offset of its own
MAX_RESERVED_PORTS = 64  # more than one test needs
TEST_TIMEOUT = 120.0  # seconds; far longer than any test, even while its processes wait for a CPU
reserved_sockets: deque[socket.socket] = deque()
ROOT = Path(__file__).parent.parent
P = ParamSpec("P")


def with_trio(test: Callable[P, Awaitable[None]]) -> Callable[P, None]:
    """Run an async test in trio; it fails after TEST_TIMEOUT."""

    @functools.wraps(test)
    def run(*args: P.args, **keywords: P.kwargs) -> None:
        async def bounded() -> None:
            with trio.fail_after(TEST_TIMEOUT):
                await test(*args, **keywords)

        trio.run(bounded)

    return run


def free_port() -> int:
    """Return an unused port that is not ephemeral; it is reserved for the next MAX_RESERVED_PORTS calls."""
    if len(reserved_sockets) == MAX_RESERVED_PORTS:
        reserved_sockets.popleft().close()
    reserved_sockets.append(reserve_port(FIRST_PORT + n % PORT_COUNT for n in PORT_OFFSETS))
    return int(reserved_sockets[-1].getsockname()[1])


class ChangeLogStandIn(CacheListener):
    """A stand-in for the change log, whose frames the test sends."""

    def __init__(self) -> None:
        self.start_numbers: list[int] = []  # the last event number that each connection reported
        self.updated = trio.Event()
        self._streams: list[trio.SocketStream] = []

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.start_numbers.append(int.from_bytes(await stream.receive_some(8), "big"))
        self._streams.append(stream)
        self.updated.set()
        await trio.sleep_forever()

    async def send_frame(self, event_number: int, kind: int, payload: bytes) -> None:
        """Send one frame on the latest connection; wait for a connection if there is none."""
        while not self._streams:
            await self.updated.wait()
        await self._streams[-1].send_all(
            (9 + len(payload)).to_bytes(4, "big") + event_number.to_bytes(8, "big") + bytes([kind]) + payload
        )

    async def reconnect(self) -> None:
        """Close the latest connection and wait until the router connects again."""
        self.updated = trio.Event()
        await self._streams.pop().aclose()
        await self.updated.wait()


SETTINGS: dict[str, Any] = {
    **site.SETTINGS,
    "Limits": {"Cancel": True, "DialTimeoutS": 0.4, "MaxAttempts": 4, "SecondCopies": True},
}


def cache_as_json(cache: CacheStandIn, state: str = "in_service") -> dict[str, Any]:
    """Return a cache as an entry of the JSON list in the configuration."""
    return {
        "uid": cache.id,
        "endpoint": f"127.0.0.1:{cache.port}",
        "az": "edge-1",
        "model": cache.model,
        "pod_group": 0,
        "state": state,
        "capacity_hint": 8,
        "boot_ms": 0,
    }


def cache_as_record(cache: CacheStandIn, state: int) -> bytes:
    """Return a cache as an entry of a change log frame."""
    model_index = SETTINGS["Skus"].index(cache.model)
    return (
        int(cache.id[2:], 16).to_bytes(4, "big")
        + socket.inet_aton("127.0.0.1")
        + cache.port.to_bytes(2, "big")
        + bytes([state, 1, model_index, 0, 0, 0, 0, 31, 64])
        + bytes(8)
    )


@dataclass
class RouterProcess:
    """A running router process; `log_output` is its log."""

    process: trio.Process
    port: int
    log_output: bytearray
    updated: trio.Event = field(default_factory=trio.Event)
    log_closed: bool = False

    async def wait_for_log(self, text: bytes) -> None:
        """Wait until the log contains `text`; AssertionError if the process closes its log before."""
        while text not in self.log_output:
            assert not self.log_closed, self.log_output.decode()
            self.updated = trio.Event()
            await self.updated.wait()

    async def request_object(
        self,
        cls: str = "video-parts",
        obj: str = "7f3a9c21e0b4d655",
        body: bytes = b"",
        ttl: int = 2000,
        txn: str = "",
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send one request for an object on a new connection; return status, headers and body."""
        request_headers = {"X-Txn": txn or os.urandom(8).hex(), "X-Ttl-Ms": str(ttl), "X-Shard": "17"}
        request_headers |= {k.replace("_", "-"): v for k, v in headers.items()}
        method = "PUT" if cls == "sheet-submit" else "GET"
        return await self.send(method, f"/api/v2/{cls}/{obj}/n-3", request_headers, body)

    async def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> tuple[int, dict[str, str], bytes]:
        """Send any one request on a new connection; return status, headers and body."""
        http = h11.Connection(h11.CLIENT)
        headers = {"Host": "api.internal", **headers} | ({"Content-Length": str(len(body))} if body else {})
        async with await trio.open_tcp_stream("127.0.0.1", self.port) as stream:
            parts = [http.send(h11.Request(method=method, target=path, headers=list(headers.items())))]
            parts += [http.send(h11.Data(data=body))] if body else []
            await stream.send_all(b"".join(part or b"" for part in [*parts, http.send(h11.EndOfMessage())]))
            response, response_body = None, b""
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await stream.receive_some(65536))
                elif isinstance(event, h11.Response):
                    response = event
                elif isinstance(event, h11.Data):
                    response_body += event.data
                else:
                    assert response, event
                    return (
                        response.status_code,
                        {k.decode(): v.decode() for k, v in response.headers},
                        response_body,
                    )


@contextlib.asynccontextmanager
async def run_program(
    port: int, *arguments: str, module: str = "brackenlane", max_descriptors: int = 0, **env: str
) -> AsyncIterator[RouterProcess]:
    """Start a router process, wait until it serves, and kill it at the end.

    max_descriptors: its limit of file descriptors; 0 leaves the usual one.
    """
    limit_command = ["prlimit", f"--nofile={max_descriptors}"] if max_descriptors else []
    process = await trio.lowlevel.open_process(
        [*limit_command, sys.executable, "-m", module, *arguments],
        cwd=ROOT,
        env={**os.environ, **env},
        stderr=subprocess.PIPE,
        # A test run in the background of a shell ignores SIGINT, and its processes would inherit that.
        preexec_fn=functools.partial(signal.signal, signal.SIGINT, signal.SIG_DFL),
    )
    log_output = bytearray()
    running = RouterProcess(process, port, log_output)

    async def read_log() -> None:
        assert process.stderr
        while chunk := await process.stderr.receive_some(4096):
            log_output.extend(chunk)
            running.updated.set()
        running.log_closed = True
        running.updated.set()

    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_log)
            await running.wait_for_log(b"serves on")
            yield running
            nursery.cancel_scope.cancel()
            process.kill()
    finally:  # reached as well if the test fails before the process serves
        process.kill()
        with trio.CancelScope(shield=True):
            await process.wait()
    assert b"Traceback" not in log_output, log_output.decode()


@contextlib.asynccontextmanager
async def run_platform(
    tmp_path: Path,
    caches: list[CacheStandIn],
    log: ChangeLogStandIn | None = None,
    purges: list[dict[str, Any]] | None = None,
    max_sockets: int = 1024,
    may_probe: bool = False,
    flow_bytes_per_s: float = 0.0,
    ops_port: int = 0,
    port: int = 0,
    settings: dict[str, Any] | None = None,
    max_descriptors: int = 0,
    include_known: bool = True,
    env: dict[str, str] | None = None,
    **program_arguments: str,
) -> AsyncIterator[RouterProcess]:
    """Run the router with a platform configuration that lists `caches`.

    settings: those that differ from SETTINGS.
    include_known: whether the configuration contains that list, or leaves it to the change log.
    """
    port = port or free_port()
    known_events = [
        {"seq": 1, "fleet": {"rev": 1, "all": True, "targets": [cache_as_json(cache) for cache in caches]}}
    ]
    known_events += [{"seq": 2 + n, "invalidate": item} for n, item in enumerate(purges or [])]
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "seed": "8c1f",
        "settings": {**SETTINGS, "Limits": {**SETTINGS["Limits"], "MayProbe": may_probe}, **(settings or {})},
        "known": {"seq": known_events[-1]["seq"], "results": known_events} if include_known else {},
        "limits": {"sockets": max_sockets},
        "flow_bytes_per_s": flow_bytes_per_s,
        "link_bytes_per_s": 4 * flow_bytes_per_s,
    }
    if log:
        config["changelog"] = f"127.0.0.1:{log.port}"
    if ops_port:
        config["ops"] = f"127.0.0.1:{ops_port}"
    path = tmp_path / f"config{ops_port or ''}.json"
    path.write_bytes(orjson.dumps(config))
    async with run_program(
        port, max_descriptors=max_descriptors, GW_CONFIG=str(path), **(env or {}), **program_arguments
    ) as running:
        yield running


@contextlib.asynccontextmanager
async def run_appliance(
    tmp_path: Path,
    caches: list[CacheStandIn],
    resolver: DnsServer | None = None,
    redis: Redis | None = None,
    name: str = "a1",
    hosts: dict[str, str] | None = None,
    extra_settings: str = "",
) -> AsyncIterator[tuple[RouterProcess, int, Path]]:
    """Run the router of a small site with a settings file derived from deploy/appliance.toml.

    Yields the process, its DNS port and the path of the file.
    """
    http_port, dns_port = free_port(), free_port()
    text = (ROOT / "deploy" / "appliance.toml").read_text()
    settings = text[text.index("[settings]") : text.index("[[box]]")]
    top_level = {
        "name": name,
        "http": f"127.0.0.1:{http_port}",
        "dns": f"127.0.0.1:{dns_port}",
        "zone": "caches.test.",
        "console": f"{name}.sock",
    }
    top_level |= {"resolver": f"127.0.0.1:{resolver.port}"} if resolver else {}
    top_level |= {"redis": f"127.0.0.1:{redis.port}"} if redis else {}
    lines = [f'{k} = "{v}"' for k, v in top_level.items()] + [settings]
    for cache in caches:
        role = "origin" if cache.model == "origin" else "edge"
        zone = "head-office" if cache.model == "origin" else "branch"
        lines.append(
            f'[[box]]\nid = "{cache.id}"\nhost = "{(hosts or {}).get(cache.id, "127.0.0.1")}"\n'
            f'port = {cache.port}\nzone = "{zone}"\nrole = "{role}"\nweight = 8.0'
        )
    path = tmp_path / f"{name}.toml"
    path.write_text("\n".join([*lines, extra_settings]))
    async with run_program(http_port, "appliance", str(path)) as running:
        yield running, dns_port, path
