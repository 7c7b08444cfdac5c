"""The last list on disk: whole or not at all, and never trusted when damaged.

One JSON document: version, checksum, time and what the merge remembers. It is replaced atomically (a new
file, synced, renamed over the old one), so a crash at any point leaves the old list or the new one.
"""

from __future__ import annotations

import hashlib
import logging
import os
import time
from pathlib import Path
from typing import Any

import orjson
import trio

from brackenlane.discovery.merge import Memory
from brackenlane.discovery.roster import Roster, box_json, order_json, read_box, read_order

log = logging.getLogger(__name__)

VERSION = 1
LARGEST = 16 * 2**20  # bytes


def dump(memory: Memory, saved: float) -> bytes:
    """A last list as it is written."""
    body = orjson.dumps({
        "saved": saved, "others": [box_json(what) for what in memory.others],
        "listed": {srv: [box_json(what) for what in listed] for srv, listed in memory.listed.items()},
        "places": memory.places, "orders": [order_json(*pair) for pair in memory.orders.items()]})
    digest = hashlib.sha256(body).hexdigest()
    return orjson.dumps({"version": VERSION, "sha256": digest, "body": body.decode()})


def parse(data: bytes) -> tuple[Memory, float]:
    """What was remembered, and when; ValueError for what is damaged or of another version."""
    try:
        outer: dict[str, Any] = orjson.loads(data)
        version, body = outer["version"], str(outer["body"]).encode()
        if version != VERSION:
            raise ValueError(f"version {version!r}, not {VERSION}")
        if hashlib.sha256(body).hexdigest() != outer["sha256"]:
            raise ValueError("the checksum does not fit")
        raw: dict[str, Any] = orjson.loads(body)
        listed = {str(srv): tuple(read_box(box) for box in boxes) for srv, boxes in raw["listed"].items()}
        return Memory(tuple(read_box(box) for box in raw["others"]), listed,
                      {str(host): str(at) for host, at in raw["places"].items()},
                      dict(read_order(order) for order in raw["orders"])), float(raw["saved"])
    except (KeyError, TypeError, AttributeError) as fault:
        raise ValueError(f"{type(fault).__name__}: {fault}") from None


def load(path: Path) -> tuple[Memory, float] | None:
    """The last list; a damaged one is set aside, with a log line, and none is had."""
    try:
        if path.stat().st_size > LARGEST:
            raise ValueError("too large")
        return parse(path.read_bytes())
    except FileNotFoundError:
        return None
    except (ValueError, OSError) as fault:
        aside = path.with_name(path.name + ".damaged")
        log.warning("%s can't be used: %s; it is set aside as %s", path, fault, aside.name)
        try:
            os.replace(path, aside)
        except OSError as wrong:
            log.warning("%s: %s", path, wrong)
        return None


def save(path: Path, data: bytes) -> None:
    """Replace the last list, so that a crash leaves the old one or the new one."""
    new = path.with_name(path.name + ".new")
    with open(new, "wb") as out:
        out.write(data)
        out.flush()
        os.fsync(out.fileno())
    os.replace(new, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class Keeper:
    """Writes the last list after changes, once in a while; what fails is said and tried again."""

    def __init__(self, roster: Roster, path: Path, pause: float) -> None:
        self._roster, self._path, self._pause = roster, path, pause
        self._news = trio.Event()
        self._written = b""
        roster.changed.append(self._changed)

    def _changed(self) -> None:
        self._news.set()

    async def run(self) -> None:
        """Keep for good."""
        while True:
            await self._news.wait()
            self._news = trio.Event()
            try:
                await self.keep()
            except OSError as fault:
                log.warning("%s: not kept: %s", self._path, fault)
                self._news.set()
            await trio.sleep(self._pause)

    async def keep(self) -> None:
        """Write what is remembered now, unless that is what stands there."""
        memory = self._roster.merge.memory()
        if (same := dump(memory, 0.0)) != self._written:
            await trio.to_thread.run_sync(save, self._path, dump(memory, time.time()))
            self._written = same
