"""Detection of unresponsive and slow caches from the results of the attempts of one router alone."""

from __future__ import annotations

from dataclasses import replace

import pytest

from brackenlane.limits import Limits
from brackenlane.routing.actions import Fetch
from brackenlane.routing.events import AttemptResult, MembershipKind
from brackenlane.routing.members import ServerState
from brackenlane.routing.settings import RequestClass
from tests.router_harness import RouterHarness, members, settings, single_action


def test_edges_are_bypassed_while_unreachable_and_return_in_slow_start() -> None:
    harness = RouterHarness()
    actions = harness.send_request("clip")
    for n in range(3):
        fetch = single_action(actions, Fetch)
        assert fetch.server.startswith("edge")
        actions = harness.finish_attempt(fetch, AttemptResult.UNREACHABLE, attempt=n, wait=0.4)
    bypass = single_action(actions, Fetch)
    assert bypass.server.startswith("parent")
    assert bypass.source == "origin"
    harness.now = 3.0
    harness.update_members([replace(m, started_at=2.0) for m in members() if m.server.startswith("edge")])
    for n in range(20):
        harness.now += 0.5
        harness.serve_request(f"o{n}")
    restarted = [s for s in harness.router.servers.values() if s.member.server.startswith("edge")]
    assert not any(s.ejected_until for s in restarted)
    assert all(s.slow_start_since == 2.0 for s in restarted)


def test_restarted_router_with_an_old_list_avoids_unresponsive_caches() -> None:
    harness = RouterHarness(members(edges=2))  # the list from before the restart
    for n in range(4):
        fetch = single_action(harness.send_request(f"o{n}"), Fetch)
        if fetch.server == "edge-0":
            harness.finish_attempt(fetch, AttemptResult.UNREACHABLE, wait=0.4)
    harness.update_members(
        [replace(m, state=ServerState.GONE) for m in members(edges=2) if m.server == "edge-0"]
    )
    assert {harness.serve_request(f"p{n}").server for n in range(50)} == {"edge-1"}
    harness.now += 5
    harness.update_members(members(edges=3), MembershipKind.FULL)
    assert len({harness.serve_request(f"q{n}").server for n in range(50)}) == 3


def test_cache_whose_answers_are_lost_is_ejected_and_the_others_are_not() -> None:
    harness = RouterHarness()
    for n in range(30):
        harness.now += 0.2
        harness.serve_request(f"o{n}")
    for n in range(20):
        if harness.router.servers["edge-0"].ejected_until:
            break
        fetch = single_action(harness.send_request(f"lost{n}"), Fetch)
        wait = 1.5 if fetch.server == "edge-0" else 0.4
        harness.now += wait
        harness.finish_attempt(
            fetch, AttemptResult.TIMEOUT if fetch.server == "edge-0" else AttemptResult.OK, wait=wait
        )
    assert harness.router.servers["edge-0"].ejected_until
    assert not harness.router.servers["edge-1"].ejected_until
    assert not harness.router.servers["edge-2"].ejected_until


def test_cache_with_many_unanswered_transfers_is_skipped() -> None:
    harness = RouterHarness(members(edges=2))
    seen = set()
    for n in range(60):
        harness.now += 0.01
        fetch = single_action(harness.send_request(f"o{n}"), Fetch)
        seen.add(fetch.server)
        if fetch.server == "edge-1":
            harness.finish_attempt(fetch)  # edge-0 has become slow: it has not answered yet
    late = [single_action(harness.send_request(f"p{n}"), Fetch) for n in range(15)]
    assert seen == {"edge-0", "edge-1"}
    assert {f.server for f in late} == {"edge-1"}


@pytest.mark.parametrize(("probe_price", "idle_seconds"), [(0.0, 0.2), (0.011, 0.2), (0.05, 0.8), (0.9, 3.0)])
def test_expensive_probes_are_sent_later(probe_price: float, idle_seconds: float) -> None:
    """Idle connections were probed after one latency objective: with longer waits, once for every request."""
    classes = (
        RequestClass("a", latency_objective=0.2, time_limit=6.0),
        RequestClass("b", latency_objective=0.5, time_limit=2.0),
    )
    reported = Limits().with_settings(settings(classes=classes, may_probe=True, probe_price=probe_price))
    assert reported.idle_probe_after == pytest.approx(idle_seconds)
    assert reported.idle_probe_after <= reported.unresponsive_timeout == 3.0
