"""Context shared by the connections to all caches: settings, descriptor quota, and callbacks for results."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from brackenlane.core.membership_view import MembershipView
from brackenlane.core.memory_budget import MemoryBudget
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
    """Limit on the file descriptors used by connections to all caches together.

    The remaining descriptors of the process are reserved for the change log, operators and clients. One unit
    is acquired when a connect begins and released when its connection is closed.
    """

    def __init__(self, maximum: int) -> None:
        self.maximum = maximum
        self.close_idle: Callable[[], bool] = lambda: False
        """Closes one idle connection to free a descriptor; returns whether there was one."""
        self._taken = 0

    def acquire(self, needed: bool) -> bool:
        """Acquire one unit; return False if none is available.

        needed: an idle connection may be closed to free a unit.
        """
        if self._taken >= self.maximum and not (needed and self.close_idle()):
            return False
        self._taken += 1
        return True

    def release(self) -> None:
        """Release one unit."""
        self._taken -= 1


@dataclass(slots=True)
class ConnectionContext:
    """Shared by all pools and connections, so that a new configuration applies to all of them at once."""

    membership: MembershipView
    limits: Limits
    poller: Poller
    timers: Timers
    report: ReportReply
    count_written: CountWrittenAttempt
    quota: ConnectionQuota
    settings: Settings
    memory: MemoryBudget = field(default_factory=MemoryBudget)
