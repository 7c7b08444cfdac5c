"""Invariants of a cluster run, checked from its record alone; each check returns a list of violations."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable

from brackenlane.lab.cluster.record import Event, Record

DRAIN_DELAY_S = 0.5  # seconds after receiving a drain order in which a router may still use the cache
PURGE_DELAY_S = 1.0  # seconds after receiving a purge in which a router may still serve an older copy
TOLERANCE_S = 0.1  # seconds of tolerance for delays in the test cluster itself
Faults = list[str]


def requests_answered(record: Record) -> Faults:
    """Each request gets exactly one answer in time, unless its router was killed or stopped meanwhile."""
    faults: Faults = []
    answers: dict[str, list[Event]] = defaultdict(list)
    interruptions: dict[int, list[float]] = defaultdict(list)
    for event in record.of("answer"):
        answers[event.what["id"]].append(event)
    for event in record.of("kill", "stop", "exit"):
        interruptions[event.router].append(event.at)
    running: set[int] = set()
    stopped: set[int] = set()
    for event in record.of("ask", "healthy", "cont", "start", "kill", "stop", "term", "exit"):
        if event.kind != "ask":
            # A health check answered just before a stop may be recorded after it; the router isn't up then.
            stopped = (
                stopped | {event.router}
                if event.kind == "stop"
                else stopped - ({event.router} if event.kind != "healthy" else set())
            )
            starts_running = event.kind == "cont" or (event.kind == "healthy" and event.router not in stopped)
            (running.add if starts_running else running.discard)(event.router)
            continue
        found = answers.get(event.what["id"], [])
        ttl = event.what["ttl"]
        if event.router not in running or any(
            0 <= at - event.at < ttl + 0.5 for at in interruptions[event.router]
        ):
            continue
        if len(found) != 1:
            faults.append(f"request {event.what['id']} of {event.at:.2f} s has {len(found)} answers")
        elif found[0].at > event.at + ttl + 0.5:
            faults.append(f"request {event.what['id']} was answered {found[0].at - event.at:.2f} s later")
    return faults


def submits_executed_once(record: Record) -> Faults:
    """No submit is executed twice."""
    runs = Counter(event.what["id"] for event in record.of("run"))
    return [f"submit {id} ran {n} times" for id, n in runs.items() if n > 1]


def drains_respected(record: Record) -> Faults:
    """A router uses no cache, as target or fill source, more than 500 ms after it received its drain."""
    faults: Faults = []
    drained_since: dict[tuple[int, str], float] = {}
    for event in record.of("told_order", "start", "kill", "sent"):
        if event.kind in ("start", "kill"):  # a new process receives the orders again
            drained_since = {key: at for key, at in drained_since.items() if key[0] != event.router}
        elif event.kind == "told_order":
            key = event.router, event.what["box"]
            if event.what["drained"]:
                drained_since.setdefault(key, event.at)
            else:
                drained_since.pop(key, None)
        else:
            for cache in {event.what["box"], event.what["miss"]} - {""}:
                at = drained_since.get((event.router, cache))
                if at is not None and event.at > at + DRAIN_DELAY_S + TOLERANCE_S:
                    faults.append(f"router {event.router} used {cache} {event.at - at:.2f} s after its drain")
    return faults


def purges_respected(record: Record) -> Faults:
    """A router serves no copy older than a purge later than 1 s after it received the purge."""
    faults = []
    purges = defaultdict(list)
    for event in record.of("told_purge", "answer"):
        if event.kind == "told_purge":
            purges[event.router, event.what["obj"]].append((event.at, event.what["time"]))
        elif event.what.get("issued"):
            for at, time in purges[event.router, event.what["obj"]]:
                if event.what["asked"] > at + PURGE_DELAY_S and event.what["issued"] < time:
                    faults.append(
                        f"router {event.router} served {event.what['obj']} from a copy "
                        f"{time - event.what['issued']} ms older than its purge"
                    )
    return faults


def rate_bounded(
    record: Record, kind: str, bound: float, span: float = 1.0, cost: Callable[[Event], float] = lambda _: 1.0
) -> Faults:
    """The cost of events of one kind stays at most `bound` in any `span` seconds."""
    worst, at = highest_sum_in_span(((event.at, cost(event)) for event in record.of(kind)), span)
    return [f"{worst:.0f} {kind} within {span:g} s of {at:.2f} s; {bound:.0f} are allowed"] * (worst > bound)


def highest_sum_in_span(costs: Iterable[tuple[float, float]], span: float) -> tuple[float, float]:
    """Return the highest sum of costs in any `span` seconds, and the time at which that interval ends."""
    window: list[tuple[float, float]] = []
    low = 0
    total = 0.0
    worst = 0.0
    when = 0.0
    for at, cost in costs:
        window.append((at, cost))
        total += cost
        while window[low][0] <= at - span:
            total -= window[low][1]
            low += 1
        if total > worst:
            worst = total
            when = at
    return worst, when


def no_cache_failed(record: Record) -> Faults:
    """No cache failed under overload, by the requests that it counted itself."""
    return [f"{event.what['box']} fell at {event.at:.2f} s" for event in record.of("fall")]


def cold_caches_not_overloaded(
    record: Record, share: float, ramp: float, factor: float, per_second: dict[str, float]
) -> Faults:
    """No warming cache gets more requests in any second than its capacity and a margin for variance.

    share: part of the warm capacity at the start; ramp: seconds until the full capacity; per_second: warm
    capacity of each cache in requests a second; factor: multiple of the capacity that is allowed.
    """
    faults = []
    started: dict[str, float] = {}
    request_times: dict[str, list[float]] = defaultdict(list)
    for event in record.of("box_start", "got", "fill"):
        cache = event.what["box"]
        if event.kind == "box_start":
            started[cache] = event.at
            request_times[cache] = []
            continue
        if cache not in started or cache not in per_second or event.at > started[cache] + ramp:
            continue
        times = request_times[cache]
        times.append(event.at)
        recent = sum(at > event.at - 1.0 for at in times[-4000:])
        n = factor * per_second[cache] * (share + (1 - share) * (event.at - started[cache]) / ramp)
        if recent > n + 3 * n**0.5 + 3:
            age = event.at - started[cache]
            faults.append(f"{cache} got {recent} in a second at age {age:.1f} s; it bears {n:.0f}")
            started.pop(cache)
    return faults


def handshakes_bounded(record: Record, routers: int, each: float = 2.0) -> Faults:
    """Each cache sees at most `each` handshakes for each router."""
    seen = Counter(event.what["box"] for event in record.of("handshake"))
    return [
        f"{cache}: {n} handshakes of {routers} routers" for cache, n in seen.items() if n > each * routers
    ]
