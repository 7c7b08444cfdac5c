"""The request engine: the actor that owns a process's routers, pending requests, timers and cached responses.

Messages arrive through one mailbox. Answers are delivered through the callback of each request, and attempts
are passed to the connection pools. The engine implements no wire protocol: it does not interpret the client's
id, entity tag or body of a request.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

import trio

from brackenlane.clock import steady_time
from brackenlane.core.action_executor import DispatchAttempt
from brackenlane.core.engine_config import EngineConfig
from brackenlane.core.mailbox import Mailbox
from brackenlane.core.membership_view import MembershipView
from brackenlane.core.message_processor import MessageProcessor, ResultObserver
from brackenlane.core.messages import AttemptEnded, Message
from brackenlane.core.requests import Answer, Attempt, AttemptReply, Disposition, PendingRequest
from brackenlane.core.timers import Timers
from brackenlane.routing.events import ClientDisconnected


class RequestEngine:
    """The interface through which fronts, connection pools and subsystems access this process's requests.

    Only `run` and `request` block. Every other method returns once its message is processed, or queued if
    another message is being processed.
    """

    def __init__(
        self,
        config: EngineConfig,
        dispatch: DispatchAttempt,
        clock: Callable[[], float] = steady_time,
        on_result: ResultObserver | None = None,
    ) -> None:
        self.settings = config.settings
        self._limits = config.limits
        self._clock = clock
        self.memory = config.memory
        self.membership = MembershipView(config.settings)
        self.timers = Timers(clock)
        self._processor = MessageProcessor(
            config, self.membership, self.timers, dispatch, self.post, on_result
        )
        self._mailbox = Mailbox(self._processor.receive)
        self.routers = self._processor.routers
        self.cached_responses = self._processor.cached_responses
        self._request_numbers = itertools.count()

    def new_request_id(self) -> str:
        """Return a request id that is unique in this process; it does not depend on the clients' ids."""
        return f"q{next(self._request_numbers)}"

    @property
    def open_request_count(self) -> int:
        """The number of requests without a final answer."""
        return self._processor.requests.open_count

    def reconfigure(self, config: EngineConfig) -> None:
        """Apply a new configuration to new requests; open requests finish under the one they started with."""
        self._processor.reconfigure(config, self._clock())
        self.settings = config.settings
        self._limits = config.limits

    def finish_all_requests(self) -> None:
        """Finish all open requests now: reject those that are safe to retry, and fail the others."""
        for request in self._processor.requests.open_requests():
            request_id = request.arrival.request_id
            if request.is_idempotent or not request.may_have_run:
                answer = Answer(Disposition.REJECTED, retry_after=self._limits.retry_after)
            else:
                answer = Answer(Disposition.FAILED)
            self._processor.requests.finish(request_id, answer)
            self.post(ClientDisconnected(request_id))

    def submit(self, request: PendingRequest) -> None:
        """Start a request. Its `on_answer` is called with the final answer, possibly before this returns."""
        self._mailbox.post(request)

    def withdraw(self, request: PendingRequest) -> None:
        """Cancel a request whose client has disconnected, including its attempts."""
        request.on_answer = None
        self.post(ClientDisconnected(request.arrival.request_id))

    async def request(self, request: PendingRequest) -> Answer:
        """Start a request and wait for its final answer; withdraw the request if this task is cancelled."""
        answered = trio.Event()
        request.on_answer = lambda _: answered.set()
        self.post(request)
        try:
            await answered.wait()
        finally:
            if request.answer is None:
                self.withdraw(request)
        assert request.answer is not None
        return request.answer

    def report(self, attempt: Attempt, reply: AttemptReply) -> None:
        """Report the result of an attempt."""
        self._mailbox.post(AttemptEnded(attempt, reply))

    def post(self, message: Message) -> None:
        """Process a message; if another one is being processed, queue it."""
        self._mailbox.post(message)

    async def run(self) -> None:
        """Run the timers until cancelled."""
        await self.timers.run()
