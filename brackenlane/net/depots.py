"""One actor for each cache box, parent and the origin: its connections and the attempts at it."""

from __future__ import annotations

import contextlib
import logging
import time
from collections import OrderedDict, deque
from collections.abc import Awaitable, Callable

import trio

from brackenlane.config import Endpoint
from brackenlane.core import Attempt, Reply
from brackenlane.fleet import Fleet
from brackenlane.limits import Limits
from brackenlane.net import boxwire
from frostsail.interface import Settings, Verdict

log = logging.getLogger(__name__)

Report = Callable[[Attempt, Reply], Awaitable[None]]
NEVER_SENT, UNREACHABLE = Reply(Verdict.NEVER_SENT), Reply(Verdict.UNREACHABLE)


class Slot:
    """The place of one attempt on a connection."""

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self.id = attempt.ask.wire_id
        self.sent = 0.0
        self.reply: Reply | None = None
        self.done = trio.Event()

    def settle(self, reply: Reply) -> None:
        """What came of it, once."""
        if self.reply is None:
            self.reply = reply
            self.done.set()


class Link:
    """One connection to a box: answers arrive in any order."""

    def __init__(self, stream: trio.SocketStream, fleet: Fleet, limits: Limits, may_probe: bool) -> None:
        self._stream, self._fleet, self._limits, self._may_probe = stream, fleet, limits, may_probe
        self._patience = trio.CancelScope()  # of the wait for bytes
        self._heard = trio.current_time()  # when bytes came last, or the first of what is open was written
        self._asked = False  # whether it lives
        self._waiting: dict[str, Slot] = {}
        self._given_up: OrderedDict[str, None] = OrderedDict()
        self._out: deque[Slot | bytes] = deque()
        self._more = trio.Event()
        self.open = True

    def takes(self, wire_id: str) -> bool:
        """Whether a request may go this way.

        Guards against the late answer to an attempt given up passing for that of the next with its id.
        """
        return (self.open and len(self._waiting) < self._limits.link_waiting
                and wire_id not in self._waiting and wire_id not in self._given_up)

    @property
    def load(self) -> int:
        """Requests open here."""
        return len(self._waiting)

    @property
    def idle(self) -> bool:
        """Whether nothing waits for an answer here."""
        return not self._waiting and not self._asked

    async def ask(self, attempt: Attempt) -> Reply:
        """One attempt, until its answer or its cancellation."""
        slot = Slot(attempt)
        self._waiting[slot.id] = slot
        self._push(slot)
        try:
            await slot.done.wait()
        finally:
            self._waiting.pop(slot.id, None)
            if slot.reply is None:
                slot.settle(NEVER_SENT)  # taken out of the queue, if it is still there
                if attempt.written and self.open:
                    self._given_up[slot.id] = None
                    if len(self._given_up) > self._limits.given_up:
                        self._given_up.popitem(last=False)
                    self._push(boxwire.encode_drop(slot.id), first=True)
        assert slot.reply is not None
        return slot.reply

    def close(self) -> None:
        """End the connection; what waits here is told."""
        self.open = False
        self._more.set()
        for slot in list(self._waiting.values()):
            slot.settle(Reply(Verdict.BROKEN if slot.attempt.written else Verdict.UNREACHABLE,
                              time.time() - slot.attempt.started))

    def _push(self, item: Slot | bytes, first: bool = False) -> None:
        (self._out.appendleft if first else self._out.append)(item)
        self._more.set()

    async def run(self) -> None:
        """Write and read until either side ends."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write)
                await self._read()
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except* boxwire.WireError as faults:
            log.warning("a box that can't be read: %s", faults.exceptions[0])
        finally:
            self.close()
            await trio.aclose_forcefully(self._stream)

    async def _write(self) -> None:
        while self.open:
            while self._out:
                item = self._out.popleft()
                data = item if isinstance(item, bytes) else self._prepare(item)
                if not data:
                    continue
                with trio.move_on_after(self._limits.write_stall) as stalled:
                    await self._stream.send_all(data)
                # Guards against a mute machine behind whose full buffer every later line would wait.
                if stalled.cancelled_caught:
                    raise trio.BrokenResourceError("the box takes nothing")
            self._more = trio.Event()
            await self._more.wait()
        raise trio.BrokenResourceError("closed")

    def _prepare(self, slot: Slot) -> bytes:
        """The bytes of an attempt, if it may still go out at this very moment."""
        attempt, now = slot.attempt, time.time()
        left = min(attempt.started + attempt.fetch.timeout, attempt.ask.deadline) - now
        if slot.reply or attempt.cancelled:
            return b""
        if left <= 0 or not self._fleet.allows(attempt.fetch):
            slot.settle(NEVER_SENT)
            return b""
        ask = attempt.ask
        if not any(other.attempt.written for other in self._waiting.values()):
            self._heard = trio.current_time()
        attempt.written, slot.sent = True, now
        self._rearm()
        return boxwire.encode_get(ask.wire_id, ask.arrival, attempt.fetch, left,
                                  self._fleet.max_age(attempt.fetch, ask.arrival, now), ask.tag, ask.body)

    def _rearm(self) -> None:
        """How long the connection may go on saying nothing."""
        if self._asked:
            wait = self._limits.quiet + self._limits.pulse
        elif self.idle:
            wait = self._limits.keepalive
        else:
            wait = self._limits.quiet if self._may_probe else self._limits.mute
        self._patience.deadline = self._heard + wait

    async def _read(self) -> None:
        parser = boxwire.Parser(self._limits)
        while True:
            data: bytes | bytearray | None = None
            with trio.CancelScope() as self._patience:
                self._rearm()
                data = await self._stream.receive_some(65536)
            if data is not None:
                if not data:
                    return
                self._heard, self._asked = trio.current_time(), False
                for answer in parser.feed(data):
                    self._answer(answer)
            elif trio.current_time() < self._patience.deadline:
                continue
            elif self.idle:
                return  # guards against a request that crosses the box's own close after its idle time
            elif self._asked or not self._may_probe:
                # Guards against a connection that stays open and says nothing more, part of an answer or
                # none: all that is open on it would wait for its deadline, and what comes next as well.
                raise boxwire.WireError(f"nothing more comes, {len(self._waiting)} requests open")
            else:
                self._asked = True
                self._push(boxwire.encode_ping(), first=True)

    def _answer(self, answer: boxwire.BoxAnswer) -> None:
        self._given_up.pop(answer.id, None)
        slot = self._waiting.get(answer.id)
        if slot is None or not slot.attempt.written:
            return
        ask, verdict, body = slot.attempt.ask, answer.verdict, answer.body
        tag = answer.fields.get("entity", "").strip('"')
        unchanged = answer.word == "unchanged"
        if verdict is Verdict.OK:
            # Guards against a copy that is too old, or an 'unchanged' that nobody asked for.
            old = answer.issued is not None and self._fleet.too_old(
                ask.arrival, answer.issued, slot.sent, self._limits.age_slack)
            # Nor may bytes pass that only look like an answer: what is kept bears its tag and its time.
            bare = not ask.arrival.is_write and (not tag or answer.issued is None)
            if old or bare or (unchanged and not ask.tag):
                log.warning("%s answered with what can't be served", slot.attempt.fetch.server)
                verdict, body = Verdict.ERROR, b""
        slot.settle(Reply(verdict, time.time() - slot.sent, answer.note, body, tag, unchanged,
                          answer.issued))


class Dial:
    """One try to connect, shared by all who wait for it."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.link: Link | None = None


