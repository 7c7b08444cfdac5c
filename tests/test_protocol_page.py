"""The protocol at a site with keyed writes, with load reports from caches, and without probes.

Each test covers a sentence of the protocol that no other test covers (docs/design/protocol-tests.md). Most
of them run the router among scripted clients, caches and change log; what no peer can observe is tested on
the codec alone.
"""

from __future__ import annotations

import functools
import math
import signal
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import pytest
import trio

from brackenlane.config import read_settings
from brackenlane.core.engine import RequestEngine
from brackenlane.core.engine_config import EngineConfig
from brackenlane.core.requests import Attempt, AttemptReply, PendingRequest
from brackenlane.limits import Limits
from brackenlane.net.cache_codec import CacheResponse, Parser, encode_get
from brackenlane.net.change_log_codec import Frame, read_configured_changes, read_frame
from brackenlane.net.http_codec import RequestParser
from brackenlane.net.http_front import HttpFront
from brackenlane.net.poller import Poller
from brackenlane.net.request_codec import read_request
from brackenlane.routing.actions import Action, Fetch
from brackenlane.routing.events import Arrival, AttemptResult, CacheStatus, Event, Membership, Outcome
from tests.stand_ins import (
    SETTINGS,
    CacheStandIn,
    ChangeLogStandIn,
    ReceivedRequest,
    RouterProcess,
    ScriptedReply,
    cache_as_json,
    cache_as_record,
    data_reply,
    free_port,
    run_platform,
    with_trio,
)

EDGE, OTHER = "s-00000001", "s-00000002"
PARENT, NEXT_PARENT, ORIGIN = "s-00000008", "s-00000007", "s-00000009"
MODELS = {ORIGIN: "origin", PARENT: "parent", NEXT_PARENT: "parent"}
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


def site_settings(**limits: Any) -> dict[str, Any]:
    """Return settings with keyed writes, load reports, no probes, and requests to edge caches only."""
    reads, write = SETTINGS["Classes"][:2], SETTINGS["Classes"][2]
    return {
        "Classes": [*reads, {**write, "Effect": "dedup", "Group": "all", "WindowS": 6.0}],
        "FamilyInfo": {
            **SETTINGS["FamilyInfo"],
            "BypassAllowed": False,
            "PeersFill": "any",
            "Says": "silent",
        },
        "Report": {"How": "piggyback", "Fields": ["inflight", "x0"]},
        "Limits": {
            "Cancel": True,
            "DialTimeoutS": 0.4,
            "KeepaliveS": 15.0,
            "MaxAttempts": 8,
            "MaxRetryAfterS": 0.5,
            "MayProbe": False,
            "RetryAfter": True,
            "SecondCopies": True,
            "StreamsPerConn": 32,
            **limits,
        },
    }


async def start_caches(
    nursery: trio.Nursery, *ids: str, answer: Callable[[ReceivedRequest], ScriptedReply] = data_reply
) -> list[CacheStandIn]:
    """Start caches that all use the same answer function."""
    return [
        await CacheStandIn(cache_id, MODELS.get(cache_id, "type-a"), answer).open(nursery) for cache_id in ids
    ]


def parser_of(text: bytes) -> RequestParser:
    """Return a request parser that was fed the bytes of a client."""
    parser = RequestParser(Limits())
    parser.feed(text)
    return parser


def arrival_of(*header_lines: str) -> Arrival:
    """Return the Arrival event of a read request with additional header lines."""
    head = ["GET /api/v2/video-parts/7f3a9c21e0b4d655/n-3 HTTP/1.1", "Host: a", f"X-Txn: {'1' * 16}"]
    text = "\r\n".join([*head, "X-Ttl-Ms: 1500", "X-Shard: 17", *header_lines, "", ""])
    parsed = parser_of(text.encode()).next()
    assert parsed
    settings, _ = read_settings(SETTINGS)
    classes = {c.name: c for c in settings.classes}
    return read_request(parsed, classes, Limits(), "q0", 100.0).arrival


# Clients to the router


