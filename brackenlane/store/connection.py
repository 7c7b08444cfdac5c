"""A connection to Redis that sends commands and receives their replies; hiredis parses them (RESP)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import hiredis
import trio

from brackenlane.config import Endpoint
from brackenlane.net.connector import connect
from brackenlane.store.errors import StoreCommandError, StoreTimeoutError, StoreUnavailableError

RECEIVE_SIZE = 65_536  # bytes

Command = list[str | int]


class Connection:
    """Sends batches of commands, one at a time; after a failure the next batch opens a new connection."""

    def __init__(
        self, endpoint: Endpoint, timeout: float, on_answer: Callable[[], None] = lambda: None
    ) -> None:
        """timeout: seconds for one batch, including the connection setup; a call may override it.

        on_answer: called after each batch that the store has answered.
        """
        self._endpoint = endpoint
        self._timeout = timeout
        self._on_answer = on_answer
        self._stream: trio.SocketStream | None = None
        self._reader = hiredis.Reader()
        self._lock = trio.Lock()

    async def call(self, *commands: Command, time_limit: float | None = None) -> list[Any]:
        """Send a batch of commands and return their replies.

        time_limit: seconds; overrides the timeout of the connection.
        Raises StoreTimeoutError, StoreUnavailableError, or StoreCommandError if a command is rejected.
        """
        try:
            with trio.fail_after(time_limit or self._timeout):
                async with self._lock:
                    replies = await self._exchange_or_close(commands)
        except trio.TooSlowError as error:
            raise StoreTimeoutError(str(error) or type(error).__name__) from error
        except (trio.BrokenResourceError, OSError, hiredis.ProtocolError) as error:
            raise StoreUnavailableError(str(error) or type(error).__name__) from error
        self._on_answer()
        for reply in replies:
            if isinstance(reply, hiredis.ReplyError):
                raise StoreCommandError(str(reply))
        return replies

    async def _exchange_or_close(self, commands: Sequence[Command]) -> list[Any]:
        is_complete = False
        try:
            replies = await self._exchange(commands)
            is_complete = True
        finally:
            # A reply that arrives later would be read as the reply to the next command.
            if not is_complete:
                await self.close()
        return replies

    async def _exchange(self, commands: Sequence[Command]) -> list[Any]:
        if self._stream is None:
            self._reader = hiredis.Reader(encoding="utf-8", errors="replace")
            self._stream = await connect(self._endpoint)
        packed = [hiredis.pack_command(tuple(command)) for command in commands]  # type: ignore[arg-type]
        await self._stream.send_all(b"".join(packed))
        return [await self._receive_reply(self._stream) for _ in commands]

    async def _receive_reply(self, stream: trio.SocketStream) -> Any:
        while True:
            reply = self._reader.gets()
            if reply is not False:
                return reply
            data = await stream.receive_some(RECEIVE_SIZE)
            if not data:
                raise trio.BrokenResourceError("closed by the store")
            self._reader.feed(data)

    async def close(self) -> None:
        """Close the connection if one is open."""
        stream = self._stream
        self._stream = None
        if stream:
            await trio.aclose_forcefully(stream)
