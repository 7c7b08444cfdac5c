"""The appliance's own list of boxes: what the operator's file, resolver, store and console say of them."""

from __future__ import annotations

import ipaddress
import re
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

from brackenlane.config import Endpoint
from frostsail.interface import Event, ListKind, Member, Membership, Purged, Role, State

Follow = Callable[[dict[str, Endpoint], set[str], bool], None]


@dataclass(slots=True, frozen=True)
class Box:
    """One box as it was set up; the host is an address or a name at the site's resolver."""

    id: str
    host: str
    port: int
    zone: str
    role: Role = Role.EDGE
    weight: float = 1.0
    drained: bool = False

    @property
    def address(self) -> str | None:
        """The fixed address; None if the host is a name."""
        try:
            return str(ipaddress.ip_address(self.host))
        except ValueError:
            return None

    def to_json(self) -> dict[str, Any]:
        """As the store keeps it."""
        return {"id": self.id, "host": self.host, "port": self.port, "zone": self.zone,
                "role": self.role.value, "weight": self.weight, "drained": self.drained}


def read_box(raw: Any) -> Box:
    """A box from the operator's file or the store; ValueError if it is none."""
    try:
        box = Box(str(raw["id"]).lower(), str(raw["host"]), int(raw["port"]), str(raw["zone"]),
                  Role(raw.get("role", "edge")), float(raw.get("weight", 1.0)),
                  bool(raw.get("drained", False)))
    except (KeyError, TypeError, ValueError, AttributeError) as fault:
        raise ValueError(f"box {raw!r}: {type(fault).__name__}: {fault}") from None
    if not 0 < box.port < 65536 or not re.fullmatch(r"[0-9a-z-]{1,63}", box.id):
        raise ValueError(f"box {raw!r}: an id of letters, digits and '-' and a port are needed")
    return box


class Roster:
    """Turns all that is told of boxes into the list that the core and the boxes' actors follow."""

    def __init__(self, tell: Callable[[Event], Awaitable[None]], follow: Follow,
                 look_up: Callable[[Box], None]) -> None:
        self.boxes: dict[str, Box] = {}
        self.endpoints: dict[str, Endpoint] = {}  # of boxes on the list now
        self._tell, self._follow, self._look_up = tell, follow, look_up
        self._found: dict[str, tuple[str, float]] = {}  # addresses of boxes with host names; since when
        self._once: set[str] = set()  # boxes that have been found before

    async def put(self, box: Box) -> None:
        """A box is new, or something about it has changed."""
        known = self.boxes.get(box.id)
        self.boxes[box.id] = box
        if known and known.host != box.host:
            self._found.pop(box.id, None)
        if box != known:
            self._look_up(box)
            await self._publish(box.id)

    async def drain(self, server: str, drained: bool) -> bool:
        """Take a box out of service or back; False if there is no such box."""
        if server not in self.boxes:
            return False
        await self.put(replace(self.boxes[server], drained=drained))
        return True

    async def locate(self, server: str, address: str | None) -> None:
        """Where the resolver says that a box is; None: nowhere that answers."""
        known = self._found.get(server)
        if server not in self.boxes or (known[0] if known else None) == address:
            return
        if address is None:
            del self._found[server]
        else:
            # A box found again, or at another address, may be another machine: it starts cold.
            self._found[server] = address, time.time() if server in self._once else 0.0
            self._once.add(server)
        await self._publish(server)

    async def purge(self, obj: str, group: int, at: float) -> None:
        """An object or a group was purged."""
        await self._tell(Purged(obj, group, max(0.0, time.time() - at)))

    async def _publish(self, server: str) -> None:
        box = self.boxes[server]
        address, since = (box.address, 0.0) if box.address else self._found.get(server, (None, 0.0))
        state = State.GONE if address is None else State.DRAINING if box.drained else State.SERVING
        if address is None:
            self.endpoints.pop(server, None)
        else:
            self.endpoints[server] = address, box.port
        found = {server: self.endpoints[server]} if address else {}
        self._follow(found, set() if address else {server}, False)
        await self._tell(Membership(ListKind.CHANGES, (
            Member(server, box.zone, box.role, state=state, weight=box.weight, started_at=since),)))
