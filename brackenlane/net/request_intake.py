"""Request intake: decodes requests, checks deadlines, claims writes, submits to the core, and answers."""

from __future__ import annotations

import functools
import logging
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

import trio

from brackenlane.admission.load_metrics import Reason
from brackenlane.clock import steady_time
from brackenlane.core.claims import ClaimResult, ClaimStore
from brackenlane.core.engine import RequestEngine
from brackenlane.core.requests import Answer, Disposition, PendingRequest
from brackenlane.core.service_tasks import run_isolated
from brackenlane.net.answer_encoder import AnswerEncoder
from brackenlane.net.client_connection import ClientConnection
from brackenlane.net.front_context import FrontContext
from brackenlane.net.http_codec import BadRequestError, ParsedRequest
from brackenlane.net.request_codec import HEALTH_TARGET, EncodedResponse, read_request
from brackenlane.net.write_record import WriteRecord

log = logging.getLogger(__name__)

TIME_LEFT_TOLERANCE = 0.001  # seconds in the queue up to which a request's time left is not reduced
HEALTHY_RESPONSE = EncodedResponse(HTTPStatus.OK.value, {}, b"healthy\n")
NOT_READY_RESPONSE = EncodedResponse(
    HTTPStatus.SERVICE_UNAVAILABLE.value, {"Retry-After": "1"}, b"not ready\n"
)
DUPLICATE_RESPONSE = EncodedResponse(HTTPStatus.CONFLICT.value, {}, b"this submit has been taken before\n")


