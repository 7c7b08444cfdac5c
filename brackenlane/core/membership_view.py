"""The caches and purges received so far, used for the last check before an attempt is written."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from brackenlane.routing.actions import Fetch
from brackenlane.routing.events import Arrival, Membership, MembershipKind, Purged
from brackenlane.routing.members import Member, ServerState
from brackenlane.routing.purges import ALL_OBJECTS, MAX_PURGES, merge_oldest_purges
from brackenlane.routing.settings import RequestClass, Settings

PURGES_PER_EXPIRY = 64  # old purges are removed when the number of purges is a multiple of this
MIN_AGE_LIMIT = 0.001  # seconds; not 0, which means no limit
NO_GROUP = -1  # group number in a purge event that covers one object


def _no_pending_updates() -> None:
    """Do nothing: default for an engine that receives all updates through its own mailbox."""


class MembershipView:
    """Caches and recent purges; changed only by the engine, read by connection pools and fronts."""

    def __init__(self, settings: Settings) -> None:
        self.members: dict[str, Member] = {}
        # Time of the latest purge by object (str) or group (int): `purges` on this machine's clock, and
        # `_purge_times_at_origin` on the origin's clock.
        self.purges: dict[str | int, float] = {}
        self._purge_times_at_origin: dict[str | int, float] = {}
        self.has_cache_list = False  # whether a list of caches has been received
        # Applies updates that another process of this router has received; called before each check.
        self.apply_pending_updates: Callable[[], None] = _no_pending_updates
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings; members and purges are kept."""
        # Seconds during which a purge limits the age of copies: twice the time it needs to reach all caches.
        self._purge_lifetime = 2 * settings.purge_propagation_time
        self._age_resolution = settings.tick

    def apply(self, event: Membership | Purged, now: float) -> None:
        """Apply one event; `now` is in Unix seconds."""
        if isinstance(event, Purged):
            self._apply_purge(event, now)
        else:
            self._apply_membership(event)

    def _apply_purge(self, event: Purged, now: float) -> None:
        key = event.obj or event.group
        purged_at = now - event.age
        stamp = event.purged_at or purged_at
        self.purges[key] = max(purged_at, self.purges.get(key, purged_at))
        self._purge_times_at_origin[key] = max(stamp, self._purge_times_at_origin.get(key, stamp))
        if len(self.purges) % PURGES_PER_EXPIRY == 0:
            oldest = now - self._purge_lifetime
            self.purges = {key: at for key, at in self.purges.items() if at > oldest}
        if len(self.purges) > MAX_PURGES:
            self._merge_oldest_purges()
        if len(self._purge_times_at_origin) > len(self.purges):
            self._purge_times_at_origin = {key: self._purge_times_at_origin[key] for key in self.purges}

    def _merge_oldest_purges(self) -> None:
        """Replace the older half of too many purges by one purge of all objects."""
        keys_before = set(self.purges)
        merge_oldest_purges(self.purges)
        stamps = [self._purge_times_at_origin[key] for key in keys_before - self.purges.keys()]
        earlier = self._purge_times_at_origin.get(ALL_OBJECTS, -math.inf)
        self._purge_times_at_origin[ALL_OBJECTS] = max(earlier, *stamps)

    def _apply_membership(self, event: Membership) -> None:
        if event.kind is not MembershipKind.CHANGES:
            self.members = {}
        for member in event.members:
            if member.state is ServerState.GONE:
                self.members.pop(member.server, None)
            else:
                self.members[member.server] = member
        self.has_cache_list = True

    def purge_events(self, now: float) -> Iterator[Purged]:
        """Iterate over the recent purges as events, to initialize a new router."""
        for key, purged_at in self.purges.items():
            age = max(0.0, now - purged_at)
            stamp = self._purge_times_at_origin[key]
            if isinstance(key, str):
                yield Purged(key, NO_GROUP, age, stamp)
            else:
                yield Purged("", key, age, stamp)

    def is_serving(self, server: str) -> bool:
        """Whether new requests may be sent to a server."""
        member = self.members.get(server)
        return member is not None and member.state is ServerState.SERVING

    def allows(self, fetch: Fetch) -> bool:
        """Whether the server and the fill source of an attempt are both still in service.

        Updates received by any process of this router count. A drain may have been received while the attempt
        was queued. The site permits some time to follow an update, but a drain is applied at once.
        """
        self.apply_pending_updates()
        return self.is_serving(fetch.server) and self.is_serving(fetch.source)

    def max_age(self, fetch: Fetch, request: Arrival, now: float) -> float:
        """Return the maximum age in seconds of a copy that an attempt may return; 0 means no limit.

        Purges received since the attempt was decided lower the limit.
        """
        limit = fetch.max_age or math.inf
        for key in (request.obj, request.group, ALL_OBJECTS):
            since_purge = now - self.purges.get(key, -math.inf)
            if since_purge <= self._purge_lifetime:
                limit = min(limit, max(since_purge - self._age_resolution, MIN_AGE_LIMIT))
        return 0.0 if limit == math.inf else limit

    def is_purged(self, request: Arrival, issued: float) -> bool:
        """Whether a copy that the origin issued at this Unix time is older than a recent purge of it.

        Both times are on the origin's clock, so this machine's clock does not affect the result.
        """
        keys = (request.obj, request.group, ALL_OBJECTS)
        return any(issued <= self._purge_times_at_origin.get(key, -math.inf) for key in keys)

    @staticmethod
    def is_too_old(cls: RequestClass | None, issued: float, sent: float, clock_tolerance: float) -> bool:
        """Whether a copy exceeds the maximum age of its class, even if the cache reported it as usable.

        issued: Unix time at which the origin issued the copy; sent: Unix time at which the request was sent;
        clock_tolerance: seconds.
        """
        if cls is None or not cls.fresh_for:
            return False
        return sent - issued > cls.fresh_for + cls.grace + clock_tolerance
