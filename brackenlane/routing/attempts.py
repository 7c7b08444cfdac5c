"""Records of the requests in flight of a router and of their attempts.

Pure. Times are Unix seconds. Work is in seconds of transfer time: the duration of a transfer alone on its
link.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from brackenlane.routing.events import Arrival, AttemptResult
from brackenlane.routing.members import Member, Role
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import Idempotency, RequestClass, Scope

PLANNABLE_TIME_SHARE = 0.7  # share of the remaining time that may be planned for transfers on a link
FULL_RETRY_COST = 1.0  # cost of a usual retry, in retries of the budget
BROKEN_RETRY_COST = 0.25  # cost after a broken connection, which does not indicate an overload


class AttemptKey(NamedTuple):
    """The identity of an attempt."""

    request_id: str
    number: int  # index of the attempt within its request, from 0


@dataclass(slots=True, eq=False)
class Request:
    """One request in flight."""

    arrival: Arrival
    cls: RequestClass
    arrived_at: float
    work: float  # transfer time in seconds, known or estimated at the arrival
    idempotency: Idempotency = field(init=False)
    deadline: float = field(init=False)
    latency_objective: float = field(init=False)  # seconds from the arrival
    objective_at: float = field(init=False)  # Unix time at which the latency objective ends
    # Unit of learned latencies in seconds. It exceeds the objective for a request that misses its objective
    # even on an idle link, because such a request does not indicate an overload.
    wait_unit: float = field(init=False)
    # Names of the caches that have been sent an attempt with a fill source.
    tried_servers: list[str] = field(init=False, default_factory=list)
    attempts_sent: int = field(init=False, default=0)
    in_flight: int = field(init=False, default=0)  # number of attempts in flight
    retry_cost: float = field(init=False, default=FULL_RETRY_COST)  # cost of the next retry, in retries
    cache_missed: bool = field(init=False, default=False)  # whether the cache had no copy at the last attempt
    parent_missed: bool = field(init=False, default=False)  # whether the parent had none either
    is_cache_full: bool = field(init=False, default=False)  # whether the last cache had no slot for a fill
    # The first cache at which the request may have run, and the Unix time at which that attempt was sent.
    first_run_by: Member | None = field(init=False, default=None)
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
        """Whether the next attempt is a retry; an attempt after an unsuccessful lookup is not."""
        return self.attempts_sent > 0 and not self.cache_missed

    def can_run_at(self, server: Member, now: float) -> bool:
        """Whether a repeat at a server has no second effect, if an earlier attempt may have run."""
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
        """Whether the client may repeat the request at any router without a second effect."""
        if self.idempotency is Idempotency.IDEMPOTENT:
            return True
        if self.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and self.cls.scope is Scope.ALL:
            return True
        return self.first_run_by is None and not self.in_flight

    def record_failure(self, result: AttemptResult, wait: float, attempt: Attempt | None) -> None:
        """Record at which server the request may have run, and the cost of the next retry.

        wait: duration of the failed attempt in seconds; attempt: None if it is unknown.
        """
        if attempt and self.first_run_by is None and not result.is_proven_not_run:
            self.first_run_by = attempt.route.edge.member
            self.first_run_at = attempt.sent_at
        if result is AttemptResult.ERROR:
            # A fast failure used little capacity.
            self.retry_cost = min(FULL_RETRY_COST, wait / self.work)
        elif result is AttemptResult.BROKEN:
            self.retry_cost = BROKEN_RETRY_COST
        else:
            self.retry_cost = FULL_RETRY_COST

    def record_lookup(self, result: AttemptResult, is_cache_rejection: bool, attempt: Attempt | None) -> None:
        """Record whether the last attempt was an unsuccessful lookup, and at which servers.

        is_cache_rejection: whether the cache itself rejected the attempt at once because it was full.
        """
        # The cache needs a slot for a fill only after a miss.
        self.is_cache_full = is_cache_rejection and self.cache_missed
        self.cache_missed = result is AttemptResult.MISS or self.is_cache_full
        self.parent_missed = self.cache_missed and attempt is not None and attempt.route.is_parent_lookup


@dataclass(slots=True, eq=False)
class Route:
    """The servers that an attempt involves."""

    edge: Server  # the cache that is sent the attempt
    # The source that the cache is told to use for a miss. It equals `edge` if edge caches are bypassed, and
    # is None for a cache lookup.
    fill_source: Server | None
    # The source to which a fill is attributed: the origin if the parent has to fetch the object from it.
    attributed_source: Server | None
    # Whether the source answers only with a copy that it holds (only-if-cached).
    is_parent_lookup: bool = False

    @property
    def is_filled_by_origin(self) -> bool:
        """Whether the origin fills a miss, directly or through a parent."""
        return self.attributed_source is not None and self.attributed_source.member.role is Role.ORIGIN

    @property
    def servers(self) -> list[Server]:
        """The distinct servers of the route."""
        distinct = [self.edge]
        for source in (self.attributed_source, self.fill_source):
            if source and source not in distinct:
                distinct.append(source)
        return distinct


@dataclass(slots=True, eq=False)
class LinkLoad:
    """The load on the link of a server at the time when an attempt was sent."""

    transfers: float = 0.0  # concurrent transfers, with this one and the assumed ones of other routers
    utilization: float = 0.0  # transfers as a share of those that the link can complete in time


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, kept until its outcome."""

    route: Route
    sent_at: float
    fill_probability: float  # probability that the source takes part
    # Transfers counted on the link of the cache: less than 1 for a fill, which waits for its source.
    edge_transfers: float
    edge_load: LinkLoad
    source_load: LinkLoad
    is_overdue: bool = False
