"""Decodes requests of the platform's clients and encodes the core's answers; it does no I/O."""

from __future__ import annotations

import math
import re
from http import HTTPStatus
from typing import NamedTuple

from brackenlane.core.requests import Answer, Disposition, PendingRequest
from brackenlane.limits import Limits
from brackenlane.net.http_codec import BadRequestError, Headers, ParsedRequest
from brackenlane.routing.events import Arrival
from brackenlane.routing.settings import RequestClass

PATH_PREFIX = "/api/v2/"
TARGET = re.compile(r"/api/v2/([^/?#]{1,64})/([0-9a-f]{16})/n-(0|[1-9]\d{0,8})", re.ASCII)
HEALTH_TARGET = "/-/healthy"
HEALTH_QUEUE_CLASS = "health"  # class under which health checks are queued for admission
TRANSACTION_ID = re.compile(r"[0-9a-fA-F]{16}")
# Idempotency keys and entity tags are copied into the line sent to a cache, which limits their characters.
IDEMPOTENCY_KEY = re.compile(r"[\w.:-]{1,64}", re.ASCII)
ETAG = re.compile(r'(?:W/)?"([\w.:-]{1,64})"', re.ASCII)
SIZE_KB = re.compile(r"\d{1,9}(?:\.\d{1,9})?", re.ASCII)
MAX_NUMBER_DIGITS = 9
MAX_SHARD = 255
MIN_TIME_LEFT = 0.001  # minimum time left of a request on arrival, in seconds
MS_PER_SECOND = 1000
REJECTED_BODY = b"refused, nothing ran: try again\n"
FAILED_BODY = b"failed\n"


class EncodedResponse(NamedTuple):
    """Status, headers and body of a response to a client."""

    status: int
    headers: Headers
    body: bytes


def read_request(
    parsed: ParsedRequest, classes: dict[str, RequestClass], limits: Limits, name: str, now: float
) -> PendingRequest:
    """Return a client's request; name: its id in the core, now: Unix time of its arrival.

    Raises BadRequestError for the first error found.
    """
    target = TARGET.fullmatch(parsed.target)
    request_class = classes.get(target[1]) if target else None
    if target is None or request_class is None:
        raise BadRequestError(HTTPStatus.NOT_FOUND, "no such class or object")
    _check_method(parsed, request_class)
    transaction_id = parsed.headers.get("x-txn", "")
    if not TRANSACTION_ID.fullmatch(transaction_id):
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "X-Txn must be 16 hexadecimal digits")
    time_to_live_ms = _read_number(parsed, "x-ttl-ms", 1, int(limits.max_client_wait * MS_PER_SECOND))
    shard = _read_number(parsed, "x-shard", 0, MAX_SHARD)
    is_retry = _read_retry_mark(parsed)
    key = _read_idempotency_key(parsed)
    etag = ETAG.fullmatch(parsed.headers.get("if-none-match", ""))
    time_left = max(time_to_live_ms / MS_PER_SECOND - limits.response_margin, MIN_TIME_LEFT)
    arrival = Arrival(
        name,
        time_left,
        request_class.name,
        target[2],
        int(target[3]),
        shard,
        _read_size_kb(parsed),
        is_write=request_class.uncached,
        is_retry=is_retry,
        has_idempotency_key=bool(key),
    )
    return PendingRequest(
        arrival,
        now + time_left,
        transaction_id,
        etag[1] if etag else "",
        parsed.body,
        key,
        cls=request_class,
    )


def _check_method(parsed: ParsedRequest, request_class: RequestClass) -> None:
    method = "PUT" if request_class.uncached else "GET"
    if parsed.method != method:
        raise BadRequestError(HTTPStatus.METHOD_NOT_ALLOWED, f"this class takes {method}", {"Allow": method})
    # A cache closes the connection on a request that it cannot parse, which breaks all other requests on it.
    if bool(parsed.body) is not request_class.uncached:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "a write has a body, a read has none")


def _read_number(parsed: ParsedRequest, name: str, low: int, high: int) -> int:
    """Return the value of a header that must be a whole number from low to high. Raises BadRequestError."""
    text = parsed.headers.get(name, "")
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
    if not is_number or not low <= int(text) <= high:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, f"{name.title()} must be a number, {low} to {high}")
    return int(text)


def _read_retry_mark(parsed: ParsedRequest) -> bool:
    mark = parsed.headers.get("x-second-try")
    if mark not in (None, "1"):
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "X-Second-Try must be 1 or absent")
    return mark == "1"


def _read_idempotency_key(parsed: ParsedRequest) -> str:
    key = parsed.headers.get("x-txn-key", "")
    if key and not IDEMPOTENCY_KEY.fullmatch(key):
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "X-Txn-Key must be a word of 64 characters at most")
    return key


def _read_size_kb(parsed: ParsedRequest) -> float:
    """Return the size of the part in KB as reported by the client; 0 (unknown) if missing or invalid."""
    text = parsed.headers.get("x-working-set-kb", "")
    return float(text) if SIZE_KB.fullmatch(text) else 0.0


def queue_class(target: str) -> str:
    """Return the class named by a target, under which its request is queued; "" if it names none."""
    if target == HEALTH_TARGET:
        return HEALTH_QUEUE_CLASS
    if not target.startswith(PATH_PREFIX):
        return ""
    return target[len(PATH_PREFIX) : target.find("/", len(PATH_PREFIX))]


def encode_fault(fault: BadRequestError) -> EncodedResponse:
    """Encode the error response to an invalid request."""
    return EncodedResponse(fault.status.value, fault.headers, f"{fault}\n".encode())


def encode_final_answer(answer: Answer, max_hold_off: float) -> EncodedResponse:
    """Encode a final answer.

    max_hold_off: longest wait in seconds that clients accept in X-Throttle-Ms; 0 if they ignore the header.
    """
    etag = {"ETag": f'"{answer.tag}"'} if answer.tag else {}
    match answer.disposition:
        case Disposition.SERVED:
            headers = {"Content-Type": "application/octet-stream", **etag}
            return EncodedResponse(HTTPStatus.OK.value, headers, answer.body)
        case Disposition.UNCHANGED:
            return EncodedResponse(HTTPStatus.NOT_MODIFIED.value, etag, b"")
        case Disposition.REJECTED:
            headers = _encode_hold_off(answer.retry_after, max_hold_off)
            return EncodedResponse(HTTPStatus.SERVICE_UNAVAILABLE.value, headers, REJECTED_BODY)
    status = HTTPStatus.GATEWAY_TIMEOUT if answer.deadline_exceeded else HTTPStatus.BAD_GATEWAY
    return EncodedResponse(status.value, {}, FAILED_BODY)


def _encode_hold_off(retry_after: float, max_hold_off: float) -> Headers:
    """Encode the time after which a rejected client may retry.

    Retry-After is in whole seconds for any HTTP client (RFC 9110, 10.2.3). X-Throttle-Ms is in milliseconds;
    it is added if the site's clients support it, and limited to the longest wait that they accept.
    """
    headers = {"Retry-After": str(max(1, math.ceil(retry_after)))}
    if max_hold_off and retry_after > 0:
        milliseconds = math.floor(MS_PER_SECOND * min(retry_after, max_hold_off))
        headers["X-Throttle-Ms"] = str(max(1, milliseconds))
    return headers