@pytest.mark.parametrize(
    ("header_lines", "size_kb"),
    [
        (["X-Working-Set-Kb: 412.5"], 412.5),
        (["x-working-set-kb: 7"], 7.0),
        ([], 0.0),
        *[
            ([f"X-Working-Set-Kb: {text}"], 0.0)
            for text in ("", "-1", "nan", "inf", "1,5", "much", "9" * 400)
        ],
    ],
)
def test_size_of_a_part_reaches_the_router(header_lines: list[str], size_kb: float) -> None:
    """An invalid size counts as unknown, since a wrong size is no reason to reject the request."""
    assert arrival_of(*header_lines).size_kb == size_kb


@pytest.mark.parametrize(("header_lines", "is_retry"), [(["X-Second-Try: 1"], True), ([], False)])
def test_request_fields_reach_the_router(header_lines: list[str], is_retry: bool) -> None:
    """The router gets class, object, part, group, retry flag, and the time left less that of the way back."""
    arrival = arrival_of(*header_lines)
    assert (arrival.cls, arrival.obj, arrival.part, arrival.group) == (
        "video-parts",
        "7f3a9c21e0b4d655",
        3,
        17,
    )
    assert arrival.is_retry is is_retry
    assert not arrival.is_write
    assert 1.48 < arrival.time_left < 1.5


FIRST_TRY = (
    f"PUT /api/v2/sheet-submit/7f3a9c21e0b4d655/n-3 HTTP/1.1\r\nHost: a\r\nX-Txn: {'1' * 16}\r\n"
    f"X-Ttl-Ms: 3000\r\nX-Shard: 17\r\nX-Txn-Key: {KEY}\r\nContent-Length: 6\r\n\r\nsigned"
).encode()


@pytest.mark.parametrize("restart", [None, signal.SIGKILL, signal.SIGTERM])
@with_trio
async def test_idempotency_key_is_unchanged_across_retries_and_restarts(
    tmp_path: Path, restart: signal.Signals | None
) -> None:
    """All attempts at a write carry its key: retries by the router, by the client and after a restart."""
    port = free_port()
    async with trio.open_nursery() as nursery:
        edge, origin = await start_caches(nursery, EDGE, ORIGIN, answer=lambda requested: None)
        start = functools.partial(run_platform, tmp_path, [edge, origin], settings=site_settings(), port=port)
        async with start() as router:
            async with await trio.open_tcp_stream("127.0.0.1", port) as client:
                await client.send_all(FIRST_TRY)
                await edge.wait_until(lambda: bool(edge.received))
                if restart:
                    router.process.send_signal(restart)
            if restart is None:
                edge.answer = data_reply
                assert (await retry(router))[0] == 200
            else:
                await router.process.wait()
        if restart:
            edge.answer = data_reply
            async with start() as router:
                assert (await retry(router))[0] == 200
        assert {requested.fields["uniq"] for requested in edge.received} == {KEY}
        assert {requested.body for requested in edge.received} == {b"signed"}
        assert {requested.id for requested in edge.received} == {"1" * 16, "2" * 16}
        nursery.cancel_scope.cancel()


async def retry(router: RouterProcess) -> tuple[int, dict[str, str], bytes]:
    """Send the client's retry of its write: a new id, the same key."""
    return await router.request_object(
        "sheet-submit", body=b"signed", txn="2" * 16, X_Txn_Key=KEY, X_Second_Try="1"
    )


@with_trio
async def test_keyed_write_is_retried_with_its_key_and_within_its_window(tmp_path: Path) -> None:
    """A write that may have run is retried with the same key and id, and only within its repeat window."""
    settings = site_settings()
    settings["Classes"][2] |= {"WindowS": 0.4}
    sent_at: list[float] = []

    async with trio.open_nursery() as nursery:

        def fail(requested: ReceivedRequest) -> bytes:
            sent_at.append(time.time())
            time.sleep(0.1)  # only this cache is slow: four attempts would take 0.4 s
            return data_reply(requested, b"", "failed")

        caches = await start_caches(nursery, EDGE, OTHER, ORIGIN, answer=fail)
        async with run_platform(tmp_path, caches, settings=settings) as router:
            status, _, _ = await router.request_object(
                "sheet-submit", body=b"signed", ttl=2500, X_Txn_Key=KEY
            )
            received = caches[0].received + caches[1].received
            assert status in (502, 503)
            assert len(received) > 1
            assert {(a.id, a.fields["uniq"], a.body) for a in received} == {(received[0].id, KEY, b"signed")}
            assert sent_at[-1] - sent_at[0] < 0.45
        nursery.cancel_scope.cancel()


