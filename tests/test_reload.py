"""SIGHUP: a valid configuration replaces the old one completely, an invalid one changes nothing."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

import orjson
import pytest
import trio

from brackenlane.core.engine import RequestEngine
from brackenlane.core.engine_config import EngineConfig
from brackenlane.core.requests import Attempt, AttemptReply, PendingRequest
from brackenlane.limits import Limits
from brackenlane.routing.events import Arrival, AttemptResult, Membership, MembershipKind, Purged
from brackenlane.routing.members import Member
from brackenlane.routing.settings import Idempotency, RequestClass, Settings
from tests.stand_ins import (
    ROOT,
    SETTINGS,
    CacheStandIn,
    ChangeLogStandIn,
    ReceivedRequest,
    RouterProcess,
    data_reply,
    free_port,
    run_platform,
    with_trio,
)

EDGE, ORIGIN = "s-00000001", "s-00000009"
# Settings of another site: other classes, effects, times and names of zones.
OTHER_SETTINGS: dict[str, Any] = {
    **SETTINGS,
    "Dcs": ["press", "archive"],
    "Locality": "archive",
    "Classes": [
        {"Name": "filing", "TargetS": 0.8, "GiveUpS": 2.0, "Effect": "dedup", "WindowS": 1.0},
        {"Name": "plates", "TargetS": 0.2, "GiveUpS": 1.5, "Worth": 7.0},
    ],
    "FamilyInfo": {
        **SETTINGS["FamilyInfo"],
        "Uncached": [True, False],
        "FreshForS": [0, 2],
        "GraceForS": [0, 0],
    },
}


async def open_caches(nursery: trio.Nursery) -> list[CacheStandIn]:
    """Open an edge cache and the origin."""
    return [
        await CacheStandIn(name, model).open(nursery)
        for name, model in ((EDGE, "type-a"), (ORIGIN, "origin"))
    ]


def write_configuration(path: Path, **changes: Any) -> None:
    """Write a configuration with changes; if the zones change, all caches are moved to the local zone."""
    raw = orjson.loads(path.read_bytes())
    raw |= changes
    if raw["settings"]["Dcs"] != SETTINGS["Dcs"]:
        for cache in raw["known"]["results"][0]["fleet"]["targets"]:
            cache["az"] = raw["settings"]["Locality"]
    path.write_bytes(orjson.dumps(raw))


async def send_write(router_process: RouterProcess, cls: str) -> int:
    """Send a write of a class and return the status."""
    reported = {"X-Txn": "7" * 16, "X-Ttl-Ms": "1500", "X-Shard": "1"}
    return (await router_process.send("PUT", f"/api/v2/{cls}/7f3a9c21e0b4d655/n-0", reported, b"signed"))[0]


@with_trio
async def test_new_settings_replace_old_ones_completely(tmp_path: Path) -> None:
    """Requests in flight finish under the old settings; later ones use only the new settings."""
    async with trio.open_nursery() as nursery:
        unanswered: list[ReceivedRequest] = []
        edge, origin = await open_caches(nursery)
        log, path = await ChangeLogStandIn().open(nursery), tmp_path / "config.json"
        async with run_platform(tmp_path, [edge, origin], log) as router_process:
            assert (await router_process.request_object())[0] == 200
            assert await send_write(router_process, "sheet-submit") == 200
            edge.answer = lambda requested: unanswered.append(requested)
            statuses: list[int] = []

            async def request() -> None:
                statuses.append((await router_process.request_object())[0])

            async with trio.open_nursery() as clients:
                clients.start_soon(request)
                await edge.wait_until(lambda: bool(unanswered))
                write_configuration(path, settings=OTHER_SETTINGS)
                router_process.process.send_signal(signal.SIGHUP)
                await router_process.wait_for_log(b"other settings hold")
                edge.answer = data_reply
                assert (await router_process.request_object())[0] == 404
                assert await send_write(router_process, "sheet-submit") == 404
                assert (await router_process.request_object("plates"))[0] == 200
                assert edge.received[-1].fields["queue"] == "plates"
                assert int(edge.received[-1].fields["budget"]) <= 2000
                await edge.send_raw(unanswered[0].connection, data_reply(unanswered[0]))
            assert statuses == [200]
            # The id of a submit that may have run is remembered across a change of settings.
            assert await send_write(router_process, "filing") == 409
            assert len([a for cache in (edge, origin) for a in cache.received if a.id == "7" * 16]) == 1
            assert (await router_process.send("GET", "/-/healthy", {}))[0] == 200
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"settings": {**OTHER_SETTINGS, "Classes": []}}, b"classes"),
        ({"settings": {**OTHER_SETTINGS, "Locality": "nowhere"}}, b"nowhere"),
        (
            {"settings": {**OTHER_SETTINGS, "Weights": "exact"}},
            b'in force: settings.Weights: "exact": must be one of',
        ),
        ({"settings": OTHER_SETTINGS, "known": {"seq": 1, "results": [{"seq": 1, "fleet": {}}]}}, b"known"),
        ({"settings": OTHER_SETTINGS, "known": {"seq": -1}}, b"known.seq"),
        ({"settings": OTHER_SETTINGS, "limits": {"sockets": "many"}}, b"sockets"),
        ({"settings": OTHER_SETTINGS, "listen": "127.0.0.1:1"}, b"listen"),
    ],
)
@with_trio
async def test_unusable_configuration_changes_nothing(
    tmp_path: Path, change: dict[str, Any], said: bytes
) -> None:
    """No part of an invalid file takes effect: classes, server list and the change log's address stay."""
    async with trio.open_nursery() as nursery:
        edge, origin = await open_caches(nursery)
        log, path = await ChangeLogStandIn().open(nursery), tmp_path / "config.json"
        async with run_platform(tmp_path, [edge, origin], log) as router_process:
            raw = orjson.loads(path.read_bytes())
            path.write_bytes(orjson.dumps({**raw, "changelog": f"127.0.0.1:{free_port()}", **change}))
            router_process.process.send_signal(signal.SIGHUP)
            await router_process.wait_for_log(b"the old configuration remains in force")
            assert said in router_process.log_output
            assert (await router_process.request_object("plates"))[0] == 404
            assert (await router_process.request_object())[0] == 200
            await log.reconnect()  # returns once the router has reconnected to the old address
        nursery.cancel_scope.cancel()


