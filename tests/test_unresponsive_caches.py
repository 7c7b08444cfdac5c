"""Silence of many, slow decay and lost answers: judged by what attempts bring, on own traffic alone."""

from __future__ import annotations

from dataclasses import replace

import pytest

from brackenlane.limits import Limits
from brackenlane.routing.actions import Fetch
from brackenlane.routing.events import AttemptResult, MembershipKind
from brackenlane.routing.members import ServerState
from brackenlane.routing.settings import RequestClass
from tests.router_harness import RouterHarness, members, only, settings


def test_all_caches_silent_at_once_are_passed_by_and_come_back_cold() -> None:
    harness = RouterHarness()
    actions = harness.ask("clip")
    for n in range(3):
        fetch = only(actions, Fetch)
        assert fetch.server.startswith("edge")
        actions = harness.end(fetch, AttemptResult.UNREACHABLE, attempt=n, wait=0.4)
    straight = only(actions, Fetch)
    assert straight.server.startswith("parent")
    assert straight.source == "origin"
    harness.now = 3.0
    harness.tell([replace(m, started_at=2.0) for m in members() if m.server.startswith("edge")])
    for n in range(20):
        harness.now += 0.5
        harness.serve(f"o{n}")
    back = [s for s in harness.router.servers.values() if s.member.server.startswith("edge")]
    assert not any(s.ejected_until for s in back)
    assert all(s.born == 2.0 for s in back)


def test_restarted_router_with_an_old_list_avoids_unresponsive_caches() -> None:
    harness = RouterHarness(members(edges=2))  # the remembered list
    for n in range(4):
        fetch = only(harness.ask(f"o{n}"), Fetch)
        if fetch.server == "edge-0":
            harness.end(fetch, AttemptResult.UNREACHABLE, wait=0.4)
    harness.tell([replace(m, state=ServerState.GONE) for m in members(edges=2) if m.server == "edge-0"])
    assert {harness.serve(f"p{n}").server for n in range(50)} == {"edge-1"}
    harness.now += 5
    harness.tell(members(edges=3), MembershipKind.FULL)
    assert len({harness.serve(f"q{n}").server for n in range(50)}) == 3


def test_a_cache_whose_answers_are_lost_is_out_while_the_others_serve() -> None:
    harness = RouterHarness()
    for n in range(30):
        harness.now += 0.2
        harness.serve(f"o{n}")
    for n in range(20):
        if harness.router.servers["edge-0"].ejected_until:
            break
        fetch = only(harness.ask(f"lost{n}"), Fetch)
        wait = 1.5 if fetch.server == "edge-0" else 0.4
        harness.now += wait
        harness.end(fetch, AttemptResult.TIMEOUT if fetch.server == "edge-0" else AttemptResult.OK, wait=wait)
    assert harness.router.servers["edge-0"].ejected_until
    assert not harness.router.servers["edge-1"].ejected_until
    assert not harness.router.servers["edge-2"].ejected_until


def test_a_cache_that_grows_slower_is_passed_over_by_its_crowd() -> None:
    harness = RouterHarness(members(edges=2))
    seen = set()
    for n in range(60):
        harness.now += 0.01
        fetch = only(harness.ask(f"o{n}"), Fetch)
        seen.add(fetch.server)
        if fetch.server == "edge-1":
            harness.end(fetch)  # edge-0 takes ever longer: nothing comes back yet
    late = [only(harness.ask(f"p{n}"), Fetch) for n in range(15)]
    assert seen == {"edge-0", "edge-1"}
    assert {f.server for f in late} == {"edge-1"}


@pytest.mark.parametrize(("price", "quiet"), [(0.0, 0.2), (0.011, 0.2), (0.05, 0.8), (0.9, 3.0)])
def test_a_dear_probe_waits_for_what_comes_for_nothing(price: float, quiet: float) -> None:
    """Each silent connection was asked after one aim: where waits are longer, a probe for every request."""
    classes = (
        RequestClass("a", latency_objective=0.2, time_limit=6.0),
        RequestClass("b", latency_objective=0.5, time_limit=2.0),
    )
    reported = Limits().with_settings(settings(classes=classes, may_probe=True, probe_price=price))
    assert reported.idle_probe_after == pytest.approx(quiet)
    assert reported.idle_probe_after <= reported.unresponsive_timeout == 3.0
