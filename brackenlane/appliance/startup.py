"""Fills the registry of a starting appliance from its file and its snapshot until the shared store answers.

The snapshot holds the caches, purges and operators' orders that were known when this router last ran. The
caches of a snapshot that is too old to be trusted are not used unless the store fails to answer; the
operators' orders in it apply at once in any case.
"""

from __future__ import annotations

import logging

import trio

from brackenlane.appliance.config import ApplianceConfig
from brackenlane.clock import steady_time
from brackenlane.coldstart.phases import StartupEvent, StartupPhases
from brackenlane.discovery import snapshot
from brackenlane.discovery.recent_purges import EVERYTHING
from brackenlane.discovery.records import DefinitionSource, PersistedMembership
from brackenlane.discovery.registry import Registry
from brackenlane.discovery.snapshot_codec import Snapshot
from brackenlane.limits import Limits

log = logging.getLogger(__name__)


class RegistryBootstrap:
    """Loads the snapshot of one router and fills the registry at startup.

    loaded_snapshot: the snapshot; None if there is none. operator_changes: the snapshot, or without one
    configured the file of the console's changes; None if there is none. is_snapshot_trusted: whether the
    caches of the snapshot may be used before the store has answered; also true if there is no snapshot.
    """

    def __init__(self, config: ApplianceConfig, registry: Registry, phases: StartupPhases) -> None:
        """Load the snapshot, if a file is configured."""
        self._config = config
        self._registry = registry
        self._phases = phases
        path = config.discovery.snapshot_path
        self.loaded_snapshot = snapshot.load(path) if path else None
        self.operator_changes = self.loaded_snapshot if path else snapshot.load(config.console_changes_path)
        self.is_snapshot_trusted = True

    def fill_registry(self) -> None:
        """Add the contents of the snapshot, then the caches of the file; no network access."""
        now = steady_time()
        if self._config.discovery.snapshot_path and not self._are_caches_warm(now):
            self._registry.apply(self._registry.merge.count_all_as_cold(now))
        if self.loaded_snapshot:
            self.is_snapshot_trusted = self._config.redis is None or self._is_younger_than(
                self._config.coldstart.trust, now
            )
        if self.loaded_snapshot and self.is_snapshot_trusted:
            self._restore(self.loaded_snapshot)
        elif self.operator_changes:
            self._restore_orders(self.operator_changes, now)
        if self.operator_changes:
            self._registry.restore_purges(self.operator_changes.purges, self.operator_changes.saved_at, now)
        elif self._config.redis is None:
            # Without any record of purges, every object may have been purged just before the start.
            self._registry.purge(*EVERYTHING, now)
        for cache in self._config.discovery.caches:
            self._registry.define(DefinitionSource.FILE, cache)

    async def fall_back_without_store(self, limits: Limits) -> None:
        """While the store doesn't answer, purge all copies, and later use the old snapshot."""
        await trio.sleep(limits.purge_recovery_timeout)
        if self._phases.is_store_read:
            return
        # The purges that were ordered while this router was down are unknown, so every object is treated as
        # purged until the caches have dropped purged copies by themselves (purge_propagation_time).
        log.warning("the store has not answered yet: no copy from before now is served")
        self._registry.purge(*EVERYTHING, steady_time())
        if self.loaded_snapshot is None or self.is_snapshot_trusted:
            return
        await trio.sleep(max(0.0, self._config.coldstart.patience - limits.purge_recovery_timeout))
        if not self._phases.is_store_read:
            # Addresses from an old snapshot are better than no addresses.
            self._restore(self.loaded_snapshot)

    def _are_caches_warm(self, now: float) -> bool:
        """Return whether the caches can be assumed to have kept their contents.

        They are if this router shut down in an orderly way a short time ago. After a power failure the caches
        may have restarted as well, and after a long time their contents may have changed.
        """
        if self.loaded_snapshot is None or not self.loaded_snapshot.is_shutdown:
            return False
        return self._is_younger_than(self._config.discovery.policy.max_warm_age, now)

    def _is_younger_than(self, max_age: float, now: float) -> bool:
        assert self.loaded_snapshot is not None
        return 0 <= now - self.loaded_snapshot.saved_at <= max_age

    def _restore(self, loaded_snapshot: Snapshot) -> None:
        """Use the caches and orders of a snapshot."""
        now = steady_time()
        merge = self._registry.merge
        self._registry.apply(merge.restore_snapshot(loaded_snapshot.memory, loaded_snapshot.saved_at, now))
        self._phases.step(StartupEvent.SNAPSHOT_RESTORED, now)
        log.info(
            "snapshot of %.0f s ago restored: %d caches", now - loaded_snapshot.saved_at, len(merge.caches)
        )

    def _restore_orders(self, loaded_snapshot: Snapshot, now: float) -> None:
        orders = PersistedMembership(orders=loaded_snapshot.memory.orders)
        self._registry.apply(self._registry.merge.restore_snapshot(orders, now, now))
