"""What an answer of the shared store means for who remembers a place in its log.

Pure. A place is the id of the log's last entry that was taken in: "milliseconds-number" (Redis streams). The
log grows at its end and is cut at its beginning; a store that was set back has lost the end, or all of it.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import TypeVar

NOWHERE = "0-0"  # the place before all entries
Order = TypeVar("Order")


def read_place(text: str) -> tuple[int, int]:
    """A place in its two numbers; ValueError if it is none."""
    ms, dash, number = text.partition("-")
    if not (dash and len(text) <= 40 and all(n.isascii() and n.isdigit() for n in (ms, number))):
        raise ValueError(f"place {text[:50]!r}: two numbers and a dash are needed")
    return int(ms), int(number)


def before(place: str, span: float) -> str:
    """The place so many seconds before one, by the clock that made them, the store's: ours may be off."""
    return f"{max(0, read_place(place)[0] - int(span * 1000))}-0"


def continues(remembered: str, found: Collection[str]) -> bool:
    """Whether entries read from our place on are all that we lack; else the whole list is needed.

    They are if the very entry of our place is still among them. If it is not, the log was cut since, or the
    store has lost what it once told: it can't be told apart, and need not be.
    """
    return remembered != NOWHERE and remembered in found


def lacking(
    mine: Mapping[str, Order], theirs: Mapping[str, Order], beats: Callable[[Order, Order | None], bool]
) -> list[str]:
    """Ids whose order here holds against what the store has: it has lost them, or never had them."""
    return sorted(server for server, order in mine.items() if beats(order, theirs.get(server)))
