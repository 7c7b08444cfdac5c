"""Leases on parts of a budget: the amounts that the store may grant and a holder may spend.

The functions have no side effects. Times of the store are by its clock, times of a holder by the holder's
monotonic clock, both in seconds. docs/design/budgets.md shows why the sum never exceeds the budget.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class LeasePolicy:
    """The parameters that the store and all holders share."""

    total: int  # the budget
    duration: float  # seconds for which a grant is valid
    drift: float = 0.001  # largest relative difference between the rates of a holder's and the store's clock


@dataclass(frozen=True, slots=True)
class Grant:
    """An amount granted until a time; each change of the amount increases the version (fencing token)."""

    amount: int
    version: int
    expires_at: float  # seconds, by the store's clock


@dataclass(frozen=True, slots=True)
class MemberEntry:
    """The store's record of one member, that is, of one incarnation of a router."""

    current: Grant
    previous: Grant | None = None  # a larger grant that the holder has not confirmed to have given up
    confirmed_version: int = 0  # highest version that the holder has confirmed to apply


@dataclass(frozen=True, slots=True)
class HeldLease:
    """The lease that a holder applies."""

    amount: int = 0
    version: int = 0
    expires_at: float = 0.0  # seconds, by the holder's clock


def committed_amount(entry: MemberEntry, now: float) -> int:
    """Return the largest amount that this member may be spending at a time by the store's clock."""
    amounts = []
    if entry.current.expires_at > now:
        amounts.append(entry.current.amount)
    previous = entry.previous
    if previous and previous.expires_at > now and entry.confirmed_version < entry.current.version:
        amounts.append(previous.amount)
    return max(amounts, default=0)


def available_amount(policy: LeasePolicy, entries: Mapping[str, MemberEntry], name: str, now: float) -> int:
    """Return the part of the total that is not committed to members other than the named one."""
    others = (committed_amount(entry, now) for other, entry in entries.items() if other != name)
    return policy.total - sum(others)


def renew(
    policy: LeasePolicy,
    entries: Mapping[str, MemberEntry],
    name: str,
    wanted: int,
    now: float,
    uptime: float,
) -> MemberEntry | None:
    """Return a member's entry with a grant of the wanted amount, or of what is available if that is less.

    now: time by the store's clock. uptime: seconds for which the store has been running without a break. None
    if these are fewer than a lease lasts: the store may have lost writes whose grants are still held.
    """
    if uptime <= policy.duration * (1 + policy.drift):
        return None
    amount = max(0, min(wanted, available_amount(policy, entries, name, now)))
    expires_at = now + policy.duration
    entry = entries.get(name)
    if entry is None:
        return MemberEntry(Grant(amount, 1, expires_at))
    current = entry.current
    next_grant = Grant(amount, current.version + 1, expires_at)
    held = committed_amount(entry, now)
    if current.expires_at <= now and held == 0:
        return MemberEntry(next_grant, None, entry.confirmed_version)
    if amount == current.amount and current.expires_at > now:
        return replace(entry, current=replace(current, expires_at=expires_at))
    # A larger amount that may still be held remains committed until the new grant is confirmed or it expires.
    previous = Grant(held, current.version, _latest_expiry(entry)) if held > amount else None
    return MemberEntry(next_grant, previous, entry.confirmed_version)


def _latest_expiry(entry: MemberEntry) -> float:
    if entry.previous is None:
        return entry.current.expires_at
    return max(entry.current.expires_at, entry.previous.expires_at)


def confirm(entry: MemberEntry, version: int) -> MemberEntry:
    """Record that the holder applies a version; delayed and repeated confirmations have no effect."""
    confirmed = min(version, entry.current.version)
    return replace(entry, confirmed_version=max(entry.confirmed_version, confirmed))


def accept_grant(
    policy: LeasePolicy, held: HeldLease, grant: Grant, remaining: float, requested_at: float
) -> HeldLease:
    """Return the holder's lease after an answer; an answer older than one already applied has no effect.

    remaining: seconds that the grant had left by the store's clock when the store answered. requested_at:
    time by the holder's clock at which the request was sent. The lease is counted from then,
    which is before the answer, so that it ends no later than the grant.
    """
    expires_at = requested_at + remaining * (1 - policy.drift)
    is_same_version = grant.version == held.version
    if grant.version < held.version or (is_same_version and expires_at <= held.expires_at):
        return held
    return HeldLease(grant.amount, grant.version, expires_at)


def spendable_amount(held: HeldLease, now: float) -> int:
    """Return the amount that may be spent now; 0 once the lease has expired.

    Must be called before each spend, not once for a series: the process may be suspended between two of them.
    """
    return held.amount if now < held.expires_at else 0
