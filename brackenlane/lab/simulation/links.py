"""Links that are divided evenly among their transfers (processor sharing).

Work is in transfer-seconds: the time that a transfer takes alone at the pace of one client. A link's width is
the number of such transfers that it carries at full pace.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from brackenlane.lab.simulation.clock import EventQueue, ScheduledCall

MAX_SHARE = 5.0  # times a client's pace, above which no transfer runs
NEGLIGIBLE_WORK = 1e-9  # transfer-seconds left that count as none: rounding
MIN_WIDTH = 1e-3  # so that a rate never is zero


class FairLink:
    """One link, in which each transfer has an equal share."""

    def __init__(self, width: float) -> None:
        """width: transfers at full pace."""
        self._width = max(width, MIN_WIDTH)
        self._transfers: dict[Transfer, None] = {}
        self.share = MAX_SHARE  # of each transfer, in paces

    def __len__(self) -> int:
        return len(self._transfers)

    @property
    def width(self) -> float:
        """Transfers at full pace."""
        return self._width

    def set_width(self, width: float) -> None:
        """Widen or narrow the link."""
        self._width = max(width, MIN_WIDTH)
        self._update_share()

    def add(self, transfer: Transfer) -> None:
        """One transfer more."""
        self._transfers[transfer] = None
        self._update_share()

    def remove(self, transfer: Transfer) -> None:
        """One transfer less."""
        self._transfers.pop(transfer, None)
        self._update_share()

    def _update_share(self) -> None:
        share = min(MAX_SHARE, self._width / max(1, len(self._transfers)))
        if share == self.share:
            return
        self.share = share
        for transfer in self._transfers:
            transfer.update()


class Transfer:
    """Bytes on their way through one or more links, as fast as the narrowest share allows."""

    def __init__(
        self,
        queue: EventQueue,
        links: Sequence[FairLink],
        work: float,
        pace: float,
        on_done: Callable[[], None],
    ) -> None:
        """work: transfer-seconds; pace: the highest rate; done: called when the last byte has passed."""
        self._queue = queue
        self._links = links
        self._remaining = work
        self._pace = pace
        self._on_done = on_done
        self._rate = 0.0
        self._updated_at = queue.now
        self._completion_check: ScheduledCall | None = None
        self._completion_check_at = math.inf  # never later than the last byte
        for link in links:
            link.add(self)
        self.update()

    def update(self) -> None:
        """Follow a change of the shares."""
        rate = self._pace
        for link in self._links:
            if link.share < rate:
                rate = link.share
        if rate == self._rate:
            return
        self._update_remaining()
        self._rate = rate
        finish = self._queue.now + self._remaining / rate
        if finish < self._completion_check_at:  # one that has become slower is found unfinished at its check
            self._schedule(finish)

    def cancel(self) -> None:
        """Stop; `done` is not called."""
        if self._completion_check:
            self._completion_check.cancel()
        for link in self._links:
            link.remove(self)

    def _update_remaining(self) -> None:
        now = self._queue.now
        self._remaining = max(0.0, self._remaining - self._rate * (now - self._updated_at))
        self._updated_at = now

    def _schedule(self, at: float) -> None:
        if self._completion_check:
            self._completion_check.cancel()
        self._completion_check = self._queue.at(at, self._end_if_passed)
        self._completion_check_at = at

    def _end_if_passed(self) -> None:
        self._update_remaining()
        if self._remaining > NEGLIGIBLE_WORK:
            return self._schedule(self._queue.now + self._remaining / self._rate)
        self.cancel()
        self._on_done()
