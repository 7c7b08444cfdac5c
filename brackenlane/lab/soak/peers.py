"""Simulated cache servers and clients of the soak test."""

from __future__ import annotations

import contextlib
import math
import random
import socket
import struct
import time

import trio

from brackenlane.lab.soak.record import ObservedAttempt, ObservedRequest, Record
from brackenlane.lab.stand_ins.cache_commands import CommandReader, Dropped, Pinged, ReceivedRequest
from brackenlane.lab.stand_ins.cache_server import CacheListener

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER value that makes close() send a reset
OBJECTS = 24
GROUPS = 6
# By class: the age up to which a server serves its copy if the request states none.
DEFAULT_MAX_AGE_MS = {"sheet-pages": 8000}
UNLIMITED_AGE_MS = 3_600_000  # longer than any run
SPLIT_RESPONSE_SHARE = 0.1  # share of responses that are sent in two pieces
IDLE_TIMEOUT = 1.0  # seconds after which a server closes an idle connection; Limits.KeepaliveS
# If a reused connection closes this soon after a request, the router closed it before it got the request.
CLOSE_RACE_WINDOW = 0.15  # seconds
LATE_RESPONSE_WAIT = 2.5  # seconds past its deadline for which a client waits, to record a late response
BODY = b"x" * 700


class SoakServer(CacheListener):
    """An edge cache, a parent cache or the origin; it keeps a copy of each object up to its maximum age."""

    def __init__(self, name: str, model: str, rng: random.Random, record: Record) -> None:
        self.name = name
        self.model = model
        self._rng = rng
        self._record = record
        self._copies: dict[str, float] = {}  # by object: the Unix time at which the origin issued the copy
        self._streams: list[trio.SocketStream] = []
        self.hangs_until = -math.inf

    def reset_all(self) -> None:
        """Reset all open connections."""
        for stream in self._streams:
            with contextlib.suppress(OSError, trio.ClosedResourceError):
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                stream.socket.close()
        self._streams.clear()

    async def _serve(self, stream: trio.SocketStream) -> None:
        self._streams.append(stream)
        reader = CommandReader()
        lock = trio.Lock()
        async with trio.open_nursery() as nursery:
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                while data := await self._receive_until_idle(stream, nursery):
                    for command in reader.feed(data):
                        match command:
                            case ReceivedRequest():
                                observed = self._record_attempt(command)
                                nursery.start_soon(self._answer, stream, lock, command, observed)
                            case Pinged() if trio.current_time() > self.hangs_until:
                                nursery.start_soon(self._send, stream, lock, command.reply)
                            case Dropped():
                                pass
            nursery.cancel_scope.cancel()
        with contextlib.suppress(ValueError):
            self._streams.remove(stream)

    async def _receive_until_idle(self, stream: trio.SocketStream, answering: trio.Nursery) -> bytes:
        """Return the next bytes, or none once the connection has closed or was idle for IDLE_TIMEOUT."""
        while True:
            with trio.move_on_after(IDLE_TIMEOUT):
                return bytes(await stream.receive_some(65536))
            if not answering.child_tasks:
                await stream.aclose()
                return b""

    def _record_attempt(self, request: ReceivedRequest) -> ObservedAttempt:
        fields = request.fields
        budget = int(fields.get("budget", 0)) / 1000
        now = trio.current_time()
        observed = ObservedAttempt(now, self.name, request.id, fields.get("miss", ""), budget)
        self._record.attempts.append(observed)
        return observed

    async def _send(self, stream: trio.SocketStream, lock: trio.Lock, text: bytes) -> None:
        async with lock:
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                if self._rng.random() < SPLIT_RESPONSE_SHARE:
                    cut = self._rng.randrange(1, len(text))
                    await stream.send_all(text[:cut])
                    await trio.sleep(0.005)
                    text = text[cut:]
                await stream.send_all(text)

    async def _answer(
        self, stream: trio.SocketStream, lock: trio.Lock, request: ReceivedRequest, observed: ObservedAttempt
    ) -> None:
        chance = self._rng.random()
        await trio.sleep(self._rng.choice((0.0, 0.002, 0.01, 0.05)))
        if trio.current_time() < self.hangs_until or chance < 0.02:
            return  # the request has run, but its sender gets no response
        if chance < 0.06:
            observed.has_run = False
            await self._send(stream, lock, f"{request.id} full - 0\r\n\r\n".encode())
        elif chance < 0.08:
            await self._send(stream, lock, f"{request.id} failed - 0\r\n\r\n".encode())
        else:
            await self._send(stream, lock, self._success_response(request))

    def _success_response(self, request: ReceivedRequest) -> bytes:
        fields = request.fields
        key = f"{fields['queue']}/{fields['path']}/{fields.get('blk', '')}"
        now = time.time()
        max_age_ms = int(fields.get("within", 0)) or DEFAULT_MAX_AGE_MS.get(fields["queue"], UNLIMITED_AGE_MS)
        issued = self._copies.get(key, 0.0)
        is_hit = (now - issued) * 1000 <= max_age_ms
        if not is_hit:
            issued = now
            self._copies[key] = issued
        issued_ms = int(issued * 1000)
        detail = "hit" if is_hit else "filled"
        body = b"%d %b" % (issued_ms, BODY)
        head = f"{request.id} data entity=e{issued_ms},issued={issued_ms},detail={detail} {len(body)}\r\n"
        return head.encode() + body + b"\r\n"


