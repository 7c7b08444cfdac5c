"""One query and its reply over UDP or TCP. Each query has a socket of its own, so a random source port."""

from __future__ import annotations

import trio

from brackenlane.config import Endpoint
from brackenlane.discovery.errors import IncompleteReplyError
from brackenlane.discovery.query import Reply, ReplyKind, SentQuery, decode_reply
from brackenlane.net.connector import connect, family_of

MAX_STRAY_DATAGRAMS = 64  # that are no reply; after them a query goes over TCP, where forging is hard
MAX_DATAGRAM_SIZE = 65_535  # bytes
LENGTH_SIZE = 2  # bytes before a message over TCP (RFC 1035, 4.2.2)
READ_SIZE = LENGTH_SIZE + MAX_DATAGRAM_SIZE


async def query_udp(endpoint: Endpoint, query: SentQuery) -> Reply:
    """Send a datagram and return its reply; OSError if the upstream can't be reached.

    The socket is connected, so it receives from this upstream alone.
    """
    with trio.socket.socket(family_of(endpoint), trio.socket.SOCK_DGRAM) as sock:
        await sock.connect(endpoint)
        await sock.send(query.wire)
        reply = Reply(ReplyKind.MISMATCH)
        for _ in range(MAX_STRAY_DATAGRAMS):
            reply = decode_reply(await sock.recv(MAX_DATAGRAM_SIZE), query, is_tcp=False)
            if reply.kind is not ReplyKind.MISMATCH:
                break
        return reply


async def query_tcp(endpoint: Endpoint, query: SentQuery) -> Reply:
    """Send a query over a new connection and return its reply; one that does not match counts as lame.

    OSError or BrokenResourceError if the upstream can't be reached, IncompleteReplyError if it closes early.
    """
    async with await connect(endpoint) as stream:
        wire: bytes = query.wire
        await stream.send_all(len(wire).to_bytes(LENGTH_SIZE, "big") + wire)
        reply = decode_reply(await _receive_message(stream), query, is_tcp=True)
    if reply.kind is ReplyKind.MISMATCH:
        return Reply(ReplyKind.LAME, reason=reply.reason)
    return reply


async def _receive_message(stream: trio.SocketStream) -> bytes:
    buffer = bytearray()
    while True:
        if len(buffer) >= LENGTH_SIZE:
            end = LENGTH_SIZE + int.from_bytes(buffer[:LENGTH_SIZE], "big")
            if len(buffer) >= end:
                return bytes(buffer[LENGTH_SIZE:end])
        data = await stream.receive_some(READ_SIZE)
        if not data:
            raise IncompleteReplyError("ended in the middle of an answer")
        buffer += data
