"""Locks (flock(2)) on files in a router's folder: which processes are alive, and which may rewrite the log.

The kernel releases a lock when the process that holds it terminates, for whatever reason.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from collections.abc import Generator
from pathlib import Path

LIVENESS_PREFIX = "life."  # start of the name of a process's lock file, which it locks while it is alive
START_LOCK_NAME = "starting"  # the file locked by a process that is starting or rewriting the log
RETRY_INTERVAL = 0.01  # seconds between two attempts to acquire the start lock


class ProcessLocks:
    """The locks of one process, and checks of the locks of other processes."""

    def __init__(self, folder: Path, process_id: str) -> None:
        self._folder = folder
        self._process_id = process_id
        self._own_file: int | None = None

    def lock_own_file(self) -> None:
        """Acquire the lock by which other processes detect that this one is alive. Raises OSError."""
        self._own_file = _open_lock_file(self._folder / f"{LIVENESS_PREFIX}{self._process_id}")
        _try_lock(self._own_file)
        with contextlib.suppress(OSError):  # a full disk: the others only do not learn the number
            os.pwrite(self._own_file, str(os.getpid()).encode(), 0)

    def system_process_number(self, process_id: str) -> int:
        """Return the number that the system gave a process; 0 if it has not told it."""
        try:
            return int((self._folder / f"{LIVENESS_PREFIX}{process_id}").read_bytes())
        except (OSError, ValueError):
            return 0

    def is_alive(self, process_id: str) -> bool:
        """Whether a process is running, that is, whether its lock is held."""
        if process_id == self._process_id:
            return True
        try:
            file = os.open(self._folder / f"{LIVENESS_PREFIX}{process_id}", os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            return not _try_lock(file)
        finally:
            os.close(file)

    def delete_stale_files(self) -> None:
        """Delete the lock files of processes that have terminated."""
        for path in self._folder.glob(f"{LIVENESS_PREFIX}*"):
            if not self.is_alive(path.name.removeprefix(LIVENESS_PREFIX)):
                path.unlink(missing_ok=True)

    @contextlib.contextmanager
    def start_lock(self, timeout: float) -> Generator[bool, None, None]:
        """Hold the lock that only one process may hold at a time; yield whether it was acquired.

        timeout: seconds to retry, during which the whole process blocks; with 0 there is one attempt.
        """
        file = _open_lock_file(self._folder / START_LOCK_NAME)
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
        """Release the lock of this process, which then counts as terminated."""
        if self._own_file is not None:
            os.close(self._own_file)
            self._own_file = None

    def delete_own_file(self) -> None:
        """Delete the lock file of this process; errors are ignored."""
        with contextlib.suppress(OSError):
            (self._folder / f"{LIVENESS_PREFIX}{self._process_id}").unlink()


def _open_lock_file(path: Path) -> int:
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)


def _try_lock(file: int) -> bool:
    """Try to acquire an exclusive lock on an open file without blocking; return whether it is held."""
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return False
    return True
