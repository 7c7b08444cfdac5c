"""Random races against one real router on loopback, and invariants checked by its peers' records alone.

Caches answer well, twice, spoilt, in part, for ever, late or not at all, and cut connections; clients leave
at any moment, flood, or send half; caches drain and leave; SIGHUP brings other settings or no
good file; the process may stand still for some milliseconds; at the end comes SIGTERM, while requests arrive.
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
from brackenlane.lab.stand_ins.cache_server import CacheListener, CacheStandIn, data

SLACK = 0.05  # seconds: the protocol's on sockets
LEFT = 0.1  # after a client has left, no attempt
DRAINED = 0.5  # after a drain was told, no attempt
RESET = struct.pack("ii", 1, 0)
CACHES = {f"s-0000000{n}": "type-a" for n in range(1, 5)} | {"s-00000008": "parent", "s-00000009": "origin"}


@dataclass
class ReceivedAttempt:
    """One attempt as a cache received it."""

    at: float
    box: str
    id: str
    write: bool
    ran: bool = True  # or the cache said, in truth, that it did not


@dataclass
class ClientAnswer:
    """What a client that stayed was told; no status: nothing whole in time."""

    write: bool
    ttl: float
    took: float
    status: int = 0
    more: bytes = b""  # that came behind the answer


@dataclass
class Record:
    """All that the peers saw."""

    gets: list[ReceivedAttempt] = field(default_factory=list)
    left: dict[str, float] = field(default_factory=dict)  # id of a request: when its client had gone
    answers: dict[str, ClientAnswer] = field(default_factory=dict)
    told: list[tuple[float, str, bool]] = field(default_factory=list)  # when, cache, whether it serves
    exit: int | None = None
    said: bytes = b""


def violations(record: Record) -> list[str]:
    """The rules that were broken."""
    found = []
    for got in record.gets:
        gone = record.left.get(got.id)
        if gone is not None and got.at > gone + LEFT:
            found.append(f"sent {got.at - gone:.3f} s after its client had left: {got.id}")
        last = [(at, serves) for at, cache, serves in record.told if cache == got.box and at <= got.at]
        if last and not last[-1][1] and got.at > last[-1][0] + DRAINED + SLACK:
            found.append(f"sent {got.at - last[-1][0]:.3f} s after its box was told to drain: {got.id}")
    runs = Counter(got.id for got in record.gets if got.write and got.ran)
    found += [f"a write ran {count} times: {name}" for name, count in runs.items() if count > 1]
    for name, reported in record.answers.items():
        if not reported.status:
            found.append(f"no whole answer: {name}")
        elif reported.took > reported.ttl + SLACK:
            found.append(f"answered {reported.took - reported.ttl:.3f} s late: {name}")
        if reported.more:
            found.append(f"more than one answer: {name}: {reported.more!r}")
        if reported.write and reported.status == 503 and runs[name]:
            found.append(f"refused though it may have run: {name}")
    if record.exit != 0:
        found.append(f"exit {record.exit}")
    if b"Traceback" in record.said:
        found.append("a traceback in the log")
    return found


class ErraticCache(CacheStandIn):
    """A cache whose answers are drawn."""

    def __init__(self, name: str, model: str, draw: random.Random, record: Record) -> None:
        super().__init__(name, model)
        self._draw = draw
        self._record = record

    async def _serve(self, stream: trio.SocketStream) -> None:
        self._streams.append(stream)
        self.links = link = self.links + 1
        async with trio.open_nursery() as nursery:

            def take(requested: ReceivedRequest) -> None:
                write = requested.fields["queue"] == "sheet-submit"
                got = ReceivedAttempt(time.time(), self.id, requested.id, write)
                self._record.gets.append(got)
                nursery.start_soon(self._reply, stream, requested, got)

            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await self._read(stream, link, take, nursery)
            nursery.cancel_scope.cancel()

    async def _read(self, stream: trio.SocketStream, link: int, take: Any, nursery: trio.Nursery) -> None:
        reader = CommandReader(link)
        while more := await stream.receive_some(65536):
            for command in reader.feed(more):
                match command:
                    case ReceivedRequest():
                        take(command)
                    case Pinged() if self._draw.random() < 0.8:
                        nursery.start_soon(self._say, stream, command.reply)

    async def _say(self, stream: trio.SocketStream, *texts: bytes) -> None:
        """Say it, unless something else is being said there: then some bytes are lost, as by a bad cache."""
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
            for n, text in enumerate(texts):
                if n:
                    await trio.sleep(self._draw.choice([0, 0.001, 0.005, 0.02]))
                await stream.send_all(text)

    async def _reply(
        self, stream: trio.SocketStream, requested: ReceivedRequest, got: ReceivedAttempt
    ) -> None:
        await trio.sleep(self._draw.choice([0, 0, 0.005, 0.02, 0.1, 0.3]))
        good = data(requested, b"" if got.write else bytes(self._draw.choice([5, 5, 500, 100_000])))
        full = data(requested, b"", "full")
        large = data(requested, bytes(200_000))
        match self._draw.choices(range(10), (55, 7, 5, 6, 5, 4, 4, 4, 3, 7))[0]:
            case 0:
                await self._say(stream, good)
            case 1:
                got.ran = False
                await self._say(stream, data(requested, b"", self._draw.choice(["full", "absent", "moot"])))
            case 2:
                got.ran = False
                await self._say(stream, full, full)
            case 3:
                await self._say(stream, data(requested, b"", "failed"))
            case 4:
                await self._say(stream, good, good)
            case 5:
                await self._say(stream, b"no line of a box\r\n")
            case 6:
                with contextlib.suppress(OSError):
                    if self._draw.random() < 0.5:
                        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                await stream.aclose()
            case 7:
                await self._say(stream, large[:-150_000])
            case 8:
                await self._say(stream, large[:-150_000], *[b"x"] * 200)
            case 9:
                pass


class List(CacheListener):
    """The change log: the latest connection is told."""

    def __init__(self) -> None:
        self.latest: trio.SocketStream | None = None

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.latest = stream
        await trio.sleep_forever()


class Scenario:
    """One play by one seed."""

    def __init__(
        self, seed: int, seconds: float, folder: Path, cancel: bool = True, root: Path = site.ROOT
    ) -> None:
        """cancel: whether attempts may be cancelled; root: the checkout whose program is played with."""
        self.draw = random.Random(seed)
        self.seconds = seconds
        self.folder = folder
        self.root = root
        self.is_stalled = seed % 2 == 1
        self.cancel = cancel
        self.record = Record()
        self.end = 0.0
        self.port = site.free_ports(1)[0]

    async def run(self) -> Record:
        """Play it; what the peers saw."""
        async with trio.open_nursery() as nursery:
            caches = [
                await ErraticCache(name, model, self.draw, self.record).open(nursery)
                for name, model in CACHES.items()
            ]
            log = await List().open(nursery)
            path = self.folder / "config.json"
            path.write_bytes(orjson.dumps(self._config(caches, log.port)))
            said = self.folder / "log"
            with said.open("wb") as out:
                process = await trio.lowlevel.open_process(
                    [sys.executable, "-m", "brackenlane"],
                    cwd=self.root,
                    env={**os.environ, "GW_CONFIG": str(path)},
                    stderr=out,
                )
            try:
                while b"serves on" not in said.read_bytes():
                    await trio.sleep(0.02)
                self.end = time.time() + self.seconds
                async with trio.open_nursery() as peers:
                    for _ in range(40):
                        peers.start_soon(self._client)
                    peers.start_soon(self._lists, caches, log)
                    peers.start_soon(self._signals, process, path)
                    await trio.sleep(self.seconds - 1.0)
                    self.end = time.time() + 0.45  # requests come on for a moment after SIGTERM
                    process.send_signal(signal.SIGTERM)
                with trio.move_on_after(5):
                    self.record.exit = await process.wait()
            finally:
                process.kill()
                with trio.CancelScope(shield=True):
                    await process.wait()
            self.record.said = said.read_bytes()
            nursery.cancel_scope.cancel()
        return self.record

    def _config(self, caches: list[ErraticCache], log: int) -> dict[str, Any]:
        raw: dict[str, Any] = orjson.loads(site.platform_config(self.port, [], 0, flow=1e6))
        raw["settings"]["Limits"] |= {"Cancel": self.cancel, "KeepaliveS": 1.0}
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
        return {**raw, "changelog": f"127.0.0.1:{log}"}

    async def _lists(self, caches: list[ErraticCache], log: List) -> None:
        number = 1
        while time.time() < self.end:
            await trio.sleep(self.draw.choice([0.1, 0.3, 0.6]))
            if log.latest is None:
                continue
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                if self.draw.random() < 0.2:
                    await log.latest.aclose()
                    continue
                number += 1
                cache = self.draw.choice(caches[:-1])
                state = self.draw.choice([0, 0, 1, 2])
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
                await log.latest.send_all(head + entry)
                self.record.told.append((time.time(), cache.id, state == 0))

    async def _signals(self, process: trio.Process, path: Path) -> None:
        good = orjson.loads(path.read_bytes())
        count = 0
        while time.time() < self.end - 1.5:
            await trio.sleep(0.4)
            if self.is_stalled:
                process.send_signal(signal.SIGSTOP)
                await trio.sleep(self.draw.choice([0.002, 0.01, 0.03]))
                process.send_signal(signal.SIGCONT)
            count += 1
            if count % 2:
                good["settings"]["Classes"][0]["TargetS"] = 0.4 + 0.1 * (count % 3)
                path.write_bytes(orjson.dumps(good) if count % 4 == 1 else b"{")
                process.send_signal(signal.SIGHUP)

    async def _client(self) -> None:
        while time.time() < self.end:
            with contextlib.suppress(OSError, trio.BrokenResourceError):  # nobody listens, or it left
                await self._request(await trio.open_tcp_stream("127.0.0.1", self.port))
            await trio.sleep(self.draw.choice([0, 0, 0.01, 0.05]))

    async def _request(self, stream: trio.SocketStream) -> None:
        draw = self.draw
        write = draw.random() < 0.3
        name = f"{draw.getrandbits(64):016x}"
        ttl = draw.choice([0.1, 0.3, 1.0, 2.0])
        cls = "sheet-submit" if write else draw.choice(["video-parts", "sheet-pages"])
        text = (
            f"{'PUT' if write else 'GET'} /api/v2/{cls}/{draw.randrange(40):016x}/n-3 HTTP/1.1\r\n"
            f"Host: a\r\nX-Txn: {name}\r\nX-Ttl-Ms: {ttl * 1000:.0f}\r\nX-Shard: 1\r\n"
            + ("Content-Length: 6\r\n\r\nsigned" if write else "\r\n")
        ).encode()
        cut = draw.randrange(1, len(text))
        how = draw.random()
        leaves = draw.choice([0, 0.001, 0.003, 0.01, 0.05, 0.2, 0.4]) if how < 0.5 else ttl + 1.0
        try:
            if how < 0.1:
                return await stream.send_all(text[:cut])
            if how < 0.15:
                with trio.move_on_after(0.5):
                    await stream.send_all(text + b"z" * draw.choice([100, 20_000, 300_000]))
                return
            if 0.4 < how < 0.6:
                await stream.send_all(text[:cut])
                await trio.sleep(draw.choice([0, 0.001, 0.01]))
                text = text[cut:]
            await stream.send_all(text)
            sent = time.time()
            reported = ClientAnswer(write, ttl, 0.0)
            with trio.move_on_after(leaves) as left, contextlib.suppress(trio.BrokenResourceError):
                reported.status, reported.more = await _answer(stream)
            reported.took = time.time() - sent
            if how >= 0.5 or not left.cancelled_caught:
                self.record.answers[name] = reported
            elif draw.random() < 0.5:
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        finally:
            await trio.aclose_forcefully(stream)
            self.record.left[name] = time.time()


async def _answer(stream: trio.SocketStream) -> tuple[int, bytes]:
    """Status and what came behind one whole answer; 0 if it was cut."""
    got = b""
    while b"\r\n\r\n" not in got:
        if not (more := await stream.receive_some(65536)):
            return 0, b""
        got += more
    head, _, body = got.partition(b"\r\n\r\n")
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
