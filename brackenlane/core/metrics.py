"""Counters of requests since this process started, and their exposition as text. Performs no I/O.

The text is in the Prometheus exposition format, version 0.0.4: one line per sample, with a `# TYPE` line
before each metric. Monitoring depends on the metric and label names (`gw_...`, `kind`); don't change them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
SERVED_STATUSES = (HTTPStatus.OK, HTTPStatus.NOT_MODIFIED)
REJECTED_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)  # a retry is harmless


@dataclass(slots=True)
class ClassCounters:
    """Counters of one request class."""

    served: int = 0
    rejected: int = 0
    failed: int = 0
    attempts: int = 0  # attempts that were written completely to a cache


class RequestMetrics:
    """Counters by request class; a request of an unknown class is not counted."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.counters = {name: ClassCounters() for name in classes}

    def reconfigure(self, classes: Iterable[str]) -> None:
        """Set the classes to count; classes that existed before keep their counts."""
        self.counters = {name: self.counters.get(name) or ClassCounters() for name in classes}

    def count_answer(self, cls: str, status: int) -> None:
        """Count the final answer of a request by its HTTP status."""
        counters = self.counters.get(cls)
        if counters is None:
            return
        if status in SERVED_STATUSES:
            counters.served += 1
        elif status in REJECTED_STATUSES:
            counters.rejected += 1
        else:
            counters.failed += 1

    def count_attempt(self, cls: str) -> None:
        """Count an attempt that was written completely to a cache."""
        if counters := self.counters.get(cls):
            counters.attempts += 1


@dataclass(slots=True, frozen=True)
class Gauges:
    """Current values."""

    active: int = 0  # requests received and not yet answered
    pool_size: int = 0  # listed servers, including parents and the origin
    pool_ejected: int = 0  # listed servers taken out by an operator or ejected by outlier detection


def expose(
    metrics: RequestMetrics,
    gauges: Gauges,
    faults: Mapping[str, int] | None = None,
    levels: Mapping[str, int] | None = None,
) -> bytes:
    """Return all metrics as text.

    faults: counters of external faults since this process started, by name; levels: current values by name.
    """
    lines: list[str] = []
    for name, field in (("ok", "served"), ("shed", "rejected"), ("errors", "failed"), ("tries", "attempts")):
        lines.append(f"# TYPE gw_{name} counter")
        lines += [
            f'gw_{name}{{kind="{_escape(cls)}"}} {getattr(counters, field)}'
            for cls, counters in metrics.counters.items()
        ]
    for name in ("active", "pool_size", "pool_ejected"):
        lines += [f"# TYPE gw_{name} gauge", f"gw_{name} {getattr(gauges, name)}"]
    for name, count in (faults or {}).items():
        lines += [f"# TYPE gw_{name} counter", f"gw_{name} {count}"]
    for name, level in (levels or {}).items():
        lines += [f"# TYPE gw_{name} gauge", f"gw_{name} {level}"]
    return ("\n".join(lines) + "\n").encode()


def _escape(value: str) -> str:
    """Escape backslashes, quotes and line feeds in a label value."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
