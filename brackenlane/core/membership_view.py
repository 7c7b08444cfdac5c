"""What we were told of caches and purges, for the last check as something is written."""

from __future__ import annotations

import math
from collections.abc import Callable

from brackenlane.routing.actions import Fetch
from brackenlane.routing.events import Arrival, Membership, MembershipKind, Purged
from brackenlane.routing.members import Member, ServerState
from brackenlane.routing.settings import RequestClass, Settings


class MembershipView:
    """The list and the purges as told; only the core changes it, the peers look at it."""

    def __init__(self, settings: Settings) -> None:
        self.members: dict[str, Member] = {}
        self.purges: dict[str | int, float] = {}  # by object (text) or group (number): Unix time
        self.has_list = False  # whether a list has come
        self.catch_up: Callable[[], None] = lambda: (
            None
        )  # asked before each look: takes in what others were told
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Keep to other settings from now on; what was told stands."""
        self._keep = 2 * settings.purge_propagation_time
        self._tick = settings.tick

    def apply(self, event: Membership | Purged, now: float) -> None:
        """Follow one event."""
        if isinstance(event, Purged):
            key, at = event.obj or event.group, now - event.age
            self.purges[key] = max(at, self.purges.get(key, at))
            if len(self.purges) % 64 == 0:
                self.purges = {k: v for k, v in self.purges.items() if v > now - self._keep}
            return
        if event.kind is not MembershipKind.CHANGES:
            self.members = {}
        for member in event.members:
            if member.state is ServerState.GONE:
                self.members.pop(member.server, None)
            else:
                self.members[member.server] = member
        self.has_list = True

    def serving(self, server: str) -> bool:
        """Whether new work may go to a cache."""
        member = self.members.get(server)
        return member is not None and member.state is ServerState.SERVING

    def allows(self, fetch: Fetch) -> bool:
        """Guards against a drain heard while an attempt waited for its connection, also of its source.

        The rule leaves a time of the site's own after the news; nothing here needs it, so none is used.
        """
        self.catch_up()
        return self.serving(fetch.server) and self.serving(fetch.source)

    def max_age(self, fetch: Fetch, request: Arrival, now: float) -> float:
        """The attempt's age limit, tightened by purges heard since it was decided; 0 for none."""
        age = fetch.max_age or math.inf
        for key in (request.obj, request.group):
            since = now - self.purges.get(key, -math.inf)
            if since <= self._keep:
                age = min(age, max(since - self._tick, 0.001))
        return 0.0 if age == math.inf else age

    def purged(self, request: Arrival, issued: float) -> bool:
        """Whether a copy is older than a purge that we were told of lately."""
        return any(issued <= self.purges.get(key, -math.inf) for key in (request.obj, request.group))

    @staticmethod
    def too_old(cls: RequestClass | None, issued: float, sent: float, slack: float) -> bool:
        """Guards against a copy older than its class may ever be served, whoever says that it will do."""
        return sent - issued > (cls.fresh_for + cls.grace if cls and cls.fresh_for else math.inf) + slack
