"""The actor round the Router: its clock, its timers, the requests in hand and their attempts.

Events come in by the mailbox, actions go out to the caches and to the waiting requests. It knows no wire:
what a front hands in with a request (id, tag, body) is passed on unread. Whoever puts a message in has it
worked off before going on, without a task switch; what comes of a message while one is worked off waits in
the mailbox for its turn.
"""

from __future__ import annotations

import itertools
import logging
import math
import time
from collections import deque
from collections.abc import Callable

import trio

from brackenlane.core.membership_view import MembershipView
from brackenlane.core.requests import Answer, Attempt, AttemptReply, Disposition, PendingRequest
from brackenlane.core.response_cache import Copy, ResponseCache
from brackenlane.core.timers import Timers
from brackenlane.limits import Limits
from brackenlane.routing import Router
from brackenlane.routing.actions import Action, Cancel, Fail, Fetch, Reject, SetTimer
from brackenlane.routing.events import (
    AttemptResult,
    CacheStatus,
    ClientDisconnected,
    Event,
    Membership,
    MembershipKind,
    Outcome,
    Purged,
    TimerFired,
)
from brackenlane.routing.settings import Settings
from brackenlane.routing.slow_start import TokenBucket

log = logging.getLogger(__name__)


Message = PendingRequest | Event | tuple[Attempt, AttemptReply] | tuple[Router, TimerFired]
Place = Callable[[Attempt], bool]


