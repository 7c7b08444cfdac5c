"""Maintenance: caches that an operator took out of service, whatever state the change log reports. Pure.

A cache in maintenance is reported to the request engine as draining, so that every rule for draining caches
applies to it. State from the change log is stored meanwhile, and reported once the cache is back in service.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from enum import Enum
from typing import NamedTuple

from brackenlane.ops.cache_returns import CacheReturn, CacheReturns
from brackenlane.routing.events import Membership, MembershipKind
from brackenlane.routing.members import Member, ServerState


class MaintenanceAction(Enum):
    """What an operator orders for a cache; the values are part of the admin API's paths."""

    ENTER = "enter"
    EXIT = "exit"


class MaintenanceResult(Enum):
    """The result of a maintenance order."""

    DONE = "done"
    UNKNOWN = "unknown"  # no cache with this id is listed or out of service
    FULL = "full"  # the maximum number of caches is out of service
    NOT_RECORDED = "not recorded"  # the order cannot be stored for the next process, so nothing has changed


class MaintenanceChange(NamedTuple):
    """The result of an order, and the event to be sent to the request engine, if any."""

    result: MaintenanceResult
    event: Membership | None


class Maintenance:
    """Owns which caches the change log lists, and which caches operators took out of service."""

    def __init__(self, max_out_of_service: int) -> None:
        self._max_out_of_service = max_out_of_service
        self.listed: dict[str, Member] = {}  # the caches that the change log lists, by id
        self.out_of_service: dict[str, float] = {}  # the Unix time of the order, by cache
        # Caches back in service whose start since the order the change log has not reported.
        self._returns = CacheReturns()
        self._is_excluded: Callable[[Member], bool] = lambda _: False

    def apply(self, event: Membership) -> Membership:
        """Store an event of the change log; return it with the caches in maintenance as draining."""
        if event.kind is not MembershipKind.CHANGES:
            self.listed = {}
        for member in event.members:
            if member.state is ServerState.GONE:
                self.listed.pop(member.server, None)
            else:
                self.listed[member.server] = member
                cache_return = self._returns.get(member.server)
                if cache_return and member.started_at >= cache_return.entered_at:
                    del self._returns[member.server]  # the change log has reported the start
        return Membership(event.kind, tuple(self._as_reported(member) for member in event.members))

    def is_out_of_service(self, server: str) -> bool:
        """Whether an operator took a cache out of service."""
        return server in self.out_of_service

    def check(self, action: MaintenanceAction, server: str) -> MaintenanceResult | None:
        """Return the result of an operator's order that would change nothing; None for one to be accepted.

        For orders received here only: one that another process has accepted is owed, whatever is listed here.
        """
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
        """Carry out an operator's order of a Unix time; a repeated order changes nothing."""
        result = self.check(action, server)
        if result is not None:
            return MaintenanceChange(result, None)
        return MaintenanceChange(MaintenanceResult.DONE, self.apply_accepted(action, server, now))

    def apply_accepted(self, action: MaintenanceAction, server: str, at: float) -> Membership | None:
        """Apply an order that a process of this router accepted at a Unix time; return the event, if any.

        The order holds for a cache that this process does not list yet: its change log may be behind that of
        the process that accepted it. So it is neither checked nor limited in number here.
        """
        if action is MaintenanceAction.ENTER:
            self.out_of_service.setdefault(server, at)
            self._returns.pop(server, None)
        elif server in self.out_of_service:
            self._returns.record(server, CacheReturn(self.out_of_service.pop(server), at))
        else:
            return None
        member = self.listed.get(server)
        return self._change_event([member]) if member else None

    def restore(self, out_of_service: Mapping[str, float], returns: Mapping[str, CacheReturn]) -> None:
        """Adopt the orders that earlier processes of this router have accepted."""
        self.out_of_service.update(out_of_service)
        for server, cache_return in returns.items():
            self._returns.record(server, cache_return)

    def exclude(self, is_excluded: Callable[[Member], bool]) -> Membership:
        """Report the caches that the predicate selects as draining from now on; return the event for that."""
        self._is_excluded = is_excluded
        return self._change_event(list(self.listed.values()))

    def _change_event(self, members: list[Member]) -> Membership:
        return Membership(MembershipKind.CHANGES, tuple(self._as_reported(member) for member in members))

    def _as_reported(self, member: Member) -> Member:
        """Return a cache as it is reported to the request engine.

        A cache may have been restarted during maintenance without the change log having reported it yet. So
        unless the change log has reported a start since the order, the cache counts as started when it was
        put back into service, in slow start.
        """
        cache_return = self._returns.get(member.server)
        if cache_return and member.started_at < cache_return.entered_at:
            member = replace(member, started_at=cache_return.exited_at)
        if member.state is not ServerState.SERVING:
            return member
        if self.is_out_of_service(member.server) or self._is_excluded(member):
            return replace(member, state=ServerState.DRAINING)
        return member
