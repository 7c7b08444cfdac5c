"""The Redis commands that write an event: the hash that keeps it, and the stream that followers read."""

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


def write_commands(event: StoreEvent, keys: StoreKeys, stream_length: int) -> list[Command]:
    """Return the commands that write an event; several belong in one transaction.

    stream_length: entries at which the stream is trimmed, roughly.
    """
    append: Command = [
        "XADD",
        keys.events,
        "MAXLEN",
        "~",
        stream_length,
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
    """Return the commands wrapped so that the store executes all of them or none."""
    return [["MULTI"], *commands, ["EXEC"]]
