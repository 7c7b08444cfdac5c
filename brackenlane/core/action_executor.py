"""The executor of a router's actions: attempts, cancellations, timers and final answers without a body."""

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

# Passes an attempt to the connections of its server; false if it was not accepted.
PlaceAttempt = Callable[[Attempt], bool]


class ActionExecutor:
    """Performs actions on the request table, the timers and the connection pools; it decides nothing.

    What it starts reports back by `post`, as a message of its own after the decision in progress.
    """

    def __init__(
        self, requests: RequestTable, timers: Timers, place: PlaceAttempt, post: Callable[[Message], None]
    ) -> None:
        self._requests = requests
        self._timers = timers
        self._place = place
        self._post = post

    def execute(self, action: Action, now: float, router: Router, default_hold_off: float) -> None:
        """Perform one action of a router.

        default_hold_off: seconds after which a rejected client may retry, where the action names no time.
        """
        match action:
            case Fetch():
                self._start_attempt(action, now)
            case Cancel():
                self._cancel(action)
            case SetTimer():
                message = RouterTimerFired(router, TimerFired(action.token))
                self._timers.at(action.at, self._post, message)
            case Reject():
                self._reject(action, default_hold_off)
            case Fail():
                self._fail(action, now)

    def _start_attempt(self, fetch: Fetch, now: float) -> None:
        request = self._requests.find_open(fetch.request_id)
        if request is None:
            log.warning("attempt for a finished request ignored: %s", fetch.request_id)
            return
        attempt = Attempt(request, len(request.attempts), fetch, now)
        would_run_twice = request.must_run_once and request.may_have_run
        request.attempts.append(attempt)
        if would_run_twice or not self._is_placed(attempt):
            self._post(AttemptEnded(attempt, AttemptReply(AttemptResult.NEVER_SENT)))

    def _is_placed(self, attempt: Attempt) -> bool:
        """Pass an attempt to its server's connections; whether they will report its end."""
        try:
            return self._place(attempt)
        except Exception:  # a fault of one attempt must not stop the processing of other messages
            log.exception("attempt for request %s not placed", attempt.fetch.request_id)
            return attempt.written

    def _cancel(self, action: Cancel) -> None:
        # Directly, not by the server's queue of attempts, where it could wait behind others.
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
            # A rejection invites a retry, which could run it twice.
            answer = Answer(Disposition.FAILED)
        else:
            answer = Answer(Disposition.REJECTED, hold_off=action.hold_off or default_hold_off)
        self._requests.finish(action.request_id, answer)

    def _fail(self, action: Fail, now: float) -> None:
        request = self._requests.find_open(action.request_id)
        if request is None:
            return
        answer = Answer(Disposition.FAILED, deadline_exceeded=now >= request.deadline)
        self._requests.finish(action.request_id, answer)
