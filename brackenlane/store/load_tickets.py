"""Load tickets: counters in the store that spread the full loads of all routers over time."""

from __future__ import annotations

import trio

from brackenlane.clock import steady_time
from brackenlane.coldstart.pacing import StorePacing
from brackenlane.store.connection import Connection
from brackenlane.store.keys import StoreKeys


class LoadTickets:
    """Draws load tickets for one router, from counters in the store that all routers share."""

    def __init__(self, connection: Connection, keys: StoreKeys, pacing: StorePacing, lifetime: int) -> None:
        """lifetime: seconds until a counter expires."""
        self._connection = connection
        self._keys = keys
        self._pacing = pacing
        self._lifetime = lifetime

    async def wait_for_turn(self) -> None:
        """Draw a ticket and wait until it allows a full load. Raises StoreError."""
        if self._pacing.capacity.router_count == 1:
            return
        window = self._pacing.current_ticket_window(steady_time())
        while True:
            ticket = await self._draw_ticket(window)
            windows_ahead = self._pacing.windows_ahead(ticket)
            if not windows_ahead:
                break
            window += windows_ahead
        await trio.sleep(self._pacing.ticket_delay(window, ticket, steady_time()))

    async def _draw_ticket(self, window: int) -> int:
        key = self._keys.load_tickets(window)
        ticket, _ = await self._connection.call(["INCR", key], ["EXPIRE", key, self._lifetime])
        return int(ticket)
