"""Settings out of range are rejected with an error that names the field."""

from __future__ import annotations

import math
from typing import Any

import pytest

from brackenlane.routing.settings import RequestClass, SlowStart
from tests.router_harness import VIDEO, settings


@pytest.mark.parametrize(
    ("changes", "reported"),
    [
        ({"location": "nowhere"}, "location"),
        ({"classes": ()}, "classes"),
        ({"classes": (VIDEO, VIDEO)}, "classes"),
        ({"router_count": 0}, "router_count"),
        ({"tick": 0.0}, "tick"),
        ({"purge_propagation_time": math.nan}, "purge_propagation_time"),
        ({"hub_of": (0,)}, "hub_of"),
        ({"hub_of": (9, 9, 9, 9)}, "hub_of"),
        ({"routers_by_location": (0, 0, 0, -1)}, "routers_by_location"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"pace_kb_per_s": "fast"}, "pace_kb_per_s"),
    ],
)
def test_setting_out_of_range_is_rejected_by_name(changes: dict[str, Any], reported: str) -> None:
    with pytest.raises(ValueError, match=reported):
        settings(**changes)


def test_request_class_or_slow_start_out_of_range_is_rejected_by_name() -> None:
    with pytest.raises(ValueError, match="latency_objective"):
        RequestClass("video", latency_objective=0.0, time_limit=1.0)
    with pytest.raises(ValueError, match="fresh_for"):
        RequestClass("video", latency_objective=1.0, time_limit=1.0, fresh_for=-1.0)
    for fields in (
        {"share": 0.0},
        {"share": 1.5},
        {"ramp": -1.0},
        {"overload_factor": 0.0},
        {"overload_duration": 0.0},
    ):
        with pytest.raises(ValueError, match="cold"):
            SlowStart(**fields)
