"""Attribution of the outcome of an attempt to a server: hits to the edge cache, fills to the source.

Pure. Times are Unix seconds. Failures are passed to outlier detection, fill windows and the origin throttle;
successes end ejections.
"""

from __future__ import annotations

from dataclasses import dataclass

from brackenlane.routing.answer_learning import AnswerLearning
from brackenlane.routing.attempts import PLANNABLE_TIME_SHARE, Attempt, Request
from brackenlane.routing.events import AttemptResult, Outcome
from brackenlane.routing.fill_estimate import FillEstimate
from brackenlane.routing.members import Role
from brackenlane.routing.membership import ServerTable
from brackenlane.routing.origin_throttle import OriginThrottle
from brackenlane.routing.outlier_detection import EJECTION_SCORE, Failure, OutlierDetection
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import Settings

UNREACHABLE_SCORE = 2 * EJECTION_SCORE  # score of a failed connect, which ejects the server at once
CACHE_ERROR_SCORE = 0.5  # score of an error that the cache probably caused itself
# Time constants of the mean error share of caches, in attempts without a source and in answers with one.
ERROR_SMOOTHING_ATTEMPTS = 16
ERROR_SMOOTHING_ANSWERS = 64
# Error share of attempts without a source above which caches are assumed to cause errors themselves.
CACHE_ERROR_SHARE_THRESHOLD = 0.1
# Clock ticks within which a cache rejects an attempt by itself; a later rejection comes from the source.
CACHE_REJECTION_TICKS = 2
# Share of an overdue attempt attributed to the source if neither cache nor source has answered since.
UNDECIDED_SOURCE_SHARE = 0.5


@dataclass(slots=True, eq=False)
class FinishedAttempt:
    """An attempt and its outcome."""

    event: Outcome
    attempt: Attempt
    request: Request | None  # None: already finished
    at: float  # Unix time of the outcome


