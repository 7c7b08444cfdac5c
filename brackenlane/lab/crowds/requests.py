"""What the clients of each crowd send, and which objects make a stand-in cache misbehave. No I/O."""

from __future__ import annotations

import os
from dataclasses import dataclass
from enum import Enum

MAX_UPLOAD_SIZE = 48_000  # bytes of a write
MAX_OBJECT_SIZE = 240_000  # bytes of an object
LONG_TIME_TO_LIVE_MS = 60_000
PIPELINED_BYTES = 30_000  # bytes of requests that a client sends behind its first one
MAX_CONNECTIONS = 330  # clients hold at most a third of the descriptors; some are left for others
HEAD_BYTES = 16_000  # bytes of an unfinished head
TINY_CHUNK = b"2\r\nab\r\n"
TINY_REQUEST = b"GET / HTTP/1.1\r\nHost:\r\n\r\n"


class CacheBehavior(Enum):
    """How a stand-in cache answers a request; the value is the first digit of the object's id."""

    SMALL = "0"  # an object of some hundred bytes
    HANGS = "a"  # no answer
    LARGE = "b"  # an object of the maximum size
    HALF = "c"  # an object of the maximum size whose last bytes are never sent
    TINY = "d"  # an object of one byte


class Crowd(Enum):
    """Kinds of crowds."""

    HALF_BODY = "a write whose last bytes are missing"
    TINY_CHUNKS = "an unfinished write in chunks of two bytes"
    SHORT_FIELDS = "an unfinished head of very many short fields"
    LONG_FIELD = "an unfinished head with one long field"
    PIPELINED = "very many small requests behind one that is not answered"
    PIPELINED_HALF_BODY = "a write whose last bytes are missing behind a request that is not answered"
    WRITES = "complete writes of the maximum size that are not answered"
    SLOW_READERS = "reads of large objects whose clients do not read the answer"
    HALF_REPLIES = "reads of large objects whose caches stop before the end"
    LARGE_READS = "reads of large objects"
    TINY_OBJECTS = "reads of ever new objects of one byte"
    UNSOUND_FLOOD = "invalid requests at full speed"
    NAME_FLOOD = "reads of ever new objects with a long time limit at full speed"
    WRITE_FLOOD = "writes with ever new ids at full speed"


@dataclass(frozen=True, slots=True)
class CrowdPlan:
    """One crowd: how many clients, and what each of their connections sends."""

    crowd: Crowd
    connections: int
    first: bytes  # sent once on each connection, before anything else
    reads_answers: bool = True
    repeats: bool = False  # keep sending requests, as fast as the answers are read


def new_id() -> str:
    """Return a new request or object id."""
    return os.urandom(8).hex()


def read_request(behavior: CacheBehavior, time_to_live_ms: int = 2000, obj: str = "", part: int = 3) -> bytes:
    """Return a read of a new object that the cache answers in a certain way."""
    obj = obj or behavior.value + new_id()[1:]
    return (
        f"GET /api/v2/video-parts/{obj}/n-{part} HTTP/1.1\r\nHost: a\r\nX-Txn: {new_id()}\r\n"
        f"X-Ttl-Ms: {time_to_live_ms}\r\nX-Shard: 17\r\n\r\n"
    ).encode()


def write_head(
    behavior: CacheBehavior, framing: str, request_id: str = "", time_to_live_ms: int = 2500
) -> bytes:
    """Return the head of a write; framing: its Content-Length or Transfer-Encoding header."""
    return (
        f"PUT /api/v2/sheet-submit/{behavior.value}{new_id()[1:]}/n-0 HTTP/1.1\r\nHost: a\r\n"
        f"X-Txn: {request_id or new_id()}\r\nX-Ttl-Ms: {time_to_live_ms}\r\nX-Shard: 17\r\n{framing}\r\n\r\n"
    ).encode()


def write_request(behavior: CacheBehavior, size: int, request_id: str = "") -> bytes:
    """Return a complete write."""
    return write_head(behavior, f"Content-Length: {size}", request_id) + b"x" * size


def plan(crowd: Crowd, connections: int = MAX_CONNECTIONS) -> CrowdPlan:
    """Return the plan of a crowd. connections: of all crowds but the floods, which need few."""
    hanging = read_request(CacheBehavior.HANGS)
    half_body = write_request(CacheBehavior.HANGS, MAX_UPLOAD_SIZE)[:-1]
    unfinished_head = b"GET /api/v2/video-parts/0000000000000000/n-3 HTTP/1.1\r\nHost: a\r\n"
    match crowd:
        case Crowd.HALF_BODY:
            return CrowdPlan(crowd, connections, half_body)
        case Crowd.TINY_CHUNKS:
            chunks = TINY_CHUNK * (MAX_UPLOAD_SIZE // 2 - 1)
            head = write_head(CacheBehavior.HANGS, "Transfer-Encoding: chunked")
            return CrowdPlan(crowd, connections, head + chunks)
        case Crowd.SHORT_FIELDS:
            return CrowdPlan(crowd, connections, unfinished_head + b"a:\r\n" * (HEAD_BYTES // 4))
        case Crowd.LONG_FIELD:
            return CrowdPlan(crowd, connections, unfinished_head + b"X-Txn-Key: " + b"k" * HEAD_BYTES)
        case Crowd.PIPELINED:
            following = TINY_REQUEST * (PIPELINED_BYTES // len(TINY_REQUEST))
            return CrowdPlan(crowd, connections, hanging + following, reads_answers=False)
        case Crowd.PIPELINED_HALF_BODY:
            return CrowdPlan(crowd, connections, hanging + half_body, reads_answers=False)
        case Crowd.WRITES:
            return CrowdPlan(crowd, connections, write_request(CacheBehavior.HANGS, MAX_UPLOAD_SIZE))
        case Crowd.SLOW_READERS:
            return CrowdPlan(crowd, connections, read_request(CacheBehavior.LARGE), reads_answers=False)
        case Crowd.HALF_REPLIES:
            return CrowdPlan(crowd, connections, read_request(CacheBehavior.HALF))
        case Crowd.LARGE_READS:
            return CrowdPlan(crowd, connections // 4, b"", repeats=True)
        case Crowd.TINY_OBJECTS:
            return CrowdPlan(crowd, 16, b"", repeats=True)
        case _:
            return CrowdPlan(crowd, 1, b"", repeats=True)


def next_requests(crowd: Crowd) -> bytes:
    """Return what a connection of a repeating crowd sends next."""
    match crowd:
        case Crowd.LARGE_READS:
            return read_request(CacheBehavior.LARGE)
        case Crowd.TINY_OBJECTS:
            return read_request(CacheBehavior.TINY)
        case Crowd.NAME_FLOOD:
            return b"".join(read_request(CacheBehavior.SMALL, LONG_TIME_TO_LIVE_MS) for _ in range(50))
        case Crowd.WRITE_FLOOD:
            return b"".join(write_request(CacheBehavior.SMALL, 2) for _ in range(50))
        case _:
            return TINY_REQUEST * 500
