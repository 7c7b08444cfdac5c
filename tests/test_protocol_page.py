"""The protocol of a site whose writes carry a key, whose caches report their load and may not be probed.

Each test stands for a sentence of the protocol that no other test holds (docs/design/protocol-tests.md): the
real program with clients, caches and a change log that these tests play, or the codec alone where no peer can
see it.
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
from brackenlane.net.change_log_codec import Frame, read_frame, read_known
from brackenlane.net.http_codec import RequestParser
from brackenlane.net.http_front import HttpFront
from brackenlane.net.poller import Poller
from brackenlane.net.request_codec import read_request
from brackenlane.routing.actions import Action, Fetch
from brackenlane.routing.events import Arrival, AttemptResult, CacheStatus, Event, Membership, Outcome
from tests.stand_ins import (
    SETTINGS,
    CacheStandIn,
    Log,
    Program,
    ReceivedRequest,
    ScriptedReply,
    data,
    free_port,
    platform,
    record,
    target,
    with_trio,
)

EDGE, OTHER = "s-00000001", "s-00000002"
PARENT, NEXT_PARENT, ORIGIN = "s-00000008", "s-00000007", "s-00000009"
MODELS = {ORIGIN: "origin", PARENT: "parent", NEXT_PARENT: "parent"}
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


def site(**limits: Any) -> dict[str, Any]:
    """Settings of such a site: keyed writes, load reports, no probes, edge caches alone asked directly."""
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


async def fleet(
    nursery: trio.Nursery, *names: str, answer: Callable[[ReceivedRequest], ScriptedReply] = data
) -> list[CacheStandIn]:
    """Boxes that answer alike."""
    return [await CacheStandIn(name, MODELS.get(name, "type-a"), answer).open(nursery) for name in names]


def parse(text: bytes) -> RequestParser:
    """A client's bytes as the front reads them."""
    requests = RequestParser(Limits())
    requests.feed(text)
    return requests


def arrival_of(*lines: str) -> Arrival:
    """A read with further header lines, as the module is told of it."""
    head = ["GET /api/v2/video-parts/7f3a9c21e0b4d655/n-3 HTTP/1.1", "Host: a", f"X-Txn: {'1' * 16}"]
    text = "\r\n".join([*head, "X-Ttl-Ms: 1500", "X-Shard: 17", *lines, "", ""])
    reading = parse(text.encode()).next()
    assert reading
    settings, _ = read_settings(SETTINGS)
    classes = {c.name: c for c in settings.classes}
    return read_request(reading, classes, Limits(), "q0", 100.0).arrival


# Clients to the router


