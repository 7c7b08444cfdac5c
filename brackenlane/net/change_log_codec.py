"""Codec of the change log: decodes events from JSON in the configuration and from frames on a connection.

A frame consists of a length of 4 bytes (of all that follows it), a number of 8 bytes, a kind of 1 byte, and a
payload that depends on the kind. All numbers are big-endian. The platform defines the words and numbers.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, NamedTuple

from brackenlane.config import Endpoint, Site, read_endpoint
from brackenlane.routing.events import Membership, MembershipKind, Purged
from brackenlane.routing.members import Member, Role, ServerState

MS_PER_S = 1000
STATE_BY_NUMBER = (ServerState.SERVING, ServerState.DRAINING, ServerState.GONE)
STATE_BY_WORD = {
    "in_service": ServerState.SERVING,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.GONE,
}
NO_GROUP = -1  # group number in the purge of a single object

LENGTH_BYTES = 4
FRAME_HEADER = struct.Struct(">IQB")  # length, number, kind
MIN_FRAME_LENGTH = FRAME_HEADER.size - LENGTH_BYTES  # length field of a frame without payload
# uid, IPv4 address, port, state, zone, kind of server, cell, capacity (1/1000), start (Unix milliseconds)
SERVER_RECORD = struct.Struct(">I4sHBBBHIQ")
OBJECT_PURGE = struct.Struct(">8sQ")  # object id, time of the purge in Unix milliseconds
GROUP_PURGE = struct.Struct(">HQ")  # group number, time of the purge in Unix milliseconds


class ChangeLogFormatError(Exception):
    """Bytes or JSON that are not a valid event of the change log."""


class FrameKind(IntEnum):
    """Kinds of frames by their number on the wire."""

    HEARTBEAT = 0
    FULL_LIST = 1
    LIST_CHANGES = 2
    OBJECT_PURGE = 3
    GROUP_PURGE = 4


class Frame(NamedTuple):
    """One frame as received."""

    number: int
    kind: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class Change:
    """One numbered event: a server list with addresses, or a purge; a heartbeat has no event."""

    number: int
    event: Membership | Purged | None = None
    endpoints: dict[str, Endpoint] = field(default_factory=dict)


class ListedServer(NamedTuple):
    """One server in a full or partial server list."""

    member: Member
    endpoint: Endpoint


def _build_list_change(number: int, kind: MembershipKind, targets: list[ListedServer]) -> Change:
    members = tuple(target.member for target in targets)
    endpoints = {
        target.member.server: target.endpoint
        for target in targets
        if target.member.state is not ServerState.GONE
    }
    return Change(number, Membership(kind, members), endpoints)


def _build_purge(obj: str, group: int, purged_at_ms: float, now: float) -> Purged:
    """Return a purge; its age is 0 if its time is ahead of this machine's clock."""
    purged_at = purged_at_ms / MS_PER_S
    return Purged(obj, group, max(0.0, now - purged_at), purged_at)


def read_configured_changes(known: dict[str, Any], site: Site, now: float) -> Iterator[Change]:
    """Yield the changes contained in the configuration. now: Unix time. Raises ChangeLogFormatError."""
    try:
        for entry in known.get("results", ()):
            change = _read_event(entry, site, now)
            if change is not None:
                yield change
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ChangeLogFormatError(f"known: {type(error).__name__}: {error}") from error


def _read_event(entry: dict[str, Any], site: Site, now: float) -> Change | None:
    """Return the change in one JSON object, or None for a kind of event that a router does not use."""
    number = int(entry["seq"])
    if "fleet" in entry:
        fleet = entry["fleet"]
        targets = [_read_target(target, site) for target in fleet["targets"]]
        kind = MembershipKind.FULL if fleet.get("all") else MembershipKind.CHANGES
        return _build_list_change(number, kind, targets)
    if "invalidate" in entry:
        purge = entry["invalidate"]
        obj = str(purge.get("object", ""))
        group = int(purge.get("bucket", NO_GROUP))
        return Change(number, _build_purge(obj, group, purge["time"], now))
    return None


def _read_target(fields: dict[str, Any], site: Site) -> ListedServer:
    role = site.roles.get(fields.get("model", ""), Role.EDGE)
    member = Member(
        str(fields["uid"]),
        str(fields.get("az", "")),
        role,
        int(fields.get("pod_group", 0)),
        STATE_BY_WORD[fields.get("state", "in_service")],
        float(fields.get("capacity_hint", 1.0)),
        fields.get("boot_ms", 0) / MS_PER_S,
    )
    return ListedServer(member, read_endpoint(fields["endpoint"], "endpoint"))


def read_frame(frame: Frame, site: Site, now: float) -> Change:
    """Return the change in one frame. now: Unix time. Raises ChangeLogFormatError."""
    number = frame.number
    try:
        match frame.kind:
            case FrameKind.HEARTBEAT:
                return Change(number)
            case FrameKind.FULL_LIST:
                return _build_list_change(number, MembershipKind.FULL, _read_records(frame.payload, site))
            case FrameKind.LIST_CHANGES:
                return _build_list_change(number, MembershipKind.CHANGES, _read_records(frame.payload, site))
            case FrameKind.OBJECT_PURGE:
                obj, purged_at_ms = OBJECT_PURGE.unpack(frame.payload)
                return Change(number, _build_purge(obj.hex(), NO_GROUP, purged_at_ms, now))
            case FrameKind.GROUP_PURGE:
                group, purged_at_ms = GROUP_PURGE.unpack(frame.payload)
                return Change(number, _build_purge("", group, purged_at_ms, now))
    except (struct.error, IndexError) as error:
        raise ChangeLogFormatError(f"frame {number}: {error}") from error
    raise ChangeLogFormatError(f"frame {number}: unknown kind {frame.kind}")


def _read_records(payload: bytes, site: Site) -> list[ListedServer]:
    return [_read_record(record, site) for record in SERVER_RECORD.iter_unpack(payload)]


def _read_record(record: tuple[Any, ...], site: Site) -> ListedServer:
    uid, address, port, state, zone, kind, cell, capacity, started_at_ms = record
    member = Member(
        f"s-{uid:08x}",
        site.zones[zone],
        site.roles.get(site.kinds[kind], Role.EDGE),
        cell,
        STATE_BY_NUMBER[state],
        capacity / 1000,
        started_at_ms / MS_PER_S,
    )
    return ListedServer(member, (str(ipaddress.IPv4Address(address)), port))


class FrameReader:
    """Incremental decoder that splits a byte stream into frames."""

    def __init__(self, max_frame_bytes: int) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes | bytearray) -> Iterator[Frame]:
        """Add received bytes and yield the frames that they complete. Raises ChangeLogFormatError."""
        self._buffer += data
        while len(self._buffer) >= FRAME_HEADER.size:
            length, number, kind = FRAME_HEADER.unpack_from(self._buffer)
            if not MIN_FRAME_LENGTH <= length <= self._max_frame_bytes:
                raise ChangeLogFormatError(f"frame length out of range: {length} bytes")
            end = LENGTH_BYTES + length
            if len(self._buffer) < end:
                return
            payload = bytes(self._buffer[FRAME_HEADER.size : end])
            del self._buffer[:end]
            yield Frame(number, kind, payload)
