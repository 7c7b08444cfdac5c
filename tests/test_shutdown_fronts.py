"""At the end of a process every front answers what it has taken."""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from http import HTTPStatus
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import dns.message
import dns.rcode
import pytest
import trio
import trio.testing

from brackenlane.core.claims import ClaimResult
from brackenlane.core.engine import RequestEngine
from brackenlane.core.engine_config import EngineConfig
from brackenlane.core.requests import Answer, Disposition
from brackenlane.core.timers import Timers
from brackenlane.dns.query_answering import QueryAnswering
from brackenlane.dns.responder import Responder
from brackenlane.dns.tcp_server import create_tcp_front
from brackenlane.limits import Limits
from brackenlane.net.client_connection import ClientConnection
from brackenlane.net.http_front import HttpFront
from brackenlane.net.poller import Poller
from brackenlane.net.stream_front import StreamConnection, StreamFront
from brackenlane.ops.admin_api import AdminApi
from brackenlane.ops.admin_routes import AdminResponse, AdminRoutes
from brackenlane.routing.settings import RequestClass, Settings
from tests.stand_ins import CacheStandIn, Redis, run_appliance, with_trio
from tests.test_appliance import start_caches

ASKED_AFTER = 0.6  # seconds from SIGTERM; the process accepts for 0.8 s, and a connect times out after 0.4 s
QUERY_COUNT = 12


@contextmanager
def vanished_machine() -> Iterator[int]:
    """Yield a port whose connections never come up: its backlog is full, and nobody accepts."""
    with ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield listener.getsockname()[1]


def query(number: int) -> bytes:
    """Return a query for an object."""
    return dns.message.make_query(f"n-0.{number:016x}.video-parts.caches.test.", "A").to_wire()


def with_length(message: bytes) -> bytes:
    """Return a message in the form that it has over TCP."""
    return len(message).to_bytes(2, "big") + message


async def receive_replies(stream: trio.SocketStream) -> list[bytes]:
    """Return the replies on a connection until it ends."""
    data = b""
    while chunk := await stream.receive_some(65_536):
        data += chunk
    replies = []
    while data:
        end = 2 + int.from_bytes(data[:2], "big")
        assert len(data) >= end, "the last reply is cut"
        replies.append(data[2:end])
        data = data[end:]
    return replies


def as_unreachable(cache: CacheStandIn, port: int) -> CacheStandIn:
    """Return a cache whose connections go to another port."""
    cache.port = port
    return cache


@with_trio
async def test_tcp_queries_in_flight_at_the_end_are_answered(tmp_path: Path) -> None:
    """Guards against queries that are cut off by the end of the HTTP front, while a cache has vanished."""
    replies: list[bytes] = []
    async with trio.open_nursery() as nursery:
        caches = await start_caches(nursery, "box-1", "box-2")
        with vanished_machine() as port:
            as_unreachable(caches[0], port)
            async with run_appliance(tmp_path, caches) as (running, dns_port, _):
                streams = [await trio.open_tcp_stream("127.0.0.1", dns_port) for _ in range(QUERY_COUNT)]
                running.process.send_signal(signal.SIGTERM)
                await trio.sleep(ASKED_AFTER)

                async def ask(stream: trio.SocketStream, number: int) -> None:
                    await stream.send_all(with_length(query(number)))
                    replies.extend(await receive_replies(stream))

                async with trio.open_nursery() as clients:
                    for number, stream in enumerate(streams):
                        clients.start_soon(ask, stream, number)
                assert await running.process.wait() == 0
        nursery.cancel_scope.cancel()
    assert len(replies) == QUERY_COUNT
    assert {dns.message.from_wire(reply).rcode() for reply in replies} == {dns.rcode.NOERROR}


@with_trio
async def test_udp_queries_in_flight_at_the_end_are_answered(tmp_path: Path) -> None:
    """Guards against datagrams that were received, or have arrived, and get no answer."""
    async with trio.open_nursery() as nursery:
        caches = await start_caches(nursery, "box-1", "box-2")
        with vanished_machine() as port, trio.socket.socket(type=trio.socket.SOCK_DGRAM) as client:
            as_unreachable(caches[0], port)
            async with run_appliance(tmp_path, caches) as (running, dns_port, _):
                running.process.send_signal(signal.SIGTERM)
                await trio.sleep(ASKED_AFTER)
                for number in range(QUERY_COUNT):
                    await client.sendto(query(number), ("127.0.0.1", dns_port))
                assert await running.process.wait() == 0
                with trio.fail_after(1.0):  # the process has ended, so what it sent has arrived
                    for _ in range(QUERY_COUNT):
                        assert dns.message.from_wire(await client.recv(4_096)).answer
        nursery.cancel_scope.cancel()


@with_trio
async def test_queries_are_failed_when_the_time_for_answers_is_up() -> None:
    """Guards against queries, open or behind an open one, that are still without an answer at the kill."""

    class SilentResponder:
        """Never answers."""

        async def respond(self, wire: bytes, udp: bool) -> bytes | None:
            """Wait."""
            await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        answering = QueryAnswering(cast(Responder, SilentResponder()))
        front = create_tcp_front(answering, Limits())
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(front.run, [listener])
        stream = await trio.open_tcp_stream("127.0.0.1", listener.socket.getsockname()[1])
        await stream.send_all(b"".join(with_length(query(n)) for n in range(QUERY_COUNT)))
        await trio.testing.wait_all_tasks_blocked(0.05)
        assert front.stop_accepting()
        front.start_draining()
        front.reject_open_requests()
        replies = await receive_replies(stream)
        await front.wait_until_closed()
    assert len(replies) == QUERY_COUNT
    assert {dns.message.from_wire(reply).rcode() for reply in replies} == {dns.rcode.SERVFAIL}


