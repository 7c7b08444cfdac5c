"""One connection to a cache, parent or the origin, and the attempts that are open on it."""

from __future__ import annotations

import logging
import socket
import time
from collections import OrderedDict, deque
from collections.abc import Callable

from brackenlane.core.membership_view import MembershipView
from brackenlane.core.requests import Attempt, AttemptReply
from brackenlane.core.timers import Timer
from brackenlane.limits import Limits
from brackenlane.net import cache_codec
from brackenlane.net.poller import READ, WRITE, Poller
from brackenlane.routing.events import AttemptResult

log = logging.getLogger(__name__)

Report = Callable[[Attempt, AttemptReply], None]
Tried = Callable[[str], None]  # told the class of each attempt that is written whole
NEVER_SENT = AttemptReply(AttemptResult.NEVER_SENT)


class DispatchedAttempt:
    """One attempt at a cache, from its placing to its outcome."""

    __slots__ = ("attempt", "id", "sent", "link", "timer", "redispatches", "_report")

    def __init__(self, attempt: Attempt, report: Report) -> None:
        self.attempt, self._report = attempt, report
        self.id = attempt.request.wire_id
        self.sent = 0.0
        self.link: CacheConnection | None = None
        self.timer: Timer | None = None
        self.redispatches = 0  # to another connection, since one ended before a byte of it was out

    @property
    def is_finished(self) -> bool:
        """Whether its outcome has been told."""
        return self.attempt.reply is not None

    def settle(self, reply: AttemptReply) -> None:
        """What came of it, once."""
        if self.is_finished:
            return
        if self.timer:
            self.timer.cancel()
        if self.link:
            self.link.release(self)
        self._report(self.attempt, reply)

    def stop(self) -> None:
        """It is cancelled, or its time is up: nothing written proves that nothing ran."""
        result = AttemptResult.CANCELLED if self.attempt.cancelled else AttemptResult.TIMEOUT
        if not self.is_finished:
            if self.link and self.attempt.written:
                self.link.give_up(self)
            self.settle(
                AttemptReply(
                    result if self.attempt.written else AttemptResult.NEVER_SENT,
                    time.time() - self.attempt.started_at,
                )
            )


class ConnectionQuota:
    """The descriptors that connections to caches may have, all caches together; the others are kept for the
    change log, operators and clients. One is taken as a connect begins, given back as its connection ends.
    """

    def __init__(self, most: int) -> None:
        self.most, self._taken = most, 0
        self.close_idle: Callable[[], bool] = lambda: False  # ends a connection that rests; whether one did

    def take(self, needed: bool) -> bool:
        """Whether there is one; needed: also in the place of a connection that rests."""
        if self._taken >= self.most and not (needed and self.close_idle()):
            return False
        self._taken += 1
        return True

    def give(self) -> None:
        """One is free again."""
        self._taken -= 1


