"""The five rules, each kept by one gateway alone."""

from __future__ import annotations

from dataclasses import replace

import pytest

from brackenlane.routing.actions import Fail, Fetch, Refuse, SetTimer
from brackenlane.routing.events import Note, Outcome, Purged, Verdict, Wake
from brackenlane.routing.members import Member, State
from brackenlane.routing.settings import Effect, RequestClass, Scope
from tests.router_harness import VIDEO, Rig, every, members, only


def test_every_request_gets_one_final_answer_by_its_deadline() -> None:
    rig = Rig()
    actions = rig.ask(time_left=1.0)
    fetch, timer = only(actions, Fetch), every(actions, SetTimer)[0]
    assert timer.at == pytest.approx(1.0)
    rig.now = timer.at
    assert only(rig.router.handle(Wake(timer.token), rig.now), Fail).request == fetch.request
    assert not every(rig.end(fetch, Verdict.TIMEOUT), Fetch)


def test_unknown_ids_and_empty_lists_do_no_harm() -> None:
    rig = Rig([])
    assert rig.router.handle(Outcome("never", 0, "edge-0", Verdict.OK), 1.0) == []
    assert rig.router.handle(Wake(99), 1.0) == []
    assert rig.router.handle(Purged("never", 1, 0.1), 1.0) == []
    assert only(rig.ask(cls="unknown", size_kb=0.0), Refuse)


def keyed(scope: Scope) -> RequestClass:
    return replace(VIDEO, effect=Effect.KEYED, scope=scope, repeat_window=1.0)


@pytest.mark.parametrize("verdict", [Verdict.BROKEN, Verdict.TIMEOUT, Verdict.ERROR])
def test_unsafe_effect_is_never_sent_again_once_it_may_have_run(verdict: Verdict) -> None:
    rig = Rig(classes=(replace(VIDEO, effect=Effect.UNSAFE),))
    actions = rig.end(only(rig.ask(), Fetch), verdict)
    assert only(actions, Fail) and not every(actions, Fetch) and not every(actions, Refuse)


@pytest.mark.parametrize("verdict", [Verdict.BROKEN, Verdict.TIMEOUT, Verdict.ERROR])
def test_keyed_effect_without_its_key_is_never_sent_again_once_it_may_have_run(verdict: Verdict) -> None:
    """No cache can drop the repeat."""
    rig = Rig(classes=(keyed(Scope.ALL),))
    assert only(rig.end(only(rig.ask(), Fetch), verdict), Fetch)
    actions = rig.end(only(rig.ask(has_key=False), Fetch), verdict)
    assert only(actions, Fail) and not every(actions, Fetch) and not every(actions, Refuse)


def test_unsafe_effect_may_go_elsewhere_when_it_never_ran() -> None:
    rig = Rig(classes=(replace(VIDEO, effect=Effect.UNSAFE),))
    first = only(rig.ask(), Fetch)
    assert only(rig.end(first, Verdict.UNREACHABLE), Fetch).server != first.server


def test_keyed_effect_stays_in_its_group_and_window() -> None:
    fleet = [replace(m, cell=n) for n, m in enumerate(members())]
    rig = Rig(fleet, classes=(keyed(Scope.CELL),))
    assert only(rig.end(only(rig.ask(), Fetch), Verdict.BROKEN), Fail)
    rig = Rig(fleet, classes=(keyed(Scope.ZONE),))
    assert only(rig.end(only(rig.ask(), Fetch), Verdict.BROKEN), Fetch)
    rig = Rig(fleet, classes=(keyed(Scope.ALL),))
    fetch = only(rig.ask(), Fetch)
    rig.now = 1.5
    assert only(rig.end(fetch, Verdict.BROKEN), Refuse)


def test_draining_and_gone_servers_get_nothing_also_as_sources() -> None:
    rig = Rig()
    rig.tell([replace(m, state=State.DRAINING) for m in members() if m.server in ("edge-0", "parent-0")])
    for n in range(200):
        rig.now += 1
        fetch = rig.serve(f"o{n}", "tiles")
        assert fetch.server != "edge-0" and fetch.source != "parent-0"


