"""A plain policy for comparison: hash to a cache, fill from the own hub's parent, one retry, no limits."""

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

ATTEMPTS = 2


@dataclass(slots=True)
class PlainRequest:
    """One request in hand."""

    ask: Arrival
    cls: RequestClass
    deadline: float
    tried: list[str] = field(default_factory=list)
    may_have_run: bool = False
    ran_since: float = 0.0


class PlainPolicy:
    """Rendezvous hash at the edge and at the parents; no health, no limits, no cold start."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """seed: not used, as nothing is drawn."""
        self._settings = settings
        self._classes = {cls.name: cls for cls in settings.classes}
        self._purges = Purges(settings.purge_propagation_time, settings.tick)
        self._members: dict[str, Member] = {}
        self._requests: dict[str, PlainRequest] = {}
        self._deadlines: dict[int, str] = {}

    def handle(self, event: Event, now: float) -> list[Action]:
        """What to do about one event."""
        match event:
            case Arrival():
                return self._arrive(event, now)
            case Outcome():
                return self._outcome(event, now)
            case Membership():
                return self._list(event)
            case TimerFired():
                request = self._requests.get(self._deadlines.pop(event.token, ""))
                return self._give_up(request) if request else []
            case Purged():
                self._purges.add(event, now)
            case ResponseStarted() | ClientDisconnected():
                self._requests.pop(event.request_id, None)
        return []

    def _list(self, event: Membership) -> list[Action]:
        if event.kind in (MembershipKind.FULL, MembershipKind.REMEMBERED):
            self._members = {}
        self._members.update({m.server: m for m in event.members})
        requests = self._settings.must_subscribe and event.kind in (
            MembershipKind.REMEMBERED,
            MembershipKind.REJECTED,
        )
        return [Subscribe()] if requests else []

    def _serving(self, role: Role) -> list[Member]:
        return [m for m in self._members.values() if m.role is role and m.state is ServerState.SERVING]

    def _arrive(self, send_request: Arrival, now: float) -> list[Action]:
        request = PlainRequest(send_request, self._classes[send_request.cls], now + send_request.time_left)
        self._requests[send_request.request_id] = request
        token = len(self._deadlines) + 1
        while token in self._deadlines:
            token += 1
        self._deadlines[token] = send_request.request_id
        return [SetTimer(token, request.deadline), *self._send(request, now)]

    def _send(self, request: PlainRequest, now: float) -> list[Action]:
        edge = self._edge(request)
        source = self._source(request.ask.obj)
        if edge is None or source is None:
            return self._give_up(request)
        request.tried.append(edge.server)
        return [
            Fetch(
                request.ask.request_id,
                edge.server,
                request.deadline - now,
                source.server,
                0 if request.cls.uncached else 1,
                self._purges.max_age(request.ask, request.cls, now, False),
                self._settings.may_join_fills,
            )
        ]

    def _edge(self, request: PlainRequest) -> Member | None:
        here = [
            m
            for m in self._serving(Role.EDGE)
            if m.zone == self._settings.location and m.server not in request.tried
        ]
        return min(here, key=lambda m: (score(request.ask.cache_key, m), m.server), default=None)

    def _source(self, obj: str) -> Member | None:
        """The parent that the object's hash prefers at the nearest hub that has one, else the origin."""
        zones = self._settings.locations
        hubs = self._settings.hub_of
        hub = hubs[zones.index(self._settings.location)]
        ring = len(set(hubs))

        def steps(member: Member) -> int:
            away = (zones.index(member.zone) - hub) % ring
            return min(away, ring - away)

        parents = self._serving(Role.PARENT)
        nearest = min(map(steps, parents), default=0)
        near = [m for m in parents if steps(m) == nearest] or self._serving(Role.ORIGIN)
        return min(near, key=lambda m: (score(obj, m), m.server), default=None)

    def _outcome(self, event: Outcome, now: float) -> list[Action]:
        request = self._requests.get(event.request_id)
        if request is None:
            return []
        if event.final or event.result is AttemptResult.OK:
            del self._requests[event.request_id]
            return []
        if not event.result.is_proven_not_run and not request.may_have_run:
            request.may_have_run = True
            request.ran_since = now - event.wait
        again = len(request.tried) < min(ATTEMPTS, self._settings.max_attempts)
        if event.result is AttemptResult.MISS or not again or now >= request.deadline:
            return self._give_up(request)
        return self._send(request, now) if self._may_repeat(request, now) else self._give_up(request)

    def _may_repeat(self, request: PlainRequest, now: float) -> bool:
        cls = request.cls
        if cls.idempotency is Idempotency.IDEMPOTENT or not request.may_have_run:
            return True
        within = now <= request.ran_since + cls.repeat_window
        return cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and cls.scope is not Scope.CELL and within

    def _give_up(self, request: PlainRequest) -> list[Action]:
        name = request.ask.request_id
        cls = request.cls
        self._requests.pop(name, None)
        repeats = cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and cls.scope is Scope.ALL
        harmless = cls.idempotency is Idempotency.IDEMPOTENT or repeats
        return [Reject(name) if harmless else Fail(name)]