@pytest.mark.parametrize(
    ("lines", "size_kb"),
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
def test_size_of_a_part_reaches_the_module(lines: list[str], size_kb: float) -> None:
    """As told; a size that can't be read counts as untold, since a request is worth more than its size."""
    assert arrival_of(*lines).size_kb == size_kb


@pytest.mark.parametrize(("lines", "again"), [(["X-Second-Try: 1"], True), ([], False)])
def test_request_fields_reach_the_router(lines: list[str], again: bool) -> None:
    """Class, object, part, group, mark of a retry, and the time left: its own, less our way back."""
    reported = arrival_of(*lines)
    assert (reported.cls, reported.obj, reported.part, reported.group) == (
        "video-parts",
        "7f3a9c21e0b4d655",
        3,
        17,
    )
    assert reported.is_retry is again
    assert not reported.is_write
    assert 1.48 < reported.time_left < 1.5


FIRST_TRY = (
    f"PUT /api/v2/sheet-submit/7f3a9c21e0b4d655/n-3 HTTP/1.1\r\nHost: a\r\nX-Txn: {'1' * 16}\r\n"
    f"X-Ttl-Ms: 3000\r\nX-Shard: 17\r\nX-Txn-Key: {KEY}\r\nContent-Length: 6\r\n\r\nsigned"
).encode()


@pytest.mark.parametrize("restart", [None, signal.SIGKILL, signal.SIGTERM])
@with_trio
async def test_key_is_that_of_the_request_over_tries_and_restarts(
    tmp_path: Path, restart: signal.Signals | None
) -> None:
    """Every attempt at a write bears one key: repeats, the client's retry, and those of a new process."""
    port = free_port()
    async with trio.open_nursery() as nursery:
        edge, origin = await fleet(nursery, EDGE, ORIGIN, answer=lambda requested: None)
        start = functools.partial(platform, tmp_path, [edge, origin], settings=site(), port=port)
        async with start() as router:
            async with await trio.open_tcp_stream("127.0.0.1", port) as client:
                await client.send_all(FIRST_TRY)
                await edge.until(lambda: bool(edge.received))
                if restart:
                    router.process.send_signal(restart)
            if restart is None:
                edge.answer = data
                assert (await retry(router))[0] == 200
            else:
                await router.process.wait()
        if restart:
            edge.answer = data
            async with start() as router:
                assert (await retry(router))[0] == 200
        assert {requested.fields["uniq"] for requested in edge.received} == {KEY}
        assert {requested.body for requested in edge.received} == {b"signed"}
        assert {requested.id for requested in edge.received} == {"1" * 16, "2" * 16}
        nursery.cancel_scope.cancel()


async def retry(router: Program) -> tuple[int, dict[str, str], bytes]:
    """The client's second try of its write: another id, the same key."""
    return await router.ask("sheet-submit", body=b"signed", txn="2" * 16, X_Txn_Key=KEY, X_Second_Try="1")


@with_trio
async def test_repeats_of_a_keyed_write_bear_its_key_and_stay_in_its_window(tmp_path: Path) -> None:
    """A write that may have run is sent again with the same key and id, and not after its window."""
    settings = site()
    settings["Classes"][2] |= {"WindowS": 0.4}
    sent: list[float] = []

    async with trio.open_nursery() as nursery:

        def fail(requested: ReceivedRequest) -> bytes:
            sent.append(time.time())
            time.sleep(0.1)  # this cache alone is slow: four sends would take 0.4 s
            return data(requested, b"", "failed")

        caches = await fleet(nursery, EDGE, OTHER, ORIGIN, answer=fail)
        async with platform(tmp_path, caches, settings=settings) as router:
            status, _, _ = await router.ask("sheet-submit", body=b"signed", ttl=2500, X_Txn_Key=KEY)
            requested = caches[0].received + caches[1].received
            assert status in (502, 503)
            assert len(requested) > 1
            assert {(a.id, a.fields["uniq"], a.body) for a in requested} == {
                (requested[0].id, KEY, b"signed")
            }
            assert sent[-1] - sent[0] < 0.45
        nursery.cancel_scope.cancel()


@with_trio
async def test_a_keyed_write_without_its_key_is_sent_once(tmp_path: Path) -> None:
    """No cache could drop a repeat: whatever may have run is over, and its client is told that it failed."""
    async with trio.open_nursery() as nursery:
        caches = await fleet(
            nursery, EDGE, OTHER, ORIGIN, answer=lambda requested: data(requested, b"", "failed")
        )
        async with platform(tmp_path, caches, settings=site()) as router:
            status, _, _ = await router.ask("sheet-submit", body=b"signed", ttl=2500)
            assert status == 502
            assert len([requested for cache_stand_in in caches for requested in cache_stand_in.received]) == 1
        nursery.cancel_scope.cancel()


def throttle(headers: dict[str, str]) -> str | None:
    """What a refusal says of the time to stay away."""
    return headers.get("x-throttle-ms")


@pytest.mark.parametrize(
    ("limits", "cls", "reported"),
    [
        ({}, "video-parts", "500"),
        ({}, "sheet-pages", "300"),  # the module's own time, below the bound
        ({"MaxRetryAfterS": 0.2}, "video-parts", "200"),
        ({"RetryAfter": False}, "video-parts", None),
        ({"MaxRetryAfterS": 0.0}, "video-parts", None),
    ],
)
@with_trio
async def test_rejection_carries_a_hold_off(
    tmp_path: Path, limits: dict[str, Any], cls: str, reported: str | None
) -> None:
    """In milliseconds, as the module says, bounded by what clients honour; nothing where they honour none."""
    async with trio.open_nursery() as nursery:
        edge, origin = await fleet(
            nursery, EDGE, ORIGIN, answer=lambda requested: data(requested, b"", "full")
        )
        async with platform(tmp_path, [edge, origin], settings=site(**limits)) as router:
            status, headers, _ = await router.ask(cls)
            assert status == 503
            assert throttle(headers) == reported
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("allowed", [True, False])
@with_trio
async def test_hold_off_of_admission_rejections_is_bounded(tmp_path: Path, allowed: bool) -> None:
    """All connections have work in hand: who comes then is refused, with no more than clients honour."""
    async with trio.open_nursery() as nursery:
        caches = await fleet(nursery, *(f"s-0000000{n}" for n in range(1, 7)), answer=lambda requested: None)
        settings = site(RetryAfter=allowed)
        async with (
            platform(tmp_path, caches, sockets=64, settings=settings) as router,
            trio.open_nursery() as clients,
        ):
            for n in range(25):
                clients.start_soon(functools.partial(router.ask, obj=f"{n:016x}", ttl=5000))
            while (
                len({requested.id for cache_stand_in in caches for requested in cache_stand_in.received}) < 25
            ):
                await trio.sleep(0.01)
            status, headers, _ = await router.ask()
            assert status == 503
            assert throttle(headers) == ("500" if allowed else None)
            clients.cancel_scope.cancel()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(("most", "reported"), [(0.5, True), (0.0, False)])
@pytest.mark.parametrize("waits", [0.0, 0.123, 0.5, 7.0, 1e6])
def test_rejection_of_a_stalled_queue(
    monkeypatch: pytest.MonkeyPatch, most: float, reported: bool, waits: float
) -> None:
    """Worded without the request's being read: the time to stay away is bounded, and whole milliseconds."""
    settings, _ = read_settings({**SETTINGS, **site(MaxRetryAfterS=most)})
    front = HttpFront(
        RequestEngine(EngineConfig(settings, 1, Limits()), lambda _: False), Limits(), Poller(1)
    )
    monkeypatch.setattr(front.queue.admission, "hold_off", lambda now: waits)
    head = front.queue.prepare_rejection(time.time()).partition(b"\r\n\r\n")[0].decode()
    lines = dict(line.split(": ") for line in head.split("\r\n")[1:])
    assert int(lines["Retry-After"]) >= 1
    assert ("X-Throttle-Ms" in lines) is reported
    assert not reported or min(1000 * waits, 500) <= int(lines["X-Throttle-Ms"]) <= 500


def test_prepared_rejections_follow_new_settings() -> None:
    """Clients that honour less from now on are told no longer time that was worded before."""
    limits = Limits()
    settings = [read_settings({**SETTINGS, **site(MaxRetryAfterS=most)})[0] for most in (0.04, 0.02)]
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
async def test_other_answers_carry_no_hold_off(tmp_path: Path, path: str, ttl: int, status: int) -> None:
    """A failure is not harmless to try again, and no header of a refusal may say so."""
    async with trio.open_nursery() as nursery:
        edge, origin = await fleet(nursery, EDGE, ORIGIN, answer=lambda requested: None)
        async with platform(tmp_path, [edge, origin], settings=site()) as router:
            found, headers, _ = await router.send(
                "GET", path, {"X-Txn": "1" * 16, "X-Ttl-Ms": str(ttl), "X-Shard": "17"}
            )
            assert found == status
            assert throttle(headers) is None
            assert "retry-after" not in headers
        nursery.cancel_scope.cancel()


@with_trio
async def test_idle_client_connection_is_kept_for_its_allowed_time(tmp_path: Path) -> None:
    """Clients end theirs after 4 s of rest: until then a next request is served on the same connection."""
    async with trio.open_nursery() as nursery:
        edge, origin = await fleet(nursery, EDGE, ORIGIN)
        async with (
            platform(tmp_path, [edge, origin], settings=site()) as router,
            await trio.open_tcp_stream("127.0.0.1", router.port) as client,
        ):
            for _ in range(2):
                await client.send_all(b"GET /-/healthy HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await client.receive_some(1000)).startswith(b"HTTP/1.1 200")
                await trio.sleep(4.05)
        nursery.cancel_scope.cancel()


# The router to caches


ATTEMPT = Fetch("q0", EDGE, 1.0, EDGE, keep=0)


@pytest.mark.parametrize(
    ("fetch", "fields"),
    [
        (ATTEMPT, {}),  # no fill, no rank, no words, any age that the class allows
        (replace(ATTEMPT, source=PARENT), {"miss": PARENT}),
        *[(replace(ATTEMPT, keep=rank), {"prio": str(rank)}) for rank in (1, 2, 3)],
        (replace(ATTEMPT, join=True), {"f": "coalesce"}),
        (replace(ATTEMPT, revalidate=True), {"f": "freshen"}),
        (replace(ATTEMPT, only_if_cached=True), {"f": "shallow"}),
        (
            replace(ATTEMPT, join=True, revalidate=True, only_if_cached=True),
            {"f": "coalesce+shallow+freshen"},
        ),
    ],
)
@pytest.mark.parametrize(
    ("age", "within"), [(0.0, {}), (1.2349, {"within": "1234"}), (1e-6, {"within": "1"})]
)
def test_fields_of_a_request(
    fetch: Fetch, fields: dict[str, str], age: float, within: dict[str, str]
) -> None:
    """What is not wished is left out; times are cut to milliseconds, never up, nor to what means none."""
    arrival = Arrival("q0", 1.0, "video-parts", "7f3a9c21e0b4d655", 3)
    line = encode_get("1" * 16, arrival, fetch, 0.9999, age, "", b"")
    command, name, reported, length = line.decode().split()
    assert (command, name, length) == ("GET", "1" * 16, "0")
    assert line.endswith(b" 0\r\n\r\n")
    usual = {"queue": "video-parts", "path": "7f3a9c21e0b4d655", "blk": "3", "budget": "999"}
    assert dict(pair.split("=") for pair in reported.split(",")) == usual | fields | within


def answered(text: str) -> CacheResponse:
    """One answer of a cache, by its fields."""
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
        ("use=inflight:7;:0.5", (("inflight", 7.0),)),  # a name that is none is skipped
        ("use=x0:7.5", (("x0", 7.5),)),  # beyond a share: what a value may mean is the module's to judge
    ],
)
def test_report_is_read_and_what_cannot_be_read_of_it_left_out(
    text: str, report: tuple[tuple[str, float], ...]
) -> None:
    """A value that is none costs neither the others nor the answer."""
    assert answered(text).report == report


