"""Clients on HTTP/1.1: requests in, the core's answers out."""

from __future__ import annotations

import logging
import math
import re
import time
from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import Enum
from http import HTTPStatus
from typing import Protocol

import h11
import trio

from brackenlane.core import Answer, Ask, Core, Ending
from brackenlane.limits import Limits
from frostsail.interface import Arrival, Effect, RequestClass

log = logging.getLogger(__name__)

TARGET = re.compile(r"/api/v2/([^/?#]{1,64})/([0-9a-f]{16})/n-(0|[1-9]\d{0,8})", re.ASCII)
TXN = re.compile(r"[0-9a-fA-F]{16}")
TAG = re.compile(r'(?:W/)?"([\w.:-]{1,64})"', re.ASCII)  # goes into a line to a box
OURS = {b"x-txn", b"x-ttl-ms", b"x-shard", b"x-second-try", b"if-none-match"}
HEALTHY = "/-/healthy"
Headers = dict[str, str]


class BadRequest(Exception):
    """A request that gets an error answer of its own."""

    def __init__(self, status: HTTPStatus, text: str, headers: Headers | None = None) -> None:
        super().__init__(text)
        self.status, self.headers = status, headers or {}


@dataclass(slots=True, frozen=True)
class Reading:
    """One request as it was read."""

    method: str
    target: str
    headers: Headers
    body: bytes


def read_ask(reading: Reading, classes: dict[str, RequestClass], limits: Limits, name: str,
             now: float) -> Ask:
    """The request that a client makes, or its fault."""
    found = TARGET.fullmatch(reading.target)
    cls = classes.get(found[1]) if found else None
    if found is None or cls is None:
        raise BadRequest(HTTPStatus.NOT_FOUND, "no such class or object")
    method = "PUT" if cls.uncached else "GET"
    if reading.method != method:
        raise BadRequest(HTTPStatus.METHOD_NOT_ALLOWED, f"this class takes {method}", {"Allow": method})
    # Guards the boxes, which close on what they can't read, whatever else is open on that connection.
    if bool(reading.body) is not cls.uncached:
        raise BadRequest(HTTPStatus.BAD_REQUEST, "a write has a body, a read has none")
    txn, again = reading.headers.get("x-txn", ""), reading.headers.get("x-second-try")
    if not TXN.fullmatch(txn):
        raise BadRequest(HTTPStatus.BAD_REQUEST, "X-Txn must be 16 hexadecimal digits")
    ttl = _number(reading, "x-ttl-ms", 1, int(limits.longest_wait * 1000))
    shard = _number(reading, "x-shard", 0, 255)
    if again not in (None, "1"):
        raise BadRequest(HTTPStatus.BAD_REQUEST, "X-Second-Try must be 1 or absent")
    left = ttl / 1000 - limits.answer_margin
    have = TAG.fullmatch(reading.headers.get("if-none-match", ""))
    arrival = Arrival(name, max(left, 0.001), cls.name, found[2], int(found[3]), shard,
                      is_write=cls.uncached, is_retry=again == "1")
    return Ask(arrival, now + max(left, 0.001), txn, have[1] if have else "", reading.body)


def _number(reading: Reading, name: str, low: int, high: int) -> int:
    """A header that is a whole number within its range."""
    text = reading.headers.get(name, "")
    if not (text.isascii() and text.isdigit() and len(text) < 10 and low <= int(text) <= high):
        raise BadRequest(HTTPStatus.BAD_REQUEST, f"{name.title()} must be a number, {low} to {high}")
    return int(text)