class Peer:
    """The actor of one box."""

    def __init__(self, server: str, endpoint: Endpoint, fleet: Fleet, limits: Limits,
                 settings: Settings, report: Report) -> None:
        self.server, self.endpoint = server, endpoint
        self._fleet, self._limits, self._report = fleet, limits, report
        self._connect_timeout, self._may_probe = settings.connect_timeout, settings.may_probe
        self._links: list[Link] = []
        self._dial: Dial | None = None
        self._mail, self._inbox = trio.open_memory_channel[Attempt](limits.peer_mail)

    def post(self, attempt: Attempt) -> bool:
        """Take an attempt; False if the mailbox is full."""
        try:
            self._mail.send_nowait(attempt)
        except trio.WouldBlock:
            return False
        return True

    def move(self, endpoint: Endpoint) -> None:
        """Follow the box to another address; what is open on the old one ends there."""
        if endpoint != self.endpoint:
            self.endpoint, self._links = endpoint, []

    def leave(self) -> None:
        """The box is gone: finish what is out, take nothing more."""
        self._mail.close()

    async def run(self) -> None:
        """Serve the mailbox until the box leaves the list and its last attempt has ended."""
        async with trio.open_nursery() as links:
            async with trio.open_nursery() as attempts:
                async for attempt in self._inbox:
                    attempts.start_soon(self._serve, attempt, links)
            links.cancel_scope.cancel()

    async def _serve(self, attempt: Attempt, nursery: trio.Nursery) -> None:
        reply: Reply | None = None
        # The attempt's scope is the core's to cancel; its time runs from the decision.
        attempt.scope.deadline = trio.current_time() + max(
            0.0, attempt.started + attempt.fetch.timeout - time.time())
        with attempt.scope:
            reply = await self._try(attempt, nursery)
        if reply is None:
            # Nothing written proves that nothing ran, whatever ended the wait.
            verdict = Verdict.CANCELLED if attempt.cancelled else Verdict.TIMEOUT
            reply = Reply(verdict if attempt.written else Verdict.NEVER_SENT,
                          time.time() - attempt.started)
        await self._report(attempt, reply)

    async def _try(self, attempt: Attempt, nursery: trio.Nursery) -> Reply:
        if attempt.ask.connect_only:
            return await self._reach(attempt)
        while True:
            self._links = [at for at in self._links if at.open]
            room = len(self._links) < self._limits.links and self._fleet.allows(attempt.fetch)
            if links := [at for at in self._links if at.takes(attempt.ask.wire_id)]:
                link = min(links, key=lambda at: at.load)
                # Guards against losing all that is open at a box with one connection that ends or goes mute.
                if room and link.load >= self._limits.link_share:
                    self._start_dial(nursery)
                return await link.ask(attempt)
            if not room:
                return NEVER_SENT
            if await self._connect(nursery) is None:
                return Reply(Verdict.UNREACHABLE, time.time() - attempt.started)

    async def _reach(self, attempt: Attempt) -> Reply:
        """Whether the box takes a connection: all that a name's answer needs."""
        reached = False
        if self._fleet.allows(attempt.fetch):
            with trio.move_on_after(self._connect_timeout), contextlib.suppress(OSError):
                await trio.aclose_forcefully(await connect(self.endpoint))
                reached = True
        return Reply(Verdict.OK if reached else Verdict.UNREACHABLE, time.time() - attempt.started)

    async def _connect(self, nursery: trio.Nursery) -> Link | None:
        """A new connection; all who need one meanwhile share it."""
        dial = self._start_dial(nursery)
        await dial.done.wait()
        return dial.link

    def _start_dial(self, nursery: trio.Nursery) -> Dial:
        """The try to connect that is under way, or a new one."""
        if self._dial is None:
            self._dial = Dial()
            nursery.start_soon(self._run_dial, self._dial, nursery)
        return self._dial

    async def _run_dial(self, dial: Dial, nursery: trio.Nursery) -> None:
        try:
            endpoint = self.endpoint
            with trio.move_on_after(self._connect_timeout):
                link = Link(await connect(endpoint), self._fleet, self._limits, self._may_probe)
                nursery.start_soon(link.run)
                if endpoint == self.endpoint:  # else the box has moved meanwhile
                    dial.link = link
                    self._links.append(link)
        except OSError as fault:
            log.debug("%s: %s", self.server, fault)
        finally:
            self._dial = None
            dial.done.set()


