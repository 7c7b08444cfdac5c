"""Sites whose caches say nothing of how an answer came about, and errors that come at once."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from brackenlane.limits import Limits
from brackenlane.net.cache_codec import Parser
from brackenlane.routing.actions import Fetch
from brackenlane.routing.attempts import Request
from brackenlane.routing.events import Arrival, Note, Outcome, Verdict
from brackenlane.routing.fill_estimate import FillEstimate
from brackenlane.routing.latency import CALM_MEMORY
from brackenlane.routing.members import Member, Role
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import ColdStart, Notes
from tests.router_harness import VIDEO, Rig, every, members

PARENTS = ("parent-0", "parent-1")


def outcome(fetch: Fetch, verdict: Verdict, wait: float, attempt: int = 0, hit_share: float = 0.2) -> Outcome:
    """The end of an attempt at a site whose answers carry a load report and no note."""
    final = verdict is Verdict.OK
    report = (("inflight", 2.0), ("x0", hit_share))
    return Outcome(fetch.request, attempt, fetch.server, verdict, wait, final, report=report)


def play(rig: Rig, requests: int, verdict: Verdict, wait: float) -> int:
    """Requests for new objects, each attempt ending alike; how many attempts named a parent."""
    named = 0
    for n in range(requests):
        rig.now += 0.25
        fetches = every(rig.ask(f"{verdict.value}{n}"), Fetch)
        for attempt in range(8):
            if not fetches:
                break
            named += fetches[0].source in PARENTS
            fetches = every(rig.router.handle(outcome(fetches[0], verdict, wait, attempt), rig.now), Fetch)
    return named


def test_parents_are_cleared_where_no_answer_tells_of_a_fill() -> None:
    """A parent that was late for a while stayed out for good: only a told fill cleared it."""
    rig = Rig(notes=Notes.SILENT)
    play(rig, 40, Verdict.TIMEOUT, 3.0)
    parents = [rig.router.servers[name] for name in PARENTS]
    assert max(parent.window for parent in parents) <= 2.0
    play(rig, 400, Verdict.OK, 0.4)
    assert not any(parent.ejected_until for parent in parents)
    assert max(parent.failure_score for parent in parents) < 0.1
    assert min(parent.window for parent in parents) > 1.5
    assert play(rig, 40, Verdict.OK, 0.4) == 40


def test_a_quick_error_cuts_no_window() -> None:
    """A cache or parent that fails at once says nothing of a queue at its source."""
    rig = Rig()
    before = {name: rig.router.servers[name].window for name in PARENTS}
    play(rig, 10, Verdict.ERROR, 0.01)
    assert {name: rig.router.servers[name].window for name in PARENTS} == before
    play(rig, 10, Verdict.ERROR, 3.0)
    assert min(rig.router.servers[name].window for name in PARENTS) < min(before.values())


@pytest.mark.parametrize("value", [-0.1, 1.5, float("nan"), float("inf")])
def test_a_share_of_hits_that_is_none_changes_nothing(value: float) -> None:
    fills = FillEstimate(Notes.SILENT, random.Random(1))
    cache = Server(Member("edge-0", "depot", Role.EDGE))
    fills.observe_report(cache, (("x0", 0.8), ("x7", 0.1)))
    fills.observe_report(cache, (("x0", value),))
    assert fills.expected(cache) == pytest.approx(0.2)
    fills.observe_report(cache, ())
    assert fills.expected(cache) == pytest.approx(0.2)


def test_lookups_tell_the_share_of_misses_where_no_report_does() -> None:
    fills = FillEstimate(Notes.SILENT, random.Random(1))
    cache = Server(Member("edge-0", "depot", Role.EDGE))
    for n in range(400):
        fills.observe_lookup(cache, Verdict.MISS if n % 5 == 0 else Verdict.OK)
    assert fills.expected(cache) == pytest.approx(0.2, abs=0.05)


def test_answers_are_attributed_as_often_as_fills_are_expected() -> None:
    fills = FillEstimate(Notes.SILENT, random.Random(1))
    answer = Outcome("r", 0, "edge-0", Verdict.OK)
    assert 270 < sum(fills.was_filled(answer, 0.3) for _ in range(1000)) < 330
    assert fills.was_filled(answer, 1.0)
    told = Outcome("r", 0, "edge-0", Verdict.OK, note=Note.FILLED_BY_ORIGIN)
    assert fills.was_filled(told, 0.0)


def test_a_load_report_is_read_from_an_answer() -> None:
    """What is no number is left out, the rest is kept."""
    line = b"a1 data use=inflight:7;x0:0.61;x1:soon;util:nan;:3,entity=t 1\r\nx\r\n"
    (answer,) = Parser(Limits()).feed(line)
    assert answer.report == (("inflight", 7.0), ("x0", 0.61))


def test_a_fill_that_waits_leaves_its_cache_to_others() -> None:
    """Fills that a full link in held back filled up their caches' places: new ones went to wrong caches."""
    rig = Rig(seats=(0, 0, 0, 1))
    assert rig.router.fills.waiting_share == 0.0
    for n in range(200):
        rig.now += 5.0
        rig.serve(f"hit{n}")
        (fetch,) = every(rig.ask(f"fill{n}"), Fetch)
        rig.end(fetch, note=Note.FILLED, wait=0.8)
    assert rig.router.fills.waiting_share == pytest.approx(0.5, abs=0.05)
    (fetch,) = every(rig.ask("last"), Fetch)
    held = rig.router.servers[fetch.server].in_flight
    assert held == pytest.approx(1 - 0.5 * 0.5, abs=0.1)
    rig.end(fetch)
    assert rig.router.servers[fetch.server].in_flight == 0.0


