"""The stand-ins' reader of the protocol's lines: whatever pieces they come in, and no line passed over."""

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
    """Two pieces give what the whole gives, a body's line ends among it."""
    reader = CommandReader(link=7)
    assert [*reader.feed(LINES[:cut]), *reader.feed(LINES[cut:])] == COMMANDS


def test_byte_by_byte() -> None:
    reader = CommandReader(link=7)
    assert [command for n in range(len(LINES)) for command in reader.feed(LINES[n : n + 1])] == COMMANDS


@pytest.mark.parametrize(
    "line", [b"\r\n", b"PUT a1 - 0\r\n", b"GET a1 -\r\n", b"GET a1 - x\r\n", b"GET a1 a 0\r\n\r\n"]
)
def test_a_line_that_is_no_command_is_a_fault_of_the_router(line: bytes) -> None:
    """It must not pass unseen: the program under test wrote it."""
    with pytest.raises(ValueError):
        list(CommandReader().feed(line))


def test_live_cache_answers_a_ping() -> None:
    assert Pinged("alive").reply == b"alive well - 0\r\n\r\n"
