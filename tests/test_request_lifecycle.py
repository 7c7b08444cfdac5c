"""Races at the end of requests, connections and the process: disconnects, deadlines, drains and shutdown.

Most tests run the router as a process. To force a race they stop it with SIGSTOP while a peer does two things
that have to coincide, so that the router finds both done when it continues.
"""

from __future__ import annotations

import contextlib
import logging
import os
import resource
import signal
import socket
import struct
import time
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any

import pytest
import trio

from brackenlane.core.engine import RequestEngine
from brackenlane.core.engine_config import EngineConfig
from brackenlane.core.membership_view import MembershipView
from brackenlane.core.requests import Attempt, AttemptReply, PendingRequest
from brackenlane.core.timers import Timers
from brackenlane.limits import Limits
from brackenlane.net.cache_connection import CacheConnection
from brackenlane.net.client_state import ClientState
from brackenlane.net.connection_context import ConnectionContext, ConnectionQuota
from brackenlane.net.dispatched_attempt import DispatchedAttempt
from brackenlane.net.http_front import HttpFront
from brackenlane.net.poller import Poller
from brackenlane.net.request_codec import EncodedResponse
from brackenlane.observe.log_rate_limiter import LogRateLimiter
from brackenlane.routing.actions import Fetch
from brackenlane.routing.events import Arrival, Membership, MembershipKind
from brackenlane.routing.members import Member
from brackenlane.routing.settings import RequestClass, Settings
from tests.stand_ins import (
    SETTINGS,
    CacheStandIn,
    ChangeLogStandIn,
    ReceivedRequest,
    RouterProcess,
    ScriptedReply,
    cache_as_record,
    data_reply,
    free_port,
    run_platform,
    with_trio,
)

EDGE, OTHER, PARENT, ORIGIN = "s-00000001", "s-00000002", "s-00000008", "s-00000009"
MODELS = {ORIGIN: "origin", PARENT: "parent"}


async def start_caches(
    nursery: trio.Nursery, *ids: str, answer: Callable[[ReceivedRequest], ScriptedReply] = data_reply
) -> list[CacheStandIn]:
    """Start caches that all use the same answer function."""
    return [
        await CacheStandIn(cache_id, MODELS.get(cache_id, "type-a"), answer).open(nursery) for cache_id in ids
    ]


def limits(**changes: Any) -> dict[str, Any]:
    """Return settings in which some limits differ from SETTINGS."""
    return {"Limits": {**SETTINGS["Limits"], **changes}}


def read_request_bytes(txn: str, cls: str = "video-parts", obj: str = "7f3a9c21e0b4d655") -> bytes:
    """Return a read request as bytes."""
    return (
        f"GET /api/v2/{cls}/{obj}/n-3 HTTP/1.1\r\nHost: a\r\nX-Txn: {txn}\r\nX-Ttl-Ms: 3000\r\n"
        "X-Shard: 17\r\n\r\n"
    ).encode()


@contextlib.asynccontextmanager
async def stopped(router_process: RouterProcess) -> AsyncIterator[None]:
    """Stop the router process, so that it finds everything done in the meantime at once."""
    router_process.process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        router_process.process.send_signal(signal.SIGCONT)


@dataclass
class FullListener:
    """A listener whose accept queue is full."""

    port: int
    filler_ports: set[int]  # local ports of the connections that fill the queue
    accept: Callable[[], socket.socket]  # empties the queue and returns the first other connection

    async def wait_for_connect(self) -> None:
        """Wait until a connect to the listener is unanswered (proc(5), state SYN_SENT)."""

        def is_connecting(local: str, remote: str, state: str) -> bool:
            local_port, remote_port = (int(end.partition(":")[2], 16) for end in (local, remote))
            return remote_port == self.port and local_port not in self.filler_ports and state == "02"

        while not any(
            is_connecting(*line.split()[1:4]) for line in Path("/proc/net/tcp").read_text().splitlines()[1:]
        ):
            await trio.sleep(0.01)


@contextlib.contextmanager
def full_listener() -> Iterator[FullListener]:
    """Listen on a port that answers no handshake until `accept` empties its queue."""
    with socket.socket() as listener, contextlib.ExitStack() as stack:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        fillers = [stack.enter_context(socket.socket()) for _ in range(4)]
        for sock in fillers:
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())

        def accept_after_fillers() -> socket.socket:
            for sock in fillers:
                sock.close()
            listener.listen(16)
            while True:
                accepted, _ = listener.accept()
                accepted.settimeout(10)
                if accepted.getpeername()[1] not in filler_ports:
                    return accepted
                accepted.close()

        filler_ports = {sock.getsockname()[1] for sock in fillers}
        yield FullListener(listener.getsockname()[1], filler_ports, accept_after_fillers)