def test_reload_discards_state_learned_under_old_settings() -> None:
    """A reload resets widths, ejections and budgets; an older request keeps the rules of its own settings.

    The router of the old settings gets no budget for a cold cache that joins after the reload.
    """
    old = RequestClass(
        "a", latency_objective=0.5, time_limit=5.0, idempotency=Idempotency.NON_IDEMPOTENT, uncached=True
    )
    new = RequestClass("a", latency_objective=0.1, time_limit=1.0)
    now = time.time()
    placed: list[Attempt] = []

    def place(attempt: Attempt) -> bool:
        placed.append(attempt)
        return True

    core = RequestEngine(
        EngineConfig(
            Settings("here", ("here",), (old,), may_bypass_caches=True, max_attempts=4), 1, Limits()
        ),
        place,
    )
    core.post(Membership(MembershipKind.FULL, (Member("box", "here"), Member("other", "here"))))
    core.post(Purged("thing", -1, 0.5))
    first = core.routers.current
    first.servers["box"].learned_width, first.servers["box"].ejected_until = 9.0, now + 60
    request = PendingRequest(Arrival("q", 4.0, "a", "thing", is_write=True), now + 4.0, "1" * 16)
    core.submit(request)
    core.reconfigure(
        EngineConfig(Settings("here", ("here",), (new,), may_bypass_caches=True, max_attempts=4), 1, Limits())
    )
    assert core.routers.current is not first
    assert {s.learned_width for s in core.routers.current.servers.values()} == {0.0}
    assert not any(s.ejected_until for s in core.routers.current.servers.values())
    assert core.routers.current.purges.keys() == {"thing"}
    assert first.servers["box"].slow_start_bucket.fill(now + 99, 5.0, 5.0) == 0.0
    core.post(Membership(MembershipKind.CHANGES, (Member("new", "here", started_at=now),)))
    assert first.servers["new"].slow_start_bucket.fill(now + 99, 5.0, 5.0) == 0.0
    assert core.routers.current.servers["new"].slow_start_bucket.fill(now + 99, 5.0, 5.0) == 5.0
    placed[0].written = True
    # Under the new settings of its class, the request could be retried.
    core.report(placed[0], AttemptReply(AttemptResult.ERROR, 0.1))
    assert len(placed) == 1
    assert request.is_finished
    assert not core.routers.retired
    for _ in range(9):  # repeated reloads without open requests leave no retired routers
        core.reconfigure(EngineConfig(core.settings, 1, Limits()))
    assert not core.routers.retired


