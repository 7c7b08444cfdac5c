"""What a console has answered holds after a restart or a kill, also while the store is away."""

from __future__ import annotations

import os
import signal
import time
from pathlib import Path

import pytest
import trio

from brackenlane.discovery import snapshot
from brackenlane.discovery.recent_purges import purges_after_restart
from tests.stand_ins import CacheStandIn, Redis, RouterProcess, run_appliance, with_trio
from tests.test_appliance import record_texts, run_console_command, send_query, start_caches

WITH_SNAPSHOT = '[discovery]\nlast_list = "last.json"\n'
ZONE = "caches.test."
GROUP = 17  # of the requests of `RouterProcess.request_object`
SETTINGS = pytest.mark.parametrize("settings", [WITH_SNAPSHOT, ""], ids=["snapshot", "no snapshot"])
ENDS = pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGKILL], ids=["restart", "kill"])


async def ask_console(console: Path, command: str) -> str:
    """Give a command to the console's socket, without the start of a program; return the answer."""
    answer = b""
    async with await trio.open_unix_socket(str(console)) as stream:
        await stream.send_all(command.encode() + b"\n")
        while not answer.endswith(b"\n\n"):
            answer += await stream.receive_some(1024)
    return answer.decode()[:-1]


async def end_process(running: RouterProcess, end: signal.Signals) -> None:
    """End a router's process by a signal."""
    running.process.send_signal(end)
    await running.process.wait()


async def request_max_age(running: RouterProcess, caches: list[CacheStandIn], group: int) -> str | None:
    """Request an object of a group that was not requested before; return the maximum age that caches got."""
    obj = os.urandom(8).hex()
    assert (await running.request_object(obj=obj, X_Shard=str(group)))[0] == 200
    [requested, *_] = [
        one for cache in caches for one in cache.received if one.fields.get("path", "").count(obj)
    ]
    return requested.fields.get("within")


@SETTINGS
@ENDS
@with_trio
async def test_purge_is_kept_without_a_store(tmp_path: Path, settings: str, end: signal.Signals) -> None:
    """Guards against copies older than a purge from a router that ended 0 s after the console's answer."""
    async with trio.open_nursery() as nursery:
        caches = await start_caches(nursery, "box-1", "box-2")
        async with run_appliance(tmp_path, caches, extra_settings=settings) as (running, _, path):
            assert await run_console_command(path, "purge", "group", str(GROUP)) == f"purged group {GROUP}\n"
            await end_process(running, end)
        async with run_appliance(tmp_path, caches, extra_settings=settings) as (running, _, _path):
            assert await request_max_age(running, caches, GROUP)
        nursery.cancel_scope.cancel()


@with_trio
async def test_every_object_counts_as_purged_without_a_record_of_purges(tmp_path: Path) -> None:
    """Guards against copies older than a purge from a router whose record of purges is missing or damaged."""
    async with trio.open_nursery() as nursery:
        caches = await start_caches(nursery, "box-1", "box-2")
        (tmp_path / "last.json").write_bytes(b"{}")
        for settings in (WITH_SNAPSHOT, ""):
            async with run_appliance(tmp_path, caches, extra_settings=settings) as (running, *_):
                assert await request_max_age(running, caches, GROUP)
        nursery.cancel_scope.cancel()


@SETTINGS
@with_trio
async def test_second_drain_in_a_second_is_kept_over_a_kill(tmp_path: Path, settings: str) -> None:
    """Guards against a drain that is answered before it is on disk, since the last write was a moment ago."""
    async with trio.open_nursery() as nursery:
        caches = await start_caches(nursery, "box-1", "box-2", "box-3")
        async with run_appliance(tmp_path, caches, extra_settings=settings) as (running, _, path):
            console = path.with_name("a1.sock")
            assert await ask_console(console, "drain box-1") == "box-1 drained\n"
            kept = tmp_path / ("last.json" if settings else "a1.sock.changes")
            while not (saved := snapshot.load(kept)) or not saved.memory.orders:
                await trio.sleep(0.01)
            assert await ask_console(console, "drain box-2") == "box-2 drained\n"
            await end_process(running, signal.SIGKILL)
        async with run_appliance(tmp_path, caches, extra_settings=settings) as (_running, port, _path):
            assert not record_texts(await send_query(port, f"box-2.boxes.{ZONE}"))
            assert record_texts(await send_query(port, f"box-3.boxes.{ZONE}"))
        nursery.cancel_scope.cancel()


