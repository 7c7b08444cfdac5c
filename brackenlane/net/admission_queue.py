"""Admission queue of an HTTP front: serves queued requests, sheds load and caches encoded rejections.

`brackenlane.admission.controller` decides the order and what is shed; this module carries that out.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from brackenlane.admission import controller
from brackenlane.admission.load_metrics import Reason
from brackenlane.clock import steady_time
from brackenlane.core.engine import RequestEngine
from brackenlane.net.answer_encoder import AnswerEncoder
from brackenlane.net.client_connection import ClientConnection
from brackenlane.net.front_context import FrontContext
from brackenlane.net.http_codec import encode_answer
from brackenlane.net.request_codec import HEALTH_QUEUE_CLASS, TARGET, EncodedResponse, queue_class

log = logging.getLogger(__name__)

HOLD_OFF_STEP = 0.05  # seconds to which hold-off times are rounded up, so that encoded rejections are reused


class AdmissionQueue:
    """Queue of requests waiting to be served, with at most one request per connection."""

    def __init__(self, core: RequestEngine, context: FrontContext, encoder: AnswerEncoder) -> None:
        self._core = core
        self._context = context
        self._encoder = encoder
        self.admission: controller.AdmissionQueue[ClientConnection] = controller.AdmissionQueue(
            core.settings.classes
        )
        self._rejections: dict[int, bytes] = {}  # encoded rejections, by hold-off time in steps
        self.rejection = self.prepare_rejection(steady_time())  # encoded rejection that is currently sent

    def reconfigure(self) -> None:
        """Apply the core's new settings; queued requests keep their order of arrival."""
        self._rejections = {}
        earlier = self.admission
        self.admission = controller.AdmissionQueue(self._core.settings.classes)
        while taken := earlier.take(steady_time()):
            connection, since = taken
            connection.requeue(since)

    def enqueue(self, connection: ClientConnection, class_name: str, is_retry: bool, since: float) -> None:
        """Add the request of a connection; since: Unix time from which it has waited."""
        self.admission.add(connection, class_name, is_retry, since)

    def remove(self, connection: ClientConnection, class_name: str, is_retry: bool) -> None:
        """Remove the request of a connection that is being closed."""
        self.admission.remove(connection, class_name, is_retry)

    def rejection_reason(self, target: str, is_retry: bool) -> Reason | None:
        """Return why this request must be rejected at once; None if it may be queued.

        A request that the response cache can serve is queued in any case, and so is a health check.
        """
        class_name = queue_class(target)
        reason = None
        if class_name != HEALTH_QUEUE_CLASS and self._context.memory.must_reject():
            reason = Reason.MEMORY
        elif not self.admission.has_capacity_for(class_name, is_retry):
            reason = Reason.QUEUED
        return None if reason is None or self.has_cached_response(target) else reason

    def has_cached_response(self, target: str) -> bool:
        """Return whether the response cache can serve this target; that is cheap and so never rejected."""
        found = TARGET.fullmatch(target) if self._core.cached_responses.is_enabled else None
        return found is not None and self._core.cached_responses.holds(found[1], f"{found[2]}/{found[3]}")

    def serve_queued(self) -> bool:
        """Reject requests that waited too long, then serve for a bounded time; return whether any remain."""
        if not self.admission.size:
            return False
        now = steady_time()
        overdue = self.admission.shed(now)
        self.rejection = self.prepare_rejection(now)
        for connection in overdue:
            self._call_guarded(connection, connection.reject, now)
        limits = self._context.limits
        end = now + limits.admission_time_slice
        count = 0
        # On a CPU core shared with other processes the time slice may pass without this process running, so
        # a minimum number of requests is served in any case.
        while (now < end or count < limits.min_requests_per_slice) and (taken := self.admission.take(now)):
            connection, since = taken
            count += 1
            self._call_guarded(connection, connection.serve, since)
            self._context.figures.count_taken(now - since)
            now = steady_time()
        return self.admission.size > 0

    def reject_all(self, now: float) -> None:
        """Reject every queued request."""
        while taken := self.admission.take(now):
            connection, _ = taken
            self._call_guarded(connection, connection.reject, now)

    def retry_after(self, now: float) -> float:
        """Return the seconds after which a client that is rejected now may retry."""
        return max(HOLD_OFF_STEP, min(self.admission.retry_after(now), self._context.limits.max_client_wait))

    def encode_rejection(self, retry_after: float = 0.0) -> EncodedResponse:
        """Encode a rejection; retry_after: seconds until the client may retry, 0 for `Limits.retry_after`."""
        return self._encoder.encode_rejection(retry_after)

    def prepare_rejection(self, now: float) -> bytes:
        """Return a complete rejection as bytes, encoded once for each hold-off time."""
        steps = math.ceil(self.retry_after(now) / HOLD_OFF_STEP)
        if steps not in self._rejections:
            status, headers, body = self.encode_rejection(steps * HOLD_OFF_STEP)
            self._rejections[steps] = encode_answer(status, headers, body, False) + body
        return self._rejections[steps]

    @staticmethod
    def _call_guarded(connection: ClientConnection, call: Callable[[float], None], at: float) -> None:
        try:
            call(at)
        except Exception:  # a failure for one client must not affect the others
            log.exception("unexpected error while handling a client's request")
            connection.close()
