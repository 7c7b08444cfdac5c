"""Invariants that every run must satisfy, checked on its record only."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable

from brackenlane.lab.simulation.record import AttemptEnded, AttemptSent, Disposition, Record, Request
from brackenlane.lab.simulation.site import ORIGIN, Site
from brackenlane.routing.events import AttemptResult
from brackenlane.routing.members import ServerState
from brackenlane.routing.settings import Idempotency, Scope, SiblingSources

CLOCK_TOLERANCE = 1e-5  # seconds
# An overload of a cold server counts as a violation if at least this share of the work came from routers that
# had been notified of its start.
MIN_NOTIFIED_SHARE = 2 / 3
Violations = list[str]


def answered_once(site: Site, record: Record) -> Violations:
    """Each request has exactly one final answer, in time, and no attempt is sent after it."""
    found = [f"{name}: no final answer in time" for name in record.overdue]
    answers = Counter(answer.request_id for answer in record.answered)
    found += [f"{name}: {n} final answers" for name, n in answers.items() if n > 1]
    found += [
        f"{name}: no final answer"
        for name in record.requests
        if name not in answers and name not in set(record.overdue)
    ]
    found += [
        f"{sent.request_id}: attempt {sent.number} after its final answer"
        for sent in record.sent
        if sent.answered
    ]
    return found


def drains_respected(site: Site, record: Record) -> Violations:
    """A router stops using a server, also as a source, within `drain_grace` of the notice of its drain."""
    notices: dict[tuple[int, str], list[tuple[float, bool]]] = defaultdict(list)
    for listed in record.listed:
        notices[listed.router, listed.server].append((listed.at, listed.state is ServerState.SERVING))
    found = []
    for sent in record.sent:
        for server in sorted({sent.server, sent.source}):
            since = _not_serving_since(notices[sent.router, server], sent.at)
            if since is not None and sent.at > since + site.drain_grace + CLOCK_TOLERANCE:
                found.append(
                    f"{sent.request_id}: {server} used {sent.at - since:.3f} s after the notice of its drain"
                )
    return found


def _not_serving_since(notices: list[tuple[float, bool]], now: float) -> float | None:
    """Time of the notice that a server stopped serving; None if the latest notice says that it serves."""
    since: float | None = None
    for at, is_serving in notices:
        if at > now:
            break
        if is_serving:
            since = None
        elif since is None:
            since = at
    return since


def purges_respected(site: Site, record: Record) -> Violations:
    """Attempts sent later than `purge_grace` after a notice of a purge get no copy older than the purge."""
    notices: dict[tuple[int, str | int], list[tuple[float, float]]] = defaultdict(list)
    for purge in record.purges_notified:
        notices[purge.router, purge.key].append((purge.at, purge.purged_at))
    sent_at = {(sent.request_id, sent.number): sent.at for sent in record.sent}
    found = []
    for ended in record.ended:
        if ended.result is not AttemptResult.OK:
            continue
        request = record.requests[ended.request_id]
        at = sent_at[ended.request_id, ended.number]
        for key in (request.obj, request.group):
            for notified_at, purged_at in notices[request.router, key]:
                if (
                    at > notified_at + site.purge_grace + CLOCK_TOLERANCE
                    and ended.issued < purged_at - CLOCK_TOLERANCE
                ):
                    found.append(
                        f"{ended.request_id}: a copy older than a purge, "
                        f"whose notice came {at - notified_at:.3f} s before the attempt"
                    )
    return found


def no_repeated_writes(site: Site, record: Record) -> Violations:
    """Non-idempotent writes run once; those with a key are repeated only within their window and scope."""
    sent: dict[str, list[AttemptSent]] = defaultdict(list)
    ended: dict[tuple[str, int], AttemptEnded] = {(e.request_id, e.number): e for e in record.ended}
    for attempt in record.sent:
        sent[attempt.request_id].append(attempt)
    found = []
    for name, attempts in sent.items():
        request = record.requests[name]
        if request.cls.idempotency is Idempotency.IDEMPOTENT:
            continue
        for n, later in enumerate(attempts):
            for earlier in attempts[:n]:
                if _may_have_run(ended.get((name, earlier.number)), later.at):
                    found += _repeat(request, earlier, later)
    runs = Counter(run.operation for run in record.executed)
    for name, count in runs.items():
        if record.operations[name].cls.idempotency is Idempotency.NON_IDEMPOTENT and count > 1:
            found.append(f"{name}: ran {count} times")
    return found + _refusals(record, sent, ended)


def _may_have_run(ended: AttemptEnded | None, now: float) -> bool:
    return ended is None or ended.at > now + CLOCK_TOLERANCE or not ended.result.is_proven_not_run


def _repeat(request: Request, earlier: AttemptSent, later: AttemptSent) -> Violations:
    cls = request.cls
    if cls.idempotency is Idempotency.NON_IDEMPOTENT:
        return [f"{request.name}: sent again though it may have run"]
    if later.at > earlier.at + cls.repeat_window + CLOCK_TOLERANCE:
        return [f"{request.name}: sent again after its window"]
    if cls.scope is not Scope.ALL and _zone(later.server) != _zone(earlier.server):
        return [f"{request.name}: sent again outside the scope of its key"]
    return []


def _zone(server: str) -> str:
    """Location of a cache as the first two parts of its name; for another server, its whole name."""
    kind, _, rest = server.partition("-")
    return f"{kind}-{rest.split('-')[0]}" if kind == "cache" else server


def _refusals(
    record: Record, sent: dict[str, list[AttemptSent]], ended: dict[tuple[str, int], AttemptEnded]
) -> Violations:
    """Find refusals of writes that may have run; a refusal tells the client that a repeat is safe."""
    found = []
    for answer in record.answered:
        cls = record.requests[answer.request_id].cls
        safe_to_repeat = cls.idempotency is Idempotency.IDEMPOTENT or (
            cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and cls.scope is Scope.ALL
        )
        if answer.disposition is not Disposition.REJECTED or safe_to_repeat:
            continue
        attempts = sent.get(answer.request_id, [])
        if any(
            _may_have_run(ended.get((attempt.request_id, attempt.number)), answer.at) for attempt in attempts
        ):
            found.append(f"{answer.request_id}: refused though it may have run")
    return found


def attempts_bounded(site: Site, record: Record) -> Violations:
    """No request has more attempts than allowed, or concurrent ones where hedging is not allowed."""
    ended = {(e.request_id, e.number): e.at for e in record.ended}
    found = []
    last: dict[str, AttemptSent] = {}
    for sent in record.sent:
        if sent.number >= site.max_attempts:
            found.append(f"{sent.request_id}: attempt {sent.number + 1} of {site.max_attempts}")
        before = last.get(sent.request_id)
        is_outstanding = (
            before and ended.get((before.request_id, before.number), math.inf) > sent.at + CLOCK_TOLERANCE
        )
        if is_outstanding and not site.may_hedge:
            found.append(f"{sent.request_id}: two attempts at once")
        last[sent.request_id] = sent
    return found


def servers_allowed(site: Site, record: Record) -> Violations:
    """Routers use only listed servers, caches of their own location, and sources that the site allows."""
    listed = {(listed.router, listed.server): listed.at for listed in reversed(record.listed)}
    homes = site.router_homes
    found = []
    for sent in record.sent:
        home = f"cache-{homes[sent.router]}"
        if not _server_allowed(site, sent, home):
            found.append(f"{sent.request_id}: {sent.server} may not be used")
        if not _source_allowed(site, sent, home):
            found.append(f"{sent.request_id}: {sent.source} may not be the source for {sent.server}")
        found += [
            f"{sent.request_id}: {server} was never listed"
            for server in sorted({sent.server, sent.source})
            if listed.get((sent.router, server), math.inf) > sent.at
        ]
    return found


def _server_allowed(site: Site, sent: AttemptSent, home: str) -> bool:
    return _zone(sent.server) == home if sent.server.startswith("cache") else site.may_bypass_caches


def _source_allowed(site: Site, sent: AttemptSent, home: str) -> bool:
    if sent.source in (sent.server, ORIGIN):
        return True
    if not sent.server.startswith("cache"):
        return False
    if sent.source.startswith("parent"):
        return True
    same_location = site.siblings is SiblingSources.LOCATION and _zone(sent.source) == home
    return same_location or site.siblings is SiblingSources.ANY


def no_cold_server_overloaded(site: Site, record: Record) -> Violations:
    """No recently started server is overloaded by routers that had been notified of its start."""
    return [
        f"{overloaded.server}: overloaded, "
        f"{overloaded.notified_share:.2f} of the work from routers notified of its start"
        for overloaded in record.overloaded_servers
        if overloaded.notified_share >= MIN_NOTIFIED_SHARE
    ]


INVARIANTS: tuple[Callable[[Site, Record], Violations], ...] = (
    answered_once,
    drains_respected,
    purges_respected,
    no_repeated_writes,
    attempts_bounded,
    servers_allowed,
    no_cold_server_overloaded,
)


def violations(site: Site, record: Record) -> dict[str, Violations]:
    """Return all violations by the name of the invariant; empty if all hold."""
    found = {rule.__name__: rule(site, record) for rule in INVARIANTS}
    return {name: broken for name, broken in found.items() if broken}