@pytest.mark.parametrize(
    ("command", "cache_status"),
    [
        ("hit", CacheStatus.HIT),
        ("filled", CacheStatus.FILLED),
        ("via_origin", CacheStatus.FILLED_BY_ORIGIN),
        ("joined", CacheStatus.JOINED),
        ("stale", CacheStatus.STALE),
        ("src_refused", CacheStatus.SOURCE_REFUSED),
        ("src_broke", CacheStatus.SOURCE_FAILED),
        ("src_lacks", CacheStatus.SOURCE_LACKS),
        ("no_slot", CacheStatus.NO_PLACE),
        ("origin_failed", CacheStatus.ORIGIN_FAILED),
        ("never_heard_of", CacheStatus.UNKNOWN),
        ("", CacheStatus.UNKNOWN),
    ],
)
def test_detail(command: str, cache_status: CacheStatus) -> None:
    """Each word has the number that the simulator gives it; none, and one not known, tell nothing."""
    assert answered(f"detail={command}").cache_status is cache_status
    assert list(CacheStatus).index(cache_status) == cache_status.value


@pytest.mark.parametrize(
    ("text", "delay"),
    [("delay=120", 0.12), ("delay=0.5", 0.0005), ("entity=e1", 0.0)]
    + [(f"delay={bad}", 0.0) for bad in ("", "-3", "nan", "inf", "long")],
)
def test_delay(text: str, delay: float) -> None:
    """The time that a fill waited for its source, in seconds; untold, or none, is 0."""
    assert answered(text).delay == pytest.approx(delay)


