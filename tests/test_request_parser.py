"""The parser of requests: it holds one parsed request whatever arrives behind it, and frees it at once."""

from __future__ import annotations

import gc
import sys
import weakref

import pytest

from brackenlane.limits import Limits
from brackenlane.net.http_codec import ParsedRequest, RequestParser
from brackenlane.net.request_input import RequestInput

WIRE = (
    b"\r\nGET /first HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\n\r\n"
    b"PUT /second HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\n\n\r\n\r\r\n1;extension\r\n\n\r\n3\r\n\r\n\r\r\n000\r\nTrailer: t\r\n\r\n"
    b"PUT /third HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\n\n\r\n\n\r\n"
    b"GET /fourth HTTP/1.1\r\nHost: a\r\n\r\n"
)
EXPECTED = [("/first", b""), ("/second", b"\n\r\n\r\n\r\n\r"), ("/third", b"\n\r\n\n\r\n"), ("/fourth", b"")]


def parser_after(data: bytes, size: int = 16_384) -> RequestParser:
    parser = RequestParser(Limits())
    for at in range(0, len(data), size):
        parser.feed(data[at : at + size])
    return parser


def take_all(parser: RequestParser) -> list[ParsedRequest]:
    return list(iter(parser.next, None))


@pytest.mark.parametrize("size", [*range(1, 40), len(WIRE)])
def test_requests_are_cut_where_they_end_in_pieces_of_any_size(size: int) -> None:
    parser = parser_after(WIRE, size)
    assert [(request.target, request.body) for request in take_all(parser)] == EXPECTED
    assert parser.fault is None
    assert not parser.is_partial


def test_requests_behind_a_complete_one_are_not_parsed_into_many_objects() -> None:
    following = b"GET / HTTP/1.1\r\nHost:\r\n\r\n" * 600
    before = len(gc.get_objects())
    parser = parser_after(following)
    assert len(gc.get_objects()) - before < 20
    assert parser.held_size < 2 * len(following)
    assert len(take_all(parser)) == 600


@pytest.mark.parametrize(
    "request_bytes", [b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n", b"GET /x HTTP/1.1\r\nHost:\r\n\r\n"]
)
def test_client_that_sends_faster_than_it_is_served_does_not_fill_the_memory(request_bytes: bytes) -> None:
    limits = Limits()
    received = RequestInput(limits)
    batch = request_bytes * (8_000 // len(request_bytes))
    received.feed(batch)
    for _ in range(200):
        received.begin_request()
        received.buffer(batch)
        assert received.held_size < 3 * limits.max_head_size
        if received.has_overflowed:
            return
        received.next()
    pytest.fail("the bytes behind a request are not limited")


def test_body_in_tiny_chunks_takes_the_memory_of_its_bytes() -> None:
    parser = parser_after(
        b"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + b"2\r\nab\r\n" * 1000
    )
    assert parser.held_size < 6_000


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 200, "too many fields"),
        (
            b"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 1_100,
            "too many chunks",
        ),
    ],
)
def test_small_pieces_that_cost_much_time_to_parse_are_refused_early(data: bytes, text: str) -> None:
    assert text in str(parser_after(data).fault)


@pytest.mark.parametrize(
    "data", [WIRE, b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nb", b"GET / HTTP/9.9\r\n\r\n"]
)
def test_closed_parser_is_freed_without_the_garbage_collector(data: bytes) -> None:
    class Referable(RequestParser):
        pass

    gc.disable()
    try:
        parser = Referable(Limits())
        parser.feed(data)
        parser.close()
        reference = weakref.ref(parser)
        del parser
        assert reference() is None
    finally:
        gc.enable()


def test_held_size_covers_the_bytes_of_a_request_at_every_moment() -> None:
    parser = RequestParser(Limits())
    data = b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n" + b"x" * 40_000
    for at in range(0, len(data), 1_000):
        parser.feed(data[at : at + 1_000])
        assert parser.held_size >= at
    request = parser.next()
    assert request is not None
    assert request.held_size >= sys.getsizeof(request.body)
    assert parser.held_size < 200