class SoakClient:
    """A client that sends several requests on a connection, with pauses, and sometimes leaves early."""

    def __init__(self, rng: random.Random, record: Record, deadlines: dict[str, float]) -> None:
        self._rng = rng
        self._record = record
        self._deadlines = deadlines

    async def run_connection(self, router: int, port: int) -> None:
        """Open one connection to a router and send requests on it until either side closes it."""
        try:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
        except OSError:
            await trio.sleep(0.05)  # no listener: the router hasn't started yet or has shut down
            return
        try:
            is_first = True
            while await self._request(stream, router, is_first):
                is_first = False
                await trio.sleep(self._rng.choice((0.0, 0.0, 0.02, 0.2)))
        finally:
            await trio.aclose_forcefully(stream)

    async def _request(self, stream: trio.SocketStream, router: int, is_first: bool) -> bool:
        """Send one request; return whether the connection can be reused."""
        observed, text = self._draw_request(router)
        wait_limit = observed.time_limit + LATE_RESPONSE_WAIT
        if self._rng.random() < 0.15:
            wait_limit = self._rng.choice((0.0, 0.002, 0.01, 0.1, 0.3))
        try:
            await stream.send_all(text)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False  # the connection closed while idle: the request was not accepted
        observed.sent_at = trio.current_time()
        self._record.requests[observed.request_id] = observed
        try:
            with trio.move_on_after(wait_limit) as waiting:
                is_reusable = await _receive(stream, observed)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            is_reusable = False
        if waiting.cancelled_caught:
            await trio.aclose_forcefully(stream)
            observed.client_left_at = trio.current_time()
            return False
        if (
            not observed.status
            and not is_first
            and trio.current_time() - observed.sent_at < CLOSE_RACE_WINDOW
        ):
            observed.raced_with_close = True
        return is_reusable

    def _draw_request(self, router: int) -> tuple[ObservedRequest, bytes]:
        rng = self._rng
        cls = rng.choices(("video-parts", "sheet-pages", "sheet-submit"), (4, 4, 2))[0]
        is_write = cls == "sheet-submit"
        number = rng.randrange(OBJECTS)
        time_limit = self._deadlines[cls] * rng.choice((0.5, 1.0, 1.0))
        request_id = f"{rng.getrandbits(64):016x}"
        group = number % GROUPS
        sent = ObservedRequest(request_id, router, 0.0, time_limit, is_write, f"{number:016x}", group)
        head = (
            f"{'PUT' if is_write else 'GET'} /api/v2/{cls}/{sent.obj}/n-1 HTTP/1.1\r\nHost: a\r\n"
            f"X-Txn: {sent.request_id}\r\nX-Ttl-Ms: {time_limit * 1000:.0f}\r\nX-Shard: {sent.group}\r\n"
        )
        return sent, (head + ("Content-Length: 6\r\n\r\nsigned" if is_write else "\r\n")).encode()


async def _receive(stream: trio.SocketStream, observed: ObservedRequest) -> bool:
    """Receive one response; return whether the connection can be reused."""
    received = b""
    while b"\r\n\r\n" not in received:
        if not (more := await stream.receive_some(65536)):
            return False
        received += more
    head, _, body = received.partition(b"\r\n\r\n")
    lines = [line.lower() for line in head.split(b"\r\n")]
    length = next((int(line[15:]) for line in lines if line.startswith(b"content-length:")), 0)
    while len(body) < length:
        if not (more := await stream.receive_some(65536)):
            return False
        body += more
    observed.status = int(head[9:12])
    observed.answered_at = trio.current_time()
    observed.extra_bytes = len(body) - length
    if observed.status == 200 and not observed.is_write:
        observed.issued_at = int(body.split(b" ")[0]) / 1000
    return b"connection: close" not in lines
