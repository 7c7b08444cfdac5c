"""One connection to Redis: commands out, replies in, RESP read by hiredis."""

from __future__ import annotations

from typing import Any

import hiredis
import trio

from brackenlane.config import Endpoint
from brackenlane.net.connector import connect


class StoreUnavailableError(Exception):
    """The store cannot be reached or does not answer."""

    slow = False  # somebody is there, but too late


class StoreError(Exception):
    """The store says no."""


class Connection:
    """Commands one after another; a broken connection is opened anew by the next command."""

    def __init__(self, endpoint: Endpoint, wait: float) -> None:
        self._endpoint, self._wait = endpoint, wait
        self._stream: trio.SocketStream | None = None
        self._reader = hiredis.Reader()
        self._turn = trio.Lock()

    async def call(self, *commands: list[str | int], wait: float | None = None) -> list[Any]:
        """The replies to some commands sent together."""
        complete = False
        try:
            with trio.fail_after(wait or self._wait):
                async with self._turn:
                    try:
                        replies = await self._exchange(commands)
                        complete = True
                    finally:
                        # Guards against the late reply to one command passing for that to the next.
                        if not complete:
                            await self.close()
        except (trio.TooSlowError, trio.BrokenResourceError, OSError, hiredis.ProtocolError) as fault:
            away = StoreUnavailableError(str(fault) or type(fault).__name__)
            away.slow = isinstance(fault, trio.TooSlowError)
            raise away from None
        for reply in replies:
            if isinstance(reply, hiredis.ReplyError):
                raise StoreError(str(reply))
        return replies

    async def _exchange(self, commands: tuple[list[str | int], ...]) -> list[Any]:
        if self._stream is None:
            self._reader = hiredis.Reader(encoding="utf-8", errors="replace")
            self._stream = await connect(self._endpoint)
        packed = [hiredis.pack_command(tuple(command)) for command in commands]  # type: ignore[arg-type]
        await self._stream.send_all(b"".join(packed))
        replies: list[Any] = []
        while len(replies) < len(commands):
            reply = self._reader.gets()
            if reply is False:
                data = await self._stream.receive_some(65536)
                if not data:
                    raise trio.BrokenResourceError("closed by the store")
                self._reader.feed(data)
            else:
                replies.append(reply)
        return replies

    async def close(self) -> None:
        """End the connection."""
        stream, self._stream = self._stream, None
        if stream:
            await trio.aclose_forcefully(stream)
