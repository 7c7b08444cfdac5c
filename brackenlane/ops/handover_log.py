"""The handover log: state that the processes of one router share in a folder of `$TMPDIR`.

Each process appends records to one file, reads the records of the others, and holds a lock while it is alive.
Once a process serves clients, no call in here waits for another process: an append is one write, and a read
without new records is one fstat(2).
"""

from __future__ import annotations

import logging
import os
from collections import deque
from collections.abc import Callable
from pathlib import Path

from brackenlane.clock import steady_time
from brackenlane.limits import Limits
from brackenlane.ops.handover_file import HandoverFile
from brackenlane.ops.handover_index import HandoverIndex
from brackenlane.ops.handover_records import HandoverRecord, ProcessStarted, SubmitClaimed, encode
from brackenlane.ops.process_locks import ProcessLocks

log = logging.getLogger(__name__)

PROCESS_ID_BYTES = 4


class HandoverLogError(Exception):
    """The folder cannot be used, or the log accepts no more records."""


class HandoverLog:
    """One process's access to the shared log.

    process_id: random id of this process. index: the state that results from all records read so far.
    on_record: called with each record read, including those of this process, in the order of the file.
    """

    def __init__(self, folder: Path, limits: Limits) -> None:
        """Open the log in its folder, and record the start of this process. Raises HandoverLogError."""
        self._limits = limits
        self.write_failures = 0  # records that could not be stored
        self.process_id = os.urandom(PROCESS_ID_BYTES).hex()
        self.index = HandoverIndex(limits.max_handover_claims)
        self.on_record: Callable[[HandoverRecord], None] = lambda _: None
        self._unapplied_records: deque[HandoverRecord] = deque()
        self._locks = ProcessLocks(folder, self.process_id)
        try:
            folder.mkdir(mode=0o700, exist_ok=True)
            with self._locks.start_lock(limits.handover_lock_timeout) as is_locked:
                if not is_locked:
                    raise HandoverLogError("another process starts, and does not get on")
                self._start(folder)
        except OSError as error:
            raise HandoverLogError(f"{folder}: {error.strerror}") from error

    def _start(self, folder: Path) -> None:
        """Join the running processes, and remove the state of those that have terminated."""
        self._locks.lock_own_file()
        max_read_bytes = self._limits.max_handover_log_size + self._limits.handover_log_order_reserve
        self._file = HandoverFile(folder, max_read_bytes, self._limits.max_handover_record_size)
        self.read_new_records()
        for process_id in list(self.index.is_serving):
            if not self._locks.is_alive(process_id):
                self.index.remove_process(process_id)
        self._locks.delete_stale_files()
        # The file is rewritten without damaged, outdated and foreign lines, as no other process reads it.
        if not self.other_processes() and self._file.read_position > 0:
            self._rewrite_file()
        self.append(ProcessStarted(self.process_id))

    def other_processes(self) -> list[str]:
        """Return the ids of the other processes of this router that are alive, in start order."""
        return [
            process_id
            for process_id in self.index.is_serving
            if process_id != self.process_id and self._locks.is_alive(process_id)
        ]

    def other_system_process_numbers(self) -> list[int]:
        """Return the numbers that the system gave the other processes of this router, as far as known."""
        numbers = [self._locks.system_process_number(process_id) for process_id in self.other_processes()]
        return [number for number in numbers if number]

    def read_new_records(self) -> None:
        """Apply the records that were appended since the last call. Raises OSError."""
        try:
            self._unapplied_records.extend(self._file.read_new())
        finally:
            # Applying a record may read the log again: the records remain in their order.
            while self._unapplied_records:
                self._apply(self._unapplied_records.popleft())

    def _apply(self, record: HandoverRecord) -> None:
        self.index.apply(record)
        try:
            self.on_record(record)
        except Exception:  # one record must not hide those after it, which may be orders
            log.exception("%r of the handover log cannot be applied", record)

    def append(self, record: HandoverRecord) -> None:
        """Append a record and apply all records up to it. Raises HandoverLogError if it cannot be stored."""
        data = encode(record)
        max_bytes = self._limits.max_handover_log_size
        if not isinstance(record, SubmitClaimed):
            max_bytes += self._limits.handover_log_order_reserve
        try:
            if self._file.size() + len(data) > max_bytes:
                raise self._write_failure("the handover log is full")
            if not self._file.append(data):
                raise self._write_failure("the handover log accepted only a part of a record")
            self.read_new_records()
        except OSError as error:
            raise self._write_failure(f"{self._file.path}: {error.strerror}") from error

    def _write_failure(self, reason: str) -> HandoverLogError:
        self.write_failures += 1
        return HandoverLogError(reason)

    def file_size(self) -> int:
        """Return the size of the file in bytes; 0 if it cannot be read."""
        try:
            return self._file.size()
        except OSError:
            return 0

    def compact(self) -> None:
        """Replace the file by a summary if it has grown or was deleted, unless another process is alive.

        To be called periodically.
        """
        if self._file.is_at_path() and self._file.read_position < self._limits.handover_log_compaction_size:
            return
        try:
            with self._locks.start_lock(timeout=0.0) as is_locked:
                if is_locked and not self.other_processes():
                    self._rewrite_file()
        except OSError as error:
            log.warning("the handover log could not be rewritten: %s", error.strerror)

    def _rewrite_file(self) -> None:
        """Replace the file by the records that result in the index. Raises OSError."""
        self._file.replace([*self.index.summary(), *self.index.recent_returns(steady_time())])

    def close(self) -> None:
        """Release the lock and close the file; the other processes detect that immediately."""
        self._locks.close()
        self._file.close()
        self._locks.delete_own_file()
