"""Positions in the shared store's event log, and what may be concluded from an entry found at one.

Pure. The log is a Redis stream: it grows at its end and is trimmed at its beginning. A store that was set
back to an older state has lost the end, or all of it.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import TypeVar

MAX_TEXT_LENGTH = 40  # characters
Order = TypeVar("Order")


@dataclass(frozen=True, slots=True, order=True)
class StreamPosition:
    """The id of one stream entry: the store's clock in milliseconds, and a number within that millisecond."""

    milliseconds: int
    sequence: int

    @classmethod
    def parse(cls, text: str) -> StreamPosition:
        """Return the position written as "milliseconds-sequence"; ValueError if the text is none."""
        milliseconds, dash, sequence = text.partition("-")
        if not dash or len(text) > MAX_TEXT_LENGTH or not (_is_number(milliseconds) and _is_number(sequence)):
            raise ValueError(f"place {text[:50]!r}: two numbers and a dash are needed")
        return cls(int(milliseconds), int(sequence))

    def __str__(self) -> str:
        return f"{self.milliseconds}-{self.sequence}"

    def earlier(self, seconds: float) -> StreamPosition:
        """Return the position this many seconds before, by the store's clock: this router's may be off."""
        return StreamPosition(max(0, self.milliseconds - int(seconds * 1000)), 0)


STREAM_START = StreamPosition(0, 0)  # before all entries


def is_log_continuous(remembered: StreamPosition, found: Collection[StreamPosition]) -> bool:
    """Return whether the entries read from the remembered position on are all that is missing.

    They are if the very entry of that position is among them. If it is not, either the log was trimmed since
    or the store has lost what it once sent; the two cannot be told apart, and both need a full load.
    """
    return remembered != STREAM_START and remembered in found


def missing_orders(
    ours: Mapping[str, Order],
    in_store: Mapping[str, Order],
    beats: Callable[[Order, Order | None], bool],
) -> list[str]:
    """Return the ids, sorted, whose order here beats the store's: it lost the order or never had it."""
    return sorted(server for server, order in ours.items() if beats(order, in_store.get(server)))


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()
