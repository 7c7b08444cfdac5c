"""Crowds of clients and caches against a real router with the memory and descriptors of its settings."""

from __future__ import annotations

import pytest
import trio

from brackenlane.lab.crowds.crowd_run import run_crowd
from brackenlane.lab.crowds.requests import Crowd

LEAST_MEMORY_MB = 32
MOST_MEMORY_MB = 192
RUN_SECONDS = 3.0
LARGEST_CROWDS = (Crowd.HALF_BODY, Crowd.TINY_CHUNKS, Crowd.PIPELINED, Crowd.LARGE_READS)
RUNS = [(LEAST_MEMORY_MB, crowd) for crowd in Crowd] + [(MOST_MEMORY_MB, crowd) for crowd in LARGEST_CROWDS]


@pytest.mark.parametrize(("memory_mb", "crowd"), RUNS, ids=lambda value: getattr(value, "name", str(value)))
def test_crowd_does_not_take_the_router_past_its_memory(memory_mb: int, crowd: Crowd) -> None:
    result = trio.run(run_crowd, crowd, memory_mb, RUN_SECONDS)
    assert result.is_within_limit, result.summary()
    assert result.others.sent > 0
    assert result.others.unanswered == 0
    assert 0 not in result.others.statuses, result.summary()
    assert "Traceback" not in result.log
