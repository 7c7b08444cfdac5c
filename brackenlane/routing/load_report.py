"""Load reports of servers, as name:value pairs; an entry that cannot be used is skipped.

A report is a hint that comes late and noisy: a fault in one must cost neither the answer that carries it nor
the process that reads it.
"""

from __future__ import annotations

import math

from brackenlane.routing.checked_json import NOT_NEGATIVE

NAMES = frozenset(("inflight", "queue", "util", "latency_ms", "qps", "eps", "x0", "x1"))


def read_load_report(text: str, separator: str) -> tuple[tuple[str, float], ...]:
    """The known values of a report that are finite, not negative and not absurdly large."""
    pairs = (entry.partition(":") for entry in text.split(separator))
    known = ((name, _read_value(value)) for name, _, value in pairs if name in NAMES)
    return tuple((name, value) for name, value in known if not NOT_NEGATIVE.fault(value))


def _read_value(text: str) -> float:
    """The number that a text stands for; infinity, which no report can mean, where it is none."""
    try:
        value = float(text)
    except ValueError:
        return math.inf
    return math.inf if math.isnan(value) else value