@with_trio
async def test_sighup_during_initial_read_is_not_lost(tmp_path: Path) -> None:
    """SIGHUP that arrives while the configuration is first read causes it to be read again."""
    async with trio.open_nursery() as nursery:
        caches = await open_caches(nursery)
        async with run_platform(tmp_path, caches):
            old = (tmp_path / "config.json").read_bytes()
        write_configuration(tmp_path / "config.json", settings=OTHER_SETTINGS)
        new, pipe = (tmp_path / "config.json").read_bytes(), tmp_path / "pipe"
        os.mkfifo(pipe)

        async def notify(text: bytes, pid: int = 0) -> None:
            """Write the text into the pipe once; with a process id, send SIGHUP once the pipe is opened."""

            def write() -> None:
                with pipe.open("wb") as file:
                    if pid:
                        os.kill(pid, signal.SIGHUP)
                    file.write(text)

            await trio.to_thread.run_sync(write, abandon_on_cancel=True)

        port = int(orjson.loads(old)["listen"].partition(":")[2])
        process = await trio.lowlevel.open_process(
            router_command(), cwd=ROOT, env={**os.environ, "GW_CONFIG": str(pipe)}, stderr=subprocess.DEVNULL
        )
        try:
            await notify(old, process.pid)
            # The first read must have ended, or it would continue into the new text.
            while str(pipe) in list_open_files(process.pid):
                await trio.sleep(0.005)
            await notify(new)
            while True:
                with contextlib.suppress(OSError):
                    if (await RouterProcess(process, port, bytearray()).request_object("plates"))[0] == 200:
                        break
                await trio.sleep(0.02)
        finally:
            process.kill()
            await process.wait()
        nursery.cancel_scope.cancel()


def list_open_files(pid: int) -> set[str]:
    """Return the targets of the open descriptors of a process (proc(5))."""
    folder, statuses = f"/proc/{pid}/fd", set()
    for name in os.listdir(folder):
        with contextlib.suppress(OSError):
            statuses.add(os.readlink(f"{folder}/{name}"))
    return statuses


def router_command() -> list[str]:
    """Return the platform's start command of the program, with the Python interpreter of these tests."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return ["sh", "-c", run.replace(".venv/bin/python", sys.executable)]


@with_trio
async def test_sighup_before_program_start_is_ignored(tmp_path: Path) -> None:
    """SIGHUP sent as soon as the process exists, before its first line runs, does not prevent the start."""
    async with trio.open_nursery() as nursery:
        caches = await open_caches(nursery)
        async with run_platform(tmp_path, caches):
            pass
        path = tmp_path / "config.json"
        port = int(orjson.loads(path.read_bytes())["listen"].partition(":")[2])
        process = await trio.lowlevel.open_process(
            router_command(), cwd=ROOT, env={**os.environ, "GW_CONFIG": str(path)}, stderr=subprocess.DEVNULL
        )
        try:
            while b"brackenlane" not in Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0")[2:]:
                await trio.lowlevel.checkpoint()
            process.send_signal(signal.SIGHUP)
            while process.poll() is None:
                with contextlib.suppress(OSError):
                    if (await RouterProcess(process, port, bytearray()).request_object())[0] == 200:
                        break
                await trio.sleep(0.02)
            assert process.poll() is None
        finally:
            process.kill()
            await process.wait()
        nursery.cancel_scope.cancel()
