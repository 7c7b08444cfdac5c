"""The process replaced in service: two real processes at one address, and what is thrown at them."""

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
    Program,
    ReceivedRequest,
    ScriptedReply,
    data,
    free_port,
    platform,
    with_trio,
)
from tests.test_admin_api import call

EDGE, OTHER, ORIGIN = "s-00000001", "s-00000002", "s-00000009"
READ = (
    b"GET /api/v2/video-parts/%b/n-0 HTTP/1.1\r\nHost: o\r\nX-Txn: %b\r\nX-Ttl-Ms: 2000\r\nX-Shard: 1\r\n\r\n"
)
HEALTHY = b"GET /-/healthy HTTP/1.1\r\nHost: o\r\n\r\n"
USED_EVERY = 0.5  # seconds; a connection that rests is closed after some
SUBMIT = (
    b"PUT /api/v2/sheet-submit/00000000000000aa/n-0 HTTP/1.1\r\nHost: o\r\nX-Txn: 9b1f03aa5c7e2d41\r\n"
    b"X-Ttl-Ms: 2000\r\nX-Shard: 1\r\nContent-Length: 6\r\n\r\nsigned"
)


# Records, index, states: pure

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


def folded(data: bytes, step: int) -> HandoverIndex:
    """The index of what was read in pieces."""
    index = HandoverIndex(100)
    reader = RecordReader(256)
    for n in range(0, len(data), step):
        for record in reader.feed(data[n : n + step]):
            index.apply(record)
    return index


@settings(derandomize=True, deadline=None)
@given(RECORDS, st.integers(1, 40))
def test_summary_adds_up_to_the_same_state(records: list[HandoverRecord], step: int) -> None:
    """Cut at any byte, and rewritten in fewest words, the log says the same."""
    index = folded(b"".join(map(encode, records)), step)
    again = folded(b"".join(map(encode, index.summary())), step)
    assert (index.is_serving, index.out_of_service, index.claims) == (
        again.is_serving,
        again.out_of_service,
        again.claims,
    )


@settings(derandomize=True, deadline=None)
@given(RECORDS, RECORDS, st.binary(max_size=60), st.integers(0, 400))
def test_torn_record_damages_no_other(
    before: list[HandoverRecord], after: list[HandoverRecord], junk: bytes, cut: int
) -> None:
    """A record cut by a crash, or bytes that are none of ours, hide no record before or after them."""
    torn = encode(MaintenanceEntered("s-9", 1.0))[: -2 - cut % 10]
    text = b"".join(map(encode, before)) + torn + junk.replace(b"\n", b"") + b"".join(map(encode, after))
    complete = HandoverIndex(100)
    for record in (*before, *after):
        complete.apply(record)
    found = folded(text, 7)
    assert (found.is_serving, found.out_of_service, found.claims) == (
        complete.is_serving,
        complete.out_of_service,
        complete.claims,
    )


@pytest.mark.parametrize(
    ("serving", "alive", "found"),
    [
        ({"me": True}, set(), HandoverState.ALONE),
        ({"old": True, "me": False}, {"old"}, HandoverState.TAKING_OVER),
        ({"old": True, "me": True}, set(), HandoverState.ALONE),
        ({"me": True, "new": False}, {"new"}, HandoverState.EXPECTING),
        ({"me": True, "new": True}, {"new"}, HandoverState.RELIEVED),
        ({"me": True, "new": True}, set(), HandoverState.ALONE),  # it has died
        ({"old": True, "me": True, "new": True}, {"old", "new"}, HandoverState.RELIEVED),
    ],
)
def test_handover_state_follows_from_live_processes(
    serving: dict[str, bool], alive: set[str], found: HandoverState
) -> None:
    assert handover_state("me", serving, alive) is found


def test_first_claim_wins(tmp_path: Path) -> None:
    """Of two that claim one submit, the order of the file decides, and both know."""
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
    """Past its bound it takes no claim, but orders; alone, it is rewritten and takes claims again."""
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
    assert (tmp_path / "x" / "ledger").stat().st_size > 3_900  # not while another lives
    new.close()
    old.compact()
    assert (tmp_path / "x" / "ledger").stat().st_size < 500
    old.append(SubmitClaimed("t", old.process_id))
    later = HandoverLog(tmp_path / "x", limits)
    assert later.index.out_of_service == {"s-1": 5.0}
    assert len(later.index.claims) == 5


