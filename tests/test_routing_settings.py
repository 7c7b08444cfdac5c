"""Nonsense in settings is named at start."""

from __future__ import annotations

import math
from typing import Any

import pytest

from brackenlane.routing.settings import RequestClass, SlowStart
from tests.router_harness import VIDEO, settings


@pytest.mark.parametrize(
    ("changes", "told"),
    [
        ({"location": "nowhere"}, "location"),
        ({"classes": ()}, "classes"),
        ({"classes": (VIDEO, VIDEO)}, "classes"),
        ({"gateways": 0}, "gateways"),
        ({"tick": 0.0}, "tick"),
        ({"purge_done": math.nan}, "purge_done"),
        ({"hub_of": (0,)}, "hub_of"),
        ({"hub_of": (9, 9, 9, 9)}, "hub_of"),
        ({"seats": (0, 0, 0, -1)}, "seats"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"pace_kb_per_s": "fast"}, "pace_kb_per_s"),
    ],
)
def test_settings(changes: dict[str, Any], told: str) -> None:
    with pytest.raises(ValueError, match=told):
        settings(**changes)


def test_classes_and_cold_starts() -> None:
    with pytest.raises(ValueError, match="aim"):
        RequestClass("video", aim=0.0, give_up=1.0)
    with pytest.raises(ValueError, match="fresh"):
        RequestClass("video", aim=1.0, give_up=1.0, fresh=-1.0)
    for wrong in ({"share": 0.0}, {"share": 1.5}, {"ramp": -1.0}, {"factor": 0.0}, {"span": 0.0}):
        with pytest.raises(ValueError, match="cold"):
            SlowStart(**wrong)