@with_trio
async def test_a_keyed_write_without_its_key_is_sent_once(tmp_path: Path) -> None:
    """Without its key no cache can recognize a duplicate, so a write that may have run fails at once."""
    async with trio.open_nursery() as nursery:
        caches = await start_caches(
            nursery, EDGE, OTHER, ORIGIN, answer=lambda requested: data_reply(requested, b"", "failed")
        )
        async with run_platform(tmp_path, caches, settings=site_settings()) as router:
            status, _, _ = await router.request_object("sheet-submit", body=b"signed", ttl=2500)
            assert status == 502
            assert len([requested for cache in caches for requested in cache.received]) == 1
        nursery.cancel_scope.cancel()


def hold_off_header(headers: dict[str, str]) -> str | None:
    """Return the header that tells a client how long to hold off, in milliseconds."""
    return headers.get("x-throttle-ms")


@pytest.mark.parametrize(
    ("limits", "cls", "retry_after"),
    [
        ({}, "video-parts", "500"),
        ({}, "sheet-pages", "300"),  # the router's own hold-off, below the bound
        ({"MaxRetryAfterS": 0.2}, "video-parts", "200"),
        ({"RetryAfter": False}, "video-parts", None),
        ({"MaxRetryAfterS": 0.0}, "video-parts", None),
    ],
)
@with_trio
async def test_rejection_carries_a_hold_off(
    tmp_path: Path, limits: dict[str, Any], cls: str, retry_after: str | None
) -> None:
    """The hold-off is bounded by the longest one that clients honour, and left out if they honour none."""
    async with trio.open_nursery() as nursery:
        edge, origin = await start_caches(
            nursery, EDGE, ORIGIN, answer=lambda requested: data_reply(requested, b"", "full")
        )
        async with run_platform(tmp_path, [edge, origin], settings=site_settings(**limits)) as router:
            status, headers, _ = await router.request_object(cls)
            assert status == 503
            assert hold_off_header(headers) == retry_after
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("has_hold_off", [True, False])
@with_trio
async def test_hold_off_of_admission_rejections_is_bounded(tmp_path: Path, has_hold_off: bool) -> None:
    """A request is rejected if all connections have open requests, with a hold-off that clients honour."""
    async with trio.open_nursery() as nursery:
        caches = await start_caches(
            nursery, *(f"s-0000000{n}" for n in range(1, 7)), answer=lambda requested: None
        )
        settings = site_settings(RetryAfter=has_hold_off)
        async with (
            run_platform(tmp_path, caches, max_sockets=64, settings=settings) as router,
            trio.open_nursery() as clients,
        ):
            for n in range(25):
                clients.start_soon(functools.partial(router.request_object, obj=f"{n:016x}", ttl=5000))
            while len({requested.id for cache in caches for requested in cache.received}) < 25:
                await trio.sleep(0.01)
            status, headers, _ = await router.request_object()
            assert status == 503
            assert hold_off_header(headers) == ("500" if has_hold_off else None)
            clients.cancel_scope.cancel()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(("max_retry_after", "has_hold_off"), [(0.5, True), (0.0, False)])
@pytest.mark.parametrize("retry_after", [0.0, 0.123, 0.5, 7.0, 1e6])
def test_rejection_of_a_stalled_queue(
    monkeypatch: pytest.MonkeyPatch, max_retry_after: float, has_hold_off: bool, retry_after: float
) -> None:
    """A rejection prepared before the request is read has a bounded hold-off in whole milliseconds."""
    settings, _ = read_settings({**SETTINGS, **site_settings(MaxRetryAfterS=max_retry_after)})
    front = HttpFront(
        RequestEngine(EngineConfig(settings, 1, Limits()), lambda _: False), Limits(), Poller(1)
    )
    monkeypatch.setattr(front.queue.admission, "retry_after", lambda now: retry_after)
    head = front.queue.prepare_rejection(time.time()).partition(b"\r\n\r\n")[0].decode()
    headers = dict(line.split(": ") for line in head.split("\r\n")[1:])
    assert int(headers["Retry-After"]) >= 1
    assert ("X-Throttle-Ms" in headers) is has_hold_off
    assert not has_hold_off or min(1000 * retry_after, 500) <= int(headers["X-Throttle-Ms"]) <= 500


