"""The snapshot on disk: replaced atomically, used as a whole or not at all, renamed if it is damaged.

A new file is written, synced and renamed over the old one, so that a crash at any point leaves one of them.
"""

from __future__ import annotations

import logging
import os
from dataclasses import replace
from pathlib import Path
from typing import Protocol

import trio

from brackenlane.clock import steady_time
from brackenlane.coldstart.stream_position import StreamPosition
from brackenlane.discovery.errors import SnapshotError, SnapshotTooLargeError
from brackenlane.discovery.registry import Registry
from brackenlane.discovery.snapshot_codec import Snapshot, dump, parse

log = logging.getLogger(__name__)

MAX_FILE_SIZE = 16 * 2**20  # bytes


class StreamProgress(Protocol):
    """The state of the shared store's event stream that a snapshot contains."""

    @property
    def position(self) -> StreamPosition:
        """The position in the event stream up to which all events have been applied."""

    @property
    def purges(self) -> dict[tuple[str, int], float]:
        """The times of recent purges in Unix seconds, by object and group."""


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


class SnapshotWriter:
    """Writes the snapshot after changes, at most once per interval. A failed write is logged and retried."""

    def __init__(self, registry: Registry, path: Path, interval: float, store: StreamProgress | None) -> None:
        """`interval`: seconds; `store`: progress in the shared store's event stream, if a store is used."""
        self._registry = registry
        self._path = path
        self._interval = interval
        self._store = store
        self._changed = trio.Event()
        self._written = b""  # last written document, encoded with `saved_at` 0 for comparison
        registry.on_change_callbacks.append(self._notify_changed)

    def _notify_changed(self) -> None:
        self._changed.set()

    async def run(self) -> None:
        """Write the snapshot after changes, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            try:
                await self.write()
            except OSError as error:
                log.warning(
                    "snapshot %s not written: %s; next attempt in %.1f s", self._path, error, self._interval
                )
                self._changed.set()
            except Exception:  # a value that cannot be encoded must not end the program
                log.exception("snapshot %s cannot be encoded", self._path)
            await trio.sleep(self._interval)

    async def write_last(self) -> None:
        """Write the state at a graceful shutdown; a failure is logged, and the last snapshot remains."""
        try:
            await self.write(is_shutdown=True)
        except Exception:
            log.exception("snapshot %s not written at the shutdown", self._path)

    async def write(self, is_shutdown: bool = False) -> None:
        """Write the state if it changed since the last write; `is_shutdown`: at a graceful shutdown."""
        snapshot = Snapshot(self._registry.merge.snapshot_content(), 0.0, is_shutdown=is_shutdown)
        if self._store:
            purges = tuple((obj, group, at) for (obj, group), at in self._store.purges.items())
            snapshot = replace(snapshot, position=self._store.position, purges=purges)
        document = dump(snapshot)
        if document == self._written:
            return
        data = dump(replace(snapshot, saved_at=steady_time()))
        await trio.to_thread.run_sync(save, self._path, data)
        self._written = document
