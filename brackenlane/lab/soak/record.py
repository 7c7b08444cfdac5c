"""What the peers of the routers observed; times are seconds of the soak's monotonic clock."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class ObservedAttempt:
    """One attempt as a server received it."""

    at: float
    server: str
    request_id: str
    source: str  # the server that a miss is filled from; empty: none
    budget: float  # seconds that the request allowed the server
    has_run: bool = True  # False: the server responded, correctly, that the request did not run


@dataclass(slots=True)
class ObservedRequest:
    """One request as its client sent it, with how it ended."""

    request_id: str
    router: int
    sent_at: float  # when its last byte was written
    time_limit: float
    is_write: bool
    obj: str
    group: int
    answered_at: float = math.inf
    status: int = 0  # 0: no complete response
    issued_at: float = 0.0  # Unix time at which the origin issued the copy that was served; 0: none
    extra_bytes: int = 0  # received after the end of the response
    client_left_at: float = math.inf  # when the client closed before the response
    raced_with_close: bool = False  # the router closed the idle connection meanwhile: no response is due


@dataclass(slots=True)
class ObservedRouter:
    """One router process and how it ended."""

    number: int
    suspended: list[tuple[float, float]] = field(default_factory=list)  # by SIGSTOP: (start, end)
    sigterm_at: float = math.inf
    sigkill_at: float = math.inf
    exit_code: int | None = None
    log: bytes = b""
    memory_mb: float = math.inf  # memory of its settings
    peak_memory_mb: float = 0.0


@dataclass(slots=True)
class Notification:
    """One change, with the time from which a router counts as notified of it."""

    router: int
    at: float  # monotonic clock
    server: str = ""
    is_serving: bool = False
    purged_group: int = -1
    purged_at: float = 0.0  # Unix time


@dataclass(slots=True)
class Record:
    """All that the peers observed in one run."""

    attempts: list[ObservedAttempt] = field(default_factory=list)
    requests: dict[str, ObservedRequest] = field(default_factory=dict)
    routers: list[ObservedRouter] = field(default_factory=list)
    notifications: list[Notification] = field(default_factory=list)
    stalls: list[tuple[float, float]] = field(default_factory=list)  # of the soak process: (start, end)
    started_at: float = 0.0  # the time to which fault times are relative
    timeline: list[tuple[float, str]] = field(default_factory=list)  # seconds after started_at, action

    def note(self, at: float, text: str) -> None:
        """Append an action to the timeline."""
        self.timeline.append((at - self.started_at, text))
