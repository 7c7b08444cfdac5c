"""Maintenance: caches that an operator took out of service, laid over what the change log says of them. Pure.

A cache in maintenance is reported to the request engine as draining, so that every rule for draining caches
holds for it. What the change log says meanwhile is kept, and reported once the cache may serve again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from typing import NamedTuple

from brackenlane.routing.events import Membership, MembershipKind
from brackenlane.routing.members import Member, ServerState


class MaintenanceAction(Enum):
    """What an operator orders for a cache; the values are words of the admin API."""

    ENTER = "enter"
    EXIT = "exit"


class MaintenanceResult(Enum):
    """How an order ended."""

    DONE = "done"
    UNKNOWN = "unknown"  # no cache of this name is listed or out of service
    FULL = "full"  # as many caches are out of service as may be
    NOT_RECORDED = "not recorded"  # it cannot be stored for the next process, so nothing has changed


class MaintenanceChange(NamedTuple):
    """The result of an order, and the event that the request engine must get, if any."""

    result: MaintenanceResult
    event: Membership | None


class Maintenance:
    """The caches listed by the change log, and which of them are out of service."""

    def __init__(self, max_out_of_service: int) -> None:
        self._max_out_of_service = max_out_of_service
        self.listed: dict[str, Member] = {}  # as the change log says, without those that are gone
        self.out_of_service: dict[str, float] = {}  # by cache: the Unix time since when
        self._is_excluded: Callable[[Member], bool] = lambda _: False

    def apply(self, event: Membership) -> Membership:
        """Keep an event of the change log; return it as the request engine may get it."""
        if event.kind is not MembershipKind.CHANGES:
            self.listed = {}
        for member in event.members:
            if member.state is ServerState.GONE:
                self.listed.pop(member.server, None)
            else:
                self.listed[member.server] = member
        return Membership(event.kind, tuple(self._masked(member) for member in event.members))

    def is_out_of_service(self, server: str) -> bool:
        """Whether an operator took a cache out of service."""
        return server in self.out_of_service

    def check(self, action: MaintenanceAction, server: str) -> MaintenanceResult | None:
        """Return the result of an order that changes nothing; None for one that is to be carried out."""
        is_listed = server in self.listed
        is_out = self.is_out_of_service(server)
        if action is MaintenanceAction.EXIT:
            if is_out:
                return None
            return MaintenanceResult.DONE if is_listed else MaintenanceResult.UNKNOWN
        if is_out:
            return MaintenanceResult.DONE
        if not is_listed:
            return MaintenanceResult.UNKNOWN
        if len(self.out_of_service) >= self._max_out_of_service:
            return MaintenanceResult.FULL
        return None

    def carry_out(self, action: MaintenanceAction, server: str, now: float) -> MaintenanceChange:
        """Carry out an order; repeated, it changes nothing. now: its Unix time."""
        result = self.check(action, server)
        if result is not None:
            return MaintenanceChange(result, None)
        if action is MaintenanceAction.ENTER:
            return self._enter(server, now)
        return self._exit(server, now)

    def _enter(self, server: str, now: float) -> MaintenanceChange:
        self.out_of_service[server] = now
        return MaintenanceChange(MaintenanceResult.DONE, self._changes([self.listed[server]]))

    def _exit(self, server: str, now: float) -> MaintenanceChange:
        """Put a cache back into service.

        Guards a cache that was restarted in maintenance, which the (late) change log does not say yet: unless
        it has reported a start since, the cache counts as started now, so as warming up.
        """
        since = self.out_of_service.pop(server)
        member = self.listed.get(server)
        if member is None:  # not listed at the moment: when it is again, the change log reports its start
            return MaintenanceChange(MaintenanceResult.DONE, None)
        started_at = member.started_at if member.started_at >= since else now
        return MaintenanceChange(
            MaintenanceResult.DONE, self._changes([replace(member, started_at=started_at)])
        )

    def exclude(self, is_excluded: Callable[[Member], bool]) -> Membership:
        """Treat the caches that this selects as out of service from now on; return the event that does so."""
        self._is_excluded = is_excluded
        return self._changes(list(self.listed.values()))

    def _changes(self, members: list[Member]) -> Membership:
        return Membership(MembershipKind.CHANGES, tuple(self._masked(member) for member in members))

    def _masked(self, member: Member) -> Member:
        if member.state is not ServerState.SERVING:
            return member
        if self.is_out_of_service(member.server) or self._is_excluded(member):
            return replace(member, state=ServerState.DRAINING)
        return member
