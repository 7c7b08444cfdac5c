"""What the core keeps of a request and its attempts, from the front's question to the one final answer.

Pure. Times are Unix seconds where nothing else is said.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from brackenlane.core.membership_view import MembershipView
from brackenlane.core.timers import Timer
from brackenlane.routing import Router
from brackenlane.routing.actions import Fetch
from brackenlane.routing.events import Arrival, AttemptResult, CacheStatus
from brackenlane.routing.settings import Idempotency, RequestClass


class Disposition(Enum):
    """How a request ended."""

    SERVED = "served"
    UNCHANGED = "unchanged"  # served: the copy that the client holds will do
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer of a request."""

    disposition: Disposition
    body: bytes = b""
    tag: str = ""
    hold_off: float = 0.0
    late: bool = False  # failed since its time was up
    server: str = ""  # the cache that answered


@dataclass(slots=True, frozen=True)
class AttemptReply:
    """How an attempt ended, as a peer reports it."""

    result: AttemptResult
    wait: float = 0.0
    cache_status: CacheStatus = CacheStatus.UNKNOWN
    body: bytes = b""
    tag: str = ""
    unchanged: bool = False
    issued: float | None = None  # Unix time at which the origin gave out this copy
    delay: float = 0.0  # seconds that a fill waited for its source; 0: not told
    report: tuple[tuple[str, float], ...] = ()  # the load of the cache, by the names of the report's fields


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request of a front, until its final answer."""

    arrival: Arrival
    deadline: float
    wire_id: str = ""
    tag: str = ""
    body: bytes = b""
    key: str = ""  # by which caches drop the repeats of a keyed request
    connect_only: bool = False  # the cache is wanted, not the object: reach it and no more
    on_answer: Callable[[Answer], None] | None = None  # called once, with the final answer
    is_client_connected: Callable[[], bool] | None = (
        None  # whether its client is still there, looked at when called
    )
    cls: RequestClass | None = None  # as it was when the request came, whatever is told later
    router: Router | None = None  # that decides it, to its end
    guard: Timer | None = None
    answer: Answer | None = None
    is_finished: bool = False  # nothing more is owed; attempts may still be out
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run twice."""
        return self.cls is not None and self.cls.idempotency is Idempotency.IDEMPOTENT

    @property
    def must_run_once(self) -> bool:
        """Whether it must never run twice: caches drop repeats of a keyed request by its key alone."""
        if self.cls is None:
            return False
        return self.cls.idempotency is Idempotency.NON_IDEMPOTENT or (
            self.cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and not self.key
        )

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have run at a cache: nothing proves the contrary."""
        return any(a.written and not (a.reply and a.reply.result.is_proven_not_run) for a in self.attempts)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a cache, from the decision to its outcome."""

    request: PendingRequest
    number: int
    fetch: Fetch
    started: float
    stop: Callable[[], None] | None = None  # of whoever performs it: takes it back at once
    written: bool = False  # a byte of it may have reached the cache
    cancelled: bool = False
    reply: AttemptReply | None = None

    def remaining_time(self, membership: MembershipView, now: float) -> float:
        """The time its cache has for it, if its first byte may go out at this very moment; else at most 0.

        The one check of all that may have changed since it was decided, however long it waited, and for what.
        """
        request, fetch = self.request, self.fetch
        if (
            self.reply
            or self.cancelled
            or request.is_finished
            or now > fetch.until
            or not membership.allows(fetch)
        ):
            return 0.0
        left = min(self.started + fetch.timeout, request.deadline) - now
        # Last, since it may end the request: its client may have left, unheard as yet.
        return (
            left
            if left > 0 and (request.is_client_connected is None or request.is_client_connected())
            else 0.0
        )
