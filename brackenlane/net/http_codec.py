"""Codec of HTTP/1.1 (RFC 9112): parses requests incrementally and encodes responses. It does no I/O.

The parser is llhttp (through httptools), which costs a fraction of h11. This module adds the checks that h11
makes and llhttp does not (docs/design/overload.md).
"""

from __future__ import annotations

import re
from collections import deque
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
    """Incremental parser of one client's requests; it stops at the first error."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._complete: deque[ParsedRequest] = deque()
        self._begin()
        self._in_head = False
        self._message_began = False  # a message began within the bytes that were fed last
        self.is_partial = False  # a request was received in part
        self.fault: BadRequestError | None = None
        self.wants_continue = False  # the client waits for 100 Continue before it sends its body

    def _begin(self) -> None:
        self._target = b""
        self._headers: Headers = {}
        self._head_size = 0
        self._body: list[bytes] = []
        self._body_size = 0

    def feed(self, data: bytes) -> None:
        """Parse bytes; `next` returns complete requests, `fault` holds the error if there was one."""
        while data and not self.fault:
            data = self._feed(data)

    def _feed(self, data: bytes) -> bytes:
        """Parse bytes; return the remaining bytes if they have to be fed to a new parser."""
        if not self.is_partial:
            self.is_partial = True
            self._in_head = True
            self._head_size = 0
        self._message_began = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as end:
            # An upgrade may be ignored (RFC 9110, 7.8).
            self._parser = httptools.HttpRequestParser(self)
            return data[end.args[0] :]
        except httptools.HttpParserCallbackError as fault:
            cause = fault.__context__
            if isinstance(cause, BadRequestError):
                self.fault = cause
            else:
                raise
        except httptools.HttpParserError:
            self._fail(HTTPStatus.BAD_REQUEST, "not HTTP as it should be")
        # llhttp does not limit the size of the head, so all bytes received before its end are counted here.
        if self._in_head:
            self._head_size = len(data) + (0 if self._message_began else self._head_size)
        if self._in_head and self._head_size > self._limits.max_head_size:
            self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        return b""

    @property
    def complete(self) -> ParsedRequest | None:
        """The next complete request, without removing it."""
        return self._complete[0] if self._complete else None

    def next(self) -> ParsedRequest | None:
        """Remove and return the next complete request."""
        return self._complete.popleft() if self._complete else None

    def _fail(self, status: HTTPStatus, text: str) -> None:
        self.fault = self.fault or BadRequestError(status, text)

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._begin()
        self.is_partial = True
        self._in_head = True
        self._message_began = True

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header; trailers after a chunked body are ignored. Raises BadRequestError."""
        self._head_size += len(name) + len(value)
        if self._head_size > 2 * self._limits.max_head_size:
            raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
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
        if self._head_size > self._limits.max_head_size:
            raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        if self._parser.get_http_version() not in ("1.1", "1.0"):
            raise BadRequestError(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 is spoken here")
        if "host" not in headers and self._parser.get_http_version() == "1.1":
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
        self.wants_continue = headers.get("expect", "").lower() == "100-continue"

    def on_body(self, data: bytes) -> None:
        """Append to the body. Raises BadRequestError if it is too large."""
        self.wants_continue = False
        self._body_size += len(data)
        if self._body_size > self._limits.max_upload_size:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Add the request to the complete ones."""
        self.is_partial = False
        self.wants_continue = False
        self._complete.append(
            ParsedRequest(
                self._parser.get_method().decode(),
                self._target.decode("latin-1"),
                self._headers,
                b"".join(self._body),
                self._parser.should_keep_alive(),
            )
        )
        self._begin()
