"""Routing without faults or overload: edge selection by hash, fill source by a capped geometric draw."""

from __future__ import annotations

import math
from collections import Counter
from hashlib import blake2b

import pytest

from brackenlane.routing.actions import Fetch, Reject, SetTimer
from brackenlane.routing.events import AttemptResult, CacheStatus, TimerFired
from brackenlane.routing.members import Member, Role, ServerState
from tests.router_harness import RouterHarness, actions_of, members, single_action

DRAWS = 4000


def draw(harness: RouterHarness, cls: str, obj: str = "clip", draws: int = DRAWS) -> Counter[str]:
    """Return how often each source is drawn for one object."""
    seen: Counter[str] = Counter()
    for _ in range(draws):
        harness.now += 1.0
        seen[harness.serve_request(obj, cls).source] += 1
    return seen


@pytest.mark.parametrize(
    ("parents", "shares"),
    [(1, [0.95]), (2, [0.95 / 3, 0.95 * 2 / 3]), (3, [0.95 / 7, 0.95 * 2 / 7, 0.95 * 4 / 7])],
)
def test_parent_shares_of_expiring_objects_are_geometric(parents: int, shares: list[float]) -> None:
    seen = draw(RouterHarness(members(parents=("hub-a",) * parents)), "tiles")
    assert seen.pop("origin") / DRAWS == pytest.approx(0.05, abs=0.012)
    assert sorted(n / DRAWS for n in seen.values()) == pytest.approx(shares, abs=0.03)


@pytest.mark.parametrize(("parents", "reached"), [(3, 3.0), (12, 3.3)])
def test_parents_used_per_object_do_not_grow_with_the_hub(parents: int, reached: float) -> None:
    """Each parent used fetches the object from the origin; 100 requests used to reach 7 of 12 parents."""
    harness = RouterHarness(members(parents=("hub-a",) * parents))
    seen = 0
    for n in range(20):
        harness.now += 1.0
        seen += len(
            {harness.serve_request(f"o{n}", cache_status=CacheStatus.FILLED).source for _ in range(100)}
        )
    assert seen / 20 <= reached


def test_origin_share_is_capped_and_zero_for_objects_without_fresh_time() -> None:
    seen = draw(RouterHarness(members(parents=("hub-a", "hub-a"))), "video")
    assert "origin" not in seen
    assert sorted(n / DRAWS for n in seen.values()) == pytest.approx([1 / 9, 8 / 9], abs=0.03)


@pytest.mark.parametrize("parents", [1, 2])
def test_origin_cap_applies_to_the_fills_of_all_classes(parents: int) -> None:
    """The cap is 1/20 of all fills; it was 1/40 if half of the fills were for unexpiring objects."""
    harness = RouterHarness(members(parents=("hub-a",) * parents))
    seen: Counter[str] = Counter()
    for number in range(DRAWS):
        seen += draw(harness, ("tiles", "video")[number % 2], f"o{number % 50}", draws=1)
    assert seen["origin"] / DRAWS == pytest.approx(0.05, abs=0.012)


def test_next_hub_then_origin_without_a_parent_in_this_hub() -> None:
    assert set(draw(RouterHarness(members(parents=("hub-b", "hub-b"))), "video", draws=300)) == {
        "parent-0",
        "parent-1",
    }
    assert set(draw(RouterHarness(members(parents=())), "video", draws=300)) == {"origin"}


def test_parent_order_depends_on_the_object() -> None:
    tops = {
        draw(RouterHarness(), "video", obj, 300).most_common(1)[0][0] for obj in ("a", "b", "c", "d", "e")
    }
    assert tops == {"parent-0", "parent-1"}


