"""A small fleet around one Router for the tests."""

from __future__ import annotations

import itertools
from typing import Any, TypeVar

from brackenlane.routing import Router
from brackenlane.routing.actions import Action, Fetch
from brackenlane.routing.events import (
    Arrival,
    AttemptResult,
    CacheStatus,
    Membership,
    MembershipKind,
    Outcome,
)
from brackenlane.routing.members import Member, Role
from brackenlane.routing.settings import RequestClass, Settings, SlowStart

VIDEO = RequestClass(
    "video", latency_objective=0.5, time_limit=5.0, objective_stretch=2.0, value_weight=2.0, late_value=0.15
)
TILES = RequestClass(
    "tiles", latency_objective=0.4, time_limit=2.5, objective_stretch=2.0, late_value=0.2, fresh_for=8.0
)
ZONES = ("hub-a", "hub-b", "hub-c", "depot")
A = TypeVar("A", bound=Action)


def settings(**changes: Any) -> Settings:
    """Settings of a cache at hub-a with one router of its own."""
    base: dict[str, Any] = {
        "location": "depot",
        "locations": ZONES,
        "classes": (VIDEO, TILES),
        "router_count": 3,
        "hub_of": (0, 1, 2, 0),
        "routers_by_location": (0, 0, 0, 1),
        "pace_kb_per_s": 4000.0,
        "edge_cold": SlowStart(0.18, 18.0, 4.0, 1.0),
        "parent_cold": SlowStart(0.085, 22.0, 2.0, 1.0),
        "connect_timeout": 0.4,
        "purge_propagation_time": 6.0,
        "max_attempts": 8,
        "max_hold_off": 2.0,
        "may_cancel": True,
        "may_bypass_caches": True,
        "may_join_fills": True,
        "tick": 0.002,
        "answer_slack": 0.008,
    }
    return Settings(**{**base, **changes})


def members(
    edges: int = 3, parents: tuple[str, ...] = ("hub-a", "hub-a"), origin: bool = True
) -> list[Member]:
    """Edge caches of the cache, a parent for each named hub, and the origin."""
    found = [Member(f"edge-{n}", "depot", weight=8.0) for n in range(edges)]
    found += [Member(f"parent-{n}", hub, Role.PARENT, weight=20.0) for n, hub in enumerate(parents)]
    return found + [Member("origin", "hub-a", Role.ORIGIN)] * origin


class RouterHarness:
    """A Router, and the events that its tests send it."""

    def __init__(
        self, fleet: list[Member] | None = None, seed: int = 1, now: float = 0.0, **changes: Any
    ) -> None:
        self.router = Router(settings(**changes), seed)
        self.now = now
        self.ids = itertools.count()
        self.tell(members() if fleet is None else fleet, MembershipKind.REMEMBERED)

    def tell(self, fleet: list[Member], kind: MembershipKind = MembershipKind.CHANGES) -> list[Action]:
        """A list from discovery."""
        return self.router.handle(Membership(kind, tuple(fleet)), self.now)

    def ask(self, obj: str = "clip", cls: str = "video", **more: Any) -> list[Action]:
        """One request."""
        more = {"time_left": 5.0, "size_kb": 1600.0, **more}
        return self.router.handle(Arrival(f"r{next(self.ids)}", cls=cls, obj=obj, **more), self.now)

    def end(
        self,
        fetch: Fetch,
        result: AttemptResult = AttemptResult.OK,
        cache_status: CacheStatus = CacheStatus.HIT,
        attempt: int = 0,
        wait: float = 0.4,
    ) -> list[Action]:
        """The outcome of an attempt."""
        return self.router.handle(
            Outcome(
                fetch.request_id,
                attempt,
                fetch.server,
                result,
                wait,
                result is AttemptResult.OK,
                cache_status,
            ),
            self.now,
        )

    def serve(
        self, obj: str = "clip", cls: str = "video", cache_status: CacheStatus = CacheStatus.HIT, **more: Any
    ) -> Fetch:
        """One request that is answered well."""
        fetch = only(self.ask(obj, cls, **more), Fetch)
        self.end(fetch, cache_status=cache_status)
        return fetch


def every(actions: list[Action], kind: type[A]) -> list[A]:
    """The actions of one kind."""
    return [a for a in actions if isinstance(a, kind)]


def only(actions: list[Action], kind: type[A]) -> A:
    """The one action of a kind."""
    found = every(actions, kind)
    assert len(found) == 1, actions
    return found[0]
