"""What a Router is told: membership, requests, results of attempts, timers, purges. Times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from brackenlane.routing.members import Member


class MembershipKind(Enum):
    """What a membership event brings."""

    CHANGES = "changes"
    FULL = "full"
    REMEMBERED = "remembered"
    REJECTED = "refused"


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"
    MISS = "miss"

    @property
    def is_proven_not_run(self) -> bool:
        """Whether this outcome proves that nothing ran."""
        return self in (
            AttemptResult.FULL,
            AttemptResult.UNREACHABLE,
            AttemptResult.NEVER_SENT,
            AttemptResult.MISS,
        )


class CacheStatus(Enum):
    """How an answer came about, where the cache tells."""

    UNKNOWN = 0
    HIT = 1
    FILLED = 2
    FILLED_BY_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_FAILED = 7
    SOURCE_LACKS = 8
    NO_PLACE = 9
    ORIGIN_FAILED = 10


class Event:
    """Anything that a Router is told."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class Membership(Event):
    """A list of servers, whole or in part."""

    kind: MembershipKind
    members: tuple[Member, ...] = ()


@dataclass(slots=True, frozen=True)
class Arrival(Event):
    """A client's request; it is owed one final answer within time_left."""

    request_id: str
    time_left: float
    cls: str
    obj: str = ""
    part: int = 0
    group: int = -1
    size_kb: float = 0.0
    is_write: bool = False
    is_retry: bool = False
    has_idempotency_key: bool = True  # by which caches drop repeats; needed in keyed classes alone

    @property
    def cache_key(self) -> str:
        """What a copy is kept of: one part of an object."""
        return f"{self.obj}/{self.part}"


@dataclass(slots=True, frozen=True)
class Outcome(Event):
    """How one attempt ended; final is set when the request is over."""

    request_id: str
    attempt: int
    server: str
    result: AttemptResult
    wait: float = 0.0
    final: bool = False
    cache_status: CacheStatus = CacheStatus.UNKNOWN
    first_byte: float = 0.0  # until the origin gave out what was fetched there for it, where that is seen
    report: tuple[tuple[str, float], ...] = ()
    size_kb: float = 0.0  # of what came, where it is seen; the wire of the simulator does not show it


@dataclass(slots=True, frozen=True)
class ResponseStarted(Event):
    """The answer of an attempt has begun to stream; it now belongs to the client."""

    request_id: str
    attempt: int
    server: str
    wait: float = 0.0


@dataclass(slots=True, frozen=True)
class ClientDisconnected(Event):
    """The client left; nothing more is owed."""

    request_id: str


@dataclass(slots=True, frozen=True)
class TimerFired(Event):
    """A timer has come due."""

    token: int


@dataclass(slots=True, frozen=True)
class Purged(Event):
    """An object, or without one a whole group, was purged age seconds ago."""

    obj: str = ""
    group: int = -1
    age: float = 0.0
