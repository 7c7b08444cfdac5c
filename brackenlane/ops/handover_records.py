"""The lines of the ledger that the processes of one router share, and what they add up to.

Codec and fold, pure. A line is `CRC KIND WORDS...`, with an empty line before it: what a crash or a full disk
left torn spoils itself alone.
"""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum


class RecordType(Enum):
    """What a record tells, with its words."""

    BORN = "*"  # process: it starts
    SERVES = "="  # process: it serves clients from now on
    ENTER = "+"  # cache, Unix time: taken out by hand
    EXIT = "-"  # cache, Unix time: may serve again
    CLAIM = "!"  # id of a submit, process: it may run from now on
    RELEASE = "~"  # id of a submit: it provably never ran


FIELD_COUNTS = {
    RecordType.BORN: 1,
    RecordType.SERVES: 1,
    RecordType.ENTER: 2,
    RecordType.EXIT: 2,
    RecordType.CLAIM: 2,
    RecordType.RELEASE: 1,
}


@dataclass(slots=True, frozen=True)
class Record:
    """One record."""

    kind: RecordType
    fields: tuple[str, ...]

    @property
    def at(self) -> float:
        """The Unix time of an order."""
        return float(self.fields[1])


def encode(record: Record) -> bytes:
    """The bytes of one record, appended as they are."""
    text = " ".join((record.kind.value, *record.fields)).encode()
    return b"\n%08x %b\n" % (zlib.crc32(text), text)


def decode(line: bytes) -> Record | None:
    """The record of one line; None if it is none, or torn."""
    crc, _, text = line.partition(b" ")
    try:
        if len(crc) != 8 or int(crc, 16) != zlib.crc32(text):
            return None
        sign, *fields = text.decode("ascii").split(" ")
        kind = RecordType(sign)
        if len(fields) != FIELD_COUNTS[kind]:
            return None
        record = Record(kind, tuple(fields))
        if kind in (RecordType.ENTER, RecordType.EXIT):
            float(record.at)
        return record
    except ValueError:
        return None


class Reader:
    """Records out of bytes as they come; what is no record is counted and passed over."""

    def __init__(self, line: int) -> None:
        """line: the longest, in bytes."""
        self._most, self._rest = line, b""
        self.spoilt = 0

    def feed(self, data: bytes) -> Iterator[Record]:
        """The records that these bytes complete."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > self._most:
            self._rest = b"#"  # no record is so long: whatever ends this line, it is spoilt
        for line in lines:
            if record := decode(line):
                yield record
            elif line:
                self.spoilt += 1


class HandoverIndex:
    """What the records add up to: who serves, which caches are out, which submits may have run."""

    def __init__(self, submits: int) -> None:
        """submits: ids remembered, at most; the oldest are forgotten first."""
        self._most = submits
        self.serving: dict[str, bool] = {}  # by process, in the order of their births
        self.out: dict[str, float] = {}  # by cache: the Unix time from which it is out
        self.submits: OrderedDict[str, str] = OrderedDict()  # by id: the process that claimed it first

    def take(self, record: Record) -> None:
        """Add one record."""
        match record.kind, record.fields:
            case RecordType.BORN, (process,):
                self.serving.setdefault(process, False)
            case RecordType.SERVES, (process,):
                self.serving[process] = True
            case RecordType.ENTER, (cache, _):
                self.out.setdefault(cache, record.at)
            case RecordType.EXIT, (cache, _):
                self.out.pop(cache, None)
            case RecordType.CLAIM, (txn, process):
                self.submits.setdefault(txn, process)
                if len(self.submits) > self._most:
                    self.submits.popitem(last=False)
            case RecordType.RELEASE, (txn,):
                self.submits.pop(txn, None)

    def forget(self, process: str) -> None:
        """A process is no more; what it claimed may have run all the same."""
        self.serving.pop(process, None)

    def summary(self) -> Iterator[Record]:
        """The fewest records that add up to the same."""
        for process, serves in self.serving.items():
            yield Record(RecordType.BORN, (process,))
            if serves:
                yield Record(RecordType.SERVES, (process,))
        for cache, at in self.out.items():
            yield Record(RecordType.ENTER, (cache, repr(at)))
        for txn, process in self.submits.items():
            yield Record(RecordType.CLAIM, (txn, process))
