"""A scripted Redis on loopback: the commands that the routers use, with a set capacity and faults.

It keeps strings, hashes and streams. Beyond its capacity it slows down, then refuses, as a real server does.
`undo_writes` simulates a restart that lost the latest writes, or all of them.
"""

from __future__ import annotations

import contextlib
import math
import random
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import hiredis
import orjson
import trio

from brackenlane.lab.stand_ins.cache_server import CacheListener

Observer = Callable[..., None]


@dataclass(frozen=True, slots=True)
class Capacity:
    """Rates per second.

    Beyond them replies are delayed, and refused if the delay exceeds `patience` seconds.
    """

    commands: float = math.inf
    connections: float = math.inf
    bytes: float = math.inf
    patience: float = 0.5


@dataclass
class Transaction:
    """The transaction state of one connection."""

    queued: list[list[str]] | None = None  # commands since MULTI; None: no transaction is open
    watched: dict[str, int] = field(default_factory=dict)  # number of writes to each watched key at its WATCH

    def end(self) -> None:
        """Forget the queued commands and the watched keys."""
        self.queued = None
        self.watched.clear()


class Redis(CacheListener):
    """The store. `seen` is called for every connection, command, refusal and stream entry, to record them."""

    def __init__(self, capacity: Capacity = Capacity(), seen: Observer = lambda *_, **__: None) -> None:
        self.keys: dict[str, Any] = {}
        self.updated = trio.Event()
        self.read_started = trio.Event()
        self.capacity = capacity
        self._notify = seen
        self.extra_delay = 0.0  # seconds that each reply is delayed in addition
        self.refuse_share = 0.0  # share of connections that are refused whatever the load
        self._rng = random.Random(1)
        self._busy_until = 0.0  # monotonic time at which all accepted work is done
        self._undo: deque[tuple[float, Callable[[], None]]] = deque(maxlen=100_000)
        self._write_counts: Counter[str] = Counter()  # number of writes by key, for WATCH
        self.commands = self.connections = self.sent = self.refused = 0

    def undo_writes(self, seconds: float = math.inf) -> None:
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
        self.add_event(zone, orjson.dumps({"order": order}).decode())

    def add_event(self, zone: str, text: str) -> None:
        """Add an event to the stream, in whatever form another program may give it."""
        self._append_entry(f"brackenlane:{zone}:events", 10_000, ["event", text])

    def _queue_work(self, cost: float) -> float:
        """Queue work of `cost` seconds behind all accepted work; return the seconds until it is done."""
        now = time.monotonic()
        self._busy_until = max(self._busy_until, now) + cost
        return self._busy_until - now

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        peer_port = stream.socket.getpeername()[1]
        wait = self._queue_work(1 / self.capacity.connections)
        self._notify("connect", peer_port, wait=wait)
        if wait > self.capacity.patience or self._rng.random() < self.refuse_share:
            self.refused += 1
            self._notify("refuse", peer_port)
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(b"-ERR max number of clients reached\r\n")
            return await stream.aclose()
        reader = hiredis.Reader(encoding="utf-8")
        transaction = Transaction()
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while chunk := await stream.receive_some(65536):
                reader.feed(chunk)
                replies = b""
                wait = 0.0
                refused = False
                # Commands received together are answered together.
                while (command := reader.gets()) is not False:
                    reply = await self._execute(command, transaction)
                    cost = 1 / self.capacity.commands + len(reply) / self.capacity.bytes
                    wait = self._queue_work(cost)
                    claim = len(command) > 1 and ":claim:" in command[1]
                    self._notify(
                        "claim" if claim else "command",
                        peer_port,
                        word=command[0],
                        sent=len(reply),
                        wait=wait,
                    )
                    if wait > self.capacity.patience:
                        self.refused += 1
                        refused = True
                        reply = b"-BUSY beyond the stated capacity\r\n"
                    replies += reply
                if refused:
                    self._notify("refuse", peer_port)
                if wait > 0.001 or self.extra_delay:
                    await trio.sleep(wait + self.extra_delay)
                self.sent += len(replies)
                await stream.send_all(replies)

    async def _execute(self, command: list[str], transaction: Transaction) -> bytes:
        """Run one command, or queue it in the open transaction; return its reply."""
        self.commands += 1
        match command:
            case ["WATCH", *keys]:
                transaction.watched |= {key: self._write_counts[key] for key in keys}
                return b"+OK\r\n"
            case ["UNWATCH"]:
                transaction.watched.clear()
                return b"+OK\r\n"
            case ["MULTI"]:
                transaction.queued = []
                return b"+OK\r\n"
            case ["EXEC"]:
                return await self._execute_transaction(transaction)
        if transaction.queued is not None:
            transaction.queued.append(command)
            return b"+QUEUED\r\n"
        return await self._run_command(command)

    async def _execute_transaction(self, transaction: Transaction) -> bytes:
        """Run the queued commands; the reply is null if a watched key was written since its WATCH."""
        commands = transaction.queued or []
        is_unchanged = all(self._write_counts[key] == count for key, count in transaction.watched.items())
        transaction.end()
        if not is_unchanged:
            return _encode_reply(None)
        return b"*%d\r\n" % len(commands) + b"".join([await self._run_command(c) for c in commands])

    def _write(self, key: str, name: str | None, value: Any) -> None:
        """Set a string (no name) or a hash field, or delete it if value is None; `undo_writes` undoes it."""
        table = self.keys if name is None else self.keys.setdefault(key, {})
        at = key if name is None else name
        previous = table.get(at)

        def undo() -> None:
            self._write_counts[key] += 1
            if previous is None:
                table.pop(at, None)
            else:
                table[at] = previous

        self._undo.append((time.monotonic(), undo))
        self._write_counts[key] += 1
        if value is None:
            table.pop(at, None)
        else:
            table[at] = value

    def _append_entry(self, key: str, most: int, fields: list[str]) -> tuple[int, int]:
        """Append an entry to a stream, cut to the `most` newest ones; return the entry's ID."""
        stream = self.keys.setdefault(key, [])
        last = stream[-1][0] if stream else (0, 0)
        entry_id = max((int(time.time() * 1000), 0), (last[0], last[1] + 1))
        entry = (entry_id, fields)
        stream.append(entry)
        self._undo.append((time.monotonic(), lambda: stream.remove(entry) if entry in stream else None))
        del stream[:-most]
        self.updated.set()
        self._notify("write", 0, key=key, event=fields[-1])
        return entry_id

    async def _run_command(self, command: list[str]) -> bytes:
        match command:
            case ["SET", key, value, "NX", "EX", _]:
                if key in self.keys:
                    return _encode_reply(None)
                self._write(key, None, value)
                return b"+OK\r\n"
            case ["SET", key, value, "EX", _]:
                self._write(key, None, value)
                return b"+OK\r\n"
            case ["GET", key]:
                return _encode_reply(self.keys.get(key))
            case ["MGET", *keys]:
                return _encode_reply([self.keys.get(key) for key in keys])
            case ["DEL", key]:
                existed = key in self.keys
                self._write(key, None, None)
                return _encode_reply(int(existed))
            case ["INCR", key]:
                self._write(key, None, str(int(self.keys.get(key, "0")) + 1))
                return _encode_reply(int(self.keys[key]))
            case ["TIME"]:
                now = time.time()
                return _encode_reply([str(int(now)), str(int(now % 1 * 1e6))])
            case ["EXPIRE", key, _]:
                return _encode_reply(int(key in self.keys))
            case ["HSET" | "HSETNX" as word, key, name, value]:
                new = name not in self.keys.get(key, {})
                if new or word == "HSET":
                    self._write(key, name, value)
                return _encode_reply(int(new))
            case ["HGET", key, name]:
                return _encode_reply(self.keys.get(key, {}).get(name))
            case ["HMGET", key, *names]:
                return _encode_reply([self.keys.get(key, {}).get(name) for name in names])
            case ["HGETALL", key]:
                return _encode_reply([part for pair in self.keys.get(key, {}).items() for part in pair])
            case ["HSCAN", key, cursor, "COUNT", count]:
                table = sorted(self.keys.get(key, {}).items())
                at = int(cursor)
                page = table[at : at + int(count)]
                more = at + len(page) if at + len(page) < len(table) else 0
                return _encode_reply([str(more), [part for pair in page for part in pair]])
            case ["XADD", key, "MAXLEN", "~", most, "*", *fields]:
                return _encode_reply(_format_entry_id(self._append_entry(key, int(most), fields)))
            case ["XRANGE", key, "+", "+", *_]:  # the range starts after the last entry
                return _encode_reply([])
            case ["XRANGE", key, start, "+", *count]:
                found = [
                    [_format_entry_id(p), f] for p, f in self.keys.get(key, []) if p >= _parse_entry_id(start)
                ]
                return _encode_reply(found[: int(count[1])] if count else found)
            case ["XREVRANGE", key, "+", "-", "COUNT", "1"]:
                return _encode_reply([[_format_entry_id(p), f] for p, f in self.keys.get(key, [])[-1:]])
            case ["XREAD", *arguments, "STREAMS", key, after]:
                options = dict(zip(arguments[::2], arguments[1::2], strict=True))
                self.read_started.set()
                if "BLOCK" in options:
                    with trio.move_on_after(int(options["BLOCK"]) / 1000):
                        while not self._entries_after(key, after):
                            self.updated = self.updated if not self.updated.is_set() else trio.Event()
                            await self.updated.wait()
                found = self._entries_after(key, after)[: int(options.get("COUNT", 1 << 30))]
                return _encode_reply([[key, found]] if found else None)
        return b"-ERR unknown command\r\n"

    def _entries_after(self, key: str, after: str) -> list[Any]:
        stream = self.keys.get(key, [])
        start = _parse_entry_id(after)
        found: list[Any] = []
        for entry_id, fields in reversed(stream):
            if entry_id <= start:
                break
            found.append([_format_entry_id(entry_id), fields])
        return found[::-1]


def _format_entry_id(entry_id: tuple[int, int]) -> str:
    return f"{entry_id[0]}-{entry_id[1]}"


def _parse_entry_id(text: str) -> tuple[int, int]:
    ms, _, n = text.partition("-")
    return int(ms), int(n or 0)


def _encode_reply(value: Any) -> bytes:
    if value is None:
        return b"*-1\r\n"
    if isinstance(value, int):
        return b":%d\r\n" % value
    if isinstance(value, str):
        return b"$%d\r\n%b\r\n" % (len(value.encode()), value.encode())
    return b"*%d\r\n" % len(value) + b"".join(_encode_reply(v) for v in value)
