"""Records of the merged list: definitions and orders that come in, caches and changes that come out.

Pure. Times are Unix seconds. The rule that joins them: merge.py, docs/design/discovery.md.
"""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from hashlib import blake2b

from brackenlane.config import Endpoint
from brackenlane.routing.members import Member, Role, ServerState

NEVER = float("-inf")
PORT_LIMIT = 65536
MAX_LABEL_LENGTH = 40  # characters of a host name's first label in a cache id


class DefinitionSource(IntEnum):
    """The source of a definition; where two define the same cache, the one with the lower number holds."""

    CONSOLE = 0
    STORE = 1
    FILE = 2
    SRV = 3
    MEMORY = 4  # the snapshot on disk


class MergedState(Enum):
    """The state of a cache. Only SERVING gets new requests, only the first two are on the list."""

    SERVING = "serving"
    DRAINING = "draining"  # by an operator
    STANDBY = "standby"  # SRV has enough targets of a better priority
    LOST = "not found"  # no address is known for its host name


SERVER_STATES = {MergedState.SERVING: ServerState.SERVING, MergedState.DRAINING: ServerState.DRAINING}


@dataclass(frozen=True, slots=True)
class CacheDefinition:
    """One cache as one source defines it; `weight` is in transfers at once."""

    id: str
    host: str  # an address or a name
    port: int
    zone: str
    role: Role = Role.EDGE
    weight: float = 1.0
    priority: int = 0  # RFC 2782: the lowest is tried first


@dataclass(frozen=True, slots=True)
class SrvRecord:
    """One SRV record (RFC 2782); the host in lower case, without its last dot."""

    host: str
    port: int
    priority: int = 0
    weight: int = 0


@dataclass(frozen=True, slots=True)
class SrvWatch:
    """One `[[discover]]` entry of the operator's file."""

    srv: str  # the owner name
    zone: str
    role: Role = Role.EDGE
    weight_scale: float = 1.0  # transfers for each unit of an SRV weight
    standby_threshold: int = 1  # this many serving targets of better priority keep the others on standby


@dataclass(frozen=True, slots=True)
class Policy:
    """Bounds of the merge; times in seconds."""

    removal_grace: float = 5.0  # for which a cache stays that complete answers lack
    max_unconfirmed_share: float = 0.5  # of an entry's members that one answer may remove unconfirmed
    confirmation_delay: float = 2.0  # after which a later answer of the same upstream confirms a removal
    min_move_interval: float = 5.0  # between two addresses of one host, unless nobody answers at the first
    max_snapshot_age: float = 7 * 86_400.0  # an older snapshot's caches are ignored
    max_warm_age: float = 600.0  # the caches of a snapshot that is older count as cold
    max_caches: int = 10_000  # known at once; more are left out, and counted
    max_orders: int = 10_000  # ids whose drain or restore is kept; the oldest restore goes first


@dataclass(frozen=True, slots=True)
class OperatorOrder:
    """An operator's drain or restore of a cache. The later one holds; of two at the same time, the drain."""

    drained: bool  # False: restored
    at: float  # Unix time at which it was given
    by: str

    def beats(self, other: OperatorOrder | None) -> bool:
        """Whether this order holds against another one, in whichever sequence they were received."""
        return other is None or (self.at, self.drained, self.by) > (other.at, other.drained, other.by)


@dataclass(frozen=True, slots=True)
class MergedCache:
    """One cache of the merged list, with its state and the reason for it."""

    definition: CacheDefinition
    state: MergedState
    endpoint: Endpoint | None
    cold_since: float  # Unix time from which it counts as cold; 0: warm
    sources: tuple[DefinitionSource, ...]
    aliases: tuple[str, ...] = ()  # other ids that name the same cache
    reason: str = ""

    @property
    def member(self) -> Member:
        """The cache as `routing` takes it."""
        state = SERVER_STATES.get(self.state, ServerState.GONE)
        return Member(
            self.definition.id,
            self.definition.zone,
            self.definition.role,
            state=state,
            weight=self.definition.weight,
            started_at=self.cold_since,
        )


@dataclass(frozen=True, slots=True)
class Change:
    """A published change of one cache: the member, and its endpoint while it is on the list."""

    member: Member
    endpoint: Endpoint | None


@dataclass(frozen=True, slots=True)
class RememberedMembers:
    """What the merge keeps over a restart."""

    definitions: tuple[CacheDefinition, ...] = ()  # by the store and the consoles
    srv_members: dict[str, tuple[CacheDefinition, ...]] = field(default_factory=dict)  # by SRV owner name
    addresses: dict[str, str] = field(default_factory=dict)  # in use, by host name
    orders: dict[str, OperatorOrder] = field(default_factory=dict)  # by cache id


def srv_cache_id(host: str, port: int) -> str:
    """Return the id of an SRV target; it does not depend on the address, so a renumbered cache keeps it."""
    label = re.sub(r"[^0-9a-z-]", "-", host.split(".")[0].lower())[:MAX_LABEL_LENGTH].strip("-") or "box"
    return f"{label}-{blake2b(f'{host}:{port}'.encode(), digest_size=4).hexdigest()}"


def ip_address_of(host: str) -> str | None:
    """Return the address that a host already is; None if it is a name."""
    try:
        return str(ipaddress.ip_address(host))
    except ValueError:
        return None
