"""What happened, by one clock: all that invariants are checked by."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

MOST = 4_000_000  # events; more are counted, not kept


@dataclass(frozen=True, slots=True)
class Event:
    """One thing that happened; at: seconds since the record began."""

    at: float
    kind: str
    router: int  # -1: none takes part
    what: dict[str, Any]


@dataclass
class Record:
    """All events in their order."""

    begun: float = field(default_factory=lambda: time.monotonic())  # looked up late: may tell virtual time
    unix: float = field(default_factory=lambda: time.time())  # when it began
    events: list[Event] = field(default_factory=list)
    lost: int = 0

    @property
    def now(self) -> float:
        """Seconds since it began."""
        return time.monotonic() - self.begun

    def add(self, kind: str, router: int = -1, **what: Any) -> None:
        """Something happens now."""
        if len(self.events) >= MOST:
            self.lost += 1
            return
        self.events.append(Event(self.now, kind, router, what))

    def of(self, *kinds: str) -> Iterator[Event]:
        """The events of some kinds."""
        return (event for event in self.events if event.kind in kinds)

    def save(self, path: Path, **more: Any) -> None:
        """As JSON: one event a line behind a head."""
        with path.open("wb") as out:
            out.write(orjson.dumps({"unix": self.unix, "lost": self.lost, **more}) + b"\n")
            for event in self.events:
                out.write(orjson.dumps([round(event.at, 4), event.kind, event.router, event.what]) + b"\n")


def load(path: Path) -> Record:
    """A saved record."""
    head, *lines = path.read_bytes().splitlines()
    reported = orjson.loads(head)
    return Record(0.0, reported["unix"], [Event(*orjson.loads(line)) for line in lines], reported["lost"])
