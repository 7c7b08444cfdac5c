"""Transport of one DNS query over UDP or TCP. A new socket per query gives it a random source port."""

from __future__ import annotations

import trio

from brackenlane.config import Endpoint
from brackenlane.discovery.errors import IncompleteReplyError
from brackenlane.discovery.query import Reply, ReplyKind, SentQuery, decode_reply
from brackenlane.net.connector import connect, family_of

# Mismatched datagrams that are ignored before the query is repeated over TCP, which is harder to spoof.
MAX_STRAY_DATAGRAMS = 64
MAX_DATAGRAM_SIZE = 65_535  # bytes
LENGTH_SIZE = 2  # bytes of the length prefix of a message over TCP (RFC 1035, 4.2.2)
READ_SIZE = LENGTH_SIZE + MAX_DATAGRAM_SIZE


async def query_udp(endpoint: Endpoint, query: SentQuery) -> Reply:
    """Send a query over UDP and return its reply, or MISMATCH after too many stray datagrams.

    The socket is connected, so it receives datagrams from this upstream only. Raises OSError if the upstream
    can't be reached.
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
    """Send a query over a new TCP connection and return its reply; a mismatched reply becomes UNUSABLE.

    Raises OSError or BrokenResourceError if the upstream can't be reached, IncompleteReplyError if it closes
    the connection early.
    """
    async with await connect(endpoint) as stream:
        wire: bytes = query.wire
        await stream.send_all(len(wire).to_bytes(LENGTH_SIZE, "big") + wire)
        reply = decode_reply(await _receive_message(stream), query, is_tcp=True)
    if reply.kind is ReplyKind.MISMATCH:
        return Reply(ReplyKind.UNUSABLE, reason=reply.reason)
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
