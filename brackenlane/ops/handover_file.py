"""Appends to, reads and rewrites the file of a handover log. No call waits for another process."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from pathlib import Path

from brackenlane.ops.handover_records import HandoverRecord, RecordReader, encode

FILE_NAME = "ledger"
FOREIGN_NAME = "ledger.foreign"  # the new name of anything at the log's path that is not a regular file
TEMPORARY_NAME = "ledger.new"  # the file that replaces the log, until it is complete
READ_BYTES = 65_536
OPEN_FLAGS = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC


class HandoverFile:
    """The open log file, and the position up to which it has been read. All methods raise OSError."""

    def __init__(self, folder: Path, max_read_bytes: int, max_line_bytes: int) -> None:
        """Open or create the file; only its last `max_read_bytes` are read if it is larger."""
        self.path = folder / FILE_NAME
        self._folder = folder
        self._max_read_bytes = max_read_bytes
        self._max_line_bytes = max_line_bytes
        self._open()

    def _open(self) -> None:
        if self.path.exists() and not self.path.is_file():
            os.replace(self.path, self._folder / FOREIGN_NAME)
        self._file = os.open(self.path, OPEN_FLAGS, 0o600)
        # A file larger than max_read_bytes was not written by a router.
        self.read_position = max(0, self.size() - self._max_read_bytes)
        self._reader = RecordReader(self._max_line_bytes)

    def size(self) -> int:
        """Return the size of the open file in bytes."""
        return os.fstat(self._file).st_size

    def is_at_path(self) -> bool:
        """Whether the path still refers to the open file, which may have been deleted or replaced."""
        try:
            return os.stat(self.path).st_ino == os.fstat(self._file).st_ino
        except OSError:
            return False

    def read_new(self) -> Iterator[HandoverRecord]:
        """Yield the records after those already read, up to the size that the file has at the call."""
        end = self.size()
        while self.read_position < end:
            data = os.pread(self._file, min(READ_BYTES, end - self.read_position), self.read_position)
            if not data:
                return
            self.read_position += len(data)
            yield from self._reader.feed(data)

    def append(self, data: bytes) -> bool:
        """Append the bytes of a record in one write; return whether all bytes were written."""
        return os.write(self._file, data) == len(data)

    def replace(self, records: Iterable[HandoverRecord]) -> None:
        """Atomically replace the file by one that contains these records, which count as read.

        The new file is opened before it is renamed to the log's path, and the old one is closed last. So a
        failure at any point leaves the old file in use, and never a closed descriptor, whose number may
        belong to a client's socket by then.
        """
        data = b"".join(encode(record) for record in records)
        temporary_path = self._folder / TEMPORARY_NAME
        new_file = os.open(temporary_path, OPEN_FLAGS | os.O_TRUNC, 0o600)
        try:
            _write_all(new_file, data)
            os.replace(temporary_path, self.path)
        except OSError:
            os.close(new_file)
            raise
        old_file = self._file
        self._file = new_file
        self._reader = RecordReader(self._max_line_bytes)
        self.read_position = len(data)
        os.close(old_file)

    def close(self) -> None:
        """Close the file."""
        os.close(self._file)


def _write_all(file: int, data: bytes) -> None:
    """Write all bytes, repeating the call after a partial write. Raises OSError."""
    unwritten = memoryview(data)
    while unwritten:
        unwritten = unwritten[os.write(file, unwritten) :]