def test_prepared_rejections_follow_new_settings() -> None:
    """A rejection that was prepared under the old settings is not sent after a change to a shorter limit."""
    limits = Limits()
    settings = [
        read_settings({**SETTINGS, **site_settings(MaxRetryAfterS=max_retry_after)})[0]
        for max_retry_after in (0.04, 0.02)
    ]
    core = RequestEngine(EngineConfig(settings[0], 1, limits), lambda _: False)
    front = HttpFront(core, limits, Poller(1))
    assert b"X-Throttle-Ms: 40\r\n" in front.queue.prepare_rejection(time.time())
    core.reconfigure(EngineConfig(settings[1], 1, limits))
    front.reconfigure(limits)
    assert b"X-Throttle-Ms: 20\r\n" in front.queue.prepare_rejection(time.time())


@pytest.mark.parametrize(
    ("path", "ttl", "status"),
    [("/api/v2/video-parts/7f3a9c21e0b4d655/n-3", 300, 504), ("/api/v2/none/7f3a9c21e0b4d655/n-3", 900, 404)],
)
@with_trio
async def test_error_responses_carry_no_hold_off(tmp_path: Path, path: str, ttl: int, status: int) -> None:
    """A retry after a failure may do harm, so its response has none of the headers that invite one."""
    async with trio.open_nursery() as nursery:
        edge, origin = await start_caches(nursery, EDGE, ORIGIN, answer=lambda requested: None)
        async with run_platform(tmp_path, [edge, origin], settings=site_settings()) as router:
            received_status, headers, _ = await router.send(
                "GET", path, {"X-Txn": "1" * 16, "X-Ttl-Ms": str(ttl), "X-Shard": "17"}
            )
            assert received_status == status
            assert hold_off_header(headers) is None
            assert "retry-after" not in headers
        nursery.cancel_scope.cancel()


