"""Fleet-wide budgets: properties of the division, and leases in all reachable states of a small fleet."""

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

REQUESTS = st.dictionaries(
    st.text("abcdef", min_size=1, max_size=3),
    st.builds(ShareRequest, st.floats(0, 100), st.floats(0.1, 10), st.floats(0, 20)),
    max_size=12,
)


@given(st.floats(0, 300), REQUESTS, st.floats(0, 50))
def test_division_is_fair_and_uses_the_whole_budget(
    total: float, requests: dict[str, ShareRequest], reserve: float
) -> None:
    """Shares exceed neither the budget nor demand, respect floors and do not depend on the members' order.

    If a member gets less than its demand, the budget is used up and no member gets more by weight.
    """
    shares = divide(total, requests, reserve)
    available = max(0.0, total - reserve)
    eps = 1e-6 * (1 + total)
    assert shares.keys() == requests.keys()
    assert sum(shares.values()) <= available + eps
    assert all(-eps <= shares[name] <= request.demand + eps for name, request in requests.items())
    unsatisfied = [name for name, request in requests.items() if shares[name] < request.demand - eps]
    assert not unsatisfied or sum(shares.values()) >= available - eps
    floors = {name: min(request.floor, request.demand) for name, request in requests.items()}
    if sum(floors.values()) <= available:
        assert all(shares[name] >= floors[name] - eps for name in requests)
        for name in unsatisfied:  # its share above the floor, divided by its weight, is the largest
            level = (shares[name] - floors[name]) / requests[name].weight
            assert all(
                (shares[other] - floors[other]) / requests[other].weight <= level + eps for other in requests
            )
    names = list(requests)
    random.Random(1).shuffle(names)
    shuffled = {name: requests[name] for name in names}
    assert divide(total, shuffled, reserve) == pytest.approx(shares, abs=eps)


@given(st.floats(1, 300), REQUESTS, REQUESTS)
def test_damped_shares_never_exceed_the_budget(
    total: float, before: dict[str, ShareRequest], after: dict[str, ShareRequest]
) -> None:
    """Old shares that are kept because their change is small must not make the sum exceed the total."""
    damped = damp_changes(divide(total, before), new := divide(total, after), total)
    assert damped.keys() == new.keys()
    assert sum(damped.values()) <= total * (1 + 1e-6)


def test_member_with_high_demand_gets_unused_shares() -> None:
    """One member demands eight times the mean: it gets what equal shares would leave unused.

    A later change of 0.005 in another member's demand is below the damping threshold.
    """
    requests = {f"m{n}": ShareRequest(8.0 if n == 0 else 0.9) for n in range(100)}
    shares = divide(100.0, requests)
    assert shares["m0"] == pytest.approx(8.0)
    assert sum(shares.values()) == pytest.approx(8 + 99 * 0.9)
    assert sum(min(1.0, request.demand) for request in requests.values()) < sum(shares.values())
    requests["m1"] = ShareRequest(0.905)
    assert damp_changes(shares, divide(100.0, requests), 100.0) == shares


@pytest.mark.parametrize(("members", "depth"), [(2, 8), (3, 6)])
def test_leases_never_exceed_the_budget(members: int, depth: int) -> None:
    """All states up to this depth, including lost answers, surviving old incarnations and lost writes."""
    model = Model(LeasePolicy(2, 3.0, 0.0), members)
    result = explore(model.initial_world(), model.successors, model.within_budget, depth)
    assert result.complete
    assert not result.counterexample
    assert result.depth == depth


def test_leases_never_exceed_the_budget_with_clock_drift() -> None:
    """Clocks that run a tenth slow and fast are safe if the policy's drift is a tenth."""
    model = Model(LeasePolicy(2, 3.0, 0.1), 2, rates=(0.9, 1.1))
    result = explore(model.initial_world(), model.successors, model.within_budget, 7)
    assert result.complete
    assert not result.counterexample


@pytest.mark.parametrize(
    "fault",
    [
        "expiry from the answer",
        "inheriting over incarnations",
        "giving before confirmation",
        "no wait after a loss",
    ],
)
def test_model_detects_injected_faults(fault: str) -> None:
    """With each fault injected into the protocol, the exploration finds a state that exceeds the budget."""
    model = Model(LeasePolicy(2, 3.0, 0.0), 2, fault=fault)
    result = explore(model.initial_world(), model.successors, model.within_budget, 9)
    assert result.counterexample, result


def test_clock_slower_than_assumed_is_found() -> None:
    """If a holder's clock is slower than the policy's drift allows, the model finds overspending."""
    model = Model(LeasePolicy(2, 3.0, 0.0), 2, end_time=4, rates=(0.7, 1.0), crashes=0, losses=0)
    assert explore(model.initial_world(), model.successors, model.within_budget, 9).counterexample


def test_reduced_grant_is_available_to_others_once_confirmed() -> None:
    """The amount that one member gives up is granted to another only after confirmation or expiry."""
    policy = LeasePolicy(10, 3.0)
    a = renew(policy, {}, "a", 10, 0.0, 100.0)
    assert a == MemberEntry(Grant(10, 1, 3.0))
    a = renew(policy, {"a": a}, "a", 4, 1.0, 100.0)
    assert a
    assert committed_amount(a, 1.0) == 10
    assert committed_amount(a, 3.0) == 4
    b = renew(policy, {"a": a}, "b", 10, 1.0, 100.0)
    assert b
    assert b.current.amount == 0
    b = renew(policy, {"a": confirm(a, 2), "b": b}, "b", 10, 1.1, 100.0)
    assert b
    assert b.current.amount == 6
    assert renew(policy, {}, "c", 1, 1.0, uptime=2.9) is None  # the store has run for less than a lease


def test_held_lease_is_counted_from_the_request() -> None:
    """Leases are counted from the request, older answers have no effect, and an expired lease is void."""
    policy = LeasePolicy(10, 3.0, 0.01)
    held = accept_grant(policy, HeldLease(), Grant(5, 2, 103.0), remaining=2.0, requested_at=50.0)
    assert held.expires_at == pytest.approx(51.98)
    assert spendable_amount(held, 51.97) == 5
    assert spendable_amount(held, 51.98) == 0
    assert accept_grant(policy, held, Grant(9, 1, 200.0), 100.0, 60.0) == held
    assert accept_grant(policy, held, Grant(5, 2, 104.0), 2.0, 51.0).expires_at == pytest.approx(52.98)
