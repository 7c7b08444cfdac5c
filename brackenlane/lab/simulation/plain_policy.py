"""A simple baseline policy: hashes to a cache, fills from a parent of the nearest hub, retries once."""

from __future__ import annotations

from dataclasses import dataclass, field

from brackenlane.routing.actions import Action, Fail, Fetch, Reject, SetTimer, Subscribe
from brackenlane.routing.events import (
    Arrival,
    AttemptResult,
    ClientDisconnected,
    Event,
    Membership,
    MembershipKind,
    Outcome,
    Purged,
    ResponseStarted,
    TimerFired,
)
from brackenlane.routing.members import Member, Role, ServerState
from brackenlane.routing.purges import Purges
from brackenlane.routing.rendezvous_hash import score
from brackenlane.routing.settings import Idempotency, RequestClass, Scope, Settings

MAX_ATTEMPTS = 2


@dataclass(slots=True)
class PlainRequest:
    """A request without a final answer yet."""

    arrival: Arrival
    cls: RequestClass
    deadline: float
    tried_servers: list[str] = field(default_factory=list)
    may_have_run: bool = False
    may_have_run_since: float = 0.0


class PlainPolicy:
    """Rendezvous hashing of caches and parents, without health checks, limits or slow start."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """seed: unused, since the policy makes no random choices."""
        self._settings = settings
        self._classes = {cls.name: cls for cls in settings.classes}
        self._purges = Purges(settings.purge_propagation_time, settings.tick)
        self._members: dict[str, Member] = {}
        self._requests: dict[str, PlainRequest] = {}
        self._deadlines: dict[int, str] = {}

    def handle(self, event: Event, now: float) -> list[Action]:
        """Return the actions for one event."""
        match event:
            case Arrival():
                return self._arrive(event, now)
            case Outcome():
                return self._outcome(event, now)
            case Membership():
                return self._update_members(event)
            case TimerFired():
                request = self._requests.get(self._deadlines.pop(event.token, ""))
                return self._give_up(request) if request else []
            case Purged():
                self._purges.add(event, now)
            case ResponseStarted() | ClientDisconnected():
                self._requests.pop(event.request_id, None)
        return []

    def _update_members(self, event: Membership) -> list[Action]:
        if event.kind in (MembershipKind.FULL, MembershipKind.REMEMBERED):
            self._members = {}
        self._members.update({m.server: m for m in event.members})
        must_subscribe = self._settings.must_subscribe and event.kind in (
            MembershipKind.REMEMBERED,
            MembershipKind.REJECTED,
        )
        return [Subscribe()] if must_subscribe else []

    def _serving(self, role: Role) -> list[Member]:
        return [m for m in self._members.values() if m.role is role and m.state is ServerState.SERVING]

    def _arrive(self, arrival: Arrival, now: float) -> list[Action]:
        request = PlainRequest(arrival, self._classes[arrival.cls], now + arrival.time_left)
        self._requests[arrival.request_id] = request
        token = len(self._deadlines) + 1
        while token in self._deadlines:
            token += 1
        self._deadlines[token] = arrival.request_id
        return [SetTimer(token, request.deadline), *self._send(request, now)]

    def _send(self, request: PlainRequest, now: float) -> list[Action]:
        edge = self._edge(request)
        source = self._source(request.arrival.obj)
        if edge is None or source is None:
            return self._give_up(request)
        request.tried_servers.append(edge.server)
        return [
            Fetch(
                request.arrival.request_id,
                edge.server,
                request.deadline - now,
                source.server,
                0 if request.cls.uncached else 1,
                self._purges.max_age(request.arrival, request.cls, now, False),
                self._settings.may_join_fills,
            )
        ]

    def _edge(self, request: PlainRequest) -> Member | None:
        candidates = [
            m
            for m in self._serving(Role.EDGE)
            if m.zone == self._settings.location and m.server not in request.tried_servers
        ]
        return min(candidates, key=lambda m: (score(request.arrival.cache_key, m), m.server), default=None)

    def _source(self, obj: str) -> Member | None:
        """Best-scored parent for the object at the nearest hub that has a serving one, else the origin."""
        zones = self._settings.locations
        hub_of = self._settings.hub_of
        hub = hub_of[zones.index(self._settings.location)]
        hub_count = len(set(hub_of))

        def hops(member: Member) -> int:
            distance = (zones.index(member.zone) - hub) % hub_count
            return min(distance, hub_count - distance)

        parents = self._serving(Role.PARENT)
        fewest_hops = min(map(hops, parents), default=0)
        sources = [m for m in parents if hops(m) == fewest_hops] or self._serving(Role.ORIGIN)
        return min(sources, key=lambda m: (score(obj, m), m.server), default=None)

    def _outcome(self, event: Outcome, now: float) -> list[Action]:
        request = self._requests.get(event.request_id)
        if request is None:
            return []
        if event.final or event.result is AttemptResult.OK:
            del self._requests[event.request_id]
            return []
        if not event.result.is_proven_not_run and not request.may_have_run:
            request.may_have_run = True
            request.may_have_run_since = now - event.wait
        may_retry = len(request.tried_servers) < min(MAX_ATTEMPTS, self._settings.max_attempts)
        if event.result is AttemptResult.MISS or not may_retry or now >= request.deadline:
            return self._give_up(request)
        return self._send(request, now) if self._may_repeat(request, now) else self._give_up(request)

    def _may_repeat(self, request: PlainRequest, now: float) -> bool:
        cls = request.cls
        if cls.idempotency is Idempotency.IDEMPOTENT or not request.may_have_run:
            return True
        in_window = now <= request.may_have_run_since + cls.repeat_window
        return (
            cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and cls.scope is not Scope.CELL and in_window
        )

    def _give_up(self, request: PlainRequest) -> list[Action]:
        name = request.arrival.request_id
        cls = request.cls
        self._requests.pop(name, None)
        repeats_dropped = cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and cls.scope is Scope.ALL
        safe_to_repeat = cls.idempotency is Idempotency.IDEMPOTENT or repeats_dropped
        return [Reject(name) if safe_to_repeat else Fail(name)]
