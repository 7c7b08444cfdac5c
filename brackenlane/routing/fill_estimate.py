"""Which answers brought a fill, and how likely one is before it is asked for.

Pure. Where caches' answers carry notes, the notes tell. Where they carry none, nothing in an answer separates
a hit from a fill, yet the sources must be judged by the fills that they serve: a source that is only ever
blamed, never cleared, stays out for good. So each such answer is attributed to its source at random, with the
chance that the cache fills at all: what is learned over many answers is then right on average.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from brackenlane.routing.events import AttemptResult, CacheStatus, Outcome
from brackenlane.routing.servers import PRIOR_MISS_SHARE, Server
from brackenlane.routing.settings import CacheStatusReporting

HIT_SHARE_FIELD = "x0"  # of a load report: the cache's recent share of hits (FamilyInfo.ReportX0)
PACES = 32  # that a learned pace is a mean over, about
MOST_WAITING = 0.8  # of a fill's time: it is sent on at some moment, and a cache bears few at once
ANSWERS = 64  # that a learned share of fills is a mean over, about
FILLED = (CacheStatus.FILLED, CacheStatus.FILLED_BY_ORIGIN)


class FillEstimate:
    """The share of answers that are filled, by all caches' notes or by each cache's reported hits."""

    def __init__(self, notes: CacheStatusReporting, rng: random.Random, least_waiting: float = 0.0) -> None:
        """notes: which answers tell how they came about; least_waiting: of a fill, see waiting_share."""
        self._least_waiting = least_waiting
        self._is_status_reported = notes is not CacheStatusReporting.SILENT
        self._random = rng
        self._share = PRIOR_MISS_SHARE
        self._pace = {True: 1.0, False: 1.0}  # of filled answers and of hits, in parts of a transfer alone

    def expected(self, cache: Server) -> float:
        """The chance, 0 to 1, that a request to this cache needs a fill."""
        return self._share if self._is_status_reported else cache.miss_share

    def observe_report(self, cache: Server, report: Iterable[tuple[str, float]]) -> None:
        """Take in a load report; a share of hits that is none is passed over."""
        for name, value in report:
            if name == HIT_SHARE_FIELD and 0 <= value <= 1:
                cache.miss_share = 1 - value

    def observe_lookup(self, cache: Server, result: AttemptResult) -> None:
        """Take in how a request without a source ended: a hit or a miss, whatever notes there are."""
        if result in (AttemptResult.OK, AttemptResult.MISS):
            cache.miss_share += ((result is AttemptResult.MISS) - cache.miss_share) / ANSWERS

    @property
    def waiting_share(self) -> float:
        """The part of its time that a fill waits for its source, and leaves its cache's link to others."""
        return min(MOST_WAITING, max(self._least_waiting, 1 - self._pace[True] / self._pace[False]))

    def observe_pace(self, filled: bool, chance: float, work: float, wait: float) -> None:
        """Take in how fast an answer came; work: seconds of its transfer alone, wait: as it took.

        chance: as in was_filled; what is only likely a fill, or likely none, tells nothing of either's pace.
        """
        if not self._is_status_reported and 0 < chance < 1:
            return
        pace = min(1.0, work / max(wait, work))
        self._pace[filled] += (pace - self._pace[filled]) / PACES

    def was_filled(self, event: Outcome, chance: float) -> bool:
        """Whether a good answer with a source brought a fill; chance: as expected when it was sent."""
        if event.cache_status is CacheStatus.UNKNOWN and not self._is_status_reported:
            return self._random.random() < chance
        filled = event.cache_status in FILLED
        self._share += (filled - self._share) / ANSWERS
        return filled
