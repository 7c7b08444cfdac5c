"""The routers of one engine: the current one, and those of earlier settings that still have requests."""

from __future__ import annotations

import math
from collections.abc import Iterator

from brackenlane.routing import Router
from brackenlane.routing.settings import Settings
from brackenlane.routing.slow_start import TokenBucket


class RouterSet:
    """Owner of the current and the retired routers; each request is decided by one of them to its end."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.current = Router(settings, seed)
        self.retired: list[Router] = []

    def __iter__(self) -> Iterator[Router]:
        """Iterate over all routers, the current one first; events about caches are for each of them."""
        return iter((self.current, *self.retired))

    def replace(self, router: Router) -> None:
        """Decide new requests by another router; the last keeps its requests, but no slow-start budget."""
        # Infinitely late: also the buckets of servers that it has yet to learn of stay empty.
        self.current.server_table.router_started_at = math.inf
        for server in self.current.servers.values():
            server.tokens = TokenBucket(math.inf)
        self.retired.append(self.current)
        self.current = router
        self.remove_idle()

    def remove_idle(self) -> None:
        """Let go of retired routers without a request or an attempt."""
        if self.retired:
            self.retired = [router for router in self.retired if router.pending_requests or router.attempts]

    def ejected_servers(self) -> set[str]:
        """Return the servers that outlier detection has ejected for now."""
        return {name for name, server in self.current.servers.items() if server.ejected_until}

    def spend_slow_start_budgets(self, now: float) -> None:
        """Count slow-start budgets as spent up to `now` (Unix seconds): another process may use them."""
        for server in self.current.servers.values():
            server.tokens = TokenBucket(now)
