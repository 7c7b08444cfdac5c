"""Stand-in caches of the crowds: their answer depends on the first digit of the object's id."""

from __future__ import annotations

import contextlib
import time
from collections import Counter

import trio

from brackenlane.lab.crowds.requests import MAX_OBJECT_SIZE, CacheBehavior
from brackenlane.lab.stand_ins.cache_commands import CommandReader, Pinged, ReceivedRequest
from brackenlane.lab.stand_ins.cache_server import CacheListener, data_reply

BODIES = {
    CacheBehavior.SMALL: b"s" * 700,
    CacheBehavior.LARGE: b"l" * MAX_OBJECT_SIZE,
    CacheBehavior.HALF: b"h" * MAX_OBJECT_SIZE,
    CacheBehavior.TINY: b"t",
}
MISSING_BYTES = 100  # of a reply that is never completed


class CrowdCache(CacheListener):
    """A cache or the origin; it records each id that it was asked to run and when it was asked."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.runs: Counter[str] = Counter()
        self.received_at: dict[str, float] = {}  # latest time by request id

    async def _serve(self, stream: trio.SocketStream) -> None:
        reader = CommandReader()
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while chunk := await stream.receive_some(65536):
                for command in reader.feed(chunk):
                    match command:
                        case Pinged():
                            await stream.send_all(command.reply)
                        case ReceivedRequest():
                            self.runs[command.id] += 1
                            self.received_at[command.id] = time.monotonic()
                            await self._answer(stream, command)

    @staticmethod
    async def _answer(stream: trio.SocketStream, request: ReceivedRequest) -> None:
        behavior = CacheBehavior(request.fields["path"][0])
        if behavior is CacheBehavior.HANGS:
            return
        reply = data_reply(request, BODIES[behavior])
        await stream.send_all(reply[:-MISSING_BYTES] if behavior is CacheBehavior.HALF else reply)
