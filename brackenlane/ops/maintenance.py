"""Boxes taken out by hand, laid over whatever the change log says of them.

Pure: lists in, lists out. A cache that is out is told to the core as draining, so every rule on drains holds
for it; whatever the log says meanwhile is noted and told once it may serve again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from enum import Enum

from brackenlane.routing.events import Membership, MembershipKind
from brackenlane.routing.members import Member, ServerState


class MaintenanceResult(Enum):
    """What came of a call."""

    DONE = "done"
    UNKNOWN = "unknown"  # no cache of this name is listed, and none is out
    FULL = "full"  # as many are out as may be


class Maintenance:
    """The list as the log tells it, and who is out of it by hand."""

    def __init__(self, most: int) -> None:
        """At most so many caches are out at once."""
        self._most = most
        self.listed: dict[str, Member] = {}  # as told by the log, gone ones left out
        self.out: dict[str, float] = {}  # by id: the Unix time from which it is out
        self._shaded: Callable[[Member], bool] = lambda _: False

    def apply(self, event: Membership) -> Membership:
        """A list of the log's, as the core may hear it."""
        if event.kind is not MembershipKind.CHANGES:
            self.listed = {}
        for member in event.members:
            if member.state is ServerState.GONE:
                self.listed.pop(member.server, None)
            else:
                self.listed[member.server] = member
        return Membership(event.kind, tuple(self._masked(member) for member in event.members))

    def enter(self, server: str, now: float) -> tuple[MaintenanceResult, Membership | None]:
        """Take a cache out; told again, nothing changes. The list that makes it so, if any must be told."""
        if server in self.out:
            return MaintenanceResult.DONE, None
        member = self.listed.get(server)
        if member is None:
            return MaintenanceResult.UNKNOWN, None
        if len(self.out) >= self._most:
            return MaintenanceResult.FULL, None
        self.out[server] = now
        return MaintenanceResult.DONE, Membership(MembershipKind.CHANGES, (self._masked(member),))

    def leave(self, server: str, now: float) -> tuple[MaintenanceResult, Membership | None]:
        """Let a cache serve again, however often it was taken out.

        Guards a cache that was restarted while it was out, which the (late) log does not tell yet: unless it
        has told of a start since, the cache counts as started now, so as cold.
        """
        since = self.out.pop(server, None)
        member = self.listed.get(server)
        if since is None:
            return (MaintenanceResult.DONE if member else MaintenanceResult.UNKNOWN), None
        if member is None:  # not listed at the moment: when it comes back, the log tells of its start
            return MaintenanceResult.DONE, None
        started = member.started_at if member.started_at >= since else now
        back = replace(member, started_at=started)
        return MaintenanceResult.DONE, Membership(MembershipKind.CHANGES, (self._masked(back),))

    def shade(self, shaded: Callable[[Member], bool]) -> Membership:
        """Treat the caches that this selects as out of service from now on; return the list that does so."""
        self._shaded = shaded
        return Membership(
            MembershipKind.CHANGES, tuple(self._masked(member) for member in self.listed.values())
        )

    def _masked(self, member: Member) -> Member:
        if member.state is ServerState.SERVING and (member.server in self.out or self._shaded(member)):
            return replace(member, state=ServerState.DRAINING)
        return member
