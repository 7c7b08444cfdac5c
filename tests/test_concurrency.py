"""The limit on concurrent transfers adapts to whether answers are late, whatever width is assumed."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackenlane.routing import membership
from brackenlane.routing.actions import Fetch, Reject
from brackenlane.routing.concurrency_limit import DECREASE_FACTOR, MIN_UTILIZATION, ConcurrencyLimit
from brackenlane.routing.events import AttemptResult
from tests.router_harness import RouterHarness, members, single_action
from tests.test_portal_settings import TRANSFER_RATE, BranchSimulation

WIDTH = 4.0
COOLDOWN = 1.0
IN_TIME, LATE = False, True


def observed(limit: ConcurrencyLimit, *answers: tuple[bool, float, float]) -> float:
    """Return the limit in transfers after some answers, each as (is late, utilization, time)."""
    for is_late, utilization, now in answers:
        limit.observe(is_late, utilization, WIDTH, now, COOLDOWN)
    return limit.factor * WIDTH


def test_slow_start_adds_a_transfer_for_each_timely_answer_with_the_limit_in_use() -> None:
    limit = ConcurrencyLimit(math.inf)
    assert observed(limit, (IN_TIME, MIN_UTILIZATION, 0.0), (IN_TIME, 1.0, 0.0)) == pytest.approx(WIDTH + 2)
    assert observed(limit, (IN_TIME, MIN_UTILIZATION / 2, 0.0)) == pytest.approx(
        WIDTH + 2
    )  # too little use to raise the limit


def test_late_answers_decrease_the_limit_once_per_cooldown() -> None:
    limit = ConcurrencyLimit(math.inf)
    late_answers = [(LATE, 1.0, n * COOLDOWN / 10) for n in range(10)]
    assert observed(limit, *late_answers) == pytest.approx(WIDTH * DECREASE_FACTOR)
    assert observed(limit, (LATE, 1.0, 1.5 * COOLDOWN)) == pytest.approx(WIDTH * DECREASE_FACTOR**2)


def test_increase_after_a_late_answer_is_additive() -> None:
    limit = ConcurrencyLimit(math.inf)
    lowered = observed(limit, (LATE, 1.0, 0.0))
    answers = [(IN_TIME, 1.0, 0.0)] * round(lowered)
    assert lowered + 0.8 < observed(limit, *answers) < lowered + 1


@given(
    st.lists(st.tuples(st.booleans(), st.floats(0, 3), st.floats(0, 100)), max_size=60), st.floats(0.1, 50)
)
def test_limit_stays_between_one_transfer_and_the_known_width(
    answers: list[tuple[bool, float, float]], width: float
) -> None:
    """If the link carries less than one transfer, the limit is the whole link."""
    limit = ConcurrencyLimit()
    for is_late, utilization, now in sorted(answers, key=lambda answer: answer[2]):
        limit.observe(is_late, utilization, width, now, COOLDOWN)
        assert min(1.0, width) <= limit.factor * width * (1 + 1e-9)
        assert limit.factor <= 1.0


@pytest.mark.parametrize("wait", [0.1, 9.0])
def test_weight_that_becomes_zero_with_attempts_in_flight_is_no_error(wait: float) -> None:
    """A new list may set a weight to 0 at any time; outstanding answers then caused a division by zero."""
    harness = RouterHarness()
    fetches = [single_action(harness.send_request(f"o{n}"), Fetch) for n in range(12)]
    harness.update_members([replace(member, weight=0.0) for member in members()])
    for fetch in fetches:
        harness.finish_attempt(fetch, wait=wait)
    assert single_action(harness.send_request(), Reject)


@pytest.mark.parametrize("assumed", [1 / 2, 1.0, 2.0, 4.0])
def test_wrongly_assumed_width_has_little_effect(monkeypatch: pytest.MonkeyPatch, assumed: float) -> None:
    """With half the real widths assumed, over half of the requests were rejected although links were idle."""
    monkeypatch.setattr(
        membership,
        "DEFAULT_WIDTH",
        {role: assumed * width for role, width in membership.DEFAULT_WIDTH.items()},
    )
    branch = BranchSimulation(weights_known=False)
    in_flight: dict[str, list[float]] = {}

    def end(fetch: Fetch) -> tuple[float, AttemptResult]:
        now, mine = branch.harness.now, in_flight.setdefault(fetch.server, [])
        mine[:] = [until for until in mine if until > now]
        wait = 0.38 * max(1.0, (len(mine) + 1) / 8.0)
        mine.append(now + wait)
        return wait, AttemptResult.OK

    branch.fill_result = end  # type: ignore[method-assign]
    branch.run(140.0, rate=35.0, cls="video", size_kb=0.38 * TRANSFER_RATE)
    assert branch.served_share(110, 135) > 0.95


@pytest.mark.parametrize("wait", [0.45, 2.0])
def test_late_answer_alone_on_its_link_does_not_decrease_the_limit(wait: float) -> None:
    """Objects that miss their objective even on an idle link would lower the limit until none is admitted."""
    branch = BranchSimulation()
    branch.fill_result = lambda fetch: (wait, AttemptResult.OK)  # type: ignore[method-assign]
    branch.run(160.0, rate=0.3, cls="page")
    assert all(server.concurrency.factor == 1.0 for server in branch.harness.router.servers.values())
