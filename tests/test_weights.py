"""Lists whose weights are all 1 and tell nothing, and requests whose size is not told."""

from __future__ import annotations

import pytest

from frostsail import drill
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
