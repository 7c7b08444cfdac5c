"""What the graceful shutdown asks of every front, so that each request it has taken gets an answer."""

from __future__ import annotations

from typing import Protocol


class Front(Protocol):
    """Takes requests of clients or operators, and owes an answer to each. The methods are called in order."""

    def stop_accepting(self) -> bool:
        """Take in the clients that wait, then accept no more; False to be called again after a pause."""

    def start_draining(self) -> None:
        """Take in the requests that have arrived, and no later ones. May be called again."""

    async def wait_until_closed(self) -> None:
        """Wait until every request that was taken has its answer."""

    def reject_open_requests(self) -> None:
        """Answer all open requests at once, though with an error: time is up."""