@pytest.mark.parametrize(
    ("result", "reported"),
    [
        (AttemptResult.OK, {"cache_status": CacheStatus.FILLED_BY_ORIGIN, "delay": 0.07}),
        (AttemptResult.ERROR, {"cache_status": CacheStatus.SOURCE_FAILED, "delay": 0.09}),
        (AttemptResult.OK, {"report": (("inflight", 3.0), ("x0", 0.5))}),
        (AttemptResult.FULL, {"report": (("inflight", 9.0),)}),
    ],
)
def test_response_fields_reach_the_router(
    monkeypatch: pytest.MonkeyPatch, result: AttemptResult, reported: dict[str, Any]
) -> None:
    """Cache status, time waited for the source and load report, with every verdict."""
    settings, _ = read_settings({**SETTINGS, **site()})
    placed: list[Attempt] = []
    received: list[Outcome] = []

    def place(attempt: Attempt) -> bool:
        placed.append(attempt)
        return True

    def decide(event: Event, now: float) -> list[Action]:
        if isinstance(event, Outcome):
            received.append(event)
        return [Fetch("q0", EDGE, 1.0, ORIGIN)] if isinstance(event, Arrival) else []

    core = RequestEngine(EngineConfig(settings, 1, Limits()), place)
    monkeypatch.setattr(core.routers.current, "handle", decide)
    core.submit(PendingRequest(Arrival("q0", 1.0, "video-parts", "7f3a9c21e0b4d655"), time.time() + 1.0))
    core.report(placed[0], AttemptReply(result, 0.1, **reported))
    [outcome] = received
    assert (outcome.result, outcome.wait) == (result, 0.1)
    assert outcome.cache_status is reported.get("cache_status", CacheStatus.UNKNOWN)
    assert outcome.first_byte == reported.get("delay", 0.0)
    assert outcome.report == reported.get("report", ())


