"""Connection probes of cache addresses, so that the address in a stale DNS answer is not used."""

from __future__ import annotations

from collections.abc import Iterable

import trio

from brackenlane.net.connector import connect


class AddressProbe:
    """Opens and closes TCP connections to test addresses, with a limit on concurrent ones."""

    def __init__(self, connect_timeout: float, max_connections: int) -> None:
        """`connect_timeout`: seconds."""
        self._connect_timeout = connect_timeout
        self._capacity = trio.CapacityLimiter(max_connections)

    async def select_reachable(self, addresses: Iterable[str], ports: set[int]) -> list[str]:
        """Return the addresses that accept a connection on one of the ports."""
        return [address for address in addresses if await self.is_reachable(address, ports)]

    async def is_reachable(self, address: str, ports: set[int]) -> bool:
        """Return whether an address accepts a connection on one of the ports."""
        for port in ports:
            async with self._capacity:
                if await self._can_connect(address, port):
                    return True
        return False

    async def _can_connect(self, address: str, port: int) -> bool:
        with trio.move_on_after(self._connect_timeout):
            try:
                stream = await connect((address, port))
            except OSError:
                return False
            await trio.aclose_forcefully(stream)
            return True
        return False
