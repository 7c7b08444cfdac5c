"""A scripted Redis on loopback: the commands that the routers use, with a set capacity and faults.

It keeps strings, hashes and streams. Beyond its capacity it slows down, then refuses, as a real server does.
`lose` simulates a restart that lost the latest writes, or all of them.
"""

from __future__ import annotations

import contextlib
import math
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import hiredis
import orjson
import trio

from brackenlane.lab.stand_ins.cache_server import CacheListener

Seen = Callable[..., None]


@dataclass(frozen=True, slots=True)
class Capacity:
    """Rates per second.

    Beyond them replies are delayed, and refused if the delay exceeds `patience` seconds.
    """

    commands: float = math.inf
    connections: float = math.inf
    bytes: float = math.inf
    patience: float = 0.5


class Redis(CacheListener):
    """The store. `seen` is called for every connection, command, refusal and stream entry, to record them."""

    def __init__(self, capacity: Capacity = Capacity(), seen: Seen = lambda *_, **__: None) -> None:
        self.keys: dict[str, Any] = {}
        self.updated = trio.Event()
        self.seen = trio.Event()
        self.capacity = capacity
        self._notify = seen
        self.late = 0.0  # seconds that each reply is delayed in addition
        self.refuse_share = 0.0  # share of connections that are refused whatever the load
        self._chance = random.Random(1)
        self._free = 0.0  # monotonic time at which all accepted work is done
        self._undo: deque[tuple[float, Callable[[], None]]] = deque(maxlen=100_000)
        self.commands = self.connections = self.sent = self.refused = 0

    def lose(self, seconds: float = math.inf) -> None:
        """Undo the writes of the last seconds, or all, as a restart from an older state does."""
        since = time.monotonic() - seconds
        while self._undo and self._undo[-1][0] >= since:
            self._undo.pop()[1]()
        if seconds == math.inf:
            self.keys.clear()
            self._undo.clear()

    def order(self, zone: str, order: dict[str, Any]) -> None:
        """Write an order of drain or restore, as another router would."""
        self._write(f"brackenlane:{zone}:orders", order["id"], orjson.dumps(order).decode())
        self._add(f"brackenlane:{zone}:events", 10_000, ["event", orjson.dumps({"order": order}).decode()])

    def _work(self, cost: float) -> float:
        """Queue work of `cost` seconds behind all accepted work; return the seconds until it is done."""
        now = time.monotonic()
        self._free = max(self._free, now) + cost
        return self._free - now

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        who = stream.socket.getpeername()[1]
        wait = self._work(1 / self.capacity.connections)
        self._notify("connect", who, wait=wait)
        if wait > self.capacity.patience or self._chance.random() < self.refuse_share:
            self.refused += 1
            self._notify("refuse", who)
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(b"-ERR max number of clients reached\r\n")
            return await stream.aclose()
        reader = hiredis.Reader(encoding="utf-8")
        queue: list[list[str]] | None = None
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while got := await stream.receive_some(65536):
                reader.feed(got)
                out = b""
                wait = 0.0
                refused = False
                # Commands received together are answered together.
                while (command := reader.gets()) is not False:
                    reply, queue = await self._turn(command, queue)
                    cost = 1 / self.capacity.commands + len(reply) / self.capacity.bytes
                    wait = self._work(cost)
                    claim = len(command) > 1 and ":claim:" in command[1]
                    self._notify(
                        "claim" if claim else "command", who, word=command[0], sent=len(reply), wait=wait
                    )
                    if wait > self.capacity.patience:
                        self.refused += 1
                        refused = True
                        reply = b"-BUSY beyond the stated capacity\r\n"
                    out += reply
                if refused:
                    self._notify("refuse", who)
                if wait > 0.001 or self.late:
                    await trio.sleep(wait + self.late)
                self.sent += len(out)
                await stream.send_all(out)

    async def _turn(
        self, command: list[str], queue: list[list[str]] | None
    ) -> tuple[bytes, list[list[str]] | None]:
        """Run one command.

        Return its reply and the commands queued in the open transaction (None: no transaction).
        """
        self.commands += 1
        match command[0]:
            case "MULTI":
                return b"+OK\r\n", []
            case "EXEC":
                assert queue is not None
                return b"*%d\r\n" % len(queue) + b"".join([await self._do(c) for c in queue]), None
        if queue is not None:
            return b"+QUEUED\r\n", [*queue, command]
        return await self._do(command), None

    def _write(self, key: str, name: str | None, value: Any) -> None:
        """Set a string (no name) or a field of a hash, or delete it if value is None; `lose` can undo it."""
        table = self.keys if name is None else self.keys.setdefault(key, {})
        at = key if name is None else name
        old = table.get(at)

        def undo() -> None:
            if old is None:
                table.pop(at, None)
            else:
                table[at] = old

        self._undo.append((time.monotonic(), undo))
        if value is None:
            table.pop(at, None)
        else:
            table[at] = value

    def _add(self, key: str, most: int, fields: list[str]) -> tuple[int, int]:
        """Append an entry to a stream, cut to the `most` newest ones; return the entry's ID."""
        stream = self.keys.setdefault(key, [])
        last = stream[-1][0] if stream else (0, 0)
        place = max((int(time.time() * 1000), 0), (last[0], last[1] + 1))
        entry = (place, fields)
        stream.append(entry)
        self._undo.append((time.monotonic(), lambda: stream.remove(entry) if entry in stream else None))
        del stream[:-most]
        self.updated.set()
        self._notify("write", 0, key=key, event=fields[-1])
        return place

    async def _do(self, command: list[str]) -> bytes:
        match command:
            case ["SET", key, value, "NX", "EX", _]:
                if key in self.keys:
                    return _resp(None)
                self._write(key, None, value)
                return b"+OK\r\n"
            case ["SET", key, value, "EX", _]:
                self._write(key, None, value)
                return b"+OK\r\n"
            case ["GET", key]:
                return _resp(self.keys.get(key))
            case ["MGET", *keys]:
                return _resp([self.keys.get(key) for key in keys])
            case ["DEL", key]:
                there = key in self.keys
                self._write(key, None, None)
                return _resp(int(there))
            case ["INCR", key]:
                self._write(key, None, str(int(self.keys.get(key, "0")) + 1))
                return _resp(int(self.keys[key]))
            case ["TIME"]:
                now = time.time()
                return _resp([str(int(now)), str(int(now % 1 * 1e6))])
            case ["EXPIRE", key, _]:
                return _resp(int(key in self.keys))
            case ["HSET" | "HSETNX" as word, key, name, value]:
                new = name not in self.keys.get(key, {})
                if new or word == "HSET":
                    self._write(key, name, value)
                return _resp(int(new))
            case ["HMGET", key, *names]:
                return _resp([self.keys.get(key, {}).get(name) for name in names])
            case ["HGETALL", key]:
                return _resp([part for pair in self.keys.get(key, {}).items() for part in pair])
            case ["HSCAN", key, cursor, "COUNT", count]:
                table = sorted(self.keys.get(key, {}).items())
                at = int(cursor)
                piece = table[at : at + int(count)]
                more = at + len(piece) if at + len(piece) < len(table) else 0
                return _resp([str(more), [part for pair in piece for part in pair]])
            case ["XADD", key, "MAXLEN", "~", most, "*", *fields]:
                return _resp(_place(self._add(key, int(most), fields)))
            case ["XRANGE", key, "+", "+", *_]:  # the range starts after the last entry
                return _resp([])
            case ["XRANGE", key, low, "+", *count]:
                found = [[_place(p), f] for p, f in self.keys.get(key, []) if p >= _read_place(low)]
                return _resp(found[: int(count[1])] if count else found)
            case ["XREVRANGE", key, "+", "-", "COUNT", "1"]:
                return _resp([[_place(p), f] for p, f in self.keys.get(key, [])[-1:]])
            case ["XREAD", *arguments, "STREAMS", key, after]:
                reported = dict(zip(arguments[::2], arguments[1::2], strict=True))
                self.seen.set()
                if "BLOCK" in reported:
                    with trio.move_on_after(int(reported["BLOCK"]) / 1000):
                        while not self._behind(key, after):
                            self.updated = self.updated if not self.updated.is_set() else trio.Event()
                            await self.updated.wait()
                found = self._behind(key, after)[: int(reported.get("COUNT", 1 << 30))]
                return _resp([[key, found]] if found else None)
        return b"-ERR unknown command\r\n"

    def _behind(self, key: str, after: str) -> list[Any]:
        stream = self.keys.get(key, [])
        low = _read_place(after)
        found: list[Any] = []
        for place, fields in reversed(stream):
            if place <= low:
                break
            found.append([_place(place), fields])
        return found[::-1]


def _place(place: tuple[int, int]) -> str:
    return f"{place[0]}-{place[1]}"


def _read_place(text: str) -> tuple[int, int]:
    ms, _, n = text.partition("-")
    return int(ms), int(n or 0)


def _resp(value: Any) -> bytes:
    if value is None:
        return b"*-1\r\n"
    if isinstance(value, int):
        return b":%d\r\n" % value
    if isinstance(value, str):
        return b"$%d\r\n%b\r\n" % (len(value.encode()), value.encode())
    return b"*%d\r\n" % len(value) + b"".join(_resp(v) for v in value)
