"""Crowds of clients and caches against a real router with the memory and descriptors of its settings."""

from __future__ import annotations

import pytest
import trio

from brackenlane.lab.crowds.crowd_run import run_crowd
from brackenlane.lab.crowds.requests import Crowd

LEAST_MEMORY_MB = 32
MOST_MEMORY_MB = 192
RUN_SECONDS = 3.0


@pytest.mark.parametrize("crowd", [Crowd.TINY_CHUNKS, Crowd.LARGE_READS], ids=lambda crowd: crowd.name)
@pytest.mark.parametrize("memory_mb", [MOST_MEMORY_MB])
def test_crowd_does_not_take_the_router_past_its_memory(crowd: Crowd, memory_mb: int) -> None:
    result = trio.run(run_crowd, crowd, memory_mb, RUN_SECONDS)
    assert result.is_within_limit, result.summary()
    assert "Traceback" not in result.log
