"""Formats the state of other components as text for the console. Operators' scripts may match the texts."""

from __future__ import annotations

from collections.abc import Iterator

from brackenlane.admission.load_metrics import REASON_NAMES, LoadMetrics
from brackenlane.coldstart.phases import StartupPhase, StartupPhases
from brackenlane.console.cache_health import CacheHealth
from brackenlane.console.text_table import render_table
from brackenlane.discovery.merge import MembershipMerge
from brackenlane.discovery.records import MergedCache
from brackenlane.discovery.srv_entries import SrvEntry
from brackenlane.store.shared_store import SharedStore

HEADING = ("BOX", "ROLE", "ADDRESS", "STATE", "HEALTH")
VERBOSE_HEADING = (*HEADING, "BY", "SINCE", "WHY")
PHASE_DESCRIPTIONS = {
    StartupPhase.EMPTY: "the file alone; what the store has is not known yet",
    StartupPhase.RECALLED: "the last list; drains and purges since it are not known yet",
    StartupPhase.LOADING: "the whole list is being read from the store",
    StartupPhase.CURRENT: "all is known",
    StartupPhase.BEHIND: "all that the store told until it was lost",
}


def show_caches(merge: MembershipMerge, health: CacheHealth, now: float) -> str:
    """Return a table of the caches with state and health."""
    rows = [HEADING]
    rows += [_cache_row(cache, health, now) for cache in _sorted_caches(merge)]
    return render_table(rows)


def show_caches_with_sources(merge: MembershipMerge, health: CacheHealth, now: float) -> str:
    """Return the table of the caches with sources and reasons, followed by problems of discovery."""
    rows: list[tuple[str, ...]] = [VERBOSE_HEADING]
    for cache in _sorted_caches(merge):
        sources = ", ".join(source.name.lower() for source in cache.sources)
        warmth = f"cold, {max(0.0, now - cache.cold_since):.0f} s" if cache.cold_since else "warm"
        rows.append((*_cache_row(cache, health, now), sources, warmth, cache.reason))
    problems = [line + "\n" for entry in merge.entries.values() for line in _srv_problems(entry, now)]
    return render_table(rows) + "".join(problems)


def _sorted_caches(merge: MembershipMerge) -> list[MergedCache]:
    return sorted(merge.caches.values(), key=lambda cache: cache.definition.id)


def _cache_row(cache: MergedCache, health: CacheHealth, now: float) -> tuple[str, str, str, str, str]:
    definition = cache.definition
    address = f"{cache.endpoint[0]}:{cache.endpoint[1]}" if cache.endpoint else definition.host
    return (
        definition.id,
        definition.role.value,
        address,
        cache.state.value,
        health.describe(definition.id, now),
    )


def _srv_problems(entry: SrvEntry, now: float) -> Iterator[str]:
    name = entry.watch.srv
    if entry.last_error:
        yield f"{name}: the last look-up failed: {entry.last_error}"
    if entry.pending_removal:
        yield (
            f"{name}: {len(entry.pending_removal.cache_ids)} of {len(entry.members)} boxes are missing"
            f" since {now - entry.pending_removal.since:.0f} s; not believed until it is confirmed"
        )
    if entry.omitted_count:
        yield f"{name}: {entry.omitted_count} boxes are left out for want of room"


def show_load(figures: LoadMetrics) -> str:
    """Return the load of the last second and the counts since startup."""
    rejected = ", ".join(f"{count} {REASON_NAMES[reason]}" for reason, count in figures.shed.items())
    return (
        f"last second: {figures.last.summary()}\n"
        f"since the start: taken {figures.taken}, refused at the door: {rejected or 'none'}\n"
    )


def show_startup(phases: StartupPhases, store: SharedStore | None, now: float) -> str:
    """Return the startup phase with its duration, and the state of the shared store."""
    phase = phases.phase
    text = f"{phase.value} since {max(0.0, now - phases.since):.0f} s: {PHASE_DESCRIPTIONS[phase]}\n"
    if store is None:
        return text + "no store: what this doorman knows is all there is\n"
    pacing = store.pacing
    if store.fault:
        text += f"store away, {pacing.failures} tries in a row: {store.fault}\n"
    return text + (
        f"place in the store's log {store.position}; questions of "
        f"{pacing.capacity.router_count} doormans are spread over {pacing.window:.2f} s\n"
    )
