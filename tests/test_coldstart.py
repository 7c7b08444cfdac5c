"""Decisions of a starting router: tables, properties, and a thousand routers in virtual time."""

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
from brackenlane.discovery.recent_purges import RecentPurges
from brackenlane.discovery.records import OperatorOrder, PersistedMembership, Policy
from brackenlane.discovery.registry import Registry
from brackenlane.lab.cluster.virtual import SimulatedFleet, SimulatedStore, max_count_in_span
from brackenlane.routing.actions import Fetch
from brackenlane.routing.events import CacheStatus, Purged
from brackenlane.routing.members import Member, Role
from brackenlane.routing.settings import SlowStart
from brackenlane.routing.slow_start import BUDGET_SHARE, capacity_by_age, sharers_by_turn
from tests.router_harness import RouterHarness, actions_of

CAPACITY = Capacity(1000, request_rate=500.0, load_rate=20.0)


def unpaced(name: str, capacity: Capacity, rng: random.Random) -> StorePacing:
    """Return a pacing without offsets, jitter and tickets: a fault that the fleet tests must detect."""
    pacing = StorePacing(name, capacity, rng)
    pacing.initial_delay = lambda: 0.0  # type: ignore[method-assign]
    pacing.record_failure = lambda is_overloaded: 0.3  # type: ignore[method-assign]
    pacing.windows_ahead = lambda ticket: 0  # type: ignore[method-assign]
    pacing.ticket_delay = lambda window, ticket, now: 0.0  # type: ignore[method-assign]
    return pacing


@pytest.mark.parametrize("seed", [1, 2])
def test_simultaneous_start_of_a_thousand_routers(seed: int) -> None:
    """All start at once with a snapshot: the request rate stays within the store's capacity.

    All are current within twice the shortest time in which the store can serve them.
    """
    fleet = SimulatedFleet(1000, store := SimulatedStore(CAPACITY), seed)
    fleet.run(60.0)
    assert len(fleet.current) == 1000
    assert not store.refused
    assert max_count_in_span(store.request_times) <= 1.1 * CAPACITY.request_rate
    assert max(fleet.current.values()) <= 2 * 1000 / CAPACITY.request_rate
    assert max_count_in_span(store.request_times, 0.05) <= 3 * 0.05 * CAPACITY.request_rate


@pytest.mark.parametrize("seed", [1, 2])
def test_full_loads_are_spread_by_tickets(seed: int) -> None:
    """A tenth of the routers has no snapshot: the rate of full loads stays within the store's capacity.

    A single router without a snapshot loads without waiting.
    """
    fleet = SimulatedFleet(1000, store := SimulatedStore(CAPACITY), seed, remembers=0.9)
    fleet.run(60.0)
    assert len(fleet.current) == 1000
    assert (
        max_count_in_span(store.load_times) <= 2.1 * CAPACITY.load_rate
    )  # tickets of two windows (1 s each) may overlap
    shortest = len(store.load_times) / CAPACITY.load_rate
    assert max(fleet.current.values()) <= 2 * shortest + 1000 / CAPACITY.request_rate
    single = SimulatedFleet(1, SimulatedStore(CAPACITY), seed, remembers=0.0)
    single.run(60.0)
    assert single.current[0] < 1000 / CAPACITY.request_rate + 0.2


def test_store_is_not_flooded_after_an_outage() -> None:
    """After an outage of a minute, retries stay within the store's capacity and all are soon current."""
    store = SimulatedStore(CAPACITY, is_unreachable=lambda now: 20.0 <= now < 80.0)
    fleet = SimulatedFleet(1000, store, 1)
    fleet.run(20.0)
    fleet.lose()
    fleet.run(110.0)
    after_outage = [at for at in store.request_times if at >= 80.0]
    assert len(fleet.current) == 1000
    assert max_count_in_span(after_outage) <= CAPACITY.request_rate
    assert max_count_in_span([at for at in store.request_times if 40.0 <= at < 80.0]) <= CAPACITY.request_rate
    assert max(fleet.current.values()) < 80.0 + 6 * CAPACITY.window


@pytest.mark.parametrize("share", [0.5, 0.9])
def test_partly_refused_requests_do_not_raise_the_rate(share: float) -> None:
    """The store refuses half or nine tenths of the requests for 30 s: the rate of requests stays within its
    capacity, and all routers are current afterwards."""
    rng = random.Random(7)
    store = SimulatedStore(CAPACITY, refuses=lambda now: now < 30.0 and rng.random() < share)
    fleet = SimulatedFleet(1000, store, 3)
    fleet.run(90.0)
    assert len(fleet.current) == 1000
    assert max_count_in_span(store.request_times) <= 1.1 * CAPACITY.request_rate
    assert max(fleet.current.values()) < 60.0


