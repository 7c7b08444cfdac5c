"""Codec of HTTP/1.1 (RFC 9112): parses requests incrementally and encodes responses. It does no I/O.

The parser is llhttp (through httptools), which costs a fraction of h11. This module adds the checks that h11
makes and llhttp does not (docs/design/overload.md).
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from brackenlane.limits import Limits

# All other headers are ignored. None of these may occur twice (RFC 9110, 5.3).
RECOGNIZED_HEADERS = {
    name.encode(): name
    for name in (
        "x-txn",
        "x-ttl-ms",
        "x-shard",
        "x-second-try",
        "x-txn-key",
        "x-working-set-kb",
        "if-none-match",
        "content-length",
        "transfer-encoding",
        "host",
        "expect",
    )
}
CONTENT_LENGTH = re.compile(r"\d{1,12}", re.ASCII)
MATCH_SIMPLE_GET = re.compile(rb"GET (/[^ \r\n]{1,200}) HTTP/1\.1\r\n").match
FIND_EMPTY_LINE = re.compile(rb"\n\r?\n").search  # with or without CR, as a lenient parser accepts it
EMPTY_LINE_SIZE = 2  # maximum number of bytes of an empty line that precede its last one
# Bytes of memory of the objects that hold one request, besides the characters in them.
PARSED_REQUEST_SIZE = 1_200
LLHTTP_SIZE = 1_200
Headers = dict[str, str]
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %b\r\n" % (status.value, status.phrase.encode()) for status in HTTPStatus
}


class BadRequestError(Exception):
    """An invalid request, with the status, extra headers and body text of the error response."""

    def __init__(self, status: HTTPStatus, text: str, headers: Headers | None = None) -> None:
        super().__init__(text)
        self.status = status
        self.headers = headers or {}


@dataclass(slots=True, frozen=True)
class ParsedRequest:
    """One complete request."""

    method: str
    target: str
    headers: Headers
    body: bytes
    keep_alive: bool = True

    @property
    def held_size(self) -> int:
        """Bytes of memory that the request occupies."""
        values_size = sum(map(len, self.headers.values()))
        return PARSED_REQUEST_SIZE + len(self.target) + len(self.body) + values_size


def encode_answer(status: int, headers: Mapping[str, str], body: bytes, close: bool) -> bytes:
    """Return the head of a response, which the body follows. A 304 response has no body and no length."""
    lines = b"".join([b"%b: %b\r\n" % (name.encode(), value.encode()) for name, value in headers.items()])
    length = b"" if status == 304 else b"Content-Length: %d\r\n" % len(body)
    return STATUS_LINES[status] + lines + length + (b"Connection: close\r\n\r\n" if close else b"\r\n")


def read_simple_get(data: bytes) -> tuple[str, bool] | None:
    """Return the target and the retry mark of a simple request, which can be rejected unparsed.

    Returns None if the request must be parsed. A simple request is a single complete GET without Content-*,
    Transfer-*, Connection, Expect or Upgrade headers. With them, the body of a request that was rejected
    unparsed could contain another request.
    """
    found = MATCH_SIMPLE_GET(data)
    if not found or data.find(b"\r\n\r\n") != len(data) - 4:
        return None
    lower = data.lower()  # faster than a case-insensitive pattern
    if (
        b"\ncontent-" in lower
        or b"\ntransfer-" in lower
        or b"\nconnection" in lower
        or b"\nexpect" in lower
        or b"\nupgrade" in lower
    ):
        return None
    return found[1].decode("latin-1"), b"\nx-second-try:" in lower


class RequestParser:
    """Incremental parser of one client's requests; it stops at the first error.

    Bytes behind a complete request stay unparsed until `next` has removed it: parsed requests take many times
    the memory of their bytes. A message can only end at an empty line or at its Content-Length, so llhttp is
    given no more than that at a time.
    """

    __slots__ = (
        "_body",
        "_body_left",
        "_chunk_count",
        "_complete",
        "_field_count",
        "_head_size",
        "_headers",
        "_in_head",
        "_last_fed",
        "_limits",
        "_parser",
        "_target",
        "_unparsed",
        "fault",
        "is_partial",
        "wants_continue",
    )

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._parser: httptools.HttpRequestParser | None = None  # None while no request is being received
        self._unparsed = bytearray()  # bytes behind the complete request
        self._last_fed = b""  # the last bytes given to llhttp, which an empty line may have begun with
        self._complete: ParsedRequest | None = None
        self._begin()
        self._in_head = False
        self.is_partial = False  # a request was received in part
        self.fault: BadRequestError | None = None
        self.wants_continue = False  # the client waits for 100 Continue before it sends its body

    def _begin(self) -> None:
        self._target = b""
        self._headers: Headers = {}
        self._head_size = 0
        self._field_count = 0
        self._chunk_count = 0
        self._body = bytearray()
        self._body_left = 0  # bytes of the body still to come; 0 if its length is not given

    @property
    def held_size(self) -> int:
        """Bytes of memory that the received requests occupy, besides those of the parser itself."""
        size = self._unparsed.__alloc__() + self._body.__alloc__()
        if self.is_partial:
            size += LLHTTP_SIZE + self._head_size
        if self._complete is not None:
            size += self._complete.held_size
        return size

    @property
    def unparsed_size(self) -> int:
        """Number of bytes behind the complete request."""
        return len(self._unparsed)

    @property
    def has_following(self) -> bool:
        """Whether bytes that `discard_following` would free are kept."""
        return bool(self._unparsed or self._body)

    @property
    def complete(self) -> ParsedRequest | None:
        """The next complete request, without removing it."""
        return self._complete

    def feed(self, data: bytes) -> None:
        """Parse bytes up to the end of one request; `fault` holds the error if there was one."""
        if not self.fault:
            self._unparsed += data
            self._parse()

    def next(self) -> ParsedRequest | None:
        """Remove and return the next complete request, and parse the one behind it."""
        request = self._complete
        self._complete = None
        self._parse()
        return request

    def discard_following(self) -> None:
        """Discard the bytes behind the complete request; nothing may be fed after that."""
        self._unparsed = bytearray()
        self._body = bytearray()
        self._parser = None

    def close(self) -> None:
        """Free the memory of the requests at once; nothing may be fed after that."""
        self.discard_following()
        self._complete = None
        self.is_partial = False

    def _parse(self) -> None:
        while self._unparsed and self._complete is None and not self.fault:
            size = self._piece_size()
            piece = bytes(self._unparsed[:size])
            del self._unparsed[:size]
            self._parse_piece(piece)
            self._last_fed = b"\n" if piece.endswith(b"\n") else piece[-EMPTY_LINE_SIZE:]
        if self.fault:
            self.discard_following()
        elif not self.is_partial:
            self._parser = None  # llhttp refers to this object, which would wait for the garbage collector

    def _piece_size(self) -> int:
        """Return how many bytes to give to llhttp: no message may end before the last of them."""
        if self._body_left:
            return min(self._body_left, len(self._unparsed))
        end = FIND_EMPTY_LINE(self._last_fed + self._unparsed)
        return end.end() - len(self._last_fed) if end else len(self._unparsed)

    def _parse_piece(self, piece: bytes) -> None:
        if not self.is_partial:
            self.is_partial = True
            self._in_head = True
        if self._in_head:
            self._head_size += len(piece)
            if self._head_size > self._limits.max_head_size:
                self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
                return
        if self._parser is None:
            self._parser = httptools.HttpRequestParser(self)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade as end:
            # An upgrade may be ignored (RFC 9110, 7.8).
            self._parser = None
            self._unparsed[:0] = piece[end.args[0] :]
        except httptools.HttpParserCallbackError as fault:
            cause = fault.__context__
            if not isinstance(cause, BadRequestError):
                raise
            # Its traceback would refer to this parser, whose memory then waits for the garbage collector.
            self.fault = cause.with_traceback(None)
        except httptools.HttpParserError:
            self._fail(HTTPStatus.BAD_REQUEST, "not HTTP as it should be")

    def _fail(self, status: HTTPStatus, text: str) -> None:
        self.fault = self.fault or BadRequestError(status, text)

    # Callbacks of httptools

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header; trailers after a chunked body are ignored. Raises BadRequestError."""
        self._field_count += 1
        if self._field_count > self._limits.max_head_fields:
            raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head has too many fields")
        known = RECOGNIZED_HEADERS.get(name.lower())
        if known is None or not self._in_head:
            return
        if known in self._headers:
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "a header stands twice")
        self._headers[known] = value.decode("latin-1").strip(" \t")

    def on_headers_complete(self) -> None:
        """Check the head before any body is read. Raises BadRequestError."""
        self._in_head = False
        headers = self._headers
        assert self._parser is not None
        version = self._parser.get_http_version()
        if version not in ("1.1", "1.0"):
            raise BadRequestError(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 is spoken here")
        if "host" not in headers and version == "1.1":
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "Host is missing")
        # Prevents request smuggling: parsers differ in which of the two headers they use (RFC 9112, 6.3).
        if "content-length" in headers and "transfer-encoding" in headers:
            raise BadRequestError(
                HTTPStatus.BAD_REQUEST, "Content-Length and Transfer-Encoding: one of them at most"
            )
        if headers.get("transfer-encoding", "chunked").lower() != "chunked":
            raise BadRequestError(HTTPStatus.NOT_IMPLEMENTED, "of all encodings only chunked is known")
        length = headers.get("content-length", "0")
        if not CONTENT_LENGTH.fullmatch(length):
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "Content-Length must be a number")
        if int(length) > self._limits.max_upload_size:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        self._body_left = int(length)
        self.wants_continue = headers.get("expect", "").lower() == "100-continue"

    def on_body(self, data: bytes) -> None:
        """Append to the body. Raises BadRequestError if it is too large."""
        self.wants_continue = False
        self._body += data
        if len(self._body) > self._limits.max_upload_size:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        if not self._body_left:
            self._chunk_count += 1
        if self._chunk_count > self._limits.max_upload_chunks:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body has too many chunks")
        self._body_left = max(0, self._body_left - len(data))

    def on_message_complete(self) -> None:
        """Keep the complete request."""
        assert self._parser is not None
        self.is_partial = False
        self.wants_continue = False
        self._complete = ParsedRequest(
            self._parser.get_method().decode(),
            self._target.decode("latin-1"),
            self._headers,
            bytes(self._body),
            self._parser.should_keep_alive(),
        )
        self._begin()