@pytest.mark.parametrize(
    "use", ["", "x0", "x0:nan", "x0:-1", "x0:7.5", "x0:1e999", ":;:;", "inflight:1;x0:0.5"]
)
@pytest.mark.parametrize("command", ["data", "full"])
@with_trio
async def test_odd_report_spoils_no_answer(tmp_path: Path, use: str, command: str) -> None:
    """Whatever the report says, what it came with counts, and its connection stays."""
    async with trio.open_nursery() as nursery:

        def notify(requested: ReceivedRequest) -> bytes:
            return data(requested, b"bytes" if command == "data" else b"", command, use=use)

        edge, origin = await fleet(nursery, EDGE, ORIGIN, answer=notify)
        async with platform(tmp_path, [edge, origin], settings=site()) as router:
            found = [(await router.ask(obj=f"{n:016x}"))[0] for n in range(3)]
            assert found == [200 if command == "data" else 503] * 3
            assert edge.links == 1
            assert edge.ended == 0
        nursery.cancel_scope.cancel()


@with_trio
async def test_report_that_comes_too_late_is_passed_over(tmp_path: Path) -> None:
    """An answer after its budget, with its report, serves nobody; the next is served on that connection."""
    async with trio.open_nursery() as nursery:
        edge, origin = await fleet(nursery, EDGE, ORIGIN, answer=lambda requested: None)
        async with platform(tmp_path, [edge, origin], settings=site(MaxAttempts=1)) as router:
            assert (await router.ask(ttl=300))[0] == 504
            await edge.say(1, data(edge.received[0], use="inflight:1;x0:0.5"))
            edge.answer = functools.partial(data, use="inflight:1;x0:0.5")
            assert (await router.ask())[::2] == (200, b"bytes")
            assert edge.links == 1
        nursery.cancel_scope.cancel()


@with_trio
async def test_no_more_streams_than_a_connection_carries(tmp_path: Path) -> None:
    """A third request on a connection for two goes by another; past all connections it goes nowhere."""
    async with trio.open_nursery() as nursery:
        edge, origin = await fleet(nursery, EDGE, ORIGIN, answer=lambda requested: None)
        async with (
            platform(tmp_path, [edge, origin], settings=site(StreamsPerConn=2)) as router,
            trio.open_nursery() as clients,
        ):
            for n in range(8):
                clients.start_soon(functools.partial(router.ask, obj=f"{n:016x}", ttl=5000))
            await edge.until(lambda: len(edge.received) >= 8)
            assert edge.most == 2
            assert edge.links == 4
            assert (await router.ask())[0] == 503
            assert len(edge.received) == 8
            clients.cancel_scope.cancel()
        nursery.cancel_scope.cancel()