class CacheConnection:
    """One connection to a cache: answers arrive in any order."""

    def __init__(
        self,
        sock: socket.socket,
        poller: Poller,
        membership: MembershipView,
        limits: Limits,
        may_probe: bool,
        tried: Tried,
        again: Callable[[DispatchedAttempt], None],
        quota: ConnectionQuota,
    ) -> None:
        self._sock, self._poller, self._tried = sock, poller, tried
        self._quota = quota
        self._again = again  # takes back an attempt of which no byte is out
        self._reading = False
        self._begun = 0.0  # since when an answer has been coming in, 0: none is
        self._membership, self._limits, self._may_probe = membership, limits, may_probe
        self._parser = cache_codec.Parser(limits)
        self._received_at = time.time()  # when bytes came last, or the first of what is open was written
        self._stuck = 0.0  # since when it takes no byte
        self._is_probed = False  # whether it lives
        self._waiting: dict[str, DispatchedAttempt] = {}
        self._past: OrderedDict[str, bool] = OrderedDict()  # ids to which more may come; whether answered
        self._out: deque[DispatchedAttempt | bytes] = deque()
        self._rest = memoryview(b"")  # of what has been written in part
        self._fully_written: DispatchedAttempt | None = None  # the attempt that is, once the rest is out
        self.open = True
        poller.add(sock.fileno(), self._ready, READ, urgent=True)

    def takes(self, wire_id: str) -> bool:
        """Whether a request may go this way.

        Guards against a late answer to an attempt given up, or a second one, passing for that of the next
        with its id; and against waiting behind the rest of an answer that nobody wants, which may never end.
        """
        stuck = (
            self._begun and not self._waiting and time.time() - self._begun > self._limits.idle_probe_after
        )
        return (
            self.open
            and len(self._waiting) < self._limits.max_requests_per_connection
            and not stuck
            and wire_id not in self._waiting
            and wire_id not in self._past
        )

    def reconfigure(self, limits: Limits, may_probe: bool) -> None:
        """Keep to other limits from now on."""
        self._limits, self._may_probe = limits, may_probe

    @property
    def load(self) -> int:
        """Requests open here."""
        return len(self._waiting)

    @property
    def idle(self) -> bool:
        """Whether nothing waits for an answer here."""
        return not self._waiting and not self._is_probed

    @property
    def received_at(self) -> float:
        """When bytes came last, or the first of what is open was written."""
        return self._received_at

    def send(self, slot: DispatchedAttempt) -> None:
        """Send an attempt, now if the connection takes it."""
        slot.link = self
        self._waiting[slot.id] = slot
        self._out.append(slot)
        self._flush()

    def release(self, slot: DispatchedAttempt) -> None:
        """An attempt is over."""
        self._waiting.pop(slot.id, None)

    def give_up(self, slot: DispatchedAttempt) -> None:
        """Tell the cache that an attempt is wanted no more."""
        if not self.open:
            return
        self._remember(slot.id, answered=False)
        self._out.appendleft(cache_codec.encode_drop(slot.id))
        self._flush()

    def _remember(self, wire_id: str, answered: bool) -> None:
        self._past[wire_id] = answered
        if len(self._past) > self._limits.max_abandoned_ids:
            self._past.popitem(last=False)

    def close(self) -> None:
        """End the connection; what waits here is told, or goes another way if no byte of it is out."""
        if not self.open:
            return
        self.open = False
        self._poller.remove(self._sock.fileno())
        self._sock.close()
        self._quota.give()
        self._out.clear()
        waiting, self._waiting = list(self._waiting.values()), {}
        for slot in waiting:
            slot.link = None
            if not slot.attempt.written and slot.redispatches < self._limits.max_redispatches:
                slot.redispatches += 1
                self._again(slot)
            else:
                slot.settle(
                    AttemptReply(
                        AttemptResult.BROKEN if slot.attempt.written else AttemptResult.UNREACHABLE,
                        time.time() - slot.attempt.started_at,
                    )
                )

    def watch(self, now: float, lag: float) -> None:
        """Look after a connection that says or takes nothing, `lag` seconds of which were our own."""
        self._received_at += lag
        self._stuck += lag if self._stuck else 0.0
        # Guards against a mute machine behind whose full buffer every later line would wait.
        if self._stuck and now - self._stuck > self._limits.write_stall_timeout:
            return self.close()
        if self._begun and now - self._begun > self._limits.response_timeout:
            log.warning("a box's answer does not end, %d requests open", len(self._waiting))
            return self.close()
        if self._is_probed:
            wait = self._limits.idle_probe_after + self._limits.probe_timeout
        elif self.idle:
            wait = self._limits.connection_idle_timeout
        else:
            wait = self._limits.idle_probe_after if self._may_probe else self._limits.unresponsive_timeout
        if now - self._received_at < wait:
            return
        if self.idle:
            self.close()  # guards against a request that crosses the box's own close after its idle time
        elif self._is_probed or not self._may_probe:
            # Guards against a connection that stays open and says nothing more, part of an answer or
            # none: all that is open on it would wait for its deadline, and what comes next as well.
            log.warning("a box says nothing more, %d requests open", len(self._waiting))
            self.close()
        else:
            self._is_probed = True
            self._out.appendleft(cache_codec.encode_ping())
            self._flush()

    def _ready(self, events: int) -> None:
        try:
            if events & ~WRITE:
                self._receive()
            if events & WRITE and self.open:
                self._stuck = 0.0
                self._poller.want(self._sock.fileno(), READ)
                self._flush()
        except Exception:  # what is open on this connection is told that it broke; the others go on
            log.exception("a box's connection failed")
            self.close()

    def _flush(self) -> None:
        """Write until all is out or the connection takes no more."""
        if self._stuck:
            return
        # Guards against a request that crosses the end of a connection that rested: it might have run.
        if self._out and not self._reading and not any(s.attempt.written for s in self._waiting.values()):
            self._receive()
        try:
            while self.open and (self._rest or self._out):
                if not self._rest:
                    item = self._out.popleft()
                    if isinstance(item, DispatchedAttempt):
                        if rest := self._write(item):
                            self._rest = rest
                        self._written()
                        if self._stuck:  # by what came of an attempt that ended as its turn came
                            return
                        continue
                    self._rest = memoryview(item)
                self._rest = self._rest[self._sock.send(self._rest) :]
                self._written()
        except BlockingIOError:
            self._stuck = time.time()
            self._poller.want(self._sock.fileno(), READ | WRITE)
        except OSError:
            self.close()

    def _written(self) -> None:
        """Count an attempt as its last byte is taken."""
        if self._fully_written and not self._rest:
            self._tried(self._fully_written.attempt.request.arrival.cls)
            self._fully_written = None

    def _write(self, slot: DispatchedAttempt) -> memoryview:
        """Begin to write an attempt; what the connection did not take of it."""
        data = self._prepare(slot)
        if data and self._rest:  # others went first meanwhile, as far as the connection took them
            self._out.appendleft(slot)
            return memoryview(b"")
        if not data or not self.open:
            return memoryview(b"")
        attempt = slot.attempt
        try:
            sent = self._sock.send(data)
        except BlockingIOError:  # not a byte of it is out: whether it may go is asked again when it can
            self._out.appendleft(slot)
            raise
        except OSError:
            attempt.written = True  # perhaps
            raise
        slot.sent = time.time()
        if not any(other.attempt.written for other in self._waiting.values()):
            self._received_at = slot.sent
        attempt.written, self._fully_written = True, slot
        return memoryview(data)[sent:]

    def _prepare(self, slot: DispatchedAttempt) -> bytes:
        """The bytes of an attempt, if it may still go out at this very moment."""
        attempt, now = slot.attempt, time.time()
        left = attempt.remaining_time(self._membership, now)
        if left <= 0:
            slot.settle(NEVER_SENT)
            return b""
        request = attempt.request
        return cache_codec.encode_get(
            request.wire_id,
            request.arrival,
            attempt.fetch,
            left,
            self._membership.max_age(attempt.fetch, request.arrival, now),
            request.tag,
            request.body,
            request.key,
        )

    def _receive(self) -> None:
        try:
            data = self._sock.recv(262_144)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            if self._parser.partial:
                log.warning("a box ends its connection within an answer, %d open", len(self._waiting))
            return self.close()
        self._received_at, self._is_probed, self._reading = time.time(), False, True
        complete = False
        try:
            for answer in self._parser.feed(data):
                complete = True
                self._answer(answer)
        except cache_codec.WireError as fault:
            log.warning("a box that can't be read: %s", fault)
            self.close()
        finally:
            self._reading = False
        if complete or not self._parser.partial:
            self._begun = self._received_at if self._parser.partial else 0.0
        elif not self._begun:
            self._begun = self._received_at

    def _answer(self, answer: cache_codec.CacheResponse) -> None:
        slot = self._waiting.get(answer.id)
        if slot is None or not slot.attempt.written:
            if self._past.get(answer.id):
                log.warning("a box answers a second time")
            return
        now = time.time()
        request, result, body = slot.attempt.request, answer.result, answer.body
        tag = answer.fields.get("entity", "").strip('"')
        unchanged = answer.word == "unchanged"
        if result is AttemptResult.OK:
            # Guards against a copy that is too old, or an 'unchanged' of another copy than the client holds.
            old = answer.issued is not None and self._membership.is_too_old(
                request.cls, answer.issued, slot.sent, self._limits.clock_tolerance
            )
            # Nor may bytes pass that only look like an answer: what is kept bears its tag and its time.
            bare = not request.arrival.is_write and (not tag or answer.issued is None)
            if old or bare or (unchanged and tag != request.tag):
                log.warning("%s answered with what can't be served", slot.attempt.fetch.server)
                result, body = AttemptResult.ERROR, b""
        # A second answer does no harm where all that can follow is another look for the same object.
        if not (result.is_proven_not_run and request.is_idempotent):
            self._remember(slot.id, answered=True)
        slot.settle(
            AttemptReply(
                result,
                now - slot.sent,
                answer.cache_status,
                body,
                tag,
                unchanged,
                answer.issued,
                answer.delay,
                answer.report,
            )
        )
