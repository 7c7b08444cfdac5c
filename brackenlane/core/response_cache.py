"""The response cache: keeps objects in memory and serves them while the link to clients has capacity.

Times are Unix seconds, sizes are bytes.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from brackenlane.routing.events import Arrival, Purged
from brackenlane.routing.settings import RequestClass, Settings

MAX_ENTRY_SHARE = 1 / 8  # maximum share of the capacity that one response may occupy
ENTRY_OVERHEAD = 1_024  # bytes of memory that an entry occupies besides its body
# Share of the fresh time for which an entry is served. After that a cache is asked, so that it revalidates
# its own copy.
USABLE_FRESHNESS = 0.8
UNCHANGED_SIZE_DIVISOR = 20  # an answer without a body counts as this fraction of the body size on the link
LINK_WAIT_SHARE = 1 / 8  # maximum wait for the link, as a share of the latency objective


@dataclass(slots=True, frozen=True)
class CacheEntry:
    """One part of an object, as received from a cache."""

    arrival: Arrival  # the request that fetched it; identifies the object, part and group
    body: bytes
    tag: str  # entity tag
    issued: float  # time at which the origin issued it, on the origin's clock
    received_at: float  # time at which this process received it, on this machine's clock

    @property
    def memory_size(self) -> int:
        """Bytes of memory that the entry occupies."""
        return len(self.body) + ENTRY_OVERHEAD

    def age(self, now: float) -> float:
        """Return the seconds since the origin issued it: its age on receipt plus the time since then."""
        return now - self.received_at + max(0.0, self.received_at - self.issued)

    def is_covered_by(self, purge: Purged) -> bool:
        """Whether a purge names this object or, if the purge names no object, its group."""
        if purge.obj:
            return self.arrival.obj == purge.obj
        return self.arrival.group == purge.group


class ResponseCache:
    """An LRU cache of responses by class and cache key, bounded in bytes."""

    def __init__(
        self,
        settings: Settings,
        capacity: float,
        transfer_rate: float,
        link_rate: float,
        clock_tolerance: float,
    ) -> None:
        """Create an empty cache.

        capacity: bytes of memory; transfer_rate: rate of one transfer in bytes per second; link_rate: rate of
        all transfers together in bytes per second; clock_tolerance: seconds by which the clocks of two
        machines may differ.
        """
        self.max_capacity = capacity
        self._capacity = capacity
        self._transfer_rate = transfer_rate
        self._link_rate = link_rate
        self._clock_tolerance = clock_tolerance
        self._classes = {c.name: c for c in settings.classes if not c.uncached}
        self._entries: OrderedDict[tuple[str, str], CacheEntry] = OrderedDict()
        self.size = 0  # bytes of memory that the entries occupy
        self._link_free_at = 0.0  # time at which the link will have sent all answers assigned to it

    @property
    def share(self) -> float:
        """The share of the configured capacity that may be used."""
        return self._capacity / self.max_capacity if self.max_capacity else 0.0

    def set_capacity(self, capacity: float) -> None:
        """Set the maximum number of bytes; entries over it are evicted."""
        self._capacity = capacity
        self.evict_to(capacity)

    def store(self, entry: CacheEntry) -> None:
        """Store an entry, unless its class is not cacheable or it is too large."""
        size = entry.memory_size
        if entry.arrival.cls not in self._classes or not entry.body:
            return
        if size > self._capacity * MAX_ENTRY_SHARE:
            return
        key = (entry.arrival.cls, entry.arrival.cache_key)
        self._drop(key)
        self._entries[key] = entry
        self.size += size
        self.evict_to(self._capacity)

    def holds(self, cls: str, cache_key: str) -> bool:
        """Whether an entry is stored; `find` decides whether it may be served.

        cache_key: identifies one part of an object.
        """
        return (cls, cache_key) in self._entries

    def find(self, request: Arrival, tag: str, now: float) -> CacheEntry | None:
        """Return the entry for a request, and reserve the link for it.

        Returns None if there is no usable entry, or if the link is too busy to send it in time.

        tag: entity tag of the client's copy; if it matches the entry, no body is sent.
        """
        key = (request.cls, request.cache_key)
        cls = self._classes.get(request.cls)
        entry = self._entries.get(key)
        if cls is None or entry is None:
            return None
        usable_for = USABLE_FRESHNESS * cls.fresh_for - self._clock_tolerance
        if cls.fresh_for and entry.age(now) > usable_for:
            self._drop(key)
            return None
        size = len(entry.body)
        sent_size = size / UNCHANGED_SIZE_DIVISOR if tag == entry.tag else size
        if not self._reserve_link(cls, sent_size, now):
            return None
        self._entries.move_to_end(key)
        return entry

    def purge(self, event: Purged, now: float) -> None:
        """Remove every entry that a purge covers and that was issued before the purge."""
        purged_at = (event.purged_at or now - event.age) + self._clock_tolerance
        stale = [
            key
            for key, entry in self._entries.items()
            if entry.issued <= purged_at and entry.is_covered_by(event)
        ]
        for key in stale:
            self._drop(key)

    def _reserve_link(self, cls: RequestClass, size: float, now: float) -> bool:
        """Reserve the link for an answer if it would be sent about as soon as a cache could send it.

        Answers share the link in order of reservation.
        """
        free_at = max(self._link_free_at, now) + size / self._link_rate
        transfer_time = size / self._transfer_rate
        if free_at - now > transfer_time + cls.latency_objective * LINK_WAIT_SHARE:
            return False
        self._link_free_at = free_at
        return True

    def evict_to(self, size: float) -> None:
        """Evict the least recently used entries until they occupy at most so many bytes."""
        while self.size > size and self._entries:
            self._drop(next(iter(self._entries)))

    def _drop(self, key: tuple[str, str]) -> None:
        if entry := self._entries.pop(key, None):
            self.size -= entry.memory_size
