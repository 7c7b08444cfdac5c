"""The messages that the request engine receives through its mailbox."""

from __future__ import annotations

from dataclasses import dataclass

from brackenlane.core.requests import Attempt, AttemptReply, PendingRequest
from brackenlane.routing import Router
from brackenlane.routing.events import Event, TimerFired


@dataclass(slots=True, eq=False)
class AttemptEnded:
    """The end of an attempt, reported by the component that performed it."""

    attempt: Attempt
    reply: AttemptReply


@dataclass(slots=True, eq=False)
class RouterTimerFired:
    """A timer set by a router is due; only that router receives the event."""

    router: Router
    event: TimerFired


Message = PendingRequest | Event | AttemptEnded | RouterTimerFired