def test_edge_selection_is_stable_and_moves_only_lost_objects() -> None:
    harness = RouterHarness(members(edges=4))
    before = {f"o{n}": harness.serve_request(f"o{n}").server for n in range(200)}
    harness.now += 100
    harness.update_members([m for m in members(edges=4) if m.server == "edge-0"])
    gone = members(edges=4)[0]
    harness.update_members([type(gone)(gone.server, gone.zone, weight=gone.weight, state=ServerState.GONE)])
    after = {obj: harness.serve_request(obj).server for obj in before}
    assert {before[o] for o in before if before[o] != after[o]} == {"edge-0"}
    assert "edge-0" not in after.values()


def test_hot_object_is_spread_over_at_most_three_caches() -> None:
    harness = RouterHarness(members(edges=5))
    seen: Counter[str] = Counter()
    for _ in range(600):
        harness.now += 0.02
        seen[harness.serve_request("hot").server] += 1
    assert len(seen) == 3
    cold = RouterHarness(members(edges=5))
    seen.clear()
    for _ in range(50):
        cold.now += 20
        seen[cold.serve_request("cool").server] += 1
    assert len(seen) == 1


def test_requests_bypass_missing_edges_and_are_rejected_without_servers() -> None:
    assert single_action(RouterHarness(members(edges=0)).send_request(), Fetch).server.startswith("parent")
    actions = RouterHarness([]).send_request()
    assert not actions_of(actions, Fetch)
    assert single_action(actions, Reject)


def test_repeated_object_has_a_higher_retention_rank() -> None:
    harness = RouterHarness()
    assert harness.serve_request("clip").retention_rank == 1
    harness.now += 1
    assert harness.serve_request("clip").retention_rank == 2
    assert harness.serve_request("clip", part=1).retention_rank == 1


def test_edge_selection_in_a_large_fleet_matches_a_direct_ranking() -> None:
    fleet = [
        Member(f"10.0.0.{n}:80", "depot" if n % 20 == 0 else f"other-{n % 20}", weight=4.0 + n % 3)
        for n in range(80)
    ] + [Member(f"p{n}", "hub-a", Role.PARENT, weight=20.0) for n in range(16)]
    harness = RouterHarness(fleet)
    for n in range(200):

        def rank(member: Member, key: str = f"o{n % 100}/0") -> float:
            digest = blake2b(f"{key}/{member.server}".encode(), digest_size=8).digest()
            return member.weight / -math.log((int.from_bytes(digest, "big") + 1) / (2**64 + 1))

        harness.now += 20
        best = max((m for m in fleet if m.zone == "depot"), key=rank)
        assert harness.serve_request(f"o{n % 100}").server == best.server


def test_rounding_error_does_not_close_a_window_of_one() -> None:
    """The rounding error of summed fill probabilities must not close a source with a window of 1 forever."""
    harness = RouterHarness(members(parents=("hub-a",)))
    [parent] = harness.router.server_table.parents_by_distance[0]
    parent.window, parent.in_flight = 1.0, 1e-15
    assert single_action(harness.send_request(), Fetch).source == "parent-0"


@pytest.mark.parametrize(
    ("alone", "wait", "attributed", "halved"),
    [(True, 0.1, False, False), (False, 0.1, True, False), (False, 3.0, True, True), (True, 3.0, True, True)],
)
def test_attribution_of_errors_that_caches_cause_alone(
    alone: bool, wait: float, attributed: bool, halved: bool
) -> None:
    """Fast errors are not attributed to the source if caches fail without one; late ones halve its window."""
    harness = RouterHarness(members(parents=("hub-a",)))
    [parent] = harness.router.server_table.parents_by_distance[0]
    harness.router.outcome_attribution.cache_error_share = 0.3 if alone else 0.0
    for n in range(3):
        harness.now += 1.0
        harness.finish_attempt(
            single_action(harness.send_request(f"o{n}"), Fetch), AttemptResult.ERROR, wait=wait
        )
    assert (parent.failure_score > 0) is attributed
    assert (parent.window < 8.0) is halved


def test_error_share_of_caches_is_learned() -> None:
    """It is learned from attempts in which no source took part."""
    harness = RouterHarness(members(parents=(), origin=False))
    for n in range(30):
        for fetch in actions_of(harness.send_request(f"o{n}"), Fetch):
            harness.finish_attempt(fetch, AttemptResult.ERROR, wait=0.001)
    assert harness.router.outcome_attribution.cache_error_share > 0.5


