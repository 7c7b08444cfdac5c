"""Codec of the snapshot: a JSON document in an envelope with version and checksum.

The field names are a storage format.
"""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

import orjson

from brackenlane.coldstart.stream_position import STREAM_START, StreamPosition
from brackenlane.discovery.definition_codec import encode_definition, read_definition
from brackenlane.discovery.errors import (
    SnapshotCorruptError,
    SnapshotError,
    SnapshotVersionError,
    StoredFormError,
)
from brackenlane.discovery.order_codec import encode_order, read_own_order
from brackenlane.discovery.records import PersistedMembership, ip_address_of

log = logging.getLogger(__name__)

Entry = TypeVar("Entry")

VERSION = 2
# Version 1 has no stream position, purges or shutdown flag.
READABLE_VERSIONS = (1, VERSION)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state of a router at the time of writing."""

    memory: PersistedMembership
    saved_at: float  # Unix time
    position: StreamPosition = (
        STREAM_START  # position in the store's event stream up to which events are included
    )
    is_shutdown: bool = False  # True: written at a graceful shutdown; False when read: crash or power loss
    purges: tuple[tuple[str, int, float], ...] = ()  # recent purges: object, group, Unix time
    unshared: tuple[str, ...] = ()  # encoded events that are not known to be in the shared store


def dump(snapshot: Snapshot) -> bytes:
    """Encode a snapshot file."""
    memory = snapshot.memory
    document: dict[str, Any] = {
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
    if snapshot.unshared:
        document["unshared"] = snapshot.unshared
    return wrap_with_checksum(orjson.dumps(document))


def wrap_with_checksum(body: bytes) -> bytes:
    """Return a document in its envelope with version and checksum."""
    digest = hashlib.sha256(body).hexdigest()
    return orjson.dumps({"version": VERSION, "sha256": digest, "body": body.decode()})


def parse(data: bytes) -> Snapshot:
    """Decode a snapshot file. Raises SnapshotVersionError or SnapshotCorruptError."""
    try:
        return _read_snapshot(_read_body(data))
    except SnapshotError:
        raise
    except ValueError as error:
        raise SnapshotCorruptError(str(error)) from error
    except (KeyError, TypeError, AttributeError) as error:
        raise SnapshotCorruptError(f"{type(error).__name__}: {error}") from error


def _read_body(data: bytes) -> dict[str, Any]:
    """Check version and checksum of the envelope; return the document in it."""
    outer: dict[str, Any] = orjson.loads(data)
    version = outer["version"]
    body = str(outer["body"]).encode()
    if version not in READABLE_VERSIONS:
        raise SnapshotVersionError(f"unsupported version {version!r}; the current version is {VERSION}")
    if hashlib.sha256(body).hexdigest() != outer["sha256"]:
        raise SnapshotCorruptError("checksum mismatch")
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
        tuple(str(text) for text in document.get("unshared", ())),
    )


def _read_members(document: dict[str, Any]) -> PersistedMembership:
    """Return the members of a document whose checksum is right, so that a router has written it.

    An earlier version may have accepted an entry that is out of bounds now. It is skipped, so that the drains
    in the same document hold.
    """
    srv_members = {
        str(srv): tuple(_read_each(read_definition, definitions))
        for srv, definitions in document["listed"].items()
    }
    return PersistedMembership(
        tuple(_read_each(read_definition, document["others"])),
        srv_members,
        {
            str(host): address
            for host, text in document["places"].items()
            if (address := ip_address_of(str(text))) is not None
        },
        dict(_read_each(read_own_order, document["orders"])),
    )


def _read_each(read: Callable[[Any], Entry], raw_entries: Iterable[Any]) -> Iterator[Entry]:
    for raw in raw_entries:
        try:
            yield read(raw)
        except StoredFormError as error:
            log.warning("entry of the snapshot skipped: %s", error)
