"""The cold start's decisions: tables, properties, and a thousand routers in virtual time."""

from __future__ import annotations

import random
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackenlane.coldstart.pacing import (
    MAX_WINDOW_FACTOR,
    Capacity,
    StorePacing,
    hashed_offset,
    jittered_backoff,
    jittered_lifetime,
)
from brackenlane.coldstart.phases import StartupEvent, StartupPhase, StartupPhases
from brackenlane.coldstart.stream_position import (
    STREAM_START,
    StreamPosition,
    is_log_continuous,
    missing_orders,
)
from brackenlane.discovery import snapshot_codec
from brackenlane.discovery.merge import MembershipMerge
from brackenlane.discovery.records import OperatorOrder, Policy, RememberedMembers
from brackenlane.discovery.registry import Registry
from brackenlane.lab.cluster.virtual import SimulatedFleet, Store, peak
from brackenlane.limits import Limits
from brackenlane.routing.actions import Fetch
from brackenlane.routing.events import CacheStatus, Purged
from brackenlane.routing.members import Member, Role
from brackenlane.routing.settings import SlowStart
from brackenlane.routing.slow_start import MARGIN, capacity_by_age, sharers_by_turn
from brackenlane.store.shared_store import SharedStore, StoreSettings
from tests.router_harness import RouterHarness, every

CAPACITY = Capacity(1000, request_rate=500.0, load_rate=20.0)


def eager(name: str, capacity: Capacity, chance: random.Random) -> StorePacing:
    """The fault that the checks must find: no place in a window, and always the same wait after a failure."""
    pace = StorePacing(name, capacity, chance)
    pace.initial_delay = lambda: 0.0  # type: ignore[method-assign]
    pace.record_failure = lambda is_overloaded: 0.3  # type: ignore[method-assign]
    pace.windows_ahead = lambda ticket: 0  # type: ignore[method-assign]
    pace.ticket_delay = lambda window, ticket, now: 0.0  # type: ignore[method-assign]
    return pace


@pytest.mark.parametrize("seed", [1, 2])
def test_a_thousand_at_once(seed: int) -> None:
    """All start in one moment with a last list: never more than is stated, all current in twice the least."""
    fleet = SimulatedFleet(1000, store := Store(CAPACITY), seed)
    fleet.run(60.0)
    assert len(fleet.current) == 1000
    assert not store.refused
    assert peak(store.asked) <= 1.1 * CAPACITY.request_rate
    assert max(fleet.current.values()) <= 2 * 1000 / CAPACITY.request_rate
    assert peak(store.asked, 0.05) <= 3 * 0.05 * CAPACITY.request_rate


@pytest.mark.parametrize("seed", [1, 2])
def test_complete_lists_are_loaded_by_ticket(seed: int) -> None:
    """A tenth has no last list: whole lists keep to what is stated, and one alone waits for nobody."""
    fleet = SimulatedFleet(1000, store := Store(CAPACITY), seed, remembers=0.9)
    fleet.run(60.0)
    assert len(fleet.current) == 1000
    assert peak(store.loaded) <= 2.1 * CAPACITY.load_rate  # two seconds' tickets may be used side by side
    least = len(store.loaded) / CAPACITY.load_rate
    assert max(fleet.current.values()) <= 2 * least + 1000 / CAPACITY.request_rate
    alone = SimulatedFleet(1, Store(CAPACITY), seed, remembers=0.0)
    alone.run(60.0)
    assert alone.current[0] < 1000 / CAPACITY.request_rate + 0.2


def test_away_for_a_minute() -> None:
    """A store that was away for a minute meets no second wave as it comes back; all are current soon."""
    store = Store(CAPACITY, away=lambda now: 20.0 <= now < 80.0)
    fleet = SimulatedFleet(1000, store, 1)
    fleet.run(20.0)
    fleet.lose()
    fleet.run(110.0)
    back = [at for at in store.asked if at >= 80.0]
    assert len(fleet.current) == 1000
    assert peak(back) <= CAPACITY.request_rate
    assert peak([at for at in store.asked if 40.0 <= at < 80.0]) <= CAPACITY.request_rate
    assert max(fleet.current.values()) < 80.0 + 6 * CAPACITY.window