@with_trio
async def test_answers_come_in_any_order(tmp_path: Path) -> None:
    """Four requests on one connection, answered last first: each client gets the bytes meant for it."""
    async with trio.open_nursery() as nursery:

        def hold(requested: ReceivedRequest) -> ScriptedReply:
            if len(edge.received) < 4:
                return None
            return b"".join(data(one, one.fields["path"].encode()) for one in reversed(edge.received))

        edge, origin = await fleet(nursery, EDGE, ORIGIN, answer=hold)
        found: dict[str, bytes] = {}
        async with platform(tmp_path, [edge, origin], settings=site()) as router:

            async def request(obj: str) -> None:
                found[obj] = (await router.ask(obj=obj))[2]

            async with trio.open_nursery() as clients:
                for n in range(4):
                    clients.start_soon(request, f"{n:016x}")
            assert len(found) == 4
            assert all(body == obj.encode() for obj, body in found.items())
            assert edge.links == 1
        nursery.cancel_scope.cancel()


class Tap:
    """A connection whose incoming bytes are kept."""

    def __init__(self, stream: trio.SocketStream, received: bytearray) -> None:
        self._stream, self._heard = stream, received
        self.send_all, self.aclose = stream.send_all, stream.aclose

    async def receive_some(self, most: int) -> bytes:
        """The next bytes."""
        got = await self._stream.receive_some(most)
        self._heard += got
        return bytes(got)


class Tapped(CacheStandIn):
    """A cache that keeps all that it is sent."""

    heard = bytearray()

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.heard = bytearray()
        await super()._serve(cast(trio.SocketStream, Tap(stream, self.heard)))


@pytest.mark.parametrize("allowed", [True, False])
@with_trio
async def test_probes_only_where_they_are_allowed(tmp_path: Path, allowed: bool) -> None:
    """A cache silent for long is probed; where probes are not allowed, none is sent."""
    async with trio.open_nursery() as nursery:
        edge = await Tapped(EDGE, answer=lambda requested: None).open(nursery)
        (origin,) = await fleet(nursery, ORIGIN)
        async with platform(tmp_path, [edge, origin], settings=site(MayProbe=allowed)) as router:
            assert (await router.ask(ttl=1800))[0] == 504
            assert (b"PING" in edge.heard) is allowed
            assert b"LOAD" not in edge.heard
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("cls", ["video-parts", "sheet-submit"])
@pytest.mark.parametrize("how", ["full", "down", "drained"])
@with_trio
async def test_only_edge_caches_receive_requests_without_bypass(tmp_path: Path, cls: str, how: str) -> None:
    """No cache takes anything: parent and origin hear nothing, and the request is refused."""
    async with trio.open_nursery() as nursery:
        log = await Log().open(nursery)
        edge, parent, origin = await fleet(nursery, EDGE, PARENT, ORIGIN)
        edge.answer = lambda requested: data(requested, b"", "full")
        async with platform(tmp_path, [edge, parent, origin], log, settings=site()) as router:
            if how == "down":
                await edge.close()
            if how == "drained":
                await log.tell(2, 2, record(edge, 1))
                await log.cut()
            status, _, _ = await router.ask(cls, body=b"signed" * (cls == "sheet-submit"), X_Txn_Key=KEY)
            assert status == 503
            assert not parent.received
            assert not origin.received
            assert bool(edge.received) is (how == "full")
        nursery.cancel_scope.cancel()


@with_trio
async def test_write_runs_at_the_origin_and_is_not_cached(tmp_path: Path) -> None:
    """It goes by a cache, the origin its source, at no rank."""
    async with trio.open_nursery() as nursery:
        edge, parent, origin = await fleet(nursery, EDGE, PARENT, ORIGIN)
        async with platform(tmp_path, [edge, parent, origin], settings=site()) as router:
            for n in range(4):
                assert (await router.ask("sheet-submit", f"{n:016x}", b"signed", X_Txn_Key=KEY))[0] == 200
            assert {requested.fields["miss"] for requested in edge.received} == {ORIGIN}
            assert not any("prio" in requested.fields for requested in edge.received)
        nursery.cancel_scope.cancel()


