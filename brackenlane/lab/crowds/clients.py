"""Clients of a crowd, and the well-behaved clients beside it whose answers are recorded."""

from __future__ import annotations

import contextlib
import math
import socket
import time
from dataclasses import dataclass, field

import trio

from brackenlane.lab.crowds.requests import CacheBehavior, CrowdPlan, next_requests, read_request

HOLD_SECONDS = 2.4  # time for which a client that sent its bytes keeps the connection; then it starts over
RECONNECT_PAUSE = 0.05  # seconds
REPEAT_PAUSE = 0.001  # seconds between two batches of a repeating client
RECEIVE_BYTES = 262_144
SMALL_RECEIVE_BUFFER = 4_096  # bytes, of a client that does not read
WELL_BEHAVED_INTERVAL = 0.1  # seconds between two requests of a well-behaved client
TIME_LIMIT = 2.0  # seconds, of a well-behaved request
LATE_ANSWER_WAIT = 2.0  # seconds for which a late answer is waited for


async def _connect(port: int, receive_buffer: int = 0) -> trio.SocketStream:
    sock = trio.socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    await sock.connect(("127.0.0.1", port))
    return trio.SocketStream(sock)


async def run_crowd_client(port: int, plan: CrowdPlan) -> None:
    """Behave as one client of the crowd until cancelled."""
    hold_seconds = math.inf if plan.repeats else HOLD_SECONDS
    while True:
        with contextlib.suppress(OSError):
            async with await _connect(port, 0 if plan.reads_answers else SMALL_RECEIVE_BUFFER) as stream:
                with trio.move_on_after(hold_seconds):
                    await _use_connection(stream, plan)
        await trio.sleep(RECONNECT_PAUSE)


async def _use_connection(stream: trio.SocketStream, plan: CrowdPlan) -> None:
    async with trio.open_nursery() as nursery:
        if plan.reads_answers:
            nursery.start_soon(_read_until_closed, stream, nursery.cancel_scope)
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(plan.first)
            while plan.repeats:
                await stream.send_all(next_requests(plan.crowd))
                await trio.sleep(REPEAT_PAUSE)
        if plan.repeats:
            nursery.cancel_scope.cancel()
        await trio.sleep_forever()


async def _read_until_closed(stream: trio.SocketStream, scope: trio.CancelScope) -> None:
    with contextlib.suppress(trio.BrokenResourceError):
        while await stream.receive_some(RECEIVE_BYTES):
            pass
    scope.cancel()


@dataclass
class WellBehavedResults:
    """What became of the requests of the well-behaved clients."""

    statuses: dict[int, int] = field(default_factory=dict)  # answers by status; 0: closed without one
    late: int = 0  # answered after the time limit
    unanswered: int = 0  # neither answered nor closed
    waits: list[float] = field(default_factory=list)  # seconds to the answer

    @property
    def sent(self) -> int:
        """Number of requests."""
        return sum(self.statuses.values()) + self.unanswered


async def run_well_behaved_client(port: int, results: WellBehavedResults) -> None:
    """Send one request after the other, each on a new connection, until cancelled."""
    while True:
        await trio.sleep(WELL_BEHAVED_INTERVAL)
        began = time.monotonic()
        with trio.move_on_after(TIME_LIMIT + LATE_ANSWER_WAIT) as waiting:
            status = await _request(port)
        if waiting.cancelled_caught:
            results.unanswered += 1
            continue
        wait = time.monotonic() - began
        results.waits.append(wait)
        results.late += wait > TIME_LIMIT
        results.statuses[status] = results.statuses.get(status, 0) + 1


async def _request(port: int) -> int:
    """Return the status of the answer to one request; 0 if the connection ended without one."""
    received = b""
    with contextlib.suppress(OSError, trio.BrokenResourceError):
        async with await _connect(port) as stream:
            await stream.send_all(read_request(CacheBehavior.SMALL, int(TIME_LIMIT * 1000)))
            while b"\r\n\r\n" not in received:
                if not (more := await stream.receive_some(65536)):
                    return 0
                received += more
            return int(received[9:12])
    return 0
