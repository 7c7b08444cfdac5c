"""The actor round the Router: its clock, its timers, the requests in hand and their attempts.

Events come in by the mailbox, actions go out to the boxes and to the waiting requests. It knows no wire:
what a front hands in with a request (id, tag, body) is passed on unread.
"""

from __future__ import annotations

import heapq
import itertools
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import trio

from brackenlane.copies import Copies, Copy
from brackenlane.fleet import Fleet
from brackenlane.limits import Limits
from frostsail import Router
from frostsail.interface import (
    Action, Arrival, Cancel, Effect, Event, Fail, Fetch, Membership, Note, Outcome, Purged, Refuse,
    SetTimer, Settings, Verdict, Wake, Withdrawn,
)

log = logging.getLogger(__name__)


class Ending(Enum):
    """How a request ended."""

    SERVED = "served"
    UNCHANGED = "unchanged"  # served: the copy that the client holds will do
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer of a request."""

    ending: Ending
    body: bytes = b""
    tag: str = ""
    hold_off: float = 0.0
    late: bool = False  # failed since its time was up
    server: str = ""  # the box that answered


@dataclass(slots=True, frozen=True)
class Reply:
    """How an attempt ended, as a peer reports it."""

    verdict: Verdict
    wait: float = 0.0
    note: Note = Note.UNTOLD
    body: bytes = b""
    tag: str = ""
    unchanged: bool = False
    issued: float | None = None  # Unix time at which the origin gave out this copy


@dataclass(slots=True, eq=False)
class Ask:
    """One request of a front, until its final answer."""

    arrival: Arrival
    deadline: float
    wire_id: str = ""
    tag: str = ""
    body: bytes = b""
    connect_only: bool = False  # the box is wanted, not the object: reach it and no more
    answer: Answer | None = None
    over: bool = False  # nothing more is owed; attempts may still be out
    done: trio.Event = field(default_factory=trio.Event)
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have run at a box: nothing proves the contrary."""
        return any(a.written and not (a.reply and a.reply.verdict.never_ran) for a in self.attempts)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a box, from the decision to its outcome."""

    ask: Ask
    number: int
    fetch: Fetch
    started: float
    scope: trio.CancelScope
    written: bool = False  # a byte of it may have reached the box
    cancelled: bool = False
    reply: Reply | None = None


Message = Ask | Event | tuple[Attempt, Reply]
Place = Callable[[Attempt], bool]


class Core:
    """Owns the Router. Nothing in here waits but for the mailbox, so a mailbox that is full soon isn't."""

    def __init__(self, settings: Settings, seed: int, limits: Limits, place: Place,
                 clock: Callable[[], float] = time.time,
                 notice: Callable[[str, Verdict], None] | None = None, flow: float = 0.0,
                 copies: Copies | None = None) -> None:
        self._notice, self._flow = notice, flow  # flow: bytes a second of one transfer, if told
        self._copies = copies
        self.settings, self.limits, self.clock = settings, limits, clock
        self.fleet = Fleet(settings)
        self.effects = {c.name: c.effect for c in settings.classes}
        self._router = Router(settings, seed)
        self._place = place
        self._mail, self._inbox = trio.open_memory_channel[Message](limits.core_mail)
        self._asks: dict[str, Ask] = {}
        self._alarms: list[tuple[float, int, int]] = []  # when, order, the Router's token
        self._guards: list[tuple[float, int, str]] = []  # when, order, request
        self._order = itertools.count()

    # For the fronts and the peers

    def new_id(self) -> str:
        """An id for the Router that no other request bears, whatever ids clients use."""
        return f"q{next(self._order)}"

    @property
    def open_asks(self) -> int:
        """Requests without a final answer."""
        return sum(not ask.over for ask in self._asks.values())

    async def ask(self, ask: Ask) -> Answer:
        """The final answer of a request; cancelled, it takes back the request and all its work."""
        try:
            await self._mail.send(ask)
            await ask.done.wait()
        finally:
            if ask.answer is None:
                with trio.CancelScope(shield=True):
                    await self.tell(Withdrawn(ask.arrival.request))
        assert ask.answer is not None
        return ask.answer

    async def tell(self, event: Event) -> None:
        """One event that is no request."""
        await self._mail.send(event)

    async def report(self, attempt: Attempt, reply: Reply) -> None:
        """How an attempt ended."""
        await self._mail.send((attempt, reply))

    # The actor

    async def run(self) -> None:
        """Serve the mailbox and the timers."""
        while True:
            message: Message | None = None
            due = min((q[0][0] for q in (self._alarms, self._guards) if q), default=None)
            # Timers are on the Unix clock; the wait for the next is taken anew each time round.
            with trio.move_on_after(max(0.0, due - self.clock()) if due is not None else float("inf")):
                message = await self._inbox.receive()
            now = self.clock()
            if message is not None:
                self._take(message, now)
            self._ring(now)

    def _take(self, message: Message, now: float) -> None:
        if isinstance(message, tuple):
            self._outcome(*message, now)
        elif isinstance(message, Ask):
            if answer := self._own(message, now):
                message.over, message.answer = True, answer
                message.done.set()
                return
            name = message.arrival.request
            self._asks[name] = message
            heapq.heappush(
                self._guards, (message.deadline + self.limits.core_slack, next(self._order), name))
            self._handle(message.arrival, now)
        elif isinstance(message, Withdrawn):
            if self._open(message.request):
                self._end(message.request, None)
                self._handle(message, now)
        else:
            if isinstance(message, (Membership, Purged)):
                self.fleet.hear(message, now)
            if isinstance(message, Purged) and self._copies:
                self._copies.purge(message, now)
            self._handle(message, now)

    def _own(self, ask: Ask, now: float) -> Answer | None:
        """The answer by a copy of our own, which spares the boxes and the link in."""
        if not self._copies or ask.connect_only:
            return None
        copy = self._copies.find(ask.arrival, ask.tag, now)
        if copy is None:
            return None
        same = copy.tag == ask.tag
        return Answer(Ending.UNCHANGED if same else Ending.SERVED, b"" if same else copy.body, copy.tag)

    def _ring(self, now: float) -> None:
        """Timers that are due: the Router's, and the last guard of each request."""
        while self._alarms and self._alarms[0][0] <= now:
            self._handle(Wake(heapq.heappop(self._alarms)[2]), now)
        while self._guards and self._guards[0][0] <= now:
            name = heapq.heappop(self._guards)[2]
            if self._open(name):  # guards against a request that the module lost or failed on
                log.warning("no decision ended %s in time", name)
                self._end(name, Answer(Ending.FAILED, late=True))
                self._handle(Withdrawn(name), now)

    def _handle(self, event: Event, now: float) -> None:
        try:
            actions = self._router.handle(event, now)
        except Exception:  # one bad decision must not end all the other requests in hand
            log.exception("the module failed on %r", event)
            self._end(getattr(event, "request", ""), Answer(Ending.FAILED))
            return
        for action in actions:
            self._act(action, now)

    def _act(self, action: Action, now: float) -> None:
        match action:
            case Fetch():
                self._fetch(action, now)
            case Cancel():
                self._cancel(action)
            case SetTimer():
                heapq.heappush(self._alarms, (action.at, next(self._order), action.token))
            case Refuse():
                ask = self._open(action.request)
                # Guards against telling a client to come back with what may already have run.
                if ask and self.effects.get(ask.arrival.cls) is Effect.UNSAFE and ask.may_have_run:
                    self._end(action.request, Answer(Ending.FAILED))
                else:
                    self._end(action.request, Answer(
                        Ending.REFUSED, hold_off=action.hold_off or self.limits.retry_after))
            case Fail():
                ask = self._open(action.request)
                self._end(action.request, Answer(
                    Ending.FAILED, late=ask is not None and now >= ask.deadline))

    def _fetch(self, fetch: Fetch, now: float) -> None:
        ask = self._open(fetch.request)
        if ask is None:
            log.warning("an attempt for a request that is over: %s", fetch.request)
            return
        attempt = Attempt(ask, len(ask.attempts), fetch, now, trio.CancelScope())
        # Guards against running a write twice, should the module ever ask for it.
        unsafe = self.effects.get(ask.arrival.cls) is Effect.UNSAFE and ask.may_have_run
        ask.attempts.append(attempt)
        if unsafe or not self._place(attempt):
            self._later(attempt, Reply(Verdict.NEVER_SENT))

    def _later(self, attempt: Attempt, reply: Reply) -> None:
        """The outcome of an attempt that never left, as an event of its own."""
        try:
            self._mail.send_nowait((attempt, reply))
        except trio.WouldBlock:  # a mailbox this full means more requests than can be served: say so at once
            self._outcome(attempt, reply, self.clock())

    def _cancel(self, action: Cancel) -> None:
        # Straight to the attempt, not by the peer's mailbox, where it could wait behind others.
        ask = self._asks.get(action.request)
        if ask and action.attempt < len(ask.attempts):
            attempt = ask.attempts[action.attempt]
            attempt.cancelled = True
            attempt.scope.cancel()

    def _outcome(self, attempt: Attempt, reply: Reply, now: float) -> None:
        ask, name = attempt.ask, attempt.fetch.request
        attempt.reply = reply
        if self._notice:
            self._notice(attempt.fetch.server, reply.verdict)
        if reply.verdict is Verdict.OK:
            if self._copies and reply.issued and not reply.unchanged and not self.fleet.purged(
                    ask.arrival, reply.issued - self.limits.age_slack):
                self._copies.keep(Copy(ask.arrival, reply.body, reply.tag, reply.issued))
            self._end(name, Answer(Ending.UNCHANGED if reply.unchanged else Ending.SERVED, reply.body,
                                   reply.tag, server=attempt.fetch.server))
        self._handle(Outcome(name, attempt.number, attempt.fetch.server, reply.verdict, reply.wait,
                             ask.over, reply.note, size_kb=self._size(reply)), now)
        self._forget(name)

    def _size(self, reply: Reply) -> float:
        """The size of an answer in the unit of the settings' pace; 0 where it isn't seen."""
        return len(reply.body) / self._flow * self.settings.pace_kb_per_s if self._flow else 0.0

    def _open(self, name: str) -> Ask | None:
        """A request that is owed its final answer."""
        ask = self._asks.get(name)
        return ask if ask and not ask.over else None

    def _end(self, name: str, answer: Answer | None) -> None:
        """The final answer of a request, once; None where the client has left."""
        if ask := self._open(name):
            ask.over, ask.answer = True, answer
            ask.done.set()
            self._forget(name)

    def _forget(self, name: str) -> None:
        """Let go of a request that is over, once none of its attempts is out."""
        ask = self._asks.get(name)
        if ask and ask.over and all(a.reply for a in ask.attempts):
            del self._asks[name]
