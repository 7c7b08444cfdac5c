"""A scripted DNS server on loopback: records from a table, and faults that can be set for each question.

It answers over UDP and TCP on one port. Records and faults may be changed while it runs.
"""

from __future__ import annotations

import contextlib
import random
import struct
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Self

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rrset
import trio


class Fault(Enum):
    """A fault in the answer to a query."""

    LOST = "no answer"
    LATE = "the answer comes after `delay`"
    CUT = "TC over UDP, with half the records"
    HALF = "half the records, and nothing says so"
    WRONG_ID = "another id"
    WRONG_NAME = "another question"
    WRONG_CASE = "the question in lower case"
    WRONG_PORT = "from another port"
    SPOOFED = "a flood of forged answers first"
    SERVFAIL = "SERVFAIL"
    REFUSED = "REFUSED"
    FORMERR = "FORMERR to whatever has EDNS"
    REFERRAL = "no answer, but other servers to ask"
    NOISE = "bytes that are no DNS"
    TCP_STALL = "over TCP, nothing"
    TCP_CUT = "over TCP, half an answer and the end"
    TCP_ENDLESS = "over TCP, a length that is never filled, in drops"


@dataclass
class ReceivedQuery:
    """A query as received."""

    name: str
    kind: str
    tcp: bool
    edns: bool
    port: int
    id: int


