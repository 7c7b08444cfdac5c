"""The routers of one engine: the current one, and retired ones that still have requests."""

from __future__ import annotations

import math
from collections.abc import Iterator

from brackenlane.routing import Router
from brackenlane.routing.slow_start import TokenBucket


class RouterSet:
    """The current and the retired routers; the router that starts a request makes all its decisions."""

    def __init__(self, router: Router) -> None:
        self.current = router
        self.retired: list[Router] = []

    def __iter__(self) -> Iterator[Router]:
        """Iterate over all routers, the current one first; events about caches go to each of them."""
        return iter((self.current, *self.retired))

    def replace(self, router: Router) -> None:
        """Use another router for new requests.

        The old router keeps its requests but loses its slow-start budgets, which the new one uses.
        """
        # With an infinite start time buckets stay empty, also those of servers that are added later.
        self.current.server_table.router_started_at = math.inf
        for server in self.current.servers.values():
            server.slow_start_bucket = TokenBucket(math.inf)
        self.retired.append(self.current)
        self.current = router
        self.remove_idle()

    def remove_idle(self) -> None:
        """Remove retired routers that have no requests and no attempts."""
        if self.retired:
            self.retired = [router for router in self.retired if router.pending_requests or router.attempts]

    def ejected_servers(self) -> set[str]:
        """Return the servers that are currently ejected by outlier detection."""
        return {name for name, server in self.current.servers.items() if server.ejected_until}

    def spend_slow_start_budgets(self, now: float) -> None:
        """Mark the slow-start budgets as used up to `now` (Unix seconds); another process may use them."""
        for server in self.current.servers.values():
            server.slow_start_bucket = TokenBucket(now)
