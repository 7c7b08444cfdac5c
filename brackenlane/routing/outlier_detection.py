"""Outlier detection: servers that fail more than their peers are ejected until a trial request succeeds.

Pure. Times are Unix seconds. Terms follow Envoy ("Outlier detection"); each ejection lasts longer than the
one before it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from brackenlane.routing.servers import Server
from brackenlane.routing.slow_start import TokenBucket

EJECTION_SCORE = 2.0  # excess over the mean failure score of its peers that ejects a server
EJECTION_SCORE_WITHOUT_PEERS = 4.0  # excess over the score of the fallback, for a server without peers
MAX_EJECTION_SECONDS = 8.0  # maximum time between two trials of an ejected server, before jitter
EJECTION_JITTER = (0.75, 1.25)  # range of random factors, so that trials of routers do not coincide
RECOVERY_DIVISOR = 2  # each success divides the failure score by this
# A server ejected for longer than this multiple of the first ejection may have restarted.
RESTART_AFTER_EJECTIONS = 2


@dataclass(slots=True, frozen=True)
class Failure:
    """A failure attributed to a server, and the servers that it is compared with."""

    score: float  # 1: one attempt that certainly failed at this server
    peers: Sequence[Server]  # servers of the same role; may include the server itself
    fallback: Server | None = None  # the server that replaces one without peers


class OutlierDetection:
    """Ejects servers by failure score, for increasing times, and readmits them after a success."""

    __slots__ = ("_first_seconds", "_random")

    def __init__(self, first_seconds: float, rng: random.Random) -> None:
        """first_seconds: duration of a first ejection."""
        self._first_seconds = first_seconds
        self._random = rng

    def record_failure(self, server: Server, failure: Failure, now: float) -> None:
        """Add to the failure score of a server; eject it at the threshold or after a failed trial."""
        server.failure_score += failure.score
        # An overload causes delays but no failed connects, so a single failure with a score above
        # EJECTION_SCORE ejects the server regardless of its peers.
        is_outlier = (
            server.failure_score >= self._ejection_threshold(server, failure)
            or failure.score > EJECTION_SCORE
        )
        if server.has_trial or (is_outlier and not server.ejected_until):
            self._eject(server, now)

    def record_success(self, server: Server, now: float) -> None:
        """Reduce the failure score of a server and end its ejection, if any."""
        server.failure_score /= RECOVERY_DIVISOR
        server.last_alive_at = now
        if not server.ejected_until:
            return
        if server.ejection_seconds > RESTART_AFTER_EJECTIONS * self._first_seconds:
            # The server may have restarted with an empty cache, so slow start is repeated.
            server.slow_start_since = now
            server.slow_start_bucket = TokenBucket(now)
        server.ejected_until = 0.0
        server.ejection_seconds = 0.0
        server.failure_score = 0.0
        server.has_trial = False

    @staticmethod
    def _ejection_threshold(server: Server, failure: Failure) -> float:
        """Return the failure score at which a server is an outlier.

        Failures common to all peers indicate an overload, for which no server is ejected. A server without
        peers is compared with its fallback, with a higher threshold, as no peer can take over its work.
        """
        if failure.fallback and all(peer is server for peer in failure.peers):
            return EJECTION_SCORE_WITHOUT_PEERS + failure.fallback.failure_score
        scores = [
            peer.failure_score for peer in failure.peers if peer is not server and not peer.ejected_until
        ]
        if not scores:
            return math.inf
        return EJECTION_SCORE + sum(scores) / len(scores)

    def _eject(self, server: Server, now: float) -> None:
        server.ejection_seconds = max(
            self._first_seconds, min(2 * server.ejection_seconds, MAX_EJECTION_SECONDS)
        )
        server.ejected_until = now + server.ejection_seconds * self._random.uniform(*EJECTION_JITTER)
        server.has_trial = False