class RequestIntake:
    """Passes the requests of all connections to the core and the core's answers back to the connections."""

    def __init__(
        self,
        core: RequestEngine,
        context: FrontContext,
        encoder: AnswerEncoder,
        claims: ClaimStore | None,
        nursery: trio.Nursery | None,
    ) -> None:
        self._core = core
        self._context = context
        self._encoder = encoder
        self._claims = claims
        self._nursery = nursery
        self._unreleased_count = 0  # claims of rejected writes that the shared store still holds
        self._all_released = trio.Event()
        self._classes = {c.name: c for c in core.settings.classes}
        # Clients of the requests in flight, by wire id.
        self._clients_by_request: dict[str, ClientConnection] = {}
        self.writes = WriteRecord(context)
        # Additional condition of the health check, which also requires a cache list.
        self.is_ready: Callable[[], bool] = lambda: True

    def reconfigure(self) -> None:
        """Use the core's new classes for requests from now on."""
        self._classes = {c.name: c for c in self._core.settings.classes}
        self._context.metrics.reconfigure(self._classes)

    def accept(self, client: ClientConnection, parsed: ParsedRequest, since: float) -> None:
        """Accept one request; the client is answered later or before this returns.

        since: Unix time at which the request arrived.
        Raises BadRequestError for a request that cannot be served.
        """
        if parsed.target == HEALTH_TARGET:
            self._answer_health_check(client, parsed)
            return
        if self._context.drain.is_finished:
            client.answer(self._encoder.encode_rejection())
            return
        request = read_request(
            parsed, self._classes, self._context.limits, self._core.new_request_id(), since
        )
        time_left = request.deadline - steady_time()
        if time_left <= 0:
            self._context.figures.count_rejected(Reason.LATE)
            client.answer(self._encoder.encode_rejection())
            return
        if time_left < request.arrival.time_left - TIME_LEFT_TOLERANCE:
            request.arrival = replace(request.arrival, time_left=time_left)  # without the time in the queue
        claim = self._claim_in_router(request)
        if claim is ClaimResult.UNKNOWN:
            client.answer(self._encoder.encode_rejection())
            return
        if claim is ClaimResult.TAKEN:
            raise BadRequestError(HTTPStatus.CONFLICT, "this X-Txn has been taken already")
        self._start(client, request)

    def withdraw(self, request: PendingRequest) -> None:
        """Withdraw the request of a client that has disconnected."""
        self._finish(request, is_rejected=False)
        self._core.withdraw(request)

    def reject_all(self) -> None:
        """Reject the requests that still wait for their claims and were not submitted to the core."""
        for client in list(self._clients_by_request.values()):
            if client.request:
                self._reject(client, client.request)

    def _answer_health_check(self, client: ClientConnection, parsed: ParsedRequest) -> None:
        if parsed.method != "GET":
            raise BadRequestError(HTTPStatus.METHOD_NOT_ALLOWED, "health takes GET", {"Allow": "GET"})
        is_ready = (
            self._core.membership.has_cache_list and not self._context.drain.is_closing and self.is_ready()
        )
        client.answer(HEALTHY_RESPONSE if is_ready else NOT_READY_RESPONSE)

    def _claim_in_router(self, request: PendingRequest) -> ClaimResult:
        """Check a request for duplicates in this process, and claim a write among the router's processes."""
        if request.client_request_id in self._clients_by_request or request.client_request_id in self.writes:
            return ClaimResult.TAKEN
        if not request.must_run_once:
            return ClaimResult.OURS
        if not self.writes.can_take(steady_time()):
            return ClaimResult.UNKNOWN
        return self.writes.claim(request.client_request_id)

    def _start(self, client: ClientConnection, request: PendingRequest) -> None:
        self._clients_by_request[request.client_request_id] = client
        client.request = request
        request.is_client_connected = client.is_client_connected
        request.on_answer = functools.partial(self._answer, client, request)
        if self._claims and self._nursery and request.must_run_once:
            self._nursery.start_soon(
                run_isolated, "submit", self._claim_and_submit, client, request, self._claims
            )
        else:
            self._core.submit(request)

    async def _claim_and_submit(
        self, client: ClientConnection, request: PendingRequest, claims: ClaimStore
    ) -> None:
        """Submit a write that other routers may also receive, after claiming it in the shared store."""
        claim = await self._claim(request.client_request_id, claims)
        if client.request is not request:
            return  # the client has disconnected; its claim is kept as if the write had run, which is safe
        time_left = request.deadline - steady_time()
        if claim is ClaimResult.TAKEN:
            self._finish(request, is_rejected=False)
            client.request = None
            client.answer(DUPLICATE_RESPONSE)
            return
        if claim is ClaimResult.UNKNOWN or time_left <= 0:
            self._reject(client, request)
            return
        request.arrival = replace(request.arrival, time_left=time_left)
        request.on_answer = functools.partial(self._answer_claimed, client, request, claims)
        self._core.submit(request)

    @staticmethod
    async def _claim(request_id: str, claims: ClaimStore) -> ClaimResult:
        """Claim a write in the shared store; an unexpected error counts as an unknown result."""
        try:
            return await claims.claim(request_id)
        except Exception:  # the client needs an answer, and the program goes on
            log.exception("claim of submit %s failed, it is rejected", request_id)
            return ClaimResult.UNKNOWN

    def _answer_claimed(
        self, client: ClientConnection, request: PendingRequest, claims: ClaimStore, answer: Answer
    ) -> None:
        if answer.disposition is Disposition.REJECTED and self._nursery:
            self._unreleased_count += 1
            self._nursery.start_soon(
                run_isolated, "release", self._release, claims, request.client_request_id
            )
        self._answer(client, request, answer)

    async def _release(self, claims: ClaimStore, request_id: str) -> None:
        try:
            await claims.release(request_id)
        finally:
            self._unreleased_count -= 1
            if not self._unreleased_count:
                self._all_released.set()

    async def wait_until_released(self) -> None:
        """Wait until the claims of all rejected writes are released, so that clients may repeat them."""
        while self._unreleased_count:
            self._all_released = trio.Event()
            await self._all_released.wait()

    def _reject(self, client: ClientConnection, request: PendingRequest) -> None:
        retry_after = self._context.limits.retry_after
        self._answer(client, request, Answer(Disposition.REJECTED, retry_after=retry_after))

    def _answer(self, client: ClientConnection, request: PendingRequest, answer: Answer) -> None:
        self._finish(request, answer.disposition is Disposition.REJECTED)
        client.request = None
        try:
            client.answer(self._encoder.encode_answer(answer))
        except Exception:  # a client must not wait for an answer that cannot be encoded
            log.exception("cannot send an answer, closing the client's connection")
            client.close()

    def _finish(self, request: PendingRequest, is_rejected: bool) -> None:
        self._clients_by_request.pop(request.client_request_id, None)
        self.writes.finish(request, is_rejected)
