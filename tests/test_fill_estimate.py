"""Estimates at sites whose caches report no cache status; fast failures, waiting fills and overload."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from brackenlane.limits import Limits
from brackenlane.net.cache_codec import Parser
from brackenlane.routing.actions import Fetch
from brackenlane.routing.attempts import Request
from brackenlane.routing.events import Arrival, AttemptResult, CacheStatus, Outcome
from brackenlane.routing.fill_estimate import FillEstimate
from brackenlane.routing.latency import BASELINE_SMOOTHING_ANSWERS
from brackenlane.routing.members import Member, Role
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import CacheStatusReporting, SlowStart
from tests.router_harness import VIDEO, RouterHarness, actions_of, members

PARENTS = ("parent-0", "parent-1")


def outcome(
    fetch: Fetch, result: AttemptResult, wait: float, attempt: int = 0, hit_share: float = 0.2
) -> Outcome:
    """Return the outcome of an attempt with a load report and without a cache status."""
    final = result is AttemptResult.OK
    report = (("inflight", 2.0), ("x0", hit_share))
    return Outcome(fetch.request_id, attempt, fetch.server, result, wait, final, report=report)


def count_attempts_with_a_parent(
    harness: RouterHarness, requests: int, result: AttemptResult, wait: float
) -> int:
    """Request new objects, with the same result for all attempts; return how many attempts named a parent."""
    named = 0
    for n in range(requests):
        harness.now += 0.25
        fetches = actions_of(harness.send_request(f"{result.value}{n}"), Fetch)
        for attempt in range(8):
            if not fetches:
                break
            named += fetches[0].source in PARENTS
            fetches = actions_of(
                harness.router.handle(outcome(fetches[0], result, wait, attempt), harness.now), Fetch
            )
    return named


def test_parents_recover_where_no_answer_reports_a_fill() -> None:
    """A parent that was late for some time stayed ejected forever: only a reported fill ended an ejection."""
    harness = RouterHarness(status_reporting=CacheStatusReporting.SILENT)
    count_attempts_with_a_parent(harness, 40, AttemptResult.TIMEOUT, 3.0)
    parents = [harness.router.servers[name] for name in PARENTS]
    assert max(parent.window for parent in parents) <= 2.0
    count_attempts_with_a_parent(harness, 400, AttemptResult.OK, 0.4)
    assert not any(parent.ejected_until for parent in parents)
    assert max(parent.failure_score for parent in parents) < 0.1
    assert min(parent.window for parent in parents) > 1.5
    assert count_attempts_with_a_parent(harness, 40, AttemptResult.OK, 0.4) == 40


def test_fast_failure_halves_no_window() -> None:
    """A cache or parent that fails at once does not indicate a queue at the source."""
    harness = RouterHarness()
    before = {name: harness.router.servers[name].window for name in PARENTS}
    count_attempts_with_a_parent(harness, 10, AttemptResult.ERROR, 0.01)
    assert {name: harness.router.servers[name].window for name in PARENTS} == before
    count_attempts_with_a_parent(harness, 10, AttemptResult.ERROR, 3.0)
    assert min(harness.router.servers[name].window for name in PARENTS) < min(before.values())


@pytest.mark.parametrize("value", [-0.1, 1.5, float("nan"), float("inf")])
def test_reported_hit_share_out_of_range_is_ignored(value: float) -> None:
    fills = FillEstimate(CacheStatusReporting.SILENT, random.Random(1))
    cache = Server(Member("edge-0", "depot", Role.EDGE))
    fills.observe_report(cache, (("x0", 0.8), ("x7", 0.1)))
    fills.observe_report(cache, (("x0", value),))
    assert fills.fill_probability(cache) == pytest.approx(0.2)
    fills.observe_report(cache, ())
    assert fills.fill_probability(cache) == pytest.approx(0.2)


def test_miss_share_is_learned_from_lookups_without_reports() -> None:
    fills = FillEstimate(CacheStatusReporting.SILENT, random.Random(1))
    cache = Server(Member("edge-0", "depot", Role.EDGE))
    for n in range(400):
        fills.observe_lookup(cache, AttemptResult.MISS if n % 5 == 0 else AttemptResult.OK)
    assert fills.fill_probability(cache) == pytest.approx(0.2, abs=0.05)


def test_answers_are_attributed_to_fills_with_the_expected_probability() -> None:
    fills = FillEstimate(CacheStatusReporting.SILENT, random.Random(1))
    answer = Outcome("r", 0, "edge-0", AttemptResult.OK)
    assert 270 < sum(fills.was_filled(answer, 0.3) for _ in range(1000)) < 330
    assert fills.was_filled(answer, 1.0)
    reported = Outcome("r", 0, "edge-0", AttemptResult.OK, cache_status=CacheStatus.FILLED_BY_ORIGIN)
    assert fills.was_filled(reported, 0.0)


def test_load_report_is_read_from_an_answer() -> None:
    """Values that are not numbers are dropped, and the others are kept."""
    line = b"a1 data use=inflight:7;x0:0.61;x1:soon;util:nan;:3,entity=t 1\r\nx\r\n"
    (answer,) = Parser(Limits()).feed(line)
    assert answer.report == (("inflight", 7.0), ("x0", 0.61))


def test_waiting_fill_counts_less_at_its_cache() -> None:
    """Fills that waited for a full link counted as load of their caches, so new requests spilled over."""
    harness = RouterHarness(routers_by_location=(0, 0, 0, 1))
    assert harness.router.fills.waiting_share == 0.0
    for n in range(200):
        harness.now += 5.0
        harness.serve_request(f"hit{n}")
        (fetch,) = actions_of(harness.send_request(f"fill{n}"), Fetch)
        harness.finish_attempt(fetch, cache_status=CacheStatus.FILLED, wait=0.8)
    assert harness.router.fills.waiting_share == pytest.approx(0.5, abs=0.05)
    (fetch,) = actions_of(harness.send_request("last"), Fetch)
    in_flight = harness.router.servers[fetch.server].in_flight
    assert in_flight == pytest.approx(1 - 0.5 * 0.5, abs=0.1)
    harness.finish_attempt(fetch)
    assert harness.router.servers[fetch.server].in_flight == 0.0


def test_waiting_share_is_learned_from_certain_fills_only() -> None:
    fills = FillEstimate(CacheStatusReporting.SILENT, random.Random(1))
    for _ in range(100):
        fills.observe_pace(is_fill=True, fill_probability=0.5, work=0.1, wait=0.4)
    assert fills.waiting_share == 0.0
    for _ in range(100):
        fills.observe_pace(is_fill=True, fill_probability=1.0, work=0.1, wait=0.4)
    assert fills.waiting_share == pytest.approx(0.72, abs=0.05)


@pytest.mark.parametrize("fresh", [0.0, 8.0])
def test_objects_that_never_expire_use_few_parents(fresh: float) -> None:
    """Every additional parent that is used for an object fetches it from the origin once more."""
    cls = replace(VIDEO, fresh_for=fresh)
    harness = RouterHarness(classes=(cls,))
    sources = Counter(harness.serve_request("clip").source for _ in range(2000))
    most, *others = sorted((sources[name] for name in PARENTS), reverse=True)
    assert sum(others) / most == pytest.approx(1 / 2 if fresh else 1 / 8, abs=0.06)


def test_hub_distance_follows_the_ring_of_hubs_not_the_list_of_locations() -> None:
    """Distances were computed from list indexes, so that parents of another hub counted as local."""
    fleet = members(parents=("hub-a", "hub-c"))
    harness = RouterHarness(fleet, hub_of=(0, 0, 2, 0))
    assert [[s.member.zone for s in ring] for ring in harness.router.server_table.parents_by_distance] == [
        ["hub-a"],
        ["hub-c"],
    ]


def test_cache_with_a_clock_ahead_is_used_where_nothing_warms_up() -> None:
    harness = RouterHarness(members(edges=1), now=100.0, edge_slow_start=SlowStart())
    harness.update_members([replace(members(edges=1)[0], started_at=160.0)])
    (fetch,) = actions_of(harness.send_request(), Fetch)
    assert fetch.server == "edge-0"


def test_single_parent_that_times_out_is_replaced_by_the_origin() -> None:
    """A parent without peers to compare it with was never ejected, however often it failed."""
    harness = RouterHarness(members(parents=("hub-a",)), status_reporting=CacheStatusReporting.ALL)
    count_attempts_with_a_parent(harness, 12, AttemptResult.TIMEOUT, 3.0)
    assert harness.router.servers["parent-0"].ejected_until
    harness.router.servers["parent-0"].ejected_until = harness.now + 60  # no trial is due yet
    (fetch,) = actions_of(harness.send_request("another"), Fetch)
    assert fetch.source == "origin"


def test_constantly_high_latency_is_no_overload() -> None:
    """Objects that miss their objective even on an idle link kept a site in overload permanently."""
    slow = replace(VIDEO, latency_objective=0.3, objective_stretch=0.0)
    harness = RouterHarness(classes=(slow,))
    for n in range(100):
        harness.now += 5.0
        harness.finish_attempt(actions_of(harness.send_request(f"o{n}"), Fetch)[0], wait=0.45)
    assert not harness.router.latency.overloaded


BASELINE_ANSWERS = 3 * BASELINE_SMOOTHING_ANSWERS  # answers after which the baseline is learned


def test_rising_latency_is_overload_above_a_high_baseline_too() -> None:
    """Mean waits that rose from 0.6 to about 0.9 of the objective, many of them late, were not detected."""
    harness = RouterHarness()
    objective = VIDEO.latency_objective + VIDEO.objective_stretch * 0.4  # 1,600 KB at 4,000 KB/s
    waits = [0.6] * BASELINE_ANSWERS + [0.4, 1.3] * 30
    for number, wait in enumerate(waits):
        harness.now += 5.0
        harness.finish_attempt(
            actions_of(harness.send_request(f"o{number}"), Fetch)[0], wait=wait * objective
        )
        assert number >= BASELINE_ANSWERS or not harness.router.latency.overloaded
    assert harness.router.latency.overloaded


def test_latency_objective_never_exceeds_the_time_limit() -> None:
    request = Request(Arrival("r", 5.0, "video"), replace(VIDEO, time_limit=2.0), 0.0, 4.0)
    assert request.latency_objective == 2.0
