"""Input of one client connection: requests that are parsed, or held unparsed until they are served."""

from __future__ import annotations

from brackenlane.limits import Limits
from brackenlane.net.http_codec import BadRequestError, ParsedRequest, RequestParser


class RequestInput:
    """Holds the bytes that a client has sent and that were not served yet, up to a limit.

    A simple GET is held unparsed, so that rejecting it does not cost a run of the parser.
    """

    __slots__ = (
        "_max_following_size",
        "_parser",
        "_unparsed",
        "_unparsed_request_size",
        "has_overflowed",
        "target",
        "unrequested_bytes_left",
    )

    def __init__(self, limits: Limits) -> None:
        self._parser = RequestParser(limits)
        self._max_following_size = limits.max_head_size
        self._unparsed = b""
        self._unparsed_request_size = 0  # bytes of the request at the start of `_unparsed`
        self.target = ""  # target of the unparsed request; "" if there is none or bytes follow it
        # Bytes that the client may still send before its answer is sent, or before this side closes.
        self.unrequested_bytes_left = 0
        self.has_overflowed = False  # the bytes after a request exceeded the limit and were discarded

    @property
    def complete(self) -> ParsedRequest | None:
        """The next complete request, without removing it."""
        return self._parser.complete

    @property
    def fault(self) -> BadRequestError | None:
        """The error in the received bytes, after which nothing is parsed; None if there is none."""
        return self._parser.fault

    @property
    def is_partial(self) -> bool:
        """Whether a request was received in part."""
        return self._parser.is_partial

    def feed(self, data: bytes) -> None:
        """Parse bytes."""
        self._parser.feed(data)

    def hold_unparsed(self, data: bytes, target: str) -> None:
        """Hold one complete simple request unparsed."""
        self._unparsed = data
        self._unparsed_request_size = len(data)
        self.target = target

    def buffer(self, data: bytes) -> None:
        """Buffer bytes that follow a request; beyond the limit all that follows it is discarded."""
        if self.count_unrequested(data):
            self.discard_following()
        elif self._unparsed:
            self._unparsed += data
            self.target = ""  # the bytes are no longer a single simple request and must be parsed
        else:
            self._parser.feed(data)

    def discard_following(self) -> None:
        """Discard the bytes behind the request that is held or in flight; the connection closes after it."""
        self.has_overflowed = True
        self.target = ""
        self._unparsed = self._unparsed[: self._unparsed_request_size]
        self._parser.discard_following()

    def close(self) -> None:
        """Free the memory of the requests at once; nothing may be fed after that."""
        self.discard_unparsed()
        self._parser.close()

    def begin_request(self) -> None:
        """Set the limit for bytes behind the next request; those that have arrived already count."""
        self.unrequested_bytes_left = self._max_following_size - self._parser.unparsed_size

    @property
    def has_following(self) -> bool:
        """Whether bytes behind the request that is held or in flight are kept."""
        return len(self._unparsed) > self._unparsed_request_size or self._parser.has_following

    @property
    def held_size(self) -> int:
        """Bytes of memory that the requests occupy."""
        return len(self._unparsed) + self._parser.held_size

    def count_unrequested(self, data: bytes) -> bool:
        """Count bytes that the client sent before its answer; return whether the limit is reached."""
        self.unrequested_bytes_left -= len(data)
        return self.unrequested_bytes_left <= 0

    def discard_unparsed(self) -> None:
        """Discard the request that is held unparsed."""
        self._unparsed = b""
        self._unparsed_request_size = 0
        self.target = ""

    def next(self) -> ParsedRequest | None:
        """Remove and return the next complete request, after parsing the bytes that are held unparsed."""
        unparsed = self._unparsed
        self.discard_unparsed()
        self._parser.feed(unparsed)
        return self._parser.next()

    def take_continue(self) -> bool:
        """Return whether the client waits for "100 Continue" (RFC 9110, 10.1.1), once for each request."""
        is_wanted = self._parser.wants_continue
        self._parser.wants_continue = False
        return is_wanted
