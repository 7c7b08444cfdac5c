"""The codecs without sockets: chunks of any size, and malformed input, are handled."""

from __future__ import annotations

import pytest

from brackenlane.config import read_settings
from brackenlane.limits import Limits
from brackenlane.net.cache_codec import Parser, WireError
from brackenlane.net.change_log_codec import (
    ChangeLogFormatError,
    Frame,
    FrameReader,
    read_configured_changes,
    read_frame,
)
from brackenlane.routing.events import AttemptResult, CacheStatus, Membership, Purged
from brackenlane.routing.members import ServerState
from tests.stand_ins import SETTINGS, CacheStandIn, cache_as_json, cache_as_record

_, SITE = read_settings(SETTINGS)


@pytest.mark.parametrize("chunk_size", [1, 7, 1000])
def test_responses_are_read_from_chunks_of_any_size(chunk_size: int) -> None:
    """Responses are complete whatever the size of the received chunks; a body may contain line ends."""
    wire = b"a1 data entity=t,issued=5000 4\r\n\r\n\r\n\r\nb2 full - 0\r\n\r\nc3 absent detail=hit 0\r\n\r\n"
    parser = Parser(Limits())
    found = [
        response
        for at in range(0, len(wire), chunk_size)
        for response in parser.feed(wire[at : at + chunk_size])
    ]
    assert [(a.id, a.status_word, a.body, a.issued) for a in found] == [
        ("a1", "data", b"\r\n\r\n", 5.0),
        ("b2", "full", b"", None),
        ("c3", "absent", b"", None),
    ]


@pytest.mark.parametrize("use", ["inflight:7;util:0.6", "util:nan;x0:-4", "util", "util:", ":3;;:", "a:b:c"])
def test_invalid_load_report_does_not_affect_the_response(use: str) -> None:
    """A response with an invalid load report is read like one without a report."""
    wire = f"a1 data entity=t,use={use},detail=hit,issued=5000 2\r\nok\r\n".encode()
    [response] = Parser(Limits()).feed(wire)
    assert (response.result, response.cache_status, response.issued) == (
        AttemptResult.OK,
        CacheStatus.HIT,
        5.0,
    )
    assert response.body == b"ok"
    assert response.fields["use"] == use


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
def test_malformed_responses_are_rejected(wire: bytes) -> None:
    """Malformed responses are rejected as soon as they are received."""
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
@pytest.mark.parametrize("chunk_size", [1, 1000])
def test_server_list_frame_equals_its_json_form(
    number: int, state: ServerState, command: str, chunk_size: int
) -> None:
    """A server list in a frame decodes to the same change as its JSON form in the configuration."""
    cache = CacheStandIn("s-00c41f7a", "parent")
    cache.port = 7001
    payload = cache_as_record(cache, number)
    wire = (9 + len(payload)).to_bytes(4, "big") + (41).to_bytes(8, "big") + b"\x01" + payload
    reader = FrameReader(1000)
    [(seq, kind, frame_payload)] = [
        f for at in range(0, len(wire), chunk_size) for f in reader.feed(wire[at : at + chunk_size])
    ]
    change = read_frame(Frame(seq, kind, frame_payload), SITE, 0.0)
    [from_json] = read_configured_changes(
        {"results": [{"seq": 41, "fleet": {"all": True, "targets": [cache_as_json(cache, command)]}}]},
        SITE,
        0.0,
    )
    assert change == from_json
    assert isinstance(change.event, Membership)
    assert change.event.members[0].state is state


def test_purge_frames_are_decoded_with_their_ages() -> None:
    """Purges of an object and of a group are decoded with their ages."""
    at = (5000).to_bytes(8, "big")
    assert read_frame(Frame(1, 3, bytes.fromhex("7f3a9c21e0b4d655") + at), SITE, 7.0).event == Purged(
        "7f3a9c21e0b4d655", -1, 2.0, 5.0
    )
    assert read_frame(Frame(1, 4, b"\x00\x11" + at), SITE, 7.0).event == Purged("", 17, 2.0, 5.0)


@pytest.mark.parametrize(
    ("kind", "payload"), [(1, b"short"), (3, b""), (4, b"x"), (9, b""), (2, bytes(10) + b"\xff" * 17)]
)
def test_malformed_frames_are_rejected(kind: int, payload: bytes) -> None:
    """Malformed frames and lengths raise ChangeLogFormatError and no other exception."""
    with pytest.raises(ChangeLogFormatError):
        read_frame(Frame(1, kind, payload), SITE, 0.0)
    with pytest.raises(ChangeLogFormatError):
        list(FrameReader(1000).feed(b"\xff" * 20))
