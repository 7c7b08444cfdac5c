"""Codec of the line protocol between a router and a cache: encodes requests and parses responses.

It does no I/O and parses incrementally. No other module contains words of this protocol.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from brackenlane.limits import Limits
from brackenlane.routing.actions import Fetch
from brackenlane.routing.events import Arrival, AttemptResult, CacheStatus
from brackenlane.routing.load_report import read_load_report

RESULTS_BY_STATUS = {
    "data": AttemptResult.OK,
    "unchanged": AttemptResult.OK,
    "absent": AttemptResult.MISS,
    "full": AttemptResult.FULL,
    "failed": AttemptResult.ERROR,
    "moot": AttemptResult.NEVER_SENT,
}
CACHE_STATUSES_BY_DETAIL = {
    "hit": CacheStatus.HIT,
    "filled": CacheStatus.FILLED,
    "via_origin": CacheStatus.FILLED_BY_ORIGIN,
    "joined": CacheStatus.JOINED,
    "stale": CacheStatus.STALE,
    "src_refused": CacheStatus.SOURCE_REFUSED,
    "src_broke": CacheStatus.SOURCE_FAILED,
    "src_lacks": CacheStatus.SOURCE_MISS,
    "no_slot": CacheStatus.FILL_LIMIT_REACHED,
    "origin_failed": CacheStatus.ORIGIN_FAILED,
}
REPORT_SEPARATOR = ";"
UNCHANGED_STATUS = "unchanged"
LINE_END = b"\r\n"
MS_PER_S = 1000

LoadReport = tuple[tuple[str, float], ...]
"""Field names and values of a cache's load report."""


class WireError(Exception):
    """The bytes received from a cache are not a valid response; the message says why."""


@dataclass(slots=True, frozen=True)
class CacheResponse:
    """One response of a cache, with its fields as received."""

    id: str
    status_word: str
    fields: dict[str, str]
    body: bytes

    @property
    def result(self) -> AttemptResult:
        """The result named by the status word; for an unknown word an error: the request may have run."""
        return RESULTS_BY_STATUS.get(self.status_word, AttemptResult.ERROR)

    @property
    def cache_status(self) -> CacheStatus:
        """How the cache obtained the object, if the response reports it."""
        return CACHE_STATUSES_BY_DETAIL.get(self.fields.get("detail", ""), CacheStatus.UNKNOWN)

    @property
    def tag(self) -> str:
        """The entity tag of the cached copy without quotes; empty if the response has none."""
        return self.fields.get("entity", "").strip('"')

    @property
    def is_unchanged(self) -> bool:
        """Whether the client's copy is still current."""
        return self.status_word == UNCHANGED_STATUS

    @property
    def issued(self) -> float | None:
        """Unix time at which the origin issued this copy; None if the response has no valid value."""
        try:
            return int(self.fields["issued"]) / MS_PER_S
        except (KeyError, ValueError):
            return None

    @property
    def delay(self) -> float:
        """Seconds for which a fill waited for its source; 0 if the response does not report it."""
        return (parse_non_negative_number(self.fields.get("delay", "")) or 0.0) / MS_PER_S

    @property
    def report(self) -> LoadReport:
        """The load report of the cache; entries without a numeric value are omitted."""
        return read_load_report(self.fields.get("use", ""), REPORT_SEPARATOR)


def parse_non_negative_number(text: str) -> float | None:
    """Return the number in a text, or None if it is not a finite number of at least 0."""
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
    idempotency_key: str = "",
) -> bytes:
    """Encode the request of one attempt; budget and max_age in seconds, truncated to whole milliseconds."""
    fields = {
        "queue": request.cls,
        "path": request.obj,
        "blk": str(request.part),
        "budget": str(max(1, int(budget * MS_PER_S))),
    }
    if idempotency_key:
        fields["uniq"] = idempotency_key
    if fetch.source != fetch.server:
        fields["miss"] = fetch.source
    if fetch.retention_rank:
        fields["prio"] = str(fetch.retention_rank)
    if max_age > 0:
        fields["within"] = str(max(1, int(max_age * MS_PER_S)))
    modes = [
        mode
        for mode, is_wanted in (
            ("coalesce", fetch.may_join_fill),
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
    """Encode a ping; the id in its response is never that of a request."""
    return b"PING alive\r\n"


class Parser:
    """Incremental parser of responses, bounded by `Limits.max_cache_line_size` and `max_object_size`."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._buffer = bytearray()
        self._head: tuple[str, str, dict[str, str], int] | None = None

    @property
    def is_partial(self) -> bool:
        """Whether a response has been received in part."""
        return bool(self._buffer) or self._head is not None

    @property
    def buffer_size(self) -> int:
        """Bytes of memory of what was received of a response."""
        return self._buffer.__alloc__()

    @property
    def needed_size(self) -> int:
        """Bytes of memory that the response being received needs until it is complete, as far as known."""
        body_size = self._head[3] + len(LINE_END) if self._head is not None else 0
        return max(self.buffer_size, body_size)

    def feed(self, data: bytes | bytearray) -> Iterator[CacheResponse]:
        """Add received bytes and yield the responses that they complete. Raises WireError."""
        self._buffer += data
        while True:
            if self._head is None:
                end = self._buffer.find(b"\n")
                if end > self._limits.max_cache_line_size or (
                    end < 0 and len(self._buffer) > self._limits.max_cache_line_size
                ):
                    raise WireError("response line exceeds the size limit")
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
                raise WireError("body does not end at its declared length")
            wire_id, status_word, fields, _ = self._head
            with memoryview(self._buffer) as view:
                body = bytes(view[:length])  # the view avoids a second copy of the body
            del self._buffer[: length + 2]
            self._head = None
            yield CacheResponse(wire_id, status_word, fields, body)

    def _read_head(self, line: bytes) -> tuple[str, str, dict[str, str], int]:
        try:
            wire_id, status_word, field_list, size = line.decode("ascii").split(" ")
            length = int(size)
        except ValueError:
            raise WireError(f"malformed response line: {line[:60]!r}") from None
        if not 0 <= length <= self._limits.max_object_size:
            raise WireError(f"declared body length out of range: {length} bytes")
        pairs = (pair.partition("=") for pair in field_list.split(",")) if field_list != "-" else ()
        return wire_id, status_word, {name: value for name, _, value in pairs}, length
