"""Translates the reply of a cache into an `Outcome` event, from which the router updates its state.

Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from brackenlane.core.requests import Attempt, AttemptReply
from brackenlane.routing.events import CacheStatus, Outcome

MIN_FILL_DELAY = 0.001  # seconds; not 0, which means an unknown delay


@dataclass(slots=True, frozen=True)
class OutcomeTranslator:
    """Builds `Outcome` events from replies, in the units of one configuration."""

    clock_tolerance: float  # seconds by which the clocks of two machines may differ
    transfer_rate: float  # rate of one transfer in bytes per second; 0: not configured
    pace_kb_per_s: float  # the same rate in the unit of the router's settings

    def outcome(self, attempt: Attempt, reply: AttemptReply) -> Outcome:
        """Return the event for a completed attempt; to be called after its request has been answered."""
        cache_status = reply.cache_status
        fill_delay = reply.delay
        if self._is_filled_by_origin(attempt, reply):
            cache_status = CacheStatus.FILLED_BY_ORIGIN
            fill_delay = fill_delay or max((reply.issued or 0.0) - attempt.started_at, MIN_FILL_DELAY)
        return Outcome(
            attempt.fetch.request_id,
            attempt.number,
            attempt.fetch.server,
            reply.result,
            reply.wait,
            attempt.request.is_finished,
            cache_status,
            fill_delay,
            reply.report,
            size_kb=self._size_kb(reply),
        )

    def _is_filled_by_origin(self, attempt: Attempt, reply: AttemptReply) -> bool:
        """Whether the origin issued the copy after the attempt started; not all caches report fills."""
        if not reply.issued or reply.issued < attempt.started_at - self.clock_tolerance:
            return False
        return reply.cache_status in (CacheStatus.FILLED, CacheStatus.UNKNOWN)

    def _size_kb(self, reply: AttemptReply) -> float:
        """Return the response size in kB, as `pace_kb_per_s` counts them; 0 if no rate is configured."""
        if not self.transfer_rate:
            return 0.0
        return len(reply.body) / self.transfer_rate * self.pace_kb_per_s
