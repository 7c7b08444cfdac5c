"""The records that a router keeps of a request in flight and of each attempt to answer it.

Pure. Times are Unix seconds. Work is in transfer-seconds: what a transfer takes alone on its link.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from brackenlane.routing.events import Arrival, AttemptResult
from brackenlane.routing.members import Member, Role
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import Idempotency, RequestClass, Scope

PLANNABLE_TIME_SHARE = 0.7  # share of the time left that transfers on a link may be planned to take
FULL_RETRY_COST = 1.0  # of a retry, in retries of the budget
BROKEN_RETRY_COST = 0.25  # after a broken connection, which is no sign of an overload


class AttemptKey(NamedTuple):
    """The identity of an attempt."""

    request_id: str
    number: int  # from 0


@dataclass(slots=True, eq=False)
class Request:
    """One request in flight."""

    arrival: Arrival
    cls: RequestClass
    arrived_at: float
    work: float  # of its transfer, as known or guessed at its arrival
    idempotency: Idempotency = field(init=False)
    deadline: float = field(init=False)
    latency_objective: float = field(init=False)  # seconds from its arrival
    objective_at: float = field(init=False)  # when its latency objective ends
    # The unit in which waits are learned, in seconds: what takes longer than its objective even on an idle
    # link is no sign of an overload.
    wait_unit: float = field(init=False)
    # Names of the caches that were sent an attempt with a fill source.
    tried_servers: list[str] = field(init=False, default_factory=list)
    attempts_sent: int = field(init=False, default=0)
    in_flight: int = field(init=False, default=0)  # attempts
    retry_cost: float = field(init=False, default=FULL_RETRY_COST)  # of the next retry, in retries
    cache_missed: bool = field(init=False, default=False)  # by the last attempt the cache has no copy
    parent_missed: bool = field(init=False, default=False)  # nor has the parent
    is_cache_full: bool = field(init=False, default=False)  # the last cache had no place for a fill
    first_run_by: Member | None = field(init=False, default=None)  # the first cache where it may have run
    first_run_at: float = field(init=False)

    def __post_init__(self) -> None:
        cls = self.cls
        self.first_run_at = self.arrived_at
        self.deadline = self.arrived_at + self.arrival.time_left
        self.latency_objective = min(
            cls.latency_objective + cls.objective_stretch * self.work, cls.time_limit
        )
        self.objective_at = self.arrived_at + self.latency_objective
        self.wait_unit = max(self.latency_objective, self.work / PLANNABLE_TIME_SHARE)
        self.idempotency = cls.idempotency
        if cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and not self.arrival.has_idempotency_key:
            self.idempotency = Idempotency.NON_IDEMPOTENT

    @property
    def is_next_a_retry(self) -> bool:
        """Whether the next attempt repeats one; after a lookup in vain it does not."""
        return self.attempts_sent > 0 and not self.cache_missed

    def can_run_at(self, server: Member, now: float) -> bool:
        """Whether a server drops the repeat, if an earlier attempt may have run."""
        first = self.first_run_by
        if first is None or self.idempotency is Idempotency.IDEMPOTENT:
            return True
        if self.idempotency is Idempotency.NON_IDEMPOTENT or now > self.first_run_at + self.cls.repeat_window:
            return False
        match self.cls.scope:
            case Scope.ALL:
                return True
            case Scope.ZONE:
                return first.zone == server.zone
            case Scope.CELL:
                return first.cell == server.cell

    def can_retry_elsewhere(self) -> bool:
        """Whether its client may repeat it at any router without a second effect."""
        if self.idempotency is Idempotency.IDEMPOTENT:
            return True
        if self.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and self.cls.scope is Scope.ALL:
            return True
        return self.first_run_by is None and not self.in_flight

    def record_failure(self, result: AttemptResult, wait: float, attempt: Attempt | None) -> None:
        """Take in where the request may have run, and what its next retry costs.

        wait: seconds that the failed attempt took; attempt: None if it is unknown.
        """
        if attempt and self.first_run_by is None and not result.is_proven_not_run:
            self.first_run_by = attempt.route.edge.member
            self.first_run_at = attempt.sent_at
        if result is AttemptResult.ERROR:
            # A fast failure cost little.
            self.retry_cost = min(FULL_RETRY_COST, wait / self.work)
        elif result is AttemptResult.BROKEN:
            self.retry_cost = BROKEN_RETRY_COST
        else:
            self.retry_cost = FULL_RETRY_COST

    def record_lookup(self, result: AttemptResult, is_cache_rejection: bool, attempt: Attempt | None) -> None:
        """Take in whether the last attempt was a lookup in vain, and by which servers.

        is_refused_by_cache: whether the cache refused it at once, for want of a place.
        """
        # Only after a miss does the cache need a place for a fill.
        self.is_cache_full = is_cache_rejection and self.cache_missed
        self.cache_missed = result is AttemptResult.MISS or self.is_cache_full
        self.parent_missed = self.cache_missed and attempt is not None and attempt.route.is_parent_lookup


@dataclass(slots=True, eq=False)
class Route:
    """The servers that an attempt passes."""

    edge: Server  # the cache that is sent the attempt
    # The source that is named to the cache for a miss: the same server if edge caches are bypassed, None
    # for a cache lookup.
    fill_source: Server | None
    # The source to which a fill is attributed: the origin, where a parent has to fetch from it first.
    attributed_source: Server | None
    # The source gives only what it holds (only-if-cached).
    is_parent_lookup: bool = False

    @property
    def is_filled_by_origin(self) -> bool:
        """Whether a miss is filled by the origin, also if a parent fetches it there."""
        return self.attributed_source is not None and self.attributed_source.member.role is Role.ORIGIN

    @property
    def servers(self) -> list[Server]:
        """Each of its servers once."""
        distinct = [self.edge]
        for source in (self.attributed_source, self.fill_source):
            if source and source not in distinct:
                distinct.append(source)
        return distinct


@dataclass(slots=True, eq=False)
class LinkLoad:
    """The load of a server's link when an attempt was sent."""

    transfers: float = 0.0  # with this attempt, and those that other routers have there on average
    utilization: float = 0.0  # share of the transfers that the link can end in time


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, kept until its outcome."""

    route: Route
    sent_at: float
    fill_probability: float  # with which its source takes part
    edge_transfers: float  # counted on its cache's link; less than 1 for a fill, which waits for its source
    edge_load: LinkLoad
    source_load: LinkLoad
    is_overdue: bool = False
