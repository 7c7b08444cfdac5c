"""The memory budget: its sum stays within the capacity, the heaviest is freed first, waiters take turns."""

from __future__ import annotations

import logging
import os
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from brackenlane.core import process_memory
from brackenlane.core.memory_budget import RELIEF_SHARE, SHORT_SHARE, MemoryBudget
from brackenlane.core.process_memory import MemoryMonitor, read_private_size, read_resident_size
from brackenlane.limits import Limits
from brackenlane.ops.handover_log import HandoverLog

CAPACITY = 1_000_000


@dataclass(eq=False)
class Holder:
    """A holder whose memory can be freed, or not."""

    budget: MemoryBudget
    name: str
    size: int
    can_free: bool = True
    released: list[str] = field(default_factory=list)
    woken: int = 0

    def __post_init__(self) -> None:
        self.budget.resize(self, self.size)

    def release_memory(self) -> str:
        """Free all of it if that is allowed."""
        if not self.can_free:
            return ""
        self.released.append(self.name)
        self.budget.resize(self, 0)
        return "closed it"

    def on_memory_available(self) -> None:
        """Count the call."""
        self.woken += 1


def test_heaviest_holder_is_freed_first_and_no_more_than_needed(caplog: pytest.LogCaptureFixture) -> None:
    budget = MemoryBudget(CAPACITY)
    order: list[str] = []
    for name, size in (("small", 200_000), ("large", 450_000), ("medium", 340_000)):
        Holder(budget, name, size, released=order)
    with caplog.at_level(logging.WARNING):
        assert budget.ensure_available(100_000)
    assert order == ["large"]
    assert budget.held == 540_000 <= RELIEF_SHARE * CAPACITY
    assert budget.release_count == 1
    assert "closed it" in caplog.text


def test_holder_that_may_have_run_is_kept_and_its_reader_waits() -> None:
    budget = MemoryBudget(CAPACITY)
    running = Holder(budget, "running", 950_000, can_free=False)
    first, second = Holder(budget, "first", 10), Holder(budget, "second", 10)
    assert not budget.ensure_available(100_000)
    assert budget.size_of(running) == 950_000
    budget.wait(first, 300_000)
    budget.wait(second, 300_000)
    assert budget.must_reject()
    budget.resize(running, 600_000)
    assert (first.woken, second.woken) == (1, 0)
    budget.resize(running, 100_000)
    assert (first.woken, second.woken) == (1, 1)
    assert not budget.must_reject()
    assert budget.wait_count == 2


def test_new_requests_are_rejected_only_if_the_heaviest_cannot_be_freed() -> None:
    budget = MemoryBudget(CAPACITY)
    crowd = Holder(budget, "crowd", int(SHORT_SHARE * CAPACITY) + 1)
    assert budget.is_short
    assert not budget.must_reject()
    assert crowd.released == ["crowd"]


def test_idle_connections_are_not_closed_for_what_they_cannot_free() -> None:
    budget = MemoryBudget(1_000_000)
    Holder(budget, "running", 900_000, can_free=False)
    idle = [Holder(budget, "idle", 2_048) for _ in range(20)]
    assert budget.must_reject()
    assert not any(holder.released for holder in idle)
    assert budget.ensure_available(70_000)
    assert 0 < sum(bool(holder.released) for holder in idle) < len(idle)


def test_failed_relief_is_not_repeated_until_time_has_passed() -> None:
    budget = MemoryBudget(CAPACITY)
    holder = Holder(budget, "running", 990_000, can_free=False)
    assert not budget.ensure_available(100_000)
    holder.can_free = True
    assert not budget.ensure_available(100_000)
    budget.retry_relief()
    assert budget.ensure_available(100_000)


@pytest.mark.parametrize(
    ("resident_mb", "held_mb", "capacity_mb"),
    [(30, 0, 61), (80, 50, 61), (80, 10, 21), (20, 0, 61), (99, 0, 0.5)],
)
def test_capacity_is_what_the_process_leaves_of_its_settings(
    monkeypatch: pytest.MonkeyPatch, resident_mb: int, held_mb: int, capacity_mb: float
) -> None:
    """Memory that is resident and not counted is taken off; what is held is not taken off twice."""
    mb = 2**20
    resident = 30 * mb
    monkeypatch.setattr(process_memory, "read_resident_size", lambda: resident)
    monkeypatch.setattr(process_memory, "_trim_heap", lambda: None)
    budget = MemoryBudget()
    monitor = MemoryMonitor(budget, 92 * mb, mb, mb // 2)
    Holder(budget, "all", held_mb * mb)
    resident = resident_mb * mb
    monitor.check()
    assert budget.capacity == capacity_mb * mb


def test_other_process_of_the_router_takes_of_the_same_memory(tmp_path: Path) -> None:
    first = HandoverLog(tmp_path, Limits())
    second = HandoverLog(tmp_path, Limits())
    try:
        first.read_new_records()
        assert second.other_system_process_numbers() == [os.getpid()]
        assert 0 < read_private_size(os.getpid()) < read_resident_size()
    finally:
        second.close()
        first.close()
    assert read_private_size(0) == 0
