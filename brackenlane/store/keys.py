"""The names of the Redis keys of one site. They are stored words: a change needs a migration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreKeys:
    """The keys of one site, by what they hold."""

    site: str

    @property
    def caches(self) -> str:
        """Hash: the definition of each cache, by its id."""
        return f"brackenlane:{self.site}:boxes"

    @property
    def orders(self) -> str:
        """Hash: the latest order of an operator for each cache, by its id."""
        return f"brackenlane:{self.site}:orders"

    @property
    def events(self) -> str:
        """Stream: every change of the hashes, and the purges."""
        return f"brackenlane:{self.site}:events"

    @property
    def capacity_hint(self) -> str:
        """String, written by an operator: the rates that the store can serve."""
        return f"brackenlane:{self.site}:pace"

    def file_registration(self, digest: str) -> str:
        """String: who registers the caches of the operator's file with this digest, or that it is done."""
        return f"brackenlane:{self.site}:filed:{digest}"

    def load_tickets(self, window: int) -> str:
        """Counter: the load tickets drawn in one ticket window."""
        return f"brackenlane:{self.site}:loads:{window}"

    def claim(self, idempotency_key: str) -> str:
        """String: the router that claimed a submit."""
        return f"brackenlane:{self.site}:claim:{idempotency_key}"