def test_start_in_two_groups() -> None:
    """Power returns to two halves of the fleet 5 s apart: no request of either half is refused."""
    fleet = SimulatedFleet(1000, store := SimulatedStore(CAPACITY), 1, starts=lambda n: 5.0 * (n % 2))
    fleet.run(60.0)
    assert len(fleet.current) == 1000
    assert not store.refused
    assert max_count_in_span(store.request_times) <= CAPACITY.request_rate


def test_checks_detect_a_fleet_without_pacing() -> None:
    """Without offsets, jitter and tickets the limits that the tests above check are exceeded."""
    fleet = SimulatedFleet(1000, store := SimulatedStore(CAPACITY), 1, remembers=0.9, pace=unpaced)
    fleet.run(60.0)
    assert max_count_in_span(store.request_times) > 1.1 * CAPACITY.request_rate
    assert store.refused > 100
    assert max_count_in_span(store.load_times) > 2.1 * CAPACITY.load_rate


def test_hashed_offsets_are_evenly_spread() -> None:
    """Offsets of similar names are spread evenly, are reproducible, and differ by purpose."""
    offsets = sorted(hashed_offset(f"branch-{n}", "ask") for n in range(1000))
    assert all(abs(offset - n / 1000) < 0.06 for n, offset in enumerate(offsets))
    assert (
        hashed_offset("branch-1", "ask")
        == hashed_offset("branch-1", "ask")
        != hashed_offset("branch-1", "srv")
    )


@given(st.integers(1, 50), st.integers(0, 2**32))
def test_waits_are_bounded(failures: int, seed: int) -> None:
    """After any number of failures the wait and the window factor are within their bounds."""
    pacing = StorePacing("a", CAPACITY, random.Random(seed))
    for _ in range(failures):
        assert (
            pacing.window
            <= pacing.record_failure(failures % 2 == 0)
            <= 5 * MAX_WINDOW_FACTOR * CAPACITY.window
        )
        assert 1 <= pacing.window_factor <= MAX_WINDOW_FACTOR
    pacing.record_answer(0.01, 0.15)
    assert pacing.failures == 0
    for _ in range(20):
        pacing.record_answer(0.01, 0.15)
    assert pacing.window_factor == 1.0
    assert 0 <= jittered_backoff(failures, 0.3, 5.0, random.Random(seed)) <= 5.0
    assert 9.0 <= jittered_lifetime(10.0, random.Random(seed)) <= 10.0


