"""Types of the values in an operator's file, with their checks and error messages."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, Literal

import dns.exception
import dns.name
from pydantic import AfterValidator, Field

from brackenlane.discovery.records import ip_address_of

MAX_PORT = 65_535


def _check_endpoint(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("an address and port are needed, such as 127.0.0.1:7053") from None
    if not (port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise ValueError("a port from 0 to 65535 is needed behind the last colon")
    return text


def _check_dns_name(text: str) -> str:
    try:
        name = dns.name.from_text(text)
    except (dns.exception.DNSException, UnicodeError) as error:
        raise ValueError(f"a DNS name is needed: {error}") from error
    if len(name.labels) < 2:  # the root label counts as one
        raise ValueError("a DNS name of one label at least is needed")
    return text


def _check_host(text: str) -> str:
    if ip_address_of(text) is not None:
        return text
    return _check_dns_name(text)


def _check_service(text: str) -> str:
    if not re.match(r"_[A-Za-z0-9-]+\._(tcp|udp)\..", text):
        raise ValueError("an SRV owner name is needed, such as _cache._tcp.branch.example.")
    return _check_dns_name(text)


AddressWithPort = Annotated[str, AfterValidator(_check_endpoint)]  # IP address and port
DnsName = Annotated[str, AfterValidator(_check_dns_name)]
Host = Annotated[str, AfterValidator(_check_host)]  # IP address or DNS name
SrvName = Annotated[str, AfterValidator(_check_service)]  # owner name of SRV records (RFC 2782)
Seconds = Annotated[float, Field(ge=0, le=3600)]
PositiveSeconds = Annotated[float, Field(gt=0, le=3600)]
PerSecond = Annotated[float, Field(ge=0.1, le=1e6)]
# The value of a response, relative to those of other classes.
ResponseValue = Annotated[float, Field(ge=0, le=1e6)]
Weight = Annotated[float, Field(gt=0, le=1e6)]
Zone = Annotated[str, Field(min_length=1, max_length=64)]
CacheRole = Literal["edge", "parent", "origin"]
CacheId = Annotated[str, Field(pattern=r"^[0-9a-z-]{1,63}$")]
