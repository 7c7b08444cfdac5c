"""The last list on disk: whole or not at all, and never trusted when damaged.

One JSON document: version, checksum, time, the place in the shared store's log up to which it is true,
whether the router left in order, and what the merge remembers. It is replaced atomically (a new file,
synced, renamed over the old one), so a crash at any point leaves the old list or the new one.
"""

from __future__ import annotations

import hashlib
import logging
import os
import time
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, Protocol

import orjson
import trio

from brackenlane.coldstart.stream_position import STREAM_START, StreamPosition
from brackenlane.discovery.records import RememberedMembers
from brackenlane.discovery.registry import (
    Registry,
    encode_definition,
    encode_order,
    read_definition,
    read_order,
)

log = logging.getLogger(__name__)

VERSION = 2
LARGEST = 16 * 2**20  # bytes


class StreamProgress(Protocol):
    """What a last list keeps of the shared store."""

    @property
    def position(self) -> StreamPosition:
        """The position in the event stream up to which everything has been applied."""

    @property
    def purges(self) -> dict[tuple[str, int], float]:
        """The recent purges: Unix seconds by object and group."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A last list."""

    memory: RememberedMembers
    saved: float  # Unix time
    position: StreamPosition = STREAM_START  # in the store's event stream: all up to it is in this list
    left: bool = False  # written as the router left in order; else power or the program was lost
    purges: tuple[tuple[str, int, float], ...] = ()  # told lately: object, group, Unix time


def dump(retained: Snapshot) -> bytes:
    """A last list as it is written."""
    memory = retained.memory
    body = orjson.dumps(
        {
            "saved": retained.saved,
            "place": str(retained.position),
            "left": retained.left,
            "purges": retained.purges,
            "others": [encode_definition(definition) for definition in memory.others],
            "listed": {
                srv: [encode_definition(definition) for definition in listed]
                for srv, listed in memory.listed.items()
            },
            "places": memory.places,
            "orders": [encode_order(*pair) for pair in memory.orders.items()],
        }
    )
    return sign(body)


def sign(body: bytes) -> bytes:
    """A list's own document under its version and checksum."""
    digest = hashlib.sha256(body).hexdigest()
    return orjson.dumps({"version": VERSION, "sha256": digest, "body": body.decode()})


def parse(data: bytes) -> Snapshot:
    """What was remembered, and when; ValueError for what is damaged or of another version."""
    try:
        outer: dict[str, Any] = orjson.loads(data)
        version, body = outer["version"], str(outer["body"]).encode()
        if version not in (1, VERSION):  # the first knew neither place nor leaving
            raise ValueError(f"version {version!r}, not {VERSION}")
        if hashlib.sha256(body).hexdigest() != outer["sha256"]:
            raise ValueError("the checksum does not fit")
        raw: dict[str, Any] = orjson.loads(body)
        listed = {
            str(srv): tuple(read_definition(cache) for cache in caches)
            for srv, caches in raw["listed"].items()
        }
        position = StreamPosition.parse(str(raw.get("place", STREAM_START)))
        memory = RememberedMembers(
            tuple(read_definition(cache) for cache in raw["others"]),
            listed,
            {str(host): str(at) for host, at in raw["places"].items()},
            dict(read_order(order) for order in raw["orders"]),
        )
        purges = tuple((str(obj), int(group), float(at)) for obj, group, at in raw.get("purges", ()))
        return Snapshot(memory, float(raw["saved"]), position, raw.get("left", False) is True, purges)
    except (KeyError, TypeError, AttributeError) as fault:
        raise ValueError(f"{type(fault).__name__}: {fault}") from None


def load(path: Path) -> Snapshot | None:
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


class SnapshotWriter:
    """Writes the last list after changes, once in a while; what fails is said and tried again."""

    def __init__(self, roster: Registry, path: Path, pause: float, store: StreamProgress | None) -> None:
        """store: whose log the roster has taken in up to a place."""
        self._roster, self._path, self._pause, self._store = roster, path, pause, store
        self._changed_event = trio.Event()
        self._written = b""
        roster.changed.append(self._changed)

    def _changed(self) -> None:
        self._changed_event.set()

    async def run(self) -> None:
        """Keep for good."""
        while True:
            await self._changed_event.wait()
            self._changed_event = trio.Event()
            try:
                await self.keep()
            except OSError as fault:
                log.warning("%s: not kept: %s", self._path, fault)
                self._changed_event.set()
            await trio.sleep(self._pause)

    async def keep(self, left: bool = False) -> None:
        """Write what is remembered now, unless that stands there; left: for the last time, in order."""
        retained = Snapshot(self._roster.merge.memory(), 0.0, left=left)
        if self._store:
            purges = tuple((obj, group, at) for (obj, group), at in self._store.purges.items())
            retained = replace(retained, position=self._store.position, purges=purges)
        if (same := dump(retained)) != self._written:
            await trio.to_thread.run_sync(save, self._path, dump(replace(retained, saved=time.time())))
            self._written = same