@with_trio
async def test_shutdown_ends_before_the_platform_kills_the_process(tmp_path: Path) -> None:
    """With time limits of 2 s, SIGKILL comes 2.7 s after SIGTERM, also if a client allows more time."""
    classes = [{**c, "GiveUpS": 2.0} for c in SETTINGS["Classes"]]
    async with trio.open_nursery() as nursery:
        caches = await start_caches(nursery, EDGE, ORIGIN, answer=lambda requested: None)
        async with run_platform(
            tmp_path, caches, may_probe=True, settings={"Classes": classes}
        ) as router_process:
            async with trio.open_nursery() as clients:
                statuses: list[int] = []

                async def send_request() -> None:
                    statuses.append((await router_process.request_object(ttl=20_000))[0])

                clients.start_soon(send_request)
                await caches[0].wait_until(lambda: bool(caches[0].received))
                router_process.process.send_signal(signal.SIGTERM)
                with trio.move_on_after(2.7):
                    assert await router_process.process.wait() == 0
                router_process.process.kill()
            assert statuses == [503]
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("following_bytes", [b"", read_request_bytes("2" * 16), b"x" * 9_000])
@with_trio
async def test_request_of_a_disconnected_client_is_not_sent(tmp_path: Path, following_bytes: bytes) -> None:
    """The router finds a request, bytes after it and the client's disconnect at once; no cache gets it."""
    async with trio.open_nursery() as nursery:
        caches = await start_caches(nursery, EDGE, ORIGIN)
        async with run_platform(tmp_path, caches) as router_process:
            await router_process.request_object()  # opens a connection to the cache
            async with stopped(router_process):
                with socket.create_connection(("127.0.0.1", router_process.port)) as client:
                    client.sendall(read_request_bytes("1" * 16) + following_bytes)
            assert (await router_process.request_object(txn="3" * 16))[0] == 200
            ids = [requested.id for cache in caches for requested in cache.received]
            assert ids[1:] == ["3" * 16]
        nursery.cancel_scope.cancel()


@with_trio
async def test_request_of_a_disconnected_client_is_not_retried(tmp_path: Path) -> None:
    """A failure response and the client's disconnect arrive together; the response is read first."""
    async with trio.open_nursery() as nursery:
        held_requests: list[ReceivedRequest] = []

        def hold(requested: ReceivedRequest) -> ScriptedReply:
            held_requests.append(requested)
            received.set()
            return None

        received = trio.Event()
        caches = await start_caches(nursery, EDGE, OTHER, ORIGIN)
        async with run_platform(tmp_path, caches) as router_process:
            for n in range(8):  # opens connections to the caches
                await router_process.request_object(obj=f"{n:016x}")
            for cache in caches:
                cache.answer = hold
            with socket.create_connection(("127.0.0.1", router_process.port)) as client:
                client.sendall(read_request_bytes("1" * 16))
                await received.wait()
                holder = next(cache for cache in caches if held_requests[0] in cache.received)
                async with stopped(router_process):
                    client.close()
                    await holder.send_raw(
                        held_requests[0].connection, data_reply(held_requests[0], b"", "failed")
                    )
            for cache in caches:
                cache.answer = data_reply
            assert (await router_process.request_object(txn="3" * 16))[0] == 200
            assert [requested.id for cache in caches for requested in cache.received].count("1" * 16) == 1
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("cancel", [True, False])
@with_trio
async def test_request_of_a_disconnected_client_is_not_sent_after_a_slow_connect(
    tmp_path: Path, cancel: bool
) -> None:
    """A request that waits for a connect is not sent once its client left, even if cancelling is disabled."""
    async with trio.open_nursery() as nursery:
        (origin,) = await start_caches(nursery, ORIGIN)
        unanswered = CacheStandIn(EDGE)
        with full_listener() as listener:
            unanswered.port = listener.port
            async with run_platform(
                tmp_path, [unanswered, origin], settings=limits(Cancel=cancel, DialTimeoutS=8.0)
            ) as router_process:
                leaving_client = await trio.open_tcp_stream("127.0.0.1", router_process.port)
                await leaving_client.send_all(read_request_bytes("1" * 16))
                staying_client = await trio.open_tcp_stream("127.0.0.1", router_process.port)
                await staying_client.send_all(read_request_bytes("2" * 16).replace(b"3000", b"9000"))
                # After this response the router has read both requests.
                await router_process.request_object("sheet-submit", body=b"x", ttl=300)
                await listener.wait_for_connect()
                await leaving_client.aclose()
                accepted = await trio.to_thread.run_sync(listener.accept)
                with accepted:
                    received = await trio.to_thread.run_sync(accepted.recv, 65536)
            assert received.startswith(b"GET " + b"2" * 16)
            assert b"1" * 16 not in received
        nursery.cancel_scope.cancel()


