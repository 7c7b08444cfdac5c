"""How a process stands to the others of its router. Pure.

| this process | others that live | stand |
| --- | --- | --- |
| any | none | ALONE |
| any | a later one that serves | RELIEVED |
| any | a later one that does not serve yet | EXPECTING |
| any | earlier ones alone | TAKING_OVER |
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass
from enum import Enum


@dataclass(slots=True, frozen=True)
class HandoverBehavior:
    """What a process does in its stand."""

    name: str
    share: float  # of the clients' places
    is_handing_over: bool  # answers ask clients to come back on a new connection, which the successor gets
    cold: bool  # may send to caches that started lately


class HandoverState(Enum):
    """The stands, each with its duty."""

    ALONE = HandoverBehavior("alone", 1.0, False, True)
    EXPECTING = HandoverBehavior("expecting a successor", 0.75, False, True)
    TAKING_OVER = HandoverBehavior("taking over", 0.75, False, True)
    RELIEVED = HandoverBehavior("relieved", 0.25, True, False)


def handover_state(me: str, serving: Mapping[str, bool], alive: Set[str]) -> HandoverState:
    """How `me` stands. serving: who serves, in the order of births; alive: who of them lives."""
    order = list(serving)
    later = [p for p in order[order.index(me) + 1 :] if p in alive]
    if any(serving[p] for p in later):
        return HandoverState.RELIEVED
    if later:
        return HandoverState.EXPECTING
    return HandoverState.TAKING_OVER if any(p in alive for p in order if p != me) else HandoverState.ALONE