# The change log


@pytest.mark.parametrize("boot_ms", [0, 1_764_576_000_123])
def test_late_start(boot_ms: int) -> None:
    """The moment of a late start means the same in a frame and in the configuration, in seconds."""
    cache_stand_in = CacheStandIn(EDGE)
    cache_stand_in.port = 7001
    _, names = read_settings(SETTINGS)
    frame = read_frame(Frame(7, 2, record(cache_stand_in, 0)[:-8] + boot_ms.to_bytes(8, "big")), names, 0.0)
    item = {"seq": 7, "fleet": {"targets": [{**target(cache_stand_in), "boot_ms": boot_ms}]}}
    [known] = read_known({"results": [item]}, names, 0.0)
    assert frame == known
    assert isinstance(frame.event, Membership)
    assert frame.event.members[0].started_at == boot_ms / 1000


@pytest.mark.parametrize(("state", "name"), [(1, PARENT), (2, PARENT), (1, EDGE)])
@with_trio
async def test_draining_cache_receives_no_new_requests_after_250_ms(
    tmp_path: Path, state: int, name: str
) -> None:
    """A parent of the hub, or a cache, drains or is gone while requests keep coming."""
    async with trio.open_nursery() as nursery:
        log = await Log().open(nursery)
        named: list[tuple[float, str, str]] = []

        def answer(requested: ReceivedRequest, cache_stand_in: str) -> bytes:
            named.append((time.time(), cache_stand_in, requested.fields.get("miss", "")))
            return data(requested)

        caches = await fleet(nursery, EDGE, OTHER, NEXT_PARENT, PARENT, ORIGIN)
        for cache_stand_in in caches:
            cache_stand_in.answer = functools.partial(answer, cache_stand_in=cache_stand_in.id)
        async with platform(tmp_path, caches, log, settings=site()) as router:

            async def send_on(first: int, until: Callable[[], bool]) -> None:
                n = first
                while not until():
                    assert (await router.ask(obj=f"{n:016x}"))[0] == 200
                    n += 100

            def uses(since: float, until: float) -> int:
                return sum(
                    since <= at < until and name in (cache_stand_in, source)
                    for at, cache_stand_in, source in named
                )

            reported = math.inf
            async with trio.open_nursery() as clients:
                for first in range(4):
                    clients.start_soon(send_on, first, lambda: time.time() > reported + 1.0)
                while not uses(0.0, math.inf):
                    await trio.sleep(0.01)
                reported = time.time()
                await log.tell(
                    2,
                    2,
                    record(
                        next(cache_stand_in for cache_stand_in in caches if cache_stand_in.id == name), state
                    ),
                )
            assert uses(reported + 0.25, math.inf) == 0
            assert sum(at >= reported + 0.25 for at, _, _ in named) > 10
        nursery.cancel_scope.cancel()


@with_trio
async def test_group_purge_covers_caches_and_the_response_cache(tmp_path: Path) -> None:
    """Told by a frame: copies of that group must be younger than the purge, those of others stay."""
    async with trio.open_nursery() as nursery:
        log = await Log().open(nursery)
        edge, origin = await fleet(nursery, EDGE, ORIGIN)
        async with platform(tmp_path, [edge, origin], log, flow=1e6, settings=site()) as router:
            for group in ("17", "18"):
                assert (await router.ask(obj=f"{group:0>16}", X_Shard=group))[0] == 200
            before = len(edge.received)
            at = time.time()
            await log.tell(2, 4, (17).to_bytes(2, "big") + int(at * 1000).to_bytes(8, "big"))
            await log.cut()
            for group in ("18", "17"):
                assert (await router.ask(obj=f"{group:0>16}", X_Shard=group))[0] == 200
            [again] = edge.received[before:]  # of the other group we hold a copy that will do
            assert again.fields["path"].endswith("17")
            assert 0 < int(again.fields["within"]) <= 1000 * (time.time() - at)
        nursery.cancel_scope.cancel()
