"""State machine of a router's start: its phases, and the events that change them."""

from __future__ import annotations

from enum import Enum


class StartupPhase(Enum):
    """The data that the router serves from; the console shows the values."""

    EMPTY = "empty"  # the operator's file only: there is no snapshot, or it was not accepted yet
    RECALLED = "recalled"  # the snapshot; drains and purges since it are unknown
    LOADING = "loading"  # the data of the previous phase, while the store's full contents are being read
    CURRENT = "current"  # the store's present contents
    BEHIND = "behind"  # the store's contents as of the loss of its connection


class StartupEvent(Enum):
    """Events that change the phase."""

    SNAPSHOT_RESTORED = "the snapshot was restored"
    LOAD_STARTED = "the store answered, and its full contents are needed"
    CAUGHT_UP = "everything that the store has was applied"
    STORE_LOST = "the store is unavailable"


# A pair that is not listed does not change the phase, except (LOADING, STORE_LOST): an interrupted load
# returns to the phase in which it began, see StartupPhases._phase_after.
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
    """The current phase of one router and the time at which it began (Unix seconds)."""

    def __init__(self, now: float) -> None:
        self.phase = StartupPhase.EMPTY
        self.since = now
        self.is_store_read = False  # whether CURRENT was reached at least once since the start
        self._phase_before_load = StartupPhase.EMPTY

    def step(self, event: StartupEvent, now: float) -> StartupPhase:
        """Apply one event and return the resulting phase."""
        phase = self._phase_after(event)
        if phase is self.phase:
            # If the load is interrupted, the router serves from the snapshot restored in the meantime.
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
