"""What a stand-in for a cache, parent or the origin is told: the protocol's lines as values."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

LINE_END = b"\r\n"
NO_FIELDS = "-"


@dataclass(slots=True)
class ReceivedRequest:
    """One GET as a cache received it."""

    id: str
    fields: dict[str, str]
    body: bytes
    link: int = 0  # the number of its connection, from 1


@dataclass(slots=True, frozen=True)
class Dropped:
    """A request was given up."""

    id: str


@dataclass(slots=True, frozen=True)
class Pinged:
    """The other side asks whether the connection lives."""

    word: str

    @property
    def reply(self) -> bytes:
        """The answer of a cache that lives."""
        return f"{self.word} well - 0\r\n\r\n".encode()


Command = ReceivedRequest | Dropped | Pinged


class CommandReader:
    """The commands that come on one connection, whatever pieces the bytes come in."""

    def __init__(self, link: int = 0) -> None:
        """link: the number of the connection."""
        self._link = link
        self._buffer = b""

    def feed(self, data: bytes) -> Iterator[Command]:
        """The commands that are whole now. Raises ValueError for a line that is no command."""
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
            case ["GET", wire_id, reported, length]:
                size = int(length)
                if len(rest) < size + len(LINE_END):
                    return None
                self._buffer = rest[size + len(LINE_END) :]
                return ReceivedRequest(wire_id, _read_fields(reported), rest[:size], self._link)
        raise ValueError(f"no command: {line[:80]!r}")


def _read_fields(reported: str) -> dict[str, str]:
    if reported == NO_FIELDS:
        return {}
    return dict(pair.split("=", 1) for pair in reported.split(","))
