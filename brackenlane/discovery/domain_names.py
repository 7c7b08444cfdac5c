"""Domain names as text: which texts are names that can be looked up, and their canonical form. Pure."""

from __future__ import annotations

import dns.exception
import dns.name

from brackenlane.discovery.errors import InvalidNameError


def text_of(name: dns.name.Name) -> str:
    """Return a name in lower case, without the trailing dot."""
    return name.to_text(omit_final_dot=True).lower()


def parse_name(text: str) -> dns.name.Name:
    """Return the absolute name of a text, with or without the trailing dot (RFC 1035, 5.1; IDNA).

    Raises InvalidNameError if the text is not the name of a host; the root of the DNS is not one either.
    """
    try:
        name = dns.name.from_text(text if text.endswith(".") else f"{text}.")
    except (dns.exception.DNSException, ValueError) as error:
        raise InvalidNameError(f"{text!r} is no domain name: {error}") from error
    if name == dns.name.root:
        raise InvalidNameError("the root of the DNS is no host name")
    return name
