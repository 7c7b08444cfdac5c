"""Lists whose weights are all 1 and tell nothing, and requests whose size is not told."""

from __future__ import annotations

import pytest

from brackenlane.routing import settings_codec
from brackenlane.routing.actions import Fetch
from brackenlane.routing.events import AttemptResult, CacheStatus, Outcome
from brackenlane.routing.members import Member, Role
from brackenlane.routing.settings import Idempotency, RequestClass
from brackenlane.routing.slow_start import MARGIN, TokenBucket
from tests.router_harness import TILES, VIDEO, RouterHarness, every, only
from tests.stand_ins import SETTINGS

SUBMIT = RequestClass(
    "submit",
    latency_objective=0.8,
    time_limit=3.0,
    value_weight=3.0,
    idempotency=Idempotency.NON_IDEMPOTENT,
    uncached=True,
)
FLEET = [
    Member("edge-0", "depot"),
    Member("parent-0", "hub-a", Role.PARENT),
    Member("origin", "hub-a", Role.ORIGIN),
]


@pytest.mark.parametrize(("command", "reported"), [("silent", False), ("nominal", True)])
def test_read(command: str, reported: bool) -> None:
    """The settings say whether weights mean anything."""
    assert settings_codec.read_settings({**SETTINGS, "Weights": command}).weights_known is reported


@pytest.mark.parametrize(("reported", "sent"), [(False, True), (True, False)])
@pytest.mark.parametrize("cls", ["submit", "video"])
def test_unknown_weight(cls: str, reported: bool, sent: bool) -> None:
    """A weight of 1 that tells nothing must not pass for a cache whose link bears one transfer."""
    harness = RouterHarness(FLEET, weights_known=reported, classes=(VIDEO, SUBMIT))
    found = [
        action
        for n in range(6)
        for action in every(harness.ask(f"o{n}", cls, time_left=3.0, size_kb=0.0), Fetch)
    ]
    assert (len(found) == 6) is sent


@pytest.mark.parametrize(
    ("seen", "wait", "wider"),
    [
        (0.0, 0.2, True),  # no size seen, as on the simulator's wire, but in time
        (0.0, 2.0, False),  # no size seen, and late
        (800.0, 0.2, True),  # as long as alone, among many: there is room for more
        (800.0, 1.5, False),  # a crowd: nothing is widened
    ],
)
def test_learned_width(seen: float, wait: float, wider: bool) -> None:
    """A link that bears more than is assumed must not be kept for a few: that refuses others for nothing."""
    harness = RouterHarness(FLEET, weights_known=False, classes=(VIDEO, SUBMIT))
    crowds = []
    for _ in range(6):
        crowd = [f for n in range(100) for f in every(harness.ask(f"o{n}", size_kb=0.0), Fetch)]
        crowds.append(len(crowd))
        harness.now += wait
        for fetch in crowd:
            harness.router.handle(
                Outcome(
                    fetch.request_id,
                    0,
                    fetch.server,
                    AttemptResult.OK,
                    wait,
                    True,
                    CacheStatus.HIT,
                    size_kb=seen,
                ),
                harness.now,
            )
    assert (crowds[-1] > 2 * crowds[0]) is wider, crowds


@pytest.mark.parametrize("learned", [False, True])
def test_cold_budget_of_learned_width(learned: bool) -> None:
    """A cache that starts where links have proved wide is not kept idle on the budget of an assumed one."""
    late = Member("edge-1", "depot", started_at=90.0)
    harness = RouterHarness([*FLEET, late], weights_known=False, classes=(VIDEO, SUBMIT))
    harness.now = 100.0
    harness.router.servers["edge-0"].width = 40.0
    if learned:
        fetch = next(
            f
            for n in range(50)
            for f in every(harness.ask(f"o{n}", size_kb=0.0), Fetch)
            if f.server == "edge-0"
        )
        harness.router.handle(
            Outcome(
                fetch.request_id, 0, "edge-0", AttemptResult.OK, 0.2, True, CacheStatus.HIT, size_kb=800.0
            ),
            harness.now,
        )
    cold, plain = harness.router.servers["edge-1"], 4.0 * MARGIN * (0.18 + 0.82 * 10 / 18)
    cold.tokens = TokenBucket(0.0)
    capacity = harness.router.slow_start_budget.capacity(cold, harness.now)
    assert capacity == pytest.approx(3 * plain * (5.0 if learned else 1.0))


def test_sizes_are_learned_by_object_and_means_by_the_first_answers() -> None:
    """A guess of a quarter aim, mended by 2% an arrival, was a third of the truth for 10 s and more."""
    harness = RouterHarness(classes=(VIDEO, TILES), weights_known=False)
    for n in range(12):
        fetch = only(harness.ask(f"o{n}", size_kb=0.0, part=0), Fetch)
        harness.router.handle(
            Outcome(
                fetch.request_id,
                0,
                fetch.server,
                AttemptResult.OK,
                0.6,
                True,
                CacheStatus.HIT,
                size_kb=1600.0,
            ),
            harness.now,
        )
    assert harness.router.sizes.means["video"] == pytest.approx(0.4, rel=0.25)  # 1,600 KB at 4,000 a second
    harness.ask("o0", size_kb=0.0, part=7)  # another part of an object seen
    assert next(reversed(harness.router.pending_requests.values())).work == pytest.approx(0.4)


def test_response_without_bytes_teaches_no_size() -> None:
    harness = RouterHarness(weights_known=False)
    for size, wait in ((1600.0, 0.6), (0.0, 0.01)):
        fetch = only(harness.ask("clip", size_kb=0.0), Fetch)
        harness.router.handle(
            Outcome(
                fetch.request_id, 0, fetch.server, AttemptResult.OK, wait, True, CacheStatus.HIT, size_kb=size
            ),
            harness.now,
        )
    assert harness.router.sizes.by_object["clip"] == pytest.approx(0.4)


@pytest.mark.parametrize(("seats", "ranks"), [(1, [1, 2]), (9, [1, 1])])
def test_priority_of_repeated_objects(seats: int, ranks: list[int]) -> None:
    """Of nine routers each called known what it saw twice: copies that the others' could not push out."""
    harness = RouterHarness(routers_by_location=(0, 0, 0, seats))
    assert [harness.serve("clip").keep for _ in ranks] == ranks


def test_absurd_client_size_moves_no_mean_far() -> None:
    """One told size of years made every cold cache too dear for hundreds of requests."""
    harness = RouterHarness()
    before = harness.router.sizes.means["video"]
    harness.ask("huge", size_kb=999_999_999.0)
    assert harness.router.sizes.means["video"] <= before + VIDEO.time_limit
