"""Connection pools of all listed servers, and the periodic liveness check of their connections."""

from __future__ import annotations

import logging

from brackenlane.clock import steady_time
from brackenlane.config import Endpoint
from brackenlane.core.membership_view import MembershipView
from brackenlane.core.memory_budget import MemoryBudget
from brackenlane.core.requests import Attempt
from brackenlane.core.timers import Timer, Timers
from brackenlane.limits import Limits
from brackenlane.net.connection_context import (
    ConnectionContext,
    ConnectionQuota,
    CountWrittenAttempt,
    ReportReply,
)
from brackenlane.net.connection_pool import ConnectionPool
from brackenlane.net.poller import Poller
from brackenlane.routing.settings import Settings

log = logging.getLogger(__name__)


class ConnectionPools:
    """Connection pools by server id; a new server may have the address of a removed one."""

    def __init__(
        self,
        membership: MembershipView,
        limits: Limits,
        settings: Settings,
        report: ReportReply,
        poller: Poller,
        timers: Timers,
        count_written: CountWrittenAttempt = lambda _: None,
        memory: MemoryBudget | None = None,
    ) -> None:
        quota = ConnectionQuota(limits.max_cache_connections)
        quota.close_idle = self._close_longest_idle
        self._context = ConnectionContext(
            membership,
            limits,
            poller,
            timers,
            report,
            count_written,
            quota,
            settings,
            memory or MemoryBudget(),
        )
        self._endpoints: dict[str, Endpoint] = {}
        self._pools: dict[str, ConnectionPool] = {}
        self._removed_pools: list[ConnectionPool] = []  # pools of unlisted servers, with requests in flight
        self._are_all_idle = False  # no response is awaited, so checks run at the longer idle interval
        self._next_check = self._schedule_check(steady_time(), limits.connection_check_interval)

    def dispatch(self, attempt: Attempt) -> bool:
        """Dispatch an attempt to the pool of its server; return False if the pool does not accept it."""
        pool = self._pool_for(attempt.fetch.server)
        if pool is None:
            return False
        if self._are_all_idle:
            self._are_all_idle = False
            self._next_check.cancel()
            self._next_check = self._schedule_check(
                steady_time(), self._context.limits.connection_check_interval
            )
        return pool.dispatch(attempt)

    def _pool_for(self, server: str) -> ConnectionPool | None:
        pool = self._pools.get(server)
        if pool is None and server in self._endpoints:
            pool = ConnectionPool(self._endpoints[server], self._context)
            self._pools[server] = pool
        return pool

    def update_servers(self, endpoints: dict[str, Endpoint], gone: set[str], complete: bool) -> None:
        """Update the addresses of the servers from a new or changed list.

        gone: servers that were removed; complete: servers missing from `endpoints` are removed as well.
        """
        if complete:
            gone = gone | (self._endpoints.keys() - endpoints.keys())
            self._endpoints = {}
        for server in gone:
            self._endpoints.pop(server, None)
            if pool := self._pools.pop(server, None):
                pool.remove()
                self._removed_pools.append(pool)
        self._endpoints.update(endpoints)
        for server, endpoint in endpoints.items():
            if pool := self._pools.get(server):
                pool.move(endpoint)

    def recheck(self) -> None:
        """Finish queued attempts that may no longer be sent to their server after a change of the list."""
        for pool in self._all_pools():
            pool.recheck_waiting()

    def reconfigure(self, limits: Limits, settings: Settings) -> None:
        """Apply new limits and settings, to open connections as well."""
        context = self._context
        context.limits = limits
        context.settings = settings
        context.quota.maximum = limits.max_cache_connections

    def _all_pools(self) -> tuple[ConnectionPool, ...]:
        return (*self._pools.values(), *self._removed_pools)

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        idle = [connection for pool in self._all_pools() for connection in pool.idle_connections]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.last_activity).close()
        return True

    # Periodic check

    def _schedule_check(self, now: float, delay: float) -> Timer:
        return self._context.timers.call_at(now + delay, self._check_liveness, now + delay)

    def _check_liveness(self, due: float) -> None:
        """Check all connections; due: Unix time at which this check was scheduled."""
        now = steady_time()
        # Time in which this process was too slow to read does not count as silence of a cache.
        lag = max(0.0, now - due)
        # A check may dispatch an attempt through `dispatch`, which must not schedule a second check.
        self._are_all_idle = False
        for pool in list(self._pools.values()):
            self._check_pool(pool, now, lag)
        self._removed_pools = [pool for pool in self._removed_pools if self._check_pool(pool, now, lag)]
        self._are_all_idle = not any(pool.is_busy for pool in self._all_pools())
        limits = self._context.limits
        delay = (
            limits.idle_connection_check_interval if self._are_all_idle else limits.connection_check_interval
        )
        self._next_check = self._schedule_check(now, delay)

    @staticmethod
    def _check_pool(pool: ConnectionPool, now: float, lag: float) -> bool:
        """Check one pool; return whether connections or queued attempts remain in it."""
        try:
            return pool.check_liveness(now, lag)
        except Exception:  # the other pools are still checked
            log.exception("unexpected error in the liveness check of a cache's connections")
            return True
