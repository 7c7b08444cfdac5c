"""The stub resolver: sends queries to the site's upstream resolvers and caches their answers.

An actor. Concurrent callers with the same question share one look-up, whose total time is limited.
"""

from __future__ import annotations

import contextlib
import logging
import random
from collections.abc import Iterable
from dataclasses import dataclass

import trio

from brackenlane.clock import steady_time
from brackenlane.config import Endpoint
from brackenlane.discovery.dns_cache import AnswerCache, CachedAnswer, Lifetimes
from brackenlane.discovery.dns_transport import query_tcp, query_udp
from brackenlane.discovery.errors import DiscoveryError, IncompleteReplyError, InvalidNameError
from brackenlane.discovery.query import (
    MAX_ALIASES,
    Question,
    RecordType,
    Reply,
    ReplyKind,
    SentQuery,
    encode_query,
    make_question,
)
from brackenlane.discovery.records import SrvRecord
from brackenlane.discovery.upstreams import Upstream, Upstreams, UpstreamTimeouts

log = logging.getLogger(__name__)

QUERY_ROUNDS = 2  # passes over all upstreams in one look-up
MAX_QUERIES_PER_UPSTREAM = 3  # in one round: the first, one without EDNS, one over TCP
TCP_TIMEOUT_FACTOR = 2  # opening the connection takes one more round trip


class LookUpFailedError(DiscoveryError):
    """A look-up without an answer from an upstream or a usable one in the cache."""


@dataclass(frozen=True, slots=True)
class LookUpResult:
    """The answer to a question; neither targets nor addresses: the name has no such records."""

    targets: tuple[SrvRecord, ...] = ()
    addresses: tuple[str, ...] = ()
    additional: tuple[tuple[str, tuple[str, ...]], ...] = ()  # in-bailiwick addresses by target
    expires_at: float = 0.0  # Unix time
    upstream: str = ""
    is_stale: bool = False  # served from the cache although expired, since no upstream answers
    stale_reason: str = ""  # why no upstream answers


@dataclass(slots=True, eq=False)
class PendingLookUp:
    """One look-up in flight."""

    done: trio.Event
    error: str = ""  # why the look-up failed; empty on success


