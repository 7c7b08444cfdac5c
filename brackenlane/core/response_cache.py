"""The response cache: objects held in memory and served while our own link to clients has room."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from brackenlane.routing.events import Arrival, Purged
from brackenlane.routing.settings import RequestClass, Settings


@dataclass(slots=True, frozen=True)
class Copy:
    """One part of an object, as a cache gave it out."""

    arrival: Arrival  # of the request that it was fetched for: object, part and group
    body: bytes
    tag: str
    issued: float  # Unix time at which the origin gave it out


class ResponseCache:
    """Bounded in bytes; what was used longest ago goes first."""

    def __init__(self, settings: Settings, capacity: float, flow: float, link: float, slack: float) -> None:
        self.most = self._room = capacity
        self._flow, self._link, self._slack = flow, link, slack
        self._classes = {c.name: c for c in settings.classes if not c.uncached}
        self._kept: OrderedDict[tuple[str, str], Copy] = OrderedDict()
        self._bytes = 0.0
        self._free = 0.0  # when all that our link carries now has gone out

    def keep(self, copy: Copy) -> None:
        """Keep what a cache has answered."""
        size = len(copy.body)
        key = copy.arrival.cls, copy.arrival.cache_key
        if copy.arrival.cls not in self._classes or not 0 < size <= self._room / 8:
            return
        self._drop(key)
        self._kept[key] = copy
        self._bytes += size
        while self._bytes > self._room:
            self._drop(next(iter(self._kept)))

    @property
    def part(self) -> float:
        """Which part of all room may be used."""
        return self._room / self.most if self.most else 0.0

    def allow(self, capacity: float) -> None:
        """Keep no more bytes than so many from now on."""
        self._room = capacity
        while self._bytes > self._room:
            self._drop(next(iter(self._kept)))

    def holds(self, cls: str, copy: str) -> bool:
        """Whether there is one; whether it may be served is `find`'s to say."""
        return (cls, copy) in self._kept

    def find(self, request: Arrival, tag: str, now: float) -> Copy | None:
        """The copy that serves a request in time by our own link, if there is one; it is taken as served."""
        cls, copy = self._classes.get(request.cls), self._kept.get((request.cls, request.cache_key))
        if cls is None or copy is None:
            return None
        # In the last fifth of its fresh time the caches are asked, which renew theirs behind an answer.
        if cls.fresh_for and now - copy.issued > 0.8 * cls.fresh_for - self._slack:
            self._drop((request.cls, request.cache_key))
            return None
        if not self._in_time(cls, len(copy.body) / 20 if tag == copy.tag else len(copy.body), now):
            return None
        self._kept.move_to_end((request.cls, request.cache_key))
        return copy

    def _in_time(self, cls: RequestClass, size: float, now: float) -> bool:
        """Whether our link sends it about as soon as one flow can; transfers share it in their order."""
        free = max(self._free, now) + size / self._link
        alone = size / self._flow
        if free - now > alone + cls.latency_objective / 8:  # a cache would send it sooner
            return False
        self._free = free
        return True

    def purge(self, event: Purged, now: float) -> None:
        """Guards against answering from a copy older than a purge: it goes as soon as we are told."""
        at = now - event.age + self._slack
        for key in [
            k
            for k, c in self._kept.items()
            if c.issued <= at
            and (c.arrival.obj == event.obj if event.obj else c.arrival.group == event.group)
        ]:
            self._drop(key)

    def _drop(self, key: tuple[str, str]) -> None:
        if copy := self._kept.pop(key, None):
            self._bytes -= len(copy.body)
