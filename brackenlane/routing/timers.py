"""The timers of one router, each for a request or an attempt.

Pure: the caller performs `SetTimer` and reports `TimerFired`. Times are Unix seconds.
"""

from __future__ import annotations

from typing import NamedTuple

from brackenlane.routing.actions import SetTimer


class TimerTarget(NamedTuple):
    """The purpose of a timer: the deadline of a request, or the time at which an attempt is overdue."""

    request_id: str
    attempt: int | None  # number of the attempt; None: the deadline of the request


class RouterTimers:
    """The pending timers of the requests without a final answer, identified by tokens."""

    __slots__ = ("_last_token", "_targets", "_tokens")

    def __init__(self) -> None:
        self._last_token = 0
        self._targets: dict[int, TimerTarget] = {}
        self._tokens: dict[str, list[int]] = {}  # tokens of the timers set for each request

    def set_deadline(self, request_id: str, at: float) -> SetTimer:
        """Return the action that sets a timer for the deadline of a request."""
        return self._set(TimerTarget(request_id, None), at)

    def set_overdue(self, request_id: str, attempt: int, at: float) -> SetTimer:
        """Return the action that sets a timer for the time at which an attempt is overdue."""
        return self._set(TimerTarget(request_id, attempt), at)

    def pop(self, token: int) -> TimerTarget | None:
        """Remove a fired timer and return its target; None for an unknown token."""
        return self._targets.pop(token, None)

    def forget(self, request_id: str) -> None:
        """Forget the timers of a request that has ended; those that fire later are unknown."""
        for token in self._tokens.pop(request_id, ()):
            self._targets.pop(token, None)

    def _set(self, target: TimerTarget, at: float) -> SetTimer:
        self._last_token += 1
        self._targets[self._last_token] = target
        self._tokens.setdefault(target.request_id, []).append(self._last_token)
        return SetTimer(self._last_token, at, target.request_id)
