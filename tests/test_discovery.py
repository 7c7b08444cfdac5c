"""Discovery in the real appliance: drains while SRV answers change, restarts without a resolver, the CLI."""

from __future__ import annotations

import itertools
import subprocess
import sys
import time
from pathlib import Path

import orjson
import pytest
import trio

from brackenlane.coldstart.stream_position import StreamPosition
from brackenlane.discovery import snapshot, snapshot_codec
from brackenlane.discovery.records import CacheDefinition, OperatorOrder, PersistedMembership, srv_cache_id
from brackenlane.lab.stand_ins.dns import DnsServer, Fault
from tests.stand_ins import (
    ROOT,
    CacheStandIn,
    ReceivedRequest,
    RouterProcess,
    ScriptedReply,
    data_reply,
    run_appliance,
    with_trio,
)
from tests.test_appliance import OBJECT, record_texts, run_console_command, send_query

SRV = "_cache._tcp.branch.test"
DISCOVERY_SETTINGS = f"""
[[discover]]
srv = "{SRV}."
zone = "branch"

[discovery]
grace = 0.3
confirm = 0.2
floor = 0.1
stale = 0.2
last_list = "last.json"
"""


class Site:
    """Caches that a scripted DNS server returns as SRV targets."""

    def __init__(self, server: DnsServer, caches: list[CacheStandIn], origin: CacheStandIn) -> None:
        self.server, self.caches, self.origin = server, caches, origin
        self.ids = [srv_cache_id(f"box-{n}.branch.test", cache.port) for n, cache in enumerate(caches)]

    @classmethod
    async def open(cls, nursery: trio.Nursery, count: int = 3) -> Site:
        """Return a site with `count` running caches, all of them SRV targets."""
        server = await DnsServer().open(nursery)
        caches = [await CacheStandIn(f"b{n}").open(nursery) for n in range(count)]
        site = cls(server, caches, await CacheStandIn("origin", "origin").open(nursery))
        for number in range(count):
            server.set_records(f"box-{number}.branch.test", "A", "127.0.0.1")
        site.set_srv_targets(*range(count))
        return site

    def set_srv_targets(self, *numbers: int, priority: int = 0) -> None:
        """Set the caches that the SRV answer contains."""
        self.server.set_records(
            SRV, "SRV", *(f"{priority} 8 {self.caches[n].port} box-{n}.branch.test." for n in numbers), ttl=0
        )


OBJECT_COUNT = 400  # distinct objects that are requested to find those of a cache
SEARCH_LIMIT = 60.0  # seconds; over three times the ramp (18 s) that limits the load of a cold cache


async def find_objects_of(router_process: RouterProcess, cache: CacheStandIn, count: int) -> list[str]:
    """Return `count` objects that the router requests from a cache; they depend on ports, so on the run.

    A cache whose connect failed is ejected for a while, then cold: its budget grows with time, not with
    requests, and the origin answers in the meantime. One quick pass over all objects may therefore not find
    enough of them, so the passes are repeated. Raises AssertionError after SEARCH_LIMIT.
    """
    found: list[str] = []
    with trio.move_on_after(SEARCH_LIMIT):
        for number in itertools.cycle(range(OBJECT_COUNT)):
            before, obj = len(cache.received), f"{number:016x}"
            assert (await router_process.request_object(obj=obj))[0] == 200
            if len(cache.received) > before and obj not in found:
                found.append(obj)
            if len(found) == count:
                return found
    raise AssertionError(
        f"{cache.id} received requests for {len(found)} of {OBJECT_COUNT} objects in {SEARCH_LIMIT} s"
    )


async def wait_for_list(path: Path, *words: str) -> str:
    """Wait until the console's list of caches contains all of these words; return the list."""
    while True:
        text = await run_console_command(path, "boxes", "-v")
        if all(word in text for word in words):
            return text
        await trio.sleep(0.05)


async def wait_for_explanation(path: Path, cache_id: str, state: str) -> str:
    """Wait until the console's explanation of a cache begins with `state`; return the explanation."""
    while True:
        text = await run_console_command(path, "why", cache_id)
        if text.startswith(state):
            return text
        await trio.sleep(0.05)


