"""The request engine without network: each request gets exactly one answer, whatever router and caches do."""

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
    """An engine and the attempts that it dispatches."""

    def __init__(self, dispatch: Callable[[Attempt], bool] | None = None) -> None:
        self.attempts: list[Attempt] = []
        self.dispatched = trio.Event()
        self.engine = RequestEngine(
            EngineConfig(settings(classes=(VIDEO, SUBMIT), max_attempts=3), 1, Limits()),
            dispatch or self.dispatch,
        )

    def dispatch(self, attempt: Attempt) -> bool:
        """Accept an attempt and mark it as written to its cache."""
        self.attempts.append(attempt)
        attempt.written = True
        self.dispatched.set()
        return True

    async def run(self, test: Callable[[], Awaitable[None]]) -> None:
        """Run a test concurrently with the engine."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.engine.run)
            self.engine.post(Membership(MembershipKind.FULL, tuple(members())))
            await test()
            nursery.cancel_scope.cancel()

    async def request(self, cls: str = "video", time_left: float = 3.0) -> Answer:
        """Submit a request and return its final answer."""
        arrival = Arrival(self.engine.new_request_id(), time_left, cls, "clip")
        return await self.engine.request(PendingRequest(arrival, time.time() + time_left))


@with_trio
async def test_first_good_answer_is_the_only_one() -> None:
    """Later replies to the same attempt are ignored."""
    harness = EngineHarness()

    async def report_reply() -> None:
        await harness.dispatched.wait()
        harness.engine.report(harness.attempts[0], AttemptReply(AttemptResult.OK, 0.1, body=b"first"))
        harness.engine.report(harness.attempts[0], AttemptReply(AttemptResult.OK, 0.1, body=b"second"))

    async def test() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(report_reply)
            assert (await harness.request()).body == b"first"
        assert harness.engine.open_request_count == 0

    await harness.run(test)


@with_trio
async def test_request_whose_attempts_cannot_be_dispatched_is_rejected() -> None:
    """If no connection pool accepts an attempt, the engine doesn't retry forever."""
    harness = EngineHarness(lambda attempt: False)

    async def test() -> None:
        answer = await harness.request()
        assert answer.disposition is Disposition.REJECTED
        assert answer.retry_after > 0

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
    """The engine prevents both, even if the router's actions ask for them."""
    harness = EngineHarness()

    def resend_then_reject(event: Event, now: float) -> list[Action]:
        fetch = Fetch("q0", "edge-0", 3.0, "origin")
        return [fetch] if isinstance(event, Arrival) else [fetch, Reject("q0")] if harness.attempts else []

    monkeypatch.setattr(harness.engine.routers.current, "handle", resend_then_reject)

    async def report_reply() -> None:
        await harness.dispatched.wait()
        harness.engine.report(harness.attempts[0], AttemptReply(result, 0.1))

    async def test() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(report_reply)
            assert (await harness.request("submit")).disposition is Disposition.FAILED
        assert len(harness.attempts) == sent_count

    await harness.run(test)


@pytest.mark.parametrize(("fails", "late"), [(True, False), (False, True)])
@with_trio
async def test_request_fails_if_the_router_raises_or_returns_no_actions(
    monkeypatch: pytest.MonkeyPatch, fails: bool, late: bool
) -> None:
    """The request fails immediately if the router raises, or after its deadline if no action is returned."""
    harness = EngineHarness()

    def handle_badly(event: Event, now: float) -> list[Action]:
        if fails:
            raise RuntimeError("simulated error in a decision")
        return []

    monkeypatch.setattr(harness.engine.routers.current, "handle", handle_badly)

    async def test() -> None:
        answer = await harness.request(time_left=0.05)
        assert answer.disposition is Disposition.FAILED
        assert answer.deadline_exceeded is late

    await harness.run(test)
