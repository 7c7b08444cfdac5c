"""Every state that a protocol can come to, to a stated depth; by the shortest ways first."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

S = TypeVar("S", bound=Hashable)


@dataclass(frozen=True, slots=True)
class Found(Generic[S]):
    """What a search came to."""

    states: int
    depth: int  # steps of the longest way that was followed
    complete: bool  # whether nothing within the depth was left out
    fault: tuple[str, ...] = ()  # the steps to the first state that breaks the invariant


def explore(
    first: S,
    steps: Callable[[S], Iterable[tuple[str, S]]],
    holds: Callable[[S], bool],
    depth: int,
    most: int = 5_000_000,
) -> Found[S]:
    """Follow all steps from the first state; each state is looked at once."""
    came: dict[S, tuple[S, str] | None] = {first: None}
    queue: deque[tuple[S, int]] = deque([(first, 0)])
    reached = 0
    complete = True
    while queue:
        state, level = queue.popleft()
        reached = max(reached, level)
        if not holds(state):
            way: list[str] = []
            while (back := came[state]) is not None:
                state, said = back
                way.append(said)
            return Found(len(came), reached, complete, tuple(reversed(way)))
        if level == depth:
            continue
        for said, after in steps(state):
            if after not in came:
                if len(came) >= most:
                    complete = False
                    break
                came[after] = state, said
                queue.append((after, level + 1))
    return Found(len(came), reached, complete)