@pytest.mark.parametrize("share", [0.5, 0.9])
def test_refused_in_part(share: float) -> None:
    """Half, or nine in ten, are refused for 30 s: tries stay at what is stated, and all are current after."""
    chance = random.Random(7)
    store = Store(CAPACITY, refuses=lambda now: now < 30.0 and chance.random() < share)
    fleet = SimulatedFleet(1000, store, 3)
    fleet.run(90.0)
    assert len(fleet.current) == 1000
    assert peak(store.asked) <= 1.1 * CAPACITY.request_rate
    assert max(fleet.current.values()) < 60.0


def test_in_two_halves() -> None:
    """Power comes back in two halves 5 s apart: the second meets a place of its own as the first did."""
    fleet = SimulatedFleet(1000, store := Store(CAPACITY), 1, starts=lambda n: 5.0 * (n % 2))
    fleet.run(60.0)
    assert len(fleet.current) == 1000
    assert not store.refused
    assert peak(store.asked) <= CAPACITY.request_rate


def test_the_planted_wave_is_found() -> None:
    """Without places, jitter and tickets the same checks see the wave."""
    fleet = SimulatedFleet(1000, store := Store(CAPACITY), 1, remembers=0.9, pace=eager)
    fleet.run(60.0)
    assert peak(store.asked) > 1.1 * CAPACITY.request_rate
    assert store.refused > 100
    assert peak(store.loaded) > 2.1 * CAPACITY.load_rate


def test_places_are_even() -> None:
    """Names of one pattern are spread evenly, the same each time, and differently for another thing."""
    found = sorted(hashed_offset(f"branch-{n}", "ask") for n in range(1000))
    assert all(abs(at - n / 1000) < 0.06 for n, at in enumerate(found))
    assert (
        hashed_offset("branch-1", "ask")
        == hashed_offset("branch-1", "ask")
        != hashed_offset("branch-1", "srv")
    )


@given(st.integers(1, 50), st.integers(0, 2**32))
def test_waits_are_bounded(failures: int, seed: int) -> None:
    """However often it failed: a wait from 0 to its bound, windows from one to their longest."""
    pace = StorePacing("a", CAPACITY, random.Random(seed))
    for _ in range(failures):
        assert (
            pace.window <= pace.record_failure(failures % 2 == 0) <= 5 * MAX_WINDOW_FACTOR * CAPACITY.window
        )
        assert 1 <= pace.window_factor <= MAX_WINDOW_FACTOR
    pace.record_answer(0.01, 0.15)
    assert pace.failures == 0
    for _ in range(20):
        pace.record_answer(0.01, 0.15)
    assert pace.window_factor == 1.0
    assert 0 <= jittered_backoff(failures, 0.3, 5.0, random.Random(seed)) <= 5.0
    assert 9.0 <= jittered_lifetime(10.0, random.Random(seed)) <= 10.0


@pytest.mark.parametrize(
    ("loads", "ticket", "ahead", "turn"),
    [
        (20.0, 1, 0, 0.0),
        (20.0, 20, 0, 0.95),
        (20.0, 21, 1, None),
        (20.0, 41, 2, None),
        (0.1, 1, 0, 0.0),
        (0.1, 2, 1, None),
        (1.5, 1, 0, 0.0),
        (1.5, 3, 2, None),
    ],
)
def test_tickets(loads: float, ticket: int, ahead: int, turn: float | None) -> None:
    """The first of a span load in it, one after the other; the others draw where it is their turn."""
    pace = StorePacing("a", Capacity(9, load_rate=loads), random.Random(1))
    assert pace.windows_ahead(ticket) == ahead
    now = 1000.0
    if turn is not None:
        assert pace.ticket_delay(pace.ticket_window(now), ticket, now) == pytest.approx(turn)


