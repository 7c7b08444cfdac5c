"""The ledger in `$TMPDIR` that the processes of one router append to, and the locks that tell who lives.

Nothing in here waits for another process once this one serves: an append is one write, a look is one fstat.
"""

from __future__ import annotations

import contextlib
import fcntl
import logging
import os
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from brackenlane.limits import Limits
from brackenlane.ops.handover_records import HandoverIndex, Reader, Record, RecordType, encode

log = logging.getLogger(__name__)


class HandoverLogError(Exception):
    """The folder cannot be used, or the ledger takes no more."""


class HandoverLog:
    """One process's end of the shared ledger.

    hear: called with each record that is new, this process's own among them, in the order of the file.
    """

    def __init__(self, folder: Path, limits: Limits) -> None:
        """Open it, and tell the others that this process starts. Raises HandoverLogError."""
        self._folder, self._limits = folder, limits
        self._path = folder / "ledger"
        self.me = os.urandom(4).hex()
        self.index = HandoverIndex(limits.max_handover_claims)
        self.on_record: Callable[[Record], None] = lambda _: None
        self._file = self._life = -1
        try:
            folder.mkdir(mode=0o700, exist_ok=True)
            with self._starting():
                self._life = self._lock(folder / f"life.{self.me}")
                self._open()
                self.look()
                for process in [p for p in self.index.serving if not self.is_alive(p)]:
                    self.index.forget(process)
                for stray in folder.glob("life.*"):
                    if not self.is_alive(stray.name[5:]):
                        stray.unlink(missing_ok=True)
                if not self.others and self._size > 0:  # what is torn, old or foreign in it goes
                    self._rewrite()
                self.append(RecordType.BORN, self.me)
        except OSError as fault:
            raise HandoverLogError(f"{folder}: {fault.strerror}") from None

    # Who lives

    @contextlib.contextmanager
    def _starting(self) -> Iterator[None]:
        """One process at a time starts or rewrites the ledger; who holds it up for long is not waited for."""
        fd = os.open(self._folder / "starting", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            end = time.monotonic() + self._limits.handover_lock_timeout
            while not _locked(fd):
                if time.monotonic() > end:
                    raise HandoverLogError("another process starts, and does not get on")
                time.sleep(0.01)
            yield
        finally:
            os.close(fd)

    def _lock(self, path: Path) -> int:
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        _locked(fd)
        return fd

    def is_alive(self, process: str) -> bool:
        """Whether a process lives: it holds a lock, which goes with it however it ends."""
        if process == self.me:
            return True
        try:
            fd = os.open(self._folder / f"life.{process}", os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            return not _locked(fd)
        finally:
            os.close(fd)

    @property
    def others(self) -> list[str]:
        """The other processes of this router that live, in the order of their births."""
        return [p for p in self.index.serving if p != self.me and self.is_alive(p)]

    # The file

    def _open(self) -> None:
        if self._path.exists() and not self._path.is_file():  # something else bears its name
            os.replace(self._path, self._folder / "ledger.foreign")
        self._file = os.open(self._path, os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
        # Of one that is too large, which nobody here has written, the end alone is read.
        most = self._limits.max_handover_log_size + self._limits.handover_log_order_reserve
        self._size = max(0, os.fstat(self._file).st_size - most)
        self._reader = Reader(self._limits.max_handover_record_size)

    def look(self) -> None:
        """Take in what is new."""
        size = os.fstat(self._file).st_size
        while self._size < size:
            data = os.pread(self._file, min(65_536, size - self._size), self._size)
            if not data:
                return
            self._size += len(data)
            for record in self._reader.feed(data):
                self.index.take(record)
                self.on_record(record)

    def append(self, kind: RecordType, *fields: str) -> None:
        """Append a record and take in all up to it. Raises HandoverLogError where it can't be kept."""
        data = encode(Record(kind, fields))
        try:
            capacity = self._limits.max_handover_log_size + (
                0 if kind is RecordType.CLAIM else self._limits.handover_log_order_reserve
            )
            if os.fstat(self._file).st_size + len(data) > capacity:
                raise HandoverLogError("the ledger is full")
            if os.write(self._file, data) < len(data):
                raise HandoverLogError("the ledger took a part of a record")
            self.look()
        except OSError as fault:
            raise HandoverLogError(f"{self._path}: {fault.strerror}") from None

    def tend(self) -> None:
        """Rewrite it where it has grown or is gone, if no other process lives. To be called now and then."""
        try:
            there = os.stat(self._path).st_ino == os.fstat(self._file).st_ino
        except OSError:
            there = False
        if there and self._size < self._limits.handover_log_compaction_size:
            return
        try:
            with self._starting_now() as mine:
                if mine and not self.others:
                    self._rewrite()
        except OSError as fault:
            log.warning("the ledger could not be rewritten: %s", fault.strerror)

    @contextlib.contextmanager
    def _starting_now(self) -> Iterator[bool]:
        fd = os.open(self._folder / "starting", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            yield _locked(fd)
        finally:
            os.close(fd)

    def _rewrite(self) -> None:
        """The same in fewest words, in a new file that takes the old one's place in one step."""
        draft = self._folder / "ledger.new"
        data = b"".join(encode(record) for record in self.index.summary())
        draft.write_bytes(data)
        os.replace(draft, self._path)
        os.close(self._file)
        self._open()
        self._size = len(data)

    def close(self) -> None:
        """This process is no more, for the others."""
        for fd in (self._life, self._file):
            if fd >= 0:
                os.close(fd)
        with contextlib.suppress(OSError):
            (self._folder / f"life.{self.me}").unlink()


def _locked(fd: int) -> bool:
    """Whether the lock is ours now."""
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return False
    return True
