"""State of an attempt in a connection pool, from its dispatch to its single reply."""

from __future__ import annotations

from typing import Protocol

from brackenlane.clock import steady_time
from brackenlane.core.requests import Attempt, AttemptReply
from brackenlane.core.timers import Timer
from brackenlane.net.connection_context import ReportReply
from brackenlane.routing.events import AttemptResult

NEVER_SENT = AttemptReply(AttemptResult.NEVER_SENT)


class AttemptCarrier(Protocol):
    """The connection that carries an attempt."""

    def release(self, dispatched: DispatchedAttempt) -> None:
        """Remove an attempt whose reply was reported."""

    def cancel(self, dispatched: DispatchedAttempt) -> None:
        """Tell the cache that the response of an attempt is no longer wanted."""


class DispatchedAttempt:
    """One attempt at a cache and the connection that carries it."""

    __slots__ = ("_report", "attempt", "carrier", "id", "redispatches", "sent_at", "timer")

    def __init__(self, attempt: Attempt, report: ReportReply) -> None:
        self.attempt = attempt
        self.id = attempt.request.client_request_id
        self.sent_at = 0.0  # Unix time at which its first byte was written
        self.carrier: AttemptCarrier | None = None
        self.timer: Timer | None = None
        self.redispatches = 0  # number of moves to another connection before the first byte was written
        self._report = report

    @property
    def is_finished(self) -> bool:
        """Whether the reply of the attempt was reported."""
        return self.attempt.reply is not None

    def finish(self, reply: AttemptReply) -> None:
        """Report the reply of the attempt; later replies are ignored."""
        if self.is_finished:
            return
        if self.timer:
            self.timer.cancel()
        if self.carrier:
            self.carrier.release(self)
        self._report(self.attempt, reply)

    def stop(self) -> None:
        """Finish an attempt that was cancelled or timed out; if unwritten, it provably did not run."""
        if self.is_finished:
            return
        if self.carrier and self.attempt.written:
            self.carrier.cancel(self)
        self.finish(AttemptReply(self._result_when_stopped(), self.elapsed_time()))

    def _result_when_stopped(self) -> AttemptResult:
        if not self.attempt.written:
            return AttemptResult.NEVER_SENT
        if self.attempt.cancelled:
            return AttemptResult.CANCELLED
        return AttemptResult.TIMEOUT

    def elapsed_time(self) -> float:
        """Return the seconds since the attempt was decided."""
        return steady_time() - self.attempt.started_at
