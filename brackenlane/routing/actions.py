"""What a Router decides: attempts, final answers, cancellations, timers. Times are in seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass


class Action:
    """Base class of all that a Router may decide."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class Fetch(Action):
    """Make an attempt: get the object from a server, which fills a cache miss from a source.

    The attempts of a request are numbered from 0 in the order of these actions.
    """

    request_id: str
    server: str  # Member.server of the one that is sent the request
    timeout: float  # seconds
    source: str  # Member.server of the fill source; `server` itself: a miss is not filled
    keep: int = 1  # retention rank of the copy: 0: not kept; the lowest rank is evicted first
    max_age: float = 0.0  # seconds since the origin gave out the copy, at most; 0: any age
    join: bool = False  # whether the request may join a fill in progress
    revalidate: bool = False  # whether a copy that is about to expire is fetched anew in the background
    only_if_cached: bool = False  # whether the source gives only what it holds (RFC 9111, 5.2.1.7)
    until: float = math.inf  # Unix seconds: the latest time at which its first byte may be written


@dataclass(slots=True, frozen=True)
class Reject(Action):
    """Answer finally that the request was not run; the client may retry it."""

    request_id: str
    hold_off: float = (
        0.0  # seconds for which the client is to wait (Retry-After: RFC 9110, 10.2.3); 0: unsaid
    )


@dataclass(slots=True, frozen=True)
class Fail(Action):
    """Answer finally that the request failed; it may have run."""

    request_id: str


@dataclass(slots=True, frozen=True)
class Cancel(Action):
    """Stop waiting for one attempt."""

    request_id: str
    attempt: int  # its number, from 0


@dataclass(slots=True, frozen=True)
class SetTimer(Action):
    """Set a timer, which comes back as TimerFired."""

    token: int  # its identity
    at: float  # Unix seconds


@dataclass(slots=True, frozen=True)
class Subscribe(Action):
    """Subscribe to all changes of discovery's list."""
