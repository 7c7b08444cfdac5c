"""The memory budget: counts the memory that peers make this process hold, and frees the heaviest first.

A holder is whatever keeps bytes or entries that a client, a cache or an operator caused. It reports its size
whenever that changes. It performs no I/O. Sizes are in bytes of memory, not of the wire.
"""

from __future__ import annotations

import logging
import math
from collections import OrderedDict
from typing import Protocol

log = logging.getLogger(__name__)

SHORT_SHARE = 0.75  # share of the capacity above which new requests are rejected
RELIEF_SHARE = 0.625  # share of the capacity down to which holders are freed
# Bytes up to which a holder, such as an idle connection, is freed only to get within the capacity itself.
LIGHT_HOLDER_SIZE = 4_096


class MemoryHolder(Protocol):
    """An object whose memory is counted."""

    def release_memory(self) -> str:
        """Free what can be freed without losing a request that may have run.

        Returns what was done, for the log; "" if nothing was freed.
        """


class MemoryWaiter(Protocol):
    """An object that waits for memory before it reads on."""

    def on_memory_available(self) -> None:
        """Read on; called once. It must not change any size before it returns."""


class MemoryBudget:
    """Sizes of all holders, their sum, and who waits for memory."""

    def __init__(self, capacity: float = math.inf) -> None:
        """capacity: bytes; infinite for a program without a limit."""
        self.capacity = capacity
        self.held = 0
        self.release_count = 0  # times that a holder was closed, refused or emptied
        self.wait_count = 0  # times that a connection had to wait for memory
        self._sizes: dict[MemoryHolder, int] = {}
        # Bytes for which each waits; the one that has waited longest comes first.
        self._waiters: OrderedDict[MemoryWaiter, int] = OrderedDict()
        self._is_relieving = False
        # Whether too little could be freed for a read, and below the share for new requests; `retry_relief`
        # tries both again.
        self._has_relief_failed = False
        self._has_early_relief_failed = False

    @property
    def is_short(self) -> bool:
        """Whether little memory is left, or some connection waits for it."""
        return self.held > SHORT_SHARE * self.capacity or bool(self._waiters)

    def must_reject(self) -> bool:
        """Return whether a new request is to be rejected: memory is short though the heaviest were freed."""
        if self.is_short:
            self.relieve()
        return self.is_short

    def size_of(self, holder: MemoryHolder) -> int:
        """Return the size that is counted for a holder."""
        return self._sizes.get(holder, 0)

    def resize(self, holder: MemoryHolder, size: int) -> None:
        """Count a holder with a new size; 0 removes it."""
        previous = self._sizes.get(holder, 0)
        if size == previous:
            return
        if size:
            self._sizes[holder] = size
        else:
            del self._sizes[holder]
        self.held += size - previous
        if size < previous and self._waiters:
            self._wake_waiters()

    def set_capacity(self, capacity: float) -> None:
        """Change the capacity; what is held beyond it is freed by the next `relieve`."""
        self.capacity = capacity
        if self._waiters:
            self._wake_waiters()

    def is_available(self, size: int) -> bool:
        """Return whether so many more bytes may be held."""
        return self.held + size <= self.capacity

    def ensure_available(self, size: int) -> bool:
        """Return whether so many more bytes may be held, after freeing holders if necessary.

        While holders are being freed it returns True: what they read for that is small and soon freed.
        """
        if self._is_relieving or self.is_available(size):
            return True
        self.relieve(size)
        return self.is_available(size)

    def relieve(self, size: int = 0) -> None:
        """Free holders, the heaviest first, until so many bytes and a margin are available."""
        target = min(RELIEF_SHARE * self.capacity, self.capacity - size)
        has_failed = self._has_relief_failed if size else self._has_early_relief_failed
        if self._is_relieving or has_failed or self.held <= target:
            return
        self._is_relieving = True
        try:
            self._free_heaviest(target, self.capacity - size)
        finally:
            self._is_relieving = False
        self._has_early_relief_failed = self.held > target
        if size:
            self._has_relief_failed = not self.is_available(size)

    def _free_heaviest(self, target: float, target_for_light_holders: float) -> None:
        for holder, _ in sorted(self._sizes.items(), key=lambda item: item[1], reverse=True):
            size = self._sizes.get(holder, 0)
            if self.held <= (target if size > LIGHT_HOLDER_SIZE else target_for_light_holders):
                return
            if not size:
                continue
            action = holder.release_memory()
            if action:
                self.release_count += 1
                log.warning(
                    "memory is short (%d kB held of %d kB): %s, which held %d kB",
                    self.held // 1024,
                    int(self.capacity) // 1024,
                    action,
                    size // 1024,
                )

    def wait(self, waiter: MemoryWaiter, size: int) -> None:
        """Call a waiter back once so many bytes are available."""
        if waiter not in self._waiters:
            self.wait_count += 1
            if not self._waiters:
                log.warning(
                    "memory is short (%d kB held of %d kB): reading waits",
                    self.held // 1024,
                    int(self.capacity) // 1024,
                )
        self._waiters[waiter] = size

    def stop_waiting(self, waiter: MemoryWaiter) -> None:
        """Forget a waiter."""
        self._waiters.pop(waiter, None)

    def retry_relief(self) -> None:
        """Free holders again that may have become freeable with time; to be called periodically."""
        self._has_relief_failed = False
        self._has_early_relief_failed = False
        if self._waiters:
            self.relieve(next(iter(self._waiters.values())))
        else:
            self.relieve()

    def _wake_waiters(self) -> None:
        available = self.capacity - self.held
        while self._waiters:
            waiter, size = next(iter(self._waiters.items()))
            if size > available:
                return
            available -= size
            del self._waiters[waiter]
            waiter.on_memory_available()
