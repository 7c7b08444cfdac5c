"""Codec of the snapshot, one JSON document under its version and checksum. Field names are stored data."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Any

import orjson

from brackenlane.coldstart.stream_position import STREAM_START, StreamPosition
from brackenlane.discovery.definition_codec import encode_definition, read_definition
from brackenlane.discovery.errors import SnapshotCorruptError, SnapshotError, SnapshotVersionError
from brackenlane.discovery.order_codec import encode_order, read_order
from brackenlane.discovery.records import RememberedMembers

VERSION = 2
READABLE_VERSIONS = (1, VERSION)  # version 1 had neither stream position nor purges nor mark of a shutdown


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What a router knew when it was written."""

    memory: RememberedMembers
    saved_at: float  # Unix time
    position: StreamPosition = STREAM_START  # in the store's stream: all entries up to it are included
    is_shutdown: bool = False  # written at a graceful shutdown; otherwise the process or its power was lost
    purges: tuple[tuple[str, int, float], ...] = ()  # recent ones: object, group, Unix time


def dump(snapshot: Snapshot) -> bytes:
    """Return the bytes of a snapshot file."""
    memory = snapshot.memory
    body = orjson.dumps(
        {
            "saved": snapshot.saved_at,
            "place": str(snapshot.position),
            "left": snapshot.is_shutdown,
            "purges": snapshot.purges,
            "others": [encode_definition(definition) for definition in memory.definitions],
            "listed": {
                srv: [encode_definition(definition) for definition in definitions]
                for srv, definitions in memory.srv_members.items()
            },
            "places": memory.addresses,
            "orders": [encode_order(cache_id, order) for cache_id, order in memory.orders.items()],
        }
    )
    return sign(body)


def sign(body: bytes) -> bytes:
    """Return a document with the version and checksum under which a snapshot is stored."""
    digest = hashlib.sha256(body).hexdigest()
    return orjson.dumps({"version": VERSION, "sha256": digest, "body": body.decode()})


def parse(data: bytes) -> Snapshot:
    """Return the snapshot of a file's bytes; SnapshotVersionError or SnapshotCorruptError if it is none."""
    try:
        return _read_snapshot(_read_body(data))
    except SnapshotError:
        raise
    except ValueError as error:
        raise SnapshotCorruptError(str(error)) from error
    except (KeyError, TypeError, AttributeError) as error:
        raise SnapshotCorruptError(f"{type(error).__name__}: {error}") from error


def _read_body(data: bytes) -> dict[str, Any]:
    """Check version and checksum and return the document under them."""
    outer: dict[str, Any] = orjson.loads(data)
    version = outer["version"]
    body = str(outer["body"]).encode()
    if version not in READABLE_VERSIONS:
        raise SnapshotVersionError(f"version {version!r}, not {VERSION}")
    if hashlib.sha256(body).hexdigest() != outer["sha256"]:
        raise SnapshotCorruptError("the checksum does not fit")
    document: dict[str, Any] = orjson.loads(body)
    return document


def _read_snapshot(document: dict[str, Any]) -> Snapshot:
    position = StreamPosition.parse(str(document.get("place", STREAM_START)))
    return Snapshot(
        _read_members(document),
        float(document["saved"]),
        position,
        document.get("left", False) is True,
        tuple((str(obj), int(group), float(at)) for obj, group, at in document.get("purges", ())),
    )


def _read_members(document: dict[str, Any]) -> RememberedMembers:
    srv_members = {
        str(srv): tuple(read_definition(raw) for raw in definitions)
        for srv, definitions in document["listed"].items()
    }
    return RememberedMembers(
        tuple(read_definition(raw) for raw in document["others"]),
        srv_members,
        {str(host): str(address) for host, address in document["places"].items()},
        dict(read_order(raw) for raw in document["orders"]),
    )
