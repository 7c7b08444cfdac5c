"""Cache of DNS answers. While no upstream answers, expired answers are served stale (RFC 8767). Pure."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from brackenlane.discovery.query import Question, Reply, ReplyKind


@dataclass(frozen=True, slots=True)
class Lifetimes:
    """Limits of cache lifetimes in seconds, and of the cache size in entries."""

    min_ttl: float = 0.5  # minimum lifetime; a shorter TTL is raised to it
    max_ttl: float = 300.0  # maximum lifetime of positive answers
    max_negative_ttl: float = 30.0  # maximum lifetime of negative answers (no such name, no such record)
    failure_ttl: float = 1.0  # how long a question is not sent again after all upstreams failed
    max_stale_age: float = 3_600.0  # how long an expired answer may be used while all upstreams fail
    max_entries: int = 20_000  # maximum number of questions; the least recently used one is evicted


@dataclass(frozen=True, slots=True)
class CachedAnswer:
    """One cached answer. Times are Unix seconds."""

    reply: Reply
    upstream: str
    received_at: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class CachedFailure:
    """The failure of all upstreams to answer a question, which is not sent again before `expires_at`."""

    expires_at: float
    reason: str


class AnswerCache:
    """LRU caches of answers and of failures, both limited to `Lifetimes.max_entries`."""

    def __init__(self, lifetimes: Lifetimes) -> None:
        self._lifetimes = lifetimes
        self._answers: OrderedDict[Question, CachedAnswer] = OrderedDict()
        self._failures: OrderedDict[Question, CachedFailure] = OrderedDict()

    def __len__(self) -> int:
        return len(self._answers)

    def put(self, question: Question, reply: Reply, upstream: str, now: float) -> None:
        """Cache an answer, with its TTL clamped to the configured limits."""
        is_negative = reply.kind is ReplyKind.NEGATIVE
        ceiling = self._lifetimes.max_negative_ttl if is_negative else self._lifetimes.max_ttl
        lifetime = min(ceiling, max(self._lifetimes.min_ttl, reply.ttl))
        self._answers[question] = CachedAnswer(reply, upstream, now, now + lifetime)
        self._answers.move_to_end(question)
        self._failures.pop(question, None)
        while len(self._answers) > self._lifetimes.max_entries:
            self._answers.popitem(last=False)

    def get_fresh(self, question: Question, now: float) -> CachedAnswer | None:
        """Return an unexpired answer; one received in the future (the clock was set back) does not count."""
        answer = self._answers.get(question)
        if answer is None or not answer.received_at <= now < answer.expires_at:
            return None
        self._answers.move_to_end(question)
        return answer

    def get_stale(self, question: Question, now: float) -> CachedAnswer | None:
        """Return a positive answer within its lifetime or at most `Lifetimes.max_stale_age` past it."""
        answer = self._answers.get(question)
        if answer is None or answer.reply.kind is ReplyKind.NEGATIVE:
            return None
        if now - answer.expires_at > self._lifetimes.max_stale_age:
            return None
        return answer

    def expire(self, question: Question, now: float) -> None:
        """Expire an answer that turned out to be wrong; it can still be served stale."""
        if answer := self._answers.get(question):
            self._answers[question] = replace(answer, expires_at=min(answer.expires_at, now))

    def put_failure(self, question: Question, reason: str, now: float) -> None:
        """Cache the failure of all upstreams to answer a question."""
        self._failures[question] = CachedFailure(now + self._lifetimes.failure_ttl, reason)
        self._failures.move_to_end(question)
        while len(self._failures) > self._lifetimes.max_entries:
            self._failures.popitem(last=False)

    def failure_reason(self, question: Question, now: float) -> str:
        """Return the reason of an unexpired failure; an empty string if the question may be sent."""
        failure = self._failures.get(question)
        if failure is None or now >= failure.expires_at:
            return ""
        return failure.reason
