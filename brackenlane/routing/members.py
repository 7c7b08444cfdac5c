"""The servers on the discovery list: their roles, states and weights."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """The tier of a server."""

    EDGE = "edge"  # an edge cache: answers the requests of clients
    PARENT = "parent"  # a parent cache in a hub: the source of fills of edge caches
    ORIGIN = "origin"  # the origin server: holds all objects


class ServerState(Enum):
    """The state of a server as reported by discovery."""

    SERVING = "serving"
    DRAINING = "draining"  # the server accepts no new requests
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class Member:
    """One server on the discovery list."""

    server: str  # address of the server, which identifies it
    zone: str  # location of the server
    role: Role = Role.EDGE
    cell: int = 0  # servers of a cell deduplicate each other's requests (settings.Scope)
    state: ServerState = ServerState.SERVING
    weight: float = 1.0  # concurrent transfers at the highest pace that the link carries
    started_at: float = 0.0  # Unix seconds by the clock of the server; 0: unknown or long ago
