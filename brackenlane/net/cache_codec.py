"""The lines between a router and a cache, apart from any socket."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from brackenlane.limits import Limits
from brackenlane.routing.actions import Fetch
from brackenlane.routing.events import Arrival, AttemptResult, CacheStatus
from brackenlane.routing.load_report import read_load_report

VERDICTS = {
    "data": AttemptResult.OK,
    "unchanged": AttemptResult.OK,
    "absent": AttemptResult.MISS,
    "full": AttemptResult.FULL,
    "failed": AttemptResult.ERROR,
    "moot": AttemptResult.NEVER_SENT,
}
NOTES = {
    "hit": CacheStatus.HIT,
    "filled": CacheStatus.FILLED,
    "via_origin": CacheStatus.FILLED_BY_ORIGIN,
    "joined": CacheStatus.JOINED,
    "stale": CacheStatus.STALE,
    "src_refused": CacheStatus.SOURCE_REFUSED,
    "src_broke": CacheStatus.SOURCE_FAILED,
    "src_lacks": CacheStatus.SOURCE_LACKS,
    "no_slot": CacheStatus.NO_PLACE,
    "origin_failed": CacheStatus.ORIGIN_FAILED,
}


LoadReport = tuple[tuple[str, float], ...]


REPORT_SEPARATOR = ";"


class WireError(Exception):
    """Bytes that are no answer of a cache."""


@dataclass(slots=True, frozen=True)
class CacheResponse:
    """One answer as it came."""

    id: str
    word: str
    fields: dict[str, str]
    body: bytes

    @property
    def result(self) -> AttemptResult:
        """What the word says; one that is not known may have run."""
        return VERDICTS.get(self.word, AttemptResult.ERROR)

    @property
    def cache_status(self) -> CacheStatus:
        """How the answer came about."""
        return NOTES.get(self.fields.get("detail", ""), CacheStatus.UNKNOWN)

    @property
    def issued(self) -> float | None:
        """When the origin gave out this copy, in Unix seconds."""
        try:
            return int(self.fields["issued"]) / 1000
        except (KeyError, ValueError):
            return None

    @property
    def delay(self) -> float:
        """Seconds that a fill waited for its source; 0 where the answer tells of none."""
        return (read_figure(self.fields.get("delay", "")) or 0.0) / 1000

    @property
    def report(self) -> LoadReport:
        """The load of the cache by the names of its fields; what is no figure is left out."""
        return read_load_report(self.fields.get("use", ""), REPORT_SEPARATOR)


def read_figure(text: str) -> float | None:
    """A finite number of at least 0; None where the text is none."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def encode_get(
    wire_id: str,
    request: Arrival,
    fetch: Fetch,
    budget: float,
    max_age: float,
    tag: str,
    body: bytes,
    key: str = "",
) -> bytes:
    """The request of one attempt; times are cut to whole milliseconds, never up."""
    fields = {
        "queue": request.cls,
        "path": request.obj,
        "blk": str(request.part),
        "budget": str(max(1, int(budget * 1000))),
    }
    if key:
        fields["uniq"] = key
    if fetch.source != fetch.server:
        fields["miss"] = fetch.source
    if fetch.keep:
        fields["prio"] = str(fetch.keep)
    if max_age > 0:
        fields["within"] = str(max(1, int(max_age * 1000)))
    how = [
        command
        for command, on in (
            ("coalesce", fetch.join),
            ("shallow", fetch.only_if_cached),
            ("freshen", fetch.revalidate),
        )
        if on
    ]
    if how:
        fields["f"] = "+".join(how)
    if tag:
        fields["mine"] = tag
    line = ",".join(f"{name}={value}" for name, value in fields.items())
    return b"GET %b %b %d\r\n%b\r\n" % (wire_id.encode(), line.encode(), len(body), body)


def encode_drop(wire_id: str) -> bytes:
    """Gives a request up."""
    return b"DROP %b\r\n" % wire_id.encode()


def encode_ping() -> bytes:
    """Asks whether the connection lives; the answer comes under an id that no request bears."""
    return b"PING alive\r\n"


class Parser:
    """Answers out of bytes as they come."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._buffer = bytearray()
        self._head: tuple[str, str, dict[str, str], int] | None = None

    @property
    def partial(self) -> bool:
        """Whether an answer has begun and not ended."""
        return bool(self._buffer) or self._head is not None

    def feed(self, data: bytes | bytearray) -> Iterator[CacheResponse]:
        """The answers that these bytes complete."""
        self._buffer += data
        while True:
            if self._head is None:
                end = self._buffer.find(b"\n")
                if end > self._limits.max_cache_line_size or (
                    end < 0 and len(self._buffer) > self._limits.max_cache_line_size
                ):
                    raise WireError("a line too long")
                if end < 0:
                    return
                line = bytes(self._buffer[:end]).rstrip(b"\r")
                del self._buffer[: end + 1]
                if not line:
                    continue
                self._head = self._read_head(line)
            length = self._head[3]
            if len(self._buffer) < length + 2:
                return
            if self._buffer[length : length + 2] != b"\r\n":
                raise WireError("a body not as long as announced")
            wire_id, command, fields, _ = self._head
            with memoryview(self._buffer) as view:
                body = bytes(view[:length])  # copied once
            del self._buffer[: length + 2]
            self._head = None
            yield CacheResponse(wire_id, command, fields, body)

    def _read_head(self, line: bytes) -> tuple[str, str, dict[str, str], int]:
        try:
            wire_id, command, reported, size = line.decode("ascii").split(" ")
            length = int(size)
        except ValueError:
            raise WireError(f"no answer: {line[:60]!r}") from None
        if not 0 <= length <= self._limits.max_object_size:
            raise WireError(f"a body of {length} bytes")
        pairs = (pair.partition("=") for pair in reported.split(",")) if reported != "-" else ()
        return wire_id, command, {name: value for name, _, value in pairs}, length
