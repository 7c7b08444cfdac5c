"""The poller: both ways of waiting, registration errors, and the flat epoll of the platform's router."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import signal
import socket
import time
from functools import partial
from pathlib import Path
from typing import Any, cast

import pytest
import trio

from brackenlane.lifecycle import SignalWatcher
from brackenlane.net.poller import Poller
from tests.stand_ins import CacheStandIn, data_reply, run_platform, with_trio


def read_descriptor_target(descriptor: Path) -> str:
    """Return the target of an entry of /proc/PID/fd (proc(5)); empty if it was closed since it was listed."""
    try:
        return os.readlink(descriptor)
    except FileNotFoundError:
        return ""


def find_nested_epolls(pid: int) -> list[tuple[str, str]]:
    """Return the pairs (outer, inner) of epolls of a process in which one polls the other.

    The process opens and closes sockets meanwhile, but its epolls stay open for as long as it runs.
    """
    descriptors = Path(f"/proc/{pid}/fd")
    epolls = {
        fd.name for fd in descriptors.iterdir() if read_descriptor_target(fd) == "anon_inode:[eventpoll]"
    }
    lines = [
        (fd, line.split()[1])
        for fd in epolls
        for line in Path(f"/proc/{pid}/fdinfo/{fd}").read_text().splitlines()
        if line.startswith("tfd:")
    ]
    assert lines, "no epoll with a socket in it was found"
    return [(outer, inner) for outer, inner in lines if inner in epolls]


@with_trio
async def test_router_has_no_nested_epolls(tmp_path: Path) -> None:
    """On platforms that do not report readiness of nested epolls, the router would never see a client."""
    async with trio.open_nursery() as nursery:
        caches = [
            await cache.open(nursery)
            for cache in (CacheStandIn("s-00000001"), CacheStandIn("s-00000009", "origin"))
        ]
        async with run_platform(tmp_path, caches) as router_process:
            assert (await router_process.request_object())[0] == 200
            assert find_nested_epolls(router_process.process.pid) == []
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("alone", [True, False])
@with_trio
async def test_wakes_for_sockets_tasks_and_signals(alone: bool) -> None:
    """A poller that blocks by itself must still wake for due trio tasks and for signals."""
    poller = Poller(16, alone)
    ours, theirs = socket.socketpair()
    handled: list[bytes] = []
    poller.add(ours.fileno(), lambda _: handled.append(ours.recv(9)))
    with SignalWatcher(poller, signal.SIGUSR1) as reported, trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(poller.run)
            start = time.monotonic()
            await trio.sleep(0.05)  # no socket is ready, so only the deadline of this task can end the wait
            assert time.monotonic() - start < 10
            theirs.send(b"bytes")
            while not handled:
                await trio.sleep(0.01)
            os.kill(os.getpid(), signal.SIGUSR1)
            await reported.next()
            nursery.cancel_scope.cancel()
    assert handled == [b"bytes"]
    ours.close()
    theirs.close()


def test_events_of_a_closed_socket_do_not_reach_its_successor() -> None:
    """A pending event of a closed socket must not reach a new socket that reuses its descriptor.

    A connect that reused the descriptor of a client's closed socket was reported as established.
    """
    poller = Poller(16)
    pairs = [socket.socketpair() for _ in range(2)]
    reported: list[str] = []
    new_sockets: list[socket.socket] = []

    def close_other_socket(index: int) -> None:
        reported.append("old")
        other = pairs[1 - index][0]
        number = other.fileno()
        poller.remove(number)
        other.close()
        new_sockets.append(socket.socket())  # gets the lowest free descriptor: that of the closed socket
        assert new_sockets[0].fileno() == number
        poller.add(number, lambda _: reported.append("new"))

    for index, (ours, theirs) in enumerate(pairs):
        poller.add(ours.fileno(), partial(lambda index, _: close_other_socket(index), index))
        theirs.send(b"!")
    poller.run_round()
    assert reported[:1] == ["old"]
    assert reported.count("old") == 1
    assert "new" not in reported
    for sock in (*new_sockets, *(sock for pair in pairs for sock in pair)):
        sock.close()


@pytest.mark.parametrize(
    ("second_signal", "status", "exit_code"),
    [(signal.SIGTERM, b"HTTP/1.1 200", 0), (signal.SIGINT, b"", 130)],
)
@with_trio
async def test_second_sigterm_cuts_off_no_answer_and_ctrl_c_ends_the_shutdown(
    tmp_path: Path, second_signal: signal.Signals, status: bytes, exit_code: int
) -> None:
    """Repeated SIGTERMs cut off no answers to accepted requests; a second Ctrl-C ends the process at once."""
    async with trio.open_nursery() as nursery:
        origin = await CacheStandIn("s-00000009", "origin").open(nursery)
        slow = await CacheStandIn("s-00000001", answer=lambda requested: None).open(nursery)
        async with run_platform(tmp_path, [slow, origin]) as router_process:
            async with await trio.open_tcp_stream("127.0.0.1", router_process.port) as client:
                await client.send_all(
                    b"GET /api/v2/video-parts/7f3a9c21e0b4d655/n-3 HTTP/1.1\r\nHost: a\r\n"
                    b"X-Txn: 9b1f03aa5c7e2d41\r\nX-Ttl-Ms: 30000\r\nX-Shard: 1\r\n\r\n"
                )
                await slow.wait_until(lambda: bool(slow.received))
                for number in (signal.SIGTERM, second_signal, second_signal):
                    router_process.process.send_signal(number)
                    await trio.sleep(0.2)
                if second_signal is signal.SIGTERM:
                    await slow.send_raw(slow.received[0].connection, data_reply(slow.received[0]))
                received = b""
                with contextlib.suppress(trio.BrokenResourceError):
                    received = await client.receive_some(12)
                assert bytes(received) == status
            assert await router_process.process.wait() == exit_code
        nursery.cancel_scope.cancel()


@with_trio
async def test_failed_change_of_events_is_retried_in_the_next_round() -> None:
    """If epoll_ctl(2) fails once for lack of memory, the change of events is applied in the next round.

    A listener whose polling is to be resumed would otherwise never accept again.
    """
    poller = Poller(16)
    near, far = socket.socketpair()
    handled: list[int] = []

    class FailsOnce:
        """An epoll whose first `modify` fails."""

        def __init__(self) -> None:
            self.changes = 0

        def modify(self, fd: int, events: int) -> None:
            """Fail on the first call."""
            self.changes += 1
            if self.changes == 1:
                raise OSError(errno.ENOMEM, "Cannot allocate memory")
            real.modify(fd, events)

        def __getattr__(self, name: str) -> Any:
            return getattr(real, name)

    with near, far:
        poller.add(near.fileno(), handled.append, 0)
        real = poller._all
        poller._all = cast("select.epoll", FailsOnce())
        far.send(b"!")
        poller.set_events(near.fileno(), select.EPOLLIN)
        poller.run_round()
        assert handled
        poller.remove(near.fileno())


@with_trio
async def test_failed_registration_leaves_no_socket_in_the_other_epoll() -> None:
    """If the second epoll cannot register a socket, the first one drops it and is not woken by it."""

    class RejectsAll:
        """An epoll that cannot register any more sockets."""

        def register(self, fd: int, events: int) -> None:
            """Fail as epoll_ctl(2) does at the limit of watches."""
            raise OSError(errno.ENOSPC, "No space left on device")

    poller = Poller(16)
    near, far = socket.socketpair()
    with near, far:
        poller._urgent = cast("select.epoll", RejectsAll())
        with pytest.raises(OSError, match="No space"):
            poller.add(near.fileno(), lambda _: None, urgent=True)
        far.send(b"!")
        assert poller._all.poll(0) == []
