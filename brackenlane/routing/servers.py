"""The state that one router keeps for a server: an edge cache, a parent cache or the origin.

Pure. Times are Unix seconds, work is in seconds of transfer time, widths and weights are in concurrent
transfers.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from brackenlane.routing.concurrency_limit import ConcurrencyLimit
from brackenlane.routing.members import Member, Role
from brackenlane.routing.slow_start import TokenBucket

PRIOR_MISS_SHARE = 0.5  # assumed miss ratio of a cache before any is learned
WIDTH_SMOOTHING_TRANSFERS = 8  # time constant with which a learned width shrinks, in contended transfers
MAX_UNCONTENDED_SLOWDOWN = 1.3  # duration over own transfer time up to which a link was uncontended
LOAD_SMOOTHING_ARRIVALS = 16  # time constant of the mean of transfers in flight, in arrivals
MIN_FILL_WINDOW = 1.0  # fills that may be in flight at a source after any number of failures
MIN_TIMELINESS = 0.2  # lower bound, so that a parent that has recovered still receives fills
TIMELINESS_DECREASE_FACTOR = 0.75  # multiplies the timeliness after an overdue fill
TIMELINESS_SMOOTHING_FILLS = 4  # time constant with which timely fills restore it, in fills


class Server:
    """The state that this router keeps for one server."""

    __slots__ = (
        "concurrency",
        "connection_broken_at",
        "ejected_until",
        "ejection_seconds",
        "failure_score",
        "has_trial",
        "in_flight",
        "last_alive_at",
        "learned_width",
        "lookup_overdue_at",
        "mean_in_flight",
        "member",
        "miss_share",
        "slow_start_bucket",
        "slow_start_since",
        "timeliness",
        "window",
        "window_halved_at",
    )

    def __init__(
        self,
        member: Member,
        initial_window: float = math.inf,
        router_started_at: float = 0.0,
        is_width_known: bool = True,
    ) -> None:
        """initial_window: initial limit on fills in flight at a source.

        router_started_at: Unix time before which no slow-start budget accrues; is_width_known: whether
        discovery lists weights.
        """
        # The latest entry on the discovery list.
        self.member = member
        # Unix time from which slow start is measured: the listed start time, or the end of a long ejection.
        self.slow_start_since = member.started_at
        # Slow-start budget of this router; nothing accrues for the time before the router started.
        self.slow_start_bucket = TokenBucket(max(member.started_at, router_started_at))
        # Link width in concurrent transfers, learned from answers; 0: not learned yet.
        self.learned_width = 0.0
        # Limit on concurrent transfers relative to the width, learned from timely and late answers.
        self.concurrency = ConcurrencyLimit(1.0 if is_width_known else math.inf)
        # Transfers of this router in flight: attempts at a cache, or fills of a source, each weighted by its
        # probability.
        self.in_flight = 0.0
        self.mean_in_flight = 0.0
        # Limit on fills in flight at this source: slow start, then additive increase.
        self.window = math.inf if member.role is Role.EDGE else initial_window
        self.window_halved_at = -math.inf
        # Sum of the failures attributed to this server, halved by each success.
        self.failure_score = 0.0
        # Time at which the next trial is due; 0: not ejected.
        self.ejected_until = 0.0
        self.ejection_seconds = 0.0  # duration of the latest ejection without jitter
        self.has_trial = False  # whether a trial is in flight
        # Miss ratio of a cache, learned from load reports and lookups.
        self.miss_share = PRIOR_MISS_SHARE
        # Moving share of fills that were not overdue.
        self.timeliness = 1.0
        self.last_alive_at = -math.inf  # time of the last success
        self.lookup_overdue_at = -math.inf  # time of the last overdue lookup at this parent
        self.connection_broken_at = -math.inf

    @property
    def link_width(self) -> float:
        """Link width in concurrent transfers: the larger of the listed weight and the learned width."""
        return max(self.learned_width, self.member.weight)

    @property
    def transfer_limit(self) -> float:
        """Limit on concurrent transfers: the link width times the learned factor."""
        return self.link_width * self.concurrency.factor

    def learn_width(self, transfers: float, slowdown: float) -> None:
        """Learn the width of a link for which discovery lists no weight.

        transfers: number of concurrent transfers on the link; slowdown: duration of one of them, as a
        multiple of its transfer time alone.
        """
        if slowdown <= MAX_UNCONTENDED_SLOWDOWN:
            self.learned_width = max(self.learned_width, transfers)
        else:
            self.learned_width += (
                min(self.learned_width, transfers / slowdown) - self.learned_width
            ) / WIDTH_SMOOTHING_TRANSFERS

    def grow_window(self, fill: float) -> None:
        """Raise the window after a timely fill: slow start until the first halving, then additive increase.

        fill: the probability, 0 to 1, with which the fill was counted as in flight. A window less than half
        in use is not raised.
        """
        if 2 * (self.in_flight + fill) > self.window:
            self.window += fill * (1 if self.window_halved_at < 0 else 1 / self.window)

    def halve_window(self, now: float, cooldown: float) -> None:
        """Halve the window after a failure, at most once in a cooldown (seconds)."""
        if now > self.window_halved_at + cooldown:
            self.window = max(MIN_FILL_WINDOW, self.window / 2)
            self.window_halved_at = now

    def record_overdue_fill(self) -> None:
        """Lower the timeliness after an overdue fill."""
        self.timeliness = max(MIN_TIMELINESS, TIMELINESS_DECREASE_FACTOR * self.timeliness)

    def record_timely_fill(self) -> None:
        """Raise the timeliness after a fill that was not overdue."""
        self.timeliness += (1 - self.timeliness) / TIMELINESS_SMOOTHING_FILLS


def observe_loads(servers: Iterable[Server]) -> None:
    """Update the mean of transfers in flight of each server; called at each arrival."""
    for server in servers:
        server.mean_in_flight += (server.in_flight - server.mean_in_flight) / LOAD_SMOOTHING_ARRIVALS
