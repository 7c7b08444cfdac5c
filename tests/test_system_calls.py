"""Accepted requests are answered, and stored claims hold, while system calls and storage of the router fail.

A library that is preloaded into the router fails its system calls with the errors that Linux documents.
"""

from __future__ import annotations

import errno
import os
import signal
import socket
from pathlib import Path
from typing import Any

import pytest
import trio

from brackenlane.lab.faults.shim import FaultShim, SystemCall
from brackenlane.limits import Limits
from brackenlane.ops.handover_log import HandoverLog, HandoverLogError
from brackenlane.ops.handover_records import SubmitClaimed
from tests.stand_ins import CacheStandIn, RouterProcess, free_port, run_platform, with_trio
from tests.test_request_lifecycle import read_request_bytes

EDGE, ORIGIN = "s-00000001", "s-00000009"
ACCEPT_SHORTAGES = [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM]
WATCH_SHORTAGES = [errno.ENOSPC, errno.ENOMEM]  # errors of EPOLL_CTL_ADD
STORAGE_ERRORS = [errno.ENOSPC, errno.EIO]
FAILURE_SHARES = [0.3, 0.15]  # shares of calls that fail: of reads and writes, of other calls
SHORTAGE_DURATION = 0.5  # seconds


async def open_caches(nursery: trio.Nursery) -> list[CacheStandIn]:
    """Open an edge cache and the origin."""
    return [await CacheStandIn(*name).open(nursery) for name in ((EDGE,), (ORIGIN, "origin"))]


async def read_status_line(stream: trio.SocketStream) -> bytes:
    """Return the start of one answer up to the status code, or what was received before the end."""
    received = b""
    while b"\r\n\r\n" not in received and (more := await stream.receive_some(4096)):
        received += more
    return received[:12]


@pytest.mark.parametrize("call", [SystemCall.ACCEPT, SystemCall.EPOLL_CTL])
@with_trio
async def test_client_in_the_backlog_is_answered_though_the_system_runs_short_at_shutdown(
    tmp_path: Path, call: SystemCall
) -> None:
    """A client that connects before the listener closes is answered if accept(2) or epoll_ctl(2) fails."""
    shim = FaultShim(tmp_path)
    async with trio.open_nursery() as nursery:
        caches = await open_caches(nursery)
        async with run_platform(tmp_path, caches, env=shim.environment) as router_process:
            assert (await router_process.request_object())[0] == 200
            router_process.process.send_signal(signal.SIGTERM)
            await trio.sleep(Limits().shutdown_accept_time - 0.2)
            shim.fail(call, 1.0, ACCEPT_SHORTAGES if call is SystemCall.ACCEPT else WATCH_SHORTAGES)
            async with await trio.open_tcp_stream("127.0.0.1", router_process.port) as client:
                await client.send_all(read_request_bytes("1" * 16))
                await trio.sleep(0.2 + SHORTAGE_DURATION)
                shim.recover()
                assert await read_status_line(client) == b"HTTP/1.1 200"
            assert shim.count(call) > 0
            assert await router_process.process.wait() == 0
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("call", [SystemCall.ACCEPT, SystemCall.EPOLL_CTL])
@with_trio
async def test_admin_api_and_clients_are_served_after_a_shortage(tmp_path: Path, call: SystemCall) -> None:
    """After a shortage while clients connect, the listeners still accept and requests are answered."""
    shim = FaultShim(tmp_path)
    async with trio.open_nursery() as nursery:
        caches = await open_caches(nursery)
        ops = free_port()
        async with run_platform(
            tmp_path, caches, ops_port=ops, env=shim.environment, TMPDIR=str(tmp_path)
        ) as router_process:
            assert (await router_process.request_object())[0] == 200
            shim.fail(call, 1.0, ACCEPT_SHORTAGES if call is SystemCall.ACCEPT else WATCH_SHORTAGES)
            async with (
                await trio.open_tcp_stream("127.0.0.1", ops) as admin,
                await trio.open_tcp_stream("127.0.0.1", router_process.port) as client,
            ):
                await admin.send_all(b"GET /status HTTP/1.1\r\nHost: ops\r\n\r\n")
                await client.send_all(read_request_bytes("2" * 16))
                before = processor_time(router_process)
                await trio.sleep(SHORTAGE_DURATION)
                assert processor_time(router_process) - before < SHORTAGE_DURATION / 2  # no busy loop
                shim.recover()
                assert await read_status_line(client) == b"HTTP/1.1 200"
                if call is SystemCall.ACCEPT:
                    assert await read_status_line(admin) == b"HTTP/1.1 200"
            async with await trio.open_tcp_stream("127.0.0.1", ops) as admin:
                await admin.send_all(b"GET /status/metrics HTTP/1.1\r\nHost: ops\r\n\r\n")
                assert await read_status_line(admin) == b"HTTP/1.1 200"
        nursery.cancel_scope.cancel()


