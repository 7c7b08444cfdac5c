"""What became of requests, counted since this process started, and all figures as text.

Pure. The text is the Prometheus exposition format, version 0.0.4: a line for each sample, `# TYPE` before
each name.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
REFUSED = (429, 503)  # tell a client that trying again is harmless


@dataclass(slots=True)
class ClassCounters:
    """Counters of one class: requests served, rejected and failed; attempts written completely to caches."""

    ok: int = 0
    shed: int = 0
    errors: int = 0
    tries: int = 0


class RequestMetrics:
    """Counters by request class; a request of an unknown class is not counted."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.kinds = {name: ClassCounters() for name in classes}

    def reconfigure(self, classes: Iterable[str]) -> None:
        """Count by these classes from now on; counts of those that stay go on."""
        self.kinds = {name: self.kinds.get(name) or ClassCounters() for name in classes}

    def ended(self, cls: str, status: int) -> None:
        """A request of a class (any other name is passed over) got its final answer, by its HTTP status."""
        if kind := self.kinds.get(cls):
            if status in (200, 304):
                kind.ok += 1
            elif status in REFUSED:
                kind.shed += 1
            else:
                kind.errors += 1

    def tried(self, cls: str) -> None:
        """An attempt for a request of a class was written whole to a cache."""
        if kind := self.kinds.get(cls):
            kind.tries += 1


@dataclass(slots=True, frozen=True)
class Gauges:
    """What stands at this moment."""

    active: int = 0  # requests taken and not yet ended
    pool_size: int = 0  # caches on the list, parents and origin among them
    pool_ejected: int = 0  # of these, avoided by hand or by choice


def expose(counts: RequestMetrics, gauges: Gauges) -> bytes:
    """All figures as text."""
    lines: list[str] = []
    for name in ("ok", "shed", "errors", "tries"):
        lines.append(f"# TYPE gw_{name} counter")
        lines += [
            f'gw_{name}{{kind="{_escape(cls)}"}} {getattr(kind, name)}' for cls, kind in counts.kinds.items()
        ]
    for name in ("active", "pool_size", "pool_ejected"):
        lines += [f"# TYPE gw_{name} gauge", f"gw_{name} {getattr(gauges, name)}"]
    return ("\n".join(lines) + "\n").encode()


def _escape(value: str) -> str:
    """A label's value: backslash, quote and line feed are escaped."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
