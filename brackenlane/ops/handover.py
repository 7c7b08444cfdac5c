"""Handover (hot restart) between the processes of one router, which listen at the same address.

The actor applies the records that the other processes append to the handover log, determines the handover
state from which processes are alive, and applies the behavior of that state. Nothing in here blocks.
"""

from __future__ import annotations

import logging

from brackenlane.clock import steady_time
from brackenlane.core.engine import RequestEngine
from brackenlane.limits import Limits
from brackenlane.net.http_front import HttpFront
from brackenlane.ops.handover_log import HandoverLog, HandoverLogError
from brackenlane.ops.handover_records import (
    HandoverRecord,
    MaintenanceEntered,
    MaintenanceExited,
    ProcessServing,
    ProcessStarted,
)
from brackenlane.ops.handover_state import HandoverState, handover_state
from brackenlane.ops.maintenance import MaintenanceAction
from brackenlane.ops.maintenance_orders import MaintenanceOrders
from brackenlane.ops.submit_claims import SubmitClaims
from brackenlane.routing.members import Member, Role

log = logging.getLogger(__name__)


class Handover:
    """Owns the handover state of this process."""

    def __init__(
        self,
        engine: RequestEngine,
        front: HttpFront,
        limits: Limits,
        handover_log: HandoverLog,
        orders: MaintenanceOrders,
    ) -> None:
        """Start to follow the log, and make the engine and the front consult it before they send requests."""
        self._engine = engine
        self._front = front
        self._check_interval = limits.handover_check_interval
        self._handover_log = handover_log
        self._orders = orders
        self._state = HandoverState.ALONE
        self.read_failures = 0
        handover_log.on_record = self._on_record
        engine.membership.apply_pending_updates = self._catch_up
        claims = SubmitClaims(handover_log)
        front.claim = claims.claim
        front.release = claims.release
        self._check_periodically()

    @property
    def older_process_count(self) -> int:
        """Number of other running processes of this router; when this one starts, all of them are older."""
        return len(self._handover_log.other_processes())

    def announce_serving(self) -> None:
        """Record that this process serves clients from now on."""
        try:
            self._handover_log.append(ProcessServing(self._handover_log.process_id))
        except HandoverLogError as error:
            log.error("the other processes do not learn that this one serves: %s", error)

    def close(self) -> None:
        """Close the log, as this process terminates; the other processes detect that immediately."""
        self._engine.membership.apply_pending_updates = lambda: None
        self._handover_log.close()

    def _on_record(self, record: HandoverRecord) -> None:
        match record:
            case MaintenanceEntered(server, at):
                self._orders.apply_accepted(MaintenanceAction.ENTER, server, at)
            case MaintenanceExited(server, at):
                self._orders.apply_accepted(MaintenanceAction.EXIT, server, at)
            case ProcessStarted() | ProcessServing():
                self._update_state()

    def _catch_up(self) -> None:
        """Apply the records of the other processes; if the log cannot be read, requests continue.

        This is called before each write to a cache, so an OSError must not be taken for one of that cache's
        socket.
        """
        try:
            self._handover_log.read_new_records()
        except OSError as error:
            self.read_failures += 1
            log.error("the handover log cannot be read: %s", error.strerror)

    def _check_periodically(self) -> None:
        """Read the log, compact it if it has grown, and check which processes are alive."""
        self._engine.timers.call_at(steady_time() + self._check_interval, self._check_periodically)
        self._catch_up()
        self._handover_log.compact()
        self._update_state()

    def _update_state(self) -> None:
        """Determine the state from the running processes, and apply its behavior if it has changed."""
        own_id = self._handover_log.process_id
        index = self._handover_log.index
        alive = set(self._handover_log.other_processes())
        for process_id in list(index.is_serving):
            if process_id != own_id and process_id not in alive:
                index.remove_process(process_id)
        old_state = self._state
        self._state = handover_state(own_id, index.is_serving, alive)
        if self._state is old_state:
            return
        log.info("this process is %s (it was %s)", self._state.value.label, old_state.value.label)
        behavior = self._state.value
        self._front.set_share(behavior.client_share, behavior.is_handing_over)
        self._engine.cached_responses.set_share(1.0 if behavior.uses_cold_caches else 0.0)
        if behavior.uses_cold_caches != old_state.value.uses_cold_caches:
            self._switch_cold_caches(behavior.uses_cold_caches)

    def _switch_cold_caches(self, uses_cold_caches: bool) -> None:
        """Start or stop sending requests to cold caches, with their slow-start budgets counted as spent.

        The later process spends these budgets while this one sends no requests to cold caches.
        """
        now = steady_time()
        self._engine.routers.spend_slow_start_budgets(now)
        if uses_cold_caches:
            self._orders.exclude(lambda _: False)
        else:
            self._orders.exclude(lambda member: self._is_cold(member, now))

    def _is_cold(self, member: Member, now: float) -> bool:
        """Whether a cache is in slow start at a Unix time."""
        if member.role is Role.ORIGIN or member.started_at <= 0:
            return False
        settings = self._engine.settings
        slow_start = settings.parent_slow_start if member.role is Role.PARENT else settings.edge_slow_start
        return now - member.started_at < slow_start.ramp
