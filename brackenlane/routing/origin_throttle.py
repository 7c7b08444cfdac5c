"""Admission of fills that only the origin can serve: fewer as it answers late, more as time passes.

Pure. Times are Unix seconds, durations seconds.

An origin that falls behind serves a queue, oldest first. Once that queue is longer than a fill may wait, all
that it still works off has been abandoned: it works, and no request is served (docs/design/fleet.md, "The
origin falls behind"). One router of hundreds sees an answer of it every second or two, so it cannot learn by
counts: the share that it admits is halved by a late or failed answer, once for all that are late together,
grows with each answer in time, and by itself with time (additive increase, multiplicative decrease; Chiu and
Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance", 1989).
"""

from __future__ import annotations

from brackenlane.routing.events import AttemptResult, CacheStatus, Outcome

RECOVERY_SECONDS = 8.0  # in which the share grows from 0 to 1; an ejected source is tried as often
RECOVERY_PER_ANSWER = (
    1 / 4
)  # of what is held back, that an answer in time admits: a rare late one costs little
LEAST_SHARE = 0.05  # admitted however late answers are: they show when the origin has recovered


class OriginThrottle:
    """The share of its fills from the origin that one router may send."""

    __slots__ = ("_decreased_at", "_share", "_updated_at")

    def __init__(self) -> None:
        self._share = 1.0
        self._updated_at = 0.0
        self._decreased_at = 0.0

    def part(self, now: float) -> float:
        """Return the share, above 0 to 1, of requests that need the origin which may be sent now."""
        self._share = min(1.0, self._share + max(0.0, now - self._updated_at) / RECOVERY_SECONDS)
        self._updated_at = now
        return self._share

    def learn(
        self, event: Outcome, now: float, late_after: float, certainty: float, window: float, tick: float
    ) -> None:
        """Learn from the end of a fill in which the origin may have taken part.

        late_after: seconds from which an answer is late; certainty: 0 to 1, that an error is the origin's
        where its status does not say so; window: as for `decrease`; tick: seconds up to which a rejection is
        the cache's own.
        """
        is_from_origin = event.cache_status is CacheStatus.FILLED_BY_ORIGIN
        is_rejected = event.result is AttemptResult.FULL and event.wait > tick
        is_late = (event.first_byte or event.wait) >= late_after
        # A fast failure is no sign of a queue: what waits in one fails when its fill is abandoned.
        is_late_failure = is_late and (is_from_origin or event.result is AttemptResult.ERROR)
        if is_rejected or is_late_failure:
            self.decrease(now, 1.0 if is_from_origin else certainty, window)
        elif is_from_origin:
            # The growth by time since the last call is replaced by this step, not added to it.
            share = self._share
            self._share = share + (1 - self.part(now)) * RECOVERY_PER_ANSWER

    def decrease(self, now: float, certainty: float, window: float) -> None:
        """Halve the share for an answer that came late or not at all.

        certainty: 0 to 1, that the origin caused it: 0 changes nothing; window: seconds after a decrease in
        which there is no other, since all that is late together has one cause.
        """
        if certainty > 0 and now > self._decreased_at + window:
            self._share = max(LEAST_SHARE, self.part(now) * (1 - certainty / 2))
            self._decreased_at = now
