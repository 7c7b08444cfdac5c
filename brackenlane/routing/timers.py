"""The timers of one router: which request or attempt each of them is for.

Pure: the caller performs `SetTimer` and reports `TimerFired`. Times are Unix seconds.
"""

from __future__ import annotations

from typing import NamedTuple

from brackenlane.routing.actions import SetTimer


class TimerTarget(NamedTuple):
    """What a timer is for: the deadline of a request, or one attempt that is overdue then."""

    request_id: str
    attempt: int | None  # None: the request's deadline


class RouterTimers:
    """The timers that were set and have not fired; each is identified by a token."""

    __slots__ = ("_last_token", "_targets")

    def __init__(self) -> None:
        self._last_token = 0
        self._targets: dict[int, TimerTarget] = {}

    def set_deadline(self, request_id: str, at: float) -> SetTimer:
        """Return the action that sets a timer for the deadline of a request."""
        return self._set(TimerTarget(request_id, None), at)

    def set_overdue(self, request_id: str, attempt: int, at: float) -> SetTimer:
        """Return the action that sets a timer for the time at which an attempt is overdue."""
        return self._set(TimerTarget(request_id, attempt), at)

    def pop(self, token: int) -> TimerTarget | None:
        """Return what a fired timer was for; None for a token that is unknown."""
        return self._targets.pop(token, None)

    def _set(self, target: TimerTarget, at: float) -> SetTimer:
        self._last_token += 1
        self._targets[self._last_token] = target
        return SetTimer(self._last_token, at)