@with_trio
async def test_duplicate_response_does_not_count_for_the_next_attempt(tmp_path: Path) -> None:
    """A cache reports twice that a write did not run, the second time after the retry; it runs once."""
    retried: list[ReceivedRequest] = []
    received: list[ReceivedRequest] = []

    def answer(requested: ReceivedRequest) -> ScriptedReply:
        received.append(requested)
        if len(received) == 1:
            return data_reply(requested, b"", "full")
        retried.append(requested)
        if len(received) > 2:
            return data_reply(requested) + data_reply(requested)
        return data_reply(
            requested, b"", "full" if requested.connection == received[0].connection else "data"
        )

    async with trio.open_nursery() as nursery:
        caches = await start_caches(nursery, ORIGIN, answer=answer)
        async with run_platform(tmp_path, caches) as router_process:
            status, _, _ = await router_process.request_object("sheet-submit", body=b"signed")
            assert len(retried) == 1
            assert status == 200
            await router_process.request_object(
                "sheet-submit", body=b"signed"
            )  # answered twice, without effect
            await router_process.wait_for_log(b"a cache answered a request a second time")
        nursery.cancel_scope.cancel()


@with_trio
async def test_connection_with_an_endless_response_is_closed(tmp_path: Path) -> None:
    """A connection is closed if a response on it takes longer than any client waits."""
    classes = [{**c, "GiveUpS": 1.0} for c in SETTINGS["Classes"]]
    async with trio.open_nursery() as nursery:
        ended = trio.Event()

        def answer(requested: ReceivedRequest) -> ScriptedReply:
            if requested.id != "1" * 16:
                return data_reply(requested)
            nursery.start_soon(send_slowly, requested)
            return None

        async def send_slowly(requested: ReceivedRequest) -> None:
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await caches[0].send_raw(
                    requested.connection, data_reply(requested, bytes(200_000))[:-190_000]
                )
                while True:
                    await caches[0].send_raw(requested.connection, b"x")
                    await trio.sleep(0.02)
            ended.set()

        caches = await start_caches(nursery, EDGE, answer=answer)
        async with run_platform(tmp_path, caches, settings={"Classes": classes}) as router_process:
            assert (await router_process.request_object(txn="1" * 16, ttl=400))[0] in (503, 504)
            assert (await router_process.request_object(ttl=900))[
                0
            ] == 200  # not queued behind the slow response
            await ended.wait()
        nursery.cancel_scope.cancel()


@with_trio
async def test_retry_is_not_sent_after_its_repeat_window(tmp_path: Path) -> None:
    """A keyed write may have run; its retry waits for a connect until its window is over, and is not sent."""
    classes = [
        *SETTINGS["Classes"][:2],
        {**SETTINGS["Classes"][2], "Effect": "dedup", "WindowS": 0.5, "GiveUpS": 9.0},
    ]

    def hash_of(server: str, obj: str) -> bytes:  # rendezvous hash, as the router ranks caches of one weight
        return blake2b(f"{obj}/3/{server}".encode(), digest_size=8).digest()

    obj = next(
        candidate
        for candidate in (f"{n:016x}" for n in range(99))
        if hash_of(EDGE, candidate) > hash_of(OTHER, candidate)
    )
    async with trio.open_nursery() as nursery:
        edge, origin = await start_caches(
            nursery, EDGE, ORIGIN, answer=lambda requested: data_reply(requested, b"", "failed")
        )
        unanswered = CacheStandIn(OTHER)
        with full_listener() as listener:
            unanswered.port = listener.port
            async with run_platform(
                tmp_path,
                [edge, unanswered, origin],
                settings={**limits(DialTimeoutS=8.0), "Classes": classes},
            ) as router_process:
                status, received = 0, b""

                async def send_request() -> None:
                    nonlocal status
                    pending_response = router_process.request_object(
                        "sheet-submit", obj, b"signed", ttl=8000, X_Txn_Key="2" * 16
                    )
                    status = (await pending_response)[0]

                async with trio.open_nursery() as client:
                    client.start_soon(send_request)
                    await edge.wait_until(lambda: bool(edge.received))
                    await listener.wait_for_connect()
                    # Accepts after TCP's first retransmission, 1 s.
                    accepted = await trio.to_thread.run_sync(listener.accept)
                assert status in (502, 503)
                accepted.setblocking(False)
                with accepted, contextlib.suppress(BlockingIOError):
                    received = accepted.recv(65536)
                assert not received
                assert len(edge.received) == 1
        nursery.cancel_scope.cancel()


