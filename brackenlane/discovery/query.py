"""Codec of DNS queries and replies (RFC 1035, 2308, 2782, 6891).

The codec also decides whether received bytes are the reply to a given query.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from brackenlane.discovery.domain_names import parse_name, text_of
from brackenlane.discovery.records import SrvRecord

MAX_ALIASES = 8  # CNAME records followed in one look-up, whether in one reply or several
MAX_PAYLOAD = 1_232  # bytes; EDNS(0) payload size (RFC 6891) that avoids fragmentation on usual paths
MAX_TTL = 7 * 86_400.0  # seconds
TTL_LIMIT = 2**31  # a TTL with its highest bit set counts as 0 (RFC 2181, 8)
HEADER_SIZE = 12  # bytes of a DNS header


class RecordType(Enum):
    """The record type of a question."""

    SRV = dns.rdatatype.SRV
    A = dns.rdatatype.A
    AAAA = dns.rdatatype.AAAA


class ReplyKind(Enum):
    """What a reply means for its query."""

    FOUND = "found"  # records, or an alias to look up next
    NEGATIVE = "none"  # no such name, or no record of this type; cached like any answer
    TRUNCATED = "truncated"  # the query is to be repeated over TCP
    FORMERR = "FORMERR"  # the query is to be repeated without EDNS
    UNUSABLE = "lame"  # an error or referral; another upstream may have the answer
    MISMATCH = "not an answer to this"  # to be ignored, since the real reply may still arrive


@dataclass(frozen=True, slots=True)
class Question:
    """One question; the name is in lower case, without the trailing dot."""

    name: str
    kind: RecordType


@dataclass(frozen=True, slots=True)
class SentQuery:
    """A query as sent. Its reply has to repeat the id and the letter case of the name (0x20 encoding)."""

    question: Question
    id: int
    name: dns.name.Name
    wire: bytes
    edns: bool


@dataclass(frozen=True, slots=True)
class Reply:
    """The content of one reply."""

    kind: ReplyKind
    targets: tuple[SrvRecord, ...] = ()  # answer to an SRV question
    addresses: tuple[str, ...] = ()  # answer to an A or AAAA question
    ttl: float = 0.0  # seconds
    alias: str = ""  # CNAME target to look up instead; empty if none
    additional: dict[str, tuple[str, ...]] = field(default_factory=dict)  # in-bailiwick addresses by target
    reason: str = ""  # why the reply has no records


def make_question(name: str, kind: RecordType) -> Question:
    """Return the question for a name as a file, the store or a record spells it. Raises InvalidNameError."""
    return Question(text_of(parse_name(name)), kind)


def encode_query(question: Question, rng: random.Random, edns: bool) -> SentQuery:
    """Return a query whose id and letter case are random, so that a spoofed reply has to guess both.

    Raises InvalidNameError if the question's name is not a domain name.
    """
    letters = [letter.upper() if rng.random() < 0.5 else letter for letter in question.name]
    name = parse_name("".join(letters))
    message = dns.message.make_query(
        name, question.kind.value, use_edns=0 if edns else -1, payload=MAX_PAYLOAD, id=rng.getrandbits(16)
    )
    return SentQuery(question, message.id, name, message.to_wire(), edns)


def decode_reply(wire: bytes, query: SentQuery, is_tcp: bool) -> Reply:
    """Decode bytes received after a query was sent. Never raises; malformed input is a reply kind."""
    try:
        message = dns.message.from_wire(wire, raise_on_truncation=False)
    except (dns.exception.DNSException, ValueError, IndexError) as error:
        return _classify_malformed(wire, query, error)
    if message.id != query.id or not message.flags & dns.flags.QR:
        return Reply(ReplyKind.MISMATCH, reason="another id")
    if message.rcode() == dns.rcode.FORMERR and query.edns:
        # Some servers without EDNS support omit the question from the reply.
        return Reply(ReplyKind.FORMERR)
    if not _has_question(message, query):
        return Reply(ReplyKind.MISMATCH, reason="another question, or case")
    return _read_reply(message, query.question, is_tcp)


def _classify_malformed(wire: bytes, query: SentQuery, error: Exception) -> Reply:
    """Return FORMERR if the header of bytes that don't parse identifies this reply, else MISMATCH."""
    is_reply = len(wire) >= 3 and int.from_bytes(wire[:2], "big") == query.id and wire[2] & 0x80
    if not is_reply:
        return Reply(ReplyKind.MISMATCH, reason="not DNS")
    if len(wire) >= HEADER_SIZE and wire[3] & 15 == dns.rcode.FORMERR:
        return Reply(ReplyKind.FORMERR)
    return Reply(ReplyKind.MISMATCH, reason=f"can't be read: {type(error).__name__}")


