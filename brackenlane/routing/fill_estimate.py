"""Estimates of whether an answer was filled, and of the probability that a request needs a fill.

Pure. If caches report a cache status, it distinguishes hits from fills. Without one, the two cannot be told
apart, but a source must still be credited for the fills that it serves: with only failures attributed to it,
a source would stay ejected forever. Each such answer is therefore attributed to its source at random, with
the probability that the cache needs a fill, so that statistics over many answers are correct on average.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from brackenlane.routing.events import AttemptResult, CacheStatus, Outcome
from brackenlane.routing.servers import PRIOR_MISS_SHARE, Server
from brackenlane.routing.settings import CacheStatusReporting

HIT_SHARE_FIELD = "x0"  # field of a load report: recent hit ratio of the cache (FamilyInfo.ReportX0)
PACE_SMOOTHING_ANSWERS = 32  # time constant of a mean pace, in answers
MISS_SMOOTHING_ANSWERS = 64  # time constant of a miss ratio, in answers
# Upper bound of the waiting share: each fill is forwarded at some point, and a cache can only handle a few of
# them at once.
MAX_WAITING_SHARE = 0.8
FILLED_STATUSES = (CacheStatus.FILLED, CacheStatus.FILLED_BY_ORIGIN)


class FillEstimate:
    """Estimates miss ratios: of all caches together by cache status, or of each by its load reports."""

    def __init__(
        self, reporting: CacheStatusReporting, rng: random.Random, min_waiting_share: float = 0.0
    ) -> None:
        """reporting: answers that carry a cache status; min_waiting_share: lower bound of `waiting_share`."""
        self._is_status_reported = reporting is not CacheStatusReporting.SILENT
        self._random = rng
        self._min_waiting_share = min_waiting_share
        self._miss_share = PRIOR_MISS_SHARE  # miss ratio of all caches, by cache status
        # Mean paces as shares of the highest pace: transfer time alone divided by the actual duration.
        self._fill_pace = 1.0
        self._hit_pace = 1.0

    def fill_probability(self, cache: Server) -> float:
        """Return the probability that a request to this cache needs a fill."""
        return self._miss_share if self._is_status_reported else cache.miss_share

    def observe_report(self, cache: Server, report: Iterable[tuple[str, float]]) -> None:
        """Update the miss ratio of a cache from a load report; an out-of-range hit ratio is ignored."""
        for name, value in report:
            if name == HIT_SHARE_FIELD and 0 <= value <= 1:
                cache.miss_share = 1 - value

    def observe_lookup(self, cache: Server, result: AttemptResult) -> None:
        """Update the miss ratio of a cache from the result of an attempt without a source."""
        if result in (AttemptResult.OK, AttemptResult.MISS):
            is_miss = result is AttemptResult.MISS
            cache.miss_share += (is_miss - cache.miss_share) / MISS_SMOOTHING_ANSWERS

    @property
    def waiting_share(self) -> float:
        """The share of its duration in which a fill waits for its source and does not use the cache link."""
        learned = 1 - self._fill_pace / self._hit_pace
        return min(MAX_WAITING_SHARE, max(self._min_waiting_share, learned))

    def observe_pace(self, is_fill: bool, fill_probability: float, work: float, wait: float) -> None:
        """Update the mean pace of fills or of hits with one answer.

        work: transfer time alone in seconds; wait: actual duration in seconds; fill_probability: as for
        `was_filled`. Without a cache status, an answer is ignored unless it is certain whether it was a fill.
        """
        if not self._is_status_reported and 0 < fill_probability < 1:
            return
        pace = min(1.0, work / max(wait, work))
        if is_fill:
            self._fill_pace += (pace - self._fill_pace) / PACE_SMOOTHING_ANSWERS
        else:
            self._hit_pace += (pace - self._hit_pace) / PACE_SMOOTHING_ANSWERS

    def was_filled(self, event: Outcome, fill_probability: float) -> bool:
        """Return whether a successful answer was filled by the source.

        fill_probability: the estimate at the time when the attempt was sent; used for a random decision if no
        cache status is reported.
        """
        if event.cache_status is CacheStatus.UNKNOWN and not self._is_status_reported:
            return self._random.random() < fill_probability
        is_filled = event.cache_status in FILLED_STATUSES
        self._miss_share += (is_filled - self._miss_share) / MISS_SMOOTHING_ANSWERS
        return is_filled
