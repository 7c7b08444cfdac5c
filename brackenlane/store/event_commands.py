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


def write_commands(
    event: CacheDefined | OrderGiven, keys: StoreKeys, max_stream_length: int
) -> list[Command]:
    """Return the commands that write an event, to be run in one transaction.

    max_stream_length: approximate maximum number of entries; older ones are trimmed.
    """
    append = append_command(event, keys, max_stream_length)
    match event:
        case CacheDefined(definition):
            return [["HSET", keys.caches, definition.id, encode_cache(definition)], append]
        case OrderGiven(server, order):
            return [["HSET", keys.orders, server, encode_operator_order(server, order)], append]


def append_command(event: StoreEvent, keys: StoreKeys, max_stream_length: int) -> Command:
    """Return the command that appends an event to the stream; see `write_commands`."""
    return ["XADD", keys.events, "MAXLEN", "~", max_stream_length, "*", EVENT_FIELD, encode_event(event)]


def read_order_commands(server: str, keys: StoreKeys) -> list[Command]:
    """Return the commands that read the stored order of a cache and watch it for the next transaction."""
    return [["WATCH", keys.orders], ["HGET", keys.orders, server]]


def transaction(commands: list[Command]) -> list[Command]:
    """Return the commands between MULTI and EXEC, so that the store executes all of them or none."""
    return [["MULTI"], *commands, ["EXEC"]]
