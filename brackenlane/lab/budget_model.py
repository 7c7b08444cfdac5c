"""Model of a fleet that shares a budget, built on the real functions of `budgets.leases`.

Answers of the store are delayed or lost, stopped processes resume with their old leases, the store loses
writes, and clocks run fast or slow.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace

from brackenlane.budgets import leases
from brackenlane.budgets.leases import Grant, HeldLease, LeasePolicy, MemberEntry


@dataclass(frozen=True, slots=True)
class AnswerInTransit:
    """An answer of the store that has not reached its member yet."""

    grant: Grant
    remaining: float
    requested_at: float


@dataclass(frozen=True, slots=True)
class Member:
    """One router."""

    incarnation: int = 0
    held: HeldLease = HeldLease()
    pending_answer: AnswerInTransit | None = None  # a new query replaces it, as if it were lost


@dataclass(frozen=True, slots=True)
class World:
    """One state of the model."""

    now: int  # time of the store's clock
    store_started_at: int  # time of the store's last start
    entries: tuple[tuple[str, MemberEntry], ...]
    persisted: tuple[tuple[str, MemberEntry], ...]  # entries at the last tick, which survive a loss of writes
    members: tuple[Member, ...]
    # Member and lease of each earlier incarnation, which was only suspended and goes on using its lease.
    stale_leases: tuple[tuple[int, HeldLease], ...] = ()
    crashes: int = 0
    losses: int = 0


@dataclass(frozen=True, slots=True)
class Model:
    """Size of the model, and the fault that is injected into the protocol."""

    policy: LeasePolicy
    members: int = 3
    end_time: int = 8  # end of the model, in time of the store
    crashes: int = 1
    losses: int = 1
    rates: tuple[float, ...] = (1.0, 1.0, 1.0)  # rates of the members' clocks, relative to the store's
    fault: str = ""

    def initial_world(self) -> World:
        """Return the initial state: no leases, and a store that was started long ago."""
        return World(0, -100, (), (), tuple(Member() for _ in range(self.members)))

    def clock(self, n: int, now: float) -> float:
        """Return the time of a member's clock at a time of the store."""
        return now * self.rates[n]

    def within_budget(self, world: World) -> bool:
        """Whether spendable amounts stay within the budget, now and just before the next tick."""
        leases_in_use = [*enumerate(m.held for m in world.members), *world.stale_leases]
        return all(
            sum(leases.spendable_amount(held, self.clock(n, now)) for n, held in leases_in_use)
            <= self.policy.total
            for now in (world.now, world.now + 0.999)
        )

    def successors(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield the name and the resulting state of every possible step."""
        entries = dict(world.entries)
        if world.now < self.end_time:
            yield "time passes", replace(world, now=world.now + 1, persisted=world.entries)
        for n, member in enumerate(world.members):
            name = f"{n}.{member.incarnation}"
            for wanted in (0, self.policy.total):
                entry = self._renew(entries, name, wanted, world)
                if entry and entry != entries.get(name):
                    yield (
                        f"{n} is given {entry.current.amount}",
                        replace(world, entries=_put(entries, name, entry)),
                    )
            if (own_entry := entries.get(name)) and own_entry.current.expires_at > world.now:
                pending_answer = AnswerInTransit(
                    own_entry.current, own_entry.current.expires_at - world.now, self.clock(n, world.now)
                )
                yield f"{n} asks", self._with(world, n, replace(member, pending_answer=pending_answer))
                if member.held.version > own_entry.confirmed_version:
                    yield (
                        f"the store hears that {n} goes by {member.held.version}",
                        replace(
                            world, entries=_put(entries, name, leases.confirm(own_entry, member.held.version))
                        ),
                    )
            if answer := member.pending_answer:
                requested_at = (
                    self.clock(n, world.now)
                    if self.fault == "expiry from the answer"
                    else answer.requested_at
                )
                held = leases.accept_grant(
                    self.policy, member.held, answer.grant, answer.remaining, requested_at
                )
                yield (
                    f"{n} takes in {answer.grant.amount}",
                    self._with(world, n, replace(member, held=held, pending_answer=None)),
                )
            if world.crashes < self.crashes and member != Member():
                after = replace(
                    self._with(world, n, Member(member.incarnation + 1)),
                    crashes=world.crashes + 1,
                    stale_leases=(*world.stale_leases, (n, member.held)),
                )
                if self.fault == "inheriting over incarnations" and name in entries:
                    inherited = {**entries, f"{n}.{member.incarnation + 1}": entries[name]}
                    del inherited[name]
                    after = replace(after, entries=tuple(sorted(inherited.items(), key=lambda item: item[0])))
                yield f"{n} starts anew, its old life goes on unseen", after
        if world.losses < self.losses:
            for restored in {world.persisted, ()} - {world.entries}:
                yield (
                    f"the store comes back with {len(restored)} entries",
                    replace(world, entries=restored, store_started_at=world.now, losses=world.losses + 1),
                )

    def _renew(
        self, entries: Mapping[str, MemberEntry], name: str, wanted: int, world: World
    ) -> MemberEntry | None:
        store_uptime = (
            1e9 if self.fault == "no wait after a loss" else float(world.now - world.store_started_at)
        )
        if self.fault == "giving before confirmation":
            entries = {who: replace(entry, previous=None) for who, entry in entries.items()}
        return leases.renew(self.policy, entries, name, wanted, world.now, store_uptime)

    @staticmethod
    def _with(world: World, n: int, member: Member) -> World:
        return replace(world, members=(*world.members[:n], member, *world.members[n + 1 :]))


def _put(
    entries: Mapping[str, MemberEntry], name: str, entry: MemberEntry
) -> tuple[tuple[str, MemberEntry], ...]:
    return tuple(sorted({**entries, name: entry}.items(), key=lambda item: item[0]))
