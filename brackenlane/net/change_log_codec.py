"""The change log's events, as JSON in the configuration and as frames on its connection; no socket here."""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from brackenlane.config import Endpoint, Site, read_endpoint
from brackenlane.routing.events import Membership, MembershipKind, Purged
from brackenlane.routing.members import Member, Role, ServerState

STATES = (ServerState.SERVING, ServerState.DRAINING, ServerState.GONE)
WORDS = {
    "in_service": ServerState.SERVING,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.GONE,
}
HEAD = struct.Struct(">IQB")
RECORD = struct.Struct(">I4sHBBBHIQ")
OBJECT, GROUP = struct.Struct(">8sQ"), struct.Struct(">HQ")


class ListError(Exception):
    """Bytes or JSON that are no event of the change log."""


@dataclass(slots=True, frozen=True)
class Change:
    """One numbered event: a list with its addresses, or a purge; neither on an empty frame."""

    number: int
    event: Membership | Purged | None = None
    endpoints: dict[str, Endpoint] = field(default_factory=dict)


def _change(number: int, complete: bool, found: list[tuple[Member, Endpoint]]) -> Change:
    members = tuple(member for member, _ in found)
    kind = MembershipKind.FULL if complete else MembershipKind.CHANGES
    return Change(
        number,
        Membership(kind, members),
        {m.server: at for m, at in found if m.state is not ServerState.GONE},
    )


def read_known(known: dict[str, Any], site: Site, now: float) -> Iterator[Change]:
    """The events of the start."""
    try:
        for item in known.get("results", ()):
            number = int(item["seq"])
            if "fleet" in item:
                membership = item["fleet"]
                found = [_read_target(target, site) for target in membership["targets"]]
                yield _change(number, bool(membership.get("all")), found)
            elif "invalidate" in item:
                reported = item["invalidate"]
                yield Change(
                    number,
                    Purged(
                        str(reported.get("object", "")),
                        int(reported.get("bucket", -1)),
                        max(0.0, now - reported["time"] / 1000),
                    ),
                )
    except (KeyError, TypeError, ValueError, AttributeError) as fault:
        raise ListError(f"known: {type(fault).__name__}: {fault}") from None


def _read_target(raw: dict[str, Any], site: Site) -> tuple[Member, Endpoint]:
    role = site.roles.get(raw.get("model", ""), Role.EDGE)
    return Member(
        str(raw["uid"]),
        str(raw.get("az", "")),
        role,
        int(raw.get("pod_group", 0)),
        WORDS[raw.get("state", "in_service")],
        float(raw.get("capacity_hint", 1.0)),
        raw.get("boot_ms", 0) / 1000,
    ), read_endpoint(raw["endpoint"], "endpoint")


def read_frame(number: int, kind: int, payload: bytes, site: Site, now: float) -> Change:
    """One frame's event."""
    try:
        if kind == 0:
            return Change(number)
        if kind in (1, 2):
            return _change(number, kind == 1, [_read_record(r, site) for r in RECORD.iter_unpack(payload)])
        if kind == 3:
            name, at = OBJECT.unpack(payload)
            return Change(number, Purged(name.hex(), -1, max(0.0, now - at / 1000)))
        if kind == 4:
            group, at = GROUP.unpack(payload)
            return Change(number, Purged("", group, max(0.0, now - at / 1000)))
    except (struct.error, IndexError) as fault:
        raise ListError(f"frame {number}: {fault}") from None
    raise ListError(f"frame {number}: kind {kind} is not known")


def _read_record(record: tuple[Any, ...], site: Site) -> tuple[Member, Endpoint]:
    uid, address, port, state, zone, kind, cell, weight, started = record
    role = site.roles.get(site.kinds[kind], Role.EDGE)
    return Member(
        f"s-{uid:08x}", site.zones[zone], role, cell, STATES[state], weight / 1000, started / 1000
    ), (str(ipaddress.IPv4Address(address)), port)


class FrameReader:
    """Frames out of bytes as they come."""

    def __init__(self, longest: int) -> None:
        self._longest = longest
        self._buffer = bytearray()

    def feed(self, data: bytes | bytearray) -> Iterator[tuple[int, int, bytes]]:
        """Number, kind and payload of each frame that these bytes complete."""
        self._buffer += data
        while len(self._buffer) >= HEAD.size:
            length, number, kind = HEAD.unpack_from(self._buffer)
            if not HEAD.size - 4 <= length <= self._longest:
                raise ListError(f"a frame of {length} bytes")
            if len(self._buffer) < 4 + length:
                return
            payload = bytes(self._buffer[HEAD.size : 4 + length])
            del self._buffer[: 4 + length]
            yield number, kind, payload
