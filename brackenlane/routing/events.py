"""Events that a Router handles: membership, requests, results of attempts, timers, purges.

Times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from brackenlane.routing.members import Member


class MembershipKind(Enum):
    """What a membership event carries."""

    CHANGES = "changes"  # the members that changed
    FULL = "full"  # the complete list
    REMEMBERED = "remembered"  # the complete list as this router last saved it; it may be stale
    REJECTED = "refused"  # no members: a subscription failed or ended, and the list remains unchanged


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the server answered with an error
    FULL = "full"  # the server rejected the request because it has no free slot
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection could be established
    BROKEN = "broken"  # the connection broke after the request was sent
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"
    MISS = "miss"  # the cache has no copy and was not allowed to fill one

    @property
    def is_proven_not_run(self) -> bool:
        """Whether the result proves that the server did not run the request."""
        return self in _PROVEN_NOT_RUN


_PROVEN_NOT_RUN = (
    AttemptResult.FULL,
    AttemptResult.UNREACHABLE,
    AttemptResult.NEVER_SENT,
    AttemptResult.MISS,
)


class CacheStatus(Enum):
    """How a cache obtained its answer, as it reports; the values are the codes on the wire."""

    UNKNOWN = 0
    HIT = 1
    FILLED = 2  # filled from a copy that the source had
    FILLED_BY_ORIGIN = 3  # fetched from the origin, by the cache or by its source
    JOINED = 4  # answered by a fill that was already in progress
    STALE = 5  # answered from a copy past its freshness lifetime
    SOURCE_REFUSED = 6
    SOURCE_FAILED = 7  # the source was unreachable, broke off the transfer or was too slow
    SOURCE_MISS = 8  # the source has no copy and was not allowed to fetch one
    FILL_LIMIT_REACHED = 9  # the cache has reached its limit of concurrent fills
    ORIGIN_FAILED = 10  # the origin failed while the source was fetching from it


class Event:
    """Base class of all events that a Router handles."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class Membership(Event):
    """A list of servers, complete or partial."""

    kind: MembershipKind
    members: tuple[Member, ...] = ()


@dataclass(slots=True, frozen=True)
class Arrival(Event):
    """A client's request; it must get exactly one final answer within `time_left`."""

    request_id: str
    time_left: float  # seconds until the client gives up
    cls: str  # name of its RequestClass
    obj: str = ""  # name of the object
    part: int = 0  # index of the part within the object
    group: int = -1  # group of objects that are purged together; -1: none
    size_kb: float = 0.0  # size of the answer; 0: unknown
    is_write: bool = False
    is_retry: bool = False  # whether the client has sent this request before
    has_idempotency_key: bool = True  # only used in classes that are IDEMPOTENT_WITH_KEY

    @property
    def cache_key(self) -> str:
        """Key of the cached copy: each part of an object is cached separately."""
        return f"{self.obj}/{self.part}"


@dataclass(slots=True, frozen=True)
class Outcome(Event):
    """The end of one attempt."""

    request_id: str
    attempt: int  # number of the attempt, from 0
    server: str  # Member.server of the server that the attempt was sent to
    result: AttemptResult
    wait: float = 0.0  # seconds from sending to the end
    final: bool = False  # whether this outcome ends the request
    cache_status: CacheStatus = CacheStatus.UNKNOWN
    first_byte: float = 0.0  # seconds until the fill's source sent its first byte or failed; 0: unknown
    report: tuple[tuple[str, float], ...] = ()  # load report of the server: names and values
    size_kb: float = 0.0  # size of the answer; 0: unknown, as always with the simulator


@dataclass(slots=True, frozen=True)
class ResponseStarted(Event):
    """The answer of an attempt has begun to stream to the client, so no other answer may be sent."""

    request_id: str
    attempt: int  # number of the attempt, from 0
    server: str  # Member.server of the server that the attempt was sent to
    wait: float = 0.0  # seconds from sending to the start of the answer


@dataclass(slots=True, frozen=True)
class ClientDisconnected(Event):
    """The client closed its connection, so its request no longer needs an answer."""

    request_id: str


@dataclass(slots=True, frozen=True)
class TimerFired(Event):
    """A timer has expired."""

    token: int  # SetTimer.token of the timer


@dataclass(slots=True, frozen=True)
class Purged(Event):
    """An object or a group of objects was purged: older copies must not be served."""

    obj: str = ""  # name of the object; empty: the whole group
    group: int = -1  # number of the group; -1: no group
    age: float = 0.0  # seconds since the purge was issued
    # Unix time of the purge by the origin's clock, which also sets the issue time of copies; 0: unknown.
    purged_at: float = 0.0
