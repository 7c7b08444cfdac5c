"""The servers that discovery lists: their roles, states and weights."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """The tier of a server."""

    EDGE = "edge"  # an edge cache: it answers requests
    PARENT = "parent"  # a parent cache in a hub: a fill source of edge caches
    ORIGIN = "origin"  # it has all objects


class ServerState(Enum):
    """What discovery says of a server."""

    SERVING = "serving"
    DRAINING = "draining"  # it takes no new requests
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class Member:
    """One server on discovery's list."""

    server: str  # its identity: the address
    zone: str  # the location that it is in
    role: Role = Role.EDGE
    cell: int = 0  # servers of one cell drop the repeats of each other's requests (settings.Scope)
    state: ServerState = ServerState.SERVING
    weight: float = 1.0  # transfers at a time, each at the highest pace, that its link carries
    started_at: float = 0.0  # Unix seconds, by the server's own clock; 0: unknown, or long ago
