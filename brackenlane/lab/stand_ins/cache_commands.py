"""Parses the cache protocol's commands for stand-ins of edge caches, parent caches and the origin."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

LINE_END = b"\r\n"
NO_FIELDS = "-"


@dataclass(slots=True)
class ReceivedRequest:
    """A GET command as received by a cache."""

    id: str
    fields: dict[str, str]
    body: bytes
    connection: int = 0  # number of the connection, from 1


@dataclass(slots=True, frozen=True)
class Dropped:
    """A DROP command: the router cancels a request."""

    id: str


@dataclass(slots=True, frozen=True)
class Pinged:
    """A PING command: the router checks whether the connection works."""

    word: str

    @property
    def reply(self) -> bytes:
        """The reply of a responsive cache."""
        return f"{self.word} well - 0\r\n\r\n".encode()


Command = ReceivedRequest | Dropped | Pinged


class CommandReader:
    """Parses the commands of one connection, however the bytes are split across reads."""

    def __init__(self, connection: int = 0) -> None:
        """link: the number of the connection, copied into each request."""
        self._connection = connection
        self._buffer = b""

    def feed(self, data: bytes) -> Iterator[Command]:
        """Add received data; yield the commands that are complete. Raises ValueError for an invalid line."""
        self._buffer += data
        while command := self._next():
            yield command

    def _next(self) -> Command | None:
        line, end, rest = self._buffer.partition(LINE_END)
        if not end:
            return None
        match line.decode().split(" "):
            case ["DROP", wire_id]:
                self._buffer = rest
                return Dropped(wire_id)
            case ["PING", text]:
                self._buffer = rest
                return Pinged(text)
            case ["GET", wire_id, fields_text, length]:
                size = int(length)
                if len(rest) < size + len(LINE_END):
                    return None
                self._buffer = rest[size + len(LINE_END) :]
                return ReceivedRequest(wire_id, _read_fields(fields_text), rest[:size], self._connection)
        raise ValueError(f"not a command of the cache protocol: {line[:80]!r}")


def _read_fields(fields_text: str) -> dict[str, str]:
    if fields_text == NO_FIELDS:
        return {}
    return dict(pair.split("=", 1) for pair in fields_text.split(","))
