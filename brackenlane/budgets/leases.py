"""Grants that are safe by time: what a holder may spend, and what whoever divides may give.

Pure. Store times are the store's clock, holder times the holder's monotonic clock, both in seconds. See
docs/design/budgets.md for why the sum holds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class Rule:
    """What both sides go by."""

    whole: int
    lease: float  # seconds for which a grant holds
    drift: float = 0.001  # bound on how far a monotonic clock's rate and the store's may differ


@dataclass(frozen=True, slots=True)
class Grant:
    """So much, until a store time; the number rises with each change of the amount."""

    amount: int
    number: int
    until: float


@dataclass(frozen=True, slots=True)
class Entry:
    """What the store keeps of one member (one incarnation of a router)."""

    now: Grant
    before: Grant | None = None  # a larger one that was not confirmed to be given up
    confirmed: int = 0  # the highest number that the holder has said it goes by


def committed(entry: Entry, at: float) -> int:
    """The most that this member may be spending at a store time."""
    amounts = [entry.now.amount] if entry.now.until > at else []
    if entry.before and entry.before.until > at and entry.confirmed < entry.now.number:
        amounts.append(entry.before.amount)
    return max(amounts, default=0)


def free(rule: Rule, entries: Mapping[str, Entry], at: float, but: str = "") -> int:
    """What is given to nobody else at a store time."""
    return rule.whole - sum(committed(entry, at) for name, entry in entries.items() if name != but)


def renew(
    rule: Rule, entries: Mapping[str, Entry], name: str, wanted: int, at: float, run: float
) -> Entry | None:
    """A member's entry from a store time on, as near to what is wanted as is free.

    run: for how many seconds the store has been running without a break; in a run younger than a lease
    nothing is given or grown, since what was given in writes that were lost may still be held. None: nothing
    to write.
    """
    entry = entries.get(name)
    if run <= rule.lease * (1 + rule.drift):
        return None
    capacity = free(rule, entries, at, but=name)
    amount = max(0, min(wanted, capacity))
    if entry is None or entry.now.until <= at and committed(entry, at) == 0:
        number = entry.now.number + 1 if entry else 1
        return Entry(Grant(amount, number, at + rule.lease), None, entry.confirmed if entry else 0)
    if amount == entry.now.amount and entry.now.until > at:
        return replace(entry, now=replace(entry.now, until=at + rule.lease))
    # What was given, the larger of what may still be held: it stays on the books until confirmed or over.
    held = committed(entry, at)
    until = max(g.until for g in (entry.now, entry.before) if g)
    before = Grant(held, entry.now.number, until) if held > amount else None
    return Entry(Grant(amount, entry.now.number + 1, at + rule.lease), before, entry.confirmed)


def confirm(entry: Entry, number: int) -> Entry:
    """The holder has said that it goes by a number; late and repeated words change nothing."""
    return replace(entry, confirmed=max(entry.confirmed, min(number, entry.now.number)))


@dataclass(frozen=True, slots=True)
class Held:
    """What a holder goes by."""

    amount: int = 0
    number: int = 0
    until: float = 0.0  # by its own clock


def hold(rule: Rule, held: Held, grant: Grant, left: float, requested: float) -> Held:
    """Take in an answer: a grant, the seconds it had left by the store's clock, and when we asked, by ours.

    An older answer than one taken in changes nothing.
    """
    until = requested + left * (1 - rule.drift)
    if grant.number < held.number or (grant.number == held.number and until <= held.until):
        return held
    return Held(grant.amount, grant.number, until)


def spendable(held: Held, now: float) -> int:
    """What may be spent now, judged as it is spent: who was stopped for a minute spends nothing."""
    return held.amount if now < held.until else 0
