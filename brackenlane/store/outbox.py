"""The changes that a console has answered and that are not known to be in the store yet. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brackenlane.store.event_codec import CacheDefined, OrderGiven, PurgeRequested, StoreEvent, encode_event

# What an event changes. Of two waiting events with the same target, only the later one matters.
Target = tuple[type[StoreEvent], str, int]


@dataclass(slots=True)
class _Entry:
    event: StoreEvent
    text: str  # the encoded event, by which it is recognized in the stream
    is_sent: bool = False


class Outbox:
    """Owns the events to be written to the store, oldest first; one leaves when it was read back.

    A sent event is kept until then, since a store that is restored to an older state has lost it.
    """

    def __init__(self, limit: int, on_change: Callable[[], None] = lambda: None) -> None:
        """limit: maximum number of events; past it the oldest sent one is dropped, or else a new one refused.

        on_change: called after each change.
        """
        self._limit = limit
        self._entries: dict[Target, _Entry] = {}
        self._targets_by_text: dict[str, Target] = {}
        self.on_change = on_change

    @property
    def event_texts(self) -> tuple[str, ...]:
        """The encoded events, oldest first."""
        return tuple(entry.text for entry in self._entries.values())

    def add(self, event: StoreEvent) -> bool:
        """Add an event, in place of an earlier one with the same target; return False if there is no room."""
        target = _target_of(event)
        if target not in self._entries and not self._has_room():
            return False
        self._remove(target)
        entry = _Entry(event, encode_event(event))
        self._entries[target] = entry
        self._targets_by_text[entry.text] = target
        self.on_change()
        return True

    def next_unsent(self) -> StoreEvent | None:
        """Return the oldest event that was not sent; None if all were."""
        return next((entry.event for entry in self._entries.values() if not entry.is_sent), None)

    def is_unsent(self, event: StoreEvent) -> bool:
        """Return whether an event is still to be sent; not if a later one has taken its place."""
        entry = self._entries.get(_target_of(event))
        return entry is not None and entry.event is event and not entry.is_sent

    def mark_sent(self, event: StoreEvent) -> None:
        """Mark an event as sent, unless it has left meanwhile or a later one has taken its place."""
        entry = self._entries.get(_target_of(event))
        if entry and entry.event is event:
            entry.is_sent = True

    def mark_all_unsent(self) -> None:
        """Mark all events as not sent, so that they are sent again."""
        for entry in self._entries.values():
            entry.is_sent = False

    def acknowledge(self, event_text: str) -> None:
        """Remove an event that was read back from the store, if it is one of these."""
        target = self._targets_by_text.get(event_text)
        if target:
            self._remove(target)
            self.on_change()

    def _has_room(self) -> bool:
        """Return whether an event can be added, after dropping the oldest sent one if there is no room."""
        if len(self._entries) < self._limit:
            return True
        oldest_sent = next((target for target, entry in self._entries.items() if entry.is_sent), None)
        if oldest_sent:
            self._remove(oldest_sent)
        return oldest_sent is not None

    def _remove(self, target: Target) -> None:
        entry = self._entries.pop(target, None)
        if entry:
            del self._targets_by_text[entry.text]


def _target_of(event: StoreEvent) -> Target:
    match event:
        case CacheDefined(definition):
            return CacheDefined, definition.id, 0
        case OrderGiven(server):
            return OrderGiven, server, 0
        case PurgeRequested(obj, group):
            return PurgeRequested, obj, group
