"""What a Router asks for: attempts, final answers, cancellations, timers. Times are in seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass


class Action:
    """Anything that a Router asks for."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class Fetch(Action):
    """An attempt: get the object from a server, a miss being filled from source (itself: not filled)."""

    request_id: str
    server: str
    timeout: float
    source: str
    keep: int = 1
    max_age: float = 0.0
    join: bool = False
    revalidate: bool = False
    only_if_cached: bool = False  # the source gives only what it holds
    until: float = math.inf  # when its first byte may go out last: a repeat's window ends


@dataclass(slots=True, frozen=True)
class Reject(Action):
    """Final answer: turned away, a retry does no harm; come back after hold_off."""

    request_id: str
    hold_off: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail(Action):
    """Final answer: failed, nothing promised."""

    request_id: str


@dataclass(slots=True, frozen=True)
class Cancel(Action):
    """Stop waiting for one attempt."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer(Action):
    """Wake this router at a time."""

    token: int
    at: float


@dataclass(slots=True, frozen=True)
class Subscribe(Action):
    """Ask discovery for all changes from now on."""
