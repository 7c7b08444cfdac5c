"""Outlier detection: servers that fail more than their peers are ejected until a trial succeeds.

Pure. Times are Unix seconds. The terms are Envoy's ("Outlier detection"): an ejection lasts longer each time.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from brackenlane.routing.servers import Server
from brackenlane.routing.slow_start import TokenBucket

EJECTION_SCORE = 2.0  # failure score above the mean of its peers that ejects a server
EJECTION_SCORE_WITHOUT_PEERS = 4.0  # above the score of its fallback, for a server that has no peer
MAX_EJECTION_SECONDS = 8.0  # between two trials of an ejected server
EJECTION_JITTER = (0.75, 1.25)  # factors of an ejection's time: the routers' trials must not coincide
RECOVERY_DIVISOR = 2  # of a failure score, by each success
RESTART_AFTER_EJECTIONS = 2  # first ejections; a server out for longer may have restarted


@dataclass(slots=True, frozen=True)
class Failure:
    """A failure attributed to a server, and the servers that it is compared with."""

    score: float  # 1: one attempt that surely failed there
    peers: Sequence[Server]  # of its role; the server itself may be among them
    fallback: Server | None = None  # what stands in for a server without peers


class OutlierDetection:
    """Ejects servers by their failure scores, for growing times, and takes them back after a success."""

    __slots__ = ("_random", "_shortest")

    def __init__(self, shortest: float, rng: random.Random) -> None:
        """shortest: seconds of a first ejection."""
        self._shortest = shortest
        self._random = rng

    def record_failure(self, server: Server, failure: Failure, now: float) -> None:
        """Add to a server's failure score; eject it if that reaches the bar or its trial failed."""
        server.failure_score += failure.score
        # An overload delays, it fails no connect: one score above the bar ejects whatever the peers have.
        is_outlier = server.failure_score >= self._bar(server, failure) or failure.score > EJECTION_SCORE
        if server.has_trial or (is_outlier and not server.ejected_until):
            self._eject(server, now)

    def record_success(self, server: Server, now: float) -> None:
        """Reduce a server's failure score and end its ejection, if any."""
        server.failure_score /= RECOVERY_DIVISOR
        server.last_alive_at = now
        if not server.ejected_until:
            return
        if server.ejection_seconds > RESTART_AFTER_EJECTIONS * self._shortest:
            # It may have restarted meanwhile, with an empty cache: slow start begins anew.
            server.born = now
            server.tokens = TokenBucket(now)
        server.ejected_until = 0.0
        server.ejection_seconds = 0.0
        server.failure_score = 0.0
        server.has_trial = False

    @staticmethod
    def _bar(server: Server, failure: Failure) -> float:
        """Return the failure score from which a server is an outlier.

        What all peers share is an overload, for which none is ejected. A server without peers is compared
        with its fallback, by a higher bar: what only it can do is lost with it.
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
        server.ejection_seconds = max(self._shortest, min(2 * server.ejection_seconds, MAX_EJECTION_SECONDS))
        server.ejected_until = now + server.ejection_seconds * self._random.uniform(*EJECTION_JITTER)
        server.has_trial = False
