"""Reports of a run: a table, the record as JSON, and a page of plots if matplotlib is installed."""

from __future__ import annotations

from pathlib import Path

from brackenlane.lab.cluster.record import Record
from brackenlane.lab.cluster.scenario import Outcome

ROWS = (
    ("doormans", "routers", ""),
    ("served", "worth served in time", ""),
    ("served_30s", "of it in the first 30 s", ""),
    ("healthy_median", "start to healthy, median", "s"),
    ("healthy_worst", "start to healthy, worst", "s"),
    ("current", "followed the store since their start", ""),
    ("current_worst", "start to following, worst", "s"),
    ("store_commands", "commands at the store", ""),
    ("store_commands_peak", "most in a second", ""),
    ("store_connects_peak", "most connections in a second", ""),
    ("store_bytes", "bytes from it", ""),
    ("store_refused", "refused there", ""),
    ("handshakes", "handshakes at boxes", ""),
    ("memory_mb", "resident memory, median", "MB"),
    ("events", "events recorded", ""),
)


def table(outcome: Outcome) -> str:
    """Return the text for the terminal: the figures, then the result of each invariant."""
    lines = [f"{text:40} {outcome.figures[name]:12.6g} {unit}".rstrip() for name, text, unit in ROWS]
    for invariant, faults in outcome.faults.items():
        lines.append(f"{invariant:40} {'kept' if not faults else f'BROKEN, {len(faults)} times'}")
        lines += [f"    {fault}" for fault in faults[:5]]
    for name, text in outcome.logs.items():
        lines.append(f"{name} ended by itself:\n{text}")
    return "\n".join(lines)


def save(outcome: Outcome, folder: Path, name: str) -> list[Path]:
    """Save the record, and the plots if matplotlib is installed; return the files written."""
    path = folder / f"{name}.jsonl"
    outcome.record.save(path, figures=outcome.figures, faults=outcome.faults)
    picture = plot(outcome.record, folder / f"{name}.png")
    return [path, *([picture] if picture else [])]


def counts_by_second(record: Record, kind: str) -> list[int]:
    """Return the number of events of a kind in each second."""
    counts: list[int] = []
    for event in record.of(kind):
        counts += [0] * (int(event.at) + 1 - len(counts))
        counts[int(event.at)] += 1
    return counts


def plot(record: Record, path: Path) -> Path | None:
    """Draw starts by router, load at store and caches, and answers by second; None without matplotlib."""
    try:
        from matplotlib.figure import Figure
    except ImportError:
        return None
    page = Figure(figsize=(10, 12), layout="constrained")
    starts, store, caches, answers = page.subplots(4, 1)
    started_at: dict[int, float] = {}
    drawn: set[tuple[int, str]] = set()  # (router, kind) seen since the router's latest start
    for event in record.of("start", "healthy", "follow"):
        if event.kind == "start":
            started_at[event.router] = event.at
            drawn -= {(event.router, "healthy"), (event.router, "follow")}
        elif event.router in started_at and (event.router, event.kind) not in drawn:
            drawn.add((event.router, event.kind))
            style = {"healthy": ("b.", "healthy"), "follow": ("g.", "follows the store")}[event.kind]
            starts.plot(event.router, event.at - started_at[event.router], style[0], markersize=3)
    starts.set(
        title="seconds from start to healthy (blue) and to following the store (green)",
        xlabel="router",
        yscale="symlog",
    )
    for axes, kinds, title in (
        (store, ("store_command", "store_connect", "store_refuse"), "at the store"),
        (caches, ("got", "handshake", "fill"), "at boxes"),
        (answers, ("ask", "answer", "broken"), "of clients"),
    ):
        for kind in kinds:
            axes.plot(counts_by_second(record, kind), label=kind.removeprefix("store_"))
        axes.set(title=f"{title}, a second", xlabel="seconds")
        axes.legend()
    page.savefig(path)
    return path
