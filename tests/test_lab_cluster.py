"""Clusters of routers with injected faults, and the invariants: each must find a planted violation."""

from __future__ import annotations

import contextlib
import os
import random
import socket
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing

from brackenlane.config import ConfigError
from brackenlane.lab.cluster import invariants, links, ports, report, routers, script
from brackenlane.lab.cluster.record import Event, Record, load
from brackenlane.lab.cluster.scenario import Outcome, run_in_virtual_time
from brackenlane.lab.cluster.time_coordinator import TimeCoordinator

HOT = f"{random.Random(0).getrandbits(64):016x}"  # the most requested object
HEAD = 'name = "t"\ndoormans = 8\nboxes = 3\nparents = 1\nobjects = 40\n'


@pytest.fixture(autouse=True)
def ports_of_worker(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give each pytest-xdist worker its own range of ports."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])
    monkeypatch.setattr(routers, "PORTS", iter(range(25_000 + 1_000 * worker, 26_000 + 1_000 * worker)))


def steps(*lines: str) -> str:
    """Return the TOML of steps given as 'SECOND DO [MORE LINES]'."""
    return "".join(
        '[[at]]\nsecond = {}\ndo = "{}"\n{}\n'.format(*line.split(" ", 2), *[""] * (2 - line.count(" ")))
        for line in lines
    )


def run_in_cluster(tmp_path: Path, text: str) -> Outcome:
    """Run one script in virtual time; every invariant must hold."""
    outcome = run_in_virtual_time(script.read(HEAD + text, "t.toml"), 1, tmp_path)
    assert outcome.well, (outcome.faults, outcome.logs)
    return outcome


def times(record: Record, kind: str, **what: Any) -> list[tuple[int, float]]:
    """Return (router, time) of the events of a kind that have the given fields."""
    return [(e.router, e.at) for e in record.of(kind) if what.items() <= e.what.items()]


def test_drain_while_all_routers_are_down(tmp_path: Path) -> None:
    """A drain ordered while all routers are down takes effect after their start.

    All routers are killed, another router orders the drain, and snapshots are intact, torn or missing.
    """
    outcome = run_in_cluster(
        tmp_path,
        "seconds = 7.5\nrate = 60.0\n"
        + steps(
            "2.5 kill",
            '2.6 list who = [1]\nstate = "torn"',
            '2.6 list who = [2]\nstate = "missing"',
            '2.7 write_order box = "box-2"',
            "3.0 start",
        ),
    )  # snapshots are written once a second
    record = outcome.record
    assert {who for who, _ in times(record, "told_order", box="box-2", drained=True)} == set(range(8))
    since = max(at for _, at in times(record, "told_order", box="box-2"))
    late = {e.what["box"] for e in record.of("sent") if e.at > since + 0.1}
    assert "box-2" not in late
    assert {"box-0", "box-1"} <= late
    assert {e.router for e in record.of("sent")} >= set(range(8))  # the link has identified every router
    assert outcome.figures["served"] > 0.6
    assert outcome.figures["current"] == 8
    # Routers with an intact snapshot request changes only; the two others load the full list.
    assert sum(1 for e in record.of("store_command") if e.what["word"] == "HSCAN") <= 2 * (8 + 2)


def test_store_loses_recent_writes(tmp_path: Path) -> None:
    """The store loses its last 1.5 s of writes, with a drain: a few routers write the drain again."""
    outcome = run_in_cluster(
        tmp_path,
        "seconds = 7.0\nrate = 40.0\n"
        + steps(
            '1.0 drain box = "box-1"\nwho = [3]',
            "2.0 store_down",
            "2.0 lose seconds = 1.5",
            "2.5 store_up",
            "5.0 kill who = [0]",
            '5.1 list who = [0]\nstate = "missing"',
            "5.2 start who = [0]",
        ),
    )
    writes = [e for e in outcome.record.of("store_write") if '"drained":true' in e.what["event"]]
    assert 2 <= len(writes) <= 4  # the original, then those of the first routers to reconnect
    # A router without a snapshot can receive the order from the store only.
    reported = times(outcome.record, "told_order", box="box-1", drained=True)
    assert max(at for who, at in reported if who == 0) > 5


def test_snapshot_with_wrong_ports_is_not_used(tmp_path: Path) -> None:
    """A snapshot 6.9 days old with wrong ports for all caches isn't used, even while the store is down."""
    outcome = run_in_cluster(
        tmp_path,
        "seconds = 6.0\nrate = 40.0\n"
        + steps("1.5 kill", '1.6 list state = "foreign"', "1.6 store_down", "1.8 start", "4.0 store_up"),
    )
    record = outcome.record
    [*_, began] = [at for _, at in times(record, "start")]
    # Each cache has its own link, so `box` is the cache that the request really went to.
    for event in record.of("sent"):
        assert event.what["miss"] != event.what["box"]
    assert outcome.figures["served"] > 0.6
    follows = {who for who, at in times(record, "follow") if at > began}
    assert follows == set(range(8))
    assert "another" not in "".join((tmp_path / f"router-{n}.log").read_text() for n in range(8))
    assert (tmp_path / "router-1.log").read_text().count("snapshot of") == 0


def test_orders_arrive_despite_refused_connections_and_wrong_clock(tmp_path: Path) -> None:
    """Orders reach all routers though 9 in 10 store connections are refused and one router is stopped.

    The clock of router 5 is 10 minutes ahead: it must not take a new purge for an old one.
    """
    outcome = run_in_cluster(
        tmp_path,
        # Leaves time for many requests after the purge, even if a router receives it 5 s late.
        "seconds = 18.0\nrate = 80.0\nclocks = { 5 = [600.0, 1.0] }\n"
        + steps(
            "0.5 kill",
            "0.5 refuse_share share = 0.9",
            "0.7 start",
            "3.0 stop who = [4]",
            "4.5 cont who = [4]",
            "3.0 refuse_share share = 0.0",  # the longest retry delay ends 5 s later
            '8.3 drain box = "box-0"\nwho = [6]',
            "8.5 term who = [0, 1, 2, 3, 4, 7]",
            f'9.5 purge object = "{HOT}"\nwho = [6]',
            "9.5 kill who = [6]",
        ),
    )
    # Router 5 has the wrong clock and sees the purge as ten minutes old; it must apply the purge too. The
    # invariant checks this only if router 5 served the object after the purge.
    [reported] = [e.at for e in outcome.record.of("told_purge") if e.router == 5]
    assert any(
        e.what["issued"] and e.what["asked"] > reported + 1
        for e in outcome.record.of("answer")
        if e.what["obj"] == HOT
    )
    assert outcome.figures["current"] == 8
    assert outcome.figures["store_connects_peak"] <= 40
    assert {who for who, _ in times(outcome.record, "told_order", box="box-0", drained=True)} == set(range(8))


def test_unresponsive_cache_and_partitioned_store(tmp_path: Path) -> None:
    """Half of the routers start 3 s after the others; an unresponsive cache gets few handshakes.

    The cache accepts connections but doesn't answer; the others serve the requests.
    """
    outcome = run_in_cluster(
        tmp_path,
        "seconds = 8.0\nrate = 60.0\nstarted = false\n"
        + steps('0.0 start who = "odd"', '0.0 box_mute box = "box-1"', '3.0 start who = "even"'),
    )
    handshakes = [e for e in outcome.record.of("handshake") if e.what["box"] == "box-1"]
    assert len(handshakes) <= 8 * 12
    late = [e for e in outcome.record.of("answer") if e.at > 6.0]
    assert sum(e.what["status"] in (200, 304) for e in late) > 0.8 * len(late) > 0


def make_record(*events: tuple[Any, ...]) -> Record:
    """Return a record with the events (at, kind, router, what)."""
    return Record(0.0, 0.0, [Event(float(at), kind, who, what) for at, kind, who, what in events])


ASK = {"id": "x", "ttl": 2.0}


@pytest.mark.parametrize(
    ("check", "good", "bad"),
    [
        (
            invariants.requests_answered,
            [(0, "healthy", 1, {}), (1, "ask", 1, ASK), (2, "answer", 1, {"id": "x"})],
            [(0, "healthy", 1, {}), (1, "ask", 1, ASK)],
        ),
        (
            invariants.requests_answered,
            [(0, "healthy", 1, {}), (1, "ask", 1, ASK), (2, "kill", 1, {})],
            [(0, "healthy", 1, {}), (1, "ask", 1, ASK), (4, "answer", 1, {"id": "x"})],
        ),
        (
            invariants.submits_executed_once,
            [(1, "run", -1, {"id": "x"}), (2, "run", -1, {"id": "y"})],
            [(1, "run", -1, {"id": "x"}), (9, "run", -1, {"id": "x"})],
        ),
        (
            invariants.drains_respected,
            [
                (1, "told_order", 1, {"box": "b", "drained": True}),
                (1.4, "sent", 1, {"box": "b", "miss": ""}),
                (9, "sent", 2, {"box": "b", "miss": ""}),
            ],
            [
                (1, "told_order", 1, {"box": "b", "drained": True}),
                (1.7, "sent", 1, {"box": "a", "miss": "b"}),
            ],
        ),
        (
            invariants.purges_respected,
            [
                (1, "told_purge", 1, {"obj": "o", "time": 50}),
                (3, "answer", 1, {"obj": "o", "issued": 60, "asked": 2.5}),
            ],
            [
                (1, "told_purge", 1, {"obj": "o", "time": 50}),
                (3, "answer", 1, {"obj": "o", "issued": 40, "asked": 2.5}),
            ],
        ),
        (
            lambda r: invariants.rate_bounded(r, "k", 2),
            [(1, "k", -1, {}), (1.5, "k", -1, {}), (2.1, "k", -1, {})],
            [(1, "k", -1, {}), (1.5, "k", -1, {}), (1.9, "k", -1, {})],
        ),
        (
            lambda r: invariants.cold_caches_not_overloaded(r, 0.3, 18.0, 1.0, {"b": 10.0}),
            [(0, "box_start", -1, {"box": "b"}), *[(n / 9, "got", -1, {"box": "b"}) for n in range(20)]],
            [(0, "box_start", -1, {"box": "b"}), *[(n / 99, "got", -1, {"box": "b"}) for n in range(20)]],
        ),
        (invariants.no_cache_failed, [(1, "got", -1, {"box": "b"})], [(1, "fall", -1, {"box": "b"})]),
        (
            lambda r: invariants.handshakes_bounded(r, 1),
            [(1, "handshake", -1, {"box": "b"})] * 2,
            [(1, "handshake", -1, {"box": "b"})] * 3,
        ),
    ],
)
def test_invariants(check: Any, good: list[Any], bad: list[Any]) -> None:
    """Each invariant accepts the good record and finds the one violation in the bad record."""
    assert check(make_record(*good)) == []
    assert len(check(make_record(*bad))) == 1


def test_reserved_port_is_exclusive() -> None:
    """A reserved port stays reserved until it is released, though a router may listen on it meanwhile."""
    with ports.reserve_port(routers.PORTS) as first:
        taken = first.getsockname()
        with ports.reserve_port(range(taken[1], taken[1] + 100)) as second:
            assert second.getsockname() != taken
        with socket.create_server(taken) as listener:  # create_server sets SO_REUSEADDR, as routers do
            assert listener.getsockname() == taken
    with ports.reserve_port([taken[1]]) as again:
        assert again.getsockname() == taken


def test_links(tmp_path: Path) -> None:
    """Each fault of a link takes effect, and the healed link forwards data again; in virtual time."""

    async def echo(stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            async with stream:
                async for data in stream:
                    await stream.send_all(data)

    async def request(port: int, text: bytes = b"hello") -> bytes:
        got = b""
        with trio.move_on_after(0.3):
            try:
                async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                    await stream.send_all(text)
                    while len(got) < len(text) and (data := await stream.receive_some(100)):
                        got += data
            except (OSError, trio.BrokenResourceError):
                return got + b"!"
        return got

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, echo, [listener])
            link = await links.Link(listener.socket.getsockname()[1]).open(nursery)
            assert await request(link.port) == b"hello"
            for fault, text in (
                ({"refuse": True}, b"!"),
                ({"up": False}, b""),
                ({"down": False}, b""),
                ({"drop_after": 3}, b"!"),
                ({"delay": 0.2}, b""),
                ({"rate": 4.0}, b""),
            ):
                await link.set(**fault)
                assert await request(link.port) == text, fault
                await link.heal()
                assert await request(link.port) == b"hello", fault
            nursery.cancel_scope.cancel()

    TimeCoordinator(tmp_path / "clock", 0).run(main)


@pytest.mark.parametrize(
    ("text", "expected_message"),
    [
        ("seconds = 0", "seconds"),
        ("seconds = 1\nodd = 1", "odd"),
        ('seconds = 1\n[[at]]\nsecond = 1\ndo = "link"\nway = "box-9"', "box-9"),
        ('seconds = 1\n[[at]]\nsecond = 1\ndo = "kill"\nwho = [8]', "there are 8 routers"),
        ('seconds = 1\npairs = false\n[[at]]\nsecond = 1\ndo = "link"\nway = "box-1"', "links of their own"),
        ("seconds = ", "not TOML"),
    ],
)
def test_bad_scripts(text: str, expected_message: str) -> None:
    """An invalid script raises an error that names the fault."""
    with pytest.raises(ConfigError, match=expected_message):
        script.read(
            HEAD + text.replace("seconds = 1", "seconds = 1.0").replace("second = 1", "second = 1.0"),
            "t.toml",
        )


def test_report(tmp_path: Path) -> None:
    """The table names violated invariants; a saved record is loaded unchanged; the plots are drawn."""
    record = make_record(
        (0, "start", 0, {}), (1, "healthy", 0, {}), (1, "ask", 0, ASK), (1, "got", -1, {"box": "b"})
    )
    figures = {name: 1.0 for name, _, _ in report.ROWS}
    outcome = Outcome(record, {"once": ["submit x ran 2 times"], "drained": []}, figures)
    text = report.table(outcome)
    assert "BROKEN, 1 times" in text
    assert "drained" in text
    assert "kept" in text
    assert not outcome.well
    path, picture = report.save(outcome, tmp_path, "t")
    assert load(path).events == record.events
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_link_that_refuses_keeps_its_port() -> None:
    """Guards against another program that takes the port of a link until the link is healed."""

    async def refuse_and_heal() -> None:
        async with trio.open_nursery() as nursery:
            [server] = await trio.open_tcp_listeners(0, host="127.0.0.1")
            link = await links.Link(server.socket.getsockname()[1]).open(nursery)
            await link.set(refuse=True)
            await trio.testing.wait_all_tasks_blocked()  # the listener closes
            with pytest.raises(OSError, match="all attempts to connect"):
                await trio.open_tcp_stream("127.0.0.1", link.port)
            with socket.socket() as other, pytest.raises(OSError, match="in use"):
                other.bind(("127.0.0.1", link.port))
            await link.heal()
            await (await trio.open_tcp_stream("127.0.0.1", link.port)).aclose()
            await server.aclose()
            nursery.cancel_scope.cancel()

    trio.run(refuse_and_heal)
