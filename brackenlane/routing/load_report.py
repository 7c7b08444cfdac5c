"""Parser of servers' load reports: `name:value` entries in one string; an unusable entry is skipped.

The functions have no side effects. A report is only a hint, delayed and noisy: a malformed one must neither
discard the answer that carries it nor crash the process that reads it, so nothing here raises.
"""

from __future__ import annotations

import math

from brackenlane.routing.checked_json import NOT_NEGATIVE

NAMES = frozenset(("inflight", "queue", "util", "latency_ms", "qps", "eps", "x0", "x1"))


def read_load_report(text: str, separator: str) -> tuple[tuple[str, float], ...]:
    """Return the name and value of each usable entry, in the report's order.

    An entry is usable if its name is known and its value a number from 0 to `checked_json.LARGEST_NUMBER`.
    """
    usable: list[tuple[str, float]] = []
    for entry in text.split(separator):
        name, _, number = entry.partition(":")
        value = _read_value(number) if name in NAMES else None
        if value is not None:
            usable.append((name, value))
    return tuple(usable)


def _read_value(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    if math.isnan(value) or NOT_NEGATIVE.violation(value):
        return None
    return value
