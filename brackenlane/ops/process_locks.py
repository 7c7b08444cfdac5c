"""File locks (flock(2)) in a router's shared folder: who is alive, and who may rewrite the log.

The kernel drops a lock with the process that holds it, however that process ends.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from collections.abc import Generator
from pathlib import Path

LIFE_PREFIX = "life."  # one file for each process, locked while it is alive
START_LOCK = "starting"  # locked by the process that starts, or that rewrites the log
RETRY_INTERVAL = 0.01  # seconds between two attempts to get the start lock


class ProcessLocks:
    """The locks of one process and a view of those of the others."""

    def __init__(self, folder: Path, process_id: str) -> None:
        self._folder = folder
        self._process_id = process_id
        self._life_file: int | None = None

    def declare_alive(self) -> None:
        """Take the lock that shows the other processes that this one is alive. Raises OSError."""
        self._life_file = _open_lock_file(self._folder / f"{LIFE_PREFIX}{self._process_id}")
        _try_lock(self._life_file)

    def is_alive(self, process_id: str) -> bool:
        """Whether a process runs, which it does while it holds its lock."""
        if process_id == self._process_id:
            return True
        try:
            file = os.open(self._folder / f"{LIFE_PREFIX}{process_id}", os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            return not _try_lock(file)
        finally:
            os.close(file)

    def delete_stale_files(self) -> None:
        """Delete the lock files of processes that have ended."""
        for path in self._folder.glob(f"{LIFE_PREFIX}*"):
            if not self.is_alive(path.name.removeprefix(LIFE_PREFIX)):
                path.unlink(missing_ok=True)

    @contextlib.contextmanager
    def start_lock(self, timeout: float) -> Generator[bool, None, None]:
        """Hold the lock that one process at a time may hold; yield whether it could be had.

        timeout: seconds to try, in which the process blocks; with 0 it does not wait.
        """
        file = _open_lock_file(self._folder / START_LOCK)
        try:
            deadline = time.monotonic() + timeout
            is_locked = _try_lock(file)
            while not is_locked and time.monotonic() <= deadline and timeout > 0:
                time.sleep(RETRY_INTERVAL)
                is_locked = _try_lock(file)
            yield is_locked
        finally:
            os.close(file)

    def close(self) -> None:
        """Give up the lock of this process: from now on it counts as ended."""
        if self._life_file is not None:
            os.close(self._life_file)
            self._life_file = None

    def delete_own_file(self) -> None:
        """Delete the lock file of this process, if it can be done."""
        with contextlib.suppress(OSError):
            (self._folder / f"{LIFE_PREFIX}{self._process_id}").unlink()


def _open_lock_file(path: Path) -> int:
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)


def _try_lock(file: int) -> bool:
    """Try to get an exclusive lock on an open file, without waiting; return whether this process holds it."""
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return False
    return True