def test_purge_bounds_the_age_of_copies_by_object_and_by_group() -> None:
    rig = Rig()
    rig.now = 10.0
    rig.router.handle(Purged("clip", 3, 0.5), rig.now)
    rig.now = 11.0
    assert 1.4 < rig.serve("clip").max_age < 1.5
    assert rig.serve("other", group=3).max_age == 0
    rig.router.handle(Purged("", 3, 0.0), rig.now)
    rig.now = 11.001
    assert 0 < rig.serve("other", group=3).max_age < 0.001
    rig.now = 40.0
    assert rig.serve("clip").max_age == 0


@pytest.mark.parametrize(("role", "hub_locations"), [("edge", 1), ("parent", 1), ("parent", 6)])
def test_cold_server_is_not_pushed_over_and_not_shut_for_its_ramp(role: str, hub_locations: int) -> None:
    """All gateways together stay under the rule; half-way up the ramp the server has some work again."""
    depots = [f"depot-{n}" for n in range(hub_locations)] + ["elsewhere"]
    hubs = (0, 1, 2, *[0] * hub_locations, 1)
    rigs = [
        Rig(
            [replace(m, zone=depot if m.zone == "depot" else m.zone) for m in members()],
            seed=n,
            location=depot,
            locations=("hub-a", "hub-b", "hub-c", *depots),
            hub_of=hubs,
            seats=(0, 0, 0, *[5] * len(depots)),
            gateways=5 * len(depots),
        )
        for depot in depots
        for n in range(5)
    ]
    spent: list[tuple[float, float]] = []
    rule = rigs[0].router.s.edge_cold if role == "edge" else rigs[0].router.s.parent_cold
    cold = [replace(m, started_at=100.0) for m in members() if m.server == f"{role}-0"]
    weight = cold[0].weight
    for rig in rigs:
        rig.now = 100.0
        rig.tell([replace(cold[0], zone=rig.router.s.location)] if role == "edge" else cold)
    watched = rigs if role == "parent" else rigs[:5]  # each location has an edge cache of its own
    for n in range(500):
        for rig in watched:
            rig.now += 0.04
            fetch = rig.serve(f"o{n}", note=Note.FILLED)
            if f"{role}-0" in (fetch.server, fetch.source):
                assert role == "edge" or rig.router.s.location != "elsewhere"  # its own hub's gateways alone
                spent.append((rig.now, 0.4))
        now = watched[0].now
        share = rule.share + (1 - rule.share) * min(1.0, (now - 100.0) / rule.ramp)
        recent = sum(work for at, work in spent if at > now - rule.span)
        assert now >= 100 + rule.ramp or recent <= rule.factor * weight * share * rule.span
    assert sum(at < 100 + rule.ramp / 2 for at, _ in spent) > 10


def test_one_attempt_at_a_time_without_second_copies() -> None:
    rig = Rig()
    fetch = only(rig.ask(), Fetch)
    again = only(rig.end(fetch, Verdict.TIMEOUT, wait=1.0), Fetch)
    assert again.server != fetch.server


def test_purges_never_asked_for_again_are_let_go() -> None:
    rig = Rig()
    for n in range(2000):
        rig.now += 0.1
        rig.router.handle(Purged(f"o{n}", 1, 0.0), rig.now)
    assert len(rig.router.purges) < 200
    rig.router.handle(Purged("o1999", 1, 5.0), rig.now)  # an older purge told late changes nothing
    assert rig.serve("o1999").max_age < 0.01


@pytest.mark.parametrize("sharers", [9, 40])
def test_sharers_of_a_cold_cache_keep_its_budget_whatever_crowds_they_saw(sharers: int) -> None:
    """Widths learned from a guess at the others' crowds, in a jam of fills, were five times the link's."""
    cold = Member("edge-0", "depot", started_at=100.0)
    rigs = [
        Rig([*members()[1:], cold], seed=n, gateways=40, seats=(0, 0, 0, sharers), weights_told=False)
        for n in range(sharers)
    ]
    for rig in rigs:
        rig.now, rig.router.cold.narrow = 100.0, 40.0
    rule, spent = rigs[0].router.s.edge_cold, []
    for n in range(4000):
        rig = rigs[n % sharers]
        rig.now = 100.0 + n / 200
        fetch = rig.serve(f"o{n}")
        if fetch.server == "edge-0":
            spent.append((rig.now, 0.4))
        share = rule.share + (1 - rule.share) * min(1.0, (rig.now - 100.0) / rule.ramp)
        recent = sum(work for at, work in spent if at > rig.now - rule.span)
        assert rig.now >= 100 + rule.ramp or recent <= rule.factor * 4.0 * share * rule.span
    assert spent
