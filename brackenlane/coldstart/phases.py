"""The phases of a router's start and their transitions, in one table."""

from __future__ import annotations

from enum import Enum


class StartupPhase(Enum):
    """What the router serves from. The values are the words of the console."""

    EMPTY = "empty"  # the operator's file alone: no snapshot, or one that is not trusted yet
    RECALLED = "recalled"  # the snapshot; drains and purges since it are unknown
    LOADING = "loading"  # as in the phase before; the store answers, its full contents are being read
    CURRENT = "current"  # everything that the store has
    BEHIND = "behind"  # everything that the store had until the connection was lost


class StartupEvent(Enum):
    """What moves a router from one phase to another."""

    SNAPSHOT_RESTORED = "the snapshot was restored"
    LOAD_STARTED = "the store answered, and its full contents are needed"
    CAUGHT_UP = "everything that the store has was applied"
    STORE_LOST = "the store is unavailable"


# A pair that is not listed leaves the phase as it is, but for one whose result is not fixed: a load that
# breaks off (LOADING, STORE_LOST) returns to the phase that it began from.
TRANSITIONS: dict[tuple[StartupPhase, StartupEvent], StartupPhase] = {
    (StartupPhase.EMPTY, StartupEvent.SNAPSHOT_RESTORED): StartupPhase.RECALLED,
    (StartupPhase.EMPTY, StartupEvent.LOAD_STARTED): StartupPhase.LOADING,
    (StartupPhase.EMPTY, StartupEvent.CAUGHT_UP): StartupPhase.CURRENT,
    (StartupPhase.RECALLED, StartupEvent.LOAD_STARTED): StartupPhase.LOADING,
    (StartupPhase.RECALLED, StartupEvent.CAUGHT_UP): StartupPhase.CURRENT,
    (StartupPhase.LOADING, StartupEvent.CAUGHT_UP): StartupPhase.CURRENT,
    (StartupPhase.CURRENT, StartupEvent.STORE_LOST): StartupPhase.BEHIND,
    (StartupPhase.BEHIND, StartupEvent.LOAD_STARTED): StartupPhase.LOADING,
    (StartupPhase.BEHIND, StartupEvent.CAUGHT_UP): StartupPhase.CURRENT,
}


class StartupPhases:
    """The phase of one router, and since when (Unix seconds)."""

    def __init__(self, now: float) -> None:
        self.phase = StartupPhase.EMPTY
        self.since = now
        self.is_store_read = False  # whether CURRENT was reached at least once since the start
        self._phase_before_load = StartupPhase.EMPTY

    def step(self, event: StartupEvent, now: float) -> StartupPhase:
        """Apply one event; return the phase after it."""
        phase = self._phase_after(event)
        if phase is self.phase:
            # A snapshot restored during a load is what the router serves from if the load breaks off.
            if phase is StartupPhase.LOADING and event is StartupEvent.SNAPSHOT_RESTORED:
                self._phase_before_load = StartupPhase.RECALLED
            return phase
        if phase is StartupPhase.LOADING:
            self._phase_before_load = self.phase
        if phase is StartupPhase.CURRENT:
            self.is_store_read = True
        self.phase = phase
        self.since = now
        return phase

    def _phase_after(self, event: StartupEvent) -> StartupPhase:
        if self.phase is StartupPhase.LOADING and event is StartupEvent.STORE_LOST:
            return self._phase_before_load
        return TRANSITIONS.get((self.phase, event), self.phase)
