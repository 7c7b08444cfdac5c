"""The phases of a doorman's start, in one table."""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """What it serves from."""

    EMPTY = "empty"  # the operator's file alone: no last list, or one that is not trusted yet
    RECALLED = "recalled"  # the last list; drains and purges since it are unknown
    LOADING = "loading"  # as before it; the store answers, the whole list is being read
    CURRENT = "current"  # all that the store has told
    BEHIND = "behind"  # all that it told until it was lost


class Event(Enum):
    """What moves a doorman on."""

    RECALL = "the last list was taken"
    ASKED = "the store answered, and the whole list is needed"
    READ = "all that the store has is taken in"
    LOST = "the store is away"


P, E = Phase, Event
TABLE: dict[tuple[Phase, Event], Phase] = {
    (P.EMPTY, E.RECALL): P.RECALLED,
    (P.EMPTY, E.ASKED): P.LOADING,
    (P.RECALLED, E.ASKED): P.LOADING,
    (P.BEHIND, E.ASKED): P.LOADING,
    (P.EMPTY, E.READ): P.CURRENT,
    (P.RECALLED, E.READ): P.CURRENT,
    (P.LOADING, E.READ): P.CURRENT,
    (P.BEHIND, E.READ): P.CURRENT,
    (P.CURRENT, E.LOST): P.BEHIND,
}  # all else changes nothing, but that a load which breaks off falls back to what it began from


class Phases:
    """One doorman's phase, and since when (Unix seconds)."""

    def __init__(self, now: float) -> None:
        self.phase, self.since = Phase.EMPTY, now
        self.heard = False  # whether the store has told all since our start, once at least
        self._before = Phase.EMPTY  # of a load

    def step(self, event: Event, now: float) -> Phase:
        """Move on; the phase after it."""
        old = self.phase
        if old is Phase.LOADING and event is Event.LOST:
            new = self._before
        elif old is Phase.LOADING and event is Event.RECALL:
            new, self._before = old, Phase.RECALLED
        else:
            new = TABLE.get((old, event), old)
        if new is not old:
            self.phase, self.since = new, now
            self._before = old if new is Phase.LOADING else self._before
        self.heard |= new is Phase.CURRENT
        return new
