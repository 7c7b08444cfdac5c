"""Parser of the names under the operator's zone. Pure.

[g-GROUP.][n-PART.]OBJECT.CLASS.ZONE    the cache to read from; for a write, the router itself
BOX.boxes.ZONE                          one cache; no address while it is draining
doorman.ZONE                            the router itself
_http._tcp. before any of these         an SRV record of the same, with its port
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
MAX_GROUP = 255
NO_GROUP = -1
PREFIX_LABEL = re.compile(r"(?P<kind>[gn])-(?P<number>\d{1,9})")
PREFIX_ORDER = "gn"  # the group label precedes the part label


@dataclass(slots=True, frozen=True)
class ObjectQuestion:
    """A question for one part of an object of a class."""

    cls: str
    obj: str
    part: int = 0
    group: int = NO_GROUP


@dataclass(slots=True, frozen=True)
class CacheQuestion:
    """A question for one cache by its id."""

    server: str


@dataclass(slots=True, frozen=True)
class RouterQuestion:
    """A question for the router itself; `apex`: by the name of the zone."""

    apex: bool = False


Question = ObjectQuestion | CacheQuestion | RouterQuestion


def read_zone(text: str) -> dns.name.Name:
    """Parse the name of the operator's zone. Raises ValueError if it is not a domain name."""
    try:
        return dns.name.from_text(text)
    except dns.exception.DNSException as error:
        raise ValueError(f"{text!r} is no domain name: {error}") from None


def read_name(
    name: dns.name.Name, zone: dns.name.Name, classes: frozenset[str]
) -> tuple[Question, bool] | None:
    """Return the question of a name under the zone, and whether it is a service name; None if invalid."""
    labels = [label.decode("latin-1").lower() for label in name.relativize(zone).labels]
    is_service = tuple(labels[:2]) == SERVICE_LABELS
    if is_service:
        labels = labels[2:]
    match labels:
        case []:
            return None if is_service else (RouterQuestion(apex=True), False)
        case [label] if label == ROUTER_LABEL:
            return RouterQuestion(), is_service
        case [server, label] if label == CACHES_LABEL:
            return CacheQuestion(server), is_service
        case [*prefix_labels, obj, cls] if cls in classes and OBJECT.fullmatch(obj):
            part_and_group = _read_prefix_labels(prefix_labels)
            return (ObjectQuestion(cls, obj, *part_and_group), is_service) if part_and_group else None
    return None


def _read_prefix_labels(prefix_labels: list[str]) -> tuple[int, int] | None:
    """Return part and group from the labels before the object; None if they are malformed."""
    if len(prefix_labels) > len(PREFIX_ORDER):
        return None
    matches = [PREFIX_LABEL.fullmatch(label) for label in prefix_labels]
    kinds = "".join(match["kind"] for match in matches if match)
    if len(kinds) != len(prefix_labels) or (len(prefix_labels) > 1 and kinds != PREFIX_ORDER):
        return None
    numbers = {match["kind"]: int(match["number"]) for match in matches if match}
    group = numbers.get("g", NO_GROUP)
    if group > MAX_GROUP:
        return None
    return numbers.get("n", 0), group