@with_trio
async def test_change_log_is_reached_while_idle_clients_use_all_descriptors(tmp_path: Path) -> None:
    """The change log is down while idle clients hold all descriptors; once it is up, its list is applied."""
    async with trio.open_nursery() as nursery:
        edge, other, origin = await start_caches(nursery, EDGE, OTHER, ORIGIN)
        log = ChangeLogStandIn()
        log.port = free_port()
        async with run_platform(tmp_path, [edge, other, origin], log, max_descriptors=64) as router_process:
            idle_clients = [await trio.open_tcp_stream("127.0.0.1", router_process.port) for _ in range(80)]
            router_process.log_output.clear()
            await router_process.wait_for_log(b"change log")  # a connect was tried while they are idle
            await log.open(nursery)
            await log.send_frame(2, 2, cache_as_record(edge, 1) + cache_as_record(other, 0))
            await log.reconnect()  # the frame has been applied
            assert log.start_numbers[-1] == 2
            assert [(await router_process.request_object(obj=f"{n:016x}"))[0] for n in range(8)] == [200] * 8
            assert not edge.received
            assert other.received
            for stream in idle_clients:
                await stream.aclose()
        nursery.cancel_scope.cancel()


@with_trio
async def test_clients_accepted_before_shutdown_are_answered(tmp_path: Path) -> None:
    """Forty clients connect and send requests between the last accept and the close of the listener."""
    # Even on a slow machine no request waits in the queue so long that it is rejected for that.
    long_deadlines = [{**c, "TargetS": 20.0, "GiveUpS": 25.0} for c in SETTINGS["Classes"]]
    async with trio.open_nursery() as nursery:
        caches = await start_caches(nursery, EDGE, ORIGIN)
        async with run_platform(tmp_path, caches, settings={"Classes": long_deadlines}) as router_process:
            await router_process.request_object()
            router_process.process.send_signal(signal.SIGTERM)
            await router_process.wait_for_log(b"leaves")
            with contextlib.ExitStack() as clients:
                async with stopped(router_process):
                    streams = []
                    for n in range(40):
                        client = clients.enter_context(
                            socket.create_connection(("127.0.0.1", router_process.port))
                        )
                        client.sendall(read_request_bytes(f"{n:016x}").replace(b"3000", b"25000"))
                        streams.append(trio.SocketStream(trio.socket.from_stdlib_socket(client)))
                    # By the clock of the router it is then time to close the listener.
                    await trio.sleep(Limits().shutdown_accept_time)
                responses = [await stream.receive_some(12) for stream in streams]
            assert responses == [b"HTTP/1.1 200"] * 40
            assert await router_process.process.wait() == 0
        nursery.cancel_scope.cancel()


@with_trio
async def test_requests_completed_after_the_last_responses_are_rejected(tmp_path: Path) -> None:
    """A request that is completed after all open ones were rejected is rejected too; no cache gets it."""
    classes = [{**c, "GiveUpS": 1.0} for c in SETTINGS["Classes"]]
    async with trio.open_nursery() as nursery:
        caches = await start_caches(nursery, EDGE, ORIGIN, answer=lambda requested: None)
        async with run_platform(
            tmp_path, caches, may_probe=True, settings={"Classes": classes}
        ) as router_process:
            complete, incomplete = [
                await trio.open_tcp_stream("127.0.0.1", router_process.port) for _ in range(2)
            ]
            router_process.process.send_signal(signal.SIGTERM)
            await router_process.wait_for_log(b"leaves")
            text = read_request_bytes("1" * 16).replace(b"3000", b"9000")
            await incomplete.send_all(text[:40])
            await complete.send_all(text.replace(b"1" * 16, b"2" * 16))
            assert (await complete.receive_some(12)) == b"HTTP/1.1 503"
            received_count = sum(len(cache.received) for cache in caches)
            await incomplete.send_all(text[40:])
            assert (await incomplete.receive_some(12)) == b"HTTP/1.1 503"
            assert await router_process.process.wait() == 0
            assert sum(len(cache.received) for cache in caches) == received_count
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("how", ["leave", "idle"])
@with_trio
async def test_bytes_that_arrive_during_a_close_cause_no_reset(how: str) -> None:
    """Bytes arrive between the last read of an idle connection and its close; the response stays whole.

    The test runs in one process, because the bytes have to arrive between two calls.
    """
    limits = Limits()
    core = RequestEngine(
        EngineConfig(Settings("here", ("here",), (RequestClass("a", 0.5, 1.0),)), 1, limits), lambda _: False
    )
    poller = Poller(limits.max_poll_events)
    front = HttpFront(core, limits, poller)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()

    class SocketWithLateBytes(socket.socket):
        """A socket to which bytes arrive just after `recv` found none."""

        def recv(self, *args: Any) -> bytes:
            """Receive; if there are no bytes, let the peer send some before the error is raised."""
            try:
                return super().recv(*args)
            except BlockingIOError:
                peer.sendall(read_request_bytes("1" * 16))
                raise

    with peer:
        front.listener.admit(SocketWithLateBytes(fileno=accepted.detach()))
        peer.sendall(b"GET /-/healthy HTTP/1.1\r\nHost: a\r\n\r\n")
        while not front.table.in_state(ClientState.IDLE):
            poller.run_round()
        [client] = front.table.in_state(ClientState.IDLE)
        if how == "leave":
            front.start_draining()
        else:
            client.expire()
        received = b""
        while chunk := peer.recv(4096):  # a reset would raise
            received += chunk
        assert received.startswith(b"HTTP/1.1 503")
        assert received.count(b"HTTP/1.1") == 1
        poller.run_round()
        assert not core.open_request_count  # the bytes after the close are not sent to a cache
        peer.close()
        while client.is_open:
            poller.run_round()


