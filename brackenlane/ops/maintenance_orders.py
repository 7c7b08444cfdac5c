"""Carries out maintenance orders, and passes events of the change log on to the request engine."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from brackenlane.clock import steady_time
from brackenlane.core.engine import RequestEngine
from brackenlane.core.metrics import Gauges, RequestMetrics, expose
from brackenlane.ops.handover_log import HandoverLog, HandoverLogError
from brackenlane.ops.handover_records import MaintenanceEntered, MaintenanceExited
from brackenlane.ops.maintenance import Maintenance, MaintenanceAction, MaintenanceResult
from brackenlane.routing.events import Event, Membership
from brackenlane.routing.members import Member

log = logging.getLogger(__name__)


class MaintenanceOrders:
    """Owns which caches operators took out of service, and notifies the request engine of changes.

    With a handover log, each order is appended to the log and carried out when its record is read back;
    without one, orders apply to this process only.
    """

    def __init__(
        self, engine: RequestEngine, max_out_of_service: int, handover_log: HandoverLog | None
    ) -> None:
        self._engine = engine
        self._handover_log = handover_log
        self._maintenance = Maintenance(max_out_of_service)
        if handover_log:
            index = handover_log.index
            self._maintenance.restore(index.out_of_service, index.returns)

    def on_event(self, event: Event) -> None:
        """Pass an event of the change log to the request engine, with caches in maintenance as draining."""
        if isinstance(event, Membership):
            event = self._maintenance.apply(event)
        self._engine.post(event)

    def order(self, action: MaintenanceAction, server: str) -> MaintenanceResult:
        """Carry out an operator's order; it is in force when this returns."""
        now = steady_time()
        if self._handover_log is None:
            change = self._maintenance.carry_out(action, server, now)
            self._notify(change.event)
            return change.result
        try:
            # The order may refer to one that another process has just accepted.
            self._handover_log.read_new_records()
            result = self._maintenance.check(action, server)
            if result is not None:
                return result
            self._handover_log.append(_make_record(action, server, now))
        except (HandoverLogError, OSError) as error:
            log.error("maintenance order for %s cannot be stored: %s", server, error)
            return MaintenanceResult.NOT_RECORDED
        return MaintenanceResult.DONE

    def apply_accepted(self, action: MaintenanceAction, server: str, at: float) -> None:
        """Apply an order that this or another process of the router accepted at a Unix time."""
        self._notify(self._maintenance.apply_accepted(action, server, at))

    def exclude(self, is_excluded: Callable[[Member], bool]) -> None:
        """Report the caches that the predicate selects as draining from now on."""
        self._notify(self._maintenance.exclude(is_excluded))

    def _notify(self, event: Membership | None) -> None:
        if event and event.members:
            # Applied immediately for attempts that are about to be written, and also posted, since the engine
            # may be in the middle of a decision.
            self._engine.membership.apply(event, steady_time())
            self._engine.post(event)

    def metrics(
        self,
        counts: RequestMetrics,
        active: int,
        faults: Mapping[str, int],
        levels: Mapping[str, int] | None = None,
    ) -> bytes:
        """Return all metrics in the text format.

        active: requests in flight; faults: counters by name; levels: further current values by name.
        """
        listed = self._maintenance.listed
        ejected_servers = self._engine.routers.ejected_servers()
        ejected = sum(
            server in ejected_servers or self._maintenance.is_out_of_service(server) for server in listed
        )
        return expose(counts, Gauges(active, len(listed), ejected), faults, levels)


def _make_record(action: MaintenanceAction, server: str, at: float) -> MaintenanceEntered | MaintenanceExited:
    if action is MaintenanceAction.ENTER:
        return MaintenanceEntered(server, at)
    return MaintenanceExited(server, at)
