"""States of a client connection."""

from __future__ import annotations

from enum import IntEnum


class ClientState(IntEnum):
    """State of a client connection. The connection table uses the values as list indices."""

    ACTIVE = 0  # a request is queued or in flight; nothing is expected from the client
    NEW = 1  # accepted, no byte of the first request was received
    IDLE = 2  # no byte of the next request was received
    READING = 3  # a request was received in part
    WRITING = 4  # an answer was sent in part
    CLOSING = 5  # the sending half is closed; the client has yet to close its half
