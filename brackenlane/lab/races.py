"""Randomized race test of one real router on loopback; invariants are checked on the records of its peers.

Caches send valid, duplicate, malformed, truncated, very slow, late or no responses, and close connections.
Clients disconnect at any time, send too much, or send a partial request. Caches drain and are removed. SIGHUP
loads changed settings or an invalid file. The process may be suspended for some milliseconds. SIGTERM comes
at the end, while requests still arrive.
"""

from __future__ import annotations

import contextlib
import os
import random
import signal
import socket
import struct
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
import trio

from brackenlane.lab import site
from brackenlane.lab.stand_ins.cache_commands import CommandReader, Pinged, ReceivedRequest
from brackenlane.lab.stand_ins.cache_server import CacheListener, CacheStandIn, data_reply

SOCKET_SLACK = 0.05  # seconds that the protocol allows for delays on sockets
CLIENT_LEFT_GRACE = 0.1  # seconds after a client has disconnected, from which no attempt may begin
DRAIN_GRACE = 0.5  # seconds after a drain was sent, from which no attempt may begin
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER value that makes close() send a reset
CACHES = {f"s-0000000{n}": "type-a" for n in range(1, 5)} | {"s-00000008": "parent", "s-00000009": "origin"}


@dataclass
class ReceivedAttempt:
    """One attempt as a cache received it."""

    at: float
    cache: str
    id: str
    is_write: bool
    has_run: bool = True  # False: the cache responded, correctly, that the request did not run


@dataclass
class ClientResponse:
    """The response to a client that waited for it; status 0: no complete response in time."""

    is_write: bool
    time_limit: float
    elapsed: float
    status: int = 0
    extra_bytes: bytes = b""  # received after the end of the response


@dataclass
class Record:
    """All that the peers observed."""

    attempts: list[ReceivedAttempt] = field(default_factory=list)
    client_left_at: dict[str, float] = field(default_factory=dict)  # by request ID
    responses: dict[str, ClientResponse] = field(default_factory=dict)
    state_changes: list[tuple[float, str, bool]] = field(default_factory=list)  # time, cache, is serving
    exit_code: int | None = None
    log: bytes = b""


def violations(record: Record) -> list[str]:
    """Return a description of each violation of an invariant."""
    found = []
    for attempt in record.attempts:
        left_at = record.client_left_at.get(attempt.id)
        if left_at is not None and attempt.at > left_at + CLIENT_LEFT_GRACE:
            found.append(f"sent {attempt.at - left_at:.3f} s after its client had left: {attempt.id}")
        last = [
            (at, serves)
            for at, cache, serves in record.state_changes
            if cache == attempt.cache and at <= attempt.at
        ]
        if last and not last[-1][1] and attempt.at > last[-1][0] + DRAIN_GRACE + SOCKET_SLACK:
            found.append(
                f"sent {attempt.at - last[-1][0]:.3f} s after its box was told to drain: {attempt.id}"
            )
    runs = Counter(attempt.id for attempt in record.attempts if attempt.is_write and attempt.has_run)
    found += [f"a write ran {count} times: {name}" for name, count in runs.items() if count > 1]
    for name, response in record.responses.items():
        if not response.status:
            found.append(f"no whole answer: {name}")
        elif response.elapsed > response.time_limit + SOCKET_SLACK:
            found.append(f"answered {response.elapsed - response.time_limit:.3f} s late: {name}")
        if response.extra_bytes:
            found.append(f"more than one answer: {name}: {response.extra_bytes!r}")
        if response.is_write and response.status == 503 and runs[name]:
            found.append(f"refused though it may have run: {name}")
    if record.exit_code != 0:
        found.append(f"exit {record.exit_code}")
    if b"Traceback" in record.log:
        found.append("a traceback in the log")
    return found


