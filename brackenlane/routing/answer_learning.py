"""Learning from successful answers: latency, sizes, link widths and concurrency limits.

Pure. Times are Unix seconds, work is in seconds of transfer time, widths are in concurrent transfers.
"""

from __future__ import annotations

from brackenlane.routing.attempts import Attempt, Request
from brackenlane.routing.events import CacheStatus, Outcome
from brackenlane.routing.fill_estimate import FillEstimate
from brackenlane.routing.latency import LatencyEstimate
from brackenlane.routing.members import Role
from brackenlane.routing.membership import ServerTable
from brackenlane.routing.server_capacity import ServerCapacity
from brackenlane.routing.servers import MAX_UNCONTENDED_SLOWDOWN, Server
from brackenlane.routing.settings import Settings
from brackenlane.routing.sizes import Sizes

# Clock ticks of transfer time from which an answer shows the width of a link. The measured duration of a
# shorter transfer is mostly rounding error.
MIN_TRANSFER_TICKS = 8


class AnswerLearning:
    """Updates the estimates with answers; stateless."""

    def __init__(
        self,
        settings: Settings,
        servers: ServerTable,
        capacity: ServerCapacity,
        fills: FillEstimate,
        latency: LatencyEstimate,
        sizes: Sizes,
    ) -> None:
        self._servers = servers
        self._capacity = capacity
        self._fills = fills
        self._latency = latency
        self._sizes = sizes
        self._weights_known = settings.weights_known
        self._pace_kb_per_s = settings.pace_kb_per_s
        self._min_transfer_seconds = MIN_TRANSFER_TICKS * settings.tick

    def observe_wait(self, event: Outcome, request: Request | None) -> None:
        """Update the latency estimate with an answer; request: None if it is over."""
        if request:
            self._latency.learn(event.wait / request.wait_unit)

    def refund_hit(self, event: Outcome, request: Request | None, source: Server) -> None:
        """Refund the slow-start charge of a source that a cache hit did not need."""
        if request and event.cache_status is CacheStatus.HIT:
            self._capacity.refund_slow_start(source, request)

    def learn(
        self, event: Outcome, attempt: Attempt, request: Request | None, is_fill: bool, now: float
    ) -> None:
        """Learn limits, paces, widths and sizes from an answer; request: None if it is over."""
        transfer_seconds = event.size_kb / self._pace_kb_per_s if self._pace_kb_per_s else 0.0
        if request:
            self._learn_limit(event, attempt, request, is_fill, now)
            if not request.cls.uncached:
                self._fills.observe_pace(is_fill, attempt.fill_probability, request.work, event.wait)
        if transfer_seconds > self._min_transfer_seconds and not self._weights_known:
            self._learn_width(event, attempt, is_fill, transfer_seconds, now)
        if request and not request.arrival.size_kb:
            self._sizes.learn(request.cls.name, request.arrival.obj, transfer_seconds, event.wait)

    def _learn_limit(
        self, event: Outcome, attempt: Attempt, request: Request, is_fill: bool, now: float
    ) -> None:
        """Adjust the concurrency limit of the server that served the answer."""
        server = attempt.route.edge
        load = attempt.edge_load
        status = CacheStatus.HIT
        if is_fill and attempt.route.attributed_source:
            server = attempt.route.attributed_source
            load = attempt.source_load
            status = CacheStatus.FILLED
        if event.cache_status not in (status, CacheStatus.UNKNOWN) or server.member.role is Role.ORIGIN:
            return
        is_late = event.wait > request.latency_objective
        # An answer that is late without concurrent transfers is large or slow, and shows no contention.
        if not is_late or load.transfers > 1:
            server.concurrency.observe(
                is_late, load.utilization, server.link_width, now, request.latency_objective
            )

    def _learn_width(
        self, event: Outcome, attempt: Attempt, is_fill: bool, transfer_seconds: float, now: float
    ) -> None:
        """Learn the width of the link that carried an answer.

        transfer_seconds: transfer time of the answer alone on the link.
        """
        edge = attempt.route.edge
        source = attempt.route.attributed_source
        if event.cache_status is CacheStatus.HIT and edge.member.role is Role.EDGE:
            transfers = min(
                attempt.edge_load.transfers,
                self._capacity.transfers(edge, self._capacity.edge_sharers) + 1,
            )
            edge.learn_width(transfers, event.wait / transfer_seconds)
            self._update_min_width(now)
            return
        is_uncontended = event.wait <= MAX_UNCONTENDED_SLOWDOWN * transfer_seconds
        if is_fill and is_uncontended and source and source.member.role is Role.PARENT:
            transfers = min(
                attempt.source_load.transfers,
                self._capacity.transfers(source, self._capacity.near_parent_sharers),
            )
            source.learn_width(transfers, 1.0)

    def _update_min_width(self, now: float) -> None:
        """Store the smallest learned width of a warm cache, which is assumed for caches in slow start."""
        budget = self._capacity.slow_start_budget
        widths = [
            edge.learned_width
            for edge in self._servers.edges
            if edge.learned_width and self._capacity.is_warm(edge, now)
        ]
        budget.min_learned_width = min(widths, default=budget.min_learned_width)
