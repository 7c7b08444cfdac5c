"""Processes the engine's messages: passes each to a router as an event and executes the router's actions."""

from __future__ import annotations

import logging
from collections.abc import Callable

from brackenlane.core.action_executor import ActionExecutor, DispatchAttempt
from brackenlane.core.cached_responses import CachedResponses
from brackenlane.core.engine_config import EngineConfig
from brackenlane.core.membership_view import MembershipView
from brackenlane.core.messages import AttemptEnded, Message, RouterTimerFired
from brackenlane.core.outcomes import OutcomeTranslator
from brackenlane.core.request_table import RequestTable
from brackenlane.core.requests import Answer, Attempt, AttemptReply, Disposition, PendingRequest
from brackenlane.core.response_cache import CacheEntry
from brackenlane.core.router_set import RouterSet
from brackenlane.core.timers import Timers
from brackenlane.routing import Router
from brackenlane.routing.events import (
    AttemptResult,
    ClientDisconnected,
    Event,
    Membership,
    MembershipKind,
    Purged,
)

log = logging.getLogger(__name__)

ResultObserver = Callable[[str, AttemptResult], None]  # called with the server and the result of each attempt


class MessageProcessor:
    """Connects the request table, the routers, the response cache and the action executor.

    `receive` is not reentrant: the effects of a message are posted as later messages.
    """

    def __init__(
        self,
        config: EngineConfig,
        membership: MembershipView,
        timers: Timers,
        dispatch: DispatchAttempt,
        post: Callable[[Message], None],
        on_result: ResultObserver | None,
    ) -> None:
        self._membership = membership
        self._clock = timers.clock
        self._post = post
        self._on_result = on_result
        self.routers = RouterSet(config.create_router())
        self.requests = RequestTable(timers, self.routers.remove_idle, config.memory)
        self.cached_responses = CachedResponses(config.response_cache, config.memory)
        self._executor = ActionExecutor(self.requests, timers, dispatch, post)
        self._apply(config)

    def reconfigure(self, config: EngineConfig, now: float) -> None:
        """Apply a new configuration to new requests; the new router starts without learned state.

        An invalid configuration raises an exception before anything is changed.
        """
        router = config.create_router()
        members = tuple(self._membership.members.values())
        router.handle(Membership(MembershipKind.REMEMBERED, members), now)
        for purge in self._membership.purge_events(now):
            router.handle(purge, now)
        self.routers.replace(router)
        self._membership.reconfigure(config.settings)
        self.cached_responses.replace(config.response_cache)
        self._apply(config)

    def _apply(self, config: EngineConfig) -> None:
        """Store the parts of a configuration that are needed for each message."""
        self._limits = config.limits
        self._classes = {cls.name: cls for cls in config.settings.classes}
        self._translator = OutcomeTranslator(
            config.limits.clock_tolerance, config.transfer_rate, config.settings.pace_kb_per_s
        )

    def receive(self, message: Message) -> None:
        """Process one message."""
        now = self._clock()
        match message:
            case AttemptEnded():
                self._end_attempt(message.attempt, message.reply, now)
            case RouterTimerFired():
                self._decide(message.event, now, message.router)
            case PendingRequest():
                self._start(message, now)
            case ClientDisconnected():
                self._disconnect(message, now)
            case _:
                self._inform_routers(message, now)

    def _start(self, request: PendingRequest, now: float) -> None:
        """Answer a request from the response cache, or pass it to the current router."""
        if answer := self.cached_responses.find_answer(request, now):
            request.finish(answer)
            return
        request.cls = request.cls or self._classes.get(request.arrival.cls)
        request.router = self.routers.current
        # Ensures that the request is answered even if the router never finishes it.
        expires_at = request.deadline + self._limits.decision_grace
        self.requests.add(request, expires_at, self._expire)
        self._decide(request.arrival, now, request.router)

    def _expire(self, request_id: str) -> None:
        """Fail a request for which the router has made no final decision by its deadline."""
        if self.requests.find_open(request_id) is None:
            return
        log.warning("request %s failed: no decision by its deadline", request_id)
        self.requests.finish(request_id, Answer(Disposition.FAILED, deadline_exceeded=True))
        self._post(ClientDisconnected(request_id))

    def _disconnect(self, event: ClientDisconnected, now: float) -> None:
        """Finish an open request without an answer."""
        request = self.requests.find_open(event.request_id)
        if request is None:
            return
        self.requests.finish(event.request_id, None)
        self._decide(event, now, request.router)

    def _inform_routers(self, event: Event, now: float) -> None:
        """Apply an event about the caches to the membership view, the response cache and all routers."""
        if isinstance(event, (Membership, Purged)):
            self._membership.apply(event, now)
        if isinstance(event, Purged):
            self.cached_responses.purge(event, now)
        for router in self.routers:
            self._decide(event, now, router)

    def _end_attempt(self, attempt: Attempt, reply: AttemptReply, now: float) -> None:
        """Record the reply to an attempt, answer the request if it succeeded, and inform the router."""
        request = attempt.request
        request_id = attempt.fetch.request_id
        attempt.reply = reply
        attempt.stop = None
        if self._on_result:
            self._on_result(attempt.fetch.server, reply.result)
        if reply.result is AttemptResult.OK:
            self._store_response(request, reply, now)
            self._serve(attempt, reply)
        self._decide(self._translator.outcome(attempt, reply), now, request.router)
        self.requests.remove_if_done(request_id)

    def _store_response(self, request: PendingRequest, reply: AttemptReply, now: float) -> None:
        """Store a response that carries its time of issue, unless a purge covers it."""
        if not self.cached_responses.is_enabled or not reply.issued or reply.unchanged:
            return
        earliest_issue = reply.issued - self._limits.clock_tolerance
        if not self._membership.is_purged(request.arrival, earliest_issue):
            self.cached_responses.store(CacheEntry(request.arrival, reply.body, reply.tag, reply.issued, now))

    def _serve(self, attempt: Attempt, reply: AttemptReply) -> None:
        """Finish the request of an attempt with its reply, unless the request is already finished."""
        disposition = Disposition.UNCHANGED if reply.unchanged else Disposition.SERVED
        answer = Answer(disposition, reply.body, reply.tag, server=attempt.fetch.server)
        self.requests.finish(attempt.fetch.request_id, answer)

    def _decide(self, event: Event, now: float, router: Router | None) -> None:
        """Pass an event to a router and execute the actions that it returns."""
        assert router is not None  # set by `_start` before any other code can access the request
        try:
            actions = router.handle(event, now)
        except Exception:  # an error in one decision must not affect other requests
            log.exception("router failed on %r", event)
            self.requests.finish(getattr(event, "request_id", ""), Answer(Disposition.FAILED))
            return
        for action in actions:
            self._executor.execute(action, now, router, self._limits.retry_after)
