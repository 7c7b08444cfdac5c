"""Answers by their lifetimes; past them, while nobody answers, up to a stated age (RFC 8767). Pure."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from brackenlane.discovery.query import Question, Reply, Says


@dataclass(frozen=True, slots=True)
class Lifetimes:
    """Seconds, and entries."""

    floor: float = 0.5  # no answer is asked for more often, whatever lifetime it gives
    ceiling: float = 300.0  # nor less often
    negative: float = 30.0  # the longest for which "none" is kept
    failure: float = 1.0  # for which nobody is asked again after all have failed
    stale: float = 3_600.0  # past its lifetime, for which an answer is used while all fail
    entries: int = 20_000  # questions remembered; what was used longest ago goes first


@dataclass(frozen=True, slots=True)
class CachedAnswer:
    """One answer as it was kept."""

    reply: Reply
    upstream: str
    at: float
    until: float


class Cache:
    """Bounded; what was used longest ago goes first."""

    def __init__(self, lifetimes: Lifetimes) -> None:
        self._lifetimes = lifetimes
        self._kept: OrderedDict[Question, CachedAnswer] = OrderedDict()
        self._failed: OrderedDict[Question, tuple[float, str]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._kept)

    def put(self, question: Question, reply: Reply, upstream: str, now: float) -> CachedAnswer:
        """Keep an answer; its lifetime is held between floor and ceiling."""
        most = self._lifetimes.negative if reply.says is Says.NONE else self._lifetimes.ceiling
        retained = CachedAnswer(reply, upstream, now, now + min(most, max(self._lifetimes.floor, reply.ttl)))
        self._kept[question] = retained
        self._kept.move_to_end(question)
        self._failed.pop(question, None)
        while len(self._kept) > self._lifetimes.entries:
            self._kept.popitem(last=False)
        return retained

    def fresh(self, question: Question, now: float) -> CachedAnswer | None:
        """An answer within its lifetime."""
        retained = self._kept.get(question)
        if retained is None or not retained.at <= now < retained.until:
            return None
        self._kept.move_to_end(question)
        return retained

    def stale(self, question: Question, now: float) -> CachedAnswer | None:
        """An answer past its lifetime that will do while nobody gives a better one; never a "none"."""
        retained = self._kept.get(question)
        if (
            retained is None
            or retained.reply.says is Says.NONE
            or now - retained.until > self._lifetimes.stale
        ):
            return None
        return retained

    def expire(self, question: Question, now: float) -> None:
        """What is kept has been found wanting: ask anew, but keep it in case nobody answers."""
        if retained := self._kept.get(question):
            self._kept[question] = replace(retained, until=min(retained.until, now))

    def fail(self, question: Question, why: str, now: float) -> None:
        """All have failed at a question: for a moment it is not put again."""
        self._failed[question] = now + self._lifetimes.failure, why
        self._failed.move_to_end(question)
        while len(self._failed) > self._lifetimes.entries:
            self._failed.popitem(last=False)

    def failing(self, question: Question, now: float) -> str:
        """Why a question is not put now; empty if it may be."""
        until, why = self._failed.get(question, (0.0, ""))
        return why if now < until else ""