@with_trio
async def test_idle_client_connection_is_kept_for_its_allowed_time(tmp_path: Path) -> None:
    """Clients close a connection after 4 s without a request; the router keeps it open for longer."""
    async with trio.open_nursery() as nursery:
        edge, origin = await start_caches(nursery, EDGE, ORIGIN)
        async with (
            run_platform(tmp_path, [edge, origin], settings=site_settings()) as router,
            await trio.open_tcp_stream("127.0.0.1", router.port) as client,
        ):
            for _ in range(2):
                await client.send_all(b"GET /-/healthy HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await client.receive_some(1000)).startswith(b"HTTP/1.1 200")
                await trio.sleep(4.05)
        nursery.cancel_scope.cancel()


# The router to caches


ATTEMPT = Fetch("q0", EDGE, 1.0, EDGE, retention_rank=0)


@pytest.mark.parametrize(
    ("fetch", "expected_fields"),
    [
        (ATTEMPT, {}),  # no source, no rank, no flags, any age that the class allows
        (replace(ATTEMPT, source=PARENT), {"miss": PARENT}),
        *[(replace(ATTEMPT, retention_rank=rank), {"prio": str(rank)}) for rank in (1, 2, 3)],
        (replace(ATTEMPT, may_join_fill=True), {"f": "coalesce"}),
        (replace(ATTEMPT, revalidate=True), {"f": "freshen"}),
        (replace(ATTEMPT, only_if_cached=True), {"f": "shallow"}),
        (
            replace(ATTEMPT, may_join_fill=True, revalidate=True, only_if_cached=True),
            {"f": "coalesce+shallow+freshen"},
        ),
    ],
)
@pytest.mark.parametrize(
    ("max_age", "expected_age"), [(0.0, {}), (1.2349, {"within": "1234"}), (1e-6, {"within": "1"})]
)
def test_fields_of_a_get_command(
    fetch: Fetch, expected_fields: dict[str, str], max_age: float, expected_age: dict[str, str]
) -> None:
    """Unset options are left out; times are rounded down to milliseconds, an age limit to no less than 1."""
    arrival = Arrival("q0", 1.0, "video-parts", "7f3a9c21e0b4d655", 3)
    line = encode_get("1" * 16, arrival, fetch, 0.9999, max_age, "", b"")
    command, request_id, sent_fields, length = line.decode().split()
    assert (command, request_id, length) == ("GET", "1" * 16, "0")
    assert line.endswith(b" 0\r\n\r\n")
    common_fields = {"queue": "video-parts", "path": "7f3a9c21e0b4d655", "blk": "3", "budget": "999"}
    assert (
        dict(pair.split("=") for pair in sent_fields.split(","))
        == common_fields | expected_fields | expected_age
    )


def parse_response(text: str) -> CacheResponse:
    """Parse a response of a cache that has these fields."""
    [answer] = Parser(Limits()).feed(f"a1 data {text} 0\r\n\r\n".encode())
    return answer


@pytest.mark.parametrize(
    ("text", "report"),
    [
        ("use=inflight:7;x0:0.61", (("inflight", 7.0), ("x0", 0.61))),
        ("use=inflight:7", (("inflight", 7.0),)),
        ("entity=e1", ()),
        ("use=", ()),
        ("-", ()),
        *[
            (f"use=inflight:7;{x0}", (("inflight", 7.0),))
            for x0 in ("x0", "x0:", "x0:much", "x0:nan", "x0:inf", "x0:1e999", "x0:-0.1", "")
        ],
        ("use=inflight:7;:0.5", (("inflight", 7.0),)),  # an empty name is skipped
        (
            "use=x0:7.5",
            (("x0", 7.5),),
        ),  # more than a share can be: the router, not the parser, checks the range
    ],
)
def test_invalid_values_of_a_load_report_are_skipped(
    text: str, report: tuple[tuple[str, float], ...]
) -> None:
    """An invalid value invalidates neither the other values nor the response."""
    assert parse_response(text).report == report


@pytest.mark.parametrize(
    ("detail", "cache_status"),
    [
        ("hit", CacheStatus.HIT),
        ("filled", CacheStatus.FILLED),
        ("via_origin", CacheStatus.FILLED_BY_ORIGIN),
        ("joined", CacheStatus.JOINED),
        ("stale", CacheStatus.STALE),
        ("src_refused", CacheStatus.SOURCE_REFUSED),
        ("src_broke", CacheStatus.SOURCE_FAILED),
        ("src_lacks", CacheStatus.SOURCE_MISS),
        ("no_slot", CacheStatus.FILL_LIMIT_REACHED),
        ("origin_failed", CacheStatus.ORIGIN_FAILED),
        ("never_heard_of", CacheStatus.UNKNOWN),
        ("", CacheStatus.UNKNOWN),
    ],
)
def test_cache_status_is_parsed(detail: str, cache_status: CacheStatus) -> None:
    """Each word has the code of the simulator; a missing or unknown word gives UNKNOWN."""
    assert parse_response(f"detail={detail}").cache_status is cache_status
    assert list(CacheStatus).index(cache_status) == cache_status.value


@pytest.mark.parametrize(
    ("text", "delay"),
    [("delay=120", 0.12), ("delay=0.5", 0.0005), ("entity=e1", 0.0)]
    + [(f"delay={invalid}", 0.0) for invalid in ("", "-3", "nan", "inf", "long")],
)
def test_fill_delay_is_parsed(text: str, delay: float) -> None:
    """The time that a fill waited for its source, in seconds; 0 if it is missing or invalid."""
    assert parse_response(text).delay == pytest.approx(delay)


@pytest.mark.parametrize(
    ("result", "reply_fields"),
    [
        (AttemptResult.OK, {"cache_status": CacheStatus.FILLED_BY_ORIGIN, "delay": 0.07}),
        (AttemptResult.ERROR, {"cache_status": CacheStatus.SOURCE_FAILED, "delay": 0.09}),
        (AttemptResult.OK, {"report": (("inflight", 3.0), ("x0", 0.5))}),
        (AttemptResult.FULL, {"report": (("inflight", 9.0),)}),
    ],
)
def test_response_fields_reach_the_router(
    monkeypatch: pytest.MonkeyPatch, result: AttemptResult, reply_fields: dict[str, Any]
) -> None:
    """Cache status, time that a fill waited for its source, and load report reach it with every result."""
    settings, _ = read_settings({**SETTINGS, **site_settings()})
    attempts: list[Attempt] = []
    outcomes: list[Outcome] = []

    def place(attempt: Attempt) -> bool:
        attempts.append(attempt)
        return True

    def decide(event: Event, now: float) -> list[Action]:
        if isinstance(event, Outcome):
            outcomes.append(event)
        return [Fetch("q0", EDGE, 1.0, ORIGIN)] if isinstance(event, Arrival) else []

    core = RequestEngine(EngineConfig(settings, 1, Limits()), place)
    monkeypatch.setattr(core.routers.current, "handle", decide)
    core.submit(PendingRequest(Arrival("q0", 1.0, "video-parts", "7f3a9c21e0b4d655"), time.time() + 1.0))
    core.report(attempts[0], AttemptReply(result, 0.1, **reply_fields))
    [outcome] = outcomes
    assert (outcome.result, outcome.wait) == (result, 0.1)
    assert outcome.cache_status is reply_fields.get("cache_status", CacheStatus.UNKNOWN)
    assert outcome.first_byte == reply_fields.get("delay", 0.0)
    assert outcome.report == reply_fields.get("report", ())


@pytest.mark.parametrize(
    "report", ["", "x0", "x0:nan", "x0:-1", "x0:7.5", "x0:1e999", ":;:;", "inflight:1;x0:0.5"]
)
@pytest.mark.parametrize("command", ["data", "full"])
@with_trio
async def test_invalid_load_report_does_not_invalidate_the_response(
    tmp_path: Path, report: str, command: str
) -> None:
    """Whatever the report contains, the rest of the response counts, and its connection stays open."""
    async with trio.open_nursery() as nursery:

        def answer_with_report(requested: ReceivedRequest) -> bytes:
            return data_reply(requested, b"bytes" if command == "data" else b"", command, use=report)

        edge, origin = await start_caches(nursery, EDGE, ORIGIN, answer=answer_with_report)
        async with run_platform(tmp_path, [edge, origin], settings=site_settings()) as router:
            statuses = [(await router.request_object(obj=f"{n:016x}"))[0] for n in range(3)]
            assert statuses == [200 if command == "data" else 503] * 3
            assert edge.connection_count == 1
            assert edge.ended_count == 0
        nursery.cancel_scope.cancel()


@with_trio
async def test_response_after_its_deadline_is_ignored(tmp_path: Path) -> None:
    """A response after its deadline is dropped with its report; the connection serves the next request."""
    async with trio.open_nursery() as nursery:
        edge, origin = await start_caches(nursery, EDGE, ORIGIN, answer=lambda requested: None)
        async with run_platform(tmp_path, [edge, origin], settings=site_settings(MaxAttempts=1)) as router:
            assert (await router.request_object(ttl=300))[0] == 504
            await edge.send_raw(1, data_reply(edge.received[0], use="inflight:1;x0:0.5"))
            edge.answer = functools.partial(data_reply, use="inflight:1;x0:0.5")
            assert (await router.request_object())[::2] == (200, b"bytes")
            assert edge.connection_count == 1
        nursery.cancel_scope.cancel()


@with_trio
async def test_open_requests_per_connection_are_limited(tmp_path: Path) -> None:
    """A connection carries two open requests here; a request is rejected if all connections are full."""
    async with trio.open_nursery() as nursery:
        edge, origin = await start_caches(nursery, EDGE, ORIGIN, answer=lambda requested: None)
        async with (
            run_platform(tmp_path, [edge, origin], settings=site_settings(StreamsPerConn=2)) as router,
            trio.open_nursery() as clients,
        ):
            for n in range(8):
                clients.start_soon(functools.partial(router.request_object, obj=f"{n:016x}", ttl=5000))
            await edge.wait_until(lambda: len(edge.received) >= 8)
            assert edge.max_requests_per_connection == 2
            assert edge.connection_count == 4
            assert (await router.request_object())[0] == 503
            assert len(edge.received) == 8
            clients.cancel_scope.cancel()
        nursery.cancel_scope.cancel()


@with_trio
async def test_responses_may_arrive_in_any_order(tmp_path: Path) -> None:
    """Four requests on one connection are answered in reverse order; each client gets its own bytes."""
    async with trio.open_nursery() as nursery:

        def answer_in_reverse(requested: ReceivedRequest) -> ScriptedReply:
            if len(edge.received) < 4:
                return None
            return b"".join(
                data_reply(held, held.fields["path"].encode()) for held in reversed(edge.received)
            )

        edge, origin = await start_caches(nursery, EDGE, ORIGIN, answer=answer_in_reverse)
        bodies: dict[str, bytes] = {}
        async with run_platform(tmp_path, [edge, origin], settings=site_settings()) as router:

            async def send_request(obj: str) -> None:
                bodies[obj] = (await router.request_object(obj=obj))[2]

            async with trio.open_nursery() as clients:
                for n in range(4):
                    clients.start_soon(send_request, f"{n:016x}")
            assert len(bodies) == 4
            assert all(body == obj.encode() for obj, body in bodies.items())
            assert edge.connection_count == 1
        nursery.cancel_scope.cancel()


class RecordingStream:
    """A connection that records the bytes it receives."""

    def __init__(self, stream: trio.SocketStream, received: bytearray) -> None:
        self._stream, self._received = stream, received
        self.send_all, self.aclose = stream.send_all, stream.aclose

    async def receive_some(self, max_bytes: int) -> bytes:
        """Receive and record the next bytes."""
        chunk = await self._stream.receive_some(max_bytes)
        self._received += chunk
        return bytes(chunk)


class RecordingCache(CacheStandIn):
    """A cache that records all bytes of its latest connection."""

    received_bytes = bytearray()

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.received_bytes = bytearray()
        await super()._serve(cast(trio.SocketStream, RecordingStream(stream, self.received_bytes)))


@pytest.mark.parametrize("allowed", [True, False])
@with_trio
async def test_ping_is_sent_only_if_the_settings_allow_it(tmp_path: Path, allowed: bool) -> None:
    """A cache that is silent for long gets a PING, but only if the settings allow probes."""
    async with trio.open_nursery() as nursery:
        edge = await RecordingCache(EDGE, answer=lambda requested: None).open(nursery)
        (origin,) = await start_caches(nursery, ORIGIN)
        async with run_platform(tmp_path, [edge, origin], settings=site_settings(MayProbe=allowed)) as router:
            assert (await router.request_object(ttl=1800))[0] == 504
            assert (b"PING" in edge.received_bytes) is allowed
            assert b"LOAD" not in edge.received_bytes
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("cls", ["video-parts", "sheet-submit"])
@pytest.mark.parametrize("how", ["full", "down", "drained"])
@with_trio
async def test_only_edge_caches_receive_requests_without_bypass(tmp_path: Path, cls: str, how: str) -> None:
    """If no edge cache takes requests, parent and origin get none, and the request is rejected."""
    async with trio.open_nursery() as nursery:
        log = await ChangeLogStandIn().open(nursery)
        edge, parent, origin = await start_caches(nursery, EDGE, PARENT, ORIGIN)
        edge.answer = lambda requested: data_reply(requested, b"", "full")
        async with run_platform(tmp_path, [edge, parent, origin], log, settings=site_settings()) as router:
            if how == "down":
                await edge.close()
            if how == "drained":
                await log.send_frame(2, 2, cache_as_record(edge, 1))
                await log.reconnect()
            status, _, _ = await router.request_object(
                cls, body=b"signed" * (cls == "sheet-submit"), X_Txn_Key=KEY
            )
            assert status == 503
            assert not parent.received
            assert not origin.received
            assert bool(edge.received) is (how == "full")
        nursery.cancel_scope.cancel()


@with_trio
async def test_write_runs_at_the_origin_and_is_not_cached(tmp_path: Path) -> None:
    """A write goes through an edge cache with the origin as its source, and without a rank for storing it."""
    async with trio.open_nursery() as nursery:
        edge, parent, origin = await start_caches(nursery, EDGE, PARENT, ORIGIN)
        async with run_platform(tmp_path, [edge, parent, origin], settings=site_settings()) as router:
            for n in range(4):
                assert (await router.request_object("sheet-submit", f"{n:016x}", b"signed", X_Txn_Key=KEY))[
                    0
                ] == 200
            assert {requested.fields["miss"] for requested in edge.received} == {ORIGIN}
            assert not any("prio" in requested.fields for requested in edge.received)
        nursery.cancel_scope.cancel()


# The change log


@pytest.mark.parametrize("boot_ms", [0, 1_764_576_000_123])
def test_start_time_is_the_same_from_a_frame_and_the_configuration(boot_ms: int) -> None:
    """The start time of a cache is the same from a frame and from the configuration, in seconds."""
    cache = CacheStandIn(EDGE)
    cache.port = 7001
    _, record_names = read_settings(SETTINGS)
    frame = read_frame(
        Frame(7, 2, cache_as_record(cache, 0)[:-8] + boot_ms.to_bytes(8, "big")), record_names, 0.0
    )
    entry = {"seq": 7, "fleet": {"targets": [{**cache_as_json(cache), "boot_ms": boot_ms}]}}
    [known_event] = read_configured_changes({"results": [entry]}, record_names, 0.0)
    assert frame == known_event
    assert isinstance(frame.event, Membership)
    assert frame.event.members[0].started_at == boot_ms / 1000


@pytest.mark.parametrize(("state", "drained_id"), [(1, PARENT), (2, PARENT), (1, EDGE)])
@with_trio
async def test_draining_cache_receives_no_new_requests_after_250_ms(
    tmp_path: Path, state: int, drained_id: str
) -> None:
    """A parent or an edge cache drains or is removed while requests keep arriving."""
    async with trio.open_nursery() as nursery:
        log = await ChangeLogStandIn().open(nursery)
        uses: list[tuple[float, str, str]] = []

        def answer(requested: ReceivedRequest, cache: str) -> bytes:
            uses.append((time.time(), cache, requested.fields.get("miss", "")))
            return data_reply(requested)

        caches = await start_caches(nursery, EDGE, OTHER, NEXT_PARENT, PARENT, ORIGIN)
        for cache in caches:
            cache.answer = functools.partial(answer, cache=cache.id)
        async with run_platform(tmp_path, caches, log, settings=site_settings()) as router:

            async def send_requests(first: int, until: Callable[[], bool]) -> None:
                n = first
                while not until():
                    assert (await router.request_object(obj=f"{n:016x}"))[0] == 200
                    n += 100

            def count_uses(since: float, until: float) -> int:
                return sum(
                    since <= at < until and drained_id in (cache, source) for at, cache, source in uses
                )

            drained_at = math.inf
            async with trio.open_nursery() as clients:
                for first in range(4):
                    clients.start_soon(send_requests, first, lambda: time.time() > drained_at + 1.0)
                while not count_uses(0.0, math.inf):
                    await trio.sleep(0.01)
                drained_at = time.time()
                await log.send_frame(
                    2,
                    2,
                    cache_as_record(next(cache for cache in caches if cache.id == drained_id), state),
                )
            assert count_uses(drained_at + 0.25, math.inf) == 0
            assert sum(at >= drained_at + 0.25 for at, _, _ in uses) > 10
        nursery.cancel_scope.cancel()


@with_trio
async def test_group_purge_covers_caches_and_the_response_cache(tmp_path: Path) -> None:
    """After a purge frame, copies of the group must be newer than the purge; other groups are unaffected."""
    async with trio.open_nursery() as nursery:
        log = await ChangeLogStandIn().open(nursery)
        edge, origin = await start_caches(nursery, EDGE, ORIGIN)
        async with run_platform(
            tmp_path, [edge, origin], log, flow_bytes_per_s=1e6, settings=site_settings()
        ) as router:
            for group in ("17", "18"):
                assert (await router.request_object(obj=f"{group:0>16}", X_Shard=group))[0] == 200
            before = len(edge.received)
            purged_at = time.time()
            await log.send_frame(2, 4, (17).to_bytes(2, "big") + int(purged_at * 1000).to_bytes(8, "big"))
            await log.reconnect()
            for group in ("18", "17"):
                assert (await router.request_object(obj=f"{group:0>16}", X_Shard=group))[0] == 200
            # The router still holds a valid copy of the object in the other group.
            [repeated] = edge.received[before:]
            assert repeated.fields["path"].endswith("17")
            assert 0 < int(repeated.fields["within"]) <= 1000 * (time.time() - purged_at)
        nursery.cancel_scope.cancel()
