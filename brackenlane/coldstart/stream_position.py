"""Positions in the shared store's event log, and checks for entries and orders that are missing.

The log is a Redis stream: entries are added at its end and trimmed at its beginning. A store restored to an
older state has lost the last entries, or all of them.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import TypeVar

MAX_TEXT_LENGTH = 40  # longest text of a position, in characters
Order = TypeVar("Order")


@dataclass(frozen=True, slots=True, order=True)
class StreamPosition:
    """The id of a stream entry: the store's time in milliseconds and a sequence number within it."""

    milliseconds: int
    sequence: int

    @classmethod
    def parse(cls, text: str) -> StreamPosition:
        """Return the position written as "milliseconds-sequence"; ValueError if it is malformed."""
        milliseconds, dash, sequence = text.partition("-")
        if not dash or len(text) > MAX_TEXT_LENGTH or not (_is_number(milliseconds) and _is_number(sequence)):
            raise ValueError(f"position {text[:50]!r} must be two numbers separated by a dash")
        return cls(int(milliseconds), int(sequence))

    def __str__(self) -> str:
        return f"{self.milliseconds}-{self.sequence}"

    def earlier(self, seconds: float) -> StreamPosition:
        """Return the position this many seconds earlier, by the store's clock: the router's may be off."""
        return StreamPosition(max(0, self.milliseconds - int(seconds * 1000)), 0)


STREAM_START = StreamPosition(0, 0)  # position before all entries


def is_log_continuous(remembered: StreamPosition, found: Collection[StreamPosition]) -> bool:
    """Return whether the log still has all entries since the remembered position.

    found: positions of the entries that were read, from the remembered one on. If that entry itself is not
    among them, either the log was trimmed or the store has lost entries that it once sent. These cases cannot
    be distinguished, and both need a full load.
    """
    return remembered != STREAM_START and remembered in found


def missing_orders(
    ours: Mapping[str, Order],
    in_store: Mapping[str, Order],
    beats: Callable[[Order, Order | None], bool],
) -> list[str]:
    """Return the sorted ids whose local order takes precedence over the store's, which is older or absent."""
    return sorted(server for server, order in ours.items() if beats(order, in_store.get(server)))


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()
