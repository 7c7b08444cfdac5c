"""What operators' calls come to, and how this process stands to the others of its router.

Lists for the core, figures read from it, what the ledger tells carried out. Nothing in here waits.
"""

from __future__ import annotations

import logging
import time
from functools import partial

from brackenlane.core.claims import ClaimResult
from brackenlane.core.engine import RequestEngine
from brackenlane.core.metrics import Gauges, expose
from brackenlane.limits import Limits
from brackenlane.net.http_front import HttpFront
from brackenlane.ops.handover_log import HandoverLog, HandoverLogError
from brackenlane.ops.handover_records import Record, RecordType
from brackenlane.ops.handover_state import HandoverState, handover_state
from brackenlane.ops.maintenance import Maintenance, MaintenanceResult
from brackenlane.routing.events import Event, Membership
from brackenlane.routing.members import Member, Role

log = logging.getLogger(__name__)

ANSWERS = {
    MaintenanceResult.DONE: (200, "done"),
    MaintenanceResult.UNKNOWN: (404, "no such box"),
    MaintenanceResult.FULL: (507, "too many boxes are out"),
}
NOT_RECORDED = (507, "it can't be kept, so nothing is changed")


class AdminService:
    """Stands between the change log and the core, and answers the calls."""

    def __init__(
        self, core: RequestEngine, front: HttpFront, limits: Limits, ledger: HandoverLog | None = None
    ) -> None:
        """Without a ledger, what is ordered is known to this process alone."""
        self._core, self._front, self._limits, self._ledger = core, front, limits, ledger
        self._maintenance = Maintenance(limits.max_taken_out_servers)
        self._state = HandoverState.ALONE
        if ledger:
            self._maintenance.out.update(ledger.index.out)
            ledger.on_record = self._on_record
            core.membership.catch_up = ledger.look
            front.claim, front.release = partial(self._claim, ledger), partial(self._release, ledger)
            self._tend(ledger)

    # The change log, the calls

    def on_event(self, event: Event) -> None:
        """An event of the change log's, to the core; caches taken out by hand stay out."""
        self._core.post(self._maintenance.apply(event) if isinstance(event, Membership) else event)

    def order(self, server: str, out: bool) -> tuple[int, str]:
        """Take a cache out, or let it serve again, before this returns: status and line of the answer."""
        now = time.time()
        if self._ledger is None:
            return self._carry_out(server, out, now)
        known = server in self._maintenance.out
        if known is out or (not known and server not in self._maintenance.listed):
            return self._carry_out(server, out, now)  # nothing changes
        if out and len(self._maintenance.out) >= self._limits.max_taken_out_servers:
            return ANSWERS[MaintenanceResult.FULL]
        try:
            self._ledger.append(RecordType.ENTER if out else RecordType.EXIT, server, repr(now))
        except HandoverLogError as fault:
            log.error("an order can't be kept: %s", fault)
            return NOT_RECORDED
        return ANSWERS[MaintenanceResult.DONE]

    def _carry_out(self, server: str, out: bool, now: float) -> tuple[int, str]:
        call = self._maintenance.enter if out else self._maintenance.leave
        reply, event = call(server, now)
        self._notify(event)
        return ANSWERS[reply]

    def _notify(self, event: Membership | None) -> None:
        if event and event.members:
            # At once, for what is being written now; the core may be in the middle of a decision.
            self._core.membership.apply(event, time.time())
            self._core.post(event)

    def figures(self) -> bytes:
        """All figures as text."""
        listed, avoided = self._maintenance.listed, self._core.routers.ejected_servers()
        ejected = sum(name in avoided or name in self._maintenance.out for name in listed)
        return expose(self._front.counts, Gauges(self._front.active, len(listed), ejected))

    # The other processes of this router

    @property
    def beside(self) -> int:
        """Earlier processes of this router that live."""
        return len(self._ledger.others) if self._ledger else 0

    def serving(self) -> None:
        """This process serves clients from now on."""
        if self._ledger:
            try:
                self._ledger.append(RecordType.SERVES, self._ledger.me)
            except HandoverLogError as fault:
                log.error("others are not told that this process serves: %s", fault)

    def close(self) -> None:
        """This process ends: the others know it at once."""
        if self._ledger:
            self._core.membership.catch_up = lambda: None
            self._ledger.close()

    def _on_record(self, record: Record) -> None:
        match record.kind:
            case RecordType.ENTER | RecordType.EXIT:
                self._carry_out(record.fields[0], record.kind is RecordType.ENTER, record.at)
            case RecordType.BORN | RecordType.SERVES:
                self._restand()

    def _tend(self, ledger: HandoverLog) -> None:
        """Look after the ledger, and at who lives."""
        self._core.timers.at(time.time() + self._limits.handover_check_interval, self._tend, ledger)
        try:
            ledger.look()
            ledger.tend()
        except OSError as fault:
            log.error("the ledger can't be read: %s", fault.strerror)
        self._restand()

    def _restand(self) -> None:
        """Take the stand that follows from who else lives and serves."""
        assert self._ledger is not None
        was, book = self._state, self._ledger.index
        alive = set(self._ledger.others)
        for process in [p for p in book.serving if p not in alive and p != self._ledger.me]:
            book.forget(process)
        self._state = handover_state(self._ledger.me, book.serving, alive)
        if self._state is was:
            return
        log.info("this process is %s (it was %s)", self._state.value.name, was.value.name)
        behavior, now = self._state.value, time.time()
        self._front.set_share(behavior.share, behavior.is_handing_over)
        self._core.cached_responses.set_share(1.0 if behavior.cold else 0.0)
        if behavior.cold != was.value.cold:
            # What a cold cache bears is spent by the later process. Coming back to it, this one starts anew.
            self._core.routers.spend_slow_start_budgets(now)
            self._notify(self._maintenance.shade(partial(self._cold, now) if not behavior.cold else _none))

    def _cold(self, now: float, member: Member) -> bool:
        settings = self._core.settings
        rule = settings.parent_cold if member.role is Role.PARENT else settings.edge_cold
        started = member.started_at
        return member.role is not Role.ORIGIN and started > 0 and now - started < rule.ramp

    def _claim(self, ledger: HandoverLog, txn: str) -> ClaimResult:
        """Whether a submit may run here: the first to claim it in the ledger may."""
        try:
            ledger.append(RecordType.CLAIM, txn, ledger.me)
        except HandoverLogError as fault:
            log.error("a submit is refused, since it can't be claimed: %s", fault)
            return ClaimResult.UNKNOWN
        return ClaimResult.OURS if ledger.index.submits.get(txn) == ledger.me else ClaimResult.TAKEN

    def _release(self, ledger: HandoverLog, txn: str) -> None:
        """A submit provably never ran: its client may send it again."""
        try:
            ledger.append(RecordType.RELEASE, txn)
        except HandoverLogError as fault:
            log.warning("a submit stays claimed: %s", fault)


def _none(_: Member) -> bool:
    return False
