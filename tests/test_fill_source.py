"""The ordinary path: edge pick by hash, fill source by the capped geometric draw."""

from __future__ import annotations

import math
from collections import Counter
from hashlib import blake2b

import pytest

from brackenlane.routing.actions import Fetch, Reject, SetTimer
from brackenlane.routing.events import AttemptResult, CacheStatus, TimerFired
from brackenlane.routing.members import Member, Role, ServerState
from tests.router_harness import RouterHarness, every, members, only

DRAWS = 4000


def draw(harness: RouterHarness, cls: str, obj: str = "clip", draws: int = DRAWS) -> Counter[str]:
    """How often each source is drawn for one object."""
    seen: Counter[str] = Counter()
    for _ in range(draws):
        harness.now += 1.0
        seen[harness.serve(obj, cls).source] += 1
    return seen


@pytest.mark.parametrize(
    ("parents", "shares"),
    [(1, [0.95]), (2, [0.95 / 3, 0.95 * 2 / 3]), (3, [0.95 / 7, 0.95 * 2 / 7, 0.95 * 4 / 7])],
)
def test_ladder_with_a_fresh_time(parents: int, shares: list[float]) -> None:
    seen = draw(RouterHarness(members(parents=("hub-a",) * parents)), "tiles")
    assert seen.pop("origin") / DRAWS == pytest.approx(0.05, abs=0.012)
    assert sorted(n / DRAWS for n in seen.values()) == pytest.approx(shares, abs=0.03)


@pytest.mark.parametrize(("parents", "reached"), [(3, 3.0), (12, 3.3)])
def test_parents_that_an_object_reaches_do_not_grow_with_the_hub(parents: int, reached: float) -> None:
    """Each of them asks the origin for it: a hundred requests reached seven of twelve."""
    harness = RouterHarness(members(parents=("hub-a",) * parents))
    seen = 0
    for n in range(20):
        harness.now += 1.0
        seen += len({harness.serve(f"o{n}", cache_status=CacheStatus.FILLED).source for _ in range(100)})
    assert seen / 20 <= reached


def test_origin_share_is_capped_and_zero_for_objects_without_fresh_time() -> None:
    seen = draw(RouterHarness(members(parents=("hub-a", "hub-a"))), "video")
    assert "origin" not in seen
    assert sorted(n / DRAWS for n in seen.values()) == pytest.approx([1 / 9, 8 / 9], abs=0.03)


@pytest.mark.parametrize("parents", [1, 2])
def test_the_cap_counts_all_fills_not_those_of_classes_with_a_fresh_time_alone(parents: int) -> None:
    """One in twenty of all; where half have no fresh time, it was one in forty."""
    harness = RouterHarness(members(parents=("hub-a",) * parents))
    seen: Counter[str] = Counter()
    for number in range(DRAWS):
        seen += draw(harness, ("tiles", "video")[number % 2], f"o{number % 50}", draws=1)
    assert seen["origin"] / DRAWS == pytest.approx(0.05, abs=0.012)


def test_next_hub_then_origin_when_this_hub_has_no_parent() -> None:
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
    before = {f"o{n}": harness.serve(f"o{n}").server for n in range(200)}
    harness.now += 100
    harness.tell([m for m in members(edges=4) if m.server == "edge-0"])
    gone = members(edges=4)[0]
    harness.tell([type(gone)(gone.server, gone.zone, weight=gone.weight, state=ServerState.GONE)])
    after = {obj: harness.serve(obj).server for obj in before}
    assert {before[o] for o in before if before[o] != after[o]} == {"edge-0"}
    assert "edge-0" not in after.values()


def test_hot_object_is_spread_over_at_most_three_caches() -> None:
    harness = RouterHarness(members(edges=5))
    seen: Counter[str] = Counter()
    for _ in range(600):
        harness.now += 0.02
        seen[harness.serve("hot").server] += 1
    assert len(seen) == 3
    cold = RouterHarness(members(edges=5))
    seen.clear()
    for _ in range(50):
        cold.now += 20
        seen[cold.serve("cool").server] += 1
    assert len(seen) == 1


def test_no_edge_goes_straight_to_a_parent_and_nothing_at_all_is_refused() -> None:
    assert only(RouterHarness(members(edges=0)).ask(), Fetch).server.startswith("parent")
    actions = RouterHarness([]).ask()
    assert not every(actions, Fetch)
    assert only(actions, Reject)


def test_repeated_object_is_cached_at_a_higher_priority() -> None:
    harness = RouterHarness()
    assert harness.serve("clip").keep == 1
    harness.now += 1
    assert harness.serve("clip").keep == 2
    assert harness.serve("clip", part=1).keep == 1


def test_pick_in_a_large_fleet_is_that_of_the_plain_way_of_ranking() -> None:
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
        assert harness.serve(f"o{n % 100}").server == best.server


def test_window_opens_again() -> None:
    """What sums of parts leave in hand must not shut a source whose window is down to 1 for good."""
    harness = RouterHarness(members(parents=("hub-a",)))
    [parent] = harness.router.server_table.parents_by_distance[0]
    parent.window, parent.in_flight = 1.0, 1e-15
    assert only(harness.ask(), Fetch).source == "parent-0"


