"""The stand-ins' command parser: input split at any byte, and invalid lines."""

from __future__ import annotations

import pytest

from brackenlane.lab.stand_ins.cache_commands import CommandReader, Dropped, Pinged, ReceivedRequest

LINES = b"PING alive\r\nGET a1 queue=video,miss=o 3\r\nx\r\n\r\nGET a2 - 0\r\n\r\nDROP a1\r\n"
COMMANDS = [
    Pinged("alive"),
    ReceivedRequest("a1", {"queue": "video", "miss": "o"}, b"x\r\n", 7),
    ReceivedRequest("a2", {}, b"", 7),
    Dropped("a1"),
]


@pytest.mark.parametrize("cut", range(len(LINES) + 1))
def test_cut_anywhere(cut: int) -> None:
    """Input split at any byte, also inside a body with line breaks, gives the same commands."""
    reader = CommandReader(connection=7)
    assert [*reader.feed(LINES[:cut]), *reader.feed(LINES[cut:])] == COMMANDS


def test_byte_by_byte() -> None:
    reader = CommandReader(connection=7)
    assert [command for n in range(len(LINES)) for command in reader.feed(LINES[n : n + 1])] == COMMANDS


@pytest.mark.parametrize(
    "line", [b"\r\n", b"PUT a1 - 0\r\n", b"GET a1 -\r\n", b"GET a1 - x\r\n", b"GET a1 a 0\r\n\r\n"]
)
def test_invalid_line_raises_value_error(line: bytes) -> None:
    """An invalid line is a fault of the router under test, so the stand-in must not ignore it."""
    with pytest.raises(ValueError):
        list(CommandReader().feed(line))


def test_live_cache_answers_a_ping() -> None:
    assert Pinged("alive").reply == b"alive well - 0\r\n\r\n"
