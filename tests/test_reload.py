"""SIGHUP: a usable configuration replaces the old one wholly, an unusable one changes nothing."""

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
    Log,
    Program,
    ReceivedRequest,
    data,
    free_port,
    platform,
    with_trio,
)

EDGE, ORIGIN = "s-00000001", "s-00000009"
OTHERS: dict[str, Any] = {  # another customer: other classes, effects, times and names of zones
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


async def fleet(nursery: trio.Nursery) -> list[CacheStandIn]:
    """An edge cache and the origin."""
    return [
        await CacheStandIn(name, model).open(nursery)
        for name, model in ((EDGE, "type-a"), (ORIGIN, "origin"))
    ]


def replaced(path: Path, **changes: Any) -> None:
    """Write a configuration with changes; "az" moves all caches to the zones of other settings."""
    raw = orjson.loads(path.read_bytes())
    raw |= changes
    if raw["settings"]["Dcs"] != SETTINGS["Dcs"]:
        for cache in raw["known"]["results"][0]["fleet"]["targets"]:
            cache["az"] = raw["settings"]["Locality"]
    path.write_bytes(orjson.dumps(raw))


async def put(router_process: Program, cls: str) -> int:
    """A write of any class."""
    reported = {"X-Txn": "7" * 16, "X-Ttl-Ms": "1500", "X-Shard": "1"}
    return (await router_process.send("PUT", f"/api/v2/{cls}/7f3a9c21e0b4d655/n-0", reported, b"signed"))[0]


@with_trio
async def test_new_settings_replace_old_ones_completely(tmp_path: Path) -> None:
    """What is in hand ends as it came; then classes, effects, zones and times are the new ones alone."""
    async with trio.open_nursery() as nursery:
        held: list[ReceivedRequest] = []
        edge, origin = await fleet(nursery)
        log, path = await Log().open(nursery), tmp_path / "config.json"
        async with platform(tmp_path, [edge, origin], log) as router_process:
            assert (await router_process.ask())[0] == 200
            assert await put(router_process, "sheet-submit") == 200
            edge.answer = lambda requested: held.append(requested)
            found: list[int] = []

            async def request() -> None:
                found.append((await router_process.ask())[0])

            async with trio.open_nursery() as clients:
                clients.start_soon(request)
                await edge.until(lambda: bool(held))
                replaced(path, settings=OTHERS)
                router_process.process.send_signal(signal.SIGHUP)
                await router_process.says(b"other settings hold")
                edge.answer = data
                assert (await router_process.ask())[0] == 404
                assert await put(router_process, "sheet-submit") == 404
                assert (await router_process.ask("plates"))[0] == 200
                assert edge.received[-1].fields["queue"] == "plates"
                assert int(edge.received[-1].fields["budget"]) <= 2000
                await edge.say(held[0].link, data(held[0]))
            assert found == [200]
            # An id whose submit may have run stays known whatever the settings.
            assert await put(router_process, "filing") == 409
            assert len([a for cache in (edge, origin) for a in cache.received if a.id == "7" * 16]) == 1
            assert (await router_process.send("GET", "/-/healthy", {}))[0] == 200
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"settings": {**OTHERS, "Classes": []}}, b"classes"),
        ({"settings": {**OTHERS, "Locality": "nowhere"}}, b"nowhere"),
        (
            {"settings": {**OTHERS, "Weights": "exact"}},
            b'in force: settings.Weights: "exact": must be one of',
        ),
        ({"settings": OTHERS, "known": {"seq": 1, "results": [{"seq": 1, "fleet": {}}]}}, b"known"),
        ({"settings": OTHERS, "known": {"seq": -1}}, b"known.seq"),
        ({"settings": OTHERS, "limits": {"sockets": "many"}}, b"sockets"),
        ({"settings": OTHERS, "listen": "127.0.0.1:1"}, b"listen"),
    ],
)
@with_trio
async def test_unusable_configuration_changes_nothing(
    tmp_path: Path, change: dict[str, Any], said: bytes
) -> None:
    """Not one part of an unusable file comes into force: classes, list and the log's address stay."""
    async with trio.open_nursery() as nursery:
        edge, origin = await fleet(nursery)
        log, path = await Log().open(nursery), tmp_path / "config.json"
        async with platform(tmp_path, [edge, origin], log) as router_process:
            raw = orjson.loads(path.read_bytes())
            path.write_bytes(orjson.dumps({**raw, "changelog": f"127.0.0.1:{free_port()}", **change}))
            router_process.process.send_signal(signal.SIGHUP)
            await router_process.says(b"the old configuration remains in force")
            assert said in router_process.said
            assert (await router_process.ask("plates"))[0] == 404
            assert (await router_process.ask())[0] == 200
            await log.cut()  # it comes back to the old address
        nursery.cancel_scope.cancel()


