"""Codec of the handover log: typed records to lines and back. Pure.

A record is the line `CRC32 KIND FIELDS...` behind an empty line, so that a record torn by a crash or a full
disk damages no other. KIND is one of the signs `* = + - ! ~`.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from typing import NamedTuple

CHECKSUM_DIGITS = 8
OVERLONG_LINE = b"#"  # stands for the start of a line that is too long: no record begins so


class ProcessStarted(NamedTuple):
    """A process has started; it does not serve clients yet."""

    process_id: str


class ProcessServing(NamedTuple):
    """A process serves clients from now on."""

    process_id: str


class MaintenanceEntered(NamedTuple):
    """An operator took a cache out of service at a Unix time."""

    server: str
    at: float


class MaintenanceExited(NamedTuple):
    """An operator put a cache back into service at a Unix time."""

    server: str
    at: float


class SubmitClaimed(NamedTuple):
    """A process claims a non-idempotent request, by its id: from now on the request may have run there."""

    request_id: str
    process_id: str


class SubmitReleased(NamedTuple):
    """A claimed request provably never ran, so that its id may be claimed again."""

    request_id: str


HandoverRecord = (
    ProcessStarted | ProcessServing | MaintenanceEntered | MaintenanceExited | SubmitClaimed | SubmitReleased
)


def encode(record: HandoverRecord) -> bytes:
    """Return the bytes of one record, to be appended as they are."""
    text = " ".join(_fields(record)).encode()
    return b"\n%08x %b\n" % (zlib.crc32(text), text)


def _fields(record: HandoverRecord) -> tuple[str, ...]:
    """Return the sign of a record's kind and its fields as text."""
    match record:
        case ProcessStarted(process_id):
            return "*", process_id
        case ProcessServing(process_id):
            return "=", process_id
        case MaintenanceEntered(server, at):
            return "+", server, repr(at)
        case MaintenanceExited(server, at):
            return "-", server, repr(at)
        case SubmitClaimed(request_id, process_id):
            return "!", request_id, process_id
        case SubmitReleased(request_id):
            return "~", request_id


def decode(line: bytes) -> HandoverRecord | None:
    """Return the record of one line; None if the line holds none, or a damaged one."""
    checksum, _, text = line.partition(b" ")
    try:
        if len(checksum) != CHECKSUM_DIGITS or int(checksum, 16) != zlib.crc32(text):
            return None
        return _read_fields(text.decode("ascii").split(" "))
    except ValueError:  # not hexadecimal, not ASCII, or no time
        return None


def _read_fields(fields: list[str]) -> HandoverRecord | None:
    """Return the record of a kind's sign and its fields; None for an unknown kind. Raises ValueError."""
    record: HandoverRecord | None = None
    match fields:
        case ["*", process_id]:
            record = ProcessStarted(process_id)
        case ["=", process_id]:
            record = ProcessServing(process_id)
        case ["+", server, at]:
            record = MaintenanceEntered(server, float(at))
        case ["-", server, at]:
            record = MaintenanceExited(server, float(at))
        case ["!", request_id, process_id]:
            record = SubmitClaimed(request_id, process_id)
        case ["~", request_id]:
            record = SubmitReleased(request_id)
    return record


class RecordReader:
    """Incremental decoder of pieces of any size; damaged lines are counted and skipped."""

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._incomplete_line = b""
        self.damaged_lines = 0

    def feed(self, data: bytes) -> Iterator[HandoverRecord]:
        """Yield the records that these bytes complete."""
        *lines, self._incomplete_line = (self._incomplete_line + data).split(b"\n")
        if len(self._incomplete_line) > self._max_line_bytes:
            self._incomplete_line = OVERLONG_LINE
        for line in lines:
            record = decode(line)
            if record is not None:
                yield record
            elif line:
                self.damaged_lines += 1