class Resolver:
    """Resolves names through upstream resolvers; serves stale answers while none of them responds."""

    def __init__(
        self,
        upstreams: Iterable[Endpoint],
        nursery: trio.Nursery,
        *,
        budget: float = 3.0,
        lifetimes: Lifetimes | None = None,
        timeouts: UpstreamTimeouts | None = None,
        max_look_ups: int = 256,
        rng: random.Random | None = None,
    ) -> None:
        """`budget`: seconds for one look-up; `max_look_ups`: how many run at once, each with one socket."""
        self.upstreams = Upstreams(upstreams, timeouts or UpstreamTimeouts())
        self.cache = AnswerCache(lifetimes or Lifetimes())
        self._nursery = nursery
        self._budget = budget
        self._look_up_limiter = trio.CapacityLimiter(max_look_ups)
        self._random = rng or random.SystemRandom()
        self._pending: dict[Question, PendingLookUp] = {}

    async def look_up(self, name: str, kind: RecordType) -> LookUpResult:
        """Return the records of a name, with aliases followed. Raises LookUpFailedError without an answer."""
        try:
            question = make_question(name, kind)
        except InvalidNameError as invalid:
            raise LookUpFailedError(str(invalid)) from invalid
        for _ in range(MAX_ALIASES):
            answer, error = await self._answer(question)
            if not answer.reply.alias:
                return _result(answer, error)
            question = Question(answer.reply.alias, kind)
        raise LookUpFailedError(f"{name}: a loop of aliases, or too many")

    async def addresses(self, name: str) -> LookUpResult:
        """Return the IPv4 addresses of a name, or its IPv6 addresses if it has no IPv4 ones."""
        ipv4 = await self.look_up(name, RecordType.A)
        return ipv4 if ipv4.addresses else await self.look_up(name, RecordType.AAAA)

    def expire_addresses(self, name: str) -> None:
        """Expire the cached addresses of a name, which turned out to be wrong; they are queried again."""
        for kind in (RecordType.A, RecordType.AAAA):
            with contextlib.suppress(InvalidNameError):  # a name that cannot be looked up has no answers
                self.cache.expire(make_question(name, kind), steady_time())

    async def _answer(self, question: Question) -> tuple[CachedAnswer, str]:
        """Return the answer to one question, and the error if it is a stale one. Does not follow aliases."""
        now = steady_time()
        if answer := self.cache.get_fresh(question, now):
            return answer, ""
        if error := self.cache.failure_reason(question, now):
            return self._stale_answer(question, error, now), error
        pending = self._pending.get(question)
        if pending is None:
            pending = self._pending[question] = PendingLookUp(trio.Event())
            # The look-up runs in the resolver's nursery: a cancelled caller does not end it for the others.
            self._nursery.start_soon(self._run_pending, question, pending)
        await pending.done.wait()
        now = steady_time()
        if answer := self.cache.get_fresh(question, now):
            return answer, ""
        error = pending.error or "no answer"
        return self._stale_answer(question, error, now), error

    def _stale_answer(self, question: Question, error: str, now: float) -> CachedAnswer:
        if answer := self.cache.get_stale(question, now):
            return answer
        raise LookUpFailedError(f"{question.name} {question.kind.name}: {error}")

    async def _run_pending(self, question: Question, pending: PendingLookUp) -> None:
        try:
            async with self._look_up_limiter:
                pending.error = await self._query_upstreams(question)
        except Exception as error:  # a failure of one look-up must not end the others or the program
            log.exception("look-up of %s %s failed unexpectedly", question.name, question.kind.name)
            pending.error = f"unexpected error: {type(error).__name__}"
        finally:
            del self._pending[question]
            if pending.error:
                self.cache.put_failure(question, pending.error, steady_time())
            pending.done.set()

    async def _query_upstreams(self, question: Question) -> str:
        """Query the upstreams in turn; return the errors if all fail, an empty string if one answers."""
        errors: dict[str, str] = {}
        with trio.move_on_after(self._budget):
            for _ in range(QUERY_ROUNDS):
                for upstream in self.upstreams.order(steady_time()):
                    reply = await self._query_upstream(upstream, question, errors)
                    if reply and reply.kind in (ReplyKind.FOUND, ReplyKind.NEGATIVE):
                        self._cache_reply(question, reply, upstream.name)
                        return ""
        return "; ".join(f"{name}: {error}" for name, error in errors.items()) or "no upstream in time"

    def _cache_reply(self, question: Question, reply: Reply, upstream: str) -> None:
        """Cache a reply and its additional IPv4 addresses, which saves one query per target."""
        now = steady_time()
        self.cache.put(question, reply, upstream, now)
        for host, addresses in reply.additional.items():
            ipv4 = tuple(address for address in addresses if ":" not in address)
            if ipv4:
                found = Reply(ReplyKind.FOUND, addresses=ipv4, ttl=reply.ttl)
                self.cache.put(Question(host, RecordType.A), found, upstream, now)

    async def _query_upstream(
        self, upstream: Upstream, question: Question, errors: dict[str, str]
    ) -> Reply | None:
        """Query one upstream, with fallbacks to no EDNS and to TCP; return None without a usable reply.

        `errors` always holds the latest error, since the look-up's time limit may cancel this at any await.
        """
        edns = upstream.edns
        is_tcp = False
        for _ in range(MAX_QUERIES_PER_UPSTREAM):
            query = encode_query(question, self._random, edns)
            reply = await self._send_query(upstream, query, is_tcp, errors)
            if reply is None:
                return None
            if reply.kind is ReplyKind.FORMERR and edns:
                edns = False
                upstream.edns = False
            elif reply.kind in (ReplyKind.TRUNCATED, ReplyKind.MISMATCH):
                is_tcp = True
            else:
                return reply
        return None

    async def _send_query(
        self, upstream: Upstream, query: SentQuery, is_tcp: bool, errors: dict[str, str]
    ) -> Reply | None:
        """Send one query and record the upstream's response time; return None if there is no timely reply."""
        timeout = self.upstreams.timeout(upstream)
        started = trio.current_time()
        prefix = "truncated, and TCP: " if is_tcp else ""
        errors[upstream.name] = f"{prefix}no answer within {timeout:.2f} s"
        upstream.query_count += 1
        reply: Reply | None = None
        with trio.move_on_after(timeout * TCP_TIMEOUT_FACTOR if is_tcp else timeout):
            try:
                send = query_tcp if is_tcp else query_udp
                reply = await send(upstream.endpoint, query)
            except (OSError, trio.BrokenResourceError, IncompleteReplyError) as error:
                errors[upstream.name] = prefix + (str(error) or type(error).__name__)
        if reply is None:
            self.upstreams.record_failure(upstream, steady_time())
            return None
        errors[upstream.name] = prefix + reply.reason
        self.upstreams.record_answer(upstream, trio.current_time() - started)
        return reply


def _result(answer: CachedAnswer, error: str) -> LookUpResult:
    reply = answer.reply
    return LookUpResult(
        reply.targets,
        reply.addresses,
        tuple(sorted(reply.additional.items())),
        answer.expires_at,
        answer.upstream,
        bool(error),
        error,
    )
