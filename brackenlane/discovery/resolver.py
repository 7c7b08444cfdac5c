"""The appliance's own resolver: questions to the site's upstreams, each once, within a budget.

An actor in small: one look-up in flight for each question, joined by all who wait for it.
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Iterable
from dataclasses import dataclass

import trio

from brackenlane.config import Endpoint
from brackenlane.discovery.dns_cache import Cache, CachedAnswer, Lifetimes
from brackenlane.discovery.query import CHAIN, Kind, Question, Reply, Says, Sent, put, read
from brackenlane.discovery.records import SrvRecord
from brackenlane.discovery.upstreams import Patience, Upstream, Upstreams
from brackenlane.net.connector import connect, family_of

log = logging.getLogger(__name__)

NOISE = 64  # datagrams that are no answer, after which a question goes over TCP, where nobody can forge one


class LookUpFailed(Exception):
    """Nobody has answered, and there is no earlier answer that will do."""


@dataclass(frozen=True, slots=True)
class Found:
    """What is known of a question now; neither targets nor addresses: there are none, truly."""

    targets: tuple[SrvRecord, ...] = ()
    addresses: tuple[str, ...] = ()
    beside: tuple[tuple[str, tuple[str, ...]], ...] = ()  # addresses of targets, sent along in bailiwick
    until: float = 0.0  # Unix time for which it may be used
    upstream: str = ""
    stale: bool = False  # past its lifetime: nobody answers now
    why: str = ""  # of a stale one: why nobody does


@dataclass(slots=True, eq=False)
class Flight:
    """One look-up under way."""

    done: trio.Event
    result: Found | None = None
    fault: str = ""


class Resolver:
    """Asks upstreams, keeps what they say, and goes on with it while they say nothing."""

    def __init__(
        self,
        upstreams: Iterable[Endpoint],
        nursery: trio.Nursery,
        *,
        budget: float = 3.0,
        lifetimes: Lifetimes | None = None,
        patience: Patience | None = None,
        most: int = 256,
        rng: random.Random | None = None,
    ) -> None:
        self.upstreams = Upstreams(upstreams, patience or Patience())
        self.cache = Cache(lifetimes or Lifetimes())
        self._nursery, self._budget = nursery, budget
        self._open = trio.CapacityLimiter(most)  # look-ups at once, so sockets
        self._random = rng or random.SystemRandom()
        self._flights: dict[Question, Flight] = {}
        self.queries = 0  # sent, over all

    async def look_up(self, name: str, kind: Kind) -> Found:
        """What a name's records are, over aliases; LookUpFailed if nobody can tell."""
        question = Question(name.rstrip(".").lower(), kind)
        for _ in range(CHAIN):
            found, reply = await self._one(question)
            if not reply.alias:
                return found
            question = Question(reply.alias, kind)
        raise LookUpFailed(f"{name}: a loop of aliases, or too many")

    async def addresses(self, name: str) -> Found:
        """A name's addresses, IPv4 first; IPv6 only where there is no other."""
        four = await self.look_up(name, Kind.A)
        return four if four.addresses else await self.look_up(name, Kind.AAAA)

    def doubt(self, name: str) -> None:
        """A name's addresses have been found wrong: the next look-up asks, whatever their lifetime."""
        for kind in (Kind.A, Kind.AAAA):
            self.cache.expire(Question(name.rstrip(".").lower(), kind), time.time())

    async def _one(self, question: Question) -> tuple[Found, Reply]:
        """One question, without following aliases."""
        now = time.time()
        if retained := self.cache.fresh(question, now):
            return _found(retained), retained.reply
        if why := self.cache.failing(question, now):
            return self._past(question, why, now)
        flight = self._flights.get(question)
        if flight is None:
            flight = self._flights[question] = Flight(trio.Event())
            # A task of its own: whoever asked first may leave, and the others still wait for it.
            self._nursery.start_soon(self._fly, question, flight)
        await flight.done.wait()
        now = time.time()
        if retained := self.cache.fresh(question, now):
            return _found(retained), retained.reply
        return self._past(question, flight.fault or "no answer", now)

    def _past(self, question: Question, why: str, now: float) -> tuple[Found, Reply]:
        if retained := self.cache.stale(question, now):
            return _found(retained, why), retained.reply
        raise LookUpFailed(f"{question.name} {question.kind.name}: {why}")

    async def _fly(self, question: Question, flight: Flight) -> None:
        try:
            async with self._open:
                flight.fault = await self._ask_all(question)
        finally:
            del self._flights[question]
            if flight.fault:
                self.cache.fail(question, flight.fault, time.time())
            flight.done.set()

    async def _ask_all(self, question: Question) -> str:
        """Ask one upstream after another, twice round; why all failed, or nothing."""
        faults: dict[str, str] = {}
        with trio.move_on_after(self._budget):
            for _ in range(2):
                for upstream in self.upstreams.order(time.time()):
                    reply = await self._ask(upstream, question, faults)
                    if reply and reply.says in (Says.FOUND, Says.NONE):
                        self._keep(question, reply, upstream.name)
                        return ""
        return "; ".join(f"{name}: {why}" for name, why in faults.items()) or "no upstream in time"

    def _keep(self, question: Question, reply: Reply, upstream: str) -> None:
        now = time.time()
        self.cache.put(question, reply, upstream, now)
        for host, addresses in reply.beside.items():  # what was sent along spares a query for each target
            if four := tuple(address for address in addresses if ":" not in address):
                self.cache.put(
                    Question(host, Kind.A), Reply(Says.FOUND, addresses=four, ttl=reply.ttl), upstream, now
                )

    async def _ask(self, upstream: Upstream, question: Question, faults: dict[str, str]) -> Reply | None:
        """One upstream's answer, by whichever way it takes; a cut answer is thrown away.

        What is wrong so far stands in faults, also when the budget ends it.
        """
        edns, tcp = upstream.edns, False
        for _ in range(3):  # FORMERR and TC lead to one more try each
            sent = put(question, self._random, edns)
            wait, begun = self.upstreams.wait(upstream), trio.current_time()
            reply: Reply | None = None
            way = "truncated, and TCP: " if tcp else ""
            faults[upstream.name] = f"{way}no answer within {wait:.2f} s"
            upstream.asked += 1
            self.queries += 1
            with trio.move_on_after(wait * (2 if tcp else 1)):
                try:
                    reply = await (self._tcp if tcp else self._udp)(upstream, sent)
                except (OSError, trio.BrokenResourceError, EOFError) as wrong:
                    faults[upstream.name] = way + (str(wrong) or type(wrong).__name__)
            if reply is None:
                self.upstreams.failed(upstream, time.time())
                return None
            faults[upstream.name] = way + reply.why
            self.upstreams.answered(upstream, trio.current_time() - begun)
            if reply.says is Says.FORMERR and edns:
                upstream.edns = edns = False
            elif reply.says is Says.CUT or reply.says is Says.NOT_OURS:
                tcp = True
            else:
                return reply
        return None

    async def _udp(self, upstream: Upstream, sent: Sent) -> Reply:
        """One datagram and its answer. The socket is new, so its port is, and hears this upstream alone."""
        kind = trio.socket.SOCK_DGRAM
        with trio.socket.socket(family_of(upstream.endpoint), kind) as sock:
            await sock.connect(upstream.endpoint)
            await sock.send(sent.wire)
            reply = Reply(Says.NOT_OURS)
            for _ in range(NOISE):
                reply = read(await sock.recv(65_535), sent, tcp=False)
                if reply.says is not Says.NOT_OURS:
                    break
            return reply

    async def _tcp(self, upstream: Upstream, sent: Sent) -> Reply:
        """The same over TCP, where an answer stands behind its length."""
        stream = await connect(upstream.endpoint)
        async with stream:
            wire: bytes = sent.wire
            await stream.send_all(len(wire).to_bytes(2, "big") + wire)
            buffer = bytearray()
            while len(buffer) < 2 or len(buffer) < 2 + int.from_bytes(buffer[:2], "big"):
                data = await stream.receive_some(65_537)
                if not data:
                    raise EOFError("ended in the middle of an answer")
                buffer += data
            end = 2 + int.from_bytes(buffer[:2], "big")
            reply = read(bytes(buffer[2:end]), sent, tcp=True)
        return reply if reply.says is not Says.NOT_OURS else Reply(Says.LAME, why=reply.why)


def _found(retained: CachedAnswer, why: str = "") -> Found:
    reply = retained.reply
    return Found(
        reply.targets,
        reply.addresses,
        tuple(sorted(reply.beside.items())),
        retained.until,
        retained.upstream,
        bool(why),
        why,
    )