def _has_question(message: dns.message.Message, query: SentQuery) -> bool:
    if len(message.question) != 1:
        return False
    question = message.question[0]
    return question.rdtype == query.question.kind.value and question.name.labels == query.name.labels


def _read_reply(message: dns.message.Message, question: Question, is_tcp: bool) -> Reply:
    if message.flags & dns.flags.TC:
        if is_tcp:
            return Reply(ReplyKind.UNUSABLE, reason="truncated over TCP")
        return Reply(ReplyKind.TRUNCATED)
    if message.rcode() not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
        return Reply(ReplyKind.UNUSABLE, reason=dns.rcode.to_text(message.rcode()))
    return _read_records(message, question)


def _read_records(message: dns.message.Message, question: Question) -> Reply:
    """Return the records of one reply, with its aliases (CNAME) followed."""
    name = dns.name.from_text(question.name)
    ttl = MAX_TTL
    seen = {name}
    while True:
        if rrset := _find(message.answer, name, question.kind.value):
            return _read_found(message, question, rrset, min(ttl, _ttl(rrset)))
        alias = _find(message.answer, name, dns.rdatatype.CNAME)
        if alias is None:
            break
        ttl = min(ttl, _ttl(alias))
        name = alias[0].target
        if name in seen or len(seen) > MAX_ALIASES:
            return Reply(ReplyKind.UNUSABLE, reason="a loop of aliases")
        if name == dns.name.root:  # well-formed, but no host: there is nothing to look up next
            return Reply(ReplyKind.UNUSABLE, reason="an alias to the root")
        seen.add(name)
    if message.rcode() == dns.rcode.NXDOMAIN or len(seen) == 1:
        return _read_absence(message, ttl)
    return Reply(ReplyKind.FOUND, ttl=ttl, alias=text_of(name))


def _read_found(
    message: dns.message.Message, question: Question, rrset: dns.rrset.RRset, ttl: float
) -> Reply:
    if question.kind is not RecordType.SRV:
        addresses = tuple(sorted(record.to_text() for record in rrset))
        return Reply(ReplyKind.FOUND, addresses=addresses, ttl=ttl)
    targets = tuple(
        SrvRecord(text_of(record.target) or ".", record.port, record.priority, record.weight)
        for record in rrset
    )
    return Reply(ReplyKind.FOUND, targets, ttl=ttl, additional=_additional(message, targets, question))


def _read_absence(message: dns.message.Message, ttl: float) -> Reply:
    """Return the negative answer of a reply with its TTL (RFC 2308, 5), or UNUSABLE for a referral."""
    rcode = message.rcode()
    types = {rrset.rdtype for rrset in message.authority}
    if rcode == dns.rcode.NOERROR and dns.rdatatype.NS in types and dns.rdatatype.SOA not in types:
        return Reply(ReplyKind.UNUSABLE, reason="a referral")
    # The negative TTL is the lesser of the SOA's TTL and its minimum field; without an SOA it is 0.
    negative_ttl = 0.0
    soa = next((rrset for rrset in message.authority if rrset.rdtype == dns.rdatatype.SOA), None)
    if soa:
        negative_ttl = min(ttl, _ttl(soa), float(soa[0].minimum))
    return Reply(ReplyKind.NEGATIVE, ttl=negative_ttl, reason=dns.rcode.to_text(rcode))


def _find(section: list[dns.rrset.RRset], name: dns.name.Name, kind: int) -> dns.rrset.RRset | None:
    for rrset in section:
        is_match = rrset.name == name and rrset.rdtype == kind and rrset.rdclass == dns.rdataclass.IN
        if is_match and len(rrset):
            return rrset
    return None


def _ttl(rrset: dns.rrset.RRset) -> float:
    return float(rrset.ttl) if rrset.ttl < TTL_LIMIT else 0.0


def _additional(
    message: dns.message.Message, targets: tuple[SrvRecord, ...], question: Question
) -> dict[str, tuple[str, ...]]:
    """Return the addresses of the additional section, only for these targets within the question's domain."""
    domain = dns.name.from_text(question.name)
    while len(domain.labels) > 1 and domain.labels[0].startswith(b"_"):
        domain = domain.parent()
    wanted = {target.host for target in targets}
    found: dict[str, list[str]] = {}
    for rrset in message.additional:
        name = text_of(rrset.name)
        if (
            name in wanted
            and rrset.name.is_subdomain(domain)
            and rrset.rdtype in (dns.rdatatype.A, dns.rdatatype.AAAA)
        ):
            found.setdefault(name, []).extend(r.to_text() for r in rrset)
    return {name: tuple(sorted(addresses)) for name, addresses in found.items()}
