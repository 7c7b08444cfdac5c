"""Reads the store: sends the commands, and returns their replies as typed records."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Generator, Sequence
from dataclasses import dataclass

from brackenlane.coldstart.stream_position import STREAM_START, StreamPosition
from brackenlane.limits import Limits
from brackenlane.store.connection import Command, Connection
from brackenlane.store.errors import StoreDataError
from brackenlane.store.event_codec import StreamEntry, parse_entries
from brackenlane.store.keys import StoreKeys

STREAM_END = "+"  # the greatest possible entry id, in a Redis range
FIRST_ID = "-"  # the smallest possible entry id, in a Redis range


@dataclass(frozen=True, slots=True)
class StoreState:
    """The replies to the first batch of commands on a connection."""

    entries: list[StreamEntry]  # the entries from the remembered position on, inclusive
    capacity_hint: str | None
    registration: str | None  # the value of the file registration key
    clock_seconds: int
    clock_microseconds: int
    order_texts: list[str | None]  # the encoded order of each requested cache, or None


@contextlib.contextmanager
def checked_reply(command: str) -> Generator[None, None, None]:
    """Raise StoreDataError if the code in the block cannot handle the reply to a command."""
    try:
        yield
    except (TypeError, ValueError, LookupError) as error:
        raise StoreDataError(f"reply to {command}: {type(error).__name__}: {error}") from error


class StoreReader:
    """Reads the store over one connection, without state of its own. All methods raise StoreError."""

    def __init__(self, connection: Connection, keys: StoreKeys, limits: Limits) -> None:
        self._connection = connection
        self._keys = keys
        self._page_size = limits.store_page_size
        self._timeout = limits.store_command_timeout

    async def read_state(
        self, position: StreamPosition, registration_key: str, order_ids: Sequence[str]
    ) -> StoreState:
        """Read in one round trip what determines whether this router can resume from its position."""
        # Without a position the router cannot resume, so no entries are requested.
        start = STREAM_END if position == STREAM_START else str(position)
        ids = order_ids[: self._page_size]
        commands: list[Command] = [
            ["XRANGE", self._keys.events, start, STREAM_END, "COUNT", self._page_size],
            ["MGET", self._keys.capacity_hint, registration_key],
            ["TIME"],
        ]
        if ids:
            commands.append(["HMGET", self._keys.orders, *ids])
        replies = await self._connection.call(*commands)
        with checked_reply("XRANGE, MGET, TIME and HMGET"):
            capacity_hint, registration = replies[1]
            seconds, microseconds = replies[2]
            return StoreState(
                parse_entries(replies[0]),
                capacity_hint,
                registration,
                int(seconds),
                int(microseconds),
                list(replies[3]) if ids else [],
            )

    async def read_following_pages(self, page: list[StreamEntry]) -> list[StreamEntry]:
        """Return the entries after a page of entries; an empty list if the page was not full."""
        entries: list[StreamEntry] = []
        while len(page) >= self._page_size:
            page = await self.read_updates(page[-1].position)
            entries += page
        return entries

    async def read_updates(self, position: StreamPosition, block: float = 0.0) -> list[StreamEntry]:
        """Return the entries after a position; if there are none, wait up to `block` seconds for new ones."""
        block_option: Command = ["BLOCK", int(block * 1000)] if block else []
        [streams] = await self._connection.call(
            ["XREAD", "COUNT", self._page_size, *block_option, "STREAMS", self._keys.events, str(position)],
            time_limit=block + self._timeout,
        )
        with checked_reply("XREAD"):
            return [entry for _, entries in streams or () for entry in parse_entries(entries)]

    async def read_newest_position(self) -> StreamPosition:
        """Return the position of the newest entry; STREAM_START if the stream is empty."""
        [reply] = await self._connection.call(
            ["XREVRANGE", self._keys.events, STREAM_END, FIRST_ID, "COUNT", 1]
        )
        with checked_reply("XREVRANGE"):
            entries = parse_entries(reply)
        return entries[0].position if entries else STREAM_START

    async def read_entries_from(self, position: StreamPosition) -> list[StreamEntry]:
        """Return all entries from a position on, inclusive."""
        [reply] = await self._connection.call(["XRANGE", self._keys.events, str(position), STREAM_END])
        with checked_reply("XRANGE"):
            return parse_entries(reply)

    def scan_orders(self) -> AsyncIterator[str]:
        """Yield the encoded orders, page by page; an order that changes during the scan may appear twice."""
        return self._scan_values(self._keys.orders)

    def scan_caches(self) -> AsyncIterator[str]:
        """Yield the encoded caches, page by page; a cache that changes during the scan may appear twice."""
        return self._scan_values(self._keys.caches)

    async def _scan_values(self, key: str) -> AsyncIterator[str]:
        cursor = "0"
        while True:
            [reply] = await self._connection.call(["HSCAN", key, cursor, "COUNT", self._page_size])
            with checked_reply("HSCAN"):
                cursor, names_and_values = reply
                values = names_and_values[1::2]
            for value in values:
                yield value
            if str(cursor) == "0":
                return
