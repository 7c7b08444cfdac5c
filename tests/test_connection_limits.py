"""Client connections near their limit: silent clients, slow writers and readers next to working clients."""

from __future__ import annotations

import contextlib
import os
import signal
import time
from pathlib import Path

import trio

from tests.stand_ins import (
    CacheStandIn,
    ReceivedRequest,
    ScriptedReply,
    data_reply,
    free_port,
    run_platform,
    with_trio,
)
from tests.test_admin_api import read_metrics
from tests.test_handover import READ_REQUEST, read_status

EDGE, ORIGIN = "s-00000001", "s-00000009"
SOCKETS = 192  # file descriptors of the router, of which two fifths are for client connections


def request(obj: str = "7f3a9c21e0b4d655") -> bytes:
    return READ_REQUEST % (obj.encode(), os.urandom(8).hex().encode())


@with_trio
async def test_connection_with_a_request_is_not_closed(tmp_path: Path) -> None:
    """Each request is answered if more clients connect and send a request than the connection limit allows.

    All requests are written before any connection is accepted. The test fails if the router makes room by
    closing connections that it has accepted and not yet read.
    """
    async with trio.open_nursery() as nursery:
        caches = [
            await cache.open(nursery)
            for cache in (
                CacheStandIn(EDGE, answer=lambda _: None),
                CacheStandIn(ORIGIN, "origin", answer=lambda _: None),
            )
        ]
        async with run_platform(tmp_path, caches, max_sockets=SOCKETS) as router_process:
            router_process.process.send_signal(signal.SIGSTOP)
            streams = [await trio.open_tcp_stream("127.0.0.1", router_process.port) for _ in range(84)]
            for stream in streams:
                await stream.send_all(request(os.urandom(8).hex()).replace(b"Ms: 2000", b"Ms: 600"))
            router_process.process.send_signal(signal.SIGCONT)
            statuses = [await read_status(stream) for stream in streams]
            # 504: accepted, and unanswered by the cache until its deadline; 503: beyond the connection limit.
            assert set(statuses) == {503, 504}
            for stream in streams:
                await stream.aclose()
        nursery.cancel_scope.cancel()


@with_trio
async def test_silent_clients_do_not_displace_working_ones(tmp_path: Path) -> None:
    """Requests are answered while hundreds of clients send nothing or only a part of a request."""
    is_released = trio.Event()

    def answer(requested: ReceivedRequest) -> ScriptedReply:
        return (
            None
            if requested.fields["path"] == "00000000000000aa" and not is_released.is_set()
            else data_reply(requested)
        )

    async with trio.open_nursery() as nursery:
        caches = [
            await cache.open(nursery)
            for cache in (CacheStandIn(EDGE, answer=answer), CacheStandIn(ORIGIN, "origin", answer=answer))
        ]
        ops = free_port()
        async with (
            run_platform(
                tmp_path, caches, max_sockets=SOCKETS, ops_port=ops, TMPDIR=str(tmp_path)
            ) as router_process,
            contextlib.AsyncExitStack() as open_streams,
        ):
            working = await open_streams.enter_async_context(
                await trio.open_tcp_stream("127.0.0.1", router_process.port)
            )
            await working.send_all(request("00000000000000aa"))
            await caches[0].wait_until(lambda: bool(caches[0].received))
            for n in range(300):
                stream = await open_streams.enter_async_context(
                    await trio.open_tcp_stream("127.0.0.1", router_process.port)
                )
                if n % 2:
                    with contextlib.suppress(trio.BrokenResourceError):
                        await stream.send_all(request()[:40])
            for n in range(20):
                assert (await router_process.request_object(obj=f"{n:016x}"))[0] == 200
            assert len(os.listdir(f"/proc/{router_process.process.pid}/fd")) < SOCKETS * 2 / 3
            assert (await read_metrics(ops))["gw_active"] == 1
            is_released.set()
            # 504 if the cache's held response came after the deadline; the connection must not be closed.
            assert await read_status(working) in (200, 504)
        nursery.cancel_scope.cancel()


@with_trio
async def test_slow_client_is_served(tmp_path: Path) -> None:
    """A request written over 2 s is served, and an answer read at 1 MB per second arrives completely."""
    body = os.urandom(240_000)
    async with trio.open_nursery() as nursery:
        caches = [
            await cache.open(nursery)
            for cache in (
                CacheStandIn(EDGE, answer=lambda requested: data_reply(requested, body)),
                CacheStandIn(ORIGIN, "origin", answer=lambda requested: data_reply(requested, body)),
            )
        ]
        async with (
            run_platform(tmp_path, caches, max_sockets=SOCKETS) as router_process,
            await trio.open_tcp_stream("127.0.0.1", router_process.port) as stream,
        ):
            stream.socket.setsockopt(1, 8, 16_384)  # SOL_SOCKET, SO_RCVBUF: unread data stays at the router
            text = request()
            for n in range(10):
                await stream.send_all(text[n * len(text) // 10 : (n + 1) * len(text) // 10])
                await trio.sleep(0.2)
            received_bytes, end = b"", time.monotonic() + 3
            while not received_bytes.endswith(body):
                assert time.monotonic() < end
                received_bytes += await stream.receive_some(10_000)
                await trio.sleep(0.01)
            assert received_bytes.startswith(b"HTTP/1.1 200")
        nursery.cancel_scope.cancel()
