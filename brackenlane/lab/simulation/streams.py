"""Streams: the bytes of a copy as they become available at one server, and their relay to the next."""

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
    """The bytes of a copy at one server: not started, started, complete or failed."""

    def __init__(self) -> None:
        self.started = False
        self.complete = False
        self.failure: Failure | None = None
        self.issued = 0.0  # time at which the origin sent the copy; set at the start
        self.from_origin = False  # whether the copy was fetched from the origin for this stream
        self.consumers = 0
        self._on_start: list[Callable[[], None]] = []
        self._on_end: list[Callable[[], None]] = []

    @property
    def ended(self) -> bool:
        """Whether the stream is complete or has failed."""
        return self.complete or self.failure is not None

    def listen(self, on_start: Callable[[], None], on_end: Callable[[], None]) -> None:
        """Register callbacks for the first byte and the end; those of past events are called at once."""
        if self.started:
            on_start()
        else:
            self._on_start.append(on_start)
        if self.ended:
            on_end()
        else:
            self._on_end.append(on_end)

    def start(self, issued: float, from_origin: bool) -> None:
        """Mark the first byte as available."""
        if self.started or self.ended:
            return
        self.started = True
        self.issued = issued
        self.from_origin = from_origin
        for callback in self._on_start:
            callback()

    def finish(self) -> None:
        """Mark the last byte as available."""
        if not self.ended:
            self.complete = True
            self._end()

    def fail(self, failure: Failure) -> None:
        """End the stream with a failure, unless it has ended."""
        if not self.ended:
            self.failure = failure
            self._end()

    def _end(self) -> None:
        callbacks, self._on_end = self._on_end, []
        for callback in callbacks:
            callback()


def complete_stream(issued: float) -> Stream:
    """Return the completed stream of a stored copy."""
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
    """Forward a stream over links as it arrives; the end of either stream ends the transfer."""
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
