"""Actions that a Router decides on: attempts, final answers, cancellations, timers. Times are in seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass


class Action:
    """Base class of all actions that a Router decides on."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class Fetch(Action):
    """Start an attempt: get the object from a server, which fills a cache miss from a source.

    The attempts of a request are numbered from 0 in the order of these actions.
    """

    request_id: str
    server: str  # Member.server of the server that is sent the request
    timeout: float  # seconds
    source: str  # Member.server of the fill source; equal to `server`: a miss is not filled
    retention_rank: int = 1  # retention rank of the copy: 0: not stored; the lowest rank is evicted first
    max_age: float = 0.0  # largest accepted age of a copy, in seconds since the origin issued it; 0: any
    may_join_fill: bool = False  # whether the request may join a fill in progress
    revalidate: bool = False  # whether a copy that is about to expire is refreshed in the background
    only_if_cached: bool = False  # whether the source may answer only from its cache (RFC 9111, 5.2.1.7)
    send_before: float = math.inf  # latest time at which its first byte may be written, in Unix seconds


@dataclass(slots=True, frozen=True)
class Reject(Action):
    """Send the final answer that the request was not run; the client may retry it."""

    request_id: str
    # Seconds for which the client is to wait (Retry-After: RFC 9110, 10.2.3); 0: not specified.
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail(Action):
    """Send the final answer that the request failed; it may have run."""

    request_id: str


@dataclass(slots=True, frozen=True)
class Cancel(Action):
    """Stop waiting for one attempt."""

    request_id: str
    attempt: int  # number of the attempt, from 0


@dataclass(slots=True, frozen=True)
class SetTimer(Action):
    """Set a timer; TimerFired with the same token reports that it has expired."""

    token: int  # identifies the timer
    at: float  # expiry time, in Unix seconds
    request_id: str = ""  # the request whose final answer makes the timer unnecessary


@dataclass(slots=True, frozen=True)
class Subscribe(Action):
    """Subscribe to all changes of the server list that discovery publishes."""
