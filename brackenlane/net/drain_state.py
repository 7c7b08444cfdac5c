"""State of a graceful shutdown or handover, shared by the components of one HTTP front."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class DrainState:
    """Progress of a graceful shutdown or handover; only the front changes it."""

    is_closing: bool = False  # idle connections are closed, all others after their current answer
    is_finished: bool = False  # no request is accepted any more: new ones are rejected at once
    is_handing_over: bool = False  # connections are closed after an answer: clients reconnect to a successor

    @property
    def ends_connections(self) -> bool:
        """Whether connections are closed after each answer."""
        return self.is_closing or self.is_handing_over
