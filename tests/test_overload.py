"""The real program under CPU overload, and its parser for HTTP requests."""

from __future__ import annotations

import os
from collections import Counter
from pathlib import Path

import pytest
import trio

from brackenlane.limits import Limits
from brackenlane.net.http_codec import BadRequestError, RequestParser, read_simple_get
from tests.stand_ins import (
    CacheStandIn,
    ChangeLogStandIn,
    ReceivedRequest,
    RouterProcess,
    cache_as_record,
    data_reply,
    run_platform,
    with_trio,
)
from tests.test_platform import EDGE, ORIGIN, SMUGGLED_REQUEST

HEAD = "GET /api/v2/video-parts/7f3a9c21e0b4d655/n-0 HTTP/1.1\r\nHost: a\r\n"


def respond(requested: ReceivedRequest) -> bytes:
    """Answer reads and writes successfully."""
    return data_reply(requested, b"" if requested.fields["queue"] == "sheet-submit" else b"bytes")


async def send_request(
    router_process: RouterProcess, status_counts: Counter[tuple[str, int]], cls: str, number: int
) -> None:
    """Send one request and count its status; a rejection must have a Retry-After."""
    body = b"signed" * (cls == "sheet-submit")
    status, headers, _ = await router_process.request_object(cls, f"{number:016x}", body, ttl=9000)
    status_counts[cls, status] += 1
    assert status != 503 or int(headers["retry-after"]) > 0


@with_trio
async def test_overload_sheds_reads_but_never_submits(tmp_path: Path) -> None:
    """Under many times the load that a core can serve, reads are shed before they reach a cache.

    Submits are never shed, and every request is answered.
    """
    async with trio.open_nursery() as nursery:
        caches = [
            await CacheStandIn(EDGE, answer=respond).open(nursery),
            await CacheStandIn(ORIGIN, "origin", answer=respond).open(nursery),
        ]
        async with run_platform(tmp_path, caches, module="tests.slow_program", SLOW_MS="8") as router_process:
            status_counts: Counter[tuple[str, int]] = Counter()
            idle_connections = [
                await trio.open_tcp_stream("127.0.0.1", router_process.port) for _ in range(400)
            ]
            async with trio.open_nursery() as clients:
                for number in range(300):
                    cls = "sheet-submit" if number % 50 == 0 else "video-parts"
                    clients.start_soon(send_request, router_process, status_counts, cls, number)
            assert sum(status_counts.values()) == 300
            assert status_counts["sheet-submit", 200] == 6
            served, refused = status_counts["video-parts", 200], status_counts["video-parts", 503]
            assert served > 0, status_counts
            assert refused > 0, status_counts
            assert served + refused == 294, status_counts
            # Rejected requests did not reach a cache, and no write reached one twice.
            requested = [one for cache in caches for one in cache.received]
            assert len(requested) == served + 6 == len({one.id for one in requested})
            await router_process.wait_for_log(b"short of CPU")
            # The router recovers without intervention.
            assert (await router_process.request_object())[0] == 200
            assert (await router_process.send("GET", "/-/healthy", {}))[0] == 200
            for stream in idle_connections:
                await stream.aclose()
        nursery.cancel_scope.cancel()


@with_trio
async def test_drain_is_applied_during_overload(tmp_path: Path) -> None:
    """From 500 ms after a drain is published, the drained cache gets no new requests, even under overload."""
    async with trio.open_nursery() as nursery:
        log = await ChangeLogStandIn().open(nursery)
        edge, other, origin = [
            await CacheStandIn(i, m, answer=respond).open(nursery)
            for i, m in ((EDGE, "type-a"), ("s-00000002", "type-a"), (ORIGIN, "origin"))
        ]
        async with run_platform(
            tmp_path, [edge, other, origin], log, module="tests.slow_program", SLOW_MS="4"
        ) as router_process:
            status_counts: Counter[tuple[str, int]] = Counter()

            async def flood(start: int) -> None:
                while True:
                    start += 100
                    await send_request(router_process, status_counts, "video-parts", start)

            async with trio.open_nursery() as clients:
                for number in range(100):
                    clients.start_soon(flood, number)
                while not edge.received or not status_counts["video-parts", 503]:
                    await trio.sleep(0.01)
                await log.send_frame(2, 2, cache_as_record(edge, 1))
                await trio.sleep(0.5)
                late, since = len(edge.received), len(other.received)
                await other.wait_until(lambda: len(other.received) > since + 30)
                assert len(edge.received) == late
                assert status_counts["video-parts", 503]
                clients.cancel_scope.cancel()
        nursery.cancel_scope.cancel()


