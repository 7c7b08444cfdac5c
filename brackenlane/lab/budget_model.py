"""A fleet with a budget, driven through the real functions of `budgets.leases`.

Answers are late and lost, earlier lives go on unseen, the store loses writes, clocks run fast and slow.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace

from brackenlane.budgets import leases
from brackenlane.budgets.leases import Grant, HeldLease, LeasePolicy, MemberEntry


@dataclass(frozen=True, slots=True)
class Flight:
    """An answer of the store on its way to a member."""

    grant: Grant
    left: float
    requested: float


@dataclass(frozen=True, slots=True)
class Member:
    """One router."""

    life: int = 0  # incarnation
    held: HeldLease = HeldLease()
    flight: Flight | None = None  # an older one that another question replaced was lost


@dataclass(frozen=True, slots=True)
class World:
    """All of it, at one time of the store's clock."""

    at: int
    run: int  # when the store's present run began
    entries: tuple[tuple[str, MemberEntry], ...]
    saved: tuple[tuple[str, MemberEntry], ...]  # what it would come back with: what it had at the last tick
    members: tuple[Member, ...]
    ghosts: tuple[tuple[int, HeldLease], ...] = ()  # earlier lives that were only stopped, and wake
    crashes: int = 0
    losses: int = 0


@dataclass(frozen=True, slots=True)
class Model:
    """How large, and which fault is planted."""

    rule: LeasePolicy
    members: int = 3
    until: int = 8  # store time
    crashes: int = 1
    losses: int = 1
    rates: tuple[float, ...] = (1.0, 1.0, 1.0)  # of the members' clocks, by the store's
    fault: str = ""

    def first(self) -> World:
        """Nobody has anything; the store has been running for long."""
        return World(0, -100, (), (), tuple(Member() for _ in range(self.members)))

    def clock(self, n: int, at: float) -> float:
        """A member's own clock."""
        return at * self.rates[n]

    def holds(self, world: World) -> bool:
        """Never is more spent than the whole, at this moment or just before the next."""
        alive = [*enumerate(m.held for m in world.members), *world.ghosts]
        return all(
            sum(leases.spendable_amount(held, self.clock(n, at)) for n, held in alive) <= self.rule.total
            for at in (world.at, world.at + 0.999)
        )

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Whatever may happen next."""
        entries = dict(world.entries)
        if world.at < self.until:
            yield "time passes", replace(world, at=world.at + 1, saved=world.entries)
        for n, member in enumerate(world.members):
            name = f"{n}.{member.life}"
            for wanted in (0, self.rule.total):
                entry = self._renew(entries, name, wanted, world)
                if entry and entry != entries.get(name):
                    yield (
                        f"{n} is given {entry.current.amount}",
                        replace(world, entries=_put(entries, name, entry)),
                    )
            if (mine := entries.get(name)) and mine.current.expires_at > world.at:
                flight = Flight(mine.current, mine.current.expires_at - world.at, self.clock(n, world.at))
                yield f"{n} asks", self._with(world, n, replace(member, flight=flight))
                if member.held.version > mine.confirmed_version:
                    yield (
                        f"the store hears that {n} goes by {member.held.version}",
                        replace(
                            world, entries=_put(entries, name, leases.confirm(mine, member.held.version))
                        ),
                    )
            if f := member.flight:
                requested = self.clock(n, world.at) if self.fault == "expiry from the answer" else f.requested
                held = leases.accept_grant(self.rule, member.held, f.grant, f.left, requested)
                yield (
                    f"{n} takes in {f.grant.amount}",
                    self._with(world, n, replace(member, held=held, flight=None)),
                )
            if world.crashes < self.crashes and member != Member():
                after = replace(
                    self._with(world, n, Member(member.life + 1)),
                    crashes=world.crashes + 1,
                    ghosts=(*world.ghosts, (n, member.held)),
                )
                if self.fault == "inheriting over incarnations" and name in entries:
                    heir = {**entries, f"{n}.{member.life + 1}": entries[name]}
                    del heir[name]
                    after = replace(after, entries=tuple(sorted(heir.items(), key=lambda item: item[0])))
                yield f"{n} starts anew, its old life goes on unseen", after
        if world.losses < self.losses:
            for back in {world.saved, ()} - {world.entries}:
                yield (
                    f"the store comes back with {len(back)} entries",
                    replace(world, entries=back, run=world.at, losses=world.losses + 1),
                )

    def _renew(
        self, entries: Mapping[str, MemberEntry], name: str, wanted: int, world: World
    ) -> MemberEntry | None:
        run = 1e9 if self.fault == "no wait after a loss" else float(world.at - world.run)
        if self.fault == "giving before confirmation":
            entries = {who: replace(entry, previous=None) for who, entry in entries.items()}
        return leases.renew(self.rule, entries, name, wanted, world.at, run)

    @staticmethod
    def _with(world: World, n: int, member: Member) -> World:
        return replace(world, members=(*world.members[:n], member, *world.members[n + 1 :]))


def _put(
    entries: Mapping[str, MemberEntry], name: str, entry: MemberEntry
) -> tuple[tuple[str, MemberEntry], ...]:
    return tuple(sorted({**entries, name: entry}.items(), key=lambda item: item[0]))
