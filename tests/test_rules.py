"""The five rules, each kept by one router alone."""

from __future__ import annotations

from dataclasses import replace

import pytest

from brackenlane.routing.actions import Fail, Fetch, Reject, SetTimer
from brackenlane.routing.events import AttemptResult, CacheStatus, Outcome, Purged, TimerFired
from brackenlane.routing.members import Member, ServerState
from brackenlane.routing.settings import Idempotency, RequestClass, Scope
from tests.router_harness import VIDEO, RouterHarness, every, members, only


def test_every_request_gets_one_final_answer_by_its_deadline() -> None:
    harness = RouterHarness()
    actions = harness.ask(time_left=1.0)
    fetch, timer = only(actions, Fetch), every(actions, SetTimer)[0]
    assert timer.at == pytest.approx(1.0)
    harness.now = timer.at
    assert (
        only(harness.router.handle(TimerFired(timer.token), harness.now), Fail).request_id == fetch.request_id
    )
    assert not every(harness.end(fetch, AttemptResult.TIMEOUT), Fetch)


def test_unknown_ids_and_empty_lists_do_no_harm() -> None:
    harness = RouterHarness([])
    assert harness.router.handle(Outcome("never", 0, "edge-0", AttemptResult.OK), 1.0) == []
    assert harness.router.handle(TimerFired(99), 1.0) == []
    assert harness.router.handle(Purged("never", 1, 0.1), 1.0) == []
    assert only(harness.ask(cls="unknown", size_kb=0.0), Reject)


def keyed(scope: Scope) -> RequestClass:
    return replace(VIDEO, idempotency=Idempotency.IDEMPOTENT_WITH_KEY, scope=scope, repeat_window=1.0)


@pytest.mark.parametrize("result", [AttemptResult.BROKEN, AttemptResult.TIMEOUT, AttemptResult.ERROR])
def test_unsafe_effect_is_never_sent_again_once_it_may_have_run(result: AttemptResult) -> None:
    harness = RouterHarness(classes=(replace(VIDEO, idempotency=Idempotency.NON_IDEMPOTENT),))
    actions = harness.end(only(harness.ask(), Fetch), result)
    assert only(actions, Fail)
    assert not every(actions, Fetch)
    assert not every(actions, Reject)


@pytest.mark.parametrize("result", [AttemptResult.BROKEN, AttemptResult.TIMEOUT, AttemptResult.ERROR])
def test_keyed_effect_without_its_key_is_never_sent_again_once_it_may_have_run(
    result: AttemptResult,
) -> None:
    """No cache can drop the repeat."""
    harness = RouterHarness(classes=(keyed(Scope.ALL),))
    assert only(harness.end(only(harness.ask(), Fetch), result), Fetch)
    actions = harness.end(only(harness.ask(has_idempotency_key=False), Fetch), result)
    assert only(actions, Fail)
    assert not every(actions, Fetch)
    assert not every(actions, Reject)


def test_unsafe_effect_may_go_elsewhere_when_it_never_ran() -> None:
    harness = RouterHarness(classes=(replace(VIDEO, idempotency=Idempotency.NON_IDEMPOTENT),))
    first = only(harness.ask(), Fetch)
    assert only(harness.end(first, AttemptResult.UNREACHABLE), Fetch).server != first.server


def test_keyed_write_is_retried_only_within_scope_and_window() -> None:
    fleet = [replace(m, cell=n) for n, m in enumerate(members())]
    harness = RouterHarness(fleet, classes=(keyed(Scope.CELL),))
    assert only(harness.end(only(harness.ask(), Fetch), AttemptResult.BROKEN), Fail)
    harness = RouterHarness(fleet, classes=(keyed(Scope.ZONE),))
    assert only(harness.end(only(harness.ask(), Fetch), AttemptResult.BROKEN), Fetch)
    harness = RouterHarness(fleet, classes=(keyed(Scope.ALL),))
    fetch = only(harness.ask(), Fetch)
    harness.now = 1.5
    assert only(harness.end(fetch, AttemptResult.BROKEN), Reject)


def test_draining_and_gone_servers_get_nothing_also_as_sources() -> None:
    harness = RouterHarness()
    harness.tell(
        [replace(m, state=ServerState.DRAINING) for m in members() if m.server in ("edge-0", "parent-0")]
    )
    for n in range(200):
        harness.now += 1
        fetch = harness.serve(f"o{n}", "tiles")
        assert fetch.server != "edge-0"
        assert fetch.source != "parent-0"