class FaultyCache(CacheStandIn):
    """A cache that draws each response at random, from valid ones and faulty ones."""

    def __init__(self, name: str, model: str, rng: random.Random, record: Record) -> None:
        super().__init__(name, model)
        self._rng = rng
        self._record = record

    async def _serve(self, stream: trio.SocketStream) -> None:
        self._streams.append(stream)
        self.connection_count = connection_number = self.connection_count + 1
        async with trio.open_nursery() as nursery:

            def on_request(request: ReceivedRequest) -> None:
                is_write = request.fields["queue"] == "sheet-submit"
                attempt = ReceivedAttempt(time.time(), self.id, request.id, is_write)
                self._record.attempts.append(attempt)
                nursery.start_soon(self._reply, stream, request, attempt)

            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await self._read(stream, connection_number, on_request, nursery)
            nursery.cancel_scope.cancel()

    async def _read(
        self, stream: trio.SocketStream, connection_number: int, on_request: Any, nursery: trio.Nursery
    ) -> None:
        reader = CommandReader(connection_number)
        while more := await stream.receive_some(65536):
            for command in reader.feed(more):
                match command:
                    case ReceivedRequest():
                        on_request(command)
                    case Pinged() if self._rng.random() < 0.8:
                        nursery.start_soon(self._send, stream, command.reply)

    async def _send(self, stream: trio.SocketStream, *texts: bytes) -> None:
        """Send texts in order; the rest is lost if another task is sending, as with a faulty cache."""
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
            for n, text in enumerate(texts):
                if n:
                    await trio.sleep(self._rng.choice([0, 0.001, 0.005, 0.02]))
                await stream.send_all(text)

    async def _reply(
        self, stream: trio.SocketStream, request: ReceivedRequest, attempt: ReceivedAttempt
    ) -> None:
        await trio.sleep(self._rng.choice([0, 0, 0.005, 0.02, 0.1, 0.3]))
        good = data_reply(request, b"" if attempt.is_write else bytes(self._rng.choice([5, 5, 500, 100_000])))
        full = data_reply(request, b"", "full")
        large = data_reply(request, bytes(200_000))
        match self._rng.choices(range(10), (55, 7, 5, 6, 5, 4, 4, 4, 3, 7))[0]:
            case 0:
                await self._send(stream, good)
            case 1:
                attempt.has_run = False
                await self._send(
                    stream, data_reply(request, b"", self._rng.choice(["full", "absent", "moot"]))
                )
            case 2:
                attempt.has_run = False
                await self._send(stream, full, full)
            case 3:
                await self._send(stream, data_reply(request, b"", "failed"))
            case 4:
                await self._send(stream, good, good)
            case 5:
                await self._send(stream, b"no line of a box\r\n")
            case 6:
                with contextlib.suppress(OSError):
                    if self._rng.random() < 0.5:
                        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                await stream.aclose()
            case 7:
                await self._send(stream, large[:-150_000])
            case 8:
                await self._send(stream, large[:-150_000], *[b"x"] * 200)
            case 9:
                pass


class ChangeLogStandIn(CacheListener):
    """The change log; events are sent on the latest connection."""

    def __init__(self) -> None:
        self.latest: trio.SocketStream | None = None

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.latest = stream
        await trio.sleep_forever()


