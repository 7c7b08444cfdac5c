"""State of a graceful shutdown or handover, as the parts of one HTTP front read it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class DrainState:
    """How far a front has gone in giving up its clients; changed by the front alone."""

    is_closing: bool = False  # idle connections are closed, the others after their answer
    is_finished: bool = False  # nothing more is accepted: a request that still comes is rejected at once
    is_handing_over: bool = False  # answers close their connections: clients reconnect to a successor

    @property
    def ends_connections(self) -> bool:
        """Whether each answer closes its connection."""
        return self.is_closing or self.is_handing_over
