"""Budgets of the fleet: the division by its properties, the grants by every state of a small fleet."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackenlane.budgets.division import ShareRequest, damp_changes, divide
from brackenlane.budgets.leases import (
    Grant,
    HeldLease,
    LeasePolicy,
    MemberEntry,
    accept_grant,
    committed_amount,
    confirm,
    renew,
    spendable_amount,
)
from brackenlane.lab.budget_model import Model
from brackenlane.lab.model import explore

WANTS = st.dictionaries(
    st.text("abcdef", min_size=1, max_size=3),
    st.builds(ShareRequest, st.floats(0, 100), st.floats(0.1, 10), st.floats(0, 20)),
    max_size=12,
)


@given(st.floats(0, 300), WANTS, st.floats(0, 50))
def test_division(complete: float, wants: dict[str, ShareRequest], reserve: float) -> None:
    """Never over the whole, nobody over its demand, nothing left while one wants it, floors first, fair."""
    shares = divide(complete, wants, reserve)
    left = max(0.0, complete - reserve)
    eps = 1e-6 * (1 + complete)
    assert shares.keys() == wants.keys()
    assert sum(shares.values()) <= left + eps
    assert all(-eps <= shares[n] <= w.demand + eps for n, w in wants.items())
    hungry = [n for n, w in wants.items() if shares[n] < w.demand - eps]
    assert not hungry or sum(shares.values()) >= left - eps
    floors = {n: min(w.floor, w.demand) for n, w in wants.items()}
    if sum(floors.values()) <= left:
        assert all(shares[n] >= floors[n] - eps for n in wants)
        for n in hungry:  # who is left hungry is, beyond floors and by weight, behind nobody
            level = (shares[n] - floors[n]) / wants[n].weight
            assert all((shares[m] - floors[m]) / wants[m].weight <= level + eps for m in wants)
    names = list(wants)
    random.Random(1).shuffle(names)
    assert divide(complete, {n: wants[n] for n in names}, reserve) == pytest.approx(shares, abs=eps)


@given(st.floats(1, 300), WANTS, WANTS)
def test_small_changes_are_not_made(
    complete: float, before: dict[str, ShareRequest], after: dict[str, ShareRequest]
) -> None:
    """Kept shares never sum to more than the whole."""
    found = damp_changes(divide(complete, before), new := divide(complete, after), complete)
    assert found.keys() == new.keys()
    assert sum(found.values()) <= complete * (1 + 1e-6)


def test_uneven_demand() -> None:
    """One with eight times the mean: max-min gives what equal shares leave unused."""
    wants = {f"m{n}": ShareRequest(8.0 if n == 0 else 0.9) for n in range(100)}
    shares = divide(100.0, wants)
    assert shares["m0"] == pytest.approx(8.0)
    assert sum(shares.values()) == pytest.approx(8 + 99 * 0.9)
    assert sum(min(1.0, w.demand) for w in wants.values()) < sum(shares.values())
    wants["m1"] = ShareRequest(0.905)
    assert damp_changes(shares, divide(100.0, wants), 100.0) == shares


@pytest.mark.parametrize(("members", "depth"), [(2, 8), (3, 6)])
def test_leases_never_exceed_the_budget(members: int, depth: int) -> None:
    """Answers late and lost, lives that go on unseen, a store set back: every state to this depth."""
    model = Model(LeasePolicy(2, 3.0, 0.0), members)
    found = explore(model.first(), model.steps, model.holds, depth)
    assert found.complete
    assert not found.fault
    assert found.depth == depth


def test_clocks_off() -> None:
    """Clocks a tenth fast and slow, with that bound told: the same."""
    model = Model(LeasePolicy(2, 3.0, 0.1), 2, rates=(0.9, 1.1))
    found = explore(model.first(), model.steps, model.holds, 7)
    assert found.complete
    assert not found.fault


@pytest.mark.parametrize(
    "fault",
    [
        "expiry from the answer",
        "inheriting over incarnations",
        "giving before confirmation",
        "no wait after a loss",
    ],
)
def test_planted_faults(fault: str) -> None:
    """Each way to do it wrong is found, by the shortest steps that lead to it."""
    model = Model(LeasePolicy(2, 3.0, 0.0), 2, fault=fault)
    found = explore(model.first(), model.steps, model.holds, 9)
    assert found.fault, found


def test_clock_slower_than_assumed_is_found() -> None:
    """A holder whose clock is slower than the bound spends for too long: the model sees it."""
    model = Model(LeasePolicy(2, 3.0, 0.0), 2, until=4, rates=(0.7, 1.0), crashes=0, losses=0)
    assert explore(model.first(), model.steps, model.holds, 9).fault


def test_shares_move() -> None:
    """What one gives up is the other's once confirmed, or once it has run out."""
    rule = LeasePolicy(10, 3.0)
    a = renew(rule, {}, "a", 10, 0.0, 100.0)
    assert a == MemberEntry(Grant(10, 1, 3.0))
    a = renew(rule, {"a": a}, "a", 4, 1.0, 100.0)
    assert a
    assert committed_amount(a, 1.0) == 10
    assert committed_amount(a, 3.0) == 4
    b = renew(rule, {"a": a}, "b", 10, 1.0, 100.0)
    assert b
    assert b.current.amount == 0
    b = renew(rule, {"a": confirm(a, 2), "b": b}, "b", 10, 1.1, 100.0)
    assert b
    assert b.current.amount == 6
    assert renew(rule, {}, "c", 1, 1.0, uptime=2.9) is None  # a store that has run for less than a lease


def test_a_holder() -> None:
    """Counted from the question; an older answer changes nothing; at its end nothing may be spent."""
    rule = LeasePolicy(10, 3.0, 0.01)
    held = accept_grant(rule, HeldLease(), Grant(5, 2, 103.0), remaining=2.0, requested_at=50.0)
    assert held.expires_at == pytest.approx(51.98)
    assert spendable_amount(held, 51.97) == 5
    assert spendable_amount(held, 51.98) == 0
    assert accept_grant(rule, held, Grant(9, 1, 200.0), 100.0, 60.0) == held
    assert accept_grant(rule, held, Grant(5, 2, 104.0), 2.0, 51.0).expires_at == pytest.approx(52.98)
