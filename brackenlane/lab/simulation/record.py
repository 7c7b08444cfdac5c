"""Record of one run in order of time: the only input of the invariants and of the value computation."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from brackenlane.routing.events import AttemptResult, CacheStatus
from brackenlane.routing.members import ServerState
from brackenlane.routing.settings import RequestClass


class Disposition(Enum):
    """Final answer of a router to a request."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Operation:
    """One logical operation of a client: its first request and the retries."""

    name: str
    cls: RequestClass
    started_at: float
    work: float
    answered_at: float | None = None
    stale: bool = False


@dataclass(slots=True, frozen=True)
class Request:
    """One request of an operation (the first or a retry), as received by a router."""

    name: str
    operation: str
    router: int
    cls: RequestClass
    at: float
    deadline: float
    obj: str
    group: int


@dataclass(slots=True, frozen=True)
class AttemptSent:
    """An attempt that a router sent; answered: whether its request already had its final answer."""

    request_id: str
    number: int
    router: int
    server: str
    source: str
    at: float
    answered: bool = False


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The outcome of an attempt, as reported to the router."""

    request_id: str
    number: int
    result: AttemptResult
    cache_status: CacheStatus  # true status, also where the site does not report it to routers
    issued: float  # time at which the origin sent the copy; 0 without a copy
    at: float


@dataclass(slots=True, frozen=True)
class RequestAnswered:
    """The final answer to a request."""

    request_id: str
    disposition: Disposition
    at: float


@dataclass(slots=True, frozen=True)
class ServerListed:
    """A router was notified of a server's state."""

    router: int
    server: str
    state: ServerState
    started_at: float
    at: float


@dataclass(slots=True, frozen=True)
class PurgeNotified:
    """A router was notified of a purge."""

    router: int
    key: str | int  # object (string) or group (number)
    purged_at: float
    at: float


@dataclass(slots=True, frozen=True)
class WriteExecuted:
    """The origin executed a write."""

    operation: str
    at: float


@dataclass(slots=True, frozen=True)
class ServerOverloaded:
    """A cold server failed from overload.

    notified_share: share of the recent work that came from routers notified of the server's start.
    """

    server: str
    notified_share: float
    at: float


@dataclass(slots=True)
class Record:
    """Everything that happened in one run."""

    operations: dict[str, Operation] = field(default_factory=dict)
    requests: dict[str, Request] = field(default_factory=dict)
    sent: list[AttemptSent] = field(default_factory=list)
    ended: list[AttemptEnded] = field(default_factory=list)
    answered: list[RequestAnswered] = field(default_factory=list)
    listed: list[ServerListed] = field(default_factory=list)
    purges_notified: list[PurgeNotified] = field(default_factory=list)
    executed: list[WriteExecuted] = field(default_factory=list)
    overloaded_servers: list[ServerOverloaded] = field(default_factory=list)
    origin_stops: int = 0
    overdue: list[str] = field(
        default_factory=list
    )  # requests that the client abandoned without a final answer
