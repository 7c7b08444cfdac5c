"""Links whose bandwidth is divided evenly among their transfers (processor sharing).

The pace of one client is the unit of transfer rates. Work is in transfer-seconds: the time that a transfer
takes at that pace. A link's width is its bandwidth: the number of transfers that it carries at that pace.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from brackenlane.lab.simulation.clock import EventQueue, ScheduledCall

MAX_SHARE = 5.0  # highest rate of a transfer, in multiples of a client's pace
NEGLIGIBLE_WORK = 1e-9  # transfer-seconds; less remaining work counts as none, because of rounding errors
MIN_WIDTH = 1e-3  # keeps rates above zero


class FairLink:
    """A link that gives each transfer an equal share of its width."""

    def __init__(self, width: float) -> None:
        """width: bandwidth, as the number of transfers at a client's pace."""
        self._width = max(width, MIN_WIDTH)
        self._transfers: dict[Transfer, None] = {}
        self.share = MAX_SHARE  # rate of each transfer, in multiples of a client's pace

    def __len__(self) -> int:
        return len(self._transfers)

    @property
    def width(self) -> float:
        """Bandwidth, as the number of transfers at a client's pace."""
        return self._width

    def set_width(self, width: float) -> None:
        """Change the bandwidth."""
        self._width = max(width, MIN_WIDTH)
        self._update_share()

    def add(self, transfer: Transfer) -> None:
        """Add a transfer and update the rates."""
        self._transfers[transfer] = None
        self._update_share()

    def remove(self, transfer: Transfer) -> None:
        """Remove a transfer and update the rates."""
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
    """A transfer over one or more links, at the smallest of their shares."""

    def __init__(
        self,
        queue: EventQueue,
        links: Sequence[FairLink],
        work: float,
        pace: float,
        on_done: Callable[[], None],
    ) -> None:
        """work: transfer-seconds; pace: highest rate; on_done: called after the last byte."""
        self._queue = queue
        self._links = links
        self._remaining = work
        self._pace = pace
        self._on_done = on_done
        self._rate = 0.0
        self._updated_at = queue.now
        self._completion_check: ScheduledCall | None = None
        self._completion_check_at = math.inf  # at the latest when the transfer ends
        for link in links:
            link.add(self)
        self.update()

    def update(self) -> None:
        """Adapt the rate after a change of a link's share."""
        rate = self._pace
        for link in self._links:
            if link.share < rate:
                rate = link.share
        if rate == self._rate:
            return
        self._update_remaining()
        self._rate = rate
        finish = self._queue.now + self._remaining / rate
        # A transfer that has become slower keeps its check, which finds it unfinished and schedules the next.
        if finish < self._completion_check_at:
            self._schedule(finish)

    def cancel(self) -> None:
        """Stop the transfer without calling `on_done`."""
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
