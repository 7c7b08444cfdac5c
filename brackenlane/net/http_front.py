"""HTTP/1.1 front: connects the listener, connection table, admission queue and request intake."""

from __future__ import annotations

import logging
import socket
import time
from collections.abc import Callable, Iterable

import trio

from brackenlane.admission.load_metrics import Reason
from brackenlane.clock import steady_time
from brackenlane.core.claims import ClaimResult, ClaimStore
from brackenlane.core.engine import RequestEngine
from brackenlane.core.metrics import RequestMetrics
from brackenlane.limits import Limits
from brackenlane.net.admission_queue import AdmissionQueue
from brackenlane.net.answer_encoder import AnswerEncoder
from brackenlane.net.connection_services import ConnectionServices
from brackenlane.net.connection_table import ConnectionTable
from brackenlane.net.front_context import FrontContext
from brackenlane.net.listener import Listener
from brackenlane.net.poller import Poller
from brackenlane.net.request_intake import RequestIntake

log = logging.getLogger(__name__)


class HttpFront:
    """Serves all client connections of one router process over HTTP/1.1."""

    def __init__(
        self,
        core: RequestEngine,
        limits: Limits,
        poller: Poller,
        claims: ClaimStore | None = None,
        nursery: trio.Nursery | None = None,
        metrics: RequestMetrics | None = None,
    ) -> None:
        """Create the components; if claims are given, they need a nursery to run in."""
        self._core = core
        self.poller = poller
        self.metrics = metrics or RequestMetrics(c.name for c in core.settings.classes)
        self._context = FrontContext(limits, poller, self.metrics, memory=core.memory)
        self.figures = self._context.figures
        encoder = AnswerEncoder(core, self._context)
        self.table = ConnectionTable(self._context)
        self.queue = AdmissionQueue(core, self._context, encoder)
        self.intake = RequestIntake(core, self._context, encoder, claims, nursery)
        services = ConnectionServices(self._context, self.table, self.queue, self.intake)
        self.listener = Listener(self._context, core.timers, self.table, services)
        poller.round_callbacks.append(self.queue.serve_queued)
        self._schedule_check(steady_time())

    @property
    def limits(self) -> Limits:
        """The limits in force."""
        return self._context.limits

    @property
    def active(self) -> int:
        """Number of accepted requests that are not finished."""
        return self.table.active

    @property
    def memory_rejection_count(self) -> int:
        """Number of requests rejected because memory was short, up to the last complete period."""
        return self._context.figures.shed[Reason.MEMORY]

    @property
    def submit_record_rejection_count(self) -> int:
        """Number of writes rejected because the record of their ids was full."""
        return self.intake.writes.rejection_count

    @property
    def is_serving(self) -> bool:
        """Whether clients are accepted and can be served."""
        return (
            self.listener.is_open
            and self._core.membership.has_cache_list
            and not self._context.drain.is_closing
        )

    @property
    def is_ready(self) -> Callable[[], bool]:
        """Additional condition of the health check, which also requires a cache list."""
        return self.intake.is_ready

    @is_ready.setter
    def is_ready(self, is_ready: Callable[[], bool]) -> None:
        self.intake.is_ready = is_ready

    @property
    def claim(self) -> Callable[[str], ClaimResult]:
        """Claims the id of a write, so that no other process of this router runs that write."""
        return self.intake.writes.claim

    @claim.setter
    def claim(self, claim: Callable[[str], ClaimResult]) -> None:
        self.intake.writes.claim = claim

    @property
    def release(self) -> Callable[[str], None]:
        """Releases the claim on the id of a write that never ran."""
        return self.intake.writes.release

    @release.setter
    def release(self, release: Callable[[str], None]) -> None:
        self.intake.writes.release = release

    def open(self, listeners: Iterable[socket.socket]) -> None:
        """Start accepting clients."""
        self.listener.open(listeners)

    def reconfigure(self, limits: Limits) -> None:
        """Apply new limits and the core's new settings; queued requests stay queued."""
        self._context.limits = limits
        self.intake.reconfigure()
        self.queue.reconfigure()
        self.table.reconfigure()

    def set_share(self, share: float, is_handing_over: bool) -> None:
        """Use this share of the connection limit.

        is_handing_over: close connections after an answer, so that clients reconnect to a successor process.
        """
        self._context.drain.is_handing_over = is_handing_over
        self.table.set_share(share)

    # Graceful shutdown, in the order of its steps

    def stop_accepting(self) -> bool:
        """Stop accepting clients; accepted ones are still served. Return False to be called again later."""
        return self.listener.stop_accepting()

    def start_draining(self) -> None:
        """Close idle connections now and all others after their current answer."""
        self._context.drain.is_closing = True
        self.table.close_idle_connections()

    def reject_open_requests(self) -> None:
        """Reject all queued requests and those in flight, and from now on every new one."""
        self.listener.close()
        self._context.drain.is_finished = True
        self._core.finish_all_requests()
        self.queue.reject_all(steady_time())
        self.intake.reject_all()

    async def wait_until_closed(self) -> None:
        """Wait until no connection is open, and no claim of a rejected write is left in the shared store."""
        await self.table.wait_until_closed()
        await self.intake.wait_until_released()

    # Periodic check of deadlines

    def _schedule_check(self, now: float) -> None:
        due = now + self.limits.client_check_interval
        self._core.timers.call_at(due, self._check_deadlines, due)

    def _check_deadlines(self, due: float) -> None:
        """Close the connections whose deadlines have passed, and log overload."""
        now = steady_time()
        self._schedule_check(now)
        snapshot = self.figures.tick(now, max(0.0, now - due), time.process_time())
        if snapshot and snapshot.is_shedding:
            log.warning("short of CPU: %s", snapshot.summary())
        self.table.expire_overdue(now)
        self._core.memory.retry_relief()