class DnsServer:
    """A DNS server with a table of (TTL in seconds, records as in a zone file) by name and type."""

    def __init__(self, seed: int = 1) -> None:
        self.table: dict[tuple[str, str], tuple[int, list[str]]] = {}
        self.faults: dict[tuple[str, str], set[Fault]] = defaultdict(
            set
        )  # faults by (name, type); "" stands for any
        self.default = ""  # address of names that have no A record in the table; "": they have none
        self.delay = 30.0  # seconds until the answer for LATE, for TCP_STALL and for LOST over TCP
        self.negative_ttl = 5  # MINIMUM of the SOA record: seconds for which a negative answer may be cached
        self.additional = True  # whether answers to SRV queries include the targets' addresses
        self.forged = "127.0.9.9"  # address in forged answers
        self.queries: deque[ReceivedQuery] = deque(maxlen=100_000)
        self.port = 0
        self.updated = trio.Event()
        self._random = random.Random(seed)
        self._scope = trio.CancelScope()
        self._closed = trio.Event()

    def set_records(self, name: str, kind: str, *records: str, ttl: int = 1) -> None:
        """Set the records of a name and type, or remove them if none are given."""
        key = name.rstrip(".").lower(), kind
        if records:
            self.table[key] = ttl, list(records)
        else:
            self.table.pop(key, None)

    def set_faults(self, *faults: Fault, name: str = "", kind: str = "") -> None:
        """Set the faults of one question, or of all questions; without faults, remove them."""
        self.faults[name.rstrip(".").lower(), kind] = set(faults)

    async def open(self, nursery: trio.Nursery) -> Self:
        """Answer on a port of 127.0.0.1; after `close`, on the same port again."""
        self._scope = trio.CancelScope()
        self._closed = trio.Event()
        self._sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        [listener] = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
        self.port = listener.socket.getsockname()[1]
        await self._sock.bind(("127.0.0.1", self.port))
        nursery.start_soon(self._run, listener)
        return self

    async def close(self) -> None:
        """Stop answering, and refuse connections."""
        self._scope.cancel()
        await self._closed.wait()

    async def wait_for_queries(self, count: int) -> None:
        """Wait until `count` queries have been received in total."""
        while len(self.queries) < count:
            self.updated = trio.Event()
            await self.updated.wait()

    async def _run(self, listener: trio.SocketListener) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, self._serve_tcp, [listener])
                with self._sock:
                    while True:
                        with contextlib.suppress(OSError):  # ICMP port unreachable after an earlier answer
                            wire, peer = await self._sock.recvfrom(65_535)
                            nursery.start_soon(self._serve_udp, wire, peer)
        self._closed.set()

    async def _serve_udp(self, wire: bytes, peer: tuple[str, int]) -> None:
        with contextlib.suppress(OSError, dns.exception.DNSException):
            query = dns.message.from_wire(wire)
            faults = self._record_query(query, peer[1], tcp=False)
            if Fault.LOST in faults:
                return
            if Fault.LATE in faults:
                await trio.sleep(self.delay)
            sock = self._sock
            if Fault.SPOOFED in faults:
                await self._send_forged_replies(query, peer)
            reply = self._reply(query, faults, tcp=False)
            if Fault.WRONG_PORT in faults:
                sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
            await sock.sendto(reply, peer)

    async def _serve_tcp(self, stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async with stream:
                buffer = b""
                while data := await stream.receive_some(65_536):
                    buffer += data
                    if len(buffer) < 2 or len(buffer) < 2 + struct.unpack("!H", buffer[:2])[0]:
                        continue
                    query = dns.message.from_wire(buffer[2:])
                    buffer = b""
                    faults = self._record_query(query, 0, tcp=True)
                    if Fault.TCP_STALL in faults or Fault.LOST in faults:
                        await trio.sleep(self.delay)
                    reply = self._reply(query, faults, tcp=True)
                    if Fault.TCP_CUT in faults:
                        return await stream.send_all(struct.pack("!H", len(reply)) + reply[: len(reply) // 2])
                    if Fault.TCP_ENDLESS in faults:
                        await stream.send_all(b"\xff\xff")
                        while True:
                            await stream.send_all(b"\0")
                            await trio.sleep(0.05)
                    await stream.send_all(struct.pack("!H", len(reply)) + reply)

    def _record_query(self, query: dns.message.Message, port: int, tcp: bool) -> set[Fault]:
        [question_rrset] = query.question
        name = question_rrset.name.to_text(omit_final_dot=True)
        kind = dns.rdatatype.to_text(question_rrset.rdtype)
        self.queries.append(ReceivedQuery(name, kind, tcp, query.edns >= 0, port, query.id))
        self.updated.set()
        keys = ((name.lower(), kind), (name.lower(), ""), ("", kind), ("", ""))
        return set().union(*(self.faults.get(key, set()) for key in keys))

    def _find_records(self, name: str, kind: str, half: bool) -> Iterable[dns.rrset.RRset]:
        ttl, records = self.table.get((name.lower(), kind), (0, []))
        if not records and kind == "A" and self.default:
            ttl = 5
            records = [self.default]
        if half:
            records = records[: len(records) // 2]
        if records:
            yield dns.rrset.from_text(name + ".", ttl, "IN", kind, *records)

    def _reply(self, query: dns.message.Message, faults: set[Fault], tcp: bool) -> bytes:
        response = dns.message.make_response(query)
        question_rrset = query.question[0]
        name = question_rrset.name.to_text(omit_final_dot=True)
        kind = dns.rdatatype.to_text(question_rrset.rdtype)
        if Fault.FORMERR in faults and query.edns >= 0:
            return struct.pack("!HHHHHH", query.id, 0x8001, 0, 0, 0, 0)
        if Fault.NOISE in faults:
            return query.id.to_bytes(2, "big") + b"\x81\x80" + self._random.randbytes(40)
        for fault, code in ((Fault.SERVFAIL, dns.rcode.SERVFAIL), (Fault.REFUSED, dns.rcode.REFUSED)):
            if fault in faults:
                response.set_rcode(code)
                return response.to_wire()
        half = Fault.HALF in faults or (Fault.CUT in faults and not tcp)
        found = list(self._find_records(name, kind, half)) or list(self._find_records(name, "CNAME", False))
        name_exists = any(key[0] == name.lower() for key in self.table)
        if Fault.REFERRAL in faults:
            response.authority.append(dns.rrset.from_text("test.", 60, "IN", "NS", "elsewhere.test."))
        elif not found:
            response.set_rcode(dns.rcode.NOERROR if name_exists else dns.rcode.NXDOMAIN)
            response.authority.append(
                dns.rrset.from_text(
                    "test.", 60, "IN", "SOA", f"ns.test. admin.test. 1 60 60 60 {self.negative_ttl}"
                )
            )
        response.answer.extend(found)
        if kind == "SRV" and self.additional and not half:
            for rrset in found:
                for record in rrset:
                    if rrset.rdtype == dns.rdatatype.SRV:
                        response.additional.extend(
                            self._find_records(record.target.to_text(omit_final_dot=True), "A", False)
                        )
        if Fault.CUT in faults and not tcp:
            response.flags |= dns.flags.TC
        if Fault.WRONG_NAME in faults:
            response.question = [_with_name(question_rrset, "else.test.")]
        if Fault.WRONG_CASE in faults:
            response.question = [_with_name(question_rrset, name.lower() + ".")]
        wire = response.to_wire(max_size=65_535)
        if not tcp and len(wire) > max(512, query.payload):
            response.flags |= dns.flags.TC
            response.answer.clear()
            response.additional.clear()
            wire = response.to_wire()
        if Fault.WRONG_ID in faults:
            wire = (query.id ^ 0x5555).to_bytes(2, "big") + wire[2:]
        return wire

    async def _send_forged_replies(self, query: dns.message.Message, peer: tuple[str, int]) -> None:
        """Send forged answers, as an attacker would who knows port and question but neither id nor case."""
        for number in range(40):
            forged = dns.message.make_response(query)
            forged.id = (query.id + 1 + number) & 0xFFFF
            name = query.question[0].name
            if number % 2:
                forged.id = query.id
                forged.question = [_with_name(query.question[0], name.to_text().swapcase())]
            forged.answer.append(dns.rrset.from_text(name, 9999, "IN", "A", self.forged))
            await self._sock.sendto(forged.to_wire(), peer)


def _with_name(question_rrset: dns.rrset.RRset, name: str) -> dns.rrset.RRset:
    """Return a copy of a question with another name.

    The original is shared with the query, so it is not changed.
    """
    return dns.rrset.RRset(dns.name.from_text(name), question_rrset.rdclass, question_rrset.rdtype)
