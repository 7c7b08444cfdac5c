"""The commands that read the store, and their replies as typed records."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass

from brackenlane.coldstart.stream_position import STREAM_START, StreamPosition
from brackenlane.limits import Limits
from brackenlane.store.connection import Command, Connection
from brackenlane.store.event_codec import StreamEntry, parse_entries
from brackenlane.store.keys import StoreKeys

STREAM_END = "+"  # Redis: the greatest possible id
FIRST_ID = "-"  # Redis: the least possible id


@dataclass(frozen=True, slots=True)
class StoreState:
    """The reply to the first request on a connection."""

    entries: list[StreamEntry]  # from the remembered position on, that one included
    capacity_hint: str | None
    registration: str | None  # the value at the key of the file's registration
    clock_seconds: int
    clock_microseconds: int
    order_texts: list[str | None]  # one for each id that was asked for


class StoreReader:
    """Reads the store over one connection. All methods raise StoreError; it keeps no state."""

    def __init__(self, connection: Connection, keys: StoreKeys, limits: Limits) -> None:
        self._connection = connection
        self._keys = keys
        self._page_size = limits.store_page_size
        self._timeout = limits.store_command_timeout

    async def read_state(
        self, position: StreamPosition, registration_key: str, order_ids: Sequence[str]
    ) -> StoreState:
        """Read in one round trip what tells whether this router can continue from its position."""
        # Without a position nothing can be continued, so no entries are asked for.
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
        capacity_hint, registration = replies[1]
        seconds, microseconds = replies[2]
        return StoreState(
            parse_entries(replies[0]),
            capacity_hint,
            registration,
            int(seconds),
            int(microseconds),
            replies[3] if ids else [],
        )

    async def read_following_pages(self, page: list[StreamEntry]) -> list[StreamEntry]:
        """Return the entries after a page of them; none if the page was not full."""
        entries: list[StreamEntry] = []
        while len(page) >= self._page_size:
            page = await self.read_updates(page[-1].position)
            entries += page
        return entries

    async def read_updates(self, position: StreamPosition, block: float = 0.0) -> list[StreamEntry]:
        """Return entries after a position; if there are none, wait up to `block` seconds for some."""
        block_option: Command = ["BLOCK", int(block * 1000)] if block else []
        [streams] = await self._connection.call(
            ["XREAD", "COUNT", self._page_size, *block_option, "STREAMS", self._keys.events, str(position)],
            time_limit=block + self._timeout,
        )
        return [entry for _, entries in streams or () for entry in parse_entries(entries)]

    async def read_newest_position(self) -> StreamPosition:
        """Return the position of the newest entry; STREAM_START if there is none."""
        [reply] = await self._connection.call(
            ["XREVRANGE", self._keys.events, STREAM_END, FIRST_ID, "COUNT", 1]
        )
        entries = parse_entries(reply)
        return entries[0].position if entries else STREAM_START

    async def read_entries_from(self, position: StreamPosition) -> list[StreamEntry]:
        """Return all entries from a position on."""
        [reply] = await self._connection.call(["XRANGE", self._keys.events, str(position), STREAM_END])
        return parse_entries(reply)

    def scan_orders(self) -> AsyncIterator[str]:
        """Yield the encoded orders, page by page; one that changes meanwhile may come twice."""
        return self._scan_values(self._keys.orders)

    def scan_caches(self) -> AsyncIterator[str]:
        """Yield the encoded caches, page by page; one that changes meanwhile may come twice."""
        return self._scan_values(self._keys.caches)

    async def _scan_values(self, key: str) -> AsyncIterator[str]:
        cursor = "0"
        while True:
            [(cursor, names_and_values)] = await self._connection.call(
                ["HSCAN", key, cursor, "COUNT", self._page_size]
            )
            for value in names_and_values[1::2]:
                yield value
            if str(cursor) == "0":
                return
