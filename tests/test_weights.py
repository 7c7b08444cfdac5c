"""Lists with unknown weights (all 1), and requests of unknown size."""

from __future__ import annotations

import pytest

from brackenlane.routing import settings_codec
from brackenlane.routing.actions import Fetch
from brackenlane.routing.events import AttemptResult, CacheStatus, Outcome
from brackenlane.routing.members import Member, Role
from brackenlane.routing.settings import Idempotency, RequestClass
from brackenlane.routing.slow_start import BUDGET_SHARE, TokenBucket
from tests.router_harness import TILES, VIDEO, RouterHarness, actions_of, single_action
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


@pytest.mark.parametrize(("value", "known"), [("silent", False), ("nominal", True)])
def test_settings_say_whether_weights_are_known(value: str, known: bool) -> None:
    """The setting `Weights` is read as `weights_known`."""
    assert settings_codec.read_settings({**SETTINGS, "Weights": value}).weights_known is known


@pytest.mark.parametrize(("reported", "sent"), [(False, True), (True, False)])
@pytest.mark.parametrize("cls", ["submit", "video"])
def test_weight_of_one_is_a_limit_only_if_weights_are_known(cls: str, reported: bool, sent: bool) -> None:
    """An unknown weight, listed as 1, must not be taken for a link that carries one transfer."""
    harness = RouterHarness(FLEET, weights_known=reported, classes=(VIDEO, SUBMIT))
    found = [
        action
        for n in range(6)
        for action in actions_of(harness.send_request(f"o{n}", cls, time_left=3.0, size_kb=0.0), Fetch)
    ]
    assert (len(found) == 6) is sent


@pytest.mark.parametrize(
    ("size_kb", "wait", "is_wider"),
    [
        (0.0, 0.2, True),  # unknown size, as on the simulator's wire; in time
        (0.0, 2.0, False),  # unknown size; late
        (800.0, 0.2, True),  # no slowdown with many transfers: the link is wider
        (800.0, 1.5, False),  # slowdown by contention: the link is not wider
    ],
)
def test_link_width_is_learned_from_answers(size_kb: float, wait: float, is_wider: bool) -> None:
    """A link wider than assumed must not keep the assumed limit, which rejects requests needlessly."""
    harness = RouterHarness(FLEET, weights_known=False, classes=(VIDEO, SUBMIT))
    counts = []
    for _ in range(6):
        fetches = [
            f for n in range(100) for f in actions_of(harness.send_request(f"o{n}", size_kb=0.0), Fetch)
        ]
        counts.append(len(fetches))
        harness.now += wait
        for fetch in fetches:
            harness.router.handle(
                Outcome(
                    fetch.request_id,
                    0,
                    fetch.server,
                    AttemptResult.OK,
                    wait,
                    True,
                    CacheStatus.HIT,
                    size_kb=size_kb,
                ),
                harness.now,
            )
    assert (counts[-1] > 2 * counts[0]) is is_wider, counts


@pytest.mark.parametrize("learned", [False, True])
def test_slow_start_budget_follows_the_learned_width(learned: bool) -> None:
    """If warm caches have wide links, a starting cache must not be budgeted by the assumed width."""
    late = Member("edge-1", "depot", started_at=90.0)
    harness = RouterHarness([*FLEET, late], weights_known=False, classes=(VIDEO, SUBMIT))
    harness.now = 100.0
    harness.router.servers["edge-0"].learned_width = 40.0
    if learned:
        fetch = next(
            f
            for n in range(50)
            for f in actions_of(harness.send_request(f"o{n}", size_kb=0.0), Fetch)
            if f.server == "edge-0"
        )
        harness.router.handle(
            Outcome(
                fetch.request_id, 0, "edge-0", AttemptResult.OK, 0.2, True, CacheStatus.HIT, size_kb=800.0
            ),
            harness.now,
        )
    cold, plain = harness.router.servers["edge-1"], 4.0 * BUDGET_SHARE * (0.18 + 0.82 * 10 / 18)
    cold.slow_start_bucket = TokenBucket(0.0)
    capacity = harness.router.slow_start_budget.capacity(cold, harness.now)
    assert capacity == pytest.approx(3 * plain * (5.0 if learned else 1.0))


def test_sizes_are_learned_by_object_and_means_by_the_first_answers() -> None:
    """A prior of 1/4 objective, corrected by 2% per arrival, was a third of the real mean for over 10 s."""
    harness = RouterHarness(classes=(VIDEO, TILES), weights_known=False)
    for n in range(12):
        fetch = single_action(harness.send_request(f"o{n}", size_kb=0.0, part=0), Fetch)
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
    assert harness.router.sizes.means["video"] == pytest.approx(0.4, rel=0.25)  # 1,600 KB at 4,000 KB/s
    harness.send_request("o0", size_kb=0.0, part=7)  # another part of a known object
    assert next(reversed(harness.router.pending_requests.values())).work == pytest.approx(0.4)


def test_response_without_content_does_not_change_a_learned_size() -> None:
    harness = RouterHarness(weights_known=False)
    for size, wait in ((1600.0, 0.6), (0.0, 0.01)):
        fetch = single_action(harness.send_request("clip", size_kb=0.0), Fetch)
        harness.router.handle(
            Outcome(
                fetch.request_id, 0, fetch.server, AttemptResult.OK, wait, True, CacheStatus.HIT, size_kb=size
            ),
            harness.now,
        )
    assert harness.router.sizes.by_object["clip"] == pytest.approx(0.4)


@pytest.mark.parametrize(("sharers", "ranks"), [(1, [1, 2]), (9, [1, 1])])
def test_retention_rank_of_repeated_objects(sharers: int, ranks: list[int]) -> None:
    """Each of 9 routers ranked an object high that it saw twice, and its copies could not be evicted."""
    harness = RouterHarness(routers_by_location=(0, 0, 0, sharers))
    assert [harness.serve_request("clip").retention_rank for _ in ranks] == ranks


def test_huge_size_from_a_client_barely_changes_the_mean() -> None:
    """One request that stated years of transfer kept hundreds of others from every cache in slow start."""
    harness = RouterHarness()
    before = harness.router.sizes.means["video"]
    harness.send_request("huge", size_kb=999_999_999.0)
    assert harness.router.sizes.means["video"] <= before + VIDEO.time_limit
