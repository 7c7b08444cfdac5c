"""Admission control for fills that only the origin can serve.

Pure. Times are Unix seconds, durations are in seconds.

An overloaded origin serves its queue in FIFO order. Once the queueing delay exceeds the timeout of a fill,
the origin completes only fills that have been abandoned, and no request is served (docs/design/fleet.md, "The
origin falls behind"). One router of hundreds sees an answer of the origin only every second or two, which is
too few for statistics. The admitted share is therefore halved by a late or failed answer, once for all
answers that are late together, and grows with each timely answer and with time (additive increase,
multiplicative decrease; Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
Avoidance", 1989).
"""

from __future__ import annotations

from brackenlane.routing.events import AttemptResult, CacheStatus, Outcome

RECOVERY_SECONDS = 8.0  # time in which the share grows from 0 to 1; equals MAX_EJECTION_SECONDS
# Share of the throttled part that each timely answer admits again, so that occasional late answers cost
# little.
RECOVERY_PER_ANSWER = 1 / 4
MIN_SHARE = 0.05  # always admitted, to detect the recovery of the origin


class OriginThrottle:
    """The share of fills from the origin that one router admits."""

    __slots__ = ("_decreased_at", "_share", "_updated_at")

    def __init__(self) -> None:
        self._share = 1.0
        self._updated_at = 0.0
        self._decreased_at = 0.0

    def current_share(self, now: float) -> float:
        """Return the admitted share, above 0 and at most 1, of the requests that need the origin."""
        self._share = min(1.0, self._share + max(0.0, now - self._updated_at) / RECOVERY_SECONDS)
        self._updated_at = now
        return self._share

    def learn(
        self,
        event: Outcome,
        now: float,
        late_after: float,
        origin_probability: float,
        cooldown: float,
        cache_rejection_seconds: float,
    ) -> None:
        """Adjust the share to the outcome of a fill in which the origin may have taken part.

        late_after: seconds after which an answer is late; origin_probability: probability, 0 to 1, that the
        origin caused an error whose cache status does not say so; cooldown: as for `decrease`;
        cache_rejection_seconds: time within which a rejection is made by the cache itself.
        """
        is_from_origin = event.cache_status is CacheStatus.FILLED_BY_ORIGIN
        is_rejected = event.result is AttemptResult.FULL and event.wait > cache_rejection_seconds
        is_late = (event.first_byte or event.wait) >= late_after
        # A fast failure does not indicate a queue: a queued fill fails only at its timeout.
        is_late_failure = is_late and (is_from_origin or event.result is AttemptResult.ERROR)
        if is_rejected or is_late_failure:
            self.decrease(now, 1.0 if is_from_origin else origin_probability, cooldown)
        elif is_from_origin:
            # This step replaces the growth over time since the last call instead of adding to it.
            share = self._share
            self._share = share + (1 - self.current_share(now)) * RECOVERY_PER_ANSWER

    def decrease(self, now: float, origin_probability: float, cooldown: float) -> None:
        """Halve the share after a late or missing answer.

        origin_probability: probability, 0 to 1, that the origin caused it; scales the decrease, and 0 causes
        none; cooldown: seconds after a decrease without another one, as answers that are late together have
        one cause.
        """
        if origin_probability > 0 and now > self._decreased_at + cooldown:
            self._share = max(MIN_SHARE, self.current_share(now) * (1 - origin_probability / 2))
            self._decreased_at = now
