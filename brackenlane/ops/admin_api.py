"""The actor at the operators' address: one HTTP call to each connection, answered as soon as it is read.

A few callers at once, each for a short time; who has waited longest without a call gives way to who comes. It
stands before all clients' work on the board and asks nothing of the core's mailbox.
"""

from __future__ import annotations

import contextlib
import logging
import re
import socket
import time
from collections.abc import Callable
from dataclasses import replace

from brackenlane.core.metrics import CONTENT_TYPE
from brackenlane.core.timers import Timers
from brackenlane.limits import Limits
from brackenlane.net.http_codec import Headers, ParsedRequest, RequestParser, encode_answer
from brackenlane.net.poller import READ, WRITE, Poller

log = logging.getLogger(__name__)

ORDER = re.compile(r"/maintenance/(enter|exit)/([\w.:-]{1,64})", re.ASCII)
EncodedResponse = tuple[int, Headers, bytes]


class AdminApi:
    """All callers at the operators' address.

    ready: whether this process can serve; figures: all as text; order: takes a cache out (True) or lets
    it serve again, and gives the status and a line to say.
    """

    def __init__(
        self,
        poller: Poller,
        timers: Timers,
        limits: Limits,
        ready: Callable[[], bool],
        figures: Callable[[], bytes],
        order: Callable[[str, bool], tuple[int, str]],
    ) -> None:
        self.poller, self._timers, self._limits = poller, timers, limits
        self._ready, self._figures, self._order = ready, figures, order
        self.call_limits = replace(
            limits, max_head_size=limits.max_admin_head_size, max_upload_size=limits.max_admin_head_size
        )
        self._callers: dict[AdminConnection, float] = {}  # who came first is first; until when each may stay
        self._listener: socket.socket | None = None

    def open(self, listener: socket.socket) -> None:
        """Take calls from now on."""
        self._listener = listener
        self.poller.add(listener.fileno(), self._accept, urgent=True)
        self._watch()

    def shut(self) -> None:
        """Take no more calls, and end those that are unfinished."""
        if self._listener:
            self.poller.remove(self._listener.fileno())
            self._listener.close()
            self._listener = None
        for caller in list(self._callers):
            caller.close()

    def _accept(self, _: int) -> None:
        assert self._listener is not None
        for _ in range(self._limits.max_admin_connections):
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return  # none waits, or there is no descriptor: the next round asks again
            if len(self._callers) >= self._limits.max_admin_connections:
                # Guards against callers who connect and finish no call: the oldest gives way.
                next((c for c in self._callers if c.is_answered), next(iter(self._callers))).close()
            sock.setblocking(False)
            caller = AdminConnection(self, sock)
            self._callers[caller] = time.time() + self._limits.admin_call_timeout
            self.poller.add(sock.fileno(), caller.ready, urgent=True)

    def gone(self, caller: AdminConnection) -> None:
        """A connection has ended."""
        self._callers.pop(caller, None)

    def _watch(self) -> None:
        now = time.time()
        for caller in [c for c, until in self._callers.items() if until < now]:
            caller.close()
        if self._listener:
            self._timers.at(now + self._limits.admin_call_timeout / 4, self._watch)

    def answer(self, call: ParsedRequest) -> EncodedResponse:
        """What one call gets."""
        found = ORDER.fullmatch(call.target)
        wants = "PUT" if found else "GET" if call.target in ("/status", "/status/metrics") else ""
        if not wants:
            return 404, {}, b"no such call\n"
        if call.method != wants:
            return 405, {"Allow": wants}, f"this takes {wants}\n".encode()
        if found:
            status, line = self._order(found[2], found[1] == "enter")
            log.info("operators: %s %s: %d %s", found[1], found[2], status, line)
            return status, {"Content-Type": "text/plain"}, f"{line}\n".encode()
        if call.target == "/status":
            if self._ready():
                return 200, {"Content-Type": "text/plain"}, b"serving\n"
            return 503, {"Content-Type": "text/plain"}, b"not serving\n"
        return 200, {"Content-Type": CONTENT_TYPE}, self._figures()


class AdminConnection:
    """One connection: one call."""

    def __init__(self, api: AdminApi, sock: socket.socket) -> None:
        self._api, self._sock = api, sock
        self._requests = RequestParser(api.call_limits)
        self._unsent = memoryview(b"")
        self._bytes_allowed = api.call_limits.max_head_size  # bytes that may still come once it is answered
        self.is_answered = False
        self._open = True

    def close(self) -> None:
        """End the connection."""
        if self._open:
            self._open = False
            self._api.poller.remove(self._sock.fileno())
            self._sock.close()
            self._api.gone(self)

    def ready(self, events: int) -> None:
        """The socket is ready."""
        try:
            if events & WRITE:
                self._flush()
            if self._open and events & ~WRITE:
                self._receive()
        except OSError:
            self.close()
        except Exception:  # one caller must not end the others
            log.exception("an operator's call failed")
            self.close()

    def _receive(self) -> None:
        try:
            data = self._sock.recv(4_096)
        except BlockingIOError:
            return
        if not data:
            return self.close()
        if self.is_answered:  # read on, so that the answer is not lost to a reset
            self._bytes_allowed -= len(data)
            return self.close() if self._bytes_allowed < 0 else None
        self._requests.feed(data)
        if call := self._requests.next():
            self._answer(*self._api.answer(call), call.method == "HEAD")
        elif fault := self._requests.fault:
            self._answer(fault.status.value, fault.headers, f"{fault}\n".encode())

    def _answer(self, status: int, headers: Headers, body: bytes, bare: bool = False) -> None:
        self.is_answered = True
        self._unsent = memoryview(encode_answer(status, headers, body, True) + (b"" if bare else body))
        self._flush()

    def _flush(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self._unsent = self._unsent[self._sock.send(self._unsent) :]
        if self._unsent:
            self._api.poller.want(self._sock.fileno(), READ | WRITE)
        elif self.is_answered:
            self._api.poller.want(self._sock.fileno(), READ)
            self._sock.shutdown(socket.SHUT_WR)
