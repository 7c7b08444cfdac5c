"""Timers of ended requests take no memory until their time."""

from __future__ import annotations

from brackenlane.core.timers import MIN_CANCELLED_TO_REBUILD, Timers
from brackenlane.routing.events import ClientDisconnected
from tests.router_harness import RouterHarness


def test_cancelled_timers_far_ahead_do_not_pile_up() -> None:
    timers = Timers(lambda: 0.0)
    made: list[int] = []
    kept = [timers.call_at(60.0 + n, made.append, n) for n in range(100)]
    for _ in range(20):
        for timer in [timers.call_at(60.0, made.append, -1) for _ in range(1_000)]:
            timer.cancel()
            timer.cancel()
    assert len(timers._heap) <= len(kept) + 2 * MIN_CANCELLED_TO_REBUILD
    timers.call_due(200.0)
    assert made == list(range(100))


def test_timers_are_rebuilt_while_due_calls_are_made() -> None:
    timers = Timers(lambda: 0.0)
    made: list[int] = []
    others = [timers.call_at(2.0, made.append, 2) for _ in range(3 * MIN_CANCELLED_TO_REBUILD)]

    def cancel_others() -> None:
        for timer in others:
            timer.cancel()
        first.cancel()

    first = timers.call_at(1.0, cancel_others)
    timers.call_at(3.0, made.append, 3)
    timers.call_due(4.0)
    assert made == [3]


def test_router_forgets_the_timers_of_ended_requests() -> None:
    harness = RouterHarness()
    for number in range(500):
        harness.send_request(time_left=60.0)
        harness.router.handle(ClientDisconnected(f"r{number}"), harness.now)
    timers = harness.router._timers
    assert len(timers._targets) == len(timers._tokens) == 0
