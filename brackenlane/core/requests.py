"""Records of a request and its attempts, from a front's question to the one final answer.

Times are Unix seconds and durations are seconds where nothing else is said.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from brackenlane.core.membership_view import MembershipView
from brackenlane.core.timers import Timer
from brackenlane.routing import Router
from brackenlane.routing.actions import Fetch
from brackenlane.routing.events import Arrival, AttemptResult, CacheStatus
from brackenlane.routing.settings import Idempotency, RequestClass

log = logging.getLogger(__name__)


class Disposition(Enum):
    """How a request ended."""

    SERVED = "served"
    UNCHANGED = "unchanged"  # served: the copy that the client holds is still valid
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer of a request."""

    disposition: Disposition
    body: bytes = b""
    tag: str = ""  # entity tag of the body
    hold_off: float = 0.0  # seconds after which a rejected client may retry
    deadline_exceeded: bool = False  # failed because its deadline has passed
    server: str = ""  # the server that answered; empty for an answer of our own


@dataclass(slots=True, frozen=True)
class AttemptReply:
    """How an attempt ended, as its connection reports it."""

    result: AttemptResult
    wait: float = 0.0  # seconds from the start of the attempt to its end
    cache_status: CacheStatus = CacheStatus.UNKNOWN
    body: bytes = b""
    tag: str = ""  # entity tag of the body
    unchanged: bool = False  # the copy that the client holds is still valid
    issued: float | None = None  # Unix time at which the origin issued this copy
    delay: float = 0.0  # seconds that a fill waited for its source; 0: unknown
    report: tuple[tuple[str, float], ...] = ()  # load of the cache, by the names of the report's fields


def _assume_connected() -> bool:
    """Stand for a front that cannot detect a closed connection."""
    return True


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request of a front, until its final answer."""

    arrival: Arrival
    deadline: float
    wire_id: str = ""  # the client's own id, passed on unread
    tag: str = ""  # entity tag of the copy that the client holds
    body: bytes = b""
    key: str = ""  # idempotency key, by which caches drop repeats
    connect_only: bool = False  # the server's connection is wanted, not the object
    on_answer: Callable[[Answer], None] | None = None  # called once, with the final answer
    is_client_connected: Callable[[], bool] = _assume_connected  # may detect a close, which ends the request
    cls: RequestClass | None = None  # as configured when the request arrived
    router: Router | None = None  # decides the request to its end; set on arrival
    expiry_timer: Timer | None = None
    answer: Answer | None = None
    is_finished: bool = False  # its front expects nothing more; attempts may still be active
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run twice."""
        return self.cls is not None and self.cls.idempotency is Idempotency.IDEMPOTENT

    @property
    def must_run_once(self) -> bool:
        """Whether it must never run twice: without a key no cache can drop the repeat of a keyed request."""
        if self.cls is None:
            return False
        if self.cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            return not self.key
        return self.cls.idempotency is Idempotency.NON_IDEMPOTENT

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have run at a cache: nothing proves that it has not."""
        return any(attempt.may_have_run for attempt in self.attempts)

    @property
    def has_active_attempts(self) -> bool:
        """Whether an attempt has not been reported as ended."""
        return any(attempt.reply is None for attempt in self.attempts)

    def finish(self, answer: Answer | None) -> None:
        """Set the final answer and notify the front; `answer` is None if the client has disconnected."""
        on_answer = self.on_answer
        self.is_finished = True
        self.answer = answer
        self.on_answer = None
        if self.expiry_timer:
            self.expiry_timer.cancel()
        if on_answer is None or answer is None:
            return
        try:
            on_answer(answer)
        except Exception:  # a fault of one client's connection must not stop the engine
            log.exception("answer to request %s not delivered", self.arrival.request_id)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a server, from the decision to its outcome."""

    request: PendingRequest
    number: int  # place among the attempts of its request, from 0
    fetch: Fetch
    started_at: float
    stop: Callable[[], None] | None = None  # set by whoever performs it: ends it at once
    written: bool = False  # a byte of it may have reached the cache
    cancelled: bool = False
    reply: AttemptReply | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run it: it was written, and no reply proves the contrary."""
        if not self.written:
            return False
        return self.reply is None or not self.reply.result.is_proven_not_run

    def remaining_time(self, membership: MembershipView, now: float) -> float:
        """Return the seconds left if the first byte is written now; 0 if it must not be written.

        This is the last check before the write: anything may have changed while the attempt was queued.
        """
        if not self._is_sendable(membership, now):
            return 0.0
        deadline = min(self.started_at + self.fetch.timeout, self.request.deadline)
        if now >= deadline:
            return 0.0
        # Checked last: detecting a closed connection may end the request.
        if not self.request.is_client_connected():
            return 0.0
        return deadline - now

    def _is_sendable(self, membership: MembershipView, now: float) -> bool:
        """Whether the attempt is still wanted, decided recently enough, and its servers serve."""
        if self.reply or self.cancelled or self.request.is_finished:
            return False
        return now <= self.fetch.until and membership.allows(self.fetch)
