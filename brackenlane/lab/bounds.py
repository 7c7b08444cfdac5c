"""Bounds on the figures of a measurement, and its final output: missed bounds, then one JSON object."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

import orjson


class Side(Enum):
    """Whether a bound is a lower or an upper one."""

    AT_LEAST = "at least"
    AT_MOST = "at most"


@dataclass(frozen=True, slots=True)
class Bound:
    """The bound of one figure, in the unit of the figure."""

    side: Side
    value: float

    def holds(self, figure: float) -> bool:
        """Whether a figure is within the bound."""
        return figure >= self.value if self.side is Side.AT_LEAST else figure <= self.value


def at_least(value: float) -> Bound:
    """Return a lower bound."""
    return Bound(Side.AT_LEAST, value)


def at_most(value: float) -> Bound:
    """Return an upper bound."""
    return Bound(Side.AT_MOST, value)


def conclude(result: Mapping[str, Any], bounds: Mapping[str, Bound], check: bool) -> int:
    """Print the missed bounds and the result; return the exit status, 1 if `check` is set and one is missed.

    Raise KeyError for a bound whose figure was not measured.
    """
    missed = [name for name, bound in bounds.items() if not bound.holds(result[name])]
    for name in missed:
        print(f"bound missed: {name} is {result[name]:.3f}, {bounds[name].side.value} {bounds[name].value}")
    print(orjson.dumps({**result, "missed": missed}).decode())
    return 1 if check and missed else 0
