"""Which answers were filled, and how likely a fill is before a request is sent.

Pure. Where answers of caches carry a cache status, it says so. Where they carry none, nothing in an answer
separates a hit from a fill, yet sources must be judged by the fills that they serve: a source to which only
failures are attributed, never a success, would be ejected for good. So each such answer is attributed to its
source at random, with the probability that the cache fills at all: what is learned over many answers is then
right on average.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from brackenlane.routing.events import AttemptResult, CacheStatus, Outcome
from brackenlane.routing.servers import PRIOR_MISS_SHARE, Server
from brackenlane.routing.settings import CacheStatusReporting

HIT_SHARE_FIELD = "x0"  # of a load report: the cache's recent share of hits (FamilyInfo.ReportX0)
PACE_SMOOTHING_ANSWERS = 32  # answers over which a pace is averaged, about
MISS_SMOOTHING_ANSWERS = 64  # answers over which a share of misses is averaged, about
MAX_WAITING_SHARE = 0.8  # of a fill's time: it is sent on at some moment, and a cache bears few at once
FILLED_STATUSES = (CacheStatus.FILLED, CacheStatus.FILLED_BY_ORIGIN)


class FillEstimate:
    """The share of answers that are filled: of all caches by cache status, else of each by reported hits."""

    def __init__(
        self, reporting: CacheStatusReporting, rng: random.Random, min_waiting_share: float = 0.0
    ) -> None:
        """reporting: which answers carry a cache status; least_waiting_share: see `waiting_share`."""
        self._is_status_reported = reporting is not CacheStatusReporting.SILENT
        self._random = rng
        self._min_waiting_share = min_waiting_share
        self._miss_share = PRIOR_MISS_SHARE  # of all caches, by cache status
        # Mean paces as shares of the highest pace: transfer time alone, over the time that the answer took.
        self._fill_pace = 1.0
        self._hit_pace = 1.0

    def fill_probability(self, cache: Server) -> float:
        """Return the probability that a request to this cache needs a fill."""
        return self._miss_share if self._is_status_reported else cache.miss_share

    def observe_report(self, cache: Server, report: Iterable[tuple[str, float]]) -> None:
        """Learn from a load report; a share of hits that is out of range is ignored."""
        for name, value in report:
            if name == HIT_SHARE_FIELD and 0 <= value <= 1:
                cache.miss_share = 1 - value

    def observe_lookup(self, cache: Server, result: AttemptResult) -> None:
        """Learn from the end of a request without a source: a hit or a miss, with a cache status or not."""
        if result in (AttemptResult.OK, AttemptResult.MISS):
            is_miss = result is AttemptResult.MISS
            cache.miss_share += (is_miss - cache.miss_share) / MISS_SMOOTHING_ANSWERS

    @property
    def waiting_share(self) -> float:
        """The share of its time that a fill waits for its source, taking nothing of its cache's link."""
        learned = 1 - self._fill_pace / self._hit_pace
        return min(MAX_WAITING_SHARE, max(self._min_waiting_share, learned))

    def observe_pace(self, is_fill: bool, fill_probability: float, work: float, wait: float) -> None:
        """Learn from the pace of an answer; work: seconds of its transfer alone; wait: seconds that it took.

        chance: as for `was_filled`; an answer that is only probably a fill shows the pace of neither kind.
        """
        if not self._is_status_reported and 0 < fill_probability < 1:
            return
        pace = min(1.0, work / max(wait, work))
        if is_fill:
            self._fill_pace += (pace - self._fill_pace) / PACE_SMOOTHING_ANSWERS
        else:
            self._hit_pace += (pace - self._hit_pace) / PACE_SMOOTHING_ANSWERS

    def was_filled(self, event: Outcome, fill_probability: float) -> bool:
        """Return whether a good answer was filled by the source; chance: as `expected` when it was sent.

        A random number is drawn where no cache status is reported.
        """
        if event.cache_status is CacheStatus.UNKNOWN and not self._is_status_reported:
            return self._random.random() < fill_probability
        is_filled = event.cache_status in FILLED_STATUSES
        self._miss_share += (is_filled - self._miss_share) / MISS_SMOOTHING_ANSWERS
        return is_filled
