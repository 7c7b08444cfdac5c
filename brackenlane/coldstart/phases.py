"""The phases of a doorman's start, in one table."""

from __future__ import annotations

from enum import Enum


class StartupPhase(Enum):
    """What it serves from."""

    EMPTY = "empty"  # the operator's file alone: no last list, or one that is not trusted yet
    RECALLED = "recalled"  # the last list; drains and purges since it are unknown
    LOADING = "loading"  # as before it; the store answers, the whole list is being read
    CURRENT = "current"  # all that the store has told
    BEHIND = "behind"  # all that it told until it was lost


class StartupEvent(Enum):
    """What moves a router on."""

    RECALL = "the last list was taken"
    ASKED = "the store answered, and the whole list is needed"
    READ = "all that the store has is taken in"
    LOST = "the store is away"


P, E = StartupPhase, StartupEvent
TABLE: dict[tuple[StartupPhase, StartupEvent], StartupPhase] = {
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


class StartupPhases:
    """One doorman's phase, and since when (Unix seconds)."""

    def __init__(self, now: float) -> None:
        self.phase, self.since = StartupPhase.EMPTY, now
        self.is_store_read = False  # whether the store has told all since our start, once at least
        self._before = StartupPhase.EMPTY  # of a load

    def step(self, event: StartupEvent, now: float) -> StartupPhase:
        """Move on; the phase after it."""
        old = self.phase
        if old is StartupPhase.LOADING and event is StartupEvent.LOST:
            new = self._before
        elif old is StartupPhase.LOADING and event is StartupEvent.RECALL:
            new, self._before = old, StartupPhase.RECALLED
        else:
            new = TABLE.get((old, event), old)
        if new is not old:
            self.phase, self.since = new, now
            self._before = old if new is StartupPhase.LOADING else self._before
        self.is_store_read |= new is StartupPhase.CURRENT
        return new
