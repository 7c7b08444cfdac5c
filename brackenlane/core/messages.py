"""The messages that the request engine receives by its mailbox."""

from __future__ import annotations

from dataclasses import dataclass

from brackenlane.core.requests import Attempt, AttemptReply, PendingRequest
from brackenlane.routing import Router
from brackenlane.routing.events import Event, TimerFired


@dataclass(slots=True, eq=False)
class AttemptEnded:
    """The end of an attempt, reported by whoever performed it."""

    attempt: Attempt
    reply: AttemptReply


@dataclass(slots=True, eq=False)
class RouterTimerFired:
    """A timer that one router has set and that is due; no other router sees the event."""

    router: Router
    event: TimerFired


Message = PendingRequest | Event | AttemptEnded | RouterTimerFired
