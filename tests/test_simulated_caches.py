"""Simulated caches: effects of injected faults, and invariants that detect faulty routing policies."""

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
    """Two locations at one hub, three routers, no faults."""
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
    """A fault that begins two seconds after the start."""
    return Fault(kind, **{"at": 2.0, "seconds": 5.0, "share": 0.4, **more})


def attempt_results(record: Record) -> set[AttemptResult]:
    """Return the results of all attempts of a run."""
    return {ended.result for ended in record.ended}


def test_value_is_lower_after_the_latency_objective_and_for_stale_copies() -> None:
    operation = Operation("op", PAGE, 10.0, 0.1, answered_at=10.4)
    assert operation_value(operation) == 1.0
    assert operation_value(replace(operation, stale=True)) == 0.5
    assert operation_value(replace(operation, answered_at=11.0)) == 0.0
    assert operation_value(replace(operation, cls=VIDEO, answered_at=11.0)) == pytest.approx(2.0 * 0.15)
    assert operation_value(replace(operation, answered_at=None)) == 0.0


def test_runs_with_one_seed_are_equal() -> None:
    scenario = site(faults=(make_fault(FaultKind.CRASH),))
    first, second = run_site(scenario, PlainPolicy), run_site(scenario, PlainPolicy)
    assert first.ended == second.ended
    assert first.sent == second.sent
    assert run_site(replace(scenario, seed=4), PlainPolicy).ended != first.ended


def test_run_without_faults_is_served_and_violates_no_invariant() -> None:
    scenario = site()
    record = run_site(scenario, PlainPolicy)
    assert len(record.operations) > 200
    assert served_value(record) > 0.95
    assert invariants.violations(scenario, record) == {}
    statuses = {ended.cache_status for ended in record.ended}
    assert {CacheStatus.HIT, CacheStatus.FILLED, CacheStatus.FILLED_BY_ORIGIN} <= statuses


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
def test_faults_change_attempt_results(expected_result: AttemptResult, fault: Fault) -> None:
    scenario = site(faults=(fault,))
    record = run_site(scenario, PlainPolicy)
    assert expected_result in attempt_results(record)
    assert expected_result not in attempt_results(run_site(scenario.without_faults(), PlainPolicy))


def test_slow_origin_purge_of_groups_and_oversize_objects_lower_the_value() -> None:
    value_without_fault = served_value(run_site(site(load=0.7), PlainPolicy))
    for fault in (
        make_fault(FaultKind.ORIGIN_SLOW, magnitude=30.0),
        make_fault(FaultKind.PURGE_GROUPS, share=1.0),
        make_fault(FaultKind.OVERSIZE, share=0.5, magnitude=20.0),
    ):
        assert served_value(run_site(site(load=0.7, faults=(fault,)), PlainPolicy)) < value_without_fault


def test_overloaded_origin_stops_at_most_twice() -> None:
    slow = make_fault(FaultKind.ORIGIN_SLOW, magnitude=30.0, seconds=8.0, at=0.5)
    scenario = site(parents=(), hit_ratio=0.3, load=1.0, origin_stops_on_overload=True, faults=(slow,))
    assert 1 <= run_site(scenario, PlainPolicy).origin_stops <= 2


class RecordingPolicy(PlainPolicy):
    """Records the outcomes, arrivals and server weights that it receives."""

    outcomes: list[Outcome] = []
    arrivals: list[Arrival] = []
    weights: set[float] = set()

    def handle(self, event: Event, now: float) -> list[Action]:
        """Record the event and handle it as the plain policy does."""
        if isinstance(event, Outcome):
            self.outcomes.append(event)
        if isinstance(event, Arrival):
            self.arrivals.append(event)
        return super().handle(event, now)

    def _source(self, obj: str) -> Member | None:
        self.weights.update(m.weight for m in self._members.values())
        return super()._source(obj)


@pytest.fixture
def recording_policy(monkeypatch: pytest.MonkeyPatch) -> type[RecordingPolicy]:
    """Return the recording policy with empty records."""
    for name, empty in (("outcomes", []), ("arrivals", []), ("weights", set())):
        monkeypatch.setattr(RecordingPolicy, name, empty)
    return RecordingPolicy


