"""Leases on parts of a budget: what a holder may spend, and what the store may grant.

Pure. Times of the store are by the store's clock, times of a holder by its own monotonic clock, both in
seconds. docs/design/budgets.md shows why the sum never exceeds the budget.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class LeasePolicy:
    """The figures that both sides go by."""

    total: int
    duration: float  # seconds for which a grant holds
    drift: float = 0.001  # bound on how far the rates of a monotonic clock and the store's may differ


@dataclass(frozen=True, slots=True)
class Grant:
    """An amount until a store time. The version rises with each change of the amount (fencing)."""

    amount: int
    version: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class MemberEntry:
    """What the store keeps of one member (one incarnation of a router)."""

    current: Grant
    previous: Grant | None = None  # a larger one, not confirmed to be given up
    confirmed_version: int = 0  # the highest version that the holder has confirmed to go by


@dataclass(frozen=True, slots=True)
class HeldLease:
    """What a holder goes by; the expiry is by its own clock."""

    amount: int = 0
    version: int = 0
    expires_at: float = 0.0


def committed_amount(entry: MemberEntry, now: float) -> int:
    """Return the most that this member may be spending at a store time."""
    amounts = []
    if entry.current.expires_at > now:
        amounts.append(entry.current.amount)
    previous = entry.previous
    if previous and previous.expires_at > now and entry.confirmed_version < entry.current.version:
        amounts.append(previous.amount)
    return max(amounts, default=0)


def available_amount(policy: LeasePolicy, entries: Mapping[str, MemberEntry], name: str, now: float) -> int:
    """Return what is committed to no other member than the named one at a store time."""
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
    """Return a member's entry from a store time on, as near to the wanted amount as is available.

    uptime: seconds for which the store has been running without a break. While it is shorter than a lease
    nothing is granted: grants in writes that were lost may still be held. None: nothing to write.
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
    # The larger amount that may still be held counts as committed until it is confirmed or has expired.
    previous = Grant(held, current.version, _latest_expiry(entry)) if held > amount else None
    return MemberEntry(next_grant, previous, entry.confirmed_version)


def _latest_expiry(entry: MemberEntry) -> float:
    if entry.previous is None:
        return entry.current.expires_at
    return max(entry.current.expires_at, entry.previous.expires_at)


def confirm(entry: MemberEntry, version: int) -> MemberEntry:
    """Record that the holder goes by a version; late and repeated confirmations change nothing."""
    confirmed = min(version, entry.current.version)
    return replace(entry, confirmed_version=max(entry.confirmed_version, confirmed))


def accept_grant(
    policy: LeasePolicy, held: HeldLease, grant: Grant, remaining: float, requested_at: float
) -> HeldLease:
    """Return what the holder goes by after an answer; one older than an answer already taken changes nothing.

    remaining: seconds that the grant had left by the store's clock. requested_at: when the request was sent,
    by the holder's clock; counting from then errs on the safe side.
    """
    expires_at = requested_at + remaining * (1 - policy.drift)
    is_same_version = grant.version == held.version
    if grant.version < held.version or (is_same_version and expires_at <= held.expires_at):
        return held
    return HeldLease(grant.amount, grant.version, expires_at)


def spendable_amount(held: HeldLease, now: float) -> int:
    """Return what may be spent now; 0 once the lease has expired.

    To be called at each spend, not once for a series: the process may be stopped between two of them.
    """
    return held.amount if now < held.expires_at else 0
