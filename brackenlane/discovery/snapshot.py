"""The snapshot on disk: replaced atomically, used as a whole or not at all, renamed if it is damaged.

A new file is written, synced and renamed over the old one, so that a crash at any point leaves one of them.
"""

from __future__ import annotations

import logging
import os
from dataclasses import replace
from enum import Enum, auto
from pathlib import Path
from typing import Protocol

import trio

from brackenlane.clock import steady_time
from brackenlane.coldstart.stream_position import STREAM_START, StreamPosition
from brackenlane.discovery.errors import SnapshotError, SnapshotTooLargeError
from brackenlane.discovery.records import PersistedMembership
from brackenlane.discovery.registry import Registry
from brackenlane.discovery.snapshot_codec import Snapshot, dump, parse

log = logging.getLogger(__name__)

MAX_FILE_SIZE = 16 * 2**20  # bytes


class StreamProgress(Protocol):
    """The state of the shared store's client that a snapshot contains."""

    @property
    def position(self) -> StreamPosition:
        """The position in the event stream up to which all events have been applied."""

    @property
    def unshared(self) -> tuple[str, ...]:
        """The encoded events that are not known to be in the store, oldest first."""


def load(path: Path) -> Snapshot | None:
    """Load a snapshot. Return None without a file or if it is unusable, in which case it is renamed."""
    try:
        return parse(_read_file(path))
    except FileNotFoundError:
        return None
    except (SnapshotError, OSError) as error:
        _set_aside(path, error)
        return None


def _read_file(path: Path) -> bytes:
    if path.stat().st_size > MAX_FILE_SIZE:
        raise SnapshotTooLargeError("the file exceeds the maximum size")
    return path.read_bytes()


def _set_aside(path: Path, reason: Exception) -> None:
    aside = path.with_name(path.name + ".damaged")
    log.warning("snapshot %s can't be used: %s; it is set aside as %s", path, reason, aside.name)
    try:
        os.replace(path, aside)
    except OSError as error:
        log.warning("snapshot %s cannot be renamed: %s", path, error)


def save(path: Path, data: bytes) -> None:
    """Replace a snapshot file atomically and durably."""
    new = path.with_name(path.name + ".new")
    with open(new, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(new, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class SnapshotContent(Enum):
    """What a snapshot contains."""

    EVERYTHING = auto()
    OPERATOR_CHANGES = auto()  # the operators' orders, purges and unshared events, but no caches


class SnapshotWriter:
    """Writes the snapshot after changes, at most once per interval, and before a change is answered.

    A failed write is logged and retried.
    """

    def __init__(
        self,
        registry: Registry,
        path: Path,
        interval: float,
        store: StreamProgress | None,
        content: SnapshotContent = SnapshotContent.EVERYTHING,
    ) -> None:
        """`interval`: seconds; `store`: the client of the shared store, if one is used."""
        self._registry = registry
        self._content = content
        self._lock = trio.Lock()
        self._is_shutting_down = False
        self._path = path
        self._interval = interval
        self._store = store
        self._changed = trio.Event()
        self._written = b""  # last written document, encoded with `saved_at` 0 for comparison
        registry.on_change_callbacks.append(self.notify_changed)

    def notify_changed(self) -> None:
        """Write the snapshot within the interval."""
        self._changed.set()

    async def run(self) -> None:
        """Write the snapshot after changes, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            await self.store_change()
            await trio.sleep(self._interval)

    async def write_last(self) -> None:
        """Write the state at a graceful shutdown; a failure is logged, and the last snapshot remains."""
        self._is_shutting_down = True
        await self.store_change()

    async def store_change(self) -> bool:
        """Write the state now, for example before a change is answered; return whether it is on disk.

        A failure is logged. If it may pass, `run` tries again within the interval.
        """
        try:
            await self.write()
        except OSError as error:
            log.warning("snapshot %s not written: %s", self._path, error)
            self.notify_changed()
            return False
        except Exception:  # a value that cannot be encoded must not end the program
            log.exception("snapshot %s cannot be encoded", self._path)
            return False
        return True

    async def write(self) -> None:
        """Write the state if it changed since the last write."""
        async with self._lock:
            snapshot = self._snapshot()
            document = dump(snapshot)
            if document == self._written:
                return
            data = dump(replace(snapshot, saved_at=steady_time()))
            await trio.to_thread.run_sync(save, self._path, data)
            self._written = document

    def _snapshot(self) -> Snapshot:
        """Return the present state, without the time."""
        merge = self._registry.merge
        is_complete = self._content is SnapshotContent.EVERYTHING
        memory = merge.snapshot_content() if is_complete else PersistedMembership(orders=dict(merge.orders))
        purges = tuple((obj, group, at) for (obj, group), at in self._registry.purges.by_target.items())
        snapshot = Snapshot(memory, 0.0, is_shutdown=self._is_shutting_down, purges=purges)
        if self._store is None:
            return snapshot
        # The position stands for the caches, too: without them, all has to be read again.
        position = self._store.position if is_complete else STREAM_START
        return replace(snapshot, position=position, unshared=self._store.unshared)