@pytest.mark.parametrize(
    ("status_reports", "statuses"),
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
def test_routers_receive_the_cache_statuses_that_the_site_reports(
    recording_policy: type[RecordingPolicy], status_reports: StatusReports, statuses: set[CacheStatus]
) -> None:
    fault = make_fault(FaultKind.FAST_ERRORS, parents=True, magnitude=0.9)
    run_site(site(status_reports=status_reports, faults=(fault,), load=0.8), recording_policy)
    seen = {outcome.cache_status for outcome in recording_policy.outcomes}
    assert seen <= statuses | {CacheStatus.UNKNOWN}
    assert len(seen) >= min(3, len(statuses))


def test_load_reports_sizes_and_weights_follow_the_site(recording_policy: type[RecordingPolicy]) -> None:
    run_site(site(load_reports=True, sizes_known=False, weights=WeightAccuracy.SILENT), recording_policy)
    assert any(dict(outcome.report).keys() == {"inflight", "x0"} for outcome in recording_policy.outcomes)
    assert {arrival.size_kb for arrival in recording_policy.arrivals} == {0.0}
    assert recording_policy.weights == {1.0}
    run_site(site(sizes_seen=True, weights=WeightAccuracy.ROUGH), recording_policy)
    assert any(outcome.size_kb for outcome in recording_policy.outcomes)
    assert any(arrival.size_kb for arrival in recording_policy.arrivals)
    assert len(recording_policy.weights) > 5


def test_streamed_answer_may_end_after_its_deadline() -> None:
    load = ClassLoad(replace(VIDEO, time_limit=0.5), 0.5, 2.0, objects=50, streamed=True)
    record = run_site(site(classes=(load,)), PlainPolicy)
    late = [r for r in record.ended if r.at > record.requests[r.request_id].deadline + 0.1]
    assert any(ended.result is AttemptResult.OK for ended in late)
    assert not record.overdue


# Policies with one fault each, for the invariant that detects it.


class NeverRejects(PlainPolicy):
    """Sends no final answer to a request that fails."""

    def _give_up(self, request: PlainRequest) -> list[Action]:
        return []


class IgnoresDrains(PlainPolicy):
    """Uses draining servers as if they were serving."""

    def _serving(self, role: Role) -> list[Member]:
        return [m for m in self._members.values() if m.role is role and m.state is not ServerState.GONE]


class IgnoresDrainsOfParents(PlainPolicy):
    """Uses draining parents as sources."""

    def _serving(self, role: Role) -> list[Member]:
        if role is not Role.PARENT:
            return super()._serving(role)
        return [m for m in self._members.values() if m.role is role and m.state is not ServerState.GONE]


class IgnoresPurges(PlainPolicy):
    """Ignores notices of purges."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle all events but purges."""
        return [] if isinstance(event, Purged) else super().handle(event, now)


class RepeatsWrites(PlainPolicy):
    """Sends a write again although it may have run."""

    def _may_repeat(self, request: PlainRequest, now: float) -> bool:
        return True


class RejectsAfterSend(PlainPolicy):
    """Refuses a write although it may have run."""

    def _give_up(self, request: PlainRequest) -> list[Action]:
        self._requests.pop(request.arrival.request_id, None)
        return [Reject(request.arrival.request_id)]


class RetriesWithoutLimit(PlainPolicy):
    """Retries one cache without a limit after errors."""

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


class AlwaysHedges(PlainPolicy):
    """Sends two concurrent attempts for every request for a page."""

    def _arrive(self, arrival: Arrival, now: float) -> list[Action]:
        actions = super()._arrive(arrival, now)
        request = self._requests.get(arrival.request_id)
        again = [a for a in actions if isinstance(a, Fetch)] if request and request.cls is PAGE else []
        return [*actions, *again]


class BypassesCaches(PlainPolicy):
    """Sends all requests to the origin."""

    def _edge(self, request: PlainRequest) -> Member | None:
        return next(iter(self._serving(Role.ORIGIN)))


class UsesOtherLocations(PlainPolicy):
    """Uses caches of other locations."""

    def _edge(self, request: PlainRequest) -> Member | None:
        return max(self._serving(Role.EDGE), key=lambda m: m.zone)


class FillsFromSiblings(PlainPolicy):
    """Names another edge cache as the source."""

    def _source(self, obj: str) -> Member | None:
        return self._serving(Role.EDGE)[0]


class UsesUnlistedServer(PlainPolicy):
    """Names a source that was never listed."""

    def _source(self, obj: str) -> Member | None:
        return Member("parent-99", "hub-0", Role.PARENT)


REPLACED = {"faults": (make_fault(FaultKind.REPLACE),), "list_notice_delay": 0.5}
ERRORS = {"faults": (make_fault(FaultKind.FAST_ERRORS, magnitude=0.9),)}
CRASHED_PARENTS = {"faults": (make_fault(FaultKind.CRASH, parents=True, share=1.0, seconds=2.0),)}


@pytest.mark.parametrize(
    ("policy", "invariant", "changes"),
    [
        (NeverRejects, "answered_once", ERRORS),
        (IgnoresDrains, "drains_respected", REPLACED),
        (
            IgnoresDrainsOfParents,
            "drains_respected",
            {
                "faults": (make_fault(FaultKind.REPLACE, parents=True),),
                "list_notice_delay": 0.5,
                "parent_cold": SlowStart(),  # full capacity at the start
            },
        ),
        (IgnoresPurges, "purges_respected", {"faults": (make_fault(FaultKind.PURGE_GROUPS, share=1.0),)}),
        (RepeatsWrites, "no_repeated_writes", ERRORS),
        (
            RepeatsWrites,
            "no_repeated_writes",
            {"write": KEYED, "faults": (make_fault(FaultKind.HANG, parents=True, share=1.0),)},
        ),
        (RejectsAfterSend, "no_repeated_writes", ERRORS),
        (RetriesWithoutLimit, "attempts_bounded", {**ERRORS, "max_attempts": 3}),
        (AlwaysHedges, "attempts_bounded", {"may_hedge": False}),
        (BypassesCaches, "servers_allowed", {"may_bypass_caches": False}),
        (UsesOtherLocations, "servers_allowed", {}),
        (FillsFromSiblings, "servers_allowed", {}),
        (UsesUnlistedServer, "servers_allowed", {}),
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
def test_each_invariant_detects_a_faulty_policy(
    policy: PolicyFactory, invariant: str, changes: dict[str, Any]
) -> None:
    scenario = site(**changes)
    violations = invariants.violations(scenario, World(scenario, policy).run())
    assert list(violations) == [invariant], violations


def test_attempt_after_the_final_answer_is_detected() -> None:
    class SendsAfterAnswer(PlainPolicy):
        """Fails a request, then sends an attempt for it."""

        def _arrive(self, arrival: Arrival, now: float) -> list[Action]:
            fetches = [a for a in super()._arrive(arrival, now) if isinstance(a, Fetch)]
            return (
                [Fail(arrival.request_id)]
                if self._settings.router_index
                else [Fail(arrival.request_id), *fetches]
            )

    scenario = site()
    assert list(invariants.violations(scenario, run_site(scenario, SendsAfterAnswer))) == ["answered_once"]
