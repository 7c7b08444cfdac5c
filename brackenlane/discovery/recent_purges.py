"""The purges to be applied again after a restart; the snapshot contains them."""

from __future__ import annotations

from collections.abc import Iterable

from brackenlane.clock import steady_time
from brackenlane.routing.purges import ALL_OBJECTS

PurgeTarget = tuple[str, int]  # object and group, as in `routing.events.Purged`
# A purge of all objects covers every other one.
EVERYTHING: PurgeTarget = ("", ALL_OBJECTS)


class RecentPurges:
    """Owns the latest time of each recent purge, by object and group (Unix seconds, this router's clock)."""

    def __init__(self, lifetime: float, limit: int) -> None:
        """lifetime: seconds for which a purge is kept.

        limit: maximum number; past it the older half counts as one purge of all objects.
        """
        self.lifetime = lifetime
        self.by_target: dict[PurgeTarget, float] = {}
        self._limit = limit

    def record(self, obj: str, group: int, purged_at: float) -> None:
        """Record a purge unless it has expired, and drop those that have expired since."""
        oldest = steady_time() - self.lifetime
        self.by_target = {target: t for target, t in self.by_target.items() if t > oldest}
        if purged_at <= oldest:
            return
        self._put((obj, group), purged_at)
        if len(self.by_target) > self._limit:
            self._merge_oldest()

    def _put(self, target: PurgeTarget, purged_at: float) -> None:
        self.by_target[target] = max(purged_at, self.by_target.get(target, purged_at))

    def _merge_oldest(self) -> None:
        oldest_first = sorted(self.by_target.items(), key=lambda item: item[1])
        merged = oldest_first[: len(oldest_first) // 2 + 1]
        for target, _ in merged:
            del self.by_target[target]
        self._put(EVERYTHING, merged[-1][1])


def purges_after_restart(
    purges: Iterable[tuple[str, int, float]], saved_at: float, now: float
) -> list[tuple[str, int, float]]:
    """Return the purges of a snapshot (object, group, Unix seconds), with times of this process's clock.

    The time between `saved_at` and now is not known if the wall clock was stepped, and counts as 0. A purge
    thus counts as later than it was and lasts longer, which allows no older copy.
    """
    return [(obj, group, now - max(0.0, saved_at - purged_at)) for obj, group, purged_at in purges]
