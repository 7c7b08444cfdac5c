"""Clients that have left, though much that they sent is unread: nothing of theirs is sent on."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import struct
from enum import Enum
from pathlib import Path

import pytest
import trio

from tests.stand_ins import CacheStandIn, run_platform, with_trio
from tests.test_request_lifecycle import EDGE, ORIGIN, start_caches

CLIENTS = 12


def write_request(request_id: str) -> bytes:
    return (
        f"PUT /api/v2/sheet-submit/7f3a9c21e0b4d655/n-0 HTTP/1.1\r\nHost: a\r\nX-Txn: {request_id}\r\n"
        "X-Ttl-Ms: 2500\r\nX-Shard: 17\r\nContent-Length: 6\r\n\r\nsigned"
    ).encode()


RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER value that makes close() send a reset


class Departure(Enum):
    """How a client leaves."""

    CLOSE = "close"
    RESET = "reset"


def send_and_leave(port: int, data: bytes, departure: Departure) -> None:
    """Connect, send as much as the kernel accepts, and leave."""
    with socket.create_connection(("127.0.0.1", port)) as client:
        client.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while data:
                data = data[client.send(data) :]
        if departure is Departure.RESET:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


@pytest.mark.parametrize("unread_size", [0, 60_000, 300_000, 8_000_000])
@pytest.mark.parametrize("departure", list(Departure))
@with_trio
async def test_requests_of_clients_that_left_behind_unread_bytes_are_not_sent(
    tmp_path: Path, unread_size: int, departure: Departure
) -> None:
    async with trio.open_nursery() as nursery:
        caches: list[CacheStandIn] = await start_caches(nursery, EDGE, ORIGIN)
        async with run_platform(tmp_path, caches) as router_process:
            assert (await router_process.request_object())[0] == 200
            ids = [os.urandom(8).hex() for _ in range(CLIENTS)]
            router_process.process.send_signal(signal.SIGSTOP)
            for request_id in ids:
                send_and_leave(router_process.port, write_request(request_id) + b"x" * unread_size, departure)
            router_process.process.send_signal(signal.SIGCONT)
            answers = [
                await router_process.request_object("sheet-submit", body=b"signed", txn=request_id)
                for request_id in ids
            ]
            assert {status for status, _, _ in answers} <= {200, 409}
            runs = [requested.id for cache in caches for requested in cache.received]
            repeated = [
                request_id for (status, _, _), request_id in zip(answers, ids, strict=True) if status == 200
            ]
            assert sorted(run for run in runs if run in ids) == sorted(repeated)
        nursery.cancel_scope.cancel()