def test_deleted_log_is_written_again(tmp_path: Path) -> None:
    """Whoever empties the folder loses no order that a living process knows."""
    old = HandoverLog(tmp_path / "x", Limits())
    old.append(MaintenanceEntered("s-1", 5.0))
    (tmp_path / "x" / "ledger").unlink()
    old.compact()
    assert HandoverLog(tmp_path / "x", Limits()).index.out_of_service == {"s-1": 5.0}


# Two real processes


class Site:
    """Boxes, and processes of one router one after another."""

    def __init__(self, tmp_path: Path, caches: list[CacheStandIn]) -> None:
        self.path, self.boxes, self.port = tmp_path, caches, free_port()
        (tmp_path / "shared").mkdir()

    @contextlib.asynccontextmanager
    async def process(self) -> AsyncIterator[tuple[Program, int]]:
        """One more process at the same address: it, and its operators' port."""
        ops = free_port()
        async with platform(
            self.path, self.boxes, ops=ops, port=self.port, TMPDIR=str(self.path / "shared")
        ) as running:
            while (await call(ops, "/status"))[0] != 200:
                await trio.sleep(0.01)
            yield running, ops


@contextlib.asynccontextmanager
async def site(
    tmp_path: Path, answer: Callable[[ReceivedRequest], ScriptedReply] = data
) -> AsyncIterator[Site]:
    async with trio.open_nursery() as nursery:
        caches = [
            await CacheStandIn(name, "origin" if name is ORIGIN else "small", answer=answer).open(nursery)
            for name in (EDGE, OTHER, ORIGIN)
        ]
        yield Site(tmp_path, caches)
        nursery.cancel_scope.cancel()


async def read_answer(stream: trio.SocketStream) -> int:
    """The status of one answer with a short body on a connection."""
    got = b""
    while b"\r\n\r\n" not in got:
        more = await stream.receive_some(65_536)
        assert more, got
        got += more
    return int(got.split()[1])


@contextlib.asynccontextmanager
async def used_meanwhile(
    retained: trio.SocketStream, process: AbstractAsyncContextManager[tuple[Program, int]]
) -> AsyncIterator[tuple[Program, int]]:
    """A process that starts while a connection to another is used, so that it is not closed as idle."""
    started, rests = trio.Event(), trio.Event()

    async def use() -> None:
        while not started.is_set():
            await retained.send_all(HEALTHY)
            assert await read_answer(retained) == 200
            with trio.move_on_after(USED_EVERY):
                await started.wait()
        rests.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(use)
        async with process as running:
            started.set()
            await rests.wait()
            yield running


class Load:
    """Clients that ask on without a pause, half of them on kept connections."""

    def __init__(self, router_process: Program) -> None:
        self._router_process, self.statuses, self.lost = router_process, [0] * 600, 0
        self.stop = trio.Event()
        self.stopped = trio.Event()

    async def run(self) -> None:
        """Four of each kind, until they are told to stop."""
        async with trio.open_nursery() as clients:
            for _ in range(4):
                clients.start_soon(self.fresh)
                clients.start_soon(self.kept)
            await self.stop.wait()
            clients.cancel_scope.cancel()
        self.stopped.set()

    async def fresh(self) -> None:
        """A connection for each request."""
        while True:
            try:
                self.statuses[(await self._router_process.ask(obj=os.urandom(8).hex()))[0]] += 1
            except (OSError, trio.BrokenResourceError, AssertionError):
                self.lost += 1

    async def kept(self) -> None:
        """One connection until the router says that it closes it."""
        while True:
            stream = await trio.open_tcp_stream("127.0.0.1", self._router_process.port)
            got, closes = b"", False
            async with stream:
                while not closes:
                    await stream.send_all(READ % (os.urandom(8).hex().encode(), os.urandom(8).hex().encode()))
                    got = b""
                    while not got.endswith(b"\r\n\r\nbytes"):
                        more = await stream.receive_some(65_536)
                        if not more:
                            self.lost += 1
                            return
                        got += more
                    closes = b"Connection: close" in got
                    self.statuses[int(got.split()[1])] += 1
                await trio.lowlevel.checkpoint()


@with_trio
async def test_no_request_is_lost_in_a_handover(tmp_path: Path) -> None:
    """Under load three processes take over one from another; every request is answered 200."""
    async with site(tmp_path) as here, trio.open_nursery() as nursery, contextlib.AsyncExitStack() as stack:
        old, _ = await stack.enter_async_context(here.process())
        load = Load(old)
        nursery.start_soon(load.run)
        for _ in range(3):
            new, _ = await stack.enter_async_context(here.process())
            await trio.sleep(0.1)
            old.process.send_signal(signal.SIGTERM)
            assert await old.process.wait() == 0
            old = new
        await new.says(b"is alone")
        load.stop.set()
        await load.stopped.wait()
        assert load.lost == 0
        assert load.statuses[200] == sum(load.statuses) > 300


