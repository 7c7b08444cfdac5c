"""Writes single events to the store, so that a later order is never replaced by an earlier one."""

from __future__ import annotations

import hiredis

from brackenlane.discovery.records import OperatorOrder
from brackenlane.store.connection import Command, Connection
from brackenlane.store.errors import StoreCommandError, StoreDataError, StoreUnavailableError
from brackenlane.store.event_applier import EventApplier
from brackenlane.store.event_codec import (
    CacheDefined,
    OrderGiven,
    PurgeRequested,
    StoreEvent,
    decode_order,
)
from brackenlane.store.event_commands import (
    append_command,
    read_order_commands,
    transaction,
    write_commands,
)
from brackenlane.store.keys import StoreKeys

MAX_WRITE_CONFLICTS = 10  # attempts to write an order; then the store counts as unavailable


class EventWriter:
    """Writes events over a connection that nothing else uses: its failure would end a transaction."""

    def __init__(
        self, connection: Connection, keys: StoreKeys, max_stream_length: int, applier: EventApplier
    ) -> None:
        self._connection = connection
        self._keys = keys
        self._max_stream_length = max_stream_length
        self._applier = applier

    async def write(self, event: StoreEvent) -> bool:
        """Write an event; False if the store has a later order, which is applied. Raises StoreError."""
        match event:
            case OrderGiven():
                return await self._write_order(event)
            case CacheDefined():
                await self._run_transaction(write_commands(event, self._keys, self._max_stream_length))
            case PurgeRequested():
                await self._append(event)
        return True

    async def _write_order(self, event: OrderGiven) -> bool:
        """Write an order unless the stored one takes precedence, whenever either was given or is written."""
        commands = write_commands(event, self._keys, self._max_stream_length)
        for _ in range(MAX_WRITE_CONFLICTS):
            _, text = await self._connection.call(*read_order_commands(event.server, self._keys))
            if not isinstance(text, str | None):
                raise StoreDataError(f"reply to HGET: {type(text).__name__}")
            stored = stored_order(text)
            if not event.order.supersedes(stored):
                return await self._leave_stored_order(event, stored, text)
            if await self._run_transaction(commands):
                return True
        raise StoreUnavailableError(f"other orders were written {MAX_WRITE_CONFLICTS} times meanwhile")

    async def _leave_stored_order(
        self, event: OrderGiven, stored: OperatorOrder | None, text: str | None
    ) -> bool:
        """Handle an order that the stored one equals, or supersedes; return whether it equals it."""
        await self._connection.call(["UNWATCH"])
        if stored == event.order:
            # An earlier attempt may have failed between the hash and the stream.
            await self._append(event)
            return True
        self._applier.apply_stored_order(str(text))
        return False

    async def _append(self, event: StoreEvent) -> None:
        await self._connection.call(append_command(event, self._keys, self._max_stream_length))

    async def _run_transaction(self, commands: list[Command]) -> bool:
        """Run commands in a transaction; return False if a watched key was written meanwhile."""
        *_, results = await self._connection.call(*transaction(commands))
        if results is None:
            return False
        if not isinstance(results, list):
            raise StoreDataError(f"reply to EXEC: {type(results).__name__}")
        for result in results:
            if isinstance(result, hiredis.ReplyError):
                raise StoreCommandError(str(result))
        return True


def stored_order(text: str | None) -> OperatorOrder | None:
    """Return the order in a value of the hash of orders; None if there is none or it cannot be decoded."""
    if not text:
        return None
    try:
        return decode_order(text).order
    except StoreDataError:
        return None