@pytest.mark.parametrize(
    ("alone", "wait", "attributed", "halved"),
    [(True, 0.1, False, False), (False, 0.1, True, False), (False, 3.0, True, True), (True, 3.0, True, True)],
)
def test_errors_of_caches_alone(alone: bool, wait: float, attributed: bool, halved: bool) -> None:
    """Quick errors that caches make without a source are not its fault; only late ones halve a window."""
    harness = RouterHarness(members(parents=("hub-a",)))
    [parent] = harness.router.server_table.parents_by_distance[0]
    harness.router.outcome_attribution.cache_error_share = 0.3 if alone else 0.0
    for n in range(3):
        harness.now += 1.0
        harness.end(only(harness.ask(f"o{n}"), Fetch), AttemptResult.ERROR, wait=wait)
    assert (parent.failure_score > 0) is attributed
    assert (parent.window < 8.0) is halved


def test_faults_are_learned() -> None:
    """The share of errors is learned from attempts in which no source took part."""
    harness = RouterHarness(members(parents=(), origin=False))
    for n in range(30):
        for fetch in every(harness.ask(f"o{n}"), Fetch):
            harness.end(fetch, AttemptResult.ERROR, wait=0.001)
    assert harness.router.outcome_attribution.cache_error_share > 0.5


def test_cheap_errors_are_repeated() -> None:
    """An error that came at once leaves the budget for further attempts nearly whole."""
    harness = RouterHarness()
    before = harness.router.retry_budget.available
    fetch = only(harness.ask(), Fetch)
    assert every(harness.end(fetch, AttemptResult.ERROR, wait=0.004), Fetch)
    assert harness.router.retry_budget.available > before - 0.1


@pytest.mark.parametrize(
    ("result", "out"), [(AttemptResult.BROKEN, False), (AttemptResult.UNREACHABLE, True)]
)
def test_one_connection_breaks(result: AttemptResult, out: bool) -> None:
    """All that was open on one connection ends at once: that alone must not take its cache out."""
    harness = RouterHarness(members(edges=2))
    open_there = [fetch for n in range(12) for fetch in every(harness.ask(f"o{n}"), Fetch)]
    for fetch in open_there:
        if fetch.server == "edge-0":
            harness.end(fetch, result)
    assert bool(harness.router.servers["edge-0"].ejected_until) is out


def test_nothing_adds_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """On a long day of new objects and replaced caches, neither is remembered for good."""
    monkeypatch.setattr("brackenlane.routing.router.MAX_TABLE_ENTRIES", 50)
    harness = RouterHarness()
    for n in range(200):
        new = [
            Member(f"new-{n}", "depot", weight=8.0),
            Member(f"new-{n - 1}", "depot", state=ServerState.GONE),
        ]
        harness.tell(new if n else new[:1])
        harness.serve(f"o{n}", size_kb=0.0)
    router = harness.router
    assert len(router.servers) == len(members()) + 1
    assert max(len(router.popularity), len(router.sizes.by_object), len(router.server_table.orders)) <= 51
    assert "o199" in router.sizes.by_object
    assert not router.attempts


def test_a_parent_whose_fills_mostly_come_late_is_drawn_seldom_and_comes_back() -> None:
    """Never out for long, since some fills come: of forty routers each left one fill in hand there."""
    harness = RouterHarness(members(parents=("hub-a", "hub-a")))

    def drawn(rounds: int, late: bool) -> float:
        seen = 0
        for n in range(rounds):
            harness.now += 5.0
            actions = harness.ask(f"o{n}", "video")
            fetch = only(actions, Fetch)
            seen += fetch.source == "parent-0"
            if late and fetch.source == "parent-0" and n % 4:
                harness.now += 0.1
                for k in range(12):
                    harness.serve(f"hit{k}", "video")  # the caches are alive
                timer = every(actions, SetTimer)[-1]
                harness.now = max(harness.now, timer.at)
                harness.router.handle(TimerFired(timer.token), harness.now)
                harness.router.servers["parent-0"].ejected_until = 0.0  # a fill that came puts it back
            harness.end(fetch, cache_status=CacheStatus.FILLED)
        return seen / rounds

    assert drawn(200, late=False) > 0.35
    drawn(100, late=True)
    assert drawn(100, late=True) < 0.2
    drawn(300, late=False)
    assert drawn(200, late=False) > 0.35


def test_a_lone_parent_that_was_out_is_tried_as_soon_as_it_is_due_however_late_its_fills_were() -> None:
    """A trial that had to win a draw for timely fills as well came once in hundreds of requests."""
    harness = RouterHarness(members(parents=("hub-a",)))
    parent = harness.router.servers["parent-0"]
    parent.timeliness, parent.ejected_until, parent.ejection_seconds = 0.01, 1.0, 1.0
    harness.now = 1.5
    assert only(harness.ask("clip", "video"), Fetch).source == "parent-0"
