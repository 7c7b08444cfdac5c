"""What one router knows of a cache, parent or the origin, and when it is ejected from use.

Pure. Times are Unix seconds; work is in transfer-seconds, widths and weights are in transfers at a time.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from brackenlane.routing.concurrency_limit import ConcurrencyLimit
from brackenlane.routing.members import Member, Role
from brackenlane.routing.slow_start import TokenBucket

EJECT_AT = 2.0  # failure score above the mean of its peers that ejects a server
EJECT_ALONE_AT = 4.0  # the same for a server that has no peer
LONGEST_EJECTION = 8.0  # seconds between two trials of an ejected server, at most
PRIOR_MISS_SHARE = 0.5  # of a cache's requests, until it is learned
WIDTH_MEMORY = 8  # crowded transfers that a learned width is a mean over, about
PROMPT = 1.3  # times its own sending time, within which a transfer met no crowd
JITTER = (0.75, 1.25)  # of an ejection: trials of all routers must not come at one moment


class Server:
    """What this router knows of one cache, parent or the origin."""

    def __init__(
        self, me: Member, start: float = math.inf, since: float = 0.0, is_width_known: bool = True
    ) -> None:
        """start: fills in flight allowed at first; since: when this router started."""
        self.member = me  # as listed
        self.width = 0.0  # transfers on its link, as answers have shown
        self.concurrency = ConcurrencyLimit(1.0 if is_width_known else math.inf)
        self.in_flight = 0.0  # our attempts at a cache, likely fills of a source
        self.mean_in_flight = 0.0  # the mean of these lately
        self.failure_score = 0.0  # failure score: what speaks against it since its last successes
        self.ejected_until = 0.0  # 0: in use
        self.gap = 0.0  # the last wait between trials, seconds
        self.trial = False  # whether one is in flight
        self.miss_share = PRIOR_MISS_SHARE  # of a cache's requests, as reported or looked up
        self.timeliness = 1.0  # the share of its latest fills that were not overdue
        self.seen = -math.inf  # when it last proved to be alive
        self.cut = -math.inf  # when its window was last halved
        self.slow = -math.inf  # when it was last late with what it holds
        self.broken = -math.inf  # when a connection of it last broke
        self.born = me.started_at
        self.tokens = TokenBucket(max(me.started_at, since))
        self.window = math.inf if me.role is Role.EDGE else start  # fills in flight; a slow start until cut

    @property
    def known_width(self) -> float:
        """Transfers at a time that its link bears, as listed or as sizes and times of answers have shown."""
        return max(self.width, self.member.weight)

    @property
    def limit(self) -> float:
        """Transfers at a time that it is given."""
        return self.known_width * self.concurrency.factor

    def learn_width(self, crowd: float, stretch: float) -> None:
        """Learn a link that the list keeps silent about.

        crowd: transfers on it meanwhile; stretch: how many times longer than alone one of them took.
        """
        if stretch <= PROMPT:  # it met no crowd, so there is room for as many
            self.width = max(self.width, crowd)
        else:
            self.width += (min(self.width, crowd / stretch) - self.width) / WIDTH_MEMORY


class OutlierEjection:
    """Takes servers out of use that fail more than their peers, for growing times, until a trial succeeds."""

    def __init__(self, shortest: float, rng: random.Random) -> None:
        """shortest: seconds of a first ejection."""
        self._shortest = shortest
        self._random = rng

    def record_failure(
        self,
        server: Server,
        score: float,
        peers: Sequence[Server],
        now: float,
        fallback: Server | None = None,
    ) -> None:
        """Add to a failure score; enough of it without a success between ejects.

        What all peers share is a jam: nobody is ejected for it. But a jam delays, it fails no connect, so one
        score above the bar ejects whatever the peers have. A server without peers is compared with what would
        stand in for it, by a higher bar: what it alone can do is lost with it.
        """
        server.failure_score += score
        scores = [s.failure_score for s in peers if s is not server and not s.ejected_until]
        bar = EJECT_AT + (sum(scores) / len(scores) if scores else math.inf)
        if fallback and all(s is server for s in peers):
            bar = EJECT_ALONE_AT + fallback.failure_score
        fails = (server.failure_score >= bar or score > EJECT_AT) and not server.ejected_until
        if server.trial or fails:
            server.gap = max(self._shortest, min(2 * server.gap, LONGEST_EJECTION))
            server.ejected_until = now + server.gap * self._random.uniform(*JITTER)
            server.trial = False

    def clear(self, server: Server, now: float) -> None:
        """A success: the score fades; one out for long may have restarted: it counts as cold."""
        server.failure_score /= 2
        server.seen = now
        if not server.ejected_until:
            return
        if server.gap > 2 * self._shortest:
            server.born = now
            server.tokens = TokenBucket(now)
        server.ejected_until = 0.0
        server.gap = 0.0
        server.failure_score = 0.0
        server.trial = False
