"""The request engine without any wire: one final answer for each request, whatever router and caches do."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import pytest
import trio

from brackenlane.core.engine import RequestEngine
from brackenlane.core.engine_config import EngineConfig
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


class EngineHarness:
    """An engine, and the attempts that it places."""

    def __init__(self, place: Callable[[Attempt], bool] | None = None) -> None:
        self.attempts: list[Attempt] = []
        self.placed = trio.Event()
        self.engine = RequestEngine(
            EngineConfig(settings(classes=(VIDEO, SUBMIT), max_attempts=3), 1, Limits()), place or self.place
        )

    def place(self, attempt: Attempt) -> bool:
        """Accept an attempt as written to its cache."""
        self.attempts.append(attempt)
        attempt.written = True
        self.placed.set()
        return True

    async def run(self, test: Callable[[], Awaitable[None]]) -> None:
        """Run a test beside the engine."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.engine.run)
            self.engine.post(Membership(MembershipKind.FULL, tuple(members())))
            await test()
            nursery.cancel_scope.cancel()

    async def request(self, cls: str = "video", left: float = 3.0) -> Answer:
        """Submit a request and return its final answer."""
        arrival = Arrival(self.engine.new_id(), left, cls, "clip")
        return await self.engine.request(PendingRequest(arrival, time.time() + left))


@with_trio
async def test_first_good_answer_is_the_only_one() -> None:
    """Later outcomes change nothing."""
    harness = EngineHarness()

    async def answer() -> None:
        await harness.placed.wait()
        harness.engine.report(harness.attempts[0], AttemptReply(AttemptResult.OK, 0.1, body=b"first"))
        harness.engine.report(harness.attempts[0], AttemptReply(AttemptResult.OK, 0.1, body=b"second"))

    async def test() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(answer)
            assert (await harness.request()).body == b"first"
        assert harness.engine.open_request_count == 0

    await harness.run(test)


@with_trio
async def test_attempts_that_are_never_placed_end_in_a_rejection() -> None:
    """Attempts that no server's queue takes do not end in an endless loop."""
    harness = EngineHarness(lambda attempt: False)

    async def test() -> None:
        answer = await harness.request()
        assert answer.disposition is Disposition.REJECTED
        assert answer.hold_off > 0

    await harness.run(test)


@pytest.mark.parametrize(
    ("result", "sent_count"),
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
async def test_non_idempotent_request_that_may_have_run_is_neither_sent_again_nor_rejected(
    monkeypatch: pytest.MonkeyPatch, result: AttemptResult, sent_count: int
) -> None:
    """A router that sends it again, then rejects it, gets neither past the engine."""
    harness = EngineHarness()

    def careless(event: Event, now: float) -> list[Action]:
        fetch = Fetch("q0", "edge-0", 3.0, "origin")
        return [fetch] if isinstance(event, Arrival) else [fetch, Reject("q0")] if harness.attempts else []

    monkeypatch.setattr(harness.engine.routers.current, "handle", careless)

    async def answer() -> None:
        await harness.placed.wait()
        harness.engine.report(harness.attempts[0], AttemptReply(result, 0.1))

    async def test() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(answer)
            assert (await harness.request("submit")).disposition is Disposition.FAILED
        assert len(harness.attempts) == sent_count

    await harness.run(test)


@pytest.mark.parametrize(("fails", "late"), [(True, False), (False, True)])
@with_trio
async def test_router_that_fails_or_forgets_a_request_costs_that_request_alone(
    monkeypatch: pytest.MonkeyPatch, fails: bool, late: bool
) -> None:
    """The request is failed, at once or past its deadline."""
    harness = EngineHarness()

    def broken(event: Event, now: float) -> list[Action]:
        if fails:
            raise RuntimeError("a fault in a decision")
        return []

    monkeypatch.setattr(harness.engine.routers.current, "handle", broken)

    async def test() -> None:
        answer = await harness.request(left=0.05)
        assert answer.disposition is Disposition.FAILED
        assert answer.deadline_exceeded is late

    await harness.run(test)
