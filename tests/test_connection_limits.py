"""Half the room: crowds that say nothing, slow writers and readers beside clients that work."""

from __future__ import annotations

import contextlib
import os
import signal
import time
from pathlib import Path

import trio

from tests.stand_ins import CacheStandIn, ReceivedRequest, ScriptedReply, data, free_port, platform, with_trio
from tests.test_admin_api import figures
from tests.test_handover import READ, read_answer

EDGE, ORIGIN = "s-00000001", "s-00000009"
SOCKETS = 192  # of which two fifths are for clients


def request(obj: str = "7f3a9c21e0b4d655") -> bytes:
    return READ % (obj.encode(), os.urandom(8).hex().encode())


@with_trio
async def test_connection_with_a_request_is_not_closed(tmp_path: Path) -> None:
    """More connections than have room, each with its request written before any is accepted: all answered.

    Fails where room is made by closing who was accepted and not yet read.
    """
    async with trio.open_nursery() as nursery:
        caches = [
            await cache.open(nursery)
            for cache in (
                CacheStandIn(EDGE, answer=lambda _: None),
                CacheStandIn(ORIGIN, "origin", answer=lambda _: None),
            )
        ]
        async with platform(tmp_path, caches, sockets=SOCKETS) as router_process:
            router_process.process.send_signal(signal.SIGSTOP)
            streams = [await trio.open_tcp_stream("127.0.0.1", router_process.port) for _ in range(84)]
            for stream in streams:
                await stream.send_all(request(os.urandom(8).hex()).replace(b"Ms: 2000", b"Ms: 600"))
            router_process.process.send_signal(signal.SIGCONT)
            found = [await read_answer(stream) for stream in streams]
            assert set(found) == {503, 504}  # in hand until its time was up, or no room: told so
            for stream in streams:
                await stream.aclose()
        nursery.cancel_scope.cancel()


@with_trio
async def test_crowd_beside_work(tmp_path: Path) -> None:
    """Hundreds connect and say nothing or stop half-way: work in hand ends well, new work is served."""
    held = trio.Event()

    def answer(requested: ReceivedRequest) -> ScriptedReply:
        return (
            None if requested.fields["path"] == "00000000000000aa" and not held.is_set() else data(requested)
        )

    async with trio.open_nursery() as nursery:
        caches = [
            await cache.open(nursery)
            for cache in (CacheStandIn(EDGE, answer=answer), CacheStandIn(ORIGIN, "origin", answer=answer))
        ]
        ops = free_port()
        async with (
            platform(tmp_path, caches, sockets=SOCKETS, ops=ops, TMPDIR=str(tmp_path)) as router_process,
            contextlib.AsyncExitStack() as crowd,
        ):
            working = await crowd.enter_async_context(
                await trio.open_tcp_stream("127.0.0.1", router_process.port)
            )
            await working.send_all(request("00000000000000aa"))
            await caches[0].until(lambda: bool(caches[0].received))
            for n in range(300):
                stream = await crowd.enter_async_context(
                    await trio.open_tcp_stream("127.0.0.1", router_process.port)
                )
                if n % 2:
                    with contextlib.suppress(trio.BrokenResourceError):
                        await stream.send_all(request()[:40])
            for n in range(20):
                assert (await router_process.ask(obj=f"{n:016x}"))[0] == 200
            assert len(os.listdir(f"/proc/{router_process.process.pid}/fd")) < SOCKETS * 2 / 3
            assert (await figures(ops))["gw_active"] == 1
            held.set()
            assert await read_answer(working) in (200, 504)  # the cache held it back, nobody closed it
        nursery.cancel_scope.cancel()


@with_trio
async def test_slow_writer_and_reader(tmp_path: Path) -> None:
    """A request written over 2 s is served; an answer read at 1 MB a second comes whole."""
    body = os.urandom(240_000)
    async with trio.open_nursery() as nursery:
        caches = [
            await cache.open(nursery)
            for cache in (
                CacheStandIn(EDGE, answer=lambda requested: data(requested, body)),
                CacheStandIn(ORIGIN, "origin", answer=lambda requested: data(requested, body)),
            )
        ]
        async with (
            platform(tmp_path, caches, sockets=SOCKETS) as router_process,
            await trio.open_tcp_stream("127.0.0.1", router_process.port) as stream,
        ):
            stream.socket.setsockopt(1, 8, 16_384)  # SO_RCVBUF: what is not read waits at the router
            text = request()
            for n in range(10):
                await stream.send_all(text[n * len(text) // 10 : (n + 1) * len(text) // 10])
                await trio.sleep(0.2)
            got, end = b"", time.monotonic() + 3
            while not got.endswith(body):
                assert time.monotonic() < end
                got += await stream.receive_some(10_000)
                await trio.sleep(0.01)
            assert got.startswith(b"HTTP/1.1 200")
        nursery.cancel_scope.cancel()