@pytest.mark.parametrize(
    "wire",
    [b"", b"ab", b"ab\x01" + bytes(8), b"ab\x81" + bytes(9)],
    ids=["empty", "id only", "cut header", "response"],
)
@with_trio
async def test_message_that_is_no_query_is_not_answered_when_time_is_up(wire: bytes) -> None:
    """Guards against a short datagram that ends the front, and two servers that answer each other."""
    answering = QueryAnswering(cast(Responder, None))
    answering.reject_all()
    assert await answering.answer(wire, udp=True) is None


@with_trio
async def test_console_command_in_flight_at_the_end_is_answered(tmp_path: Path) -> None:
    """Guards against a change that is carried out, and whose operator is not told so."""
    async with trio.open_nursery() as nursery:
        redis = await Redis().open(nursery)
        caches = await start_caches(nursery, "box-1", "box-2")
        async with run_appliance(tmp_path, caches, redis=redis) as (running, _, path):
            await redis.read_started.wait()
            redis.extra_delay = 1.0  # so that the command takes 0.3 s
            async with await trio.open_unix_socket(str(path.with_name("a1.sock"))) as stream:
                running.process.send_signal(signal.SIGTERM)
                await trio.sleep(ASKED_AFTER + 0.1)
                await stream.send_all(b"drain box-1\n")
                answer = b""
                while chunk := await stream.receive_some(1_024):
                    answer += chunk
            assert await running.process.wait() == 0
        nursery.cancel_scope.cancel()
    assert answer == b"box-1 drained\nthe store is away: the others hear of it when it is back\n\n"


@with_trio
async def test_connection_in_the_backlog_and_bytes_not_read_yet_are_served() -> None:
    """Guards against a request that the machine has accepted and the program has not read at its end."""

    async def echo(connection: StreamConnection) -> None:
        while data := await connection.receive(1):
            await trio.sleep(0.01)  # the next byte is not read yet when the front drains
            await connection.send(data)

    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        front = StreamFront("echo", echo, max_connections=8)
        nursery.start_soon(front.run, [listener])
        port = listener.socket.getsockname()[1]
        first = await trio.open_tcp_stream("127.0.0.1", port)
        idle = await trio.open_tcp_stream("127.0.0.1", port)
        await first.send_all(b"abc")
        assert await first.receive_some(1) == b"a"
        with socket.create_connection(("127.0.0.1", port)) as queued:  # no task runs before the next lines
            queued.sendall(b"xyz")
            assert front.stop_accepting()
            front.start_draining()
            await front.wait_until_closed()
            assert queued.recv(8) == b"xyz"
        assert b"".join([await first.receive_some(8), await first.receive_some(8)]) == b"bc"
        assert await idle.receive_some(8) == b""
        with pytest.raises(OSError, match="all attempts to connect"):
            await trio.open_tcp_stream("127.0.0.1", port)


def test_admin_call_that_is_not_read_yet_is_answered_at_the_end() -> None:
    """Guards against an order at the admin API that is closed unread, and a response that is cut."""
    limits = Limits()
    poller = Poller(limits.max_poll_events)
    body = b"x" * 1_000_000  # more than the socket's buffers take at once
    routes = cast(AdminRoutes, SimpleNamespace(respond=lambda _: AdminResponse(HTTPStatus.OK, body, {})))
    api = AdminApi(poller, Timers(), limits, routes)
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    api.open(listener)
    with socket.create_connection(listener.getsockname()) as client:
        client.sendall(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
        assert api.stop_accepting()
        api.start_draining()
        received = b""

        async def receive() -> None:
            nonlocal received
            while chunk := await trio.to_thread.run_sync(client.recv, 65_536):
                received += chunk
                poller.run_round()

        async def end() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(receive)
                await api.wait_until_closed()

        trio.run(end)
    assert received.startswith(b"HTTP/1.1 200")
    assert received.endswith(body)


@with_trio
async def test_claim_of_a_rejected_write_is_released_before_the_end() -> None:
    """Guards against a rejected write whose repetition is refused for an hour as taken."""

    class SlowClaims:
        """Claims whose release takes a while."""

        released = False

        async def claim(self, txn: str) -> ClaimResult:
            """Claim nothing."""
            raise NotImplementedError(txn)

        async def release(self, txn: str) -> None:
            """Release after a while."""
            await trio.sleep(0.05)
            self.released = True

    claims = SlowClaims()
    limits = Limits()
    settings = Settings("here", ("here",), (RequestClass("a", 0.5, 1.0),))
    core = RequestEngine(EngineConfig(settings, 1, limits), lambda _: False)
    async with trio.open_nursery() as nursery:
        front = HttpFront(core, limits, Poller(limits.max_poll_events), claims, nursery)
        client = cast(ClientConnection, SimpleNamespace(request=None, answer=lambda _: None))
        request = cast(Any, SimpleNamespace(client_request_id="txn-1", must_run_once=False))
        front.intake._answer_claimed(client, request, claims, Answer(Disposition.REJECTED, retry_after=1.0))
        await front.wait_until_closed()
        assert claims.released
        nursery.cancel_scope.cancel()