@pytest.mark.parametrize(
    ("load_rate", "ticket", "ahead", "delay"),
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
def test_tickets(load_rate: float, ticket: int, ahead: int, delay: float | None) -> None:
    """The first tickets of a window load in it one after the other; the others draw from a later window."""
    pacing = StorePacing("a", Capacity(9, load_rate=load_rate), random.Random(1))
    assert pacing.windows_ahead(ticket) == ahead
    now = 1000.0
    if delay is not None:
        assert pacing.ticket_delay(pacing.current_ticket_window(now), ticket, now) == pytest.approx(delay)


def test_rates_of_a_capacity_hint() -> None:
    """Rates that the store publishes replace the configured ones; rates out of range are rejected."""
    assert CAPACITY.with_rates(100.0, 2.0).window == 10.0
    for request_rate, load_rate in ((0.0, 1.0), (1.0, -1.0), (float("nan"), 1.0), (1.0, float("inf"))):
        with pytest.raises(ValueError):
            CAPACITY.with_rates(request_rate, load_rate)


def test_stream_positions_and_missing_orders() -> None:
    """The log is continuous only if it has the remembered entry; orders absent in the store are found."""
    remembered, later = StreamPosition(5, 1), StreamPosition(6, 0)
    assert is_log_continuous(remembered, {remembered, later})
    assert not is_log_continuous(remembered, {later})
    assert not is_log_continuous(STREAM_START, {STREAM_START})
    assert not is_log_continuous(remembered, set())
    assert str(StreamPosition(5000, 1).earlier(1.5)) == "3500-0"
    assert str(StreamPosition(5000, 1).earlier(9.0)) == "0-0"
    assert str(StreamPosition.parse("5-1")) == "5-1"
    assert StreamPosition.parse("5-1") == remembered
    assert remembered < StreamPosition(5, 2) < StreamPosition(5, 10) < later
    for text in ("", "5", "5-", "-1", "a-1", "5-1-1", "²-1", "1" * 50 + "-1"):
        with pytest.raises(ValueError):
            StreamPosition.parse(text)
    old, new = OperatorOrder(True, 1.0, "a"), OperatorOrder(False, 2.0, "b")
    assert missing_orders({"x": new, "y": old, "z": old}, {"x": old, "y": new}, OperatorOrder.supersedes) == [
        "x",
        "z",
    ]


@given(st.lists(st.sampled_from(list(StartupEvent)), max_size=30))
def test_phases_after_any_sequence_of_events(events: list[StartupEvent]) -> None:
    """CURRENT is only reached by CAUGHT_UP, and the loss of the store always leaves it."""
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


def test_interrupted_load_returns_to_the_previous_phase() -> None:
    """If a snapshot is restored during a load that is then interrupted, the router serves from it."""
    phases = StartupPhases(0.0)
    assert phases.step(StartupEvent.LOAD_STARTED, 1.0) is StartupPhase.LOADING
    phases.step(StartupEvent.SNAPSHOT_RESTORED, 2.0)
    assert phases.step(StartupEvent.STORE_LOST, 3.0) is StartupPhase.RECALLED


@given(st.floats(0, 50), st.floats(0.01, 2), st.integers(1, 300), st.text("abc-0123", min_size=1, max_size=8))
def test_turn_order(burst: float, unit: float, peers: int, server: str) -> None:
    """As many routers of a location share a burst as it suffices for, so their shares do not exceed it."""
    sharers = [sharers_by_turn(burst, unit, peer, peers, server) for peer in range(peers)]
    count = max(sharers)
    assert 1 <= count <= peers
    assert set(sharers) <= {0, count}
    assert sum(n > 0 for n in sharers) == count
    assert count == 1 or count == peers or count * unit <= burst * (1 + 1e-9)
    doubled = [sharers_by_turn(2 * burst, unit, peer, peers, server) for peer in range(peers)]
    # A larger burst excludes no router that shared the smaller one.
    assert all(larger for larger, smaller in zip(doubled, sharers, strict=True) if smaller)


def test_turn_order_reaches_all_routers() -> None:
    """With 60 caches, most of 200 routers share at some of them, and none at far more than its part."""
    turns = [
        sum(sharers_by_turn(1.0, 0.1, peer, 200, f"cache-{n}") > 0 for n in range(60)) for peer in range(200)
    ]
    assert sum(turns) == 60 * 10
    assert max(turns) <= 12
    assert sum(t > 0 for t in turns) > 150


@pytest.mark.parametrize("peer", [-1, 0])
def test_caches_that_all_started_just_now(peer: int) -> None:
    """40 routers use 10 caches that have just started at once if they know their peer indexes."""
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
    rng, served, per_cache = random.Random(1), 0, dict.fromkeys((m.server for m in fleet), 0)
    for tick in range(1200):  # 3 s at 400 requests per second
        harness = rng.choice(harnesses)
        harness.now = 100.0 + tick / 400
        for fetch in actions_of(
            harness.send_request(f"o{tick}", "tiles", time_left=2.5, size_kb=400.0), Fetch
        ):
            per_cache[fetch.server] += 1
            served += fetch.server != "origin"
            harness.finish_attempt(fetch, cache_status=CacheStatus.FILLED, wait=0.1)
    assert (served > 20) is (peer == 0)
    # After 3 s a cache can serve 2 x (0.18 + 0.82 / 6) concurrent transfers, each of 0.1 s. A burst may add
    # the load of four seconds.
    assert all(n <= (3 + 4) * 2 * 0.32 / 0.1 for server, n in per_cache.items() if server != "origin")


def test_purges_are_restored_after_a_restart() -> None:
    """A snapshot keeps the purges that are recent enough to matter, besides its position in the log."""
    events: list[object] = []
    purges = RecentPurges(12.0, limit=10)
    registry = Registry(MembershipMerge(Policy()), events.append, lambda *_: None, purges)
    now = time.time()
    saved_purges = (("clip", -1, now - 3.0), ("", 7, now - 11.0), ("old", -1, now - 13.0))
    registry.restore_purges(saved_purges, saved_at=now, now=now)
    purge_ages = {(event.obj, event.group): event.age for event in events if isinstance(event, Purged)}
    assert purge_ages == {("clip", -1): pytest.approx(3.0, abs=0.2), ("", 7): pytest.approx(11.0, abs=0.2)}
    snapshot = snapshot_codec.Snapshot(
        PersistedMembership(),
        now,
        StreamPosition(5, 1),
        True,
        tuple((*key, at) for key, at in purges.by_target.items()),
    )
    assert snapshot_codec.parse(snapshot_codec.dump(snapshot)) == snapshot
    assert len(snapshot.purges) == 2


@pytest.mark.parametrize(
    ("ramp", "age", "share"),
    [(0.0, -2.0, 1.0), (0.0, 0.0, 1.0), (10.0, -2.0, 0.25), (10.0, 0.0, 0.25), (10.0, 5.0, 0.625)],
)
def test_capacity_by_age(ramp: float, age: float, share: float) -> None:
    """A negative age, from a server clock that is ahead, counts as 0; without a ramp capacity is full."""
    assert capacity_by_age(SlowStart(0.25, ramp, 2.0, 1.0), 8.0, age) == pytest.approx(
        BUDGET_SHARE * 8.0 * share
    )