@with_trio
async def test_excess_bytes_after_a_request_only_close_its_connection(tmp_path: Path) -> None:
    """Two megabytes after an open request are discarded; the client gets one response, then a close."""
    async with trio.open_nursery() as nursery:
        (edge,) = await start_caches(nursery, EDGE, answer=lambda requested: None)
        async with run_platform(tmp_path, [edge]) as router_process:
            before = resident_bytes(router_process)
            async with await trio.open_tcp_stream("127.0.0.1", router_process.port) as client:
                await client.send_all(read_request_bytes("1" * 16))
                await edge.wait_until(lambda: bool(edge.received))
                # 2.2 MB; this blocks unless the router reads them.
                await client.send_all(read_request_bytes("2" * 16) * 16_000)
                await edge.send_raw(1, data_reply(edge.received[0]))
                response = b""
                with contextlib.suppress(trio.BrokenResourceError):
                    while chunk := await client.receive_some(65536):
                        response += chunk
            assert response.startswith(b"HTTP/1.1 200")
            assert b"Connection: close" in response
            assert response.count(b"HTTP/1.1") == 1
            assert response.endswith(b"bytes")
            edge.answer = data_reply
            assert (await router_process.request_object())[0] == 200
            assert [requested.id for requested in edge.received].count("2" * 16) == 0
            assert resident_bytes(router_process) - before < 1_000_000
            assert router_process.log_output.count(b"sends on and on behind its request") == 1
        nursery.cancel_scope.cancel()


