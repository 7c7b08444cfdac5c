"""What happened in one run, in the order of time: all that the checks may read."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from brackenlane.routing.events import AttemptResult, CacheStatus
from brackenlane.routing.members import ServerState
from brackenlane.routing.settings import RequestClass


class Disposition(Enum):
    """How a router ended a request."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Operation:
    """What a client wants: one first try and its retries."""

    name: str
    cls: RequestClass
    started_at: float
    work: float
    answered_at: float | None = None
    stale: bool = False


@dataclass(slots=True, frozen=True)
class Request:
    """One try of an operation, as a router took it."""

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
    """An attempt as the router asked for it; answered: whether its request had its final answer before."""

    request_id: str
    number: int
    router: int
    server: str
    source: str
    at: float
    answered: bool = False


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt's outcome as the router was told of it."""

    request_id: str
    number: int
    result: AttemptResult
    cache_status: CacheStatus  # as it was, told or not
    issued: float  # of the copy that answered; 0 if none did
    at: float


@dataclass(slots=True, frozen=True)
class RequestAnswered:
    """A request's final answer."""

    request_id: str
    disposition: Disposition
    at: float


@dataclass(slots=True, frozen=True)
class ServerListed:
    """Discovery told a router of a server."""

    router: int
    server: str
    state: ServerState
    started_at: float
    at: float


@dataclass(slots=True, frozen=True)
class PurgeNotified:
    """A router was notified of a purge."""

    router: int
    key: str | int  # object (text) or group (number)
    purged_at: float
    at: float


@dataclass(slots=True, frozen=True)
class WriteExecuted:
    """The origin ran a write."""

    operation: str
    at: float


@dataclass(slots=True, frozen=True)
class ServerOverloaded:
    """A cold server was pushed over; told_share: of that work, from routers told of its start."""

    server: str
    notified_share: float
    at: float


@dataclass(slots=True)
class Record:
    """One run."""

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
    overdue: list[str] = field(default_factory=list)  # requests withdrawn for want of a final answer
