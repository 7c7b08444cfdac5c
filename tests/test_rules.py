"""The rules that each router keeps on its own: for deadlines, retries, drains, purges and cold servers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from brackenlane.routing.actions import Fail, Fetch, Reject, SetTimer
from brackenlane.routing.events import AttemptResult, CacheStatus, Outcome, Purged, TimerFired
from brackenlane.routing.members import Member, ServerState
from brackenlane.routing.settings import Idempotency, RequestClass, Scope
from tests.router_harness import VIDEO, RouterHarness, actions_of, members, single_action


def test_every_request_gets_one_final_answer_by_its_deadline() -> None:
    harness = RouterHarness()
    actions = harness.send_request(time_left=1.0)
    fetch, timer = single_action(actions, Fetch), actions_of(actions, SetTimer)[0]
    assert timer.at == pytest.approx(1.0)
    harness.now = timer.at
    assert (
        single_action(harness.router.handle(TimerFired(timer.token), harness.now), Fail).request_id
        == fetch.request_id
    )
    assert not actions_of(harness.finish_attempt(fetch, AttemptResult.TIMEOUT), Fetch)


def test_unknown_ids_unknown_classes_and_an_empty_list_cause_no_error() -> None:
    harness = RouterHarness([])
    assert harness.router.handle(Outcome("never", 0, "edge-0", AttemptResult.OK), 1.0) == []
    assert harness.router.handle(TimerFired(99), 1.0) == []
    assert harness.router.handle(Purged("never", 1, 0.1), 1.0) == []
    assert single_action(harness.send_request(cls="unknown", size_kb=0.0), Reject)


def keyed_class(scope: Scope) -> RequestClass:
    return replace(VIDEO, idempotency=Idempotency.IDEMPOTENT_WITH_KEY, scope=scope, repeat_window=1.0)


@pytest.mark.parametrize("result", [AttemptResult.BROKEN, AttemptResult.TIMEOUT, AttemptResult.ERROR])
def test_non_idempotent_request_is_not_retried_once_it_may_have_run(result: AttemptResult) -> None:
    harness = RouterHarness(classes=(replace(VIDEO, idempotency=Idempotency.NON_IDEMPOTENT),))
    actions = harness.finish_attempt(single_action(harness.send_request(), Fetch), result)
    assert single_action(actions, Fail)
    assert not actions_of(actions, Fetch)
    assert not actions_of(actions, Reject)


@pytest.mark.parametrize("result", [AttemptResult.BROKEN, AttemptResult.TIMEOUT, AttemptResult.ERROR])
def test_request_without_its_idempotency_key_is_not_retried_once_it_may_have_run(
    result: AttemptResult,
) -> None:
    """Without the key, no cache can recognize the retry as a duplicate."""
    harness = RouterHarness(classes=(keyed_class(Scope.ALL),))
    assert single_action(harness.finish_attempt(single_action(harness.send_request(), Fetch), result), Fetch)
    actions = harness.finish_attempt(
        single_action(harness.send_request(has_idempotency_key=False), Fetch), result
    )
    assert single_action(actions, Fail)
    assert not actions_of(actions, Fetch)
    assert not actions_of(actions, Reject)


def test_non_idempotent_request_is_retried_if_it_did_not_run() -> None:
    harness = RouterHarness(classes=(replace(VIDEO, idempotency=Idempotency.NON_IDEMPOTENT),))
    first = single_action(harness.send_request(), Fetch)
    assert (
        single_action(harness.finish_attempt(first, AttemptResult.UNREACHABLE), Fetch).server != first.server
    )


def test_keyed_write_is_retried_only_within_scope_and_window() -> None:
    fleet = [replace(m, cell=n) for n, m in enumerate(members())]
    harness = RouterHarness(fleet, classes=(keyed_class(Scope.CELL),))
    assert single_action(
        harness.finish_attempt(single_action(harness.send_request(), Fetch), AttemptResult.BROKEN), Fail
    )
    harness = RouterHarness(fleet, classes=(keyed_class(Scope.ZONE),))
    assert single_action(
        harness.finish_attempt(single_action(harness.send_request(), Fetch), AttemptResult.BROKEN), Fetch
    )
    harness = RouterHarness(fleet, classes=(keyed_class(Scope.ALL),))
    fetch = single_action(harness.send_request(), Fetch)
    harness.now = 1.5
    assert single_action(harness.finish_attempt(fetch, AttemptResult.BROKEN), Reject)


def test_draining_servers_get_no_requests_and_are_no_fill_sources() -> None:
    harness = RouterHarness()
    harness.update_members(
        [replace(m, state=ServerState.DRAINING) for m in members() if m.server in ("edge-0", "parent-0")]
    )
    for n in range(200):
        harness.now += 1
        fetch = harness.serve_request(f"o{n}", "tiles")
        assert fetch.server != "edge-0"
        assert fetch.source != "parent-0"


def test_purge_bounds_the_age_of_copies_by_object_and_by_group() -> None:
    harness = RouterHarness()
    harness.now = 10.0
    harness.router.handle(Purged("clip", 3, 0.5), harness.now)
    harness.now = 11.0
    assert 1.4 < harness.serve_request("clip").max_age < 1.5
    assert harness.serve_request("other", group=3).max_age == 0
    harness.router.handle(Purged("", 3, 0.0), harness.now)
    harness.now = 11.001
    assert 0 < harness.serve_request("other", group=3).max_age < 0.001
    harness.now = 40.0
    assert harness.serve_request("clip").max_age == 0


@pytest.mark.parametrize(("role", "hub_locations"), [("edge", 1), ("parent", 1), ("parent", 6)])
def test_cold_server_is_neither_overloaded_nor_idle_during_its_ramp(role: str, hub_locations: int) -> None:
    """The load of all routers together stays below the failure limit; half-way the server has some work."""
    locations = [f"depot-{n}" for n in range(hub_locations)] + ["elsewhere"]
    hub_of = (0, 1, 2, *[0] * hub_locations, 1)
    harnesses = [
        RouterHarness(
            [replace(m, zone=location if m.zone == "depot" else m.zone) for m in members()],
            seed=n,
            location=location,
            locations=("hub-a", "hub-b", "hub-c", *locations),
            hub_of=hub_of,
            routers_by_location=(0, 0, 0, *[5] * len(locations)),
            router_count=5 * len(locations),
        )
        for location in locations
        for n in range(5)
    ]
    work_sent: list[tuple[float, float]] = []
    slow_start = (
        harnesses[0].router.settings.edge_slow_start
        if role == "edge"
        else harnesses[0].router.settings.parent_slow_start
    )
    cold_members = [replace(m, started_at=100.0) for m in members() if m.server == f"{role}-0"]
    weight = cold_members[0].weight
    for harness in harnesses:
        harness.now = 100.0
        harness.update_members(
            [replace(cold_members[0], zone=harness.router.settings.location)]
            if role == "edge"
            else cold_members
        )
    senders = harnesses if role == "parent" else harnesses[:5]  # each location has an edge cache of its own
    for n in range(500):
        for harness in senders:
            harness.now += 0.04
            fetch = harness.serve_request(f"o{n}", cache_status=CacheStatus.FILLED)
            if f"{role}-0" in (fetch.server, fetch.source):
                # A parent serves only the routers of its own hub.
                assert role == "edge" or harness.router.settings.location != "elsewhere"
                work_sent.append((harness.now, 0.4))
        now = senders[0].now
        share = slow_start.share + (1 - slow_start.share) * min(1.0, (now - 100.0) / slow_start.ramp)
        recent_work = sum(work for at, work in work_sent if at > now - slow_start.overload_duration)
        assert (
            now >= 100 + slow_start.ramp
            or recent_work <= slow_start.overload_factor * weight * share * slow_start.overload_duration
        )
    assert sum(at < 100 + slow_start.ramp / 2 for at, _ in work_sent) > 10


def test_one_attempt_at_a_time_without_second_copies() -> None:
    harness = RouterHarness()
    fetch = single_action(harness.send_request(), Fetch)
    retried = single_action(harness.finish_attempt(fetch, AttemptResult.TIMEOUT, wait=1.0), Fetch)
    assert retried.server != fetch.server


def test_old_purges_are_dropped() -> None:
    harness = RouterHarness()
    for n in range(2000):
        harness.now += 0.1
        harness.router.handle(Purged(f"o{n}", 1, 0.0), harness.now)
    assert len(harness.router.purges) < 200
    # An older purge that arrives late has no effect.
    harness.router.handle(Purged("o1999", 1, 5.0), harness.now)
    assert harness.serve_request("o1999").max_age < 0.01


@pytest.mark.parametrize("sharers", [9, 40])
def test_routers_sharing_a_cold_cache_keep_its_budget(sharers: int) -> None:
    """A learned width of the cache does not raise the budget of routers that share it.

    The transfers of the other routers are only estimated, so while fills overload the link, the learned width
    was five times the width of the link.
    """
    cold = Member("edge-0", "depot", started_at=100.0)
    harnesses = [
        RouterHarness(
            [*members()[1:], cold],
            seed=n,
            router_count=40,
            routers_by_location=(0, 0, 0, sharers),
            weights_known=False,
        )
        for n in range(sharers)
    ]
    for harness in harnesses:
        harness.now, harness.router.slow_start_budget.min_learned_width = 100.0, 40.0
    slow_start, work_sent = harnesses[0].router.settings.edge_slow_start, []
    for n in range(4000):
        harness = harnesses[n % sharers]
        harness.now = 100.0 + n / 200
        fetch = harness.serve_request(f"o{n}")
        if fetch.server == "edge-0":
            work_sent.append((harness.now, 0.4))
        share = slow_start.share + (1 - slow_start.share) * min(1.0, (harness.now - 100.0) / slow_start.ramp)
        recent_work = sum(work for at, work in work_sent if at > harness.now - slow_start.overload_duration)
        assert (
            harness.now >= 100 + slow_start.ramp
            or recent_work <= slow_start.overload_factor * 4.0 * share * slow_start.overload_duration
        )
    assert work_sent