class RequestEngine:
    """Owns the Router. Nothing in here waits but for the mailbox, so a mailbox that is full soon isn't."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        limits: Limits,
        place: Place,
        clock: Callable[[], float] = time.time,
        notice: Callable[[str, AttemptResult], None] | None = None,
        flow: float = 0.0,
        cache: ResponseCache | None = None,
    ) -> None:
        self._notice, self._flow = notice, flow  # flow: bytes a second of one transfer, if told
        self._cache = cache
        self.settings, self.limits, self.clock = settings, limits, clock
        self.membership = MembershipView(settings)
        self._classes = {c.name: c for c in settings.classes}
        self._router = Router(settings, seed)
        self._earlier: list[Router] = []  # of settings that are in force no more, with requests in hand
        self._place = place
        self._mail: deque[Message] = deque()
        self._working = False  # a message is being worked off
        self._requests: dict[str, PendingRequest] = {}
        self.timers = Timers(clock)
        self._order = itertools.count()

    # For the fronts and the peers

    def new_id(self) -> str:
        """An id for the Router that no other request bears, whatever ids clients use."""
        return f"q{next(self._order)}"

    @property
    def open_request_count(self) -> int:
        """Requests without a final answer."""
        return sum(not request.is_finished for request in self._requests.values())

    @property
    def avoided(self) -> set[str]:
        """Servers that the module leaves alone for now."""
        return {name for name, server in self._router.servers.items() if server.ejected_until}

    def spend_cold(self, now: float) -> None:
        """Count all cold budgets as spent up to now: another process may have used them."""
        for server in self._router.servers.values():
            server.tokens = TokenBucket(now)

    def reconfigure(
        self, settings: Settings, seed: int, limits: Limits, flow: float, cache: ResponseCache | None
    ) -> None:
        """Decide by other settings from now on, with nothing learned under the last; what is in hand ends by
        those under which it came."""
        now = self.clock()
        router = Router(settings, seed)
        router.handle(Membership(MembershipKind.REMEMBERED, tuple(self.membership.members.values())), now)
        for key, at in self.membership.purges.items():
            obj, group = (key, -1) if isinstance(key, str) else ("", key)
            router.handle(Purged(obj, group, max(0.0, now - at)), now)
        # All that could fail is done. What the last one was still to send cold caches is the new one's.
        self._router.server_table.router_started_at = math.inf  # also those that it is yet to hear of
        for server in self._router.servers.values():
            server.tokens = TokenBucket(math.inf)
        self._earlier = [r for r in (*self._earlier, self._router) if r.pending_requests or r.attempts]
        self._router = router
        self.settings, self.limits, self._flow = settings, limits, flow
        self._classes = {c.name: c for c in settings.classes}
        self.membership.reconfigure(settings)
        if cache and self._cache:
            cache.allow(cache.most * self._cache.part)
        self._cache = cache

    def keep_copies(self, part: float) -> None:
        """Keep copies of our own in this part of their room from now on."""
        if self._cache:
            self._cache.allow(part * self._cache.most)

    def end_all(self) -> None:
        """Answer all that is in hand now: refused where that does no harm, else failed."""
        for name in [name for name, request in self._requests.items() if not request.is_finished]:
            request = self._requests[name]
            safe = request.is_idempotent or not request.may_have_run
            self._end(
                name,
                Answer(Disposition.REJECTED, hold_off=self.limits.retry_after)
                if safe
                else Answer(Disposition.FAILED),
            )
            self.post(ClientDisconnected(name))

    @property
    def has_copies(self) -> bool:
        """Whether there may be copies of our own."""
        return self._cache is not None

    def holds(self, cls: str, copy: str) -> bool:
        """Whether there is a copy of our own, of one part of an object."""
        return self._cache is not None and self._cache.holds(cls, copy)

    def submit(self, request: PendingRequest) -> None:
        """Take a request; its `then` is called with the final answer, perhaps before this returns."""
        self.post(request)

    def withdraw(self, request: PendingRequest) -> None:
        """The client of a request has left: take back the request and all its work."""
        request.on_answer = None
        self.post(ClientDisconnected(request.arrival.request_id))

    async def request(self, request: PendingRequest) -> Answer:
        """The final answer of a request; cancelled, it takes back the request and all its work."""
        done = trio.Event()
        request.on_answer = lambda _: done.set()
        self.post(request)
        try:
            await done.wait()
        finally:
            if request.answer is None:
                self.withdraw(request)
        assert request.answer is not None
        return request.answer

    def report(self, attempt: Attempt, reply: AttemptReply) -> None:
        """How an attempt ended."""
        self.post((attempt, reply))

    # The actor

    def post(self, message: Message) -> None:
        """Put a message into the mailbox, and work the mailbox off unless that is being done."""
        self._mail.append(message)
        if self._working:
            return
        self._working = True
        try:
            while self._mail:
                self._take(self._mail.popleft(), self.clock())
        finally:
            self._working = False

    async def run(self) -> None:
        """Serve the timers."""
        await self.timers.run()

    def _take(self, message: Message, now: float) -> None:
        if isinstance(message, tuple):
            if isinstance(message[0], Attempt):
                self._outcome(message[0], message[1], now)
            else:
                self._handle(message[1], now, message[0])
        elif isinstance(message, PendingRequest):
            if answer := self._own(message, now):
                self._settle(message, answer)
                return
            name = message.arrival.request_id
            self._requests[name] = message
            message.cls = message.cls or self._classes.get(message.arrival.cls)
            message.router = self._router
            # Guards against a request that the module lost or failed on.
            message.guard = self.timers.at(message.deadline + self.limits.core_slack, self._lost, name)
            self._handle(message.arrival, now, self._router)
        elif isinstance(message, ClientDisconnected):
            if request := self._open(message.request_id):
                self._end(message.request_id, None)
                self._handle(message, now, request.router or self._router)
        else:
            if isinstance(message, (Membership, Purged)):
                self.membership.apply(message, now)
            if isinstance(message, Purged) and self._cache:
                self._cache.purge(message, now)
            for router in (self._router, *self._earlier):
                self._handle(message, now, router)

    def _own(self, request: PendingRequest, now: float) -> Answer | None:
        """The answer by a copy of our own, which spares the caches and the link in."""
        if not self._cache or request.connect_only:
            return None
        copy = self._cache.find(request.arrival, request.tag, now)
        if copy is None:
            return None
        same = copy.tag == request.tag
        return Answer(
            Disposition.UNCHANGED if same else Disposition.SERVED, b"" if same else copy.body, copy.tag
        )

    def _lost(self, name: str) -> None:
        """Fail a request whose time is up without any decision."""
        if self._open(name):
            log.warning("no decision ended %s in time", name)
            self._end(name, Answer(Disposition.FAILED, late=True))
            self.post(ClientDisconnected(name))

    def _handle(self, event: Event, now: float, router: Router) -> None:
        try:
            actions = router.handle(event, now)
        except Exception:  # one bad decision must not end all the other requests in hand
            log.exception("the module failed on %r", event)
            self._end(getattr(event, "request_id", ""), Answer(Disposition.FAILED))
            return
        for action in actions:
            self._act(action, now, router)

    def _act(self, action: Action, now: float, router: Router) -> None:
        match action:
            case Fetch():
                self._fetch(action, now)
            case Cancel():
                self._cancel(action)
            case SetTimer():
                self.timers.at(action.at, self.post, (router, TimerFired(action.token)))
            case Reject():
                request = self._open(action.request_id)
                # Guards against telling a client to come back with what may already have run.
                if request and request.must_run_once and request.may_have_run:
                    self._end(action.request_id, Answer(Disposition.FAILED))
                else:
                    self._end(
                        action.request_id,
                        Answer(Disposition.REJECTED, hold_off=action.hold_off or self.limits.retry_after),
                    )
            case Fail():
                request = self._open(action.request_id)
                self._end(
                    action.request_id,
                    Answer(Disposition.FAILED, late=request is not None and now >= request.deadline),
                )

    def _fetch(self, fetch: Fetch, now: float) -> None:
        request = self._open(fetch.request_id)
        if request is None:
            log.warning("an attempt for a request that is over: %s", fetch.request_id)
            return
        attempt = Attempt(request, len(request.attempts), fetch, now)
        # Guards against running a write twice, should the module ever ask for it.
        unsafe = request.must_run_once and request.may_have_run
        request.attempts.append(attempt)
        if unsafe or not self._placed(attempt):
            self.post(
                (attempt, AttemptReply(AttemptResult.NEVER_SENT))
            )  # an event of its own, after this decision

    def _placed(self, attempt: Attempt) -> bool:
        try:
            return self._place(attempt)
        except Exception:  # one attempt must not end the working off of all other messages
            log.exception("an attempt could not be placed")
            return attempt.written

    def _cancel(self, action: Cancel) -> None:
        # Straight to the attempt, not by the peer's mailbox, where it could wait behind others.
        request = self._requests.get(action.request_id)
        if request and action.attempt < len(request.attempts):
            attempt = request.attempts[action.attempt]
            attempt.cancelled = True
            if attempt.stop:
                attempt.stop()

    def _outcome(self, attempt: Attempt, reply: AttemptReply, now: float) -> None:
        request, name = attempt.request, attempt.fetch.request_id
        attempt.reply, attempt.stop = reply, None
        if self._notice:
            self._notice(attempt.fetch.server, reply.result)
        if reply.result is AttemptResult.OK:
            if (
                self._cache
                and reply.issued
                and not reply.unchanged
                and not self.membership.purged(request.arrival, reply.issued - self.limits.age_slack)
            ):
                self._cache.keep(Copy(request.arrival, reply.body, reply.tag, reply.issued))
            self._end(
                name,
                Answer(
                    Disposition.UNCHANGED if reply.unchanged else Disposition.SERVED,
                    reply.body,
                    reply.tag,
                    server=attempt.fetch.server,
                ),
            )
        cache_status, first = reply.cache_status, reply.delay
        fresh = reply.issued and reply.issued >= attempt.started - self.limits.age_slack
        if fresh and cache_status in (CacheStatus.FILLED, CacheStatus.UNKNOWN):
            # Given out since it was asked for, and when: not every site's caches have words for either.
            cache_status = CacheStatus.FILLED_BY_ORIGIN
            first = first or max((reply.issued or 0.0) - attempt.started, 0.001)
        self._handle(
            Outcome(
                name,
                attempt.number,
                attempt.fetch.server,
                reply.result,
                reply.wait,
                request.is_finished,
                cache_status,
                first,
                reply.report,
                size_kb=self._size(reply),
            ),
            now,
            request.router or self._router,
        )
        self._forget(name)

    def _size(self, reply: AttemptReply) -> float:
        """The size of an answer in the unit of the settings' pace; 0 where it isn't seen."""
        return len(reply.body) / self._flow * self.settings.pace_kb_per_s if self._flow else 0.0

    def _open(self, name: str) -> PendingRequest | None:
        """A request that is owed its final answer."""
        request = self._requests.get(name)
        return request if request and not request.is_finished else None

    def _end(self, name: str, answer: Answer | None) -> None:
        """The final answer of a request, once; None where the client has left."""
        if request := self._open(name):
            self._settle(request, answer)
            self._forget(name)

    def _settle(self, request: PendingRequest, answer: Answer | None) -> None:
        request.is_finished, request.answer, on_answer, request.on_answer = (
            True,
            answer,
            request.on_answer,
            None,
        )
        if request.guard:
            request.guard.cancel()
        if on_answer and answer:
            try:
                on_answer(answer)
            except Exception:  # a client's connection must not end the core
                log.exception("an answer could not be given")

    def _forget(self, name: str) -> None:
        """Let go of a request that is over, once none of its attempts is out."""
        request = self._requests.get(name)
        if request and request.is_finished and all(a.reply for a in request.attempts):
            del self._requests[name]
            if self._earlier:
                self._earlier = [r for r in self._earlier if r.pending_requests or r.attempts]
