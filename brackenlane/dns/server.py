"""DNS queries in, answers out, on UDP and TCP."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Protocol

import dns.edns
import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdata
import dns.rdataclass
import dns.rdatatype
import dns.rrset
import trio

from brackenlane.config import Endpoint
from brackenlane.core.engine import RequestEngine
from brackenlane.core.requests import Disposition, PendingRequest
from brackenlane.dns import names
from brackenlane.limits import Limits
from brackenlane.routing.events import Arrival

log = logging.getLogger(__name__)

A, AAAA, SRV, ANY = (dns.rdatatype.A, dns.rdatatype.AAAA, dns.rdatatype.SRV, dns.rdatatype.ANY)
HEADER = 12


class Whereabouts(Protocol):
    """Where caches are, by id."""

    endpoints: dict[str, Endpoint]


class GiveUp(Exception):
    """No cache can be named in time."""


class Responder:
    """Answers queries for one zone through the core."""

    def __init__(
        self,
        zone: dns.name.Name,
        own: Endpoint,
        core: RequestEngine,
        roster: Whereabouts,
        limits: Limits,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._zone, self._own, self._core, self._roster = zone, own, core, roster
        self._limits, self._clock = limits, clock
        self._classes = {c.name.lower(): c for c in core.settings.classes}

    async def respond(self, wire: bytes, udp: bool) -> bytes | None:
        """The answer to one query; None for what deserves none."""
        try:
            query = dns.message.from_wire(wire)
        except dns.exception.DNSException:
            return self._malformed(wire)
        except Exception:  # guards against whatever a parser may still throw at hostile bytes
            log.warning("a query that breaks the parser")
            return self._malformed(wire)
        if query.flags & dns.flags.QR:
            return None  # guards against two servers that answer each other's answers for ever
        response = dns.message.make_response(query, our_payload=self._limits.max_dns_payload)
        response.flags &= ~dns.flags.RA
        await self._fill(query, response)
        capacity = min(max(query.payload, 512), self._limits.max_dns_payload) if udp else 65535
        return pack(response, capacity)

    def _malformed(self, wire: bytes) -> bytes | None:
        """FORMERR under the query's id, if there is one to be read."""
        if len(wire) < HEADER or wire[2] & 0x80:
            return None
        opcode = wire[2] & 0x78
        code = dns.rcode.FORMERR if opcode == 0 else dns.rcode.NOTIMP
        return wire[:2] + bytes([0x80 | opcode | (wire[2] & 1), code]) + bytes(8)

    async def _fill(self, query: dns.message.Message, response: dns.message.Message) -> None:
        if query.opcode() != dns.opcode.QUERY:
            response.set_rcode(dns.rcode.NOTIMP)
            return
        if query.edns > 0:
            response.set_rcode(dns.rcode.BADVERS)
            return
        if len(query.question) != 1:
            response.set_rcode(dns.rcode.FORMERR)
            return
        requested = query.question[0]
        if (
            requested.rdclass != dns.rdataclass.IN
            or not requested.name.is_subdomain(self._zone)
            or (dns.rdatatype.is_metatype(requested.rdtype) and requested.rdtype != ANY)
        ):
            response.set_rcode(dns.rcode.REFUSED)
            return
        response.flags |= dns.flags.AA
        try:
            with trio.fail_after(self._limits.dns_query_timeout):
                await self._look_up(requested, response)
        except (GiveUp, trio.TooSlowError):
            response.answer.clear()
            response.additional.clear()
            response.set_rcode(dns.rcode.SERVFAIL)
            response.flags &= ~dns.flags.AA

    async def _look_up(self, requested: dns.rrset.RRset, response: dns.message.Message) -> None:
        found = names.read_name(requested.name, self._zone, frozenset(self._classes))
        if found is None:
            return self._deny(response, dns.rcode.NXDOMAIN)
        question, service = found
        kind = (
            A
            if requested.rdtype == ANY and not service
            else SRV
            if requested.rdtype == ANY
            else requested.rdtype
        )
        match question:
            case names.RouterQuestion(apex=True) if kind in (dns.rdatatype.SOA, dns.rdatatype.NS):
                response.answer.append(
                    self._soa()
                    if kind == dns.rdatatype.SOA
                    else self._rrset(self._zone, kind, f"{names.ROUTER_LABEL}.{self._zone}")
                )
                return
            case names.RouterQuestion(apex=True):
                return self._deny(response, dns.rcode.NOERROR)
            case names.CacheQuestion() if question.server not in self._roster.endpoints:
                return self._deny(response, dns.rcode.NXDOMAIN)
        if service != (kind == SRV) or kind not in (A, AAAA, SRV):
            return self._deny(response, dns.rcode.NOERROR)
        if isinstance(question, names.CacheQuestion):
            # Guards against naming a cache that drains: its own name has no address then.
            if not self._core.membership.is_serving(question.server):
                return self._deny(response, dns.rcode.NOERROR)
            return self._name(response, requested.name, kind, question.server)
        own = isinstance(question, names.RouterQuestion) or self._classes[question.cls].uncached
        # A write's name has our own address only: the submit comes to us by HTTP and runs once.
        if own:
            return self._name(response, requested.name, kind, None)
        if kind != SRV and not any(kind == _family(at) for at in self._roster.endpoints.values()):
            return self._deny(response, dns.rcode.NOERROR)
        assert isinstance(question, names.ObjectQuestion)
        await self._pick(question, response, requested.name, kind)

    async def _pick(
        self,
        wanted: names.ObjectQuestion,
        response: dns.message.Message,
        name: dns.name.Name,
        kind: dns.rdatatype.RdataType,
    ) -> None:
        """The cache that the module picks, if it still takes new work as the answer is written."""
        deadline = self._clock() + self._limits.dns_query_timeout
        cls = self._classes[wanted.cls]
        # The transfer goes from cache to client, unseen by us: it counts as a usual one. Untold, the module
        # would learn the moment that a connection takes as the time to send the object.
        size = max(self._core.settings.pace_kb_per_s, 1.0) * cls.latency_objective / 4
        while (left := deadline - self._clock()) > 0:
            arrival = Arrival(
                self._core.new_id(), left, cls.name, wanted.obj, wanted.part, wanted.group, size
            )
            answer = await self._core.request(PendingRequest(arrival, deadline, connect_only=True))
            if answer.disposition is not Disposition.SERVED:
                raise GiveUp
            # Guards against a drain heard between the connection to the cache and this answer.
            if self._core.membership.is_serving(answer.server) and answer.server in self._roster.endpoints:
                return self._name(response, name, kind, answer.server)
        raise GiveUp

    def _name(
        self,
        response: dns.message.Message,
        name: dns.name.Name,
        kind: dns.rdatatype.RdataType,
        server: str | None,
    ) -> None:
        """The records that name a cache, or us; a client may keep them for no time at all."""
        endpoint = self._roster.endpoints[server] if server else self._own
        family = _family(endpoint)
        if kind == SRV:
            target = dns.name.from_text(
                f"{server}.{names.CACHES_LABEL}" if server else names.ROUTER_LABEL, self._zone
            )
            response.answer.append(self._rrset(name, SRV, f"0 0 {endpoint[1]} {target}"))
            response.additional.append(self._rrset(target, family, endpoint[0]))
        elif kind == family:
            response.answer.append(self._rrset(name, kind, endpoint[0]))
        else:
            self._deny(response, dns.rcode.NOERROR)

    def _deny(self, response: dns.message.Message, code: dns.rcode.Rcode) -> None:
        """No such name or no such record, not to be remembered."""
        response.set_rcode(code)
        response.authority.append(self._soa())

    def _soa(self) -> dns.rrset.RRset:
        return self._rrset(
            self._zone,
            dns.rdatatype.SOA,
            f"{names.ROUTER_LABEL}.{self._zone} hostmaster.{self._zone} 1 3600 600 86400 0",
        )

    def _rrset(self, name: dns.name.Name, kind: dns.rdatatype.RdataType, text: str) -> dns.rrset.RRset:
        return dns.rrset.from_text(name, 0, dns.rdataclass.IN, kind, text)


