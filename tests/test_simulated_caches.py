"""Days of the virtual caches: what troubles do there, and that each check finds a planted fault."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from brackenlane.lab.simulation import invariants
from brackenlane.lab.simulation.plain_policy import PlainPolicy, PlainRequest
from brackenlane.lab.simulation.record import Operation, Record
from brackenlane.lab.simulation.site import (
    ClassLoad,
    Fault,
    FaultKind,
    Location,
    Site,
    StatusReports,
    WeightAccuracy,
)
from brackenlane.lab.simulation.value import operation_value, served_value
from brackenlane.lab.simulation.world import PolicyFactory, World, run_site
from brackenlane.routing.actions import Action, Fail, Fetch, Reject
from brackenlane.routing.events import Arrival, AttemptResult, CacheStatus, Event, Outcome, Purged
from brackenlane.routing.members import Member, Role, ServerState
from brackenlane.routing.settings import Idempotency, RequestClass, SlowStart

VIDEO = RequestClass(
    "video",
    latency_objective=0.5,
    time_limit=6.0,
    objective_stretch=2.0,
    value_weight=2.0,
    late_value=0.15,
    in_parts=True,
)
PAGE = RequestClass(
    "page",
    latency_objective=0.3,
    time_limit=2.5,
    objective_stretch=2.0,
    fresh_for=8.0,
    grace=20.0,
    stale_value=0.5,
)
SUBMIT = RequestClass(
    "submit",
    latency_objective=0.8,
    time_limit=3.0,
    value_weight=3.0,
    idempotency=Idempotency.NON_IDEMPOTENT,
    uncached=True,
)
KEYED = replace(SUBMIT, idempotency=Idempotency.IDEMPOTENT_WITH_KEY, repeat_window=0.05)


def site(write: RequestClass = SUBMIT, **changes: Any) -> Site:
    """Two locations at one hub, three routers, a quiet day."""
    base: dict[str, Any] = {
        "seed": 3,
        "locations": (Location(0, (4.0, 4.0, 3.0)), Location(0, (3.0, 4.0, 4.0), 2)),
        "classes": (
            ClassLoad(VIDEO, 0.5, 0.4, objects=50, parts=12),
            ClassLoad(PAGE, 0.4, 0.07, objects=80, zipf=1.1),
            ClassLoad(write, 0.1, 0.02),
        ),
        "parents": (0, 0),
        "locations_per_parent": 1.0,
        "seconds": 10.0,
    }
    return Site(**{**base, **changes})


def make_fault(kind: FaultKind, **more: Any) -> Fault:
    """One trouble two seconds after the start."""
    return Fault(kind, **{"at": 2.0, "seconds": 5.0, "share": 0.4, **more})


def verdicts(record: Record) -> set[AttemptResult]:
    """All outcomes that were seen."""
    return {ended.result for ended in record.ended}


def test_worth_falls_after_the_aim_and_with_stale_copies() -> None:
    operation = Operation("op", PAGE, 10.0, 0.1, answered_at=10.4)
    assert operation_value(operation) == 1.0
    assert operation_value(replace(operation, stale=True)) == 0.5
    assert operation_value(replace(operation, answered_at=11.0)) == 0.0
    assert operation_value(replace(operation, cls=VIDEO, answered_at=11.0)) == pytest.approx(2.0 * 0.15)
    assert operation_value(replace(operation, answered_at=None)) == 0.0


def test_a_day_is_the_same_by_its_seed() -> None:
    scenario = site(faults=(make_fault(FaultKind.CRASH),))
    first, second = run_site(scenario, PlainPolicy), run_site(scenario, PlainPolicy)
    assert first.ended == second.ended
    assert first.sent == second.sent
    assert run_site(replace(scenario, seed=4), PlainPolicy).ended != first.ended


def test_calm_day_is_served_and_breaks_no_invariant() -> None:
    scenario = site()
    record = run_site(scenario, PlainPolicy)
    assert len(record.operations) > 200
    assert served_value(record) > 0.95
    assert invariants.violations(scenario, record) == {}
    notes = {ended.cache_status for ended in record.ended}
    assert {CacheStatus.HIT, CacheStatus.FILLED, CacheStatus.FILLED_BY_ORIGIN} <= notes


@pytest.mark.parametrize(
    ("expected_result", "fault"),
    [
        (AttemptResult.ERROR, make_fault(FaultKind.FAST_ERRORS, magnitude=0.8)),
        (AttemptResult.ERROR, make_fault(FaultKind.FAST_ERRORS, magnitude=0.8, parents=True)),
        (AttemptResult.TIMEOUT, make_fault(FaultKind.HANG)),
        (AttemptResult.ERROR, make_fault(FaultKind.HANG, parents=True)),
        (AttemptResult.BROKEN, make_fault(FaultKind.CRASH)),
        (AttemptResult.UNREACHABLE, make_fault(FaultKind.CRASH)),
        (AttemptResult.FULL, make_fault(FaultKind.CRASH, parents=True)),
    ],
)
def test_troubles_show_in_outcomes_and_cost_worth(expected_result: AttemptResult, fault: Fault) -> None:
    scenario = site(faults=(fault,))
    record = run_site(scenario, PlainPolicy)
    assert expected_result in verdicts(record)
    assert expected_result not in verdicts(run_site(scenario.without_faults(), PlainPolicy))


def test_a_slow_origin_and_a_purge_of_groups_cost_worth() -> None:
    value_without_fault = served_value(run_site(site(load=0.7), PlainPolicy))
    for fault in (
        make_fault(FaultKind.ORIGIN_SLOW, magnitude=30.0),
        make_fault(FaultKind.PURGE_GROUPS, share=1.0),
        make_fault(FaultKind.OVERSIZE, share=0.5, magnitude=20.0),
    ):
        assert served_value(run_site(site(load=0.7, faults=(fault,)), PlainPolicy)) < value_without_fault


def test_an_origin_that_falls_stops_for_some_seconds_twice_at_most() -> None:
    slow = make_fault(FaultKind.ORIGIN_SLOW, magnitude=30.0, seconds=8.0, at=0.5)
    scenario = site(parents=(), hit_ratio=0.3, load=1.0, origin_stops_on_overload=True, faults=(slow,))
    assert 1 <= run_site(scenario, PlainPolicy).origin_stops <= 2


class Listener(PlainPolicy):
    """Notes all that it is told."""

    outcomes: list[Outcome] = []
    arrivals: list[Arrival] = []
    weights: set[float] = set()

    def handle(self, event: Event, now: float) -> list[Action]:
        """As the plain policy does."""
        if isinstance(event, Outcome):
            self.outcomes.append(event)
        if isinstance(event, Arrival):
            self.arrivals.append(event)
        return super().handle(event, now)

    def _source(self, obj: str) -> Member | None:
        self.weights.update(m.weight for m in self._members.values())
        return super()._source(obj)


@pytest.fixture
def listener(monkeypatch: pytest.MonkeyPatch) -> type[Listener]:
    """A policy with empty lists."""
    for name, empty in (("outcomes", []), ("arrivals", []), ("weights", set())):
        monkeypatch.setattr(Listener, name, empty)
    return Listener


@pytest.mark.parametrize(
    ("status_reports", "notes"),
    [
        (StatusReports.SILENT, {CacheStatus.UNKNOWN}),
        (StatusReports.HIT, {CacheStatus.UNKNOWN, CacheStatus.HIT, CacheStatus.FILLED, CacheStatus.JOINED}),
        (
            StatusReports.ALL,
            {
                CacheStatus.HIT,
                CacheStatus.FILLED,
                CacheStatus.FILLED_BY_ORIGIN,
                CacheStatus.JOINED,
                CacheStatus.SOURCE_FAILED,
            },
        ),
    ],
)
def test_routers_see_the_notes_that_the_site_gives(
    listener: type[Listener], status_reports: StatusReports, notes: set[CacheStatus]
) -> None:
    fault = make_fault(FaultKind.FAST_ERRORS, parents=True, magnitude=0.9)
    run_site(site(status_reports=status_reports, faults=(fault,), load=0.8), listener)
    seen = {outcome.cache_status for outcome in listener.outcomes}
    assert seen <= notes | {CacheStatus.UNKNOWN}
    assert len(seen) >= min(3, len(notes))


def test_reports_sizes_and_weights_follow_the_site(listener: type[Listener]) -> None:
    run_site(site(load_reports=True, sizes_known=False, weights=WeightAccuracy.SILENT), listener)
    assert any(dict(outcome.report).keys() == {"inflight", "x0"} for outcome in listener.outcomes)
    assert {arrival.size_kb for arrival in listener.arrivals} == {0.0}
    assert listener.weights == {1.0}
    run_site(site(sizes_seen=True, weights=WeightAccuracy.ROUGH), listener)
    assert any(outcome.size_kb for outcome in listener.outcomes)
    assert any(arrival.size_kb for arrival in listener.arrivals)
    assert len(listener.weights) > 5


def test_a_streamed_answer_outlasts_its_deadline() -> None:
    load = ClassLoad(replace(VIDEO, time_limit=0.5), 0.5, 2.0, objects=50, streamed=True)
    record = run_site(site(classes=(load,)), PlainPolicy)
    late = [r for r in record.ended if r.at > record.requests[r.request_id].deadline + 0.1]
    assert any(ended.result is AttemptResult.OK for ended in late)
    assert not record.overdue


# Policies with one fault each, and the check that finds it.


class Forgetful(PlainPolicy):
    """Never answers for a request that fails."""

    def _give_up(self, request: PlainRequest) -> list[Action]:
        return []


class DrainBlind(PlainPolicy):
    """Takes every server on the list for one that serves."""

    def _serving(self, role: Role) -> list[Member]:
        return [m for m in self._members.values() if m.role is role and m.state is not ServerState.GONE]


class SourceDrainBlind(PlainPolicy):
    """Goes on naming a parent that drains as a source."""

    def _serving(self, role: Role) -> list[Member]:
        if role is not Role.PARENT:
            return super()._serving(role)
        return [m for m in self._members.values() if m.role is role and m.state is not ServerState.GONE]


class PurgeBlind(PlainPolicy):
    """Pays no heed to purges."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """All but purges."""
        return [] if isinstance(event, Purged) else super().handle(event, now)


class Repeater(PlainPolicy):
    """Repeats what may have run."""

    def _may_repeat(self, request: PlainRequest, now: float) -> bool:
        return True


class Refuser(PlainPolicy):
    """Refuses what may have run."""

    def _give_up(self, request: PlainRequest) -> list[Action]:
        self._requests.pop(request.arrival.request_id, None)
        return [Reject(request.arrival.request_id)]


class Stubborn(PlainPolicy):
    """Tries one cache again and again."""

    def _outcome(self, event: Outcome, now: float) -> list[Action]:
        request = self._requests.get(event.request_id)
        if (
            request
            and event.result is AttemptResult.ERROR
            and request.cls.idempotency is Idempotency.IDEMPOTENT
        ):
            request.tried_servers = []
            return self._send(request, now)
        return super()._outcome(event, now)


class Doubler(PlainPolicy):
    """Sends every safe request twice at once."""

    def _arrive(self, send_request: Arrival, now: float) -> list[Action]:
        actions = super()._arrive(send_request, now)
        safe = self._requests.get(send_request.request_id)
        again = [a for a in actions if isinstance(a, Fetch)] if safe and safe.cls is PAGE else []
        return [*actions, *again]


class Straight(PlainPolicy):
    """Passes the caches by."""

    def _edge(self, request: PlainRequest) -> Member | None:
        return next(iter(self._serving(Role.ORIGIN)))


class Stranger(PlainPolicy):
    """Asks the caches of all locations."""

    def _edge(self, request: PlainRequest) -> Member | None:
        return max(self._serving(Role.EDGE), key=lambda m: m.zone)


class Neighbour(PlainPolicy):
    """Fills from other caches."""

    def _source(self, obj: str) -> Member | None:
        return self._serving(Role.EDGE)[0]


class Inventive(PlainPolicy):
    """Names a server that no list has named."""

    def _source(self, obj: str) -> Member | None:
        return Member("parent-99", "hub-0", Role.PARENT)


REPLACED = {"faults": (make_fault(FaultKind.REPLACE),), "list_notice_delay": 0.5}
ERRORS = {"faults": (make_fault(FaultKind.FAST_ERRORS, magnitude=0.9),)}
CRASHED_PARENTS = {"faults": (make_fault(FaultKind.CRASH, parents=True, share=1.0, seconds=2.0),)}


@pytest.mark.parametrize(
    ("policy", "rule", "changes"),
    [
        (Forgetful, "answered_once", ERRORS),
        (DrainBlind, "drains_respected", REPLACED),
        (
            SourceDrainBlind,
            "drains_respected",
            {
                "faults": (make_fault(FaultKind.REPLACE, parents=True),),
                "list_notice_delay": 0.5,
                "parent_cold": SlowStart(),  # warm at once
            },
        ),
        (PurgeBlind, "purges_respected", {"faults": (make_fault(FaultKind.PURGE_GROUPS, share=1.0),)}),
        (Repeater, "no_repeated_writes", ERRORS),
        (
            Repeater,
            "no_repeated_writes",
            {"write": KEYED, "faults": (make_fault(FaultKind.HANG, parents=True, share=1.0),)},
        ),
        (Refuser, "no_repeated_writes", ERRORS),
        (Stubborn, "attempts_bounded", {**ERRORS, "max_attempts": 3}),
        (Doubler, "attempts_bounded", {"may_hedge": False}),
        (Straight, "servers_allowed", {"may_bypass_caches": False}),
        (Stranger, "servers_allowed", {}),
        (Neighbour, "servers_allowed", {}),
        (Inventive, "servers_allowed", {}),
        (
            PlainPolicy,
            "no_cold_server_overloaded",
            {
                "load": 1.0,
                "list_notice_delay": 0.3,
                "edge_cold": SlowStart(0.05, 20.0, 2.0, 1.0),
                "faults": (make_fault(FaultKind.REPLACE, at=0.5),),
            },
        ),
        (
            PlainPolicy,
            "no_cold_server_overloaded",
            {
                **CRASHED_PARENTS,
                "load": 1.0,
                "list_notice_delay": 0.3,
                "parents": (0,),
                "parent_cold": SlowStart(0.02, 20.0, 1.2, 1.0),
            },
        ),
    ],
)
def test_each_check_finds_a_fault_planted_in_a_policy(
    policy: PolicyFactory, rule: str, changes: dict[str, Any]
) -> None:
    scenario = site(**changes)
    expected_result = invariants.violations(scenario, World(scenario, policy).run())
    assert list(expected_result) == [rule], expected_result


def test_an_attempt_after_the_final_answer_is_found() -> None:
    class Late(PlainPolicy):
        """Refuses, then sends."""

        def _arrive(self, send_request: Arrival, now: float) -> list[Action]:
            fetches = [a for a in super()._arrive(send_request, now) if isinstance(a, Fetch)]
            return (
                [Fail(send_request.request_id)]
                if self._settings.router_index
                else [Fail(send_request.request_id), *fetches]
            )

    scenario = site()
    assert list(invariants.violations(scenario, run_site(scenario, Late))) == ["answered_once"]