def test_waiting_is_learned_from_sure_answers_where_none_tells() -> None:
    fills = FillEstimate(Notes.SILENT, random.Random(1))
    for _ in range(100):
        fills.observe_pace(filled=True, chance=0.5, work=0.1, wait=0.4)
    assert fills.waiting_share == 0.0
    for _ in range(100):
        fills.observe_pace(filled=True, chance=1.0, work=0.1, wait=0.4)
    assert fills.waiting_share == pytest.approx(0.72, abs=0.05)


@pytest.mark.parametrize("fresh", [0.0, 8.0])
def test_what_never_expires_stays_with_few_parents(fresh: float) -> None:
    """Each further parent that an object reaches fetches it from the origin once more."""
    cls = replace(VIDEO, fresh=fresh)
    rig = Rig(classes=(cls,))
    sources = Counter(rig.serve("clip").source for _ in range(2000))
    most, *others = sorted((sources[name] for name in PARENTS), reverse=True)
    assert sum(others) / most == pytest.approx(1 / 2 if fresh else 1 / 8, abs=0.06)


def test_a_hub_that_is_not_among_the_first_places() -> None:
    """Steps between hubs went by their places in the list: a foreign hub's parents counted as our own's."""
    fleet = members(parents=("hub-a", "hub-c"))
    rig = Rig(fleet, hub_of=(0, 0, 2, 0))
    assert [[s.me.zone for s in ring] for ring in rig.router.rings] == [["hub-a"], ["hub-c"]]


def test_a_cache_whose_clock_is_ahead_is_used_where_nothing_warms_up() -> None:
    rig = Rig(members(edges=1), now=100.0, edge_cold=ColdStart())
    rig.tell([replace(members(edges=1)[0], started_at=160.0)])
    (fetch,) = every(rig.ask(), Fetch)
    assert fetch.server == "edge-0"


def test_a_lone_parent_that_hangs_is_left_for_the_origin() -> None:
    """With no peer to compare it with, a parent was never ejected, whatever it failed."""
    rig = Rig(members(parents=("hub-a",)), notes=Notes.ALL)
    play(rig, 12, Verdict.TIMEOUT, 3.0)
    assert rig.router.servers["parent-0"].ejected_until
    rig.router.servers["parent-0"].ejected_until = rig.now + 60  # no trial is due yet
    (fetch,) = every(rig.ask("another"), Fetch)
    assert fetch.source == "origin"


def test_waits_that_are_long_by_themselves_are_no_jam() -> None:
    """Objects that take longer than their aim on an idle link kept a site in its jam's ways for good."""
    slow = replace(VIDEO, aim=0.3, aim_stretch=0.0)
    rig = Rig(classes=(slow,))
    for n in range(100):
        rig.now += 5.0
        rig.end(every(rig.ask(f"o{n}"), Fetch)[0], wait=0.45)
    assert not rig.router.waits.strained


CALM = 3 * CALM_MEMORY  # answers until the calm wait is learned


def test_a_rise_of_waits_is_a_jam_also_where_calm_ones_are_long() -> None:
    """Waits of six tenths of the aim that grow to nine tenths, many of them late, were held to be calm."""
    rig = Rig()
    aim = VIDEO.aim + VIDEO.aim_stretch * 0.4  # 1,600 KB at 4,000 a second
    waits = [0.6] * CALM + [0.4, 1.3] * 30
    for number, wait in enumerate(waits):
        rig.now += 5.0
        rig.end(every(rig.ask(f"o{number}"), Fetch)[0], wait=wait * aim)
        assert number >= CALM or not rig.router.waits.strained
    assert rig.router.waits.strained


def test_an_aim_never_grows_beyond_the_deadline() -> None:
    request = Request(Arrival("r", 5.0, "video"), replace(VIDEO, give_up=2.0), 0.0, 4.0)
    assert request.aim == 2.0