def pack(response: dns.message.Message, capacity: int) -> bytes:
    """The bytes of an answer; one too long for its way asks for TCP by its TC bit."""
    try:
        return response.to_wire(max_size=capacity)
    except dns.exception.TooBig:
        response.flags |= dns.flags.TC
        for section in (response.answer, response.authority, response.additional):
            section.clear()
        return response.to_wire(max_size=capacity)


def _family(endpoint: Endpoint) -> dns.rdatatype.RdataType:
    return AAAA if ":" in endpoint[0] else A


class Server:
    """The sockets of the DNS front."""

    def __init__(self, responder: Responder, limits: Limits) -> None:
        self._responder, self._limits = responder, limits
        self._open = 0
        self._connections = 0

    async def serve_udp(self, sock: trio.socket.SocketType) -> None:
        """Answer datagrams until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    wire, peer = await sock.recvfrom(65535)
                except OSError as fault:  # an earlier answer met a closed port
                    log.debug("%s", fault)
                    continue
                # Guards memory: past this many open queries a datagram is dropped, and asked again.
                if self._open < self._limits.max_dns_queries:
                    nursery.start_soon(self._answer, sock, wire, peer)

    async def _answer(self, sock: trio.socket.SocketType, wire: bytes, peer: tuple[object, ...]) -> None:
        self._open += 1
        try:
            reply = await self._respond(wire, udp=True)
            if reply:
                await sock.sendto(reply, peer)
        except OSError as fault:
            log.debug("%s", fault)
        finally:
            self._open -= 1

    async def _respond(self, wire: bytes, udp: bool) -> bytes | None:
        try:
            return await self._responder.respond(wire, udp)
        except Exception:  # one query must not end the front
            log.exception("a query failed")
            return wire[:2] + bytes([0x80 | (wire[2] & 0x79), dns.rcode.SERVFAIL]) + bytes(8)

    async def serve_tcp(self, stream: trio.SocketStream) -> None:
        """Queries on one connection, in turn, each behind its length."""
        if self._connections >= self._limits.max_dns_connections:
            return await trio.aclose_forcefully(stream)
        self._connections += 1
        buffer = bytearray()
        try:
            async with stream:
                while True:
                    while len(buffer) < 2 or len(buffer) < 2 + int.from_bytes(buffer[:2], "big"):
                        with trio.fail_after(self._limits.dns_idle_timeout):
                            data = await stream.receive_some(4096)
                        if not data:
                            return
                        buffer += data
                    end = 2 + int.from_bytes(buffer[:2], "big")
                    wire = bytes(buffer[2:end])
                    del buffer[:end]
                    reply = await self._respond(wire, udp=False)
                    if reply is None:
                        return
                    with trio.fail_after(self._limits.dns_idle_timeout):
                        await stream.send_all(len(reply).to_bytes(2, "big") + reply)
        except (trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._connections -= 1