@with_trio
async def test_pipelined_and_fragmented_requests(tmp_path: Path) -> None:
    """Two requests in one packet are answered in order; a request split at any byte is one request."""
    async with trio.open_nursery() as nursery:
        caches = [
            await CacheStandIn(EDGE, answer=respond).open(nursery),
            await CacheStandIn(ORIGIN, "origin", answer=respond).open(nursery),
        ]
        async with run_platform(tmp_path, caches) as router_process:

            def request(txn: str) -> bytes:
                return f"{HEAD}X-Txn: {txn * 16}\r\nX-Ttl-Ms: 5000\r\nX-Shard: 1\r\n\r\n".encode()

            async with await trio.open_tcp_stream("127.0.0.1", router_process.port) as stream:
                await stream.send_all(request("1") + request("2"))
                got = b""
                while got.count(b"bytes") < 2:
                    got += await stream.receive_some(65536)
                for cut in (1, 40, len(request("3")) - 1):
                    sent = request("3456789abc"[cut % 10])
                    await stream.send_all(sent[:cut])
                    await trio.sleep(0.02)
                    await stream.send_all(sent[cut:])
                    while not (got := await stream.receive_some(65536)).endswith(b"bytes"):
                        pass
            assert [requested.id[0] for requested in caches[0].received + caches[1].received][:2] == [
                "1",
                "2",
            ]
            assert len(caches[0].received + caches[1].received) == 5
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("sent", "target"),
    [
        (HEAD + "\r\n", "/api/v2/video-parts/7f3a9c21e0b4d655/n-0"),
        (HEAD + "X-Second-Try: 1\r\n\r\n", "/api/v2/video-parts/7f3a9c21e0b4d655/n-0"),
        (HEAD + "Content-Length: 5\r\n\r\n", None),  # the body may contain another request
        (HEAD + "content-length: 0\r\n\r\n", None),
        (HEAD + "Transfer-Encoding: chunked\r\n\r\n", None),
        (HEAD + "Connection: close\r\n\r\n", None),
        (HEAD + "Expect: 100-continue\r\n\r\n", None),
        (HEAD + "\r\n" + HEAD + "\r\n", None),
        (HEAD, None),
        (HEAD + "\r\nx", None),
        (HEAD.replace("1.1", "1.0") + "\r\n", None),
        (HEAD.replace("GET", "PUT") + "\r\n", None),
        (SMUGGLED_REQUEST % "Content-Length: 5", None),
        ("", None),
    ],
)
def test_read_plain_accepts_only_unambiguous_reads(sent: str, target: str | None) -> None:
    """Only a read that can't contain another request is recognized, so that it can be rejected unparsed."""
    assert read_simple_get(sent.encode()) == ((target, "X-Second-Try" in sent) if target else None)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        ("GET /x HTTP/1.1\r\n\r\n", 400),  # no Host
        ("GET /x HTTP/2.0\r\nHost: a\r\n\r\n", 505),
        ("GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        ("PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501),
        ("PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\nhello", 400),
        ("PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 5\r\n\r\nhello", 400),
        (
            "PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "8000\r\n"
            + "x" * 0x8000
            + "\r\n8000\r\n"
            + "x" * 0x8000
            + "\r\n0\r\n\r\n",
            413,
        ),
        ("GET /x HTTP/1.1\r\nHost : a\r\n\r\n", 400),
        ("GET /x HTTP/1.1\r\nHost: a\r\n folded: b\r\n\r\n", 400),
        ("GET /x HTTP/1.1\nHost: a\n\n", 400),
        ("GET /x HTTP/1.1\r\nHost: a\r\nX: " + "y" * 20_000, 431),  # a head without an end
    ],
)
@pytest.mark.parametrize("step", [1, 7, 100_000])
def test_parser_rejects_invalid_requests_at_any_fragmentation(sent: str, status: int, step: int) -> None:
    """Requests that h11 rejects are rejected, however their bytes are split into packets."""
    requests = RequestParser(Limits())
    for start in range(0, len(sent), step):
        requests.feed(sent[start : start + step].encode())
    assert isinstance(requests.fault, BadRequestError)
    assert requests.fault.status == status
    assert requests.next() is None


@pytest.mark.parametrize("step", [1, 3, 100_000])
def test_parser_reads_chunks_trailers_and_upgrades(step: int) -> None:
    """A chunked body is read, trailers and upgrades are ignored, and pipelined requests are read."""
    sent = (
        b"PUT /a HTTP/1.1\r\nHost: a\r\nX-Txn:  1 \r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\nX-Shard: 9\r\n\r\n"
        b"GET /u HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n"
        b"GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    )
    requests = RequestParser(Limits())
    for start in range(0, len(sent), step):
        requests.feed(sent[start : start + step])
    first, upgrade, second = requests.next(), requests.next(), requests.next()
    assert first
    assert second
    assert upgrade
    assert upgrade.target == "/u"
    assert requests.fault is None
    assert not requests.is_partial
    assert (first.method, first.target, first.body, first.keep_alive) == ("PUT", "/a", b"abcde", True)
    assert first.headers["x-txn"] == "1"
    assert "x-shard" not in first.headers
    assert (second.method, second.target, second.keep_alive) == ("GET", "/b", False)


def test_parser_ignores_many_upgrade_requests() -> None:
    """Many pipelined requests that ask for an upgrade of the protocol are read as normal requests."""
    requests = RequestParser(Limits())
    requests.feed(b"GET /u HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n" * 1000)
    assert requests.fault is None
    assert sum(1 for _ in iter(requests.next, None)) == 1000


def test_parser_takes_no_random_bytes_for_a_request() -> None:
    """Random bytes end in a fault or wait for more input; they never yield a request or an exception."""
    for _ in range(300):
        requests = RequestParser(Limits())
        requests.feed(os.urandom(200) + b"\r\n\r\n")
        assert requests.next() is None
