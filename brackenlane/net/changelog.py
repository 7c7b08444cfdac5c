"""The actor that follows the change log: boxes and purges, to the core and to the boxes' actors."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable, Iterable

import trio

from brackenlane.config import Endpoint, Site
from brackenlane.limits import Limits
from brackenlane.net.depots import Depots, connect
from brackenlane.net.listing import Change, FrameReader, ListError, read_frame
from frostsail.interface import Event, ListKind, Membership, State

log = logging.getLogger(__name__)


class ChangeLog:
    """Follows one change log from the last event held."""

    def __init__(self, endpoint: Endpoint | None, site: Site, limits: Limits, depots: Depots,
                 tell: Callable[[Event], Awaitable[None]]) -> None:
        self._endpoint, self._site, self._limits = endpoint, site, limits
        self._depots, self._tell = depots, tell
        self._round = trio.CancelScope()  # of the connection to the address in force
        self.last = 0

    def move(self, endpoint: Endpoint | None) -> None:
        """Go on at another address, at once, from the last event held."""
        if endpoint != self._endpoint:
            self._endpoint = endpoint
            self._round.cancel()

    async def start(self, known: Iterable[Change], last: int) -> None:
        """Take in what the configuration already knows."""
        for change in known:
            await self._take(change)
        self.last = max(self.last, last)

    async def run(self) -> None:
        """Follow for good; what was missed while away comes first on the next connection."""
        while True:
            with trio.CancelScope() as self._round:
                if self._endpoint is None:
                    await trio.sleep_forever()
                try:
                    await self._follow(self._endpoint)
                except (OSError, trio.BrokenResourceError, ListError, trio.TooSlowError) as fault:
                    log.warning("change log: %s", fault or type(fault).__name__)
                await trio.sleep(self._limits.log_retry)

    async def _follow(self, endpoint: Endpoint) -> None:
        with trio.fail_after(self._limits.log_silence):
            stream = await connect(endpoint)
        async with stream:
            reader = FrameReader(self._limits.frame)
            with trio.fail_after(self._limits.log_silence):
                await stream.send_all(self.last.to_bytes(8, "big"))
            while True:
                # Guards against a log that is cut off: its connection stays open and says nothing.
                with trio.fail_after(self._limits.log_silence):
                    data = await stream.receive_some(65536)
                if not data:
                    return
                for number, kind, payload in reader.feed(data):
                    await self._take(read_frame(number, kind, payload, self._site, time.time()))

    async def _take(self, change: Change) -> None:
        event = change.event
        if event is None or change.number <= self.last:
            return
        if isinstance(event, Membership):
            gone = {m.server for m in event.members if m.state is State.GONE}
            self._depots.follow(change.endpoints, gone, event.kind is ListKind.FULL)
        await self._tell(event)
        self.last = change.number
