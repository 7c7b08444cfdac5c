"""Load reports that caches attach to their answers: refreshed at intervals, with random noise."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brackenlane.lab.simulation.world import World

REFRESH_INTERVAL = 0.3  # seconds
MAX_NOISE = 0.1  # largest relative error of a reported value


@dataclass(slots=True, frozen=True)
class Report:
    """The load that one cache reported, and when."""

    at: float
    values: tuple[tuple[str, float], ...]


class Reports:
    """The latest reports of all caches."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._latest: dict[str, Report] = {}

    def latest(self, server: str) -> tuple[tuple[str, float], ...]:
        """Return the report in a cache's answers; empty if reports are off or the server is not a cache."""
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
