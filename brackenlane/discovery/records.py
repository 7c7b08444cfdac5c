"""Data types of the merge: definitions and orders are its input, caches and changes its output.

Pure. Times are Unix seconds. The rules of the merge: merge.py, docs/design/discovery.md.
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
PORT_LIMIT = 65536  # exclusive
MAX_LABEL_LENGTH = 40  # characters that a cache id takes from the first label of a host name


class DefinitionSource(IntEnum):
    """The source of a definition. Of two definitions of a cache, the one with the lower value is used."""

    CONSOLE = 0
    STORE = 1
    FILE = 2
    SRV = 3
    MEMORY = 4  # snapshot on disk


class MergedState(Enum):
    """The state of a cache. New requests go to SERVING only; only SERVING and DRAINING are published."""

    SERVING = "serving"
    DRAINING = "draining"  # drained by an operator
    STANDBY = "standby"  # enough SRV targets of better priority are serving
    LOST = "not found"  # its host name has no known address


SERVER_STATES = {MergedState.SERVING: ServerState.SERVING, MergedState.DRAINING: ServerState.DRAINING}


@dataclass(frozen=True, slots=True)
class CacheDefinition:
    """One cache as defined by one source; `weight` is in concurrent transfers."""

    id: str
    host: str  # IP address or host name
    port: int
    zone: str
    role: Role = Role.EDGE
    weight: float = 1.0
    priority: int = 0  # SRV priority (RFC 2782): lower values are tried first


@dataclass(frozen=True, slots=True)
class SrvRecord:
    """One SRV record (RFC 2782); the host is in lower case, without the trailing dot."""

    host: str
    port: int
    priority: int = 0
    weight: int = 0


@dataclass(frozen=True, slots=True)
class SrvWatch:
    """One `[[discover]]` entry of the configuration file."""

    srv: str  # owner name of the SRV records
    zone: str
    role: Role = Role.EDGE
    weight_scale: float = 1.0  # concurrent transfers per unit of SRV weight
    standby_threshold: int = 1  # serving targets of better priority that keep the others on standby


@dataclass(frozen=True, slots=True)
class Policy:
    """Limits of the merge; times in seconds."""

    removal_grace: float = 5.0  # how long a cache is kept while complete answers don't contain it
    max_unconfirmed_share: float = 0.5  # share of an entry's members that one answer may remove
    confirmation_delay: float = 2.0  # before an answer of the same upstream may confirm a mass removal
    min_move_interval: float = 5.0  # between address changes of a host, unless its address is unreachable
    max_snapshot_age: float = 7 * 86_400.0  # the caches of an older snapshot are ignored
    max_warm_age: float = 600.0  # the caches of an older snapshot count as cold
    max_caches: int = 10_000  # definitions and SRV members; more are omitted and counted
    max_orders: int = 10_000  # ids with a drain or restore; the oldest restore is discarded first


@dataclass(frozen=True, slots=True)
class OperatorOrder:
    """An operator's drain or restore of a cache. The latest one applies; at equal times a drain wins."""

    drained: bool  # True: drain; False: restore
    at: float  # Unix time of issue
    by: str  # who issued it

    def supersedes(self, other: OperatorOrder | None) -> bool:
        """Return whether this order takes precedence over another one, whichever was received first."""
        return other is None or (self.at, self.drained, self.by) > (other.at, other.drained, other.by)


@dataclass(frozen=True, slots=True)
class MergedCache:
    """One cache of the merged list, with its state and the reason for it."""

    definition: CacheDefinition
    state: MergedState
    endpoint: Endpoint | None
    cold_since: float  # Unix time since when the cache counts as cold; 0: warm
    sources: tuple[DefinitionSource, ...]
    aliases: tuple[str, ...] = ()  # other ids of the same cache
    reason: str = ""

    @property
    def member(self) -> Member:
        """The cache as a member record of the routing package."""
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
    """A published change of one cache; without an endpoint it was removed from the list."""

    member: Member
    endpoint: Endpoint | None


@dataclass(frozen=True, slots=True)
class PersistedMembership:
    """The state of the merge that a snapshot keeps across restarts."""

    definitions: tuple[CacheDefinition, ...] = ()  # definitions by store and consoles
    srv_members: dict[str, tuple[CacheDefinition, ...]] = field(default_factory=dict)  # by SRV owner name
    addresses: dict[str, str] = field(default_factory=dict)  # address in use, keyed by host name
    orders: dict[str, OperatorOrder] = field(default_factory=dict)  # orders, keyed by cache id


def srv_cache_id(host: str, port: int) -> str:
    """Return the cache id of an SRV target. It stays the same when the address changes."""
    label = re.sub(r"[^0-9a-z-]", "-", host.split(".")[0].lower())[:MAX_LABEL_LENGTH].strip("-") or "box"
    return f"{label}-{blake2b(f'{host}:{port}'.encode(), digest_size=4).hexdigest()}"


def ip_address_of(host: str) -> str | None:
    """Return the host in canonical form if it is an IP address; None if it is a name."""
    try:
        return str(ipaddress.ip_address(host))
    except ValueError:
        return None
