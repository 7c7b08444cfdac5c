"""The admin API: maintenance rules, and the calls to a running router process."""

from __future__ import annotations

import re
import socket
import time
from dataclasses import replace
from pathlib import Path

import pytest
import trio

from brackenlane.clock import steady_time
from brackenlane.core.metrics import Gauges, RequestMetrics, expose
from brackenlane.limits import Limits
from brackenlane.ops.handover_log import HandoverLog
from brackenlane.ops.handover_records import MaintenanceEntered, MaintenanceExited
from brackenlane.ops.maintenance import Maintenance, MaintenanceAction, MaintenanceResult
from brackenlane.routing.events import Membership, MembershipKind
from brackenlane.routing.members import Member, ServerState
from tests.stand_ins import (
    CacheStandIn,
    ChangeLogStandIn,
    ReceivedRequest,
    ScriptedReply,
    cache_as_record,
    data_reply,
    free_port,
    run_platform,
    with_trio,
)

EDGE, OTHER, ORIGIN = "s-00000001", "s-00000002", "s-00000009"
ENTER, EXIT = MaintenanceAction.ENTER, MaintenanceAction.EXIT


async def call_admin_api(port: int, path: str, method: str = "GET", raw: bytes = b"") -> tuple[int, str]:
    """Make one call of the admin API; return the status and the body."""
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        await stream.send_all(raw or f"{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
        received = b""
        while more := await stream.receive_some(65_536):
            received += more
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), body.decode()


async def read_metrics(port: int) -> dict[str, float]:
    """Return all samples of the metrics, by name and labels."""
    status, text = await call_admin_api(port, "/status/metrics")
    assert status == 200
    return {
        line.rpartition(" ")[0]: float(line.rpartition(" ")[2])
        for line in text.splitlines()
        if not line.startswith("#")
    }


def test_metrics_text_format() -> None:
    """Each line is a valid sample or type line of the text format, with escaped label values."""
    counts = RequestMetrics(['a"b\\c\nd', "pages"])
    counts.count_answer("pages", 200)
    counts.count_answer("pages", 304)
    counts.count_answer("nobody's", 200)
    text = expose(counts, Gauges(14, 9, 1)).decode()
    sample_line = re.compile(r'[a-z_]+(\{kind="(\\["\\n]|[^"\\\n])*"\})? \d+')
    type_line = re.compile(r"# TYPE [a-z_]+ (counter|gauge)")
    assert text.endswith("\n")
    assert all(type_line.fullmatch(line) or sample_line.fullmatch(line) for line in text.splitlines())
    assert 'gw_ok{kind="pages"} 2\n' in text
    assert "gw_active 14\n" in text
    assert r'gw_ok{kind="a\"b\\c\nd"} 0' in text