def resident_bytes(router_process: RouterProcess) -> int:
    """Return the resident memory of the process in bytes (proc(5))."""
    pages = int(Path(f"/proc/{router_process.process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


@with_trio
async def test_log_lines_about_invalid_responses_are_limited(tmp_path: Path) -> None:
    """Two hundred invalid responses give at most a hundred log lines."""
    async with trio.open_nursery() as nursery:
        caches = await start_caches(
            nursery, EDGE, ORIGIN, answer=lambda requested: data_reply(requested, issued="soon")
        )
        async with run_platform(tmp_path, caches) as router_process:
            for n in range(200):
                await router_process.request_object(obj=f"{n:016x}", ttl=300)
            logged_count = router_process.log_output.count(b"answered with what can't be served")
            assert sum(len(cache.received) for cache in caches) >= 200
            assert 0 < logged_count <= 100
        nursery.cancel_scope.cancel()


def test_log_line_reports_suppressed_lines(monkeypatch: pytest.MonkeyPatch) -> None:
    throttle, passed = LogRateLimiter(2, 1.0, max_kinds=3), []
    for n in range(50):
        record = logging.LogRecord("a", logging.WARNING, "", 0, "%s is bad", (f"box {n}",), None)
        monkeypatch.setattr(time, "monotonic", lambda n=n: n / 10)  # five periods of ten lines
        record.created = -n  # the wall clock has no effect
        if throttle.filter(record):
            passed.append(record.getMessage())
    assert passed[:3] == ["box 0 is bad", "box 1 is bad", "box 10 is bad (and 8 more like it)"]
    assert len(passed) == 10
    for n in range(9):
        assert throttle.filter(logging.LogRecord("a", logging.INFO, "", 0, f"kind {n}", (), None))
    assert len(throttle._windows) <= 3


class SlowChangeLog(ChangeLogStandIn):
    """A change log that sends the list of caches only after a delay."""

    def __init__(self, seconds: float, caches: list[CacheStandIn]) -> None:
        super().__init__()
        self._seconds, self._caches = seconds, caches

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.start_numbers.append(int.from_bytes(await stream.receive_some(8), "big"))
        await trio.sleep(self._seconds)
        entries = b"".join(cache_as_record(cache, 0) for cache in self._caches)
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all((9 + len(entries)).to_bytes(4, "big") + bytes(7) + b"\x01\x01" + entries)
            await trio.sleep_forever()


@with_trio
async def test_slow_change_log_is_not_reconnected_endlessly(tmp_path: Path) -> None:
    """The first frame takes 4 s on any connection, longer than the timeout; the router is ready in 10 s."""
    async with trio.open_nursery() as nursery:
        caches = await start_caches(nursery, EDGE)
        log = await SlowChangeLog(4.0, caches).open(nursery)
        async with run_platform(tmp_path, [], log, include_known=False) as router_process:
            with trio.fail_after(10):
                await wait_until_ready(router_process)
            assert (await router_process.request_object())[0] == 200
            assert len(log.start_numbers) == 2
        nursery.cancel_scope.cancel()


async def wait_until_ready(router_process: RouterProcess) -> None:
    """Wait until the health check succeeds."""
    while (await router_process.send("GET", "/-/healthy", {}))[0] != 200:
        await trio.sleep(0.05)


@with_trio
async def test_simultaneous_restarts_are_ready_in_time(tmp_path: Path) -> None:
    """Ten routers restart together and the first frame takes 2 s; at least nine are ready within 10 s."""
    async with trio.open_nursery() as nursery:
        caches = await start_caches(nursery, EDGE)
        log = await SlowChangeLog(2.0, caches).open(nursery)
        in_time: list[int] = []

        async def restart(index: int, folder: Path) -> None:
            port = free_port()
            for start_number in range(2):
                started_at = trio.current_time()
                async with run_platform(folder, [], log, include_known=False, port=port) as router_process:
                    await wait_until_ready(router_process)
                    if start_number:
                        in_time.append(trio.current_time() - started_at < 10)
                    router_process.process.send_signal(signal.SIGTERM)
                    assert await router_process.process.wait() == 0

        async with trio.open_nursery() as starts:
            for index in range(10):
                (folder := tmp_path / str(index)).mkdir()
                starts.start_soon(restart, index, folder)
        assert len(in_time) == 10
        assert sum(in_time) >= 9
        nursery.cancel_scope.cancel()


@with_trio
async def test_client_leaves_before_its_request_is_complete(tmp_path: Path) -> None:
    """After an incomplete head, a FIN or a reset, no cache gets anything and the next client is served."""
    async with trio.open_nursery() as nursery:
        caches = await start_caches(nursery, EDGE, ORIGIN)
        async with run_platform(tmp_path, caches) as router_process:
            for reset in (False, True):
                with socket.create_connection(("127.0.0.1", router_process.port)) as client:
                    client.sendall(read_request_bytes("1" * 16)[:-2])
                    if reset:
                        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            assert (await router_process.request_object(txn="3" * 16))[0] == 200
            assert [requested.id for cache in caches for requested in cache.received] == ["3" * 16]
            assert (await router_process.request_object("no-such-class"))[0] == 404
            await router_process.wait_for_log(b"a request that can't be served: no such class or object")
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("reset", [False, True])
@with_trio
async def test_disconnect_while_the_response_is_written(tmp_path: Path, reset: bool) -> None:
    """Clients read little of the largest response and disconnect; the next client gets its response whole."""
    body = bytes(range(256)) * 937
    async with trio.open_nursery() as nursery:
        caches = await start_caches(
            nursery, EDGE, ORIGIN, answer=lambda requested: data_reply(requested, body)
        )
        async with run_platform(tmp_path, caches) as router_process:
            for n in range(1, 9):
                with socket.socket() as client:
                    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                    client.connect(("127.0.0.1", router_process.port))
                    client.sendall(read_request_bytes(f"{n:016x}"))
                    receiver = trio.socket.from_stdlib_socket(client.dup())
                    assert (await receiver.recv(100)).startswith(b"HTTP/1.1 200")
                    receiver.close()
                    if reset:
                        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                assert (await router_process.request_object())[2] == body
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("reason", ["time", "drained", "gone", "source"])
@with_trio
async def test_request_is_not_sent_on_a_connection_that_came_too_late(tmp_path: Path, reason: str) -> None:
    """During the connect the deadline passes, or the cache or the fill's source drains or is removed."""
    async with trio.open_nursery() as nursery:
        log = await ChangeLogStandIn().open(nursery)
        parent, origin, other = await start_caches(nursery, PARENT, ORIGIN, OTHER)
        unanswered = CacheStandIn(EDGE)
        with full_listener() as listener:
            unanswered.port = listener.port
            listed = [unanswered, parent, origin] if reason == "source" else [unanswered, origin]
            async with run_platform(
                tmp_path, listed, log, settings=limits(DialTimeoutS=8.0)
            ) as router_process:
                statuses: list[int] = []

                async def send_request() -> None:
                    ttl = 400 if reason == "time" else 6000
                    statuses.append((await router_process.request_object(txn="1" * 16, ttl=ttl))[0])

                async with trio.open_nursery() as client:
                    client.start_soon(send_request)
                    await listener.wait_for_connect()
                    if reason != "time":
                        entries = {
                            "drained": cache_as_record(unanswered, 1),
                            "gone": cache_as_record(unanswered, 2),
                            "source": cache_as_record(parent, 1) + cache_as_record(origin, 1),
                        }[reason]
                        await log.send_frame(2, 2, entries + cache_as_record(other, 0))
                        await log.reconnect()  # the frame has been applied
                    else:
                        while not statuses:
                            await trio.sleep(0.01)
                    accepted = await trio.to_thread.run_sync(listener.accept)
                with accepted:
                    accepted.setblocking(False)
                    with contextlib.suppress(BlockingIOError):
                        assert b"GET" not in accepted.recv(65536)
                assert statuses == [504 if reason == "time" else 200 if reason != "source" else statuses[0]]
        nursery.cancel_scope.cancel()


@with_trio
async def test_idle_connections_are_closed_for_those_needed(tmp_path: Path) -> None:
    """With more caches than descriptors for connections to them, all caches are still used."""
    async with trio.open_nursery() as nursery:
        ids = [f"s-000001{n:02x}" for n in range(24)]
        caches = await start_caches(nursery, *ids, ORIGIN)
        async with run_platform(tmp_path, caches, max_descriptors=64) as router_process:
            statuses = [(await router_process.request_object(obj=f"{n:016x}"))[0] for n in range(200)]
            assert statuses == [200] * 200
            assert all(cache.received for cache in caches[:-1])
            assert sum(cache.connection_count for cache in caches) > 30
        nursery.cancel_scope.cancel()


@with_trio
async def test_idle_connections_close_before_the_cache_closes_them(tmp_path: Path) -> None:
    """The router closes an idle connection before the cache's keep-alive time ends, then opens a new one."""
    async with trio.open_nursery() as nursery:
        (edge,) = await start_caches(nursery, EDGE)
        async with run_platform(tmp_path, [edge], settings=limits(KeepaliveS=0.6)) as router_process:
            assert (await router_process.request_object())[0] == 200
            with trio.fail_after(5):
                await edge.wait_until(lambda: edge.ended_count == 1)
            assert (await router_process.request_object())[0] == 200
            assert edge.connection_count == 2
        nursery.cancel_scope.cancel()


@with_trio
async def test_submit_is_sent_again_if_the_idle_connection_was_just_closed(tmp_path: Path) -> None:
    """The cache closes the idle connection just as a submit arrives; it runs once, on another connection."""
    async with trio.open_nursery() as nursery:
        (origin,) = await start_caches(nursery, ORIGIN)
        async with run_platform(tmp_path, [origin]) as router_process:
            for n in range(1, 6):
                assert (await router_process.request_object("sheet-submit", body=b"signed"))[0] == 200
                text = read_request_bytes(f"{n:016x}", "sheet-submit").replace(b"GET", b"PUT")
                async with await trio.open_tcp_stream("127.0.0.1", router_process.port) as client:
                    async with stopped(router_process):
                        await origin.close_connection(origin.connection_count)
                        await client.send_all(text[:-2] + b"Content-Length: 6\r\n\r\nsigned")
                    assert (await client.receive_some(12)) == b"HTTP/1.1 200"
                assert [requested.id for requested in origin.received].count(f"{n:016x}") == 1
        nursery.cancel_scope.cancel()


@with_trio
async def test_silent_change_log_is_reconnected(tmp_path: Path) -> None:
    """The change log connection stays open without bytes; the next connection gets the missed events."""
    async with trio.open_nursery() as nursery:
        edge, origin = await start_caches(nursery, EDGE, ORIGIN)
        log = await ChangeLogStandIn().open(nursery)
        async with run_platform(tmp_path, [edge, origin], log) as router_process:
            await log.send_frame(2, 0, b"")
            while len(log.start_numbers) < 2:
                log.updated = trio.Event()
                await log.updated.wait()
            await log.send_frame(3, 2, cache_as_record(edge, 1))
            await log.reconnect()
            assert log.start_numbers[-1] == 3
            assert (await router_process.request_object())[0] == 200
            assert not edge.received
        nursery.cancel_scope.cancel()


@with_trio
async def test_moved_cache_is_reached_at_its_new_address(tmp_path: Path) -> None:
    """A request that waits for a connect to the old address is sent to the new one at once."""
    async with trio.open_nursery() as nursery:
        log = await ChangeLogStandIn().open(nursery)
        (edge,) = await start_caches(nursery, EDGE)
        unanswered = CacheStandIn(EDGE)
        with full_listener() as listener:
            unanswered.port = listener.port
            async with run_platform(
                tmp_path, [unanswered], log, settings=limits(DialTimeoutS=8.0)
            ) as router_process:
                statuses: list[int] = []

                async def send_request() -> None:
                    statuses.append((await router_process.request_object())[0])

                async with trio.open_nursery() as client:
                    client.start_soon(send_request)
                    await listener.wait_for_connect()
                    await log.send_frame(2, 2, cache_as_record(edge, 0))
                assert statuses == [200]
        nursery.cancel_scope.cancel()


@with_trio
async def test_descriptor_shortage_is_not_attributed_to_the_cache(tmp_path: Path) -> None:
    """Without a free descriptor a request gets a 503 response; the cache is used again once there is one."""
    async with trio.open_nursery() as nursery:
        (edge,) = await start_caches(nursery, EDGE)
        async with run_platform(tmp_path, [edge]) as router_process:
            client = await trio.open_tcp_stream("127.0.0.1", router_process.port)
            health_request = b"GET /-/healthy HTTP/1.1\r\nHost: a\r\n\r\n"
            await client.send_all(health_request)
            assert (await client.receive_some(100)).startswith(b"HTTP/1.1 200")
            pid, open_count = (
                router_process.process.pid,
                len(os.listdir(f"/proc/{router_process.process.pid}/fd")),
            )
            limits_before = resource.prlimit(pid, resource.RLIMIT_NOFILE)
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (open_count, limits_before[1]))
            await client.send_all(read_request_bytes("1" * 16))
            assert (await client.receive_some(1000)).startswith(b"HTTP/1.1 503")
            assert not edge.received
            resource.prlimit(pid, resource.RLIMIT_NOFILE, limits_before)
            await client.send_all(read_request_bytes("2" * 16))
            assert (await client.receive_some(1000)).startswith(b"HTTP/1.1 200")
        nursery.cancel_scope.cancel()


@with_trio
async def test_attempt_that_expires_in_the_queue_does_not_corrupt_the_next() -> None:
    """The next queued attempt has expired once its connection is writable, and its end queues another one.

    That one is partly written while the queue is still being processed. The test runs in one process, because
    the order of calls matters.
    """
    settings = Settings("here", ("here",), (RequestClass("a", 0.5, 9.0, uncached=True),))
    limits, poller, membership, now = Limits(), Poller(512), MembershipView(settings), time.time()
    membership.apply(Membership(MembershipKind.FULL, (Member("box", "here"),)), now)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        router_socket = socket.socket()
        router_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        router_socket.connect(listener.getsockname())
        peer, _ = listener.accept()
    router_socket.setblocking(False)
    ended_attempts: list[str] = []

    def make_attempt(
        name: str, time_left: float, on_end: Callable[[], None] = lambda: None
    ) -> DispatchedAttempt:
        def report(attempt: Attempt, reply: AttemptReply) -> None:
            attempt.reply = reply
            ended_attempts.append(name)
            on_end()

        body = name.encode() * 2_000_000
        pending_request = PendingRequest(
            Arrival(name, 9.0, "a", "thing", is_write=True), now + 9, name, body=body
        )
        return DispatchedAttempt(
            Attempt(pending_request, 0, Fetch(name, "box", time_left, "box"), now), report
        )

    timers = Timers()
    context = ConnectionContext(
        membership, limits, poller, timers, lambda *_: None, lambda _: None, ConnectionQuota(9), settings
    )
    connection = CacheConnection(router_socket, context, lambda _: None)
    connection.send(make_attempt("x", 9.0))  # more than the send buffer holds
    connection.send(make_attempt("y", -1.0, lambda: connection.send(make_attempt("z", 9.0))))
    with peer:
        peer.setblocking(False)
        received = b""
        while not received.endswith(b"z" * 2_000_000 + b"\r\n"):
            with contextlib.suppress(BlockingIOError):
                received += peer.recv(65_536)
            poller.run_round()
            assert time.time() < now + 8, f"{len(received)} bytes came"
        assert ended_attempts == ["y"]
        assert received.count(b"GET ") == 2
        assert b"x" * 2_000_000 + b"\r\nGET z " in received
    connection.close()


@with_trio
async def test_excess_bytes_while_a_response_is_written_are_not_parsed() -> None:
    """Discarded bytes leave a gap in the input, so the bytes after them are not parsed as a request.

    The test runs in one process; the response is larger than the send buffer.
    """
    core = RequestEngine(
        EngineConfig(Settings("here", ("here",), (RequestClass("a", 0.5, 1.0),)), 1, Limits()),
        lambda _: False,
    )
    poller = Poller(512)
    front = HttpFront(core, Limits(), poller)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    with peer:
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        front.listener.admit(accepted)
        [client] = front.table.in_state(ClientState.NEW)
        client.enter_state(ClientState.ACTIVE)
        client._input.unrequested_bytes_left = Limits().max_head_size
        client.answer(EncodedResponse(200, {}, bytes(8_000_000)))
        assert client in front.table.in_state(ClientState.WRITING)
        peer.sendall(b"x" * 20_000)
        peer.sendall(b"GET /-/healthy HTTP/1.1\r\nHost: a\r\n\r\n" * 1000)
        peer.setblocking(False)
        received, is_closed, give_up_at = b"", False, time.time() + 20
        while not is_closed:
            assert time.time() < give_up_at, f"{received.count(b'HTTP/1.1')} answers"
            poller.run_round()
            with contextlib.suppress(BlockingIOError):
                chunk = peer.recv(1_000_000)
                received, is_closed = received + chunk, not chunk
        assert received.count(b"HTTP/1.1") == 1
        assert len(received) > 8_000_000
        front.poller.remove(accepted.fileno())
