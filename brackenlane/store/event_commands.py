"""The Redis commands that write an event to its hash and to the event stream."""

from __future__ import annotations

from brackenlane.store.connection import Command
from brackenlane.store.event_codec import (
    EVENT_FIELD,
    CacheDefined,
    OrderGiven,
    StoreEvent,
    encode_cache,
    encode_event,
    encode_operator_order,
)
from brackenlane.store.keys import StoreKeys


def write_commands(event: StoreEvent, keys: StoreKeys, max_stream_length: int) -> list[Command]:
    """Return the commands that write an event; if there are several, they must run in one transaction.

    max_stream_length: approximate maximum number of entries; older ones are trimmed.
    """
    append: Command = [
        "XADD",
        keys.events,
        "MAXLEN",
        "~",
        max_stream_length,
        "*",
        EVENT_FIELD,
        encode_event(event),
    ]
    match event:
        case CacheDefined(definition):
            return [["HSET", keys.caches, definition.id, encode_cache(definition)], append]
        case OrderGiven(server, order):
            return [["HSET", keys.orders, server, encode_operator_order(server, order)], append]
    return [append]


def transaction(commands: list[Command]) -> list[Command]:
    """Return the commands between MULTI and EXEC, so that the store executes all of them or none."""
    return [["MULTI"], *commands, ["EXEC"]]
