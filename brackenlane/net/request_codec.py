"""Requests of the platform's clients as values, and the core's answers in words of HTTP."""

from __future__ import annotations

import math
import re
from http import HTTPStatus

from brackenlane.core.requests import Answer, Disposition, PendingRequest
from brackenlane.limits import Limits
from brackenlane.net.http_codec import BadRequest, Headers, ParsedRequest
from brackenlane.routing.events import Arrival
from brackenlane.routing.settings import RequestClass

TARGET = re.compile(r"/api/v2/([^/?#]{1,64})/([0-9a-f]{16})/n-(0|[1-9]\d{0,8})", re.ASCII)
TXN = re.compile(r"[0-9a-fA-F]{16}")
KEY = re.compile(r"[\w.:-]{1,64}", re.ASCII)  # likewise
SIZE = re.compile(r"\d{1,9}(?:\.\d{1,9})?", re.ASCII)
TAG = re.compile(r'(?:W/)?"([\w.:-]{1,64})"', re.ASCII)  # goes into a line to a cache
HEALTHY = "/-/healthy"
EncodedResponse = tuple[int, Headers, bytes]
REFUSED = b"refused, nothing ran: try again\n"


def read_request(
    reading: ParsedRequest, classes: dict[str, RequestClass], limits: Limits, name: str, now: float
) -> PendingRequest:
    """The request that a client makes, or its fault."""
    found = TARGET.fullmatch(reading.target)
    cls = classes.get(found[1]) if found else None
    if found is None or cls is None:
        raise BadRequest(HTTPStatus.NOT_FOUND, "no such class or object")
    method = "PUT" if cls.uncached else "GET"
    if reading.method != method:
        raise BadRequest(HTTPStatus.METHOD_NOT_ALLOWED, f"this class takes {method}", {"Allow": method})
    # Guards the caches, which close on what they can't read, whatever else is open on that connection.
    if bool(reading.body) is not cls.uncached:
        raise BadRequest(HTTPStatus.BAD_REQUEST, "a write has a body, a read has none")
    txn, again = reading.headers.get("x-txn", ""), reading.headers.get("x-second-try")
    if not TXN.fullmatch(txn):
        raise BadRequest(HTTPStatus.BAD_REQUEST, "X-Txn must be 16 hexadecimal digits")
    ttl = _number(reading, "x-ttl-ms", 1, int(limits.max_client_wait * 1000))
    shard = _number(reading, "x-shard", 0, 255)
    if again not in (None, "1"):
        raise BadRequest(HTTPStatus.BAD_REQUEST, "X-Second-Try must be 1 or absent")
    left = ttl / 1000 - limits.response_margin
    if (key := reading.headers.get("x-txn-key", "")) and not KEY.fullmatch(key):
        raise BadRequest(HTTPStatus.BAD_REQUEST, "X-Txn-Key must be a word of 64 characters at most")
    have = TAG.fullmatch(reading.headers.get("if-none-match", ""))
    arrival = Arrival(
        name,
        max(left, 0.001),
        cls.name,
        found[2],
        int(found[3]),
        shard,
        _size_kb(reading),
        is_write=cls.uncached,
        is_retry=again == "1",
        has_idempotency_key=bool(key),
    )
    return PendingRequest(
        arrival, now + max(left, 0.001), txn, have[1] if have else "", reading.body, key, cls=cls
    )


def _number(reading: ParsedRequest, name: str, low: int, high: int) -> int:
    """A header that is a whole number within its range."""
    text = reading.headers.get(name, "")
    if not (text.isascii() and text.isdigit() and len(text) < 10 and low <= int(text) <= high):
        raise BadRequest(HTTPStatus.BAD_REQUEST, f"{name.title()} must be a number, {low} to {high}")
    return int(text)


def _size_kb(reading: ParsedRequest) -> float:
    """The size of the part as its client tells it; 0, for untold, where that can't be read."""
    text = reading.headers.get("x-working-set-kb", "")
    return float(text) if SIZE.fullmatch(text) else 0.0


def lane_of(target: str) -> str:
    """Where a request waits, told by its target alone."""
    if target == HEALTHY:
        return "health"
    return target[8 : target.find("/", 8)] if target.startswith("/api/v2/") else ""


def encode_final_answer(answer: Answer, max_hold_off: float) -> EncodedResponse:
    """Status, headers and body of a final answer; max_hold_off: seconds that clients honour, 0: none."""
    tag = {"ETag": f'"{answer.tag}"'} if answer.tag else {}
    match answer.disposition:
        case Disposition.SERVED:
            return 200, {"Content-Type": "application/octet-stream", **tag}, answer.body
        case Disposition.UNCHANGED:
            return 304, tag, b""
        case Disposition.REJECTED:
            return 503, _hold_off_headers(answer.hold_off, max_hold_off), REFUSED
    return 504 if answer.deadline_exceeded else 502, {}, b"failed\n"


def _hold_off_headers(hold_off: float, most: float) -> Headers:
    """How long a refused client should stay away: in whole seconds for any client of HTTP, and in
    milliseconds where the site's clients honour that, for no longer than they do."""
    headers = {"Retry-After": str(max(1, math.ceil(hold_off)))}
    if most and hold_off > 0:
        headers["X-Throttle-Ms"] = str(max(1, math.floor(1000 * min(hold_off, most))))
    return headers
