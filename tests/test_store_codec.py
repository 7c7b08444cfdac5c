"""Decoding of values in the store: an invalid value, as another program may write it, is skipped."""

from __future__ import annotations

import time

import pytest

from brackenlane.coldstart.pacing import Capacity
from brackenlane.coldstart.stream_position import StreamPosition
from brackenlane.discovery.merge import MembershipMerge
from brackenlane.discovery.recent_purges import EVERYTHING, RecentPurges
from brackenlane.discovery.records import CacheDefinition, OperatorOrder, Policy
from brackenlane.discovery.registry import Registry
from brackenlane.store.capacity_hint import apply_hint
from brackenlane.store.errors import StoreDataError, StoreError
from brackenlane.store.event_applier import EventApplier
from brackenlane.store.event_codec import (
    CacheDefined,
    OrderGiven,
    PurgeRequested,
    StoreEvent,
    StreamEntry,
    decode_event,
    decode_purge,
    encode_event,
    parse_entries,
)

EDGE = CacheDefinition("e-1", "192.0.2.7", 7001, "north")
POSITION = StreamPosition(1_700_000_200_750, 0)


@pytest.mark.parametrize("event", [CacheDefined(EDGE), OrderGiven("e-1", OperatorOrder(True, 5.0, "a"))])
def test_an_event_is_decoded_to_what_was_encoded(event: StoreEvent) -> None:
    """Definitions and orders are decoded to equal records."""
    assert decode_event(encode_event(event)) == event


def test_a_purge_is_decoded_without_the_writers_time() -> None:
    """Readers use the store's clock, so a purge whose own time is missing or invalid is not skipped."""
    assert decode_event(encode_event(PurgeRequested("clip", -1, 7.5))) == PurgeRequested("clip", -1)
    for text in ('{"purge":{"object":"","group":7}}', '{"purge":{"object":"","group":7,"time":"x"}}'):
        assert decode_event(text) == decode_purge(text) == PurgeRequested("", 7)


@pytest.mark.parametrize("text", ["", "{", "[]", "7", "null", "{}", '{"other":{}}'])
def test_an_unknown_event_is_none(text: str) -> None:
    """Text that is not an event, or an event of a later version, is ignored without an error."""
    assert decode_event(text) is None
    assert decode_purge(text) is None


@pytest.mark.parametrize(
    "text",
    [
        '{"box":null}',
        '{"box":{"id":"e-1"}}',
        '{"order":[]}',
        '{"order":{"id":"e-1","drained":true,"at":1e12,"by":"a"}}',
        '{"purge":null}',
        '{"purge":{"object":"clip"}}',
        '{"purge":{"object":"clip","group":"all"}}',
    ],
)
def test_a_damaged_event_is_reported_and_skipped(text: str, caplog: pytest.LogCaptureFixture) -> None:
    """The decoder raises StoreDataError; the applier logs the position of the entry and skips it."""
    with pytest.raises(StoreDataError):
        decode_event(text)
    notified: list[object] = []
    purges = RecentPurges(12.0, limit=10)
    registry = Registry(MembershipMerge(Policy()), notified.append, lambda *_: None, purges)
    EventApplier(registry).apply_entry(StreamEntry(POSITION, text))
    assert not notified
    assert not purges.by_target
    assert str(POSITION) in caplog.text


def test_entries_without_an_event_are_passed_over() -> None:
    """Other fields, and a field name without a value, are ignored."""
    reply = [("5-1", ["other", "x"]), ("5-2", ["event", "{}", "odd"])]
    assert parse_entries(reply) == [
        StreamEntry(StreamPosition(5, 1), ""),
        StreamEntry(StreamPosition(5, 2), "{}"),
    ]


def test_a_capacity_hint_is_applied_or_refused() -> None:
    """Its rates replace those of the file; text that is no object is ignored; invalid rates are an error."""
    capacity = Capacity(9, 500.0, 20.0)
    assert apply_hint('{"asks": 5, "loads": 3.5}', capacity) == Capacity(9, 5.0, 3.5)
    assert apply_hint("spare me", capacity) == apply_hint("7", capacity) == capacity
    for text in (
        '{"asks": 5}',
        '{"asks": "x", "loads": 1}',
        '{"asks": 0, "loads": 1}',
        '{"asks": null, "loads": 1}',
    ):
        with pytest.raises(StoreError):
            apply_hint(text, capacity)


def test_of_too_many_purges_none_is_forgotten() -> None:
    """An expired purge is not recorded; past the limit the older half counts as a purge of all objects."""
    purges = RecentPurges(12.0, limit=2)
    now = time.time()
    purges.record("old", -1, now - 13.0)
    purges.record("clip", -1, now - 3.0)
    purges.record("", 7, now - 2.0)
    assert purges.by_target == {("clip", -1): now - 3.0, ("", 7): now - 2.0}
    purges.record("third", -1, now - 1.0)
    assert purges.by_target == {EVERYTHING: now - 2.0, ("third", -1): now - 1.0}
