"""The purges to be applied again after a restart; the snapshot contains them and the stream position."""

from __future__ import annotations

from brackenlane.clock import steady_time


class RecentPurges:
    """Owns the latest time of each recent purge, by object and group (Unix seconds, this router's clock)."""

    def __init__(self, lifetime: float, limit: int) -> None:
        """lifetime: seconds for which a purge is kept. limit: maximum number, past which none is added."""
        self.lifetime = lifetime
        self.by_target: dict[tuple[str, int], float] = {}
        self._limit = limit

    def record(self, obj: str, group: int, purged_at: float) -> None:
        """Record a purge unless it has expired, and drop those that have expired since."""
        oldest = steady_time() - self.lifetime
        self.by_target = {target: t for target, t in self.by_target.items() if t > oldest}
        if purged_at > oldest and len(self.by_target) < self._limit:
            self.by_target[obj, group] = max(purged_at, self.by_target.get((obj, group), purged_at))
