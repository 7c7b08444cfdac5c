"""Codec of the protocol between a router and a cache: requests to bytes, bytes to responses.

Pure and incremental. The words of the wire stand here alone.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from brackenlane.limits import Limits
from brackenlane.routing.actions import Fetch
from brackenlane.routing.events import Arrival, AttemptResult, CacheStatus
from brackenlane.routing.load_report import read_load_report

RESULTS_BY_WORD = {
    "data": AttemptResult.OK,
    "unchanged": AttemptResult.OK,
    "absent": AttemptResult.MISS,
    "full": AttemptResult.FULL,
    "failed": AttemptResult.ERROR,
    "moot": AttemptResult.NEVER_SENT,
}
STATUSES_BY_DETAIL = {
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
REPORT_SEPARATOR = ";"
UNCHANGED_WORD = "unchanged"
LINE_END = b"\r\n"
MS_PER_S = 1000

LoadReport = tuple[tuple[str, float], ...]
"""Names and values of a cache's load report."""


class WireError(Exception):
    """Bytes that are no response of a cache; the message says what was found."""


@dataclass(slots=True, frozen=True)
class CacheResponse:
    """One response as it was received."""

    id: str
    word: str
    fields: dict[str, str]
    body: bytes

    @property
    def result(self) -> AttemptResult:
        """The result that the status word stands for; of an unknown word the request may have run."""
        return RESULTS_BY_WORD.get(self.word, AttemptResult.ERROR)

    @property
    def cache_status(self) -> CacheStatus:
        """How the cache obtained the object, if it says so."""
        return STATUSES_BY_DETAIL.get(self.fields.get("detail", ""), CacheStatus.UNKNOWN)

    @property
    def tag(self) -> str:
        """The entity tag of the copy, without quotes; empty if there is none."""
        return self.fields.get("entity", "").strip('"')

    @property
    def is_unchanged(self) -> bool:
        """Whether the copy that the client holds is current."""
        return self.word == UNCHANGED_WORD

    @property
    def issued(self) -> float | None:
        """Unix time at which the origin issued this copy; None if the response does not say."""
        try:
            return int(self.fields["issued"]) / MS_PER_S
        except (KeyError, ValueError):
            return None

    @property
    def delay(self) -> float:
        """Seconds for which a fill waited for its source; 0 if the response does not say."""
        return (read_figure(self.fields.get("delay", "")) or 0.0) / MS_PER_S

    @property
    def report(self) -> LoadReport:
        """The load of the cache by the names of its fields; entries that are no number are left out."""
        return read_load_report(self.fields.get("use", ""), REPORT_SEPARATOR)


def read_figure(text: str) -> float | None:
    """Return a finite number of at least 0; None if the text is none."""
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
    """Encode the request of one attempt; budget and max_age in seconds, cut to whole milliseconds."""
    fields = {
        "queue": request.cls,
        "path": request.obj,
        "blk": str(request.part),
        "budget": str(max(1, int(budget * MS_PER_S))),
    }
    if key:
        fields["uniq"] = key
    if fetch.source != fetch.server:
        fields["miss"] = fetch.source
    if fetch.keep:
        fields["prio"] = str(fetch.keep)
    if max_age > 0:
        fields["within"] = str(max(1, int(max_age * MS_PER_S)))
    modes = [
        mode
        for mode, is_wanted in (
            ("coalesce", fetch.join),
            ("shallow", fetch.only_if_cached),
            ("freshen", fetch.revalidate),
        )
        if is_wanted
    ]
    if modes:
        fields["f"] = "+".join(modes)
    if tag:
        fields["mine"] = tag
    line = ",".join(f"{name}={value}" for name, value in fields.items())
    return b"GET %b %b %d\r\n%b\r\n" % (wire_id.encode(), line.encode(), len(body), body)


def encode_drop(wire_id: str) -> bytes:
    """Encode the cancellation of a request."""
    return b"DROP %b\r\n" % wire_id.encode()


def encode_ping() -> bytes:
    """Encode a ping; its response comes under an id that no request has."""
    return b"PING alive\r\n"


class Parser:
    """Incremental parser of responses; bounded by Limits.line and Limits.object_size."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._buffer = bytearray()
        self._head: tuple[str, str, dict[str, str], int] | None = None

    @property
    def partial(self) -> bool:
        """Whether a response has begun and not ended."""
        return bool(self._buffer) or self._head is not None

    def feed(self, data: bytes | bytearray) -> Iterator[CacheResponse]:
        """Yield the responses that these bytes complete. Raises WireError."""
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