@with_trio
async def test_drain_under_churn(tmp_path: Path) -> None:
    """A drained cache is in no DNS answer and gets no request while SRV answers change and look-ups fail."""
    async with trio.open_nursery() as nursery:
        site = await Site.open(nursery)
        async with run_appliance(tmp_path, [site.origin], site.server, extra_settings=DISCOVERY_SETTINGS) as (
            router_process,
            port,
            path,
        ):
            await wait_for_list(path, *site.ids)
            drained_cache = site.caches[0]
            objects = await find_objects_of(router_process, drained_cache, 4)
            assert await run_console_command(path, "drain", site.ids[0]) == f"{site.ids[0]} drained\n"
            drained_at, before = time.monotonic(), len(drained_cache.received)

            async def churn() -> None:
                for number in range(10_000):
                    site.set_srv_targets(*[n for n in range(3) if n != number % 4], priority=number % 3)
                    site.server.set_faults(
                        *(
                            [Fault.SERVFAIL, Fault.LOST, Fault.CUT][number % 3 : number % 3 + 1]
                            if number % 2
                            else []
                        )
                    )
                    await trio.sleep(0.07)

            churn_scope = trio.CancelScope()

            async def churn_until_cancelled() -> None:
                with churn_scope:
                    await churn()

            nursery.start_soon(churn_until_cancelled)
            named: set[str] = set()
            while time.monotonic() < drained_at + 2.5:
                for obj in objects:
                    answer = await send_query(port, f"_http._tcp.{obj}.video-parts.caches.test.", "SRV")
                    named |= {text.split()[3].split(".")[0] for text in record_texts(answer)}
                    await router_process.request_object(obj=obj)
            assert site.ids[0] not in named
            assert named
            assert len(drained_cache.received) == before
            assert "drained by the console of a1" in await run_console_command(path, "why", site.ids[0])
            # The cache may have been missing from SRV for longer than the grace period, or its address may be
            # unknown. Once all answers contain it again, it has to be drained, not only absent.
            churn_scope.cancel()
            site.server.set_faults()
            site.set_srv_targets(*range(3))
            why = await wait_for_explanation(path, site.ids[0], f"{site.ids[0]} is draining at 127.0.0.1")
            assert "drained by the console of a1" in why.splitlines()[0]
            for obj in objects:
                await router_process.request_object(obj=obj)
            assert len(drained_cache.received) == before
        nursery.cancel_scope.cancel()


@with_trio
async def test_restart_without_resolver(tmp_path: Path) -> None:
    """A start without a resolver uses the snapshot, and the drained cache stays drained."""
    async with trio.open_nursery() as nursery:
        site = await Site.open(nursery)
        async with run_appliance(tmp_path, [site.origin], site.server, extra_settings=DISCOVERY_SETTINGS) as (
            _,
            _port,
            path,
        ):
            await wait_for_list(path, *site.ids)
            await run_console_command(path, "drain", site.ids[1])
            while b'drained\\":true' not in (path.parent / "last.json").read_bytes():
                await trio.sleep(0.05)  # the process is killed, so only what is on disk remains
        await site.server.close()
        long_confirmation = DISCOVERY_SETTINGS.replace("confirm = 0.2", "confirm = 600")
        async with run_appliance(tmp_path, [site.origin], site.server, extra_settings=long_confirmation) as (
            router_process,
            _port,
            path,
        ):
            text = await wait_for_list(path, *site.ids)
            assert "draining" in next(line for line in text.splitlines() if line.startswith(site.ids[1]))
            for number in range(8):
                assert (await router_process.request_object(obj=f"{number:016x}"))[0] == 200
            assert site.caches[0].received
            assert not site.caches[1].received
            # The resolver is back with one of three caches: the removal needs confirmation.
            site.set_srv_targets(0)
            await site.server.open(nursery)
            assert "not believed" in await wait_for_list(path, "not believed")
        nursery.cancel_scope.cancel()