def processor_time(router_process: RouterProcess) -> float:
    """Return the CPU seconds used by the process so far (proc(5), utime and stime)."""
    fields = Path(f"/proc/{router_process.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@pytest.mark.parametrize("seed", [1, 2])
@with_trio
async def test_requests_are_answered_while_many_calls_fail(tmp_path: Path, seed: int) -> None:
    """All requests are answered in time while many calls fail and reads and writes are partial."""
    shim = FaultShim(tmp_path, seed)
    async with trio.open_nursery() as nursery:
        caches = await open_caches(nursery)
        statuses: list[int] = []
        async with run_platform(tmp_path, caches, env=shim.environment) as router_process:
            shim.fail(SystemCall.ACCEPT, FAILURE_SHARES[1], [errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS])
            shim.fail(SystemCall.SOCKET, FAILURE_SHARES[1], [errno.ENFILE, errno.ENOBUFS])
            shim.fail(
                SystemCall.CONNECT, FAILURE_SHARES[1], [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS]
            )
            shim.fail(SystemCall.RECV, FAILURE_SHARES[0])
            shim.fail(SystemCall.SEND, FAILURE_SHARES[0])
            shim.fail(SystemCall.EPOLL_WAIT, FAILURE_SHARES[1], [errno.EINTR])
            shim.fail(SystemCall.EPOLL_CTL, 0.05, WATCH_SHORTAGES)

            async def ask() -> None:
                started_at = trio.current_time()
                status = (await router_process.request_object(obj=os.urandom(8).hex(), ttl=1500))[0]
                assert trio.current_time() - started_at < 1.65
                statuses.append(status)

            async with trio.open_nursery() as clients:
                for _ in range(100):
                    clients.start_soon(ask)
                    await trio.sleep(0.01)
            assert len(statuses) == 100
            assert set(statuses) <= {200, 503}
            assert statuses.count(200) >= 80
            shim.recover()
            router_process.process.send_signal(signal.SIGTERM)
            assert await router_process.process.wait() == 0
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("errors", [STORAGE_ERRORS, [0]])  # 0: each write is partial
@with_trio
async def test_submit_whose_claim_cannot_be_stored_never_runs(tmp_path: Path, errors: list[int]) -> None:
    """While claims cannot be stored, submits are rejected without running; retried later, each runs once."""
    shim = FaultShim(tmp_path)
    async with trio.open_nursery() as nursery:
        caches = await open_caches(nursery)
        async with run_platform(
            tmp_path, caches, ops_port=free_port(), env=shim.environment, TMPDIR=str(tmp_path)
        ) as router_process:
            assert (await router_process.request_object("sheet-submit", body=b"signed", txn="1" * 16))[
                0
            ] == 200
            shim.fail(SystemCall.WRITE, 1.0, errors)
            for digit in "234":
                assert (await router_process.request_object("sheet-submit", body=b"signed", txn=digit * 16))[
                    0
                ] == 503
            assert (await router_process.request_object())[0] == 200  # reads need no claim
            shim.recover()
            for digit in "234":
                assert (await router_process.request_object("sheet-submit", body=b"signed", txn=digit * 16))[
                    0
                ] == 200
            assert (await router_process.request_object("sheet-submit", body=b"signed", txn="1" * 16))[
                0
            ] == 409
        submits = [digit * 16 for digit in "1234"]
        runs = [received.id for cache in caches for received in cache.received if received.id in submits]
        assert sorted(runs) == submits
        async with run_platform(
            tmp_path, caches, ops_port=free_port(), port=router_process.port, TMPDIR=str(tmp_path)
        ) as successor:
            for digit in "1234":  # the next process finds all stored claims, also those after torn records
                assert (await successor.request_object("sheet-submit", body=b"signed", txn=digit * 16))[
                    0
                ] == 409
        nursery.cancel_scope.cancel()


def test_claims_before_a_torn_record_are_kept_whatever_was_written_of_it(tmp_path: Path) -> None:
    """If a killed process wrote only a part of its last record, the next one finds all earlier claims."""
    log = HandoverLog(tmp_path / "log", Limits())
    for number in range(3):
        log.append(SubmitClaimed(f"{number:016x}", log.process_id))
    complete = (tmp_path / "log" / "ledger").read_bytes()
    log.append(SubmitClaimed(f"{3:016x}", log.process_id))
    with_last_record = (tmp_path / "log" / "ledger").read_bytes()
    log.close()
    for cut in range(len(complete), len(with_last_record) + 1):
        (tmp_path / "log" / "ledger").write_bytes(with_last_record[:cut])
        successor = HandoverLog(tmp_path / "log", Limits())
        assert {f"{number:016x}" for number in range(3)} <= set(successor.index.claims)
        successor.close()


@pytest.mark.parametrize("failing", ["open", "write", "replace"])
def test_log_that_cannot_be_rewritten_stays_in_use(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, failing: str
) -> None:
    """After a failed compaction the log keeps its descriptor, and other processes see later claims."""
    limits = Limits(handover_log_compaction_size=0)
    log = HandoverLog(tmp_path / "log", limits)
    log.append(SubmitClaimed("1" * 16, log.process_id))

    real = getattr(os, failing)

    def fail(target: Any, *more: Any, **named: Any) -> Any:
        if failing == "open" and "ledger" not in str(target):  # opening the lock files still succeeds
            return real(target, *more, **named)
        raise OSError(errno.EIO, "Input/output error")

    with monkeypatch.context() as broken:
        broken.setattr(os, failing, fail)
        log.compact()
    with socket.socket(), socket.socket():  # these would reuse a closed descriptor
        log.append(SubmitClaimed("2" * 16, log.process_id))
        other = HandoverLog(tmp_path / "log", limits)
        assert {"1" * 16, "2" * 16} <= set(other.index.claims)
        other.close()
    log.close()


def test_claim_after_a_failed_write_is_not_promised(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    log = HandoverLog(tmp_path / "log", Limits())
    with monkeypatch.context() as broken:
        broken.setattr(os, "write", lambda *_: 3)
        with pytest.raises(HandoverLogError):
            log.append(SubmitClaimed("1" * 16, log.process_id))
    assert log.write_failures == 1
    assert "1" * 16 not in log.index.claims
    log.close()
