"""What a name under the operator's zone asks for; pure, apart from any socket.

[g-GROUP.][n-PART.]OBJECT.CLASS.ZONE    the cache to read from; of a write, the router itself
BOX.boxes.ZONE                          one cache, while it takes new work
router.ZONE                            the router itself
_http._tcp. before any of these         the same with its port, as SRV
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import dns.exception
import dns.name

OBJECT = re.compile(r"[0-9a-z_][0-9a-z_-]{0,62}")
ROUTER_LABEL = "doorman"
CACHES_LABEL = "boxes"
SERVICE_LABELS = ("_http", "_tcp")
LARGEST_GROUP = 255
NO_GROUP = -1
MARK = re.compile(r"(?P<kind>[gn])-(?P<number>\d{1,9})")
MARK_ORDER = "gn"  # group before part


@dataclass(slots=True, frozen=True)
class ObjectQuestion:
    """One part of an object of a class."""

    cls: str
    obj: str
    part: int = 0
    group: int = NO_GROUP


@dataclass(slots=True, frozen=True)
class CacheQuestion:
    """One cache, by its id."""

    server: str


@dataclass(slots=True, frozen=True)
class RouterQuestion:
    """The router itself; apex: the zone's own name."""

    apex: bool = False


Question = ObjectQuestion | CacheQuestion | RouterQuestion


def read_zone(text: str) -> dns.name.Name:
    """Read the operator's zone. Raises ValueError if it is no domain name."""
    try:
        return dns.name.from_text(text)
    except dns.exception.DNSException as fault:
        raise ValueError(f"{text!r} is no domain name: {fault}") from None


def read_name(
    name: dns.name.Name, zone: dns.name.Name, classes: frozenset[str]
) -> tuple[Question, bool] | None:
    """Return what a name under the zone asks for, and whether as a service; None if there is no such name."""
    labels = [label.decode("latin-1").lower() for label in name.relativize(zone).labels]
    service = tuple(labels[:2]) == SERVICE_LABELS
    if service:
        labels = labels[2:]
    match labels:
        case []:
            return None if service else (RouterQuestion(apex=True), False)
        case [label] if label == ROUTER_LABEL:
            return RouterQuestion(), service
        case [server, label] if label == CACHES_LABEL:
            return CacheQuestion(server), service
        case [*marks, obj, cls] if cls in classes and OBJECT.fullmatch(obj):
            found = _read_marks(marks)
            return (ObjectQuestion(cls, obj, *found), service) if found else None
    return None


def _read_marks(marks: list[str]) -> tuple[int, int] | None:
    """Return part and group from the labels before the object, group first; None if they are malformed."""
    if len(marks) > len(MARK_ORDER):
        return None
    found = [MARK.fullmatch(mark) for mark in marks]
    kinds = "".join(match["kind"] for match in found if match)
    if len(kinds) != len(marks) or (len(marks) > 1 and kinds != MARK_ORDER):
        return None
    numbers = {match["kind"]: int(match["number"]) for match in found if match}
    group = numbers.get("g", NO_GROUP)
    if group > LARGEST_GROUP:
        return None
    return numbers.get("n", 0), group