def test_a_hint_of_the_store() -> None:
    """What the store says it bears holds; what can't be obeyed is refused."""
    assert CAPACITY.with_rates(100.0, 2.0).window == 10.0
    for asks, loads in ((0.0, 1.0), (1.0, -1.0), (float("nan"), 1.0), (1.0, float("inf"))):
        with pytest.raises(ValueError):
            CAPACITY.with_rates(asks, loads)


def test_reading() -> None:
    """A place continues only while its very entry is there; orders that the store lacks are found."""
    ours, later = StreamPosition(5, 1), StreamPosition(6, 0)
    assert is_log_continuous(ours, {ours, later})
    assert not is_log_continuous(ours, {later})
    assert not is_log_continuous(STREAM_START, {STREAM_START})
    assert not is_log_continuous(ours, set())
    assert str(StreamPosition(5000, 1).earlier(1.5)) == "3500-0"
    assert str(StreamPosition(5000, 1).earlier(9.0)) == "0-0"
    assert str(StreamPosition.parse("5-1")) == "5-1"
    assert StreamPosition.parse("5-1") == ours
    assert ours < StreamPosition(5, 2) < StreamPosition(5, 10) < later
    for text in ("", "5", "5-", "-1", "a-1", "5-1-1", "²-1", "1" * 50 + "-1"):
        with pytest.raises(ValueError):
            StreamPosition.parse(text)
    old, new = OperatorOrder(True, 1.0, "a"), OperatorOrder(False, 2.0, "b")
    assert missing_orders({"x": new, "y": old, "z": old}, {"x": old, "y": new}, OperatorOrder.beats) == [
        "x",
        "z",
    ]


@given(st.lists(st.sampled_from(list(StartupEvent)), max_size=30))
def test_phases(events: list[StartupEvent]) -> None:
    """Whatever comes in whatever order: heard only after all was read, and a loss never looks current."""
    phases, now = StartupPhases(0.0), 0.0
    for event in events:
        now += 1
        old = phases.phase
        new = phases.step(event, now)
        assert (new is StartupPhase.CURRENT) == (
            event is StartupEvent.CAUGHT_UP
            or (
                old is StartupPhase.CURRENT
                and event in (StartupEvent.SNAPSHOT_RESTORED, StartupEvent.LOAD_STARTED)
            )
        )
        assert (phases.since == now) == (new is not old)
        if event is StartupEvent.STORE_LOST:
            assert new not in (StartupPhase.LOADING, StartupPhase.CURRENT)
    assert phases.is_store_read == (StartupEvent.CAUGHT_UP in events)


def test_a_broken_load_falls_back() -> None:
    """What a load began from is what is served when it breaks off, a last list taken beside it included."""
    phases = StartupPhases(0.0)
    assert phases.step(StartupEvent.LOAD_STARTED, 1.0) is StartupPhase.LOADING
    phases.step(StartupEvent.SNAPSHOT_RESTORED, 2.0)
    assert phases.step(StartupEvent.STORE_LOST, 3.0) is StartupPhase.RECALLED


@given(st.floats(0, 50), st.floats(0.01, 2), st.integers(1, 300), st.text("abc-0123", min_size=1, max_size=8))
def test_turn_order(space: float, unit: float, mates: int, server: str) -> None:
    """Of one location exactly so many share as the burst pays for, whose shares are never more than it."""
    sharers = [sharers_by_turn(space, unit, peer, mates, server) for peer in range(mates)]
    few = max(sharers)
    assert 1 <= few <= mates
    assert set(sharers) <= {0, few}
    assert sum(n > 0 for n in sharers) == few
    assert few == 1 or few == mates or few * unit <= space * (1 + 1e-9)
    later = [sharers_by_turn(2 * space, unit, peer, mates, server) for peer in range(mates)]
    assert all(late for late, early_ in zip(later, sharers, strict=True) if early_)  # nobody drops out again