def test_maintenance_outlasts_change_log_events() -> None:
    """A cache in maintenance is draining whatever the change log reports.

    After its exit it counts as started then, unless the change log has reported a start since the order.
    """
    maintenance = Maintenance(max_out_of_service=1)
    cache, other = Member("a", "z", started_at=5.0), Member("b", "z")

    def reported(event: Membership | None) -> list[tuple[str, ServerState, float]]:
        assert event is not None
        return [(m.server, m.state, m.started_at) for m in event.members]

    assert maintenance.carry_out(ENTER, "a", 10.0) == (MaintenanceResult.UNKNOWN, None)
    maintenance.apply(Membership(MembershipKind.FULL, (cache, other)))
    assert reported(maintenance.carry_out(ENTER, "a", 10.0)[1]) == [("a", ServerState.DRAINING, 5.0)]
    assert maintenance.carry_out(ENTER, "a", 11.0) == (MaintenanceResult.DONE, None)
    assert maintenance.carry_out(ENTER, "b", 11.0) == (MaintenanceResult.FULL, None)
    for kind in (MembershipKind.CHANGES, MembershipKind.FULL):
        assert reported(maintenance.apply(Membership(kind, (cache, other)))) == [
            ("a", ServerState.DRAINING, 5.0),
            ("b", ServerState.SERVING, 0.0),
        ]
    assert reported(maintenance.carry_out(EXIT, "a", 20.0)[1]) == [
        ("a", ServerState.SERVING, 20.0)
    ]  # no start was reported since the order
    assert maintenance.carry_out(EXIT, "a", 21.0) == (MaintenanceResult.DONE, None)
    assert maintenance.carry_out(EXIT, "c", 21.0) == (MaintenanceResult.UNKNOWN, None)
    maintenance.carry_out(ENTER, "a", 30.0)
    maintenance.apply(Membership(MembershipKind.CHANGES, (Member("a", "z", state=ServerState.GONE),)))
    assert maintenance.carry_out(EXIT, "a", 31.0) == (MaintenanceResult.DONE, None)
    maintenance.apply(Membership(MembershipKind.CHANGES, (cache,)))
    maintenance.carry_out(ENTER, "a", 40.0)
    maintenance.apply(Membership(MembershipKind.CHANGES, (Member("a", "z", started_at=44.0),)))
    assert reported(maintenance.carry_out(EXIT, "a", 50.0)[1]) == [("a", ServerState.SERVING, 44.0)]


def test_accepted_orders_hold_for_unlisted_caches() -> None:
    """Guards against: an order that another process accepted was lost where the cache was not listed yet."""
    maintenance = Maintenance(max_out_of_service=1)
    early, late = Member("a", "z", started_at=5.0), Member("a", "z", started_at=12.0)
    for server in ("a", "b"):  # each process may have accepted one at the limit
        assert maintenance.apply_accepted(ENTER, server, 10.0) is None
    assert maintenance.check(ENTER, "a") is MaintenanceResult.DONE
    [reported] = maintenance.apply(Membership(MembershipKind.CHANGES, (early,))).members
    assert reported.state is ServerState.DRAINING
    maintenance.apply(Membership(MembershipKind.CHANGES, (replace(early, state=ServerState.GONE),)))
    assert maintenance.apply_accepted(EXIT, "a", 20.0) is None
    assert maintenance.apply_accepted(EXIT, "a", 21.0) is None  # a repeated order changes nothing
    # No start was reported since the order: the cache counts as started at its return, on every list.
    for kind in (MembershipKind.CHANGES, MembershipKind.FULL):
        [reported] = maintenance.apply(Membership(kind, (early,))).members
        assert (reported.state, reported.started_at) == (ServerState.SERVING, 20.0)
    [reported] = maintenance.apply(Membership(MembershipKind.CHANGES, (late,))).members
    assert reported.started_at == 12.0


