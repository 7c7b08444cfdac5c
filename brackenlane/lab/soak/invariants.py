"""Invariants of the soak test: one function per documented rule, applied to what the peers recorded.

While the soak process is stalled, or the router is suspended by SIGSTOP, the router can't meet its deadlines:
a limit is extended by the length of the pauses that fall into it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from brackenlane.lab.soak.record import Notification, ObservedAttempt, ObservedRequest, ObservedRouter, Record

ANSWER_SLACK = 0.05  # seconds past a deadline; documented limit
CLIENT_LEFT_SLACK = 0.1  # seconds after a client has closed its connection
BUDGET_SLACK = 0.15  # seconds by which the time passed to a server may exceed the client's
DRAIN_GRACE = 0.55  # seconds after a router is notified of a drain
PURGE_GRACE = 1.05  # seconds after a router is notified of a purge
MEASUREMENT_SLACK = 0.1  # seconds; the soak may observe an event this late on a busy machine
REJECTED = (429, 503)


class Violation(NamedTuple):
    """One violation of an invariant."""

    rule: str
    at: float
    text: str


def _pauses(record: Record, router: ObservedRouter | None) -> list[tuple[float, float]]:
    return [*record.stalls, *(router.suspended if router else [])]


def overlapping_pause_time(pauses: Iterable[tuple[float, float]], start: float, end: float) -> float:
    """Return the total length of the pauses between two times, in seconds."""
    return sum(max(0.0, min(until, end) - max(since, start)) for since, until in pauses)


def _router(record: Record, request: ObservedRequest | None) -> ObservedRouter | None:
    return record.routers[request.router] if request else None


def every_request_is_answered_by_its_deadline(record: Record) -> Iterator[Violation]:
    """Each accepted request gets a complete response by its deadline."""
    for request in record.requests.values():
        router = record.routers[request.router]
        if request.client_left_at < request.sent_at + request.time_limit or request.raced_with_close:
            continue
        deadline = request.sent_at + request.time_limit
        allowed = deadline + ANSWER_SLACK + MEASUREMENT_SLACK
        allowed += overlapping_pause_time(_pauses(record, router), request.sent_at, allowed + 5.0)
        if not request.status and request.client_left_at >= allowed:
            yield Violation("answered", request.sent_at, f"{request.request_id}: no whole answer")
        elif request.status and request.answered_at > allowed:
            late = request.answered_at - deadline
            yield Violation("answered", request.sent_at, f"{request.request_id}: {late:.3f} s late")


def one_response_per_request(record: Record) -> Iterator[Violation]:
    """No bytes follow the response to a request."""
    for request in record.requests.values():
        if request.extra_bytes:
            text = f"{request.request_id}: {request.extra_bytes} bytes behind its answer"
            yield Violation("one answer", request.sent_at, text)


def writes_never_run_twice(record: Record) -> Iterator[Violation]:
    """A write, which isn't idempotent, runs once, at one server."""
    runs: dict[str, list[ObservedAttempt]] = defaultdict(list)
    for attempt in record.attempts:
        request = record.requests.get(attempt.request_id)
        if request and request.is_write and attempt.has_run:
            runs[attempt.request_id].append(attempt)
    for request_id, attempts in runs.items():
        if len(attempts) > 1:
            servers = ", ".join(attempt.server for attempt in attempts)
            yield Violation("no write twice", attempts[1].at, f"{request_id}: ran at {servers}")


def no_rejection_of_what_may_have_run(record: Record) -> Iterator[Violation]:
    """A write that the router rejected has not run at any server."""
    ran = {attempt.request_id for attempt in record.attempts if attempt.has_run}
    for request in record.requests.values():
        if request.is_write and request.status in REJECTED and request.request_id in ran:
            yield Violation("rejection", request.sent_at, f"{request.request_id}: rejected though it ran")


def no_attempt_after_the_client_left(record: Record) -> Iterator[Violation]:
    """No attempt begins more than 0.1 s after the client closed its connection."""
    for attempt in record.attempts:
        request = record.requests.get(attempt.request_id)
        if request is None or attempt.at <= request.client_left_at:
            continue
        pauses = _pauses(record, _router(record, request))
        allowed = request.client_left_at + CLIENT_LEFT_SLACK + MEASUREMENT_SLACK
        allowed += overlapping_pause_time(pauses, request.client_left_at, attempt.at)
        if attempt.at > allowed:
            text = (
                f"{attempt.request_id}: at {attempt.server} {attempt.at - request.client_left_at:.3f} s after"
            )
            yield Violation("client left", attempt.at, text)