@SETTINGS
@ENDS
@with_trio
async def test_change_answered_while_the_store_is_away_is_shared_after_a_restart(
    tmp_path: Path, settings: str, end: signal.Signals
) -> None:
    """Guards against a drain or purge that waits for the store in memory alone."""
    async with trio.open_nursery() as nursery:
        redis = await Redis().open(nursery)
        caches = await start_caches(nursery, "box-1", "box-2")
        async with run_appliance(tmp_path, caches, redis=redis, extra_settings=settings) as (
            running,
            _,
            path,
        ):
            await redis.read_started.wait()
            await redis.close()
            assert "the store is away" in await run_console_command(path, "purge", "group", str(GROUP))
            assert "the store is away" in await run_console_command(path, "drain", "box-1")
            await end_process(running, end)
        async with run_appliance(tmp_path, caches, redis=redis, extra_settings=settings) as (
            running,
            port,
            _path,
        ):
            assert not record_texts(await send_query(port, f"box-1.boxes.{ZONE}"))
            assert await request_max_age(running, caches, GROUP)
            await redis.open(nursery)
            while "box-1" not in redis.keys.get(f"brackenlane:{ZONE}:orders", {}):
                await trio.sleep(0.02)
            stream = redis.keys[f"brackenlane:{ZONE}:events"]
            assert any('"purge":{"object":"","group":17' in fields[1] for _, fields in stream)
            # The events leave the record once they were read back.
            kept = tmp_path / ("last.json" if settings else "a1.sock.changes")
            while not (saved := snapshot.load(kept)) or saved.unshared:
                await trio.sleep(0.02)
        nursery.cancel_scope.cancel()


@with_trio
async def test_answer_says_that_a_change_is_not_on_disk(tmp_path: Path) -> None:
    """Guards against a promise that the console can't keep: the snapshot's folder is not there."""
    async with trio.open_nursery() as nursery:
        caches = await start_caches(nursery, "box-1", "box-2")
        settings = '[discovery]\nlast_list = "absent/last.json"\n'
        async with run_appliance(tmp_path, caches, extra_settings=settings) as (_running, _, path):
            answer = await run_console_command(path, "drain", "box-1")
            assert answer == "box-1 drained\nnot written to disk: a restart forgets it\n"
            (tmp_path / "absent").mkdir()
            assert await run_console_command(path, "drain", "box-2") == "box-2 drained\n"
        saved = snapshot.load(tmp_path / "absent" / "last.json")
        assert saved
        assert {cache for cache, order in saved.memory.orders.items() if order.drained} == {"box-1", "box-2"}
        nursery.cancel_scope.cancel()


def test_purge_is_kept_when_the_clock_was_set_forward_or_back_between_two_processes() -> None:
    """Guards against a purge that counts as expired or as older, since the wall clock was stepped."""
    for step in (-3_600.0, 0.0, 3_600.0):
        now = 5_000.0 + step
        assert purges_after_restart([("clip", -1, 4_997.0)], saved_at=4_999.0, now=now) == [
            ("clip", -1, now - 2.0)
        ]


@with_trio
async def test_router_that_starts_serves_nothing_before_it_has_read_the_orders(tmp_path: Path) -> None:
    """Guards against requests to a box that was drained at another router while this one was down."""
    async with trio.open_nursery() as nursery:
        redis = await Redis().open(nursery)
        redis.extra_delay = 0.1  # of each reply, so that the start takes longer than usual
        caches = await start_caches(nursery, "box-1", "box-2")
        order = {"id": "box-1", "drained": True, "at": time.time(), "by": "another router"}
        redis.order(ZONE, order)
        async with run_appliance(tmp_path, caches, redis=redis) as (_running, port, _path):
            assert not record_texts(await send_query(port, f"box-1.boxes.{ZONE}"))
        nursery.cancel_scope.cancel()


@with_trio
async def test_router_that_starts_without_its_store_serves_all_the_same(tmp_path: Path) -> None:
    """Guards against a start that waits for a store which is away for long."""
    async with trio.open_nursery() as nursery:
        redis = await Redis().open(nursery)
        await redis.close()
        caches = await start_caches(nursery, "box-1", "box-2")
        async with run_appliance(tmp_path, caches, redis=redis) as (running, *_):
            assert (await running.request_object())[0] == 200
        nursery.cancel_scope.cancel()