class Scenario:
    """One run, determined by a seed."""

    def __init__(
        self, seed: int, seconds: float, folder: Path, may_cancel: bool = True, root: Path = site.ROOT
    ) -> None:
        """may_cancel: whether the router may cancel attempts; root: the checkout whose router is run."""
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.folder = folder
        self.root = root
        self.has_pauses = seed % 2 == 1
        self.may_cancel = may_cancel
        self.record = Record()
        self.ends_at = 0.0
        self.port = site.free_ports(1)[0]

    async def run(self) -> Record:
        """Run the scenario; return what the peers observed."""
        async with trio.open_nursery() as nursery:
            caches = [
                await FaultyCache(name, model, self.rng, self.record).open(nursery)
                for name, model in CACHES.items()
            ]
            change_log = await ChangeLogStandIn().open(nursery)
            path = self.folder / "config.json"
            path.write_bytes(orjson.dumps(self._config(caches, change_log.port)))
            log_path = self.folder / "log"
            with log_path.open("wb") as out:
                process = await trio.lowlevel.open_process(
                    [sys.executable, "-m", "brackenlane"],
                    cwd=self.root,
                    env={**os.environ, "GW_CONFIG": str(path)},
                    stderr=out,
                )
            try:
                while b"serves on" not in log_path.read_bytes():
                    await trio.sleep(0.02)
                self.ends_at = time.time() + self.seconds
                async with trio.open_nursery() as peers:
                    for _ in range(40):
                        peers.start_soon(self._client)
                    peers.start_soon(self._publish_states, caches, change_log)
                    peers.start_soon(self._signals, process, path)
                    await trio.sleep(self.seconds - 1.0)
                    self.ends_at = time.time() + 0.45  # seconds in which requests still arrive after SIGTERM
                    process.send_signal(signal.SIGTERM)
                with trio.move_on_after(5):
                    self.record.exit_code = await process.wait()
            finally:
                process.kill()
                with trio.CancelScope(shield=True):
                    await process.wait()
            self.record.log = log_path.read_bytes()
            nursery.cancel_scope.cancel()
        return self.record

    def _config(self, caches: list[FaultyCache], change_log_port: int) -> dict[str, Any]:
        raw: dict[str, Any] = orjson.loads(site.platform_config(self.port, [], 0, flow=1e6))
        raw["settings"]["Limits"] |= {"Cancel": self.may_cancel, "KeepaliveS": 1.0}
        raw["settings"]["Classes"] = [{**c, "GiveUpS": 2.0} for c in raw["settings"]["Classes"]]
        raw["known"]["results"][0]["fleet"]["targets"] = [
            {
                "uid": cache.id,
                "endpoint": f"127.0.0.1:{cache.port}",
                "az": "edge-1",
                "model": cache.model,
                "pod_group": 0,
                "state": "in_service",
                "capacity_hint": 8,
                "boot_ms": 0,
            }
            for cache in caches
        ]
        return {**raw, "changelog": f"127.0.0.1:{change_log_port}"}

    async def _publish_states(self, caches: list[FaultyCache], change_log: ChangeLogStandIn) -> None:
        number = 1
        while time.time() < self.ends_at:
            await trio.sleep(self.rng.choice([0.1, 0.3, 0.6]))
            if change_log.latest is None:
                continue
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                if self.rng.random() < 0.2:
                    await change_log.latest.aclose()
                    continue
                number += 1
                cache = self.rng.choice(caches[:-1])
                state = self.rng.choice([0, 0, 1, 2])
                kind = site.SETTINGS["Skus"].index(cache.model)
                host = socket.inet_aton("127.0.0.1")
                entry = (
                    int(cache.id[2:], 16).to_bytes(4, "big")
                    + host
                    + cache.port.to_bytes(2, "big")
                    + bytes([state, 1, kind, 0, 0, 0, 0, 31, 64])
                    + bytes(8)
                )
                head = (9 + len(entry)).to_bytes(4, "big") + number.to_bytes(8, "big") + b"\x02"
                await change_log.latest.send_all(head + entry)
                self.record.state_changes.append((time.time(), cache.id, state == 0))

    async def _signals(self, process: trio.Process, path: Path) -> None:
        good = orjson.loads(path.read_bytes())
        count = 0
        while time.time() < self.ends_at - 1.5:
            await trio.sleep(0.4)
            if self.has_pauses:
                process.send_signal(signal.SIGSTOP)
                await trio.sleep(self.rng.choice([0.002, 0.01, 0.03]))
                process.send_signal(signal.SIGCONT)
            count += 1
            if count % 2:
                good["settings"]["Classes"][0]["TargetS"] = 0.4 + 0.1 * (count % 3)
                path.write_bytes(orjson.dumps(good) if count % 4 == 1 else b"{")
                process.send_signal(signal.SIGHUP)

    async def _client(self) -> None:
        while time.time() < self.ends_at:
            # The router may not be listening, or may close the connection.
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                await self._request(await trio.open_tcp_stream("127.0.0.1", self.port))
            await trio.sleep(self.rng.choice([0, 0, 0.01, 0.05]))

    async def _request(self, stream: trio.SocketStream) -> None:
        rng = self.rng
        is_write = rng.random() < 0.3
        name = f"{rng.getrandbits(64):016x}"
        time_limit = rng.choice([0.1, 0.3, 1.0, 2.0])
        cls = "sheet-submit" if is_write else rng.choice(["video-parts", "sheet-pages"])
        text = (
            f"{'PUT' if is_write else 'GET'} /api/v2/{cls}/{rng.randrange(40):016x}/n-3 HTTP/1.1\r\n"
            f"Host: a\r\nX-Txn: {name}\r\nX-Ttl-Ms: {time_limit * 1000:.0f}\r\nX-Shard: 1\r\n"
            + ("Content-Length: 6\r\n\r\nsigned" if is_write else "\r\n")
        ).encode()
        cut = rng.randrange(1, len(text))
        behaviour = rng.random()
        stay_time = (
            rng.choice([0, 0.001, 0.003, 0.01, 0.05, 0.2, 0.4]) if behaviour < 0.5 else time_limit + 1.0
        )
        try:
            if behaviour < 0.1:
                return await stream.send_all(text[:cut])
            if behaviour < 0.15:
                with trio.move_on_after(0.5):
                    await stream.send_all(text + b"z" * rng.choice([100, 20_000, 300_000]))
                return
            if 0.4 < behaviour < 0.6:
                await stream.send_all(text[:cut])
                await trio.sleep(rng.choice([0, 0.001, 0.01]))
                text = text[cut:]
            await stream.send_all(text)
            sent = time.time()
            response = ClientResponse(is_write, time_limit, 0.0)
            with (
                trio.move_on_after(stay_time) as client_leaves,
                contextlib.suppress(trio.BrokenResourceError),
            ):
                response.status, response.extra_bytes = await _receive_response(stream)
            response.elapsed = time.time() - sent
            if behaviour >= 0.5 or not client_leaves.cancelled_caught:
                self.record.responses[name] = response
            elif rng.random() < 0.5:
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        finally:
            await trio.aclose_forcefully(stream)
            self.record.client_left_at[name] = time.time()


async def _receive_response(stream: trio.SocketStream) -> tuple[int, bytes]:
    """Return the status of one response, 0 if it was truncated, and the bytes after its end."""
    received = b""
    while b"\r\n\r\n" not in received:
        if not (more := await stream.receive_some(65536)):
            return 0, b""
        received += more
    head, _, body = received.partition(b"\r\n\r\n")
    length = next(
        (
            int(line.split(b":")[1])
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"content-length:")
        ),
        0,
    )
    while len(body) < length:
        if not (more := await stream.receive_some(65536)):
            return 0, b""
        body += more
    return int(head[9:12]), body[length:]