@pytest.mark.parametrize("first", [True, False])
@with_trio
async def test_maintenance_order_holds_at_both_processes(tmp_path: Path, first: bool) -> None:
    """Taken out at either process: nothing more goes to it from the other, nor from the next."""
    async with site(tmp_path) as here, here.process() as (old, ops):
        retained = await trio.open_tcp_stream("127.0.0.1", here.port)
        async with retained, used_meanwhile(retained, here.process()) as (new, new_ops):
            requested = ops if first else new_ops
            assert (await call(requested, f"/maintenance/enter/{EDGE}", "PUT"))[0] == 200
            await retained.send_all(READ % (b"00000000000000aa", b"9b1f03aa5c7e2d41"))
            assert await read_answer(retained) == 200  # by the old process
            for n in range(12):
                assert (await new.ask(obj=f"{n:016x}"))[0] == 200
            old.process.kill()
            await new.says(b"is alone")
            async with here.process() as (last, _):
                for n in range(12):
                    assert (await last.ask(obj=f"{n:016x}"))[0] == 200
            assert not here.boxes[0].received
            assert (await call(new_ops, f"/maintenance/exit/{EDGE}", "PUT"))[0] == 200
            while not here.boxes[0].received:
                await new.ask(obj=os.urandom(8).hex())


@with_trio
async def test_submit_runs_at_one_process(tmp_path: Path) -> None:
    """The same submit to both processes, and to the next after a kill, runs once."""
    async with site(tmp_path) as here, here.process() as (old, _):
        async with (
            await trio.open_tcp_stream("127.0.0.1", here.port) as retained,
            used_meanwhile(retained, here.process()) as (new, _),
        ):
            async with await trio.open_tcp_stream("127.0.0.1", here.port) as other:
                await retained.send_all(SUBMIT)
                await other.send_all(SUBMIT)
                found = sorted([await read_answer(retained), await read_answer(other)])
            old.process.kill()
            await new.says(b"is alone")
            new.process.kill()
        async with here.process(), await trio.open_tcp_stream("127.0.0.1", here.port) as again:
            await again.send_all(SUBMIT)
            assert [*found, await read_answer(again)] == [200, 409, 409]
        assert sum(len(cache.received) for cache in here.boxes) == 1


@with_trio
async def test_killed_successor_leaves_clients_to_old_process(tmp_path: Path) -> None:
    """Killed right after it took over, it leaves the old one with all of it, and the next start goes well."""
    async with site(tmp_path) as here, here.process() as (old, _):
        for _ in range(2):
            async with here.process() as (new, _):
                await old.says(b"is relieved")
                new.process.kill()
                await new.process.wait()
                for n in range(20):
                    assert (await old.ask(obj=f"{n:016x}"))[0] == 200
            await old.says(b"is alone")
            old.said.clear()


@pytest.mark.parametrize("left", ["folder", "file", "large", "torn", "pipe", "stale"])
@with_trio
async def test_process_starts_whatever_the_folder_contains(tmp_path: Path, left: str) -> None:
    """Whatever lies in the folder, the process starts, serves, and takes orders."""
    async with site(tmp_path) as here:
        folder = tmp_path / "shared" / f"brackenlane.127.0.0.1.{here.port}"
        if left == "file":
            folder.write_bytes(b"not a folder")
        else:
            folder.mkdir()
        if left == "folder":
            (folder / "ledger").mkdir()
        elif left == "large":
            (folder / "ledger").write_bytes(os.urandom(8 * 2**20))
        elif left == "torn":
            retained = encode(MaintenanceEntered(EDGE, 5.0))
            (folder / "ledger").write_bytes(retained + encode(MaintenanceEntered(OTHER, 5.0))[:-3])
        elif left == "pipe":
            os.mkfifo(folder / "ledger")
        elif left == "stale":
            (folder / "life.0badcafe").write_bytes(b"")
            (folder / "ledger").write_bytes(
                encode(ProcessStarted("0badcafe")) + encode(ProcessServing("0badcafe"))
            )
        async with here.process() as (router_process, ops):
            for n in range(8):
                assert (await router_process.ask(obj=f"{n:016x}"))[0] == 200
            assert bool(here.boxes[0].received) is (left != "torn")  # what was whole is in force
            assert here.boxes[1].received
            assert (await call(ops, f"/maintenance/enter/{OTHER}", "PUT"))[0] == 200
            assert b"relieved" not in router_process.said