class OutcomeAttribution:
    """Attributes outcomes; owns the share of errors that caches cause without a source."""

    def __init__(
        self,
        settings: Settings,
        servers: ServerTable,
        outlier_detection: OutlierDetection,
        origin_throttle: OriginThrottle,
        fills: FillEstimate,
        learning: AnswerLearning,
    ) -> None:
        self.cache_error_share = 0.0  # error share of attempts in which no source took part
        self._servers = servers
        self._outlier_detection = outlier_detection
        self._origin_throttle = origin_throttle
        self._fills = fills
        self._learning = learning
        self._connect_timeout = settings.connect_timeout
        self._cache_rejection_seconds = CACHE_REJECTION_TICKS * settings.tick
        self._fill_objective = _fill_objective(settings)

    def attribute(self, finished: FinishedAttempt) -> None:
        """Attribute the outcome of an attempt that has been removed from the table of those in flight."""
        self._observe_cache(finished)
        self._observe_origin(finished)
        match finished.event.result:
            case AttemptResult.OK:
                self._attribute_answer(finished)
            case AttemptResult.UNREACHABLE:
                self._record_failure(finished.attempt.route.edge, UNREACHABLE_SCORE, finished.at)
            case AttemptResult.BROKEN:
                self._attribute_broken_connection(finished.attempt.route.edge, finished.at)
            case AttemptResult.TIMEOUT:
                self._attribute_timeout(finished)
            case AttemptResult.ERROR | AttemptResult.FULL:
                self._attribute_error(finished)
            case AttemptResult.CANCELLED | AttemptResult.NEVER_SENT | AttemptResult.MISS:
                pass  # not related to the health of any server
        self._end_trials(finished.attempt)

    def attribute_overdue(self, attempt: Attempt, now: float) -> None:
        """Attribute an overdue attempt; a server with a success since it was sent is not at fault."""
        route = attempt.route
        edge = route.edge
        source = route.attributed_source
        is_edge_alive = edge.last_alive_at > attempt.sent_at
        if source and route.is_parent_lookup:
            # The parent is late with a copy that it holds. It is sent fetches instead of lookups for some
            # time, so that it continues to be observed.
            source.lookup_overdue_at = now
        suspect = edge
        if route.fill_source and is_edge_alive:
            route.fill_source.record_overdue_fill()
            if route.fill_source is not source:
                # A fetch by a parent from the origin was lost at the parent if the cache and the origin are
                # alive.
                suspect = route.fill_source
        source_fault_share = _source_fault_share(attempt)
        if source_fault_share < 1:
            self._record_failure(suspect, 1 - source_fault_share, now)
        if source and source_fault_share > 0:
            self._record_failure(source, source_fault_share, now)

    def _observe_cache(self, finished: FinishedAttempt) -> None:
        """Update the miss ratio of the cache, and the error share of caches without a source."""
        edge = finished.attempt.route.edge
        result = finished.event.result
        has_source = finished.attempt.route.attributed_source is not None
        self._fills.observe_report(edge, finished.event.report)
        if not has_source:
            self._fills.observe_lookup(edge, result)
        if not has_source or result is AttemptResult.OK:
            memory = ERROR_SMOOTHING_ANSWERS if has_source else ERROR_SMOOTHING_ATTEMPTS
            is_error = result is AttemptResult.ERROR
            self.cache_error_share += (is_error - self.cache_error_share) / memory

    def _observe_origin(self, finished: FinishedAttempt) -> None:
        """Pass a fill that may involve the origin to the origin throttle."""
        route = finished.attempt.route
        source = route.attributed_source
        request = finished.request
        if request is None or source is None or route.is_parent_lookup or request.cls.uncached:
            return
        objective = request.cls.latency_objective if finished.event.first_byte else request.latency_objective
        self._origin_throttle.learn(
            finished.event,
            finished.at,
            PLANNABLE_TIME_SHARE * objective,
            self._origin_failure_probability(source),
            self._fill_objective,
            self._cache_rejection_seconds,
        )

    def _origin_failure_probability(self, source: Server) -> float:
        """Return the probability that a failed fill from a source failed at the origin.

        An error of one parent may be its own fault; errors at the other parents too indicate the origin.
        """
        if source is self._servers.origin:
            return 1.0
        has_failures = [parent.failure_score > 0 for parent in self._servers.parents if parent is not source]
        return sum(has_failures) / max(1, len(has_failures))

    def _attribute_answer(self, finished: FinishedAttempt) -> None:
        """End the ejections of the servers of a successful answer, and learn from it."""
        route = finished.attempt.route
        source = route.attributed_source
        self._outlier_detection.record_success(route.edge, finished.at)
        self._learning.observe_wait(finished.event, finished.request)
        is_fill = False
        if source and source is not route.edge:
            self._learning.refund_hit(finished.event, finished.request, source)
            is_fill = self._fills.was_filled(finished.event, finished.attempt.fill_probability)
            if is_fill:
                self._attribute_fill(finished, source)
        self._learning.learn(finished.event, finished.attempt, finished.request, is_fill, finished.at)

    def _attribute_fill(self, finished: FinishedAttempt, source: Server) -> None:
        """End the ejection of a source, and raise its window if the fill was timely."""
        attempt = finished.attempt
        request = finished.request
        self._outlier_detection.record_success(source, finished.at)
        if attempt.route.fill_source and not attempt.is_overdue:
            attempt.route.fill_source.record_timely_fill()
        if request and finished.event.wait < PLANNABLE_TIME_SHARE * request.latency_objective:
            source.grow_window(attempt.fill_probability)

    def _attribute_broken_connection(self, edge: Server, now: float) -> None:
        """Count one failure for all attempts on a broken connection; the next connect tests the cache."""
        if now > edge.connection_broken_at + self._connect_timeout:
            edge.connection_broken_at = now
            self._record_failure(edge, 1.0, now)

    def _attribute_timeout(self, finished: FinishedAttempt) -> None:
        """Attribute a timeout like an overdue attempt, unless that has already been done by its timer."""
        if not finished.attempt.is_overdue:
            self.attribute_overdue(finished.attempt, finished.at)

    def _attribute_error(self, finished: FinishedAttempt) -> None:
        """Attribute an error or rejection to the source, or to the cache if caches cause errors alone."""
        event = finished.event
        route = finished.attempt.route
        if event.wait <= self._cache_rejection_seconds:
            return
        is_error = event.result is AttemptResult.ERROR
        # A healthy source must not be ejected for errors of the caches themselves, which come before the time
        # at which a fill is given up.
        is_cache_error = (
            is_error
            and self.cache_error_share > CACHE_ERROR_SHARE_THRESHOLD
            and event.wait < self._fill_objective
        )
        # A lower limit on fills in flight would not prevent a fast failure.
        objective = finished.request.latency_objective if finished.request else self._fill_objective
        is_overload = not is_error or event.wait >= PLANNABLE_TIME_SHARE * objective
        if is_cache_error:
            self._record_failure(route.edge, CACHE_ERROR_SCORE, finished.at, is_overload)
        else:
            self._record_failure(route.attributed_source or route.edge, 1.0, finished.at, is_overload)

    def _record_failure(self, server: Server, score: float, now: float, is_overload: bool = True) -> None:
        """Add to the failure score of a server; halve the fill window of an overloaded source."""
        if is_overload and server.member.role is not Role.EDGE:
            server.halve_window(now, self._fill_objective)
        fallback = self._servers.origin if server.member.role is Role.PARENT else None
        failure = Failure(score, self._servers.peers(server), fallback)
        self._outlier_detection.record_failure(server, failure, now)

    @staticmethod
    def _end_trials(attempt: Attempt) -> None:
        """End the trials of the servers of an attempt; called last, as a failed trial extends an ejection."""
        attempt.route.edge.has_trial = False
        if attempt.route.attributed_source:
            attempt.route.attributed_source.has_trial = False


def _source_fault_share(attempt: Attempt) -> float:
    """Return the share, 0 to 1, of an overdue attempt that is attributed to its source."""
    edge = attempt.route.edge
    source = attempt.route.attributed_source
    if source is None or source is edge or source.last_alive_at > attempt.sent_at:
        return 0.0
    return 1.0 if edge.last_alive_at > attempt.sent_at else UNDECIDED_SOURCE_SHARE


def _fill_objective(settings: Settings) -> float:
    """Return the seconds that fills may take: the longest latency objective of the cached classes."""
    objectives = [cls.latency_objective for cls in settings.classes if not cls.uncached]
    return max(objectives, default=settings.classes[0].latency_objective)
