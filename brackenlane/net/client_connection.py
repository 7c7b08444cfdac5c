"""One client connection: requests read, answers written, and what it is waiting for."""

from __future__ import annotations

import logging
import re
import socket
from enum import IntEnum
from http import HTTPStatus
from typing import TYPE_CHECKING

from brackenlane.admission.figures import Reason
from brackenlane.core.requests import PendingRequest
from brackenlane.net.http_codec import (
    CONTINUE,
    BadRequest,
    ParsedRequest,
    RequestParser,
    encode_answer,
    read_plain,
)
from brackenlane.net.poller import READ, WRITE
from brackenlane.net.request_codec import EncodedResponse, lane_of

if TYPE_CHECKING:
    from brackenlane.net.http_front import HttpFront

log = logging.getLogger(__name__)

REQUEST_START = re.compile(rb"(?:GET|PUT) /api/v2/([^/?#]{1,64})/")  # how a request for a class begins


class ClientState(IntEnum):
    """What a client's connection is waiting for; a number, since the place in a list is found by it."""

    NOT = 0  # nothing of the client's
    FIRST = 1  # its first request
    NEXT = 2  # its next request
    REST = 3  # the rest of a request
    TAKE = 4  # the client to take its answer
    CLOSING = 5  # the client to end it


class ClientConnection:
    """One client connection: one request at a time."""

    def __init__(self, front: HttpFront, sock: socket.socket) -> None:
        self._front, self._sock = front, sock
        self._requests = RequestParser(front.limits)
        self._waits = ClientState.FIRST
        self._raw = b""  # what waits at the door, unread but for its target:
        self._plain = ""
        self._lane: tuple[str, bool] | None = None  # where it waits: class, and whether it is a retry
        self._cls = ""  # of the request in hand, as its target tells
        self._unasked = False  # refused before it asked: counted as its request is seen
        self._unsent = memoryview(b"")  # of an answer written in part
        self._bytes_allowed = 0  # bytes that may still come while they are not asked for
        self._close = False  # after this answer
        self._flooded = False  # more came behind a request than is kept
        self.open = True
        self.request: PendingRequest | None = None  # in hand

    def wait(self, waits: ClientState) -> None:
        """Wait for something else from now on."""
        if self.open:
            self._front.note(self, self._waits, waits)
            self._waits = waits
            if self._front.closing and waits in (ClientState.FIRST, ClientState.NEXT):
                self._begin_close()

    def close(self) -> None:
        """End the connection; a request in hand is taken back."""
        if not self.open:
            return
        self.open = False
        if self._lane is not None:
            self._front.admission.remove(self, *self._lane)
        self._front.forget(self, self._waits)
        self._front.poller.remove(self._sock.fileno())
        self._sock.close()
        self._front.closed(self)
        if self.request:
            request, self.request = self.request, None
            self._front.withdraw(request)

    def retire(self, at_once: bool = False) -> None:
        """End an idle connection, unless a request has come meanwhile: then after its answer.

        At once: its descriptor is wanted, whatever is still on its way.
        """
        if self._waits is not ClientState.CLOSING:
            self.ready(READ)
        if not self.open or self._waits not in (ClientState.FIRST, ClientState.NEXT, ClientState.CLOSING):
            return
        if at_once:
            self.close()
        elif self._waits is not ClientState.CLOSING:
            self._begin_close()

    def expire(self) -> None:
        """It has waited too long; what has come and was not read yet counts."""
        if self._waits in (ClientState.TAKE, ClientState.CLOSING):
            return self.close()
        waits = self._waits
        self.ready(READ)
        if self.open and self._waits is waits:
            if waits is ClientState.REST:
                log.warning("a client does not end its request")
            self._begin_close()

    def _begin_close(self) -> None:
        """End the connection in order: nothing is owed, and nothing that comes now is taken.

        What comes is read on for a moment, since a close over it would reset an answer on its way.
        """
        self._close, self._bytes_allowed = True, self._front.limits.max_linger_size
        self.wait(ClientState.CLOSING)
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def ready(self, events: int) -> None:
        """The socket is ready."""
        try:
            if events & WRITE and self._unsent:
                self._flush()
            if events & ~WRITE and self.open:
                self._receive()
        except Exception:  # one client must not end the others
            log.exception("a client's connection failed")
            self.close()

    def is_client_connected(self) -> bool:
        """Whether the client is still there, by its socket at this moment: its end may not have been read."""
        try:
            for _ in range(4):  # what stands before that end has a bound too
                if not self.open or not self._receive():
                    break
        except Exception:  # one client must not end the connection to a cache, nor another's request
            log.exception("a client's connection failed")
            self.close()
        return self.open

    def _receive(self) -> bool:
        """Take what has come; whether anything had."""
        try:
            data = self._sock.recv(16_384)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        if data:
            self._heed(data)
        else:
            self.close()  # left: nothing is owed
        return True

    def _heed(self, data: bytes) -> None:
        if self._waits is ClientState.CLOSING:
            if self._unasked and (found := REQUEST_START.match(data)):
                self._unasked = False
                self._front.counts.count_answer(found[1].decode(), HTTPStatus.SERVICE_UNAVAILABLE)
            self._bytes_allowed -= len(data)
            return self.close() if self._bytes_allowed <= 0 else None
        if self._waits in (ClientState.NOT, ClientState.TAKE):
            # Bytes of a next request are kept, up to a bound. Past it nothing is kept, and the answer that is
            # owed ends the connection; read on, it tells when its client leaves.
            self._bytes_allowed -= len(data)
            if self._bytes_allowed <= 0:
                if not self._flooded:
                    log.warning("a client sends on and on behind its request: its answer ends the connection")
                self._flooded, self._plain = True, ""
            elif self._raw:
                self._raw, self._plain = self._raw + data, ""  # more than one request: read in full
            else:
                self._requests.feed(data)
            return None
        if self._waits is not ClientState.REST and (plain := read_plain(data)):
            target, again = plain
            if self._front.refuses(target, again) and not self._front.leaving:
                self._front.figures.count_rejected(Reason.QUEUED)
                self._cls = lane_of(target)
                return self._turn_away()
            self._raw, self._plain = data, target  # read no further until it is served
            return self._queue(target, again)
        self._requests.feed(data)
        self._go_on()

    def _queue(self, target: str, again: bool) -> None:
        self._bytes_allowed = self._front.limits.max_head_size
        self.wait(ClientState.NOT)
        self._cls = lane_of(target)
        self._lane = self._cls, again
        self._front.admission.add(self, *self._lane, self._front.poller.polled)

    def rejoin(self, since: float) -> None:
        """Wait in the door's new queue, since when it has waited."""
        assert self._lane is not None
        self._front.admission.add(self, *self._lane, since)

    def serve(self, since: float) -> None:
        """It is the turn of the request that waits, which came at a Unix time."""
        if (reading := self._read()) is None:
            return self._go_on()
        # To HEAD, which no class takes, no body may be answered: the end tells that what came was none.
        self._close = not reading.keep_alive or reading.method == "HEAD"
        try:
            self._front.take(self, reading, since)
        except BadRequest as fault:  # a fault of the request alone
            log.warning("a request that can't be served: %s", fault)
            self.answer((fault.status.value, fault.headers, f"{fault}\n".encode()))

    def refuse(self, now: float) -> None:
        """The request that waits is not served; what is told by its target alone spares the parser."""
        target = self._plain
        if target and self._front.own(target):
            return self.serve(now)
        self._front.figures.count_rejected(Reason.QUEUED)
        if target and not self._front.leaving:
            self._raw, self._plain, self._lane = b"", "", None
            self._turn_away()
        elif (reading := self._read()) is None:
            self._go_on()
        else:
            self._close = not reading.keep_alive
            self.answer(self._front.encode_rejection(self._front.hold_off(now)))

    def shut_out(self) -> None:
        """There is no room for this connection: refuse what it will ask, and end it."""
        self._close = self._unasked = True
        self.answer(self._front.encode_rejection())

    def _turn_away(self) -> None:
        self._bytes_allowed, self._close = self._front.limits.max_head_size, False
        self._front.counts.count_answer(self._cls, HTTPStatus.SERVICE_UNAVAILABLE)
        self._send(self._front.refusal)
        if self.open:
            self.wait(ClientState.TAKE if self._unsent else ClientState.NEXT)

    def _read(self) -> ParsedRequest | None:
        """The request that waits, read in full."""
        raw, self._raw, self._plain, self._lane = self._raw, b"", "", None
        self._requests.feed(raw)
        return self._requests.next()

    def _go_on(self) -> None:
        """Queue the next request, once the last is answered."""
        if reading := self._requests.complete:
            self._queue(reading.target, "x-second-try" in reading.headers)
        elif wrong := self._requests.fault:
            log.warning("a client that can't be read: %s", wrong)
            self._close = True
            self.wait(ClientState.NOT)
            self.answer((wrong.status.value, wrong.headers, f"{wrong}\n".encode()))
        else:
            if self._requests.wants_continue:
                self._requests.wants_continue = False
                self._send(CONTINUE)
            partial = self._requests.partial
            if partial and self._waits is not ClientState.REST:
                self.wait(ClientState.REST)
            elif not partial and self._waits in (ClientState.NOT, ClientState.TAKE):
                self.wait(ClientState.NEXT)

    def answer(self, worded: EncodedResponse) -> None:
        """One whole answer; cut short, its length shows it, and the connection ends."""
        if not self.open:
            return
        status, headers, body = worded
        self._front.counts.count_answer(self._cls, status)
        self._cls = ""
        self._close |= self._front.leaving or self._flooded
        self._send(encode_answer(status, headers, body, self._close), body)
        if self.open and self._unsent:
            self.wait(ClientState.TAKE)
        elif self.open:
            self._answered()

    def _answered(self) -> None:
        if self._close or self._flooded:  # a flood may also come while the answer is taken
            self._begin_close()
        else:
            self._go_on()

    def _send(self, head: bytes, body: bytes = b"") -> None:
        try:
            sent = self._sock.sendmsg((head, body)) if body else self._sock.send(head)
        except BlockingIOError:
            sent = 0
        except OSError:
            return self.close()
        if sent < len(head) + len(body):
            self._unsent = memoryview(head + body)[sent:]
            self._front.poller.want(self._sock.fileno(), READ | WRITE)

    def _flush(self) -> None:
        try:
            self._unsent = self._unsent[self._sock.send(self._unsent) :]
        except BlockingIOError:
            return
        except OSError:
            return self.close()
        if not self._unsent:
            self._unsent = memoryview(b"")  # lets go of the answer
            self._front.poller.want(self._sock.fileno(), READ)
            if self._waits is ClientState.TAKE:
                self._answered()
