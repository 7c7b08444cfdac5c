"""Bytes of one client as requests: parsed, or held unparsed until it is the request's turn."""

from __future__ import annotations

from brackenlane.limits import Limits
from brackenlane.net.http_codec import BadRequestError, ParsedRequest, RequestParser


class RequestInput:
    """Holds what a client has sent and was not served yet, up to a bound.

    A simple GET is held unparsed: if it is rejected, the parser is spared.
    """

    __slots__ = ("_parser", "_unparsed", "bytes_allowed", "is_flooded", "target")

    def __init__(self, limits: Limits) -> None:
        self._parser = RequestParser(limits)
        self._unparsed = b""
        self.target = ""  # of the unparsed request; "" once more has come behind it
        self.bytes_allowed = 0  # that may still come while none are asked for
        self.is_flooded = False  # more came behind a request than is kept

    @property
    def complete(self) -> ParsedRequest | None:
        """The next complete request, which is not removed."""
        return self._parser.complete

    @property
    def fault(self) -> BadRequestError | None:
        """What is wrong with the bytes that came; nothing behind it is read."""
        return self._parser.fault

    @property
    def is_partial(self) -> bool:
        """Whether a request has begun to come and is not complete."""
        return self._parser.partial

    def feed(self, data: bytes) -> None:
        """Parse bytes."""
        self._parser.feed(data)

    def hold(self, data: bytes, target: str) -> None:
        """Hold one complete simple request unparsed."""
        self._unparsed = data
        self.target = target

    def buffer(self, data: bytes) -> None:
        """Keep bytes that come behind a request; past the bound nothing more is kept."""
        if self.spend(data):
            self.is_flooded = True
            self.target = ""
        elif self._unparsed:
            self._unparsed += data
            self.target = ""  # more than one request: to be parsed
        else:
            self._parser.feed(data)

    def spend(self, data: bytes) -> bool:
        """Count bytes that were not asked for; whether the bound is reached."""
        self.bytes_allowed -= len(data)
        return self.bytes_allowed <= 0

    def discard_unparsed(self) -> None:
        """Drop the request that is held unparsed."""
        self._unparsed = b""
        self.target = ""

    def next(self) -> ParsedRequest | None:
        """Remove and return the next complete request; what is held unparsed is parsed first."""
        unparsed = self._unparsed
        self.discard_unparsed()
        self._parser.feed(unparsed)
        return self._parser.next()

    def take_continue(self) -> bool:
        """Whether the client waits for "100 Continue" (RFC 9110, 10.1.1); true once a request."""
        is_wanted = self._parser.wants_continue
        self._parser.wants_continue = False
        return is_wanted
