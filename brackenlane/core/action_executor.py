"""Executes the actions of a router: starts and cancels attempts, sets timers, rejects or fails requests."""

from __future__ import annotations

import logging
from collections.abc import Callable

from brackenlane.core.messages import AttemptEnded, Message, RouterTimerFired
from brackenlane.core.request_table import RequestTable
from brackenlane.core.requests import Answer, Attempt, AttemptReply, Disposition
from brackenlane.core.timers import Timers
from brackenlane.routing import Router
from brackenlane.routing.actions import Action, Cancel, Fail, Fetch, Reject, SetTimer
from brackenlane.routing.events import AttemptResult, TimerFired

log = logging.getLogger(__name__)

# Passes an attempt to the connection pool of its server. Returns whether the pool accepted it.
DispatchAttempt = Callable[[Attempt], bool]


class ActionExecutor:
    """Applies actions to the request table, the timers and the connection pools; it makes no decisions.

    Results of what it starts come back through `post`, as separate messages that are processed after the
    current decision.
    """

    def __init__(
        self,
        requests: RequestTable,
        timers: Timers,
        dispatch: DispatchAttempt,
        post: Callable[[Message], None],
    ) -> None:
        self._requests = requests
        self._timers = timers
        self._dispatch = dispatch
        self._post = post

    def execute(self, action: Action, now: float, router: Router, default_hold_off: float) -> None:
        """Execute one action of a router.

        default_hold_off: seconds after which a rejected client may retry if the action does not specify it.
        """
        match action:
            case Fetch():
                self._start_attempt(action, now)
            case Cancel():
                self._cancel(action)
            case SetTimer():
                self._set_timer(action, router)
            case Reject():
                self._reject(action, default_hold_off)
            case Fail():
                self._fail(action, now)

    def _set_timer(self, action: SetTimer, router: Router) -> None:
        """Set a timer of a router, which is cancelled when its request ends."""
        request = self._requests.find_open(action.request_id)
        if request is not None:
            message = RouterTimerFired(router, TimerFired(action.token))
            request.timers.append(self._timers.call_at(action.at, self._post, message))

    def _start_attempt(self, fetch: Fetch, now: float) -> None:
        request = self._requests.find_open(fetch.request_id)
        if request is None:
            log.warning("attempt for a finished request ignored: %s", fetch.request_id)
            return
        attempt = Attempt(request, len(request.attempts), fetch, now)
        would_run_twice = request.must_run_once and request.may_have_run
        request.attempts.append(attempt)
        if would_run_twice or not self._try_dispatch(attempt):
            self._post(AttemptEnded(attempt, AttemptReply(AttemptResult.NEVER_SENT)))

    def _try_dispatch(self, attempt: Attempt) -> bool:
        """Pass an attempt to the connection pool; return whether the pool will report its result."""
        try:
            return self._dispatch(attempt)
        except Exception:  # an error in one attempt must not stop the processing of other messages
            log.exception("dispatching an attempt of request %s failed", attempt.fetch.request_id)
            return attempt.written

    def _cancel(self, action: Cancel) -> None:
        # Bypasses the server's attempt queue, where the cancellation could wait behind other attempts.
        request = self._requests.find(action.request_id)
        if request is None or action.attempt >= len(request.attempts):
            return
        attempt = request.attempts[action.attempt]
        attempt.cancelled = True
        if attempt.stop:
            attempt.stop()

    def _reject(self, action: Reject, default_hold_off: float) -> None:
        request = self._requests.find_open(action.request_id)
        if request is None:
            return
        if request.must_run_once and request.may_have_run:
            # A rejected client retries, and the request could then run twice.
            answer = Answer(Disposition.FAILED)
        else:
            answer = Answer(Disposition.REJECTED, retry_after=action.retry_after or default_hold_off)
        self._requests.finish(action.request_id, answer)

    def _fail(self, action: Fail, now: float) -> None:
        request = self._requests.find_open(action.request_id)
        if request is None:
            return
        answer = Answer(Disposition.FAILED, deadline_exceeded=now >= request.deadline)
        self._requests.finish(action.request_id, answer)
