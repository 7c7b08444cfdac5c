"""Handover between processes of one router: the handover log, and running processes at one address."""

from __future__ import annotations

import contextlib
import os
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from pathlib import Path

import pytest
import trio
import trio.lowlevel
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenlane.limits import Limits
from brackenlane.ops.handover_index import HandoverIndex
from brackenlane.ops.handover_log import HandoverLog, HandoverLogError
from brackenlane.ops.handover_records import (
    HandoverRecord,
    MaintenanceEntered,
    MaintenanceExited,
    ProcessServing,
    ProcessStarted,
    RecordReader,
    SubmitClaimed,
    SubmitReleased,
    encode,
)
from brackenlane.ops.handover_state import HandoverState, handover_state
from tests.stand_ins import (
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
from tests.test_admin_api import call_admin_api, read_metrics

EDGE, OTHER, ORIGIN = "s-00000001", "s-00000002", "s-00000009"
READ_REQUEST = (
    b"GET /api/v2/video-parts/%b/n-0 HTTP/1.1\r\nHost: o\r\nX-Txn: %b\r\nX-Ttl-Ms: 2000\r\nX-Shard: 1\r\n\r\n"
)
HEALTHY = b"GET /-/healthy HTTP/1.1\r\nHost: o\r\n\r\n"
KEEPALIVE_INTERVAL = 0.5  # seconds between requests, so that a connection is not closed as idle
SUBMIT = (
    b"PUT /api/v2/sheet-submit/00000000000000aa/n-0 HTTP/1.1\r\nHost: o\r\nX-Txn: 9b1f03aa5c7e2d41\r\n"
    b"X-Ttl-Ms: 2000\r\nX-Shard: 1\r\nContent-Length: 6\r\n\r\nsigned"
)


# Records, index and states, without processes

RECORDS = st.lists(
    st.one_of(
        st.builds(ProcessStarted, st.sampled_from("abc")),
        st.builds(ProcessServing, st.sampled_from("abc")),
        st.builds(MaintenanceEntered, st.sampled_from(["s-1", "s-2"]), st.floats(0, 9e9)),
        st.builds(MaintenanceExited, st.sampled_from(["s-1", "s-2"]), st.floats(0, 9e9)),
        st.builds(SubmitClaimed, st.sampled_from("123"), st.sampled_from("abc")),
        st.builds(SubmitReleased, st.sampled_from("123")),
    ),
    max_size=20,
)


def build_index(data: bytes, chunk_size: int) -> HandoverIndex:
    """Return the index that results from the records in these bytes, read in chunks."""
    index = HandoverIndex(100)
    reader = RecordReader(256)
    for n in range(0, len(data), chunk_size):
        for record in reader.feed(data[n : n + chunk_size]):
            index.apply(record)
    return index


@settings(derandomize=True, deadline=None)
@given(RECORDS, st.integers(1, 40))
def test_summary_results_in_the_same_index(records: list[HandoverRecord], chunk_size: int) -> None:
    """A log that is read in chunks of any size, and its summary, result in the same index."""
    index = build_index(b"".join(map(encode, records)), chunk_size)
    records = [*index.summary(), *index.recent_returns(now=0.0)]
    from_summary = build_index(b"".join(map(encode, records)), chunk_size)
    assert (index.is_serving, index.out_of_service, index.returns, index.claims) == (
        from_summary.is_serving,
        from_summary.out_of_service,
        from_summary.returns,
        from_summary.claims,
    )


@settings(derandomize=True, deadline=None)
@given(RECORDS, RECORDS, st.binary(max_size=60), st.integers(0, 400))
def test_truncated_record_hides_no_other(
    before: list[HandoverRecord], after: list[HandoverRecord], junk: bytes, cut: int
) -> None:
    """A record truncated by a crash, and bytes of another program, hide no record before or after them."""
    torn = encode(MaintenanceEntered("s-9", 1.0))[: -2 - cut % 10]
    text = b"".join(map(encode, before)) + torn + junk.replace(b"\n", b"") + b"".join(map(encode, after))
    expected = HandoverIndex(100)
    for record in (*before, *after):
        expected.apply(record)
    actual = build_index(text, 7)
    assert (actual.is_serving, actual.out_of_service, actual.claims) == (
        expected.is_serving,
        expected.out_of_service,
        expected.claims,
    )


@pytest.mark.parametrize(
    ("serving", "alive", "expected"),
    [
        ({"me": True}, set(), HandoverState.ALONE),
        ({"old": True, "me": False}, {"old"}, HandoverState.TAKING_OVER),
        ({"old": True, "me": True}, set(), HandoverState.ALONE),
        ({"me": True, "new": False}, {"new"}, HandoverState.EXPECTING),
        ({"me": True, "new": True}, {"new"}, HandoverState.RELIEVED),
        ({"me": True, "new": True}, set(), HandoverState.ALONE),  # the successor has terminated
        ({"old": True, "me": True, "new": True}, {"old", "new"}, HandoverState.RELIEVED),
    ],
)
def test_handover_state_follows_from_live_processes(
    serving: dict[str, bool], alive: set[str], expected: HandoverState
) -> None:
    assert handover_state("me", serving, alive) is expected


def test_first_claim_wins(tmp_path: Path) -> None:
    """If two processes claim a submit, both see the claim that comes first in the file as the valid one."""
    old, new = (HandoverLog(tmp_path / "x", Limits()) for _ in range(2))
    assert old.other_processes() == [] or old.other_processes() == [new.process_id]
    for log in (new, old):
        log.append(SubmitClaimed("t1", log.process_id))
    old.read_new_records()
    new.read_new_records()
    assert old.index.claims["t1"] == new.index.claims["t1"] == new.process_id
    new.close()
    assert old.other_processes() == []
    assert old.index.claims["t1"] == new.process_id


def test_full_log_takes_orders_but_no_claims(tmp_path: Path) -> None:
    """A full log accepts orders, but no claims until it is compacted, once no other process is alive."""
    limits = Limits(
        max_handover_log_size=4_000,
        handover_log_compaction_size=1_000,
        handover_log_order_reserve=1_000,
        max_handover_claims=5,
    )
    old = HandoverLog(tmp_path / "x", limits)
    new = HandoverLog(tmp_path / "x", limits)
    with pytest.raises(HandoverLogError):
        for n in range(200):
            old.append(SubmitClaimed(f"{n:016x}", old.process_id))
    old.append(MaintenanceEntered("s-1", 5.0))
    old.compact()
    assert (tmp_path / "x" / "ledger").stat().st_size > 3_900  # not compacted while another process runs
    new.close()
    old.compact()
    assert (tmp_path / "x" / "ledger").stat().st_size < 500
    old.append(SubmitClaimed("t", old.process_id))
    later = HandoverLog(tmp_path / "x", limits)
    assert later.index.out_of_service == {"s-1": 5.0}
    assert len(later.index.claims) == 5


def test_deleted_log_is_written_again(tmp_path: Path) -> None:
    """If the log file is deleted, a running process writes it again with the orders that are in force."""
    old = HandoverLog(tmp_path / "x", Limits())
    old.append(MaintenanceEntered("s-1", 5.0))
    (tmp_path / "x" / "ledger").unlink()
    old.compact()
    assert HandoverLog(tmp_path / "x", Limits()).index.out_of_service == {"s-1": 5.0}


@pytest.mark.parametrize(
    "record",
    [
        ProcessStarted("x\0y"),
        ProcessServing("../../outside"),
        MaintenanceEntered("s-1", float("nan")),
        MaintenanceExited("s-1", float("inf")),
        MaintenanceEntered("s/1", 5.0),
        SubmitClaimed("t\x7f", "x"),
    ],
)
def test_record_with_an_unusable_value_is_damaged(tmp_path: Path, record: HandoverRecord) -> None:
    """Guards against: a process id that is no file name failed the requests, before which the log is read."""
    log = HandoverLog(tmp_path / "x", Limits())
    received: list[HandoverRecord] = []
    log.on_record = received.append
    with (tmp_path / "x" / "ledger").open("ab") as file:
        file.write(encode(record) + encode(MaintenanceEntered("s-2", 5.0)))
    log.read_new_records()
    log.other_processes()
    assert received == [MaintenanceEntered("s-2", 5.0)]


def test_record_that_cannot_be_applied_hides_no_other(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against: the records read together with one that failed were lost, orders among them."""
    log = HandoverLog(tmp_path / "x", Limits())
    received: list[HandoverRecord] = []

    def receive(record: HandoverRecord) -> None:
        log.read_new_records()  # as a check before a write does while an order is applied
        received.append(record)
        if isinstance(record, ProcessStarted):
            raise OSError("the cause")

    log.on_record = receive
    records: list[HandoverRecord] = [
        ProcessStarted("other"),
        MaintenanceEntered("s-1", 5.0),
        MaintenanceExited("s-1", 6.0),
        MaintenanceEntered("s-2", 7.0),
    ]
    with (tmp_path / "x" / "ledger").open("ab") as file:
        file.write(b"".join(map(encode, records)))
    log.read_new_records()
    assert log.index.out_of_service == {"s-2": 7.0}
    assert set(received) == set(records)
    assert "the cause" in caplog.text


# Running processes


class Site:
    """Caches, and the processes of one router, which share an address."""

    def __init__(self, tmp_path: Path, caches: list[CacheStandIn]) -> None:
        self.path, self.caches, self.port = tmp_path, caches, free_port()
        (tmp_path / "shared").mkdir()

    @contextlib.asynccontextmanager
    async def process(
        self, log: ChangeLogStandIn | None = None, known: list[CacheStandIn] | None = None
    ) -> AsyncIterator[tuple[RouterProcess, int]]:
        """Start another process at the same address; yield it and the port of its admin API.

        known: the caches of its configuration; None: all.
        """
        admin_port = free_port()
        async with run_platform(
            self.path,
            self.caches if known is None else known,
            log,
            ops_port=admin_port,
            port=self.port,
            TMPDIR=str(self.path / "shared"),
        ) as running:
            while (await call_admin_api(admin_port, "/status"))[0] != 200:
                await trio.sleep(0.01)
            yield running, admin_port


@contextlib.asynccontextmanager
async def open_site(
    tmp_path: Path, answer: Callable[[ReceivedRequest], ScriptedReply] = data_reply
) -> AsyncIterator[Site]:
    async with trio.open_nursery() as nursery:
        caches = [
            await CacheStandIn(name, "origin" if name is ORIGIN else "small", answer=answer).open(nursery)
            for name in (EDGE, OTHER, ORIGIN)
        ]
        yield Site(tmp_path, caches)
        nursery.cancel_scope.cancel()


async def read_status(stream: trio.SocketStream) -> int:
    """Read one response with a short body from a connection; return its status."""
    received = b""
    while b"\r\n\r\n" not in received:
        more = await stream.receive_some(65_536)
        assert more, received
        received += more
    return int(received.split()[1])


@contextlib.asynccontextmanager
async def start_while_in_use(
    retained: trio.SocketStream, process: AbstractAsyncContextManager[tuple[RouterProcess, int]]
) -> AsyncIterator[tuple[RouterProcess, int]]:
    """Start a process while requests keep a connection to another one open."""
    has_started, has_ended = trio.Event(), trio.Event()

    async def send_requests() -> None:
        while not has_started.is_set():
            await retained.send_all(HEALTHY)
            assert await read_status(retained) == 200
            with trio.move_on_after(KEEPALIVE_INTERVAL):
                await has_started.wait()
        has_ended.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_requests)
        async with process as running:
            has_started.set()
            await has_ended.wait()
            yield running


class Load:
    """Clients that send requests without a pause, half of them on persistent connections."""

    def __init__(self, router_process: RouterProcess) -> None:
        self._router_process, self.statuses, self.lost_requests = router_process, [0] * 600, 0
        self.stop = trio.Event()
        self.stopped = trio.Event()

    async def run(self) -> None:
        """Run four clients of each kind until `stop` is set."""
        async with trio.open_nursery() as clients:
            for _ in range(4):
                clients.start_soon(self.use_new_connections)
                clients.start_soon(self.use_persistent_connection)
            await self.stop.wait()
            clients.cancel_scope.cancel()
        self.stopped.set()

    async def use_new_connections(self) -> None:
        """Send each request on a new connection."""
        while True:
            try:
                self.statuses[(await self._router_process.request_object(obj=os.urandom(8).hex()))[0]] += 1
            except (OSError, trio.BrokenResourceError, AssertionError):
                self.lost_requests += 1

    async def use_persistent_connection(self) -> None:
        """Send requests on one connection until the router announces its end, then on another one."""
        while True:
            stream = await trio.open_tcp_stream("127.0.0.1", self._router_process.port)
            received, is_closing = b"", False
            async with stream:
                while not is_closing:
                    await stream.send_all(
                        READ_REQUEST % (os.urandom(8).hex().encode(), os.urandom(8).hex().encode())
                    )
                    received = b""
                    while not received.endswith(b"\r\n\r\nbytes"):
                        more = await stream.receive_some(65_536)
                        if not more:
                            self.lost_requests += 1
                            return
                        received += more
                    is_closing = b"Connection: close" in received
                    self.statuses[int(received.split()[1])] += 1
                await trio.lowlevel.checkpoint()


@with_trio
async def test_no_request_is_lost_in_a_handover(tmp_path: Path) -> None:
    """Three handovers in a row under load: every request gets a response, with status 200."""
    async with (
        open_site(tmp_path) as site,
        trio.open_nursery() as nursery,
        contextlib.AsyncExitStack() as stack,
    ):
        old, _ = await stack.enter_async_context(site.process())
        load = Load(old)
        nursery.start_soon(load.run)
        for _ in range(3):
            new, _ = await stack.enter_async_context(site.process())
            await trio.sleep(0.1)
            old.process.send_signal(signal.SIGTERM)
            assert await old.process.wait() == 0
            old = new
        await new.wait_for_log(b"is alone")
        load.stop.set()
        await load.stopped.wait()
        assert load.lost_requests == 0
        assert load.statuses[200] == sum(load.statuses) > 300


@pytest.mark.parametrize("is_sent_to_old", [True, False])
@with_trio
async def test_maintenance_order_holds_at_both_processes(tmp_path: Path, is_sent_to_old: bool) -> None:
    """An order to either process holds at both and at the next one: none sends the cache a request."""
    async with open_site(tmp_path) as site, site.process() as (old, admin_port):
        retained = await trio.open_tcp_stream("127.0.0.1", site.port)
        async with retained, start_while_in_use(retained, site.process()) as (new, new_admin_port):
            order_port = admin_port if is_sent_to_old else new_admin_port
            assert (await call_admin_api(order_port, f"/maintenance/enter/{EDGE}", "PUT"))[0] == 200
            await retained.send_all(READ_REQUEST % (b"00000000000000aa", b"9b1f03aa5c7e2d41"))
            assert await read_status(retained) == 200  # the old process answered
            for n in range(12):
                assert (await new.request_object(obj=f"{n:016x}"))[0] == 200
            old.process.kill()
            await new.wait_for_log(b"is alone")
            async with site.process() as (last, _):
                for n in range(12):
                    assert (await last.request_object(obj=f"{n:016x}"))[0] == 200
            assert not site.caches[0].received
            assert (await call_admin_api(new_admin_port, f"/maintenance/exit/{EDGE}", "PUT"))[0] == 200
            while not site.caches[0].received:
                await new.request_object(obj=os.urandom(8).hex())


@pytest.mark.parametrize("is_repeated", [True, False])
@with_trio
async def test_order_holds_for_a_cache_that_the_new_process_hears_of_later(
    tmp_path: Path, is_repeated: bool
) -> None:
    """Guards against: an order that one process took was dropped by one that did not list the cache yet."""
    async with open_site(tmp_path) as site, trio.open_nursery() as nursery:
        edge, *listed = site.caches
        edge.model = "type-a"  # a kind that frames of the change log can name
        old_log, new_log = [await ChangeLogStandIn().open(nursery) for _ in range(2)]
        async with (
            site.process(old_log, listed) as (old, old_admin_port),
            site.process(new_log, listed) as (new, new_admin_port),
        ):
            await old_log.send_frame(2, 2, cache_as_record(edge, 0))
            while (await call_admin_api(old_admin_port, f"/maintenance/enter/{EDGE}", "PUT"))[0] != 200:
                await trio.sleep(0.02)
            if is_repeated:  # at the process that does not list the cache
                assert (await call_admin_api(new_admin_port, f"/maintenance/enter/{EDGE}", "PUT"))[0] == 200
            old.process.kill()
            await new.wait_for_log(b"is alone")
            await new_log.send_frame(2, 2, cache_as_record(edge, 0))
            await wait_for_pool_size(new_admin_port, 3)
            before = len(edge.received)
            for n in range(24):
                assert (await new.request_object(obj=f"{n:016x}"))[0] == 200
            assert len(edge.received) == before
            assert (await call_admin_api(new_admin_port, f"/maintenance/exit/{EDGE}", "PUT"))[0] == 200
            while len(edge.received) == before:
                await new.request_object(obj=os.urandom(8).hex())
        nursery.cancel_scope.cancel()


@with_trio
async def test_call_back_at_once_at_the_other_process_undoes_the_order(tmp_path: Path) -> None:
    """Guards against: a process that had not read the other's order yet answered "done" and did nothing."""
    async with (
        open_site(tmp_path) as site,
        site.process() as (_old, old_admin_port),
        site.process() as (new, new_admin_port),
    ):
        for n in range(3):
            assert (await call_admin_api(old_admin_port, f"/maintenance/enter/{EDGE}", "PUT"))[0] == 200
            assert (await call_admin_api(new_admin_port, f"/maintenance/exit/{EDGE}", "PUT"))[0] == 200
            await trio.sleep(0.1 * n)
        for port in (old_admin_port, new_admin_port):
            await trio.sleep(2 * Limits().handover_check_interval)
            assert (await read_metrics(port))["gw_pool_ejected"] == 0
        await new.request_object()


async def wait_for_pool_size(admin_port: int, count: int) -> None:
    """Wait until a process lists so many caches."""
    while (await read_metrics(admin_port))["gw_pool_size"] != count:
        await trio.sleep(0.02)


@with_trio
async def test_submit_runs_at_one_process(tmp_path: Path) -> None:
    """A submit that is sent to both processes, and to the next one after both were killed, runs once."""
    async with open_site(tmp_path) as site, site.process() as (old, _):
        async with (
            await trio.open_tcp_stream("127.0.0.1", site.port) as retained,
            start_while_in_use(retained, site.process()) as (new, _),
        ):
            async with await trio.open_tcp_stream("127.0.0.1", site.port) as other:
                await retained.send_all(SUBMIT)
                await other.send_all(SUBMIT)
                statuses = sorted([await read_status(retained), await read_status(other)])
            old.process.kill()
            await new.wait_for_log(b"is alone")
            new.process.kill()
        async with site.process(), await trio.open_tcp_stream("127.0.0.1", site.port) as next_connection:
            await next_connection.send_all(SUBMIT)
            assert [*statuses, await read_status(next_connection)] == [200, 409, 409]
        assert sum(len(cache.received) for cache in site.caches) == 1


@with_trio
async def test_killed_successor_leaves_clients_to_old_process(tmp_path: Path) -> None:
    """If a successor is killed right after it took over, the old process serves alone; the next can start."""
    async with open_site(tmp_path) as site, site.process() as (old, _):
        for _ in range(2):
            async with site.process() as (new, _):
                await old.wait_for_log(b"is relieved")
                new.process.kill()
                await new.process.wait()
                for n in range(20):
                    assert (await old.request_object(obj=f"{n:016x}"))[0] == 200
            await old.wait_for_log(b"is alone")
            old.log_output.clear()


@pytest.mark.parametrize("leftover", ["folder", "file", "large", "torn", "pipe", "stale"])
@with_trio
async def test_process_starts_whatever_the_folder_contains(tmp_path: Path, leftover: str) -> None:
    """Whatever the folder of the log contains, the process starts, serves clients and accepts orders."""
    async with open_site(tmp_path) as site:
        folder = tmp_path / "shared" / f"brackenlane.127.0.0.1.{site.port}"
        if leftover == "file":
            folder.write_bytes(b"not a folder")
        else:
            folder.mkdir()
        if leftover == "folder":
            (folder / "ledger").mkdir()
        elif leftover == "large":
            (folder / "ledger").write_bytes(os.urandom(8 * 2**20))
        elif leftover == "torn":
            complete_record = encode(MaintenanceEntered(EDGE, 5.0))
            (folder / "ledger").write_bytes(complete_record + encode(MaintenanceEntered(OTHER, 5.0))[:-3])
        elif leftover == "pipe":
            os.mkfifo(folder / "ledger")
        elif leftover == "stale":
            (folder / "life.0badcafe").write_bytes(b"")
            (folder / "ledger").write_bytes(
                encode(ProcessStarted("0badcafe")) + encode(ProcessServing("0badcafe"))
            )
        async with site.process() as (router_process, admin_port):
            for n in range(8):
                assert (await router_process.request_object(obj=f"{n:016x}"))[0] == 200
            assert bool(site.caches[0].received) is (leftover != "torn")  # the complete record is in force
            assert site.caches[1].received
            assert (await call_admin_api(admin_port, f"/maintenance/enter/{OTHER}", "PUT"))[0] == 200
            assert b"relieved" not in router_process.log_output
