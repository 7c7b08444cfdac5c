"""Types of the values in an operator's file, each with its check and the message for a bad value."""

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
    if len(name.labels) < 2:  # the last label is the root
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


Address = Annotated[str, AfterValidator(_check_endpoint)]  # an IP address and a port
DnsName = Annotated[str, AfterValidator(_check_dns_name)]
Host = Annotated[str, AfterValidator(_check_host)]  # an IP address or a DNS name
Service = Annotated[str, AfterValidator(_check_service)]  # an SRV owner name (RFC 2782)
Seconds = Annotated[float, Field(ge=0, le=3600)]
PositiveSeconds = Annotated[float, Field(gt=0, le=3600)]
PerSecond = Annotated[float, Field(ge=0.1, le=1e6)]
Value = Annotated[float, Field(ge=0, le=1e6)]  # of a response, beside those of other classes
Weight = Annotated[float, Field(gt=0, le=1e6)]
Zone = Annotated[str, Field(min_length=1, max_length=64)]
CacheRole = Literal["edge", "parent", "origin"]
CacheId = Annotated[str, Field(pattern=r"^[0-9a-z-]{1,63}$")]
