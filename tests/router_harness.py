"""One Router with a small list of caches, for tests of routing decisions."""

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
    """Return the settings of the only router at the location `depot`, which belongs to hub-a."""
    defaults: dict[str, Any] = {
        "location": "depot",
        "locations": ZONES,
        "classes": (VIDEO, TILES),
        "router_count": 3,
        "hub_of": (0, 1, 2, 0),
        "routers_by_location": (0, 0, 0, 1),
        "pace_kb_per_s": 4000.0,
        "edge_slow_start": SlowStart(0.18, 18.0, 4.0, 1.0),
        "parent_slow_start": SlowStart(0.085, 22.0, 2.0, 1.0),
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
    return Settings(**{**defaults, **changes})


def members(
    edges: int = 3, parents: tuple[str, ...] = ("hub-a", "hub-a"), origin: bool = True
) -> list[Member]:
    """Return the edge caches of `depot`, a parent cache at each location in `parents`, and the origin."""
    listed = [Member(f"edge-{n}", "depot", weight=8.0) for n in range(edges)]
    listed += [Member(f"parent-{n}", hub, Role.PARENT, weight=20.0) for n, hub in enumerate(parents)]
    return listed + [Member("origin", "hub-a", Role.ORIGIN)] * origin


class RouterHarness:
    """A Router, with methods that send it events at the time `now` and return its actions."""

    def __init__(
        self, fleet: list[Member] | None = None, seed: int = 1, now: float = 0.0, **changes: Any
    ) -> None:
        self.router = Router(settings(**changes), seed)
        self.now = now
        self.request_numbers = itertools.count()
        self.update_members(members() if fleet is None else fleet, MembershipKind.REMEMBERED)

    def update_members(
        self, fleet: list[Member], kind: MembershipKind = MembershipKind.CHANGES
    ) -> list[Action]:
        """Send a list of members, as discovery does."""
        return self.router.handle(Membership(kind, tuple(fleet)), self.now)

    def send_request(self, obj: str = "clip", cls: str = "video", **arrival_fields: Any) -> list[Action]:
        """Send the arrival of one request."""
        arrival_fields = {"time_left": 5.0, "size_kb": 1600.0, **arrival_fields}
        return self.router.handle(
            Arrival(f"r{next(self.request_numbers)}", cls=cls, obj=obj, **arrival_fields), self.now
        )

    def finish_attempt(
        self,
        fetch: Fetch,
        result: AttemptResult = AttemptResult.OK,
        cache_status: CacheStatus = CacheStatus.HIT,
        attempt: int = 0,
        wait: float = 0.4,
    ) -> list[Action]:
        """Send the outcome of an attempt."""
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

    def serve_request(
        self,
        obj: str = "clip",
        cls: str = "video",
        cache_status: CacheStatus = CacheStatus.HIT,
        **arrival_fields: Any,
    ) -> Fetch:
        """Send one request and the success of its attempt; return the Fetch of that attempt."""
        fetch = single_action(self.send_request(obj, cls, **arrival_fields), Fetch)
        self.finish_attempt(fetch, cache_status=cache_status)
        return fetch


def actions_of(actions: list[Action], action_type: type[A]) -> list[A]:
    """Return the actions of one type."""
    return [a for a in actions if isinstance(a, action_type)]


def single_action(actions: list[Action], action_type: type[A]) -> A:
    """Return the one action of a type; AssertionError if there are none or several."""
    matching = actions_of(actions, action_type)
    assert len(matching) == 1, actions
    return matching[0]