def test_later_process_knows_of_a_return(tmp_path: Path) -> None:
    """Guards against: a cache that was just put back counted as warm for a process that started after it."""
    earlier = HandoverLog(tmp_path / "x", Limits())
    exited_at = steady_time()
    earlier.append(MaintenanceEntered("a", exited_at - 10.0))
    earlier.append(MaintenanceExited("a", exited_at))
    earlier.close()
    for _ in range(2):  # the second process reads the summary that the first one wrote
        log = HandoverLog(tmp_path / "x", Limits())
        maintenance = Maintenance(max_out_of_service=1)
        maintenance.restore(log.index.out_of_service, log.index.returns)
        event = Membership(MembershipKind.FULL, (Member("a", "z", started_at=5.0),))
        [reported] = maintenance.apply(event).members
        assert (reported.state, reported.started_at) == (ServerState.SERVING, exited_at)
        log.close()


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GET /status HTTP/1.1\r\nHost: o\r\n\r\n", 200),
        (b"PUT /status HTTP/1.1\r\nHost: o\r\n\r\n", 405),
        (b"GET /maintenance/enter/" + EDGE.encode() + b" HTTP/1.1\r\nHost: o\r\n\r\n", 405),
        (b"PUT /maintenance/enter/s-0000000f HTTP/1.1\r\nHost: o\r\n\r\n", 404),
        (b"PUT /maintenance/exit/s-0000000f HTTP/1.1\r\nHost: o\r\n\r\n", 404),
        (b"PUT /maintenance/enter/%2e%2e HTTP/1.1\r\nHost: o\r\n\r\n", 404),
        (b"PUT /maintenance/enter/\xff\xfe HTTP/1.1\r\nHost: o\r\n\r\n", 400),
        (b"GET /" + b"x" * 9_000 + b" HTTP/1.1\r\nHost: o\r\n\r\n", 431),
        (b"\x00\x01\r\n\r\n", 400),
    ],
)
@with_trio
async def test_each_call_gets_its_response(tmp_path: Path, raw: bytes, status: int) -> None:
    """Each call gets its status; a malformed or unknown call changes nothing."""
    async with trio.open_nursery() as nursery:
        caches = [await cache.open(nursery) for cache in (CacheStandIn(EDGE), CacheStandIn(ORIGIN, "origin"))]
        admin_port = free_port()
        async with run_platform(tmp_path, caches, ops_port=admin_port) as router_process:
            actual_status, _ = await call_admin_api(admin_port, "", raw=raw)
            assert actual_status == status or (
                status >= 400 and 400 <= actual_status < 500 and b"\xff" in raw
            )
            assert (await read_metrics(admin_port))["gw_pool_ejected"] == 0
            assert (await router_process.request_object())[0] == 200
        nursery.cancel_scope.cancel()


@with_trio
async def test_idle_connections_give_way_to_new_calls(tmp_path: Path) -> None:
    """More idle or incomplete connections than allowed do not delay a complete call."""
    async with trio.open_nursery() as nursery:
        caches = [await cache.open(nursery) for cache in (CacheStandIn(EDGE), CacheStandIn(ORIGIN, "origin"))]
        admin_port = free_port()
        async with run_platform(tmp_path, caches, ops_port=admin_port):
            idle = [await trio.open_tcp_stream("127.0.0.1", admin_port) for _ in range(40)]
            for stream in idle[::2]:
                await stream.send_all(b"GET /status HT")
            with trio.fail_after(5):
                for _ in range(20):
                    assert (await call_admin_api(admin_port, "/status"))[0] == 200
            for stream in idle:
                await stream.aclose()
        nursery.cancel_scope.cancel()


