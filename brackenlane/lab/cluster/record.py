"""The events of a cluster run, timed by one clock; invariants are checked from them alone."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

MAX_EVENTS = 4_000_000  # events kept; further ones are only counted


@dataclass(frozen=True, slots=True)
class Event:
    """One event; `at` is in seconds since the record began."""

    at: float
    kind: str
    router: int  # number of the router; -1: no router takes part
    what: dict[str, Any]


@dataclass
class Record:
    """All events in order."""

    # Lambdas look `time` up at the call, since virtual time replaces its functions.
    start_monotonic: float = field(default_factory=lambda: time.monotonic())
    start_unix: float = field(default_factory=lambda: time.time())  # Unix time at which the record began
    events: list[Event] = field(default_factory=list)
    dropped: int = 0  # number of events that were not kept

    @property
    def now(self) -> float:
        """Seconds since the record began."""
        return time.monotonic() - self.start_monotonic

    def add(self, kind: str, router: int = -1, **what: Any) -> None:
        """Append an event at the current time."""
        if len(self.events) >= MAX_EVENTS:
            self.dropped += 1
            return
        self.events.append(Event(self.now, kind, router, what))

    def of(self, *kinds: str) -> Iterator[Event]:
        """Return the events of the given kinds."""
        return (event for event in self.events if event.kind in kinds)

    def save(self, path: Path, **header_fields: Any) -> None:
        """Write the record as JSON: a header line, then one line for each event."""
        with path.open("wb") as out:
            out.write(orjson.dumps({"unix": self.start_unix, "lost": self.dropped, **header_fields}) + b"\n")
            for event in self.events:
                out.write(orjson.dumps([round(event.at, 4), event.kind, event.router, event.what]) + b"\n")


def load(path: Path) -> Record:
    """Return the record saved in a file."""
    head, *lines = path.read_bytes().splitlines()
    header = orjson.loads(head)
    return Record(0.0, header["unix"], [Event(*orjson.loads(line)) for line in lines], header["lost"])
