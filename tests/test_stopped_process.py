"""Requests that arrive while the router is stopped are forwarded with the client's remaining time only.

Guards against counting such a request as received when it is read: the cache then got the client's full time
limit, which is too long by the duration of the stop.
"""

from __future__ import annotations

import errno
import functools
import math
import signal
import socket
import time
from contextlib import AsyncExitStack, ExitStack
from pathlib import Path

import pytest
import trio

from brackenlane.clock import steady_time
from brackenlane.lab.faults.shim import FaultShim, SystemCall
from brackenlane.limits import Limits
from brackenlane.net.delayed_backlog import DelayedBacklog
from brackenlane.net.poller import MIN_STOP_TIME, Poller
from tests.stand_ins import CacheStandIn, run_platform, with_trio
from tests.test_request_lifecycle import read_request_bytes
from tests.test_system_calls import read_status_line

EDGE, ORIGIN = "s-00000001", "s-00000009"
TTL = 3.0  # time limit that `request` sets, in seconds
STOP_DURATION = 1.5  # seconds
SHORTAGE_DURATION = 0.6  # seconds
BUDGET_SLACK = 0.15  # seconds by which the deadline passed to a server may be late, by the operators' rules


@with_trio
async def test_server_gets_no_more_time_than_the_client_has_after_a_stop(tmp_path: Path) -> None:
    """Requests arrive on a new and on an idle connection just after the process was stopped."""
    async with trio.open_nursery() as nursery:
        edge = await CacheStandIn(EDGE).open(nursery)
        origin = await CacheStandIn(ORIGIN, "origin").open(nursery)
        async with (
            run_platform(tmp_path, [edge, origin]) as router_process,
            await trio.open_tcp_stream("127.0.0.1", router_process.port) as idle,
        ):
            await idle.send_all(read_request_bytes("1" * 16))
            assert await read_status_line(idle) == b"HTTP/1.1 200"
            await trio.sleep(0.3)
            router_process.process.send_signal(signal.SIGSTOP)
            async with await trio.open_tcp_stream("127.0.0.1", router_process.port) as new:
                await new.send_all(read_request_bytes("2" * 16, obj="1" * 16))
                await idle.send_all(read_request_bytes("3" * 16, obj="2" * 16))
                await trio.sleep(STOP_DURATION)
                router_process.process.send_signal(signal.SIGCONT)
                assert await read_status_line(new) == b"HTTP/1.1 200"
                assert await read_status_line(idle) == b"HTTP/1.1 200"
            budgets = {
                received.id: int(received.fields["budget"]) / 1000
                for cache in (edge, origin)
                for received in cache.received
            }
            for digit in "23":
                assert budgets[digit * 16] <= TTL - STOP_DURATION + BUDGET_SLACK
        nursery.cancel_scope.cancel()


@with_trio
async def test_server_gets_no_more_time_than_the_last_client_of_a_backlog_has_after_a_stop(
    tmp_path: Path,
) -> None:
    """Guards against clients dated as new, since those before them in the backlog fill the first round."""
    async with trio.open_nursery() as nursery:
        edge = await CacheStandIn(EDGE).open(nursery)
        origin = await CacheStandIn(ORIGIN, "origin").open(nursery)
        async with run_platform(tmp_path, [edge, origin]) as router_process:
            assert (await router_process.request_object())[0] == 200
            router_process.process.send_signal(signal.SIGSTOP)
            async with AsyncExitStack() as clients:
                for _ in range(2 * Limits().max_accepts):
                    await clients.enter_async_context(
                        await trio.open_tcp_stream("127.0.0.1", router_process.port)
                    )
                last = await clients.enter_async_context(
                    await trio.open_tcp_stream("127.0.0.1", router_process.port)
                )
                await last.send_all(read_request_bytes("2" * 16, obj="1" * 16))
                await trio.sleep(STOP_DURATION)
                router_process.process.send_signal(signal.SIGCONT)
                assert await read_status_line(last) == b"HTTP/1.1 200"
            [received] = [one for cache in (edge, origin) for one in cache.received if one.id == "2" * 16]
            assert int(received.fields["budget"]) / 1000 <= TTL - STOP_DURATION + BUDGET_SLACK
        nursery.cancel_scope.cancel()


def test_data_of_later_batches_after_a_stop_is_dated_before_it() -> None:
    """Guards against data dated as new, since sockets before it fill the first batch after a stop."""
    poller = Poller(batch=1)
    arrivals: list[float] = []

    def read_and_date(sock: socket.socket, _: int) -> None:
        sock.recv(1)
        arrivals.append(poller.earliest_arrival)

    pairs = [socket.socketpair() for _ in range(3)]
    for near, far in pairs:
        far.send(b"x")
        poller.add(near.fileno(), functools.partial(read_and_date, near))

    before = steady_time()
    time.sleep(2 * MIN_STOP_TIME)
    while poller.run_round():
        pass
    assert len(arrivals) == len(pairs)
    assert all(arrival <= before for arrival in arrivals)
    poller.run_round()
    assert poller.earliest_arrival > before
    for pair in pairs:
        for sock in pair:
            sock.close()


@pytest.mark.parametrize("call", [SystemCall.ACCEPT, SystemCall.EPOLL_CTL])
@with_trio
async def test_server_gets_no_more_time_than_the_client_has_after_a_shortage(
    tmp_path: Path, call: SystemCall
) -> None:
    """A client connects and sends a request while accept(2) fails or epoll_ctl(2) fails for its socket."""
    shim = FaultShim(tmp_path)
    async with trio.open_nursery() as nursery:
        edge = await CacheStandIn(EDGE).open(nursery)
        origin = await CacheStandIn(ORIGIN, "origin").open(nursery)
        async with run_platform(tmp_path, [edge, origin], env=shim.environment) as router_process:
            assert (await router_process.request_object())[0] == 200
            shim.fail(call, 1.0, [errno.ENFILE if call is SystemCall.ACCEPT else errno.ENOSPC])
            async with await trio.open_tcp_stream("127.0.0.1", router_process.port) as client:
                await client.send_all(read_request_bytes("2" * 16))
                await trio.sleep(SHORTAGE_DURATION)
                shim.recover()
                assert await read_status_line(client) == b"HTTP/1.1 200"
            [received] = [one for cache in (edge, origin) for one in cache.received if one.id == "2" * 16]
            assert int(received.fields["budget"]) / 1000 <= TTL - SHORTAGE_DURATION + BUDGET_SLACK
        nursery.cancel_scope.cancel()


def test_only_clients_that_waited_are_dated_before_the_stop() -> None:
    """Guards against later clients dated as old, and those of one stop dated by another."""
    with socket.create_server(("127.0.0.1", 0)) as listening, ExitStack() as clients:
        delayed = DelayedBacklog()

        def connect(count: int) -> None:
            for _ in range(count):
                clients.enter_context(socket.create_connection(listening.getsockname()))

        connect(2)
        delayed.add_waiting(listening, 5.0)
        connect(1)
        delayed.add_waiting(listening, 7.0)
        connect(1)
        assert [delayed.take_next() for _ in range(4)] == [5.0, 5.0, 7.0, math.inf]
