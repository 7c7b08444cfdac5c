"""The names of the Redis keys of one site. They identify stored data: renaming one requires a migration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreKeys:
    """The key names of one site."""

    site: str

    @property
    def caches(self) -> str:
        """Hash: the definition of each cache, by the cache's id."""
        return f"brackenlane:{self.site}:boxes"

    @property
    def orders(self) -> str:
        """Hash: the latest operator order for each cache, by the cache's id."""
        return f"brackenlane:{self.site}:orders"

    @property
    def events(self) -> str:
        """Stream: every change to the two hashes, and every purge."""
        return f"brackenlane:{self.site}:events"

    @property
    def capacity_hint(self) -> str:
        """String, written by an operator: the rates that the store can serve."""
        return f"brackenlane:{self.site}:pace"

    def file_registration(self, digest: str) -> str:
        """String: the router that is registering the caches of the file with this digest, or `done`."""
        return f"brackenlane:{self.site}:filed:{digest}"

    def load_tickets(self, window: int) -> str:
        """Counter: the number of load tickets drawn in a ticket window."""
        return f"brackenlane:{self.site}:loads:{window}"

    def claim(self, idempotency_key: str) -> str:
        """String: the router that claimed the submit with this idempotency key."""
        return f"brackenlane:{self.site}:claim:{idempotency_key}"