def no_server_gets_more_time_than_the_client_has(record: Record) -> Iterator[Violation]:
    """The time limit passed to a server is at most the time that the client has left."""
    for attempt in record.attempts:
        request = record.requests.get(attempt.request_id)
        if request is None:
            continue
        # Only stalls of the soak extend this limit: a suspended router must still deduct the time it lost.
        left = request.sent_at + request.time_limit - attempt.at + MEASUREMENT_SLACK
        left += overlapping_pause_time(record.stalls, request.sent_at, attempt.at)
        if attempt.budget > left + BUDGET_SLACK:
            text = f"{attempt.request_id}: {attempt.budget:.3f} s at {attempt.server}, {left:.3f} s were left"
            yield Violation("budget", attempt.at, text)


def no_attempt_at_a_draining_server(record: Record) -> Iterator[Violation]:
    """No attempt uses a draining server, directly or as fill source, once DRAIN_GRACE is over."""
    by_target: dict[tuple[int, str], list[Notification]] = defaultdict(list)
    for notification in record.notifications:
        if notification.server:
            by_target[notification.router, notification.server].append(notification)
    for attempt in record.attempts:
        request = record.requests.get(attempt.request_id)
        if request is None:
            continue
        router = record.routers[request.router]
        for server in {attempt.server, attempt.source} - {""}:
            known = [n for n in by_target[request.router, server] if n.at <= attempt.at]
            latest = max(known, key=lambda n: n.at, default=None)
            if latest is None or latest.is_serving:
                continue
            allowed = latest.at + DRAIN_GRACE + MEASUREMENT_SLACK
            allowed += overlapping_pause_time(_pauses(record, router), latest.at, attempt.at)
            if attempt.at > allowed:
                text = f"{attempt.request_id}: {server} {attempt.at - latest.at:.3f} s after its drain"
                yield Violation("drain", attempt.at, text)


def no_copy_older_than_a_purge(record: Record) -> Iterator[Violation]:
    """Requests sent more than PURGE_GRACE after a purge get no copy issued before it."""
    purges: dict[tuple[int, int], list[Notification]] = defaultdict(list)
    for notification in record.notifications:
        if notification.purged_group >= 0:
            purges[notification.router, notification.purged_group].append(notification)
    for request in record.requests.values():
        pauses = _pauses(record, record.routers[request.router])
        for purge in purges[request.router, request.group]:
            allowed = (
                purge.at
                + PURGE_GRACE
                + MEASUREMENT_SLACK
                + overlapping_pause_time(pauses, purge.at, request.sent_at)
            )
            if request.sent_at > allowed and 0 < request.issued_at < purge.purged_at:
                text = f"{request.request_id}: a copy {purge.purged_at - request.issued_at:.3f} s older"
                yield Violation("purge", request.sent_at, text)


def routers_exit_cleanly(record: Record) -> Iterator[Violation]:
    """No router exits with an error code or logs a traceback."""
    for router in record.routers:
        if router.exit_code not in (0, None):
            yield Violation(
                "exit", router.sigterm_at, f"router {router.number}: exit code {router.exit_code}"
            )
        if b"Traceback" in router.log:
            start = router.log.index(b"Traceback")
            text = router.log[start : start + 2000].decode(errors="replace")
            yield Violation("traceback", router.sigterm_at, f"router {router.number}: {text}")


def routers_stay_within_their_memory(record: Record) -> Iterator[Violation]:
    """The resident memory of a router never exceeds the memory of its settings."""
    for router in record.routers:
        if router.peak_memory_mb > router.memory_mb:
            text = f"router {router.number}: {router.peak_memory_mb:.1f} MB of {router.memory_mb}"
            yield Violation("memory", router.sigterm_at, text)


Invariant = Callable[[Record], Iterator[Violation]]
INVARIANTS: tuple[Invariant, ...] = (
    every_request_is_answered_by_its_deadline,
    one_response_per_request,
    writes_never_run_twice,
    no_rejection_of_what_may_have_run,
    no_attempt_after_the_client_left,
    no_server_gets_more_time_than_the_client_has,
    no_attempt_at_a_draining_server,
    no_copy_older_than_a_purge,
    routers_exit_cleanly,
    routers_stay_within_their_memory,
)


def violations(record: Record) -> list[Violation]:
    """Return all violations of a run in order of time."""
    found = [violation for invariant in INVARIANTS for violation in invariant(record)]
    return sorted(found, key=lambda violation: violation.at)
