"""DNS queries and what their answers say, apart from any socket (RFC 1035, 2308, 2782, 6891).

A codec: bytes to values and back. It decides nothing but whether bytes are the answer to what was asked.
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

from brackenlane.discovery.records import SrvRecord

CHAIN = 8  # aliases followed, in one answer and over several
PAYLOAD = 1_232  # bytes of a datagram that fit every usual path (EDNS(0), RFC 6891)
WEEK = 7 * 86_400


class Kind(Enum):
    """What is asked for."""

    SRV = dns.rdatatype.SRV
    A = dns.rdatatype.A
    AAAA = dns.rdatatype.AAAA


class Says(Enum):
    """What an answer says."""

    FOUND = "found"  # records, or an alias to ask for next
    NONE = "none"  # no such name, or none of this kind: true, and to be kept
    CUT = "truncated"  # ask over TCP
    FORMERR = "FORMERR"  # ask again without EDNS
    LAME = "lame"  # another server may know
    NOT_OURS = "not an answer to this"  # goes on waiting


@dataclass(frozen=True, slots=True)
class Question:
    """One question; the name in lower case, without its last dot."""

    name: str
    kind: Kind


@dataclass(frozen=True, slots=True)
class Sent:
    """A question as it was put: only its answer bears the same id and the same case (0x20)."""

    question: Question
    id: int
    name: dns.name.Name
    wire: bytes
    edns: bool


@dataclass(frozen=True, slots=True)
class Reply:
    """What one answer says."""

    says: Says
    targets: tuple[SrvRecord, ...] = ()  # of SRV
    addresses: tuple[str, ...] = ()  # of A and AAAA
    ttl: float = 0.0  # seconds for which it may be kept
    alias: str = ""  # the name to ask for instead
    beside: dict[str, tuple[str, ...]] = field(default_factory=dict)  # in bailiwick: addresses of targets
    why: str = ""


def text_of(name: dns.name.Name) -> str:
    """A name in lower case, without its last dot."""
    return name.to_text(omit_final_dot=True).lower()


def put(question: Question, rng: random.Random, edns: bool) -> Sent:
    """A query with a random id and random case, against answers by those who did not see it."""
    name = dns.name.from_text("".join(c.upper() if rng.random() < 0.5 else c for c in question.name) + ".")
    message = dns.message.make_query(
        name, question.kind.value, use_edns=0 if edns else -1, payload=PAYLOAD, id=rng.getrandbits(16)
    )
    return Sent(question, message.id, name, message.to_wire(), edns)


def read(wire: bytes, sent: Sent, tcp: bool) -> Reply:
    """What an answer says, if it is one to what was sent."""
    try:
        message = dns.message.from_wire(wire, raise_on_truncation=False)
    except (dns.exception.DNSException, ValueError, IndexError) as fault:
        # Bytes that begin like the answer are its sender's fault; all else is somebody's noise.
        if len(wire) >= 3 and int.from_bytes(wire[:2], "big") == sent.id and wire[2] & 0x80:
            if len(wire) >= 12 and wire[3] & 15 == dns.rcode.FORMERR:
                return Reply(Says.FORMERR)
            return Reply(Says.NOT_OURS, why=f"can't be read: {type(fault).__name__}")
        return Reply(Says.NOT_OURS, why="not DNS")
    if message.id != sent.id or not message.flags & dns.flags.QR:
        return Reply(Says.NOT_OURS, why="another id")
    rcode = message.rcode()
    if rcode == dns.rcode.FORMERR and sent.edns:
        return Reply(Says.FORMERR)  # some that know no EDNS don't repeat the question either
    if (
        len(message.question) != 1
        or message.question[0].rdtype != sent.question.kind.value
        or (message.question[0].name.labels != sent.name.labels)
    ):
        return Reply(Says.NOT_OURS, why="another question, or case")
    if message.flags & dns.flags.TC:
        return Reply(Says.LAME, why="truncated over TCP") if tcp else Reply(Says.CUT)
    if rcode not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
        return Reply(Says.LAME, why=dns.rcode.to_text(rcode))
    return _read_records(message, sent.question, rcode)


def _read_records(message: dns.message.Message, question: Question, rcode: dns.rcode.Rcode) -> Reply:
    name = dns.name.from_text(question.name)
    ttl, seen = float(WEEK), {name}
    while True:
        if rrset := _find(message.answer, name, question.kind.value):
            ttl = min(ttl, _ttl(rrset))
            if question.kind is not Kind.SRV:
                return Reply(Says.FOUND, addresses=tuple(sorted(r.to_text() for r in rrset)), ttl=ttl)
            targets = tuple(SrvRecord(text_of(r.target) or ".", r.port, r.priority, r.weight) for r in rrset)
            return Reply(Says.FOUND, targets, ttl=ttl, beside=_beside(message, targets, question))
        alias = _find(message.answer, name, dns.rdatatype.CNAME)
        if alias is None:
            break
        ttl, name = min(ttl, _ttl(alias)), alias[0].target
        if name in seen or len(seen) > CHAIN:
            return Reply(Says.LAME, why="a loop of aliases")
        seen.add(name)
    if rcode == dns.rcode.NXDOMAIN or len(seen) == 1:
        soa = next((rrset for rrset in message.authority if rrset.rdtype == dns.rdatatype.SOA), None)
        if (
            soa is None
            and rcode == dns.rcode.NOERROR
            and any(rrset.rdtype == dns.rdatatype.NS for rrset in message.authority)
        ):
            return Reply(Says.LAME, why="a referral")
        # RFC 2308, 5: the lesser of the SOA's own lifetime and its minimum; without one, not kept.
        return Reply(
            Says.NONE,
            ttl=min(ttl, _ttl(soa), float(soa[0].minimum)) if soa else 0.0,
            why=dns.rcode.to_text(rcode),
        )
    return Reply(Says.FOUND, ttl=ttl, alias=text_of(name))


def _find(section: list[dns.rrset.RRset], name: dns.name.Name, kind: int) -> dns.rrset.RRset | None:
    return next(
        (
            rrset
            for rrset in section
            if rrset.name == name
            and rrset.rdtype == kind
            and len(rrset)
            and rrset.rdclass == dns.rdataclass.IN
        ),
        None,
    )


def _ttl(rrset: dns.rrset.RRset) -> float:
    """A lifetime; one with its highest bit set counts as 0 (RFC 2181, 8)."""
    return float(rrset.ttl) if rrset.ttl < 2**31 else 0.0


def _beside(
    message: dns.message.Message, targets: tuple[SrvRecord, ...], question: Question
) -> dict[str, tuple[str, ...]]:
    """Addresses sent along: only of targets asked for, and of the domain that was asked."""
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
