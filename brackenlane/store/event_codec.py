"""The JSON of the store's events and hash values, to typed records and back.

What another program may have written is checked here: `decode_...` raise StoreDataError and nothing else.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import orjson

from brackenlane.coldstart.stream_position import StreamPosition
from brackenlane.discovery.definition_codec import encode_definition, read_definition
from brackenlane.discovery.order_codec import encode_order, read_order
from brackenlane.discovery.records import CacheDefinition, OperatorOrder
from brackenlane.store.errors import StoreDataError

EVENT_FIELD = "event"  # of a stream entry


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
    """An object was purged, or a group of them (then the object is empty; else the group is -1)."""

    obj: str
    group: int
    # Unix seconds by the clock of the router that published it. None in a decoded event: readers take the
    # time from the entry's position, which is by the store's clock.
    requested_at: float | None = None


StoreEvent = CacheDefined | OrderGiven | PurgeRequested


@dataclass(frozen=True, slots=True)
class StreamEntry:
    """One entry of the event stream; its event is decoded only when it is applied."""

    position: StreamPosition
    event_text: str


def parse_entries(reply: Iterable[Any]) -> list[StreamEntry]:
    """Return the entries in the reply to XRANGE or XREVRANGE, or of one stream in that to XREAD.

    An entry without an event has an empty text. ValueError for an id in a form that Redis never writes.
    """
    return [_parse_entry(str(position), fields) for position, fields in reply]


def _parse_entry(position: str, fields: list[Any]) -> StreamEntry:
    values = dict(zip(fields[::2], fields[1::2], strict=False))
    return StreamEntry(StreamPosition.parse(position), str(values.get(EVENT_FIELD, "")))


def encode_cache(definition: CacheDefinition) -> str:
    """Return a cache as its hash keeps it."""
    return orjson.dumps(encode_definition(definition)).decode()


def encode_operator_order(server: str, order: OperatorOrder) -> str:
    """Return an order as its hash keeps it."""
    return orjson.dumps(encode_order(server, order)).decode()


def encode_event(event: StoreEvent) -> str:
    """Return an event as the stream keeps it."""
    return orjson.dumps(_event_object(event)).decode()


def _event_object(event: StoreEvent) -> dict[str, Any]:
    match event:
        case CacheDefined():
            return {"box": encode_definition(event.definition)}
        case OrderGiven():
            return {"order": encode_order(event.server, event.order)}
        case PurgeRequested():
            if event.requested_at is None:
                raise ValueError(f"{event}: a purge is published with its time")
            milliseconds = int(event.requested_at * 1000)
            return {"purge": {"object": event.obj, "group": event.group, "time": milliseconds}}


def decode_cache(text: str) -> CacheDefined:
    """Return the event that a value in the hash of caches stands for."""
    return _decode_cache(load_json(text))


def decode_order(text: str) -> OrderGiven:
    """Return the event that a value in the hash of orders stands for."""
    return _decode_order(load_json(text))


def decode_event(text: str) -> StoreEvent | None:
    """Return the event of a stream entry; None for a kind that this version does not know."""
    found = load_json(text)
    if not isinstance(found, dict):
        return None
    if "box" in found:
        return _decode_cache(found["box"])
    if "order" in found:
        return _decode_order(found["order"])
    if "purge" in found:
        return _decode_purge(found["purge"])
    return None


def decode_purge(text: str) -> PurgeRequested | None:
    """Return the purge of a stream entry; None, without decoding the rest, for any other event."""
    found = load_json(text)
    if not isinstance(found, dict) or "purge" not in found:
        return None
    return _decode_purge(found["purge"])


def load_json(text: str) -> Any:
    """Return a JSON document; None if the text is none."""
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        return None


def _decode_cache(value: Any) -> CacheDefined:
    try:
        return CacheDefined(read_definition(value))
    except ValueError as error:
        raise StoreDataError(str(error)) from error


def _decode_order(value: Any) -> OrderGiven:
    try:
        server, order = read_order(value)
    except ValueError as error:
        raise StoreDataError(str(error)) from error
    return OrderGiven(server, order)


def _decode_purge(value: Any) -> PurgeRequested:
    try:
        return PurgeRequested(str(value["object"]), int(value["group"]))
    except (KeyError, TypeError, ValueError) as error:
        raise StoreDataError(f"purge {value!r}: {type(error).__name__}: {error}") from error
