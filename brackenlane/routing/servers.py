"""What one router knows of a server: an edge cache, a parent cache or the origin.

Pure. Times are Unix seconds; work is in transfer-seconds, widths and weights are in transfers at a time.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from brackenlane.routing.concurrency_limit import ConcurrencyLimit
from brackenlane.routing.members import Member, Role
from brackenlane.routing.slow_start import TokenBucket

PRIOR_MISS_SHARE = 0.5  # of a cache's requests, until it is learned
WIDTH_MEMORY = 8  # contended transfers that a learned width is a mean over, about
UNCONTENDED_STRETCH = 1.3  # times its own sending time, within which a transfer had its link to itself
LOAD_MEMORY = 16  # arrivals that the mean of transfers in flight is a mean over, about
MIN_FILL_WINDOW = 1.0  # fills in flight at a source, whatever has failed there
MIN_TIMELINESS = 0.2  # kept however late a parent's fills are: it may have recovered
TIMELINESS_KEPT = 0.75  # by a fill that is overdue
TIMELINESS_MEMORY = 4  # fills in time that bring timeliness back, about


class Server:
    """The state that this router keeps of one server."""

    __slots__ = (
        "born",
        "concurrency",
        "connection_broken_at",
        "ejected_until",
        "ejection_seconds",
        "failure_score",
        "has_trial",
        "in_flight",
        "last_alive_at",
        "late_with_held_at",
        "mean_in_flight",
        "member",
        "miss_share",
        "timeliness",
        "tokens",
        "width",
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
        """initial_window: fills in flight that are allowed at first."""
        # As listed by discovery.
        self.member = member
        # When it started, as listed or as its time out of use suggests; slow start counts from then.
        self.born = member.started_at
        # What slow start leaves for this router; of the time before it started, nothing.
        self.tokens = TokenBucket(max(member.started_at, router_started_at))
        # Transfers that its link bears at a time, learned from answers; 0 until then.
        self.width = 0.0
        # The factor of its width that is used, learned from answers in time and late ones.
        self.concurrency = ConcurrencyLimit(1.0 if is_width_known else math.inf)
        # Transfers of this router: attempts at a cache, fills of a source by their likelihood.
        self.in_flight = 0.0
        self.mean_in_flight = 0.0
        # Fills that may be in flight at this source: slow start, then additive increase.
        self.window = math.inf if member.role is Role.EDGE else initial_window
        self.window_halved_at = -math.inf
        # Failures attributed to it, halved by each success.
        self.failure_score = 0.0
        # 0: in use; else when the next trial is due.
        self.ejected_until = 0.0
        self.ejection_seconds = 0.0  # between the last two trials
        self.has_trial = False  # whether a trial is in flight
        # Share of a cache's requests that are misses, as reported or looked up.
        self.miss_share = PRIOR_MISS_SHARE
        # Share of its latest fills that were not overdue.
        self.timeliness = 1.0
        self.last_alive_at = -math.inf  # its last success
        self.late_with_held_at = -math.inf  # when it was last late with a copy that it held
        self.connection_broken_at = -math.inf

    @property
    def known_width(self) -> float:
        """Transfers at a time that its link bears, as listed or as sizes and times of answers have shown."""
        return max(self.width, self.member.weight)

    @property
    def limit(self) -> float:
        """Transfers at a time that it is given."""
        return self.known_width * self.concurrency.factor

    def learn_width(self, transfers: float, stretch: float) -> None:
        """Learn the width of a link for which discovery lists none.

        transfers: on the link meanwhile; stretch: how many times longer than alone one of them took.
        """
        if stretch <= UNCONTENDED_STRETCH:
            self.width = max(self.width, transfers)
        else:
            self.width += (min(self.width, transfers / stretch) - self.width) / WIDTH_MEMORY

    def grow_window(self, fill: float) -> None:
        """Raise the window by a fill in time: slow start until it was first halved, then additive increase.

        fill: the likelihood, 0 to 1, with which the fill was counted as in flight.
        """
        if 2 * (self.in_flight + fill) > self.window:
            self.window += fill * (1 if self.window_halved_at < 0 else 1 / self.window)

    def halve_window(self, now: float, pause: float) -> None:
        """Halve the window, once for all that fails within a pause (seconds)."""
        if now > self.window_halved_at + pause:
            self.window = max(MIN_FILL_WINDOW, self.window / 2)
            self.window_halved_at = now

    def record_overdue_fill(self) -> None:
        """Lower the timeliness."""
        self.timeliness = max(MIN_TIMELINESS, TIMELINESS_KEPT * self.timeliness)

    def record_timely_fill(self) -> None:
        """Raise the timeliness."""
        self.timeliness += (1 - self.timeliness) / TIMELINESS_MEMORY


def observe_loads(servers: Iterable[Server]) -> None:
    """Take the transfers in flight of each server into their mean; called at each arrival."""
    for server in servers:
        server.mean_in_flight += (server.in_flight - server.mean_in_flight) / LOAD_MEMORY
