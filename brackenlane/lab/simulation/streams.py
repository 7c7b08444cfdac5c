"""Bytes of one copy as they become available at one place, and how one place feeds the next."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum

from brackenlane.lab.simulation.clock import EventQueue
from brackenlane.lab.simulation.links import FairLink, Transfer


class Failure(Enum):
    """Why a stream ended before its last byte."""

    FULL = "turned away unseen"
    NO_PLACE = "no place for a fill"
    UNREACHABLE = "not reached"
    LACKING = "no copy that will do"
    ERROR = "an error answer"
    BROKEN = "broken off"
    SOURCE_REFUSED = "refused by the source"
    SOURCE_UNREACHABLE = "source not reached"
    SOURCE_LACKING = "the source lacks it"
    SOURCE_FAILED = "the source failed"
    SLOW = "no first byte from the source in time"
    ORIGIN = "the origin failed behind a parent"
    CANCELLED = "cancelled"


class Stream:
    """A copy's bytes at one place: none yet, flowing, all there, or failed."""

    def __init__(self) -> None:
        self.started = False
        self.complete = False
        self.failure: Failure | None = None
        self.issued = 0.0  # when the origin gave the copy out, once started
        self.from_origin = False  # whether the origin took part
        self.consumers = 0
        self._on_start: list[Callable[[], None]] = []
        self._on_end: list[Callable[[], None]] = []

    @property
    def ended(self) -> bool:
        """Whether nothing more happens."""
        return self.complete or self.failure is not None

    def listen(self, on_start: Callable[[], None], on_end: Callable[[], None]) -> None:
        """Call back at the first byte and at the end; at once if they have been."""
        if self.started:
            on_start()
        else:
            self._on_start.append(on_start)
        if self.ended:
            on_end()
        else:
            self._on_end.append(on_end)

    def start(self, issued: float, from_origin: bool) -> None:
        """The first byte."""
        if self.started or self.ended:
            return
        self.started = True
        self.issued = issued
        self.from_origin = from_origin
        for callback in self._on_start:
            callback()

    def finish(self) -> None:
        """The last byte."""
        if not self.ended:
            self.complete = True
            self._end()

    def fail(self, failure: Failure) -> None:
        """No more bytes."""
        if not self.ended:
            self.failure = failure
            self._end()

    def _end(self) -> None:
        callbacks, self._on_end = self._on_end, []
        for callback in callbacks:
            callback()


def complete_stream(issued: float) -> Stream:
    """A copy that is all there."""
    stream = Stream()
    stream.start(issued, False)
    stream.finish()
    return stream


def relay(
    queue: EventQueue,
    upstream: Stream,
    downstream: Stream,
    links: Sequence[FairLink],
    work: float,
    pace: float,
    latency: float = 0.0,
) -> None:
    """Pass on a stream through links while it comes; its end ends the transfer, and the reverse."""
    transfers: list[Transfer] = []
    finished_transfers: list[bool] = []

    def check() -> None:
        if finished_transfers and upstream.complete:
            downstream.finish()

    def transferred() -> None:
        finished_transfers.append(True)
        check()

    def begin() -> None:
        if not downstream.ended:
            downstream.start(upstream.issued, upstream.from_origin)
            transfers.append(Transfer(queue, links, work, pace, transferred))

    def started() -> None:
        queue.after(latency, begin)

    def upstream_ended() -> None:
        if upstream.failure:
            downstream.fail(upstream.failure)
        else:
            check()

    def stop() -> None:
        upstream.consumers -= 1
        if not finished_transfers:
            for transfer in transfers:
                transfer.cancel()

    upstream.consumers += 1
    downstream.listen(lambda: None, stop)
    upstream.listen(started, upstream_ended)
