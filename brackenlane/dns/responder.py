"""Answers DNS queries for the operator's zone through the request engine (RFC 1035, RFC 2782, RFC 6891).

Every TTL is 0, so that no record is cached: the chosen cache may start to drain at any time.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset
import trio

from brackenlane.clock import steady_time
from brackenlane.config import Endpoint
from brackenlane.core.engine import RequestEngine
from brackenlane.core.requests import Disposition, PendingRequest
from brackenlane.dns import names
from brackenlane.limits import Limits
from brackenlane.routing.events import Arrival

log = logging.getLogger(__name__)

A = dns.rdatatype.A
AAAA = dns.rdatatype.AAAA
SRV = dns.rdatatype.SRV
ANY = dns.rdatatype.ANY

HEADER_BYTES = 12  # size of a DNS header
MAX_TCP_MESSAGE = 65_535  # bytes
MIN_UDP_PAYLOAD = 512  # bytes that every client accepts (RFC 1035, 4.2.1)
RESPONSE_BIT = 0x80  # QR, in the third byte of a message
OPCODE_BITS = 0x78
RECURSION_DESIRED_BIT = 0x01
# Assumed duration of a transfer, which the router does not observe, as a share of the latency objective.
ASSUMED_TRANSFER_SHARE = 1 / 4


class CacheAddresses(Protocol):
    """The endpoints of the listed caches, by id."""

    endpoints: dict[str, Endpoint]


class NoCacheError(Exception):
    """No cache could be chosen within the time limit of the query."""


class Responder:
    """Answers queries for one zone; the request engine chooses the cache for an object."""

    def __init__(
        self,
        zone: dns.name.Name,
        own: Endpoint,
        core: RequestEngine,
        addresses: CacheAddresses,
        limits: Limits,
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._zone = zone
        self._own_endpoint = own
        self._engine = core
        self._addresses = addresses
        self._limits = limits
        self._clock = clock
        self._classes = {cls.name.lower(): cls for cls in core.settings.classes}

    async def respond(self, wire: bytes, udp: bool) -> bytes | None:
        """Return the response to one message; None if it must not be answered."""
        try:
            query = dns.message.from_wire(wire)
        except dns.exception.DNSException:
            return self._respond_to_malformed(wire)
        except Exception:  # malicious input may raise any exception in the parser
            log.warning("DNS query rejected: unexpected error in the parser", exc_info=True)
            return self._respond_to_malformed(wire)
        if query.flags & dns.flags.QR:
            # Responses are not answered, or two servers could answer each other in an endless loop.
            return None
        response = dns.message.make_response(query, our_payload=self._limits.max_dns_payload)
        response.flags &= ~dns.flags.RA
        await self._complete_response(query, response)
        return encode_response(response, self._max_response_size(query, udp))

    def _max_response_size(self, query: dns.message.Message, udp: bool) -> int:
        """Return the maximum response size that the client accepts, in bytes."""
        if not udp:
            return MAX_TCP_MESSAGE
        return min(max(query.payload, MIN_UDP_PAYLOAD), self._limits.max_dns_payload)

    def _respond_to_malformed(self, wire: bytes) -> bytes | None:
        """Return an error response to a query; None for a response or if the header is incomplete."""
        if not _is_query(wire):
            return None
        opcode = wire[2] & OPCODE_BITS
        code = dns.rcode.FORMERR if opcode == 0 else dns.rcode.NOTIMP
        return error_response(wire, code)

    async def _complete_response(self, query: dns.message.Message, response: dns.message.Message) -> None:
        """Add records or an error code to the response to a well-formed query."""
        code = self._rejection_code(query)
        if code is not None:
            response.set_rcode(code)
            return
        response.flags |= dns.flags.AA
        try:
            with trio.fail_after(self._limits.dns_query_timeout):
                await self._answer(query.question[0], response)
        except (NoCacheError, trio.TooSlowError):
            response.answer.clear()
            response.additional.clear()
            response.set_rcode(dns.rcode.SERVFAIL)
            response.flags &= ~dns.flags.AA

    def _rejection_code(self, query: dns.message.Message) -> dns.rcode.Rcode | None:
        """Return the response code for a query that is rejected; None if it is accepted."""
        if query.opcode() != dns.opcode.QUERY:
            return dns.rcode.NOTIMP
        if query.edns > 0:
            return dns.rcode.BADVERS
        if len(query.question) != 1:
            return dns.rcode.FORMERR
        question = query.question[0]
        is_out_of_zone = question.rdclass != dns.rdataclass.IN or not question.name.is_subdomain(self._zone)
        is_meta_type = dns.rdatatype.is_metatype(question.rdtype) and question.rdtype != ANY
        return dns.rcode.REFUSED if is_out_of_zone or is_meta_type else None

    async def _answer(self, query: dns.rrset.RRset, response: dns.message.Message) -> None:
        """Answer the question for a name under the zone."""
        parsed = names.read_name(query.name, self._zone, frozenset(self._classes))
        if parsed is None:
            self._answer_negative(response, dns.rcode.NXDOMAIN)
            return
        question, is_service = parsed
        record_type = _record_type(query.rdtype, is_service)
        if isinstance(question, names.RouterQuestion) and question.apex:
            self._answer_apex(response, record_type)
            return
        if isinstance(question, names.CacheQuestion) and question.server not in self._addresses.endpoints:
            self._answer_negative(response, dns.rcode.NXDOMAIN)
            return
        if is_service != (record_type == SRV) or record_type not in (A, AAAA, SRV):
            self._answer_negative(response, dns.rcode.NOERROR)
            return
        match question:
            case names.CacheQuestion():
                self._answer_cache(response, query.name, record_type, question.server)
            case names.RouterQuestion():
                self._add_records(response, query.name, record_type, None)
            case names.ObjectQuestion():
                await self._answer_object(question, response, query.name, record_type)

    def _answer_apex(self, response: dns.message.Message, record_type: dns.rdatatype.RdataType) -> None:
        """Answer a question for the name of the zone."""
        if record_type == dns.rdatatype.SOA:
            response.answer.append(self._soa())
        elif record_type == dns.rdatatype.NS:
            text = f"{names.ROUTER_LABEL}.{self._zone}"
            response.answer.append(self._rrset(self._zone, record_type, text))
        else:
            self._answer_negative(response, dns.rcode.NOERROR)

    def _answer_cache(
        self,
        response: dns.message.Message,
        name: dns.name.Name,
        record_type: dns.rdatatype.RdataType,
        server: str,
    ) -> None:
        """Answer a question for one cache by its id; a draining cache has no address records."""
        if self._engine.membership.is_serving(server):
            self._add_records(response, name, record_type, server)
        else:
            self._answer_negative(response, dns.rcode.NOERROR)

    async def _answer_object(
        self,
        question: names.ObjectQuestion,
        response: dns.message.Message,
        name: dns.name.Name,
        record_type: dns.rdatatype.RdataType,
    ) -> None:
        """Answer a question for an object: a cache for a read, this router for a write."""
        # Writes are sent to this router over HTTP, so that each is executed once.
        if self._classes[question.cls].uncached:
            self._add_records(response, name, record_type, None)
            return
        address_types = {_address_type(endpoint) for endpoint in self._addresses.endpoints.values()}
        if record_type != SRV and record_type not in address_types:
            self._answer_negative(response, dns.rcode.NOERROR)
            return
        await self._answer_with_chosen_cache(question, response, name, record_type)

    async def _answer_with_chosen_cache(
        self,
        question: names.ObjectQuestion,
        response: dns.message.Message,
        name: dns.name.Name,
        record_type: dns.rdatatype.RdataType,
    ) -> None:
        """Answer with the cache that the engine chooses; choose again if it has stopped serving meanwhile."""
        deadline = self._clock() + self._limits.dns_query_timeout
        cls = self._classes[question.cls]
        # The cache sends the object directly to the client, so the transfer is not observed, and a typical
        # size is assumed. Without one, the connect time would be recorded as the transfer time of the object.
        size_kb = (
            max(self._engine.settings.pace_kb_per_s, 1.0) * cls.latency_objective * ASSUMED_TRANSFER_SHARE
        )
        while (remaining := deadline - self._clock()) > 0:
            arrival = Arrival(
                self._engine.new_request_id(),
                remaining,
                cls.name,
                question.obj,
                question.part,
                question.group,
                size_kb,
            )
            answer = await self._engine.request(PendingRequest(arrival, deadline, connect_only=True))
            if answer.disposition is not Disposition.SERVED:
                raise NoCacheError(question.obj)
            # The cache may have started to drain since the connection to it was opened.
            if (
                self._engine.membership.is_serving(answer.server)
                and answer.server in self._addresses.endpoints
            ):
                self._add_records(response, name, record_type, answer.server)
                return
        raise NoCacheError(question.obj)

    def _add_records(
        self,
        response: dns.message.Message,
        name: dns.name.Name,
        record_type: dns.rdatatype.RdataType,
        server: str | None,
    ) -> None:
        """Add the records of a cache; `server` None: of this router."""
        endpoint = self._addresses.endpoints[server] if server else self._own_endpoint
        address_type = _address_type(endpoint)
        if record_type == SRV:
            target = dns.name.from_text(
                f"{server}.{names.CACHES_LABEL}" if server else names.ROUTER_LABEL, self._zone
            )
            response.answer.append(self._rrset(name, SRV, f"0 0 {endpoint[1]} {target}"))
            response.additional.append(self._rrset(target, address_type, endpoint[0]))
        elif record_type == address_type:
            response.answer.append(self._rrset(name, record_type, endpoint[0]))
        else:
            self._answer_negative(response, dns.rcode.NOERROR)

    def _answer_negative(self, response: dns.message.Message, code: dns.rcode.Rcode) -> None:
        """Answer that the name or the record type does not exist, with the SOA record."""
        response.set_rcode(code)
        response.authority.append(self._soa())

    def _soa(self) -> dns.rrset.RRset:
        return self._rrset(
            self._zone,
            dns.rdatatype.SOA,
            f"{names.ROUTER_LABEL}.{self._zone} hostmaster.{self._zone} 1 3600 600 86400 0",
        )

    def _rrset(self, name: dns.name.Name, record_type: dns.rdatatype.RdataType, text: str) -> dns.rrset.RRset:
        return dns.rrset.from_text(name, 0, dns.rdataclass.IN, record_type, text)


def failure_response(wire: bytes) -> bytes | None:
    """Return SERVFAIL without reading the query; None if the message must not be answered."""
    if not _is_query(wire):
        return None
    return error_response(wire, dns.rcode.SERVFAIL)


def _is_query(wire: bytes) -> bool:
    """Return whether a message has a complete header and is no response."""
    return len(wire) >= HEADER_BYTES and not wire[2] & RESPONSE_BIT


def error_response(wire: bytes, code: dns.rcode.Rcode) -> bytes:
    """Return a response without records to a query with a complete header."""
    flags = RESPONSE_BIT | (wire[2] & (OPCODE_BITS | RECURSION_DESIRED_BIT))
    return wire[:2] + bytes([flags, code]) + bytes(HEADER_BYTES - 4)


def encode_response(response: dns.message.Message, max_size: int) -> bytes:
    """Encode a response; one that is too large is sent empty, with the TC bit set to request TCP."""
    try:
        return response.to_wire(max_size=max_size)
    except dns.exception.TooBig:
        response.flags |= dns.flags.TC
        for section in (response.answer, response.authority, response.additional):
            section.clear()
        return response.to_wire(max_size=max_size)


def _record_type(requested: dns.rdatatype.RdataType, is_service: bool) -> dns.rdatatype.RdataType:
    """Return the record type to answer with; ANY is replaced by SRV or A, depending on the name."""
    if requested != ANY:
        return requested
    return SRV if is_service else A


def _address_type(endpoint: Endpoint) -> dns.rdatatype.RdataType:
    return AAAA if ":" in endpoint[0] else A
