"""Signals that arrive while the process ends."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest
import trio

from tests.stand_ins import run_platform, with_trio
from tests.test_request_lifecycle import EDGE, ORIGIN, read_request_bytes, start_caches

SIGNAL_INTERVAL = 0.005  # seconds


@pytest.mark.parametrize(
    ("first", "further", "exit_code"),
    [
        (signal.SIGINT, signal.SIGINT, 130),
        (signal.SIGINT, signal.SIGTERM, 130),
        (signal.SIGINT, signal.SIGHUP, 130),
        (signal.SIGTERM, signal.SIGTERM, 0),
        (signal.SIGTERM, signal.SIGHUP, 0),
    ],
)
@with_trio
async def test_signals_while_the_process_ends_do_not_change_its_exit_code(
    tmp_path: Path, first: signal.Signals, further: signal.Signals, exit_code: int
) -> None:
    """After SIGINT the process ends at once, after SIGTERM when its last answer is sent."""
    async with trio.open_nursery() as nursery:
        caches = await start_caches(nursery, EDGE, ORIGIN, answer=lambda _: None)
        async with run_platform(tmp_path, caches) as router:
            async with await trio.open_tcp_stream("127.0.0.1", router.port) as client:
                await client.send_all(read_request_bytes("1" * 16).replace(b"3000", b"900"))
                await caches[0].wait_until(lambda: any(cache.received for cache in caches))
                router.process.send_signal(signal.SIGTERM)
                await trio.sleep(0.2)
                if first is signal.SIGINT:
                    router.process.send_signal(signal.SIGINT)
                while router.process.poll() is None:
                    router.process.send_signal(further)
                    await trio.sleep(SIGNAL_INTERVAL)
            assert await router.process.wait() == exit_code
        nursery.cancel_scope.cancel()