def test_retry_after_a_fast_error_costs_little() -> None:
    """A retry after an immediate error is charged only a small part of a retry to the budget."""
    harness = RouterHarness()
    before = harness.router.retry_budget.available
    fetch = single_action(harness.send_request(), Fetch)
    assert actions_of(harness.finish_attempt(fetch, AttemptResult.ERROR, wait=0.004), Fetch)
    assert harness.router.retry_budget.available > before - 0.1


@pytest.mark.parametrize(
    ("result", "out"), [(AttemptResult.BROKEN, False), (AttemptResult.UNREACHABLE, True)]
)
def test_broken_connection_does_not_eject_a_cache_but_failed_connects_do(
    result: AttemptResult, out: bool
) -> None:
    """All attempts on one connection end together when it breaks, which counts as a single failure."""
    harness = RouterHarness(members(edges=2))
    open_there = [fetch for n in range(12) for fetch in actions_of(harness.send_request(f"o{n}"), Fetch)]
    for fetch in open_there:
        if fetch.server == "edge-0":
            harness.finish_attempt(fetch, result)
    assert bool(harness.router.servers["edge-0"].ejected_until) is out


def test_tables_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """With ever new objects and replaced caches, the tables must not grow without bound."""
    monkeypatch.setattr("brackenlane.routing.router.MAX_TABLE_ENTRIES", 50)
    harness = RouterHarness()
    for n in range(200):
        new = [
            Member(f"new-{n}", "depot", weight=8.0),
            Member(f"new-{n - 1}", "depot", state=ServerState.GONE),
        ]
        harness.update_members(new if n else new[:1])
        harness.serve_request(f"o{n}", size_kb=0.0)
    router = harness.router
    assert len(router.servers) == len(members()) + 1
    assert max(len(router.popularity), len(router.sizes.by_object), len(router.server_table.orders)) <= 51
    assert "o199" in router.sizes.by_object
    assert not router.attempts


def test_parent_with_mostly_late_fills_is_drawn_rarely_until_it_recovers() -> None:
    """Its timely fills end each ejection, so that each of 40 routers kept one fill in flight there."""
    harness = RouterHarness(members(parents=("hub-a", "hub-a")))

    def drawn(rounds: int, late: bool) -> float:
        seen = 0
        for n in range(rounds):
            harness.now += 5.0
            actions = harness.send_request(f"o{n}", "video")
            fetch = single_action(actions, Fetch)
            seen += fetch.source == "parent-0"
            if late and fetch.source == "parent-0" and n % 4:
                harness.now += 0.1
                for k in range(12):
                    harness.serve_request(f"hit{k}", "video")  # hits prove that the caches are alive
                timer = actions_of(actions, SetTimer)[-1]
                harness.now = max(harness.now, timer.at)
                harness.router.handle(TimerFired(timer.token), harness.now)
                harness.router.servers["parent-0"].ejected_until = 0.0  # as a timely fill would do
            harness.finish_attempt(fetch, cache_status=CacheStatus.FILLED)
        return seen / rounds

    assert drawn(200, late=False) > 0.35
    drawn(100, late=True)
    assert drawn(100, late=True) < 0.2
    drawn(300, late=False)
    assert drawn(200, late=False) > 0.35


def test_trial_of_an_ejected_only_parent_does_not_depend_on_its_timeliness() -> None:
    """If timeliness also reduced its trials, a trial was sent only once in hundreds of requests."""
    harness = RouterHarness(members(parents=("hub-a",)))
    parent = harness.router.servers["parent-0"]
    parent.timeliness, parent.ejected_until, parent.ejection_seconds = 0.01, 1.0, 1.0
    harness.now = 1.5
    assert single_action(harness.send_request("clip", "video"), Fetch).source == "parent-0"
