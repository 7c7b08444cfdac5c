"""Cache of DNS answers: by their lifetimes, and past them while no upstream answers (RFC 8767). Pure."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from brackenlane.discovery.query import Question, Reply, ReplyKind


@dataclass(frozen=True, slots=True)
class Lifetimes:
    """Bounds of lifetimes in seconds, and of the cache in entries."""

    floor: float = 0.5  # the shortest lifetime, whatever the answer gives
    ceiling: float = 300.0  # the longest lifetime
    negative: float = 30.0  # the longest lifetime of "no such name" and "no such record"
    failure: float = 1.0  # for which a question is not asked again after all upstreams failed
    stale: float = 3_600.0  # past its lifetime, for which an answer is used while all upstreams fail
    entries: int = 20_000  # questions; the least recently used one is dropped first


@dataclass(frozen=True, slots=True)
class CachedAnswer:
    """One cached answer; times are Unix seconds."""

    reply: Reply
    upstream: str
    received_at: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class CachedFailure:
    """Why no upstream answered a question, and until when it is not asked again."""

    expires_at: float
    reason: str


class AnswerCache:
    """Bounded caches of answers and of failures; the least recently used entry is dropped first."""

    def __init__(self, lifetimes: Lifetimes) -> None:
        self._lifetimes = lifetimes
        self._answers: OrderedDict[Question, CachedAnswer] = OrderedDict()
        self._failures: OrderedDict[Question, CachedFailure] = OrderedDict()

    def __len__(self) -> int:
        return len(self._answers)

    def put(self, question: Question, reply: Reply, upstream: str, now: float) -> None:
        """Cache an answer, its lifetime held between floor and ceiling."""
        is_negative = reply.kind is ReplyKind.NONE
        ceiling = self._lifetimes.negative if is_negative else self._lifetimes.ceiling
        lifetime = min(ceiling, max(self._lifetimes.floor, reply.ttl))
        self._answers[question] = CachedAnswer(reply, upstream, now, now + lifetime)
        self._answers.move_to_end(question)
        self._failures.pop(question, None)
        while len(self._answers) > self._lifetimes.entries:
            self._answers.popitem(last=False)

    def fresh(self, question: Question, now: float) -> CachedAnswer | None:
        """Return an answer within its lifetime; none from the future, after the clock went back."""
        answer = self._answers.get(question)
        if answer is None or not answer.received_at <= now < answer.expires_at:
            return None
        self._answers.move_to_end(question)
        return answer

    def stale(self, question: Question, now: float) -> CachedAnswer | None:
        """Return an answer that may be used while no upstream gives a newer one; never a negative one."""
        answer = self._answers.get(question)
        if answer is None or answer.reply.kind is ReplyKind.NONE:
            return None
        if now - answer.expires_at > self._lifetimes.stale:
            return None
        return answer

    def expire(self, question: Question, now: float) -> None:
        """End an answer's lifetime, since it proved wrong; it stays usable as a stale one."""
        if answer := self._answers.get(question):
            self._answers[question] = replace(answer, expires_at=min(answer.expires_at, now))

    def fail(self, question: Question, reason: str, now: float) -> None:
        """Cache that all upstreams failed to answer a question."""
        self._failures[question] = CachedFailure(now + self._lifetimes.failure, reason)
        self._failures.move_to_end(question)
        while len(self._failures) > self._lifetimes.entries:
            self._failures.popitem(last=False)

    def failure_reason(self, question: Question, now: float) -> str:
        """Return why a question is not asked now; empty if it may be."""
        failure = self._failures.get(question)
        if failure is None or now >= failure.expires_at:
            return ""
        return failure.reason
