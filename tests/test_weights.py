"""Lists whose weights are all 1 and tell nothing, and requests whose size is not told."""

from __future__ import annotations

import pytest

from frostsail import drill
from frostsail.brain import MARGIN
from frostsail.interface import Effect, Fetch, Member, Note, Outcome, RequestClass, Role, Verdict
from tests.rig import VIDEO, Rig, every
from tests.stand_ins import SETTINGS

SUBMIT = RequestClass("submit", aim=0.8, give_up=3.0, worth=3.0, effect=Effect.UNSAFE, uncached=True)
FLEET = [Member("edge-0", "depot"), Member("parent-0", "hub-a", Role.PARENT),
         Member("origin", "hub-a", Role.ORIGIN)]


@pytest.mark.parametrize(("word", "told"), [("silent", False), ("nominal", True)])
def test_read(word: str, told: bool) -> None:
    """The settings say whether weights mean anything."""
    assert drill.read_settings({**SETTINGS, "Weights": word}).weights_told is told


@pytest.mark.parametrize(("told", "sent"), [(False, True), (True, False)])
@pytest.mark.parametrize("cls", ["submit", "video"])
def test_untold_weight(cls: str, told: bool, sent: bool) -> None:
    """A weight of 1 that tells nothing must not pass for a cache whose link bears one transfer."""
    rig = Rig(FLEET, weights_told=told, classes=(VIDEO, SUBMIT))
    found = [action for n in range(6) for action in every(
        rig.ask(f"o{n}", cls, time_left=3.0, size_kb=0.0), Fetch)]
    assert (len(found) == 6) is sent


@pytest.mark.parametrize(("seen", "wait", "wider"), [
    (0.0, 0.2, False),  # no size seen, as on the simulator's wire: what is assumed stays
    (800.0, 0.2, True),  # as long as alone, among many: there is room for more
    (800.0, 1.5, False),  # a crowd: nothing is widened
])
def test_learned_width(seen: float, wait: float, wider: bool) -> None:
    """A link that bears more than is assumed must not be kept for a few: that refuses others for nothing."""
    rig = Rig(FLEET, weights_told=False, classes=(VIDEO, SUBMIT))
    crowds = []
    for _ in range(6):
        crowd = [f for n in range(100) for f in every(rig.ask(f"o{n}", size_kb=0.0), Fetch)]
        crowds.append(len(crowd))
        rig.now += wait
        for fetch in crowd:
            rig.router.handle(Outcome(fetch.request, 0, fetch.server, Verdict.OK, wait, True, Note.HIT,
                                      size_kb=seen), rig.now)
    assert (crowds[-1] > 2 * crowds[0]) is wider, crowds


@pytest.mark.parametrize("learned", [False, True])
def test_cold_budget_of_learned_width(learned: bool) -> None:
    """A cache that starts where links have proved wide is not kept idle on the budget of an assumed one."""
    late = Member("edge-1", "depot", started_at=90.0)
    rig = Rig([*FLEET, late], weights_told=False, classes=(VIDEO, SUBMIT))
    rig.now = 100.0
    rig.router.servers["edge-0"].width = 40.0
    if learned:
        fetch = next(f for n in range(50) for f in every(rig.ask(f"o{n}", size_kb=0.0), Fetch)
                     if f.server == "edge-0")
        rig.router.handle(Outcome(fetch.request, 0, "edge-0", Verdict.OK, 0.2, True, Note.HIT, size_kb=800.0),
                          rig.now)
    cold, plain = rig.router.servers["edge-1"], 4.0 * MARGIN * (0.18 + 0.82 * 10 / 18)
    cold.stamp, cold.tokens = 0.0, 0.0
    room = rig.router._cold_room(cold, rig.now)
    assert room == pytest.approx(3 * plain * (5.0 if learned else 1.0))
