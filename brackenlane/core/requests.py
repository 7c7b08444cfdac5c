"""Records of a request and its attempts, from the submission by a front to the final answer.

Unless stated otherwise, times are Unix seconds and durations are seconds.
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
    UNCHANGED = "unchanged"  # served without a body: the client's copy is current
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer to a request; each request gets exactly one."""

    disposition: Disposition
    body: bytes = b""
    tag: str = ""  # entity tag of the body
    retry_after: float = 0.0  # seconds after which a rejected client may retry
    deadline_exceeded: bool = False  # the request failed because its deadline has passed
    server: str = ""  # server that answered; empty if this process answered by itself


@dataclass(slots=True, frozen=True)
class AttemptReply:
    """Result of an attempt, as reported by its connection."""

    result: AttemptResult
    wait: float = 0.0  # seconds from the start of the attempt to its end
    cache_status: CacheStatus = CacheStatus.UNKNOWN
    body: bytes = b""
    tag: str = ""  # entity tag of the body
    unchanged: bool = False  # the client's copy is current, so there is no body
    issued: float | None = None  # Unix time at which the origin issued this copy
    delay: float = 0.0  # seconds that a fill waited for its source; 0: unknown
    report: tuple[tuple[str, float], ...] = ()  # load report of the cache: field names and values


def _assume_connected() -> bool:
    """Return True: default for a front that cannot detect a closed connection."""
    return True


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request submitted by a front."""

    arrival: Arrival
    deadline: float
    client_request_id: str = ""  # request id chosen by the client, forwarded to caches without interpretation
    tag: str = ""  # entity tag of the copy that the client holds
    body: bytes = b""
    key: str = ""  # idempotency key, by which caches detect repeated writes
    connect_only: bool = False  # ask only for a server that accepts a connection, not for the object
    on_answer: Callable[[Answer], None] | None = None  # called once, with the final answer
    is_client_connected: Callable[[], bool] = _assume_connected  # may detect a close and finish the request
    cls: RequestClass | None = None  # class of the request, as configured on its arrival
    router: Router | None = None  # router that makes all decisions for this request; set on arrival
    timers: list[Timer] = field(default_factory=list)  # cancelled when the request is finished
    answer: Answer | None = None
    is_finished: bool = False  # answered or withdrawn; attempts may still be active
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def is_idempotent(self) -> bool:
        """Whether running the request twice is harmless."""
        return self.cls is not None and self.cls.idempotency is Idempotency.IDEMPOTENT

    @property
    def must_run_once(self) -> bool:
        """Whether the request must never run twice.

        A write that is idempotent by key is included if it has no key, since caches can't detect a repeat.
        """
        if self.cls is None:
            return False
        if self.cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            return not self.key
        return self.cls.idempotency is Idempotency.NON_IDEMPOTENT

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run at a cache, that is, isn't proven not to have run."""
        return any(attempt.may_have_run for attempt in self.attempts)

    @property
    def has_active_attempts(self) -> bool:
        """Whether any attempt has not ended yet."""
        return any(attempt.reply is None for attempt in self.attempts)

    def free(self) -> None:
        """Free the memory of the body and the replies at once; to be called after the last attempt.

        Request and attempts refer to each other, so that they would wait for the garbage collector.
        """
        self.attempts.clear()
        self.body = b""

    def finish(self, answer: Answer | None) -> None:
        """Finish the request and notify the front; `answer` is None if the client has disconnected."""
        on_answer = self.on_answer
        self.is_finished = True
        self.answer = answer
        self.on_answer = None
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        if on_answer is None or answer is None:
            return
        try:
            on_answer(answer)
        except Exception:  # an error in one client connection must not stop the engine
            log.exception("delivering the answer to request %s failed", self.arrival.request_id)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request at a server."""

    request: PendingRequest
    number: int  # index among the attempts of the request, starting at 0
    fetch: Fetch
    started_at: float
    stop: Callable[[], None] | None = None  # aborts the attempt; set by the component that performs it
    written: bool = False  # at least one byte may have reached the cache
    cancelled: bool = False
    reply: AttemptReply | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run it: it was written, and no reply proves that it did not run."""
        if not self.written:
            return False
        return self.reply is None or not self.reply.result.is_proven_not_run

    def remaining_time(self, membership: MembershipView, now: float) -> float:
        """Return the seconds until the attempt's deadline; 0 if the attempt must not be written.

        To be called immediately before the write: anything may have changed while the attempt was queued.
        """
        if not self._is_sendable(membership, now):
            return 0.0
        deadline = min(self.started_at + self.fetch.timeout, self.request.deadline)
        if now >= deadline:
            return 0.0
        # Checked last, since detecting a closed connection may finish the request.
        if not self.request.is_client_connected():
            return 0.0
        return deadline - now

    def _is_sendable(self, membership: MembershipView, now: float) -> bool:
        """Whether the attempt is still needed and has not expired, and its servers are in service."""
        if self.reply or self.cancelled or self.request.is_finished:
            return False
        return now <= self.fetch.send_before and membership.allows(self.fetch)
