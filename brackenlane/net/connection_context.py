"""What the connections to all caches share: settings in force, the descriptor quota, and where results go."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brackenlane.core.membership_view import MembershipView
from brackenlane.core.requests import Attempt, AttemptReply
from brackenlane.core.timers import Timers
from brackenlane.limits import Limits
from brackenlane.net.poller import Poller
from brackenlane.routing.settings import Settings

ReportReply = Callable[[Attempt, AttemptReply], None]
"""Receives the reply of each attempt, exactly once."""

CountWrittenAttempt = Callable[[str], None]
"""Receives the request class of each attempt whose last byte was handed to the kernel."""


class ConnectionQuota:
    """The number of descriptors that connections to all caches together may use.

    The remaining descriptors of the process are kept for the change log, operators and clients. One unit is
    taken when a connect begins and given back when its connection ends.
    """

    def __init__(self, maximum: int) -> None:
        self.maximum = maximum
        self.close_idle: Callable[[], bool] = lambda: False
        """Closes one idle connection to make room; returns whether there was one."""
        self._taken = 0

    def take(self, needed: bool) -> bool:
        """Take one unit and return whether there was one.

        needed: an idle connection may be closed to free one.
        """
        if self._taken >= self.maximum and not (needed and self.close_idle()):
            return False
        self._taken += 1
        return True

    def give(self) -> None:
        """Give one unit back."""
        self._taken -= 1


@dataclass(slots=True)
class ConnectionContext:
    """Shared by all pools and their connections, so that a new configuration reaches all of them at once."""

    membership: MembershipView
    limits: Limits
    poller: Poller
    timers: Timers
    report: ReportReply
    count_written: CountWrittenAttempt
    quota: ConnectionQuota
    settings: Settings
