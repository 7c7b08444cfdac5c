"""The core without any wire: one final answer for each request, whatever module and caches do."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import pytest
import trio

from brackenlane.core.engine import RequestEngine
from brackenlane.core.requests import Answer, Attempt, AttemptReply, Disposition, PendingRequest
from brackenlane.limits import Limits
from brackenlane.routing.actions import Action, Fetch, Reject
from brackenlane.routing.events import Arrival, AttemptResult, Event, Membership, MembershipKind
from brackenlane.routing.settings import Idempotency, RequestClass
from tests.router_harness import VIDEO, members, settings
from tests.stand_ins import with_trio

SUBMIT = RequestClass(
    "submit", latency_objective=0.8, time_limit=3.0, idempotency=Idempotency.NON_IDEMPOTENT, uncached=True
)


class Bench:
    """A core, and the attempts that it hands to its caches."""

    def __init__(self, place: Callable[[Attempt], bool] | None = None) -> None:
        self.attempts: list[Attempt] = []
        self.news = trio.Event()
        self.core = RequestEngine(
            settings(classes=(VIDEO, SUBMIT), max_attempts=3), 1, Limits(), place or self.take
        )

    def take(self, attempt: Attempt) -> bool:
        """An attempt arrives at its cache."""
        self.attempts.append(attempt)
        attempt.written = True
        self.news.set()
        return True

    async def run(self, test: Callable[[], Awaitable[None]]) -> None:
        """Run a test beside the core."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.core.run)
            self.core.post(Membership(MembershipKind.FULL, tuple(members())))
            await test()
            nursery.cancel_scope.cancel()

    async def request(self, cls: str = "video", left: float = 3.0) -> Answer:
        """One request."""
        arrival = Arrival(self.core.new_id(), left, cls, "clip")
        return await self.core.request(PendingRequest(arrival, time.time() + left))


@with_trio
async def test_one_answer() -> None:
    """The first good answer is the only one, and later outcomes change nothing."""
    bench = Bench()

    async def answer() -> None:
        await bench.news.wait()
        bench.core.report(bench.attempts[0], AttemptReply(AttemptResult.OK, 0.1, body=b"first"))
        bench.core.report(bench.attempts[0], AttemptReply(AttemptResult.OK, 0.1, body=b"second"))

    async def test() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(answer)
            assert (await bench.request()).body == b"first"
        assert bench.core.open_request_count == 0

    await bench.run(test)


@with_trio
async def test_never_placed() -> None:
    """Attempts that no box's mailbox takes end in a refusal, not in an endless round."""
    bench = Bench(lambda attempt: False)

    async def test() -> None:
        answer = await bench.request()
        assert answer.disposition is Disposition.REJECTED and answer.hold_off > 0

    await bench.run(test)


@pytest.mark.parametrize(
    ("result", "sent"),
    [
        (AttemptResult.TIMEOUT, 1),
        (AttemptResult.BROKEN, 1),
        (AttemptResult.ERROR, 1),
        (AttemptResult.CANCELLED, 1),
        (AttemptResult.UNREACHABLE, 2),
        (AttemptResult.MISS, 2),
        (AttemptResult.FULL, 2),
        (AttemptResult.NEVER_SENT, 2),
    ],
)
@with_trio
async def test_unsafe(monkeypatch: pytest.MonkeyPatch, result: AttemptResult, sent: int) -> None:
    """A module that sends again, then refuses, what may have run gets neither past the core."""
    bench = Bench()

    def careless(event: Event, now: float) -> list[Action]:
        fetch = Fetch("q0", "edge-0", 3.0, "origin")
        return [fetch] if isinstance(event, Arrival) else [fetch, Reject("q0")] if bench.attempts else []

    monkeypatch.setattr(bench.core._router, "handle", careless)

    async def answer() -> None:
        await bench.news.wait()
        bench.core.report(bench.attempts[0], AttemptReply(result, 0.1))

    async def test() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(answer)
            assert (await bench.request("submit")).disposition is Disposition.FAILED
        assert len(bench.attempts) == sent

    await bench.run(test)


@pytest.mark.parametrize(("fails", "late"), [(True, False), (False, True)])
@with_trio
async def test_bad_module(monkeypatch: pytest.MonkeyPatch, fails: bool, late: bool) -> None:
    """A module that fails, or forgets a request, costs that request alone."""
    bench = Bench()

    def broken(event: Event, now: float) -> list[Action]:
        if fails:
            raise RuntimeError("a fault in a decision")
        return []

    monkeypatch.setattr(bench.core._router, "handle", broken)

    async def test() -> None:
        answer = await bench.request(left=0.05)
        assert answer.disposition is Disposition.FAILED and answer.late is late

    await bench.run(test)