@with_trio
async def test_deploy_without_resolver(tmp_path: Path) -> None:
    """A deploy replaces all caches while look-ups time out: reads succeed, finally through the new caches."""
    async with trio.open_nursery() as nursery:
        site = await Site.open(nursery, 4)
        site.set_srv_targets(0, 1)
        async with run_appliance(tmp_path, [site.origin], site.server, extra_settings=DISCOVERY_SETTINGS) as (
            router_process,
            _port,
            path,
        ):
            await wait_for_list(path, *site.ids[:2])
            site.server.set_faults(Fault.LOST)
            for cache in site.caches[:2]:
                await cache.close()
            for number in range(8):
                assert (await router_process.request_object(obj=f"{number:016x}"))[0] == 200
            site.set_srv_targets(2, 3)
            site.server.set_faults()
            await wait_for_list(path, *site.ids[2:])
            while (text := await run_console_command(path, "boxes")) and (
                site.ids[0] in text or site.ids[1] in text
            ):
                assert (await router_process.request_object())[0] == 200
            for number in range(8):
                assert (await router_process.request_object(obj=f"{number:016x}"))[0] == 200
            assert site.caches[2].received or site.caches[3].received
        nursery.cancel_scope.cancel()


@with_trio
async def test_damaged_snapshot(tmp_path: Path) -> None:
    """A damaged snapshot is renamed and logged; the router starts with what the sources report."""
    async with trio.open_nursery() as nursery:
        site = await Site.open(nursery)
        (tmp_path / "last.json").write_bytes(b'{"version":1,"sha256":"00","body":"{}"}')
        async with run_appliance(tmp_path, [site.origin], site.server, extra_settings=DISCOVERY_SETTINGS) as (
            router_process,
            _port,
            path,
        ):
            await router_process.wait_for_log(b"checksum mismatch")
            await wait_for_list(path, *site.ids)
            assert (tmp_path / "last.json.damaged").exists()
        nursery.cancel_scope.cancel()


