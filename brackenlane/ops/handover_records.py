"""Codec of the handover log: typed records to lines and back. Pure.

A record is the line `CRC32 TYPE FIELDS...`, preceded by a newline, so that a record truncated by a crash or a
full disk does not damage the next one. TYPE is one of the characters `* = + - ! ~`.
"""

from __future__ import annotations

import math
import re
import zlib
from collections.abc import Iterator
from typing import NamedTuple

CHECKSUM_DIGITS = 8
# An id or a time; a process id is also a part of a file name.
FIELD = re.compile(r"[\w.:+-]*", re.ASCII)
OVERLONG_LINE = b"#"  # replaces the start of a line that is too long, so that the line is no valid record


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
    """A process claimed a non-idempotent request, by its id; the request may have run there since."""

    request_id: str
    process_id: str


class SubmitReleased(NamedTuple):
    """A claimed request provably never ran; its id may be claimed again."""

    request_id: str


HandoverRecord = (
    ProcessStarted | ProcessServing | MaintenanceEntered | MaintenanceExited | SubmitClaimed | SubmitReleased
)


def encode(record: HandoverRecord) -> bytes:
    """Return the bytes to append for one record."""
    text = " ".join(_encode_fields(record)).encode()
    return b"\n%08x %b\n" % (zlib.crc32(text), text)


def _encode_fields(record: HandoverRecord) -> tuple[str, ...]:
    """Return the character of a record's type, and its fields as text."""
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
    """Return the record of one line; None if the line is not a valid record."""
    checksum, _, text = line.partition(b" ")
    try:
        if len(checksum) != CHECKSUM_DIGITS or int(checksum, 16) != zlib.crc32(text):
            return None
        return _decode_fields(text.decode("ascii").split(" "))
    except ValueError:  # the checksum is not hexadecimal, the text not ASCII, or a field out of range
        return None


def _decode_fields(fields: list[str]) -> HandoverRecord | None:
    """Return the record of a type's character and its fields; None if unknown. Raises ValueError."""
    record: HandoverRecord | None = None
    if not all(FIELD.fullmatch(field) for field in fields[1:]):
        raise ValueError("an id that is no file name, or a time that is no number")
    match fields:
        case ["*", process_id]:
            record = ProcessStarted(process_id)
        case ["=", process_id]:
            record = ProcessServing(process_id)
        case ["+", server, at]:
            record = MaintenanceEntered(server, _decode_time(at))
        case ["-", server, at]:
            record = MaintenanceExited(server, _decode_time(at))
        case ["!", request_id, process_id]:
            record = SubmitClaimed(request_id, process_id)
        case ["~", request_id]:
            record = SubmitReleased(request_id)
    return record


def _decode_time(text: str) -> float:
    """Return a Unix time. Raises ValueError if it is not finite."""
    at = float(text)
    if not math.isfinite(at):
        raise ValueError(f"{text} is no time")
    return at


class RecordReader:
    """Incremental decoder for chunks of any size; damaged lines are counted and skipped."""

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