def check_head(head: h11.Request, limits: Limits) -> None:
    """What must hold before any body is read."""
    # h11 bounds only a head that comes in pieces.
    if sum(len(name) + len(value) for name, value in head.headers) + len(head.target) > limits.head:
        raise BadRequest(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
    names = [name for name, _ in head.headers]
    told = dict(head.headers)
    # Guards against a request hidden in the body of another: h11 goes by the one and ignores the other.
    if b"content-length" in told and b"transfer-encoding" in told:
        raise BadRequest(HTTPStatus.BAD_REQUEST, "Content-Length and Transfer-Encoding: one of them at most")
    if any(names.count(name) > 1 for name in OURS):
        raise BadRequest(HTTPStatus.BAD_REQUEST, "a header stands twice")
    if int(told.get(b"content-length", b"0")) > limits.upload:
        raise BadRequest(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")


def word_answer(answer: Answer) -> tuple[HTTPStatus, Headers, bytes]:
    """Status, headers and body of a final answer."""
    tag = {"ETag": f'"{answer.tag}"'} if answer.tag else {}
    match answer.ending:
        case Ending.SERVED:
            return HTTPStatus.OK, {"Content-Type": "application/octet-stream", **tag}, answer.body
        case Ending.UNCHANGED:
            return HTTPStatus.NOT_MODIFIED, tag, b""
        case Ending.REFUSED:
            return (HTTPStatus.SERVICE_UNAVAILABLE, {"Retry-After": str(max(1, math.ceil(answer.hold_off)))},
                    b"refused, nothing ran: try again\n")
    return HTTPStatus.GATEWAY_TIMEOUT if answer.late else HTTPStatus.BAD_GATEWAY, {}, b"failed\n"


class Claim(Enum):
    """Whether a submit is ours to run."""

    OURS = "ours"
    TAKEN = "taken"  # it has been claimed before: it may have run
    UNKNOWN = "unknown"  # nobody can tell: it must not run


class Claims(Protocol):
    """Keeps a submit from being run by two doormans."""

    async def claim(self, txn: str) -> Claim:
        """Claim a submit before it runs."""

    async def release(self, txn: str) -> None:
        """Give back the claim of a submit that provably never ran."""


class Waits(Enum):
    """What a client's connection is waiting for."""

    FIRST = "its first request"
    NEXT = "its next request"
    REST = "the rest of a request"
    NOT = "nothing of the client's"


class Door:
    """All client connections of one doorman."""

    def __init__(self, core: Core, limits: Limits, claims: Claims | None = None) -> None:
        self._core, self._limits, self._claims = core, limits, claims
        self._classes = {c.name: c for c in core.settings.classes}
        self._txns: set[str] = set()  # in hand
        self._submits: OrderedDict[str, None] = OrderedDict()  # of writes that may have run, oldest first
        # Connections without an open request, the longest so first: none yet, none now, part of one
        self._silent: dict[Client, None] = {}
        self._idle: dict[Client, None] = {}
        self._slow: dict[Client, None] = {}
        self._count = 0
        self.closing = False  # answers end their connections
        self._empty = trio.Event()  # set when the last connection ends

    async def serve(self, stream: trio.SocketStream) -> None:
        """One client connection."""
        if self._count >= self._limits.clients:
            # Guards our descriptors: who never asked gives way, then who is idle, then who is slow to ask.
            spare = next((there for there in (self._silent, self._idle, self._slow) if there), None)
            if spare is None:
                await trio.aclose_forcefully(stream)
                return
            next(iter(spare)).hang_up()
        client = Client(self, stream, self._limits)
        self._count += 1
        try:
            await client.run()
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            pass
        except Exception:  # one client must not end the others
            log.exception("a client's connection failed")
        finally:
            self._count -= 1
            if not self._count:
                self._empty.set()
            self.note(client, Waits.NOT)
            with trio.move_on_after(self._limits.linger, shield=True):
                await stream.aclose()

    def leave(self) -> None:
        """Close what is idle, and every other connection after its answer."""
        self.closing = True
        for client in [*self._silent, *self._idle]:
            client.hang_up()

    async def emptied(self) -> None:
        """Wait until no connection is left."""
        while self._count:
            self._empty = trio.Event()
            await self._empty.wait()

    def note(self, client: Client, waits: Waits) -> None:
        """Note whether a connection waits for a request."""
        for there in (self._silent, self._idle, self._slow):
            there.pop(client, None)
        match waits:
            case Waits.FIRST:
                self._silent[client] = None
            case Waits.NEXT:
                self._idle[client] = None
            case Waits.REST:
                self._slow[client] = None
        if self.closing and waits in (Waits.FIRST, Waits.NEXT):
            client.hang_up()

    async def answer(self, reading: Reading) -> tuple[HTTPStatus, Headers, bytes]:
        """The answer to one request."""
        if reading.target == HEALTHY:
            if reading.method != "GET":
                raise BadRequest(HTTPStatus.METHOD_NOT_ALLOWED, "health takes GET", {"Allow": "GET"})
            ready = self._core.fleet.told and not self.closing
            return (HTTPStatus.OK, {}, b"healthy\n") if ready else (
                HTTPStatus.SERVICE_UNAVAILABLE, {"Retry-After": "1"}, b"not ready\n")
        ask = read_ask(reading, self._classes, self._limits, self._core.new_id(), time.time())
        if ask.wire_id in self._txns or ask.wire_id in self._submits:
            raise BadRequest(HTTPStatus.CONFLICT, "this X-Txn has been taken already")
        unsafe = self._classes[ask.arrival.cls].effect is Effect.UNSAFE
        refused = False
        self._txns.add(ask.wire_id)
        try:
            answer = await (self._claimed(ask, self._claims) if unsafe and self._claims
                            else self._core.ask(ask))
            refused = answer.ending is Ending.REFUSED
            return word_answer(answer)
        finally:
            self._txns.discard(ask.wire_id)
            if unsafe and not refused:  # guards against a submit that a client or proxy sends twice
                self._submits[ask.wire_id] = None
                if len(self._submits) > self._limits.submits:
                    self._submits.popitem(last=False)

    async def _claimed(self, ask: Ask, claims: Claims) -> Answer:
        """The answer to a submit that other doormans could be given too: claimed before it runs."""
        claim = await claims.claim(ask.wire_id)
        left = ask.deadline - time.time()
        if claim is Claim.TAKEN:
            raise BadRequest(HTTPStatus.CONFLICT, "this submit has been taken before")
        if claim is Claim.UNKNOWN or left <= 0:
            return Answer(Ending.REFUSED, hold_off=self._limits.retry_after)
        ask.arrival = replace(ask.arrival, time_left=left)
        answer = await self._core.ask(ask)
        if answer.ending is Ending.REFUSED:
            await claims.release(ask.wire_id)
        return answer


class Client:
    """One client connection: one request at a time."""

    def __init__(self, door: Door, stream: trio.SocketStream, limits: Limits) -> None:
        self._door, self._stream, self._limits = door, stream, limits
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.head)
        self._waiting = trio.CancelScope()
        self._waits = Waits.FIRST

    def hang_up(self) -> None:
        """End the connection, which has no open request."""
        self._waiting.cancel()

    async def run(self) -> None:
        """Serve requests until either side ends."""
        while True:
            try:
                reading = await self._read()
                if reading is None:
                    return
                worded = await self._answer(reading)
                if worded is None:
                    return  # the client has left: nothing is owed
            except h11.RemoteProtocolError as fault:
                status = HTTPStatus(fault.error_status_hint or 400)
                await self._send(status, {"Connection": "close"}, b"not HTTP as it should be\n")
                return await self._drain()
            except BadRequest as fault:
                whole = self._http.their_state in (h11.DONE, h11.MUST_CLOSE)
                close = {} if whole else {"Connection": "close"}
                worded = fault.status, {**fault.headers, **close}, f"{fault}\n".encode()
            await self._send(*worded)
            if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
                return await self._drain()
            self._http.start_next_cycle()

    async def _read(self) -> Reading | None:
        """The next request, whole; None if there is none."""
        head: h11.Request | None = None
        body = bytearray()
        # Guards our descriptors against clients that say nothing, or say it slowly.
        first = self._waits is Waits.FIRST
        self._waiting = trio.CancelScope(deadline=trio.current_time() + (
            self._limits.first_request if first else self._limits.client_idle))
        self._door.note(self, self._waits if not self._http.trailing_data[0] else Waits.REST)
        with self._waiting:
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    if head and self._http.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
                        await self._stream.send_all(self._http.send(go_on) or b"")
                    data = await self._stream.receive_some(65536)
                    if self._waits is not Waits.REST:
                        self._waits = Waits.REST
                        self._door.note(self, Waits.REST)
                        if not first:
                            self._waiting.deadline = trio.current_time() + self._limits.request_time
                    self._http.receive_data(data)
                elif isinstance(event, h11.Request):
                    head = event
                    check_head(head, self._limits)
                elif isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > self._limits.upload:
                        raise BadRequest(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
                elif isinstance(event, h11.EndOfMessage) and head:
                    self._waits = Waits.NEXT
                    self._door.note(self, Waits.NOT)
                    return Reading(head.method.decode(), head.target.decode(),
                                   {k.decode(): v.decode("latin-1") for k, v in head.headers}, bytes(body))
                else:
                    return None
        return None

    async def _answer(self, reading: Reading) -> tuple[HTTPStatus, Headers, bytes] | None:
        """The answer; None once the client has left, which takes back its work."""
        worded: tuple[HTTPStatus, Headers, bytes] | None = None
        fault: BadRequest | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, nursery.cancel_scope)
            try:
                worded = await self._door.answer(reading)
            except BadRequest as wrong:
                fault = wrong
            nursery.cancel_scope.cancel()
        if fault:
            raise fault
        return worded

    async def _watch(self, scope: trio.CancelScope) -> None:
        """Cancel the answer once the client leaves; bytes of a next request are kept, up to a bound."""
        room = self._limits.head
        while True:
            try:
                data = await self._stream.receive_some(room)
            except trio.BrokenResourceError:
                data = b""
            room -= len(data)
            if not data or room <= 0:  # left, or talks on without waiting for its answer
                scope.cancel()
                return
            self._http.receive_data(data)

    async def _send(self, status: HTTPStatus, headers: Headers, body: bytes) -> None:
        """One whole answer; cut short, its length shows it, and the connection ends."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        sent = {**headers} if status is HTTPStatus.NOT_MODIFIED else {
            **headers, "Content-Length": str(len(body))}
        if self._door.closing:
            sent["Connection"] = "close"
        parts = [self._http.send(h11.Response(status_code=status, headers=list(sent.items()),
                                              reason=status.phrase.encode()))]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        with trio.fail_after(self._limits.request_time):
            await self._stream.send_all(b"".join(part for part in parts if part))

    async def _drain(self) -> None:
        """Guards an error's answer from the reset that follows unread bytes."""
        room = self._limits.linger_room
        with trio.move_on_after(self._limits.linger):
            await self._stream.send_eof()
            while room > 0 and (data := await self._stream.receive_some(65536)):
                room -= len(data)
