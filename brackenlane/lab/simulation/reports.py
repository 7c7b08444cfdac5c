"""Load reports that caches attach to answers: refreshed now and then, and a little noisy."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brackenlane.lab.simulation.world import World

REFRESH_INTERVAL = 0.3  # seconds
MAX_NOISE = 0.1  # of a value, at most


@dataclass(slots=True, frozen=True)
class Report:
    """What one cache said of itself at a moment."""

    at: float
    values: tuple[tuple[str, float], ...]


class Reports:
    """The latest reports of all caches."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._latest: dict[str, Report] = {}

    def latest(self, server: str) -> tuple[tuple[str, float], ...]:
        """What a cache's answers carry now; nothing where reports are off or the server is no cache."""
        cache = self._world.caches.get(server)
        if cache is None or not self._world.site.load_reports:
            return ()
        now = self._world.queue.now
        report = self._latest.get(server)
        if report is None or now > report.at + REFRESH_INTERVAL:
            noise = 1 + self._world.random.uniform(-MAX_NOISE, MAX_NOISE)
            values = (
                ("inflight", float(round(cache.inflight * noise))),
                ("x0", cache.recent_hit_ratio * noise),
            )
            report = self._latest[server] = Report(now, values)
        return report.values
