"""Exhaustive breadth-first exploration of the states of a protocol model, up to a depth."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

S = TypeVar("S", bound=Hashable)


@dataclass(frozen=True, slots=True)
class Exploration(Generic[S]):
    """Result of an exploration."""

    states: int  # number of distinct states
    depth: int  # steps to the deepest state that was checked
    complete: bool  # whether all states within the depth were explored
    counterexample: tuple[str, ...] = ()  # names of the steps to the first state that violates the invariant


def explore(
    initial: S,
    steps: Callable[[S], Iterable[tuple[str, S]]],
    holds: Callable[[S], bool],
    depth: int,
    max_states: int = 5_000_000,
) -> Exploration[S]:
    """Explore all states that can be reached from the initial one, and check the invariant in each once."""
    predecessors: dict[S, tuple[S, str] | None] = {initial: None}
    queue: deque[tuple[S, int]] = deque([(initial, 0)])
    depth_reached = 0
    complete = True
    while queue:
        state, level = queue.popleft()
        depth_reached = max(depth_reached, level)
        if not holds(state):
            trace: list[str] = []
            while (predecessor := predecessors[state]) is not None:
                state, step_name = predecessor
                trace.append(step_name)
            return Exploration(len(predecessors), depth_reached, complete, tuple(reversed(trace)))
        if level == depth:
            continue
        for step_name, successor in steps(state):
            if successor not in predecessors:
                if len(predecessors) >= max_states:
                    complete = False
                    break
                predecessors[successor] = state, step_name
                queue.append((successor, level + 1))
    return Exploration(len(predecessors), depth_reached, complete)