def test_reload_discards_state_learned_under_old_settings() -> None:
    """Widths, blame and budgets begin anew; an old request keeps its rules and gets no cold cache."""
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
    first.servers["box"].width, first.servers["box"].ejected_until = 9.0, now + 60
    request = PendingRequest(Arrival("q", 4.0, "a", "thing", is_write=True), now + 4.0, "1" * 16)
    core.submit(request)
    core.reconfigure(
        EngineConfig(Settings("here", ("here",), (new,), may_bypass_caches=True, max_attempts=4), 1, Limits())
    )
    assert core.routers.current is not first
    assert {s.width for s in core.routers.current.servers.values()} == {0.0}
    assert not any(s.ejected_until for s in core.routers.current.servers.values())
    assert core.routers.current.purges.keys() == {"thing"}
    assert first.servers["box"].tokens.fill(now + 99, 5.0, 5.0) == 0.0
    core.post(Membership(MembershipKind.CHANGES, (Member("new", "here", started_at=now),)))
    assert first.servers["new"].tokens.fill(now + 99, 5.0, 5.0) == 0.0
    assert core.routers.current.servers["new"].tokens.fill(now + 99, 5.0, 5.0) == 5.0
    placed[0].written = True
    core.report(
        placed[0], AttemptReply(AttemptResult.ERROR, 0.1)
    )  # by the class of now it could be tried again
    assert len(placed) == 1
    assert request.is_finished
    assert not core.routers.retired
    for _ in range(9):  # with no request in hand, settings that follow one another leave nothing behind
        core.reconfigure(EngineConfig(core.settings, 1, Limits()))
    assert not core.routers.retired


@with_trio
async def test_sighup_during_initial_read_is_not_lost(tmp_path: Path) -> None:
    """The file is replaced, and SIGHUP sent, between the start and the first look at signals."""
    async with trio.open_nursery() as nursery:
        caches = await fleet(nursery)
        async with platform(tmp_path, caches):
            old = (tmp_path / "config.json").read_bytes()
        replaced(tmp_path / "config.json", settings=OTHERS)
        new, pipe = (tmp_path / "config.json").read_bytes(), tmp_path / "pipe"
        os.mkfifo(pipe)

        async def notify(text: bytes, pid: int = 0) -> None:
            """Be read once, by whoever opens the file; a signal goes to them while they read."""

            def write() -> None:
                with pipe.open("wb") as file:
                    if pid:
                        os.kill(pid, signal.SIGHUP)
                    file.write(text)

            await trio.to_thread.run_sync(write, abandon_on_cancel=True)

        port = int(orjson.loads(old)["listen"].partition(":")[2])
        process = await trio.lowlevel.open_process(
            started(), cwd=ROOT, env={**os.environ, "GW_CONFIG": str(pipe)}, stderr=subprocess.DEVNULL
        )
        try:
            await notify(old, process.pid)
            while str(pipe) in opened(process.pid):  # else it would read on into the new one
                await trio.sleep(0.005)
            await notify(new)
            while True:
                with contextlib.suppress(OSError):
                    if (await Program(process, port, bytearray()).ask("plates"))[0] == 200:
                        break
                await trio.sleep(0.02)
        finally:
            process.kill()
            await process.wait()
        nursery.cancel_scope.cancel()


def opened(pid: int) -> set[str]:
    """What a process has open (proc(5))."""
    folder, found = f"/proc/{pid}/fd", set()
    for name in os.listdir(folder):
        with contextlib.suppress(OSError):
            found.add(os.readlink(f"{folder}/{name}"))
    return found


def started() -> list[str]:
    """How the platform starts the program, by the Python of these tests."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return ["sh", "-c", run.replace(".venv/bin/python", sys.executable)]


@with_trio
async def test_sighup_before_program_start_is_ignored(tmp_path: Path) -> None:
    """SIGHUP as soon as there is a process of ours, long before its first line: it starts all the same."""
    async with trio.open_nursery() as nursery:
        caches = await fleet(nursery)
        async with platform(tmp_path, caches):
            pass
        path = tmp_path / "config.json"
        port = int(orjson.loads(path.read_bytes())["listen"].partition(":")[2])
        process = await trio.lowlevel.open_process(
            started(), cwd=ROOT, env={**os.environ, "GW_CONFIG": str(path)}, stderr=subprocess.DEVNULL
        )
        try:
            while b"brackenlane" not in Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0")[2:]:
                await trio.lowlevel.checkpoint()
            process.send_signal(signal.SIGHUP)
            while process.poll() is None:
                with contextlib.suppress(OSError):
                    if (await Program(process, port, bytearray()).ask())[0] == 200:
                        break
                await trio.sleep(0.02)
            assert process.poll() is None
        finally:
            process.kill()
            await process.wait()
        nursery.cancel_scope.cancel()
