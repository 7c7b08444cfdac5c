"""HTTP/1.1 as clients speak it, apart from any socket: bytes to requests, answers to bytes.

The parser is llhttp's (httptools), at a fraction of h11's cost; the checks that h11 made and llhttp does not
make stand here (docs/design/overload.md).
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from brackenlane.limits import Limits

# Of all headers only these are kept; none of them may stand twice (RFC 9110, 5.3).
KEPT = {
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
LENGTH = re.compile(r"\d{1,12}", re.ASCII)
PLAIN = re.compile(rb"GET (/[^ \r\n]{1,200}) HTTP/1\.1\r\n").match
Headers = dict[str, str]
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
STATUS = {s.value: b"HTTP/1.1 %d %b\r\n" % (s.value, s.phrase.encode()) for s in HTTPStatus}


class BadRequest(Exception):
    """A request that gets an error answer of its own."""

    def __init__(self, status: HTTPStatus, text: str, headers: Headers | None = None) -> None:
        super().__init__(text)
        self.status, self.headers = status, headers or {}


@dataclass(slots=True, frozen=True)
class ParsedRequest:
    """One request as it was read."""

    method: str
    target: str
    headers: Headers
    body: bytes
    keep_alive: bool = True


def encode_answer(status: int, headers: Mapping[str, str], body: bytes, close: bool) -> bytes:
    """The head of an answer; its body goes out behind it. A 304 has no body and tells no length."""
    reported = b"".join([b"%b: %b\r\n" % (name.encode(), value.encode()) for name, value in headers.items()])
    length = b"" if status == 304 else b"Content-Length: %d\r\n" % len(body)
    return STATUS[status] + reported + length + (b"Connection: close\r\n\r\n" if close else b"\r\n")


def read_plain(data: bytes) -> tuple[str, bool] | None:
    """The target of a request that needs no parser to be refused, and whether it is marked as a retry.

    None if it must be read in full.

    It is one whole GET and nothing behind it. Guards against a request hidden in the body of one refused
    unread: what names a length, an encoding or a wish for the connection is never plain.
    """
    found = PLAIN(data)
    if not found or data.find(b"\r\n\r\n") != len(data) - 4:
        return None
    low = data.lower()  # quicker than a pattern that takes both cases
    if (
        b"\ncontent-" in low
        or b"\ntransfer-" in low
        or b"\nconnection" in low
        or b"\nexpect" in low
        or b"\nupgrade" in low
    ):
        return None
    return found[1].decode("latin-1"), b"\nx-second-try:" in low


class RequestParser:
    """Requests out of one client's bytes as they come. Once a fault is found, nothing more is read."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._whole: deque[ParsedRequest] = deque()
        self._begin()
        self._in_head = self.partial = self._begun = False
        self.fault: BadRequest | None = None
        self.wants_continue = False  # the client waits for leave to send its body

    def _begin(self) -> None:
        self._target = b""
        self._headers: Headers = {}
        self._head_size = 0
        self._body: list[bytes] = []
        self._body_size = 0

    def feed(self, data: bytes) -> None:
        """Take bytes; what they complete is there by `next`, what is wrong with them as `fault`."""
        while data and not self.fault:
            data = self._feed(data)

    def _feed(self, data: bytes) -> bytes:
        """Take bytes; what is left of them for a new parser."""
        if not self.partial:
            self.partial, self._in_head, self._head_size = True, True, 0
        self._begun = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as end:
            # No other protocol is spoken here, so the wish for one is passed over (RFC 9110, 7.8).
            self._parser = httptools.HttpRequestParser(self)
            return data[end.args[0] :]
        except httptools.HttpParserCallbackError as fault:
            cause = fault.__context__
            if isinstance(cause, BadRequest):
                self.fault = cause
            else:
                raise
        except httptools.HttpParserError:
            self._fail(HTTPStatus.BAD_REQUEST, "not HTTP as it should be")
        # llhttp bounds no head: what comes while one is open counts against it.
        if self._in_head:
            self._head_size = len(data) + (0 if self._begun else self._head_size)
        if self._in_head and self._head_size > self._limits.max_head_size:
            self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        return b""

    @property
    def complete(self) -> ParsedRequest | None:
        """The next whole request, which is left there."""
        return self._whole[0] if self._whole else None

    def next(self) -> ParsedRequest | None:
        """The next whole request."""
        return self._whole.popleft() if self._whole else None

    def _fail(self, status: HTTPStatus, text: str) -> None:
        self.fault = self.fault or BadRequest(status, text)

    # Called by the parser

    def on_message_begin(self) -> None:
        """A request starts."""
        self._begin()
        self.partial = self._in_head = self._begun = True

    def on_url(self, url: bytes) -> None:
        """Its target, or a part of it."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header, or a trailer behind a body in chunks, which counts for nothing."""
        self._head_size += len(name) + len(value)
        if self._head_size > 2 * self._limits.max_head_size:
            raise BadRequest(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        known = KEPT.get(name.lower())
        if known is None or not self._in_head:
            return
        if known in self._headers:
            raise BadRequest(HTTPStatus.BAD_REQUEST, "a header stands twice")
        self._headers[known] = value.decode("latin-1").strip(" \t")

    def on_headers_complete(self) -> None:
        """What must hold before any body is read."""
        self._in_head = False
        reported = self._headers
        if self._head_size > self._limits.max_head_size:
            raise BadRequest(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        if self._parser.get_http_version() not in ("1.1", "1.0"):
            raise BadRequest(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 is spoken here")
        if "host" not in reported and self._parser.get_http_version() == "1.1":
            raise BadRequest(HTTPStatus.BAD_REQUEST, "Host is missing")
        # Guards against a request hidden in the body of another: readers differ in which they follow.
        if "content-length" in reported and "transfer-encoding" in reported:
            raise BadRequest(
                HTTPStatus.BAD_REQUEST, "Content-Length and Transfer-Encoding: one of them at most"
            )
        if reported.get("transfer-encoding", "chunked").lower() != "chunked":
            raise BadRequest(HTTPStatus.NOT_IMPLEMENTED, "of all encodings only chunked is known")
        length = reported.get("content-length", "0")
        if not LENGTH.fullmatch(length):
            raise BadRequest(HTTPStatus.BAD_REQUEST, "Content-Length must be a number")
        if int(length) > self._limits.max_upload_size:
            raise BadRequest(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        self.wants_continue = reported.get("expect", "").lower() == "100-continue"

    def on_body(self, data: bytes) -> None:
        """A part of its body."""
        self.wants_continue = False
        self._body_size += len(data)
        if self._body_size > self._limits.max_upload_size:
            raise BadRequest(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """It is whole."""
        self.partial = self.wants_continue = False
        self._whole.append(
            ParsedRequest(
                self._parser.get_method().decode(),
                self._target.decode("latin-1"),
                self._headers,
                b"".join(self._body),
                self._parser.should_keep_alive(),
            )
        )
        self._begin()