@with_trio
async def test_submit_in_flight(tmp_path: Path) -> None:
    """A submit in flight to a cache that SRV removes is not sent again, to this cache or another one."""
    async with trio.open_nursery() as nursery:
        site = await Site.open(nursery, 2)
        received: list[ReceivedRequest] = []

        def hold(request: ReceivedRequest) -> ScriptedReply:
            received.append(request)
            return None

        for cache in (*site.caches, site.origin):
            cache.answer = hold
        async with run_appliance(tmp_path, [site.origin], site.server, extra_settings=DISCOVERY_SETTINGS) as (
            router_process,
            _port,
            path,
        ):
            await wait_for_list(path, *site.ids)
            statuses: list[int] = []

            async def submit() -> None:
                statuses.append(
                    (await router_process.request_object("sheet-submit", OBJECT, b"signed", ttl=2500))[0]
                )

            async with trio.open_nursery() as client:
                client.start_soon(submit)
                while not received:
                    await trio.sleep(0.01)
                for cache in (*site.caches, site.origin):
                    cache.answer = data_reply
                # Two answers without targets: the second one confirms the removal of all.
                site.set_srv_targets()
                site.server.set_records(SRV, "SRV", "0 0 0 .", ttl=0)
                while site.ids[0] in await run_console_command(path, "boxes"):
                    await trio.sleep(0.05)
            assert statuses[0] in (502, 504)
            assert len(received) == 1
            assert sum(len(cache.received) for cache in (*site.caches, site.origin)) == 1
        nursery.cancel_scope.cancel()


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the program with these arguments."""
    return subprocess.run(
        [sys.executable, "-m", "brackenlane", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
        env={"PATH": "/usr/bin:/bin"},
    )


@with_trio
async def test_discover_command(tmp_path: Path) -> None:
    """`discover` shows each answer and the list with its reasons; it exits with 1 if a look-up failed."""
    async with trio.open_nursery() as nursery:
        site = await Site.open(nursery)
        site.server.additional = False  # each address needs its own query
        async with run_appliance(tmp_path, [site.origin], site.server, extra_settings=DISCOVERY_SETTINGS) as (
            _,
            _port,
            path,
        ):
            for fails in (False, True):
                site.server.set_faults(*[Fault.SERVFAIL] * fails, name="box-1.branch.test")
                completed = await trio.to_thread.run_sync(run, "discover", str(path), "--json")
                view = orjson.loads(completed.stdout)
                assert completed.returncode == int(fails)
                assert bool(view["failed"]) is fails
                assert {cache["id"] for cache in view["boxes"]} == {*site.ids, "origin"}
            table = await trio.to_thread.run_sync(run, "discover", str(path))
            assert "SERVFAIL" in table.stdout
            assert "named by file" in table.stdout
        nursery.cancel_scope.cancel()


def test_configuration_errors_are_all_reported(tmp_path: Path) -> None:
    """All five errors of a file are reported at once, with file, path, value and the allowed values."""
    text = (ROOT / "deploy" / "appliance.toml").read_text()
    for old, new in (
        ("give_up = 6.0", 'give_up = "6"'),
        ("max_attempts = 4", "max_attempts = 99"),
        ("port = 7101", "prot = 7101"),
        ('role = "origin"', 'role = "orign"'),
        ("direct = true", 'direct = "yes"'),
    ):
        assert old in text
        text = text.replace(old, new, 1)
    path = tmp_path / "a.toml"
    path.write_text(text)
    for command in ("check", "appliance"):
        completed = run(command, str(path))
        assert completed.returncode == 2, completed
        for expected in (
            "class[0].give_up: '6': Input should be a valid number",
            "settings.max_attempts: 99: Input should be less than or equal to 16",
            "box[0].port: missing",
            "box[0].prot: not known",
            "box[2].role: 'orign'",
            "settings.direct: 'yes'",
        ):
            assert f"{path}: {expected}" in completed.stderr, (expected, completed.stderr)
    assert run("check", str(ROOT / "deploy" / "appliance.toml")).returncode == 0


@pytest.mark.parametrize(
    ("arguments", "code", "expected"),
    [
        (["--help"], 0, "discover"),
        (["console", "--help"], 0, "COMMAND"),
        (["--version"], 0, "brackenlane 0.1.0"),
        (["completion", "bash"], 0, "_BRACKENLANE_COMPLETE"),
        (["explode"], 2, ""),
        (["check"], 2, ""),
        (["check", "no-such-file"], 2, ""),
    ],
)
def test_command_line(arguments: list[str], code: int, expected: str) -> None:
    """Help and version exit with 0, wrong arguments with 2 and a message on stderr."""
    completed = run(*arguments)
    assert completed.returncode == code
    assert expected in completed.stdout
    assert "Traceback" not in completed.stderr
    assert bool(completed.stderr) is bool(code)


def test_platform_start_imports_no_appliance_libraries() -> None:
    """A start as a platform router imports none of the appliance's libraries."""
    code = (
        "import sys, brackenlane.__main__ as m; "
        "print(sorted({n.split('.')[0] for n in sys.modules} & "
        "{'pydantic', 'click', 'dns', 'hiredis', 'h11', 'hypothesis'}))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "[]"


REMEMBERED = PersistedMembership(
    (CacheDefinition("s1", "127.0.0.1", 80, "z"),),
    {SRV: (CacheDefinition("b-1", "b.test", 80, "z"),)},
    {"b.test": "127.0.0.2"},
    {"b-1": OperatorOrder(True, 5.0, "console")},
)


def test_truncated_or_changed_snapshot(tmp_path: Path) -> None:
    """A snapshot is read back unchanged; truncated or changed at any byte, it is rejected as a whole."""
    saved = snapshot_codec.Snapshot(REMEMBERED, 7.0, StreamPosition(17, 3), True, (("clip", -1, 5.0),))
    complete = snapshot_codec.dump(saved)
    assert snapshot_codec.parse(complete) == saved
    for position in range(len(complete)):
        for damaged in (
            complete[:position],
            complete[:position] + bytes([complete[position] ^ 1]) + complete[position + 1 :],
        ):
            try:
                found = snapshot_codec.parse(damaged)
            except ValueError:
                continue
            assert found == saved, (position, damaged)
    path = tmp_path / "last.json"
    snapshot.save(path, complete)
    assert snapshot.load(path) == saved
    assert snapshot.load(tmp_path / "none.json") is None