async def connect(endpoint: Endpoint) -> trio.SocketStream:
    """A connection to one address."""
    family = trio.socket.AF_INET6 if ":" in endpoint[0] else trio.socket.AF_INET
    sock = trio.socket.socket(family, trio.socket.SOCK_STREAM)
    try:
        await sock.connect(endpoint)
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


class Depots:
    """The actors of all boxes on the list, by id: a new box may have a gone one's address."""

    def __init__(self, fleet: Fleet, limits: Limits, settings: Settings, report: Report,
                 nursery: trio.Nursery) -> None:
        self._fleet, self._limits, self._report, self._nursery = fleet, limits, report, nursery
        self._settings = settings
        self._endpoints: dict[str, Endpoint] = {}
        self._peers: dict[str, Peer] = {}

    def place(self, attempt: Attempt) -> bool:
        """Hand an attempt to its box's actor; False if it can't be taken."""
        server = attempt.fetch.server
        peer = self._peers.get(server)
        if peer is None:
            if server not in self._endpoints:
                return False
            peer = self._peers[server] = Peer(server, self._endpoints[server], self._fleet, self._limits,
                                              self._settings, self._report)
            self._nursery.start_soon(peer.run)
        return peer.post(attempt)

    def follow(self, endpoints: dict[str, Endpoint], gone: set[str], whole: bool) -> None:
        """Follow the list's addresses."""
        if whole:
            gone = gone | (self._endpoints.keys() - endpoints.keys())
            self._endpoints = {}
        for server in gone:
            self._endpoints.pop(server, None)
            if peer := self._peers.pop(server, None):
                peer.leave()
        self._endpoints.update(endpoints)
        for server, endpoint in endpoints.items():
            if peer := self._peers.get(server):
                peer.move(endpoint)
