"""The codecs, apart from any socket: bytes may come in any pieces, and none may break them."""

from __future__ import annotations

import pytest

from brackenlane.config import read_settings
from brackenlane.limits import Limits
from brackenlane.net.cache_codec import Parser, WireError
from brackenlane.net.change_log_codec import ChangeLogFormatError, Frame, FrameReader, read_frame, read_known
from brackenlane.routing.events import AttemptResult, CacheStatus, Membership, Purged
from brackenlane.routing.members import ServerState
from tests.stand_ins import SETTINGS, CacheStandIn, record, target

_, SITE = read_settings(SETTINGS)


@pytest.mark.parametrize("piece", [1, 7, 1000])
def test_answers(piece: int) -> None:
    """Answers come out whole, whatever pieces they came in; a body may hold line ends."""
    wire = b"a1 data entity=t,issued=5000 4\r\n\r\n\r\n\r\nb2 full - 0\r\n\r\nc3 absent detail=hit 0\r\n\r\n"
    parser = Parser(Limits())
    found = [answer for at in range(0, len(wire), piece) for answer in parser.feed(wire[at : at + piece])]
    assert [(a.id, a.status_word, a.body, a.issued) for a in found] == [
        ("a1", "data", b"\r\n\r\n", 5.0),
        ("b2", "full", b"", None),
        ("c3", "absent", b"", None),
    ]


@pytest.mark.parametrize("use", ["inflight:7;util:0.6", "util:nan;x0:-4", "util", "util:", ":3;;:", "a:b:c"])
def test_load_report_harms_no_answer(use: str) -> None:
    """Whatever a load report says, the answer that carries it is read as without it."""
    wire = f"a1 data entity=t,use={use},detail=hit,issued=5000 2\r\nok\r\n".encode()
    [answer] = Parser(Limits()).feed(wire)
    assert (answer.result, answer.cache_status, answer.issued) == (AttemptResult.OK, CacheStatus.HIT, 5.0)
    assert answer.body == b"ok"
    assert answer.fields["use"] == use


@pytest.mark.parametrize(
    "wire",
    [
        b"a1 data - 5\r\n123456789",
        b"a1 data -\r\n",
        b"a1 data - -1\r\n",
        b"a1 data - 240001\r\n",
        b"\xff\xfe\xfd \r\n",
        b"x" * 3000,
    ],
)
def test_bad_answers(wire: bytes) -> None:
    """What is no answer is told apart at once."""
    with pytest.raises(WireError):
        list(Parser(Limits()).feed(wire))


@pytest.mark.parametrize(
    ("number", "state", "command"),
    [
        (0, ServerState.SERVING, "in_service"),
        (1, ServerState.DRAINING, "terminating"),
        (2, ServerState.GONE, "terminated"),
    ],
)
@pytest.mark.parametrize("piece", [1, 1000])
def test_list(number: int, state: ServerState, command: str, piece: int) -> None:
    """A frame and its JSON twin mean the same."""
    cache = CacheStandIn("s-00c41f7a", "parent")
    cache.port = 7001
    payload = record(cache, number)
    wire = (9 + len(payload)).to_bytes(4, "big") + (41).to_bytes(8, "big") + b"\x01" + payload
    reader = FrameReader(1000)
    [(seq, kind, rest)] = [f for at in range(0, len(wire), piece) for f in reader.feed(wire[at : at + piece])]
    change = read_frame(Frame(seq, kind, rest), SITE, 0.0)
    [twin] = read_known(
        {"results": [{"seq": 41, "fleet": {"all": True, "targets": [target(cache, command)]}}]}, SITE, 0.0
    )
    assert change == twin
    assert isinstance(change.event, Membership)
    assert change.event.members[0].state is state


def test_purges() -> None:
    """Purges of an object and of a group, with their ages."""
    at = (5000).to_bytes(8, "big")
    assert read_frame(Frame(1, 3, bytes.fromhex("7f3a9c21e0b4d655") + at), SITE, 7.0).event == Purged(
        "7f3a9c21e0b4d655", -1, 2.0, 5.0
    )
    assert read_frame(Frame(1, 4, b"\x00\x11" + at), SITE, 7.0).event == Purged("", 17, 2.0, 5.0)


@pytest.mark.parametrize(
    ("kind", "payload"), [(1, b"short"), (3, b""), (4, b"x"), (9, b""), (2, bytes(10) + b"\xff" * 17)]
)
def test_bad_frames(kind: int, payload: bytes) -> None:
    """A frame that can't be read is a fault of the log's, in one line."""
    with pytest.raises(ChangeLogFormatError):
        read_frame(Frame(1, kind, payload), SITE, 0.0)
    with pytest.raises(ChangeLogFormatError):
        list(FrameReader(1000).feed(b"\xff" * 20))
