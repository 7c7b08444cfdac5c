"""Translation of a reply of a cache into the `Outcome` event that the router learns from.

Pure.
"""

from __future__ import annotations

from dataclasses import dataclass

from brackenlane.core.requests import Attempt, AttemptReply
from brackenlane.routing.events import CacheStatus, Outcome

MIN_FILL_DELAY = 0.001  # seconds; 0 would mean that the delay is unknown


@dataclass(slots=True, frozen=True)
class OutcomeTranslator:
    """Builds `Outcome` events from replies, by the units of one configuration."""

    clock_tolerance: float  # seconds by which the clocks of two machines may differ
    transfer_rate: float  # bytes per second of one transfer; 0: not configured
    pace_kb_per_s: float  # the same rate in the unit of the router's settings

    def outcome(self, attempt: Attempt, reply: AttemptReply) -> Outcome:
        """Return the event of an attempt that has ended, after its request was answered by it."""
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
        """Whether the origin issued the copy since the attempt began; not every cache reports a fill."""
        if not reply.issued or reply.issued < attempt.started_at - self.clock_tolerance:
            return False
        return reply.cache_status in (CacheStatus.FILLED, CacheStatus.UNKNOWN)

    def _size_kb(self, reply: AttemptReply) -> float:
        """Return the size of an answer in the unit of the settings' pace; 0 if the rate is not configured."""
        if not self.transfer_rate:
            return 0.0
        return len(reply.body) / self.transfer_rate * self.pace_kb_per_s
