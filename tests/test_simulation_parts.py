"""Parts of the simulation: fair links and ranked memory."""

from __future__ import annotations

import pytest

from brackenlane.lab.simulation.clock import EventQueue
from brackenlane.lab.simulation.links import FairLink, Transfer
from brackenlane.lab.simulation.memory import RankedMemory, StoredCopy


def test_full_link_is_divided_evenly() -> None:
    queue = EventQueue(0.0)
    link = FairLink(1.0)
    ends: list[float] = []
    Transfer(queue, [link], 1.0, 1.0, lambda: ends.append(queue.now))

    def second() -> None:
        Transfer(queue, [link], 1.0, 1.0, lambda: ends.append(queue.now))

    queue.at(0.5, second)
    queue.run(9.0)
    assert ends == [pytest.approx(1.5), pytest.approx(2.0)]


def test_transfer_with_a_changing_rate_ends_when_its_work_is_done() -> None:
    queue = EventQueue(0.0)
    link = FairLink(1.0)
    ends: list[float] = []
    Transfer(queue, [link], 1.0, 1.0, lambda: ends.append(queue.now))

    def second() -> None:
        Transfer(queue, [link], 0.25, 1.0, lambda: ends.append(queue.now))

    queue.at(0.5, second)
    queue.run(9.0)
    assert ends == [pytest.approx(1.0), pytest.approx(1.25)]
    assert len(link) == 0


def test_rate_is_limited_by_the_narrower_of_two_links() -> None:
    queue = EventQueue(0.0)
    ends: list[float] = []
    Transfer(queue, [FairLink(4.0), FairLink(2.0)], 1.0, 3.0, lambda: ends.append(queue.now))
    queue.run(9.0)
    assert ends == [pytest.approx(0.5)]


def copy(name: str, rank: int = 1, size: float = 1.0, issued: float = 5.0) -> StoredCopy:
    """A copy of an object with one part."""
    return StoredCopy(name, name, 1, issued, size, rank)


def test_memory_evicts_the_lowest_rank_first_and_the_least_recently_used_copy_of_a_rank() -> None:
    memory = RankedMemory(3.0)
    assert all(memory.store(copy(name, rank)) for name, rank in (("a", 2), ("b", 1), ("c", 1)))
    memory.touch(memory.get("b") or copy(""), 0)
    assert memory.store(copy("d"))
    assert memory.get("c") is None
    assert memory.store(copy("e", 3))
    assert memory.get("b") is None
    assert memory.store(copy("f", 2))
    assert memory.get("d") is None
    assert memory.get("a")


def test_memory_never_evicts_a_higher_rank() -> None:
    memory = RankedMemory(2.0)
    assert memory.store(copy("a", 2))
    assert memory.store(copy("b", 3))
    assert not memory.store(copy("c", 1))
    assert len(memory) == 2


def test_memory_stores_no_copy_older_than_a_purge() -> None:
    memory = RankedMemory(9.0)
    memory.store(copy("a", issued=5.0))
    memory.purge("a", 6.0)
    assert memory.get("a") is None
    assert not memory.store(copy("a", issued=5.5))
    assert memory.store(copy("a", issued=6.5))