def test_turn_order_reaches_all_routers() -> None:
    """Over sixty caches each of two hundred has its turn at some, and none at far more than its part."""
    turns = [
        sum(sharers_by_turn(1.0, 0.1, peer, 200, f"box-{n}") > 0 for n in range(60)) for peer in range(200)
    ]
    assert sum(turns) == 60 * 10
    assert max(turns) <= 12
    assert sum(t > 0 for t in turns) > 150


@pytest.mark.parametrize("peer", [-1, 0])
def test_all_cold_at_once(peer: int) -> None:
    """Forty routers, ten caches, all just started: with places known, caches are used at once."""
    fleet = [Member(f"edge-{n}", "depot", weight=2.0, started_at=100.0) for n in range(10)]
    fleet += [Member("origin", "hub-a", Role.ORIGIN)]
    harnesses = [
        RouterHarness(
            fleet,
            n,
            100.0,
            router_count=40,
            routers_by_location=(0, 0, 0, 40),
            router_index=n,
            peer_index=n if peer == 0 else -1,
        )
        for n in range(40)
    ]
    chance, served, per_cache = random.Random(1), 0, dict.fromkeys((m.server for m in fleet), 0)
    for tick in range(1200):  # 3 s
        harness = chance.choice(harnesses)
        harness.now = 100.0 + tick / 400
        for fetch in every(harness.ask(f"o{tick}", "tiles", time_left=2.5, size_kb=400.0), Fetch):
            per_cache[fetch.server] += 1
            served += fetch.server != "origin"
            harness.end(fetch, cache_status=CacheStatus.FILLED, wait=0.1)
    assert (served > 20) is (peer == 0)
    # At three seconds a cache does 2 x (0.18 + 0.82 / 6) transfers of 0.1 s a second; a burst may be four
    # seconds' worth.
    assert all(n <= (3 + 4) * 2 * 0.32 / 0.1 for server, n in per_cache.items() if server != "origin")


def test_purges_over_a_restart() -> None:
    """With its place in the log a last list keeps the purges before it that still count, and no others."""
    events: list[object] = []
    roster = Registry(MembershipMerge(Policy()), events.append, lambda *_: None)
    shared = SharedStore(
        StoreSettings(("127.0.0.1", 1), "site", "a", 6.0, Capacity()), roster, Limits(), StartupPhases(0.0)
    )
    now = time.time()
    shared.applier.restore_purges({("clip", -1): now - 3.0, ("", 7): now - 11.0, ("old", -1): now - 13.0})
    found = {(e.obj, e.group): e.age for e in events if isinstance(e, Purged)}
    assert found == {("clip", -1): pytest.approx(3.0, abs=0.2), ("", 7): pytest.approx(11.0, abs=0.2)}
    retained = snapshot_codec.Snapshot(
        RememberedMembers(),
        now,
        StreamPosition(5, 1),
        True,
        tuple((*key, at) for key, at in shared.purges.items()),
    )
    assert snapshot_codec.parse(snapshot_codec.dump(retained)) == retained
    assert len(retained.purges) == 2


@pytest.mark.parametrize(
    ("ramp", "age", "part"),
    [(0.0, -2.0, 1.0), (0.0, 0.0, 1.0), (10.0, -2.0, 0.25), (10.0, 0.0, 0.25), (10.0, 5.0, 0.625)],
)
def test_capacity_by_age(ramp: float, age: float, part: float) -> None:
    """A server whose clock is ahead of ours is as cold as a new one, and warm where nothing is ever cold."""
    assert capacity_by_age(SlowStart(0.25, ramp, 2.0, 1.0), 8.0, age) == pytest.approx(MARGIN * 8.0 * part)
