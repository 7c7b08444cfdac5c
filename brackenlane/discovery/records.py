"""The records of which discovery's one list of caches is made: what is told, by whom, and what follows.

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


class DefinitionSource(IntEnum):
    """Who says that there is a cache; where two describe the same one, the lower number's words hold."""

    CONSOLE = 0
    STORE = 1
    FILE = 2
    SRV = 3
    MEMORY = 4  # the last list, from disk


class MergedState(Enum):
    """What has become of a cache. Only SERVING gets new work, only the first two are on the list."""

    SERVING = "serving"
    DRAINING = "draining"  # by an operator
    STANDBY = "standby"  # SRV has enough targets of a better priority
    LOST = "not found"  # no address is known for its host name


@dataclass(frozen=True, slots=True)
class CacheDefinition:
    """One cache as one source describes it. weight: in transfers, as the module takes it."""

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
    enough: int = 1  # so many serving targets of better priority keep the others on standby


@dataclass(frozen=True, slots=True)
class Policy:
    """Seconds, and shares of a list."""

    grace: float = 5.0  # for which a cache that a whole answer lacks stays
    most_gone: float = 0.5  # of a list that one answer may take away unconfirmed
    confirm: float = 2.0  # after which a later answer of the same upstream confirms
    settle: float = 5.0  # between two moves of one cache to another address, unless it is dead there
    remembered: float = 7 * 86_400.0  # the oldest last list that is used
    warm: float = 600.0  # a last list younger than this names caches that are warm still
    caches: int = 10_000  # known at once; more are left out, and said to be
    drains: int = 10_000  # ids whose drain or restore is kept; restored ones go first


@dataclass(frozen=True, slots=True)
class OperatorOrder:
    """What an operator last said of a cache: drain or restore. The later holds; at one time, the drain."""

    drained: bool
    at: float
    by: str

    def beats(self, other: OperatorOrder | None) -> bool:
        """Whether this one holds against another, wherever each was heard first."""
        return other is None or (self.at, self.drained, self.by) > (other.at, other.drained, other.by)


@dataclass(slots=True)
class SrvMember:
    """One target of an SRV entry, on its list."""

    definition: CacheDefinition
    first: float  # when it was told first
    last: float  # and last
    missing: float | None = None  # since when whole answers lack it
    cold: bool = True  # added later than the first answer


@dataclass(slots=True)
class PendingRemoval:
    """A mass disappearance that is reported, not obeyed, until it is confirmed."""

    gone: frozenset[str]
    upstream: str
    since: float


@dataclass(slots=True)
class SrvEntry:
    """What one SRV entry's answers have come to."""

    watch: SrvWatch
    listed: dict[str, SrvMember] = field(default_factory=dict)
    held: PendingRemoval | None = None
    answered: float = NEVER  # the last whole answer
    fault: str = ""  # why the last look-up was none
    left_out: int = 0


@dataclass(slots=True)
class HostAddresses:
    """Where a host name is."""

    addresses: tuple[str, ...] = ()
    address: str | None = None  # the one in use
    received_at: float = NEVER
    moved: float = NEVER
    once: bool = False  # it has had an address before
    missing: float | None = None  # since when whole answers have none
    fault: str = ""


@dataclass(frozen=True, slots=True)
class MergedCache:
    """One cache of the merged list, and why it stands as it does."""

    definition: CacheDefinition
    state: MergedState
    endpoint: Endpoint | None
    started: float  # Unix time from which it counts as cold; 0: warm
    sources: tuple[DefinitionSource, ...]
    aliases: tuple[str, ...] = ()  # other ids that name the same cache
    reason: str = ""

    @property
    def member(self) -> Member:
        """As the module takes it."""
        state = {MergedState.SERVING: ServerState.SERVING, MergedState.DRAINING: ServerState.DRAINING}.get(
            self.state, ServerState.GONE
        )
        return Member(
            self.definition.id,
            self.definition.zone,
            self.definition.role,
            state=state,
            weight=self.definition.weight,
            started_at=self.started,
        )


@dataclass(frozen=True, slots=True)
class Change:
    """One box's change: the member to tell, and its address while it has one."""

    member: Member
    endpoint: Endpoint | None


@dataclass(frozen=True, slots=True)
class RememberedMembers:
    """What is kept over a restart."""

    others: tuple[CacheDefinition, ...] = ()  # from the store and consoles
    listed: dict[str, tuple[CacheDefinition, ...]] = field(default_factory=dict)  # by SRV owner name
    places: dict[str, str] = field(default_factory=dict)  # addresses by host name
    orders: dict[str, OperatorOrder] = field(default_factory=dict)  # by cache


def srv_cache_id(host: str, port: int) -> str:
    """The id of an SRV target, the same for good: a renumbered cache is the same cache elsewhere."""
    label = re.sub(r"[^0-9a-z-]", "-", host.split(".")[0].lower())[:40].strip("-") or "box"
    return f"{label}-{blake2b(f'{host}:{port}'.encode(), digest_size=4).hexdigest()}"


def fixed(host: str) -> str | None:
    """The address that a host already is; None if it is a name."""
    try:
        return str(ipaddress.ip_address(host))
    except ValueError:
        return None
