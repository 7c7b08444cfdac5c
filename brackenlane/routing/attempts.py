"""The records that a router keeps of a request in flight and of each attempt to answer it.

Times are Unix seconds, work is in transfer-seconds.
"""

from __future__ import annotations

from brackenlane.routing.events import Arrival
from brackenlane.routing.members import Member
from brackenlane.routing.servers import Server
from brackenlane.routing.settings import Idempotency, RequestClass, Scope

HEADROOM = 0.7  # of the time left that an attempt may need by its cache's crowd


class Request:
    """One request in flight."""

    def __init__(self, arrival: Arrival, cls: RequestClass, now: float, work: float) -> None:
        self.arrival, self.cls, self.arrived_at, self.work, self.first_ran = arrival, cls, now, work, now
        # Without its key, repeats of a write are not dropped.
        keyless = cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and not arrival.has_idempotency_key
        self.idempotency = Idempotency.NON_IDEMPOTENT if keyless else cls.idempotency
        self.deadline = now + arrival.time_left
        self.latency_objective = min(cls.latency_objective + cls.objective_stretch * work, cls.time_limit)
        # The unit of waits: what takes longer than its aim by itself, on an idle link, is no sign of a jam.
        self.span = max(self.latency_objective, work / HEADROOM)
        self.tried_servers: list[str] = []
        self.sent = self.in_flight = 0
        self.cost = 1.0  # of a further attempt; less after what is no sign of a crowd: a quick error, a break
        self.cache_missed = self.parent_missed = self.full = (
            False  # a miss; at a parent too; no place there for a fill
        )
        self.ran: Member | None = None  # the first cache where it may have run

    def may_run_at(self, server: Member, now: float) -> bool:
        """Whether no effect can come twice: after an attempt that may have run, repeats must be dropped."""
        cls, ran = self.cls, self.ran
        if ran is None or self.idempotency is Idempotency.IDEMPOTENT:
            return True
        if self.idempotency is Idempotency.NON_IDEMPOTENT or now > self.first_ran + cls.repeat_window:
            return False
        return (
            cls.scope is Scope.ALL
            or (cls.scope is Scope.ZONE and ran.zone == server.zone)
            or (cls.scope is Scope.CELL and ran.cell == server.cell)
        )


class Route:
    """The servers by which an attempt goes."""

    __slots__ = ("asked", "edge", "held", "source")

    def __init__(self, edge: Server, source: Server | None, requested: Server | None, held: bool) -> None:
        """asked: the source that the cache is told, none for a look at the cache; held: for what it holds.

        The source is the one that is judged by the fill: the origin, where a parent has to ask it first.
        """
        self.edge, self.source, self.asked, self.held = edge, source, requested, held

    @property
    def servers(self) -> list[Server]:
        """Each of them once."""
        passed = (self.edge, self.source, self.asked)
        return list({server.member.server: server for server in passed if server}.values())


class Attempt:
    """One attempt, kept until its outcome."""

    def __init__(self, route: Route, sent: float, fill: float) -> None:
        """sent: Unix time; fill: the chance, 0 to 1, that its source takes part."""
        self.edge, self.source, self.held = route.edge, route.source, route.held
        self.sent, self.fill = sent, fill
        self.load = 1.0  # of its cache's link, in transfers: a fill that waits takes a part
        self.overdue, self.crowd, self.queue = False, 0.0, 0.0  # in flight at its cache and its source
        self.edge_used = self.source_used = 0.0  # parts of their limits in flight
        self.via = route.asked  # by which a fill comes: the source, or a parent where the origin is judged