@with_trio
async def test_metrics_agree_with_clients_and_caches(tmp_path: Path) -> None:
    """Metrics count each response as its client received it, and each attempt as its cache received it."""
    replies: dict[str, ScriptedReply] = {
        "00000000000000a0": b"%b absent - 0\r\n\r\n",
        "00000000000000a1": b"%b failed - 0\r\n\r\n",
        "00000000000000a2": b"%b full - 0\r\n\r\n",
        "00000000000000a3": None,
    }

    def answer(requested: ReceivedRequest) -> ScriptedReply:
        reply = replies.get(requested.fields["path"], b"")
        if requested.fields["path"] == "00000000000000a4":
            return data_reply(requested, b"", "unchanged")
        return data_reply(requested) if reply == b"" else reply and reply % requested.id.encode()

    async with trio.open_nursery() as nursery:
        caches = [
            await cache.open(nursery)
            for cache in (CacheStandIn(EDGE, answer=answer), CacheStandIn(ORIGIN, "origin", answer=answer))
        ]
        admin_port = free_port()
        async with run_platform(tmp_path, caches, ops_port=admin_port) as router_process:
            expected = {
                (name, cls): 0
                for name in ("ok", "shed", "errors")
                for cls in ("video-parts", "sheet-pages", "sheet-submit")
            }

            async def request(cls: str, obj: str, **headers: str) -> None:
                status = (
                    await router_process.request_object(
                        cls, obj, b"signed" * (cls == "sheet-submit"), 600, **headers
                    )
                )[0]
                metric = "ok" if status in (200, 304) else "shed" if status in (429, 503) else "errors"
                expected[metric, cls] += 1

            for n in range(5):
                for cls in ("video-parts", "sheet-pages", "sheet-submit"):
                    await request(cls, f"00000000000000a{n}", If_None_Match='"e1"')
            # A malformed request of a known class.
            await request("video-parts", "00000000000000b0", X_Second_Try="7")
            await router_process.request_object("no-such-class")
            # A client that disconnects before it has a response.
            with socket.create_connection(("127.0.0.1", router_process.port)) as client:
                client.send(
                    b"GET /api/v2/sheet-pages/00000000000000a3/n-1 HTTP/1.1\r\nHost: o\r\nX-Txn: "
                    b"9b1f03aa5c7e2d41\r\nX-Ttl-Ms: 9000\r\nX-Shard: 1\r\n\r\n"
                )
                received_before = len(caches[0].received)
                await caches[0].wait_until(lambda: len(caches[0].received) > received_before)
                assert (await read_metrics(admin_port))["gw_active"] == 1
            metrics = await read_metrics(admin_port)
            while metrics["gw_active"]:
                metrics = await read_metrics(admin_port)
            assert {(n, c): metrics[f'gw_{n}{{kind="{c}"}}'] for n, c in expected} == expected
            for cls in ("video-parts", "sheet-pages", "sheet-submit"):
                attempt_count = sum(a.fields["queue"] == cls for cache in caches for a in cache.received)
                assert metrics[f'gw_tries{{kind="{cls}"}}'] == attempt_count > 0
            assert metrics["gw_pool_size"] == 2
        nursery.cancel_scope.cancel()


@with_trio
async def test_cache_in_maintenance_receives_no_requests(tmp_path: Path) -> None:
    """A cache gets no request once its order is confirmed, whatever the change log reports.

    One exit order is enough after two enter orders.
    """
    async with trio.open_nursery() as nursery:
        log = await ChangeLogStandIn().open(nursery)
        edge, other, origin = [
            await cache.open(nursery)
            for cache in (CacheStandIn(EDGE), CacheStandIn(OTHER), CacheStandIn(ORIGIN, "origin"))
        ]
        admin_port = free_port()
        async with run_platform(tmp_path, [edge, other, origin], log, ops_port=admin_port) as router_process:

            async def request_all() -> None:
                for n in range(12):
                    assert (await router_process.request_object(obj=f"{n:016x}"))[0] == 200

            await request_all()
            assert edge.received
            for _ in range(2):
                assert (await call_admin_api(admin_port, f"/maintenance/enter/{EDGE}", "PUT"))[0] == 200
            received_before = len(edge.received)
            await request_all()
            await log.send_frame(2, 2, cache_as_record(edge, 1))
            await log.send_frame(3, 2, cache_as_record(edge, 0))
            await log.send_frame(
                4, 1, cache_as_record(edge, 0) + cache_as_record(other, 0) + cache_as_record(origin, 0)
            )
            await log.reconnect()
            await request_all()
            assert len(edge.received) == received_before
            assert not [
                attempt
                for attempt in (*other.received, *origin.received)
                if attempt.fields.get("miss") == EDGE
            ]
            metrics = await read_metrics(admin_port)
            assert (metrics["gw_pool_size"], metrics["gw_pool_ejected"]) == (3, 1)
            assert (await call_admin_api(admin_port, f"/maintenance/exit/{EDGE}", "PUT"))[0] == 200
            deadline = time.monotonic() + 5
            while len(edge.received) == received_before:
                assert time.monotonic() < deadline
                await request_all()
            assert (await read_metrics(admin_port))["gw_pool_ejected"] == 0
        nursery.cancel_scope.cancel()
