"""Codec of the store's events and hash values: JSON to typed records and back.

Another program may have written a value, so it is validated here: `decode_...` raise only StoreDataError.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

import orjson

from brackenlane.coldstart.stream_position import StreamPosition
from brackenlane.discovery.definition_codec import encode_definition, read_definition
from brackenlane.discovery.order_codec import encode_order, read_order, read_own_order
from brackenlane.discovery.records import CacheDefinition, OperatorOrder
from brackenlane.store.errors import StoreDataError

NO_GROUP = -1  # group number in a purge of a single object
MAX_GROUP = 255  # groups of objects are numbered from 0
MAX_OBJECT_LENGTH = 1_024  # characters
EVENT_FIELD = "event"  # the field of a stream entry that contains the encoded event


@dataclass(frozen=True, slots=True)
class CacheDefined:
    """A cache was added to the shared list, or its definition changed."""

    definition: CacheDefinition


@dataclass(frozen=True, slots=True)
class OrderGiven:
    """An operator drained or restored a cache."""

    server: str
    order: OperatorOrder


@dataclass(frozen=True, slots=True)
class PurgeRequested:
    """A purge of one object (the group is -1) or of a group of objects (the object is empty)."""

    obj: str
    group: int
    # Unix seconds by the clock of the publishing router. None in a decoded event: readers take the time from
    # the position of the stream entry, which is assigned by the store's clock.
    requested_at: float | None = None


StoreEvent = CacheDefined | OrderGiven | PurgeRequested


@dataclass(frozen=True, slots=True)
class StreamEntry:
    """An entry of the event stream; its event is decoded when the entry is applied."""

    position: StreamPosition
    event_text: str


def parse_entries(reply: Iterable[Any]) -> list[StreamEntry]:
    """Return the entries in a reply to XRANGE or XREVRANGE, or of one stream in a reply to XREAD.

    An entry without an event field has an empty event text. Raises ValueError for an invalid entry id, which
    Redis never generates.
    """
    return [_parse_entry(str(position), fields) for position, fields in reply]


def _parse_entry(position: str, fields: list[Any]) -> StreamEntry:
    values = dict(zip(fields[::2], fields[1::2], strict=False))
    return StreamEntry(StreamPosition.parse(position), str(values.get(EVENT_FIELD, "")))


def encode_cache(definition: CacheDefinition) -> str:
    """Return the value of the cache in the hash of caches."""
    return orjson.dumps(encode_definition(definition)).decode()


def encode_operator_order(server: str, order: OperatorOrder) -> str:
    """Return the value of the order in the hash of orders."""
    return orjson.dumps(encode_order(server, order)).decode()


def encode_event(event: StoreEvent) -> str:
    """Return the event as the text of the event field in a stream entry."""
    return orjson.dumps(_event_object(event)).decode()


def _event_object(event: StoreEvent) -> dict[str, Any]:
    match event:
        case CacheDefined():
            return {"box": encode_definition(event.definition)}
        case OrderGiven():
            return {"order": encode_order(event.server, event.order)}
        case PurgeRequested():
            if event.requested_at is None:
                raise ValueError(f"{event}: requested_at must be set in a purge that is published")
            milliseconds = int(event.requested_at * 1000)
            return {"purge": {"object": event.obj, "group": event.group, "time": milliseconds}}


def decode_cache(text: str) -> CacheDefined:
    """Return the event that corresponds to a value in the hash of caches."""
    return _decode_cache(load_json(text))


def decode_order(text: str) -> OrderGiven:
    """Return the event that corresponds to a value in the hash of orders."""
    return _decode_order(load_json(text))


def decode_event(text: str) -> StoreEvent | None:
    """Return the event of a stream entry; None for a type that this version does not support."""
    document = load_json(text)
    if not isinstance(document, dict):
        return None
    if "box" in document:
        return _decode_cache(document["box"])
    if "order" in document:
        return _decode_order(document["order"])
    if "purge" in document:
        return _decode_purge(document["purge"])
    return None


def decode_own_event(text: str, now: float) -> StoreEvent | None:
    """Return an event that this router encoded before its restart, to be published again; None for others.

    A purge counts as requested at `now` (Unix seconds). An order from before the clock was set back counts
    as given now.
    """
    document = load_json(text)
    if isinstance(document, dict) and "order" in document:
        return _decode_order(document["order"], read_own_order)
    event = decode_event(text)
    return replace(event, requested_at=now) if isinstance(event, PurgeRequested) else event


def decode_purge(text: str) -> PurgeRequested | None:
    """Return the purge of a stream entry; None for any other event, which is not decoded further."""
    document = load_json(text)
    if not isinstance(document, dict) or "purge" not in document:
        return None
    return _decode_purge(document["purge"])


def load_json(text: str) -> Any:
    """Return the parsed JSON document; None if the text is not valid JSON."""
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        return None


def _decode_cache(value: Any) -> CacheDefined:
    try:
        return CacheDefined(read_definition(value))
    except ValueError as error:
        raise StoreDataError(str(error)) from error


def _decode_order(value: Any, read: Callable[[Any], tuple[str, OperatorOrder]] = read_order) -> OrderGiven:
    try:
        server, order = read(value)
    except ValueError as error:
        raise StoreDataError(str(error)) from error
    return OrderGiven(server, order)


def _decode_purge(value: Any) -> PurgeRequested:
    try:
        purge = PurgeRequested(str(value["object"]), int(value["group"]))
    except (KeyError, TypeError, ValueError) as error:
        raise StoreDataError(f"purge {value!r}: {type(error).__name__}: {error}") from error
    # Purges are kept in the snapshot, which must stay readable and small.
    if not NO_GROUP <= purge.group <= MAX_GROUP or len(purge.obj) > MAX_OBJECT_LENGTH:
        raise StoreDataError(f"purge {value!r}: the group or the object is out of range")
    return purge
