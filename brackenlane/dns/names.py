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
ROUTER_LABEL, CACHES_LABEL, SERVICE = "doorman", "boxes", ("_http", "_tcp")


@dataclass(slots=True, frozen=True)
class ObjectQuestion:
    """An object of a class."""

    cls: str
    obj: str
    part: int = 0
    group: int = -1


@dataclass(slots=True, frozen=True)
class CacheQuestion:
    """One cache by its id."""

    server: str


@dataclass(slots=True, frozen=True)
class RouterQuestion:
    """The router itself, or the zone's top."""

    apex: bool = False


Question = ObjectQuestion | CacheQuestion | RouterQuestion


def read_zone(text: str) -> dns.name.Name:
    """The operator's zone; ValueError if it is no name."""
    try:
        return dns.name.from_text(text)
    except dns.exception.DNSException as fault:
        raise ValueError(f"{text!r} is no domain name: {fault}") from None


def read_name(
    name: dns.name.Name, zone: dns.name.Name, classes: frozenset[str]
) -> tuple[Question, bool] | None:
    """What a name under the zone asks for and whether by service; None if there is no such name."""
    labels = [label.decode("latin-1").lower() for label in name.relativize(zone).labels]
    service = tuple(labels[:2]) == SERVICE
    if service:
        labels = labels[2:]
    match labels:
        case []:
            return None if service else (RouterQuestion(apex=True), False)
        case ["doorman"]:
            return RouterQuestion(), service
        case [server, "boxes"]:
            return CacheQuestion(server), service
        case [*marks, obj, cls] if cls in classes and OBJECT.fullmatch(obj):
            found = _read_marks(marks)
            return (ObjectQuestion(cls, obj, *found), service) if found else None
    return None


def _read_marks(marks: list[str]) -> tuple[int, int] | None:
    """Part and group from the labels before the object."""
    part, group = 0, -1
    for letter, label in zip(reversed("gn"[-len(marks) :] if marks else ""), reversed(marks), strict=False):
        found = re.fullmatch(r"([gn])-(\d{1,9})", label)
        if not found or (found[1] != letter and len(marks) > 1):
            return None
        if found[1] == "n":
            part = int(found[2])
        else:
            group = int(found[2])
    return None if len(marks) > 2 or group > 255 else (part, group)