def test_purge_bounds_the_age_of_copies_by_object_and_by_group() -> None:
    harness = RouterHarness()
    harness.now = 10.0
    harness.router.handle(Purged("clip", 3, 0.5), harness.now)
    harness.now = 11.0
    assert 1.4 < harness.serve("clip").max_age < 1.5
    assert harness.serve("other", group=3).max_age == 0
    harness.router.handle(Purged("", 3, 0.0), harness.now)
    harness.now = 11.001
    assert 0 < harness.serve("other", group=3).max_age < 0.001
    harness.now = 40.0
    assert harness.serve("clip").max_age == 0


@pytest.mark.parametrize(("role", "hub_locations"), [("edge", 1), ("parent", 1), ("parent", 6)])
def test_cold_server_is_not_pushed_over_and_not_shut_for_its_ramp(role: str, hub_locations: int) -> None:
    """All routers together stay under the rule; half-way up the ramp the server has some work again."""
    pools = [f"depot-{n}" for n in range(hub_locations)] + ["elsewhere"]
    hubs = (0, 1, 2, *[0] * hub_locations, 1)
    harnesses = [
        RouterHarness(
            [replace(m, zone=cache if m.zone == "depot" else m.zone) for m in members()],
            seed=n,
            location=cache,
            locations=("hub-a", "hub-b", "hub-c", *pools),
            hub_of=hubs,
            routers_by_location=(0, 0, 0, *[5] * len(pools)),
            router_count=5 * len(pools),
        )
        for cache in pools
        for n in range(5)
    ]
    spent: list[tuple[float, float]] = []
    rule = (
        harnesses[0].router.settings.edge_cold if role == "edge" else harnesses[0].router.settings.parent_cold
    )
    cold = [replace(m, started_at=100.0) for m in members() if m.server == f"{role}-0"]
    weight = cold[0].weight
    for harness in harnesses:
        harness.now = 100.0
        harness.tell([replace(cold[0], zone=harness.router.settings.location)] if role == "edge" else cold)
    watched = harnesses if role == "parent" else harnesses[:5]  # each location has an edge cache of its own
    for n in range(500):
        for harness in watched:
            harness.now += 0.04
            fetch = harness.serve(f"o{n}", cache_status=CacheStatus.FILLED)
            if f"{role}-0" in (fetch.server, fetch.source):
                assert (
                    role == "edge" or harness.router.settings.location != "elsewhere"
                )  # its own hub's routers alone
                spent.append((harness.now, 0.4))
        now = watched[0].now
        share = rule.share + (1 - rule.share) * min(1.0, (now - 100.0) / rule.ramp)
        recent = sum(work for at, work in spent if at > now - rule.span)
        assert now >= 100 + rule.ramp or recent <= rule.factor * weight * share * rule.span
    assert sum(at < 100 + rule.ramp / 2 for at, _ in spent) > 10


def test_one_attempt_at_a_time_without_second_copies() -> None:
    harness = RouterHarness()
    fetch = only(harness.ask(), Fetch)
    again = only(harness.end(fetch, AttemptResult.TIMEOUT, wait=1.0), Fetch)
    assert again.server != fetch.server


def test_old_purges_are_forgotten() -> None:
    harness = RouterHarness()
    for n in range(2000):
        harness.now += 0.1
        harness.router.handle(Purged(f"o{n}", 1, 0.0), harness.now)
    assert len(harness.router.purges) < 200
    harness.router.handle(Purged("o1999", 1, 5.0), harness.now)  # an older purge told late changes nothing
    assert harness.serve("o1999").max_age < 0.01


@pytest.mark.parametrize("sharers", [9, 40])
def test_routers_sharing_a_cold_cache_keep_its_budget(sharers: int) -> None:
    """Widths learned from a guess at the others' crowds, in a jam of fills, were five times the link's."""
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
        harness.now, harness.router.slow_start_budget.narrow = 100.0, 40.0
    rule, spent = harnesses[0].router.settings.edge_cold, []
    for n in range(4000):
        harness = harnesses[n % sharers]
        harness.now = 100.0 + n / 200
        fetch = harness.serve(f"o{n}")
        if fetch.server == "edge-0":
            spent.append((harness.now, 0.4))
        share = rule.share + (1 - rule.share) * min(1.0, (harness.now - 100.0) / rule.ramp)
        recent = sum(work for at, work in spent if at > harness.now - rule.span)
        assert harness.now >= 100 + rule.ramp or recent <= rule.factor * 4.0 * share * rule.span
    assert spent
