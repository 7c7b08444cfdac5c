"""The servers that discovery lists: their roles, states and weights."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """The place of a server in the hierarchy."""

    EDGE = "edge"
    PARENT = "parent"
    ORIGIN = "origin"


class ServerState(Enum):
    """What discovery says of a server."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class Member:
    """One server on discovery's list."""

    server: str
    zone: str
    role: Role = Role.EDGE
    cell: int = 0
    state: ServerState = ServerState.SERVING
    weight: float = 1.0
    started_at: float = 0.0
