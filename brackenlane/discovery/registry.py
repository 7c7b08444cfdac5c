"""The appliance's list of caches: what the merge makes of all sources, told to core and boxes' actors."""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from brackenlane.config import Endpoint
from brackenlane.discovery.merge import MembershipMerge
from brackenlane.discovery.records import CacheDefinition, Change, DefinitionSource, OperatorOrder
from brackenlane.routing.events import Event, Membership, MembershipKind, Purged
from brackenlane.routing.members import Role

Follow = Callable[[dict[str, Endpoint], set[str], bool], None]
ID = re.compile(r"[0-9a-z-]{1,63}")


def read_definition(raw: Any) -> CacheDefinition:
    """A cache from the store or the last list; ValueError if it is none."""
    try:
        definition = CacheDefinition(
            str(raw["id"]).lower(),
            str(raw["host"]).rstrip(".").lower(),
            int(raw["port"]),
            str(raw["zone"]),
            Role(raw.get("role", "edge")),
            float(raw.get("weight", 1.0)),
            int(raw.get("priority", 0)),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as fault:
        raise ValueError(f"box {raw!r}: {type(fault).__name__}: {fault}") from None
    if not 0 < definition.port < 65536 or not ID.fullmatch(definition.id) or not 0 < definition.weight < 1e9:
        raise ValueError(f"box {raw!r}: an id of letters, digits and '-', a port and a weight are needed")
    return definition


def encode_definition(definition: CacheDefinition) -> dict[str, Any]:
    """A cache as the store and the last list keep it."""
    return {
        "id": definition.id,
        "host": definition.host,
        "port": definition.port,
        "zone": definition.zone,
        "role": definition.role.value,
        "weight": definition.weight,
        "priority": definition.priority,
    }


def read_order(raw: Any) -> tuple[str, OperatorOrder]:
    """A drain or restore from the store or the last list; ValueError if it is none."""
    try:
        server, order = (
            str(raw["id"]),
            OperatorOrder(bool(raw["drained"]), float(raw["at"]), str(raw["by"])[:64]),
        )
    except (KeyError, TypeError, ValueError) as fault:
        raise ValueError(f"order {raw!r}: {type(fault).__name__}: {fault}") from None
    # Guards against an order from a clock far ahead, which nobody could ever take back.
    if not ID.fullmatch(server) or not 0 <= order.at <= time.time() + 60:
        raise ValueError(f"order {raw!r}: an id and a time that has been are needed")
    return server, order


def encode_order(server: str, order: OperatorOrder) -> dict[str, Any]:
    """An order as the store and the last list keep it."""
    return {"id": server, "drained": order.drained, "at": order.at, "by": order.by}


@dataclass(slots=True)
class Subscribers:
    """Where real changes go, each once and in order."""

    core: Callable[[Event], None]
    pools: Follow


class Registry:
    """Tells what the merge makes of things, all before a call returns: a drain waits for nobody."""

    def __init__(self, merge: MembershipMerge, core: Callable[[Event], None], pools: Follow) -> None:
        self.merge = merge
        self.endpoints: dict[str, Endpoint] = {}  # of caches on the list now
        self.changed: list[Callable[[], None]] = []  # called after each change of anything that is kept
        self._told = Subscribers(core, pools)

    def apply(self, changes: list[Change]) -> None:
        """Tell the core and the boxes' actors what has changed."""
        for change in changes:
            server = change.member.server
            if change.endpoint:
                self.endpoints[server] = change.endpoint
                self._told.pools({server: change.endpoint}, set(), False)
            else:
                self.endpoints.pop(server, None)
                self._told.pools({}, {server}, False)
        if changes:
            self._told.core(Membership(MembershipKind.CHANGES, tuple(change.member for change in changes)))
        for call in self.changed:
            call()

    def define(self, origin: DefinitionSource, definition: CacheDefinition) -> None:
        """A source describes a cache."""
        self.apply(self.merge.define(origin, definition, time.time()))

    def order(self, server: str, order: OperatorOrder) -> None:
        """A drain or a restore, from wherever."""
        self.apply(self.merge.order(server, order, time.time()))

    def drain(self, server: str, drained: bool, by: str) -> OperatorOrder | None:
        """The operator takes a cache out of service or back; None if nobody names such a cache."""
        if (
            server not in self.merge.caches
            and server not in self.merge.orders
            and not self.merge.explain(server, time.time())
        ):
            return None
        order = OperatorOrder(drained, time.time(), by)
        self.order(server, order)
        return order

    def purge(self, obj: str, group: int, at: float) -> None:
        """An object or a group was purged."""
        self._told.core(Purged(obj, group, max(0.0, time.time() - at)))
