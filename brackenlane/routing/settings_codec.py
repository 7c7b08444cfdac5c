"""Reader of the settings object that the simulator and the platform provide: parsed JSON to `Settings`.

The functions have no side effects. No other module of this package contains the keys and words of the object.
The type and range of every value that is used are checked; SettingsError reports the first invalid one.
Unknown keys and unknown names of load report fields are ignored, since newer sites may send them.
Source: the simulator's page WIRE-brackenlane, field `Config` of `LAUNCH`.
"""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple, TypeVar

from brackenlane.routing.checked_json import (
    ABOVE_ZERO,
    NOT_NEGATIVE,
    Bounds,
    Section,
    SettingsError,
    duplicate_indexes,
    read_flag,
    read_integer,
    read_names,
    read_number,
    read_text,
)
from brackenlane.routing.members import Role
from brackenlane.routing.settings import (
    CacheStatusReporting,
    Idempotency,
    RequestClass,
    Scope,
    Settings,
    SiblingSources,
    SlowStart,
)

T = TypeVar("T")

IDEMPOTENCY_WORDS = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.IDEMPOTENT_WITH_KEY,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
SCOPE_WORDS = {scope.value: scope for scope in Scope}
SIBLING_SOURCE_WORDS = {
    "silent": SiblingSources.NONE,
    "location": SiblingSources.LOCATION,
    "any": SiblingSources.ANY,
}
STATUS_REPORTING_WORDS = {reporting.value: reporting for reporting in CacheStatusReporting}
LOAD_REPORTING_WORDS = {word: word for word in ("piggyback", "pull", "silent")}
WEIGHTS_KNOWN_WORDS = {"silent": False, "nominal": True, "rough": True, "live": True}
MUST_SUBSCRIBE_WORDS = {"push": False, "ask": True}

ROOT = "settings"  # first part of every path
SHORTEST_TIME = 1e-6  # seconds; the clock counts microseconds
LONGEST_TIMER = 1e6  # seconds; epoll_wait takes at most 2**31 ms
SLOWEST_PACE = 1e-3  # KB per second
ABSENT_INDEX = -1  # index that means that there is no such machine kind, or no hub

TIMEOUT_BOUNDS = Bounds(maximum=LONGEST_TIMER)  # seconds
TIMER_BOUNDS = Bounds(SHORTEST_TIME, LONGEST_TIMER)  # seconds
OBJECTIVE_BOUNDS = Bounds(SHORTEST_TIME)  # seconds
COUNT_BOUNDS = Bounds(1)
OPTIONAL_INDEX_BOUNDS = Bounds(ABSENT_INDEX)
SHARE_BOUNDS = Bounds(maximum=1.0, excludes_minimum=True)


class _Sections(NamedTuple):
    """The settings object and the objects in it that contain most of the values."""

    root: Section
    family: Section
    limits: Section
    guarantees: Section


def read_settings(raw: object) -> Settings:
    """Return the settings of one router from parsed JSON; SettingsError if a value is invalid."""
    root = Section(raw, ROOT)
    sections = _Sections(root, root.section("FamilyInfo"), root.section("Limits"), root.section("Guarantees"))
    locations = read_names(root.required("Dcs"), root.path_of("Dcs"))
    _check_load_reporting(root.section("Report"))
    kind_roles(raw)  # called for its checks only, so that every caller gets them
    return _build_settings(sections, locations)


def kind_names(raw: object) -> tuple[str, ...]:
    """Return the names of the machine kinds, in the order that the indexes in other settings refer to."""
    return Section(raw, ROOT).names("Skus")


def kind_roles(raw: object) -> dict[str, Role]:
    """Return the roles of the machine kinds of parents and of the origin; all other kinds are edge caches."""
    kinds = kind_names(raw)
    family = Section(raw, ROOT).section("FamilyInfo")
    parent = _read_kind(family, "SecondTierKind", len(kinds))
    origin = _read_kind(family, "StoreKind", len(kinds))
    if origin == parent != ABSENT_INDEX:
        raise SettingsError(family.path_of("StoreKind"), "is the kind of the parents as well", origin)
    roles = {parent: Role.PARENT, origin: Role.ORIGIN}
    return {kinds[index]: role for index, role in roles.items() if index != ABSENT_INDEX}


def _build_settings(sections: _Sections, locations: tuple[str, ...]) -> Settings:
    root = sections.root
    family = sections.family
    limits = sections.limits
    slow_starts = _read_slow_starts(sections.guarantees, family)
    router_count = root.integer("NInstances", 1, COUNT_BOUNDS)
    return Settings(
        location=_read_location(root, locations),
        locations=locations,
        classes=_read_classes(root, family),
        router_index=_read_router_index(root, router_count),
        router_count=router_count,
        hub_of=_read_hubs(family, len(locations)),
        routers_by_location=family.items_for_each("SeatsByZone", read_integer, len(locations), "Dcs"),
        link_kb_per_s=family.items_for_each("PipeKbPerS", read_number, len(locations), "Dcs"),
        pace_kb_per_s=_read_pace(family),
        edge_slow_start=slow_starts.edge,
        parent_slow_start=slow_starts.parent,
        tick=root.number("QuantumS", 0.001, TIMER_BOUNDS),
        answer_slack=sections.guarantees.number("AnswerSlackS", 0.0, TIMEOUT_BOUNDS),
        connect_timeout=limits.number("DialTimeoutS", 1.0, TIMEOUT_BOUNDS),
        keepalive=limits.number("KeepaliveS", 0.0, TIMEOUT_BOUNDS),
        streams=limits.integer("StreamsPerConn", 100, COUNT_BOUNDS),
        purge_propagation_time=family.number("GoneEverywhereS", 0.0),
        max_attempts=limits.integer("MaxAttempts", 1, COUNT_BOUNDS),
        max_hold_off=_read_max_hold_off(limits),
        weights_known=root.word("Weights", WEIGHTS_KNOWN_WORDS, default="nominal"),
        must_subscribe=root.word("Discovery", MUST_SUBSCRIBE_WORDS, default="push"),
        may_cancel=limits.flag("Cancel"),
        may_probe=limits.flag("MayProbe"),
        probe_price=root.section("Prices").number("Probe", 0.0),
        may_message_peers=limits.flag("Peers"),
        may_hedge=limits.flag("SecondCopies"),
        may_bypass_caches=family.flag("BypassAllowed"),
        may_join_fills=family.flag("SharesFills"),
        status_reporting=family.word("Says", STATUS_REPORTING_WORDS, default="all"),
        sibling_sources=family.word("PeersFill", SIBLING_SOURCE_WORDS, default="silent"),
    )


def _read_kind(family: Section, key: str, count: int) -> int:
    """Return the index of one of `count` machine kinds; ABSENT_INDEX if there is no such kind."""
    index = family.integer(key, ABSENT_INDEX, OPTIONAL_INDEX_BOUNDS)
    if index >= count:
        raise SettingsError(family.path_of(key), "no place in Skus", index)
    return index


def _read_location(root: Section, locations: tuple[str, ...]) -> str:
    location = root.text("Locality")
    if location not in locations:
        raise SettingsError(root.path_of("Locality"), "not among Dcs", location)
    return location


def _read_router_index(root: Section, router_count: int) -> int:
    index = root.integer("Me", 0)
    if index >= router_count:
        raise SettingsError(root.path_of("Me"), f"must be below NInstances, {router_count}", index)
    return index


def _has_parents(family: Section) -> bool:
    return family.integer("SecondTierKind", ABSENT_INDEX, OPTIONAL_INDEX_BOUNDS) != ABSENT_INDEX


def _read_hubs(family: Section, location_count: int) -> tuple[int, ...]:
    """Return the index of each location's hub; empty if there are no parents to be located at hubs."""
    has_parents = _has_parents(family)

    def read_hub(value: object, path: str) -> int:
        hub = read_integer(value, path, NOT_NEGATIVE if has_parents else OPTIONAL_INDEX_BOUNDS)
        if hub >= location_count:
            raise SettingsError(path, "no place in Dcs", hub)
        return hub

    hubs = family.items_for_each("HubByZone", read_hub, location_count, "Dcs")
    return hubs if has_parents else ()


def _read_pace(family: Section) -> float:
    """Return the highest transfer rate of one answer, in KB per second; 0 if it is unknown."""
    pace = family.number("PaceKbPerS", 0.0)
    if 0 < pace < SLOWEST_PACE:
        raise SettingsError(family.path_of("PaceKbPerS"), f"must be 0 or at least {SLOWEST_PACE:g}", pace)
    return pace


def _read_max_hold_off(limits: Section) -> float:
    """Return the longest Retry-After that clients obey, in seconds; 0 if none is sent."""
    longest = limits.number("MaxRetryAfterS", 0.0, TIMEOUT_BOUNDS)
    return longest if limits.flag("RetryAfter") else 0.0


class _SlowStarts(NamedTuple):
    """The slow-start rules of one site."""

    edge: SlowStart
    parent: SlowStart


def _read_slow_starts(guarantees: Section, family: Section) -> _SlowStarts:
    """Read the slow-start rules; a value absent for parents defaults to that of the edge caches."""
    edge_ramp = guarantees.number("RampTimeS", 0.0)
    parent_ramp = family.number("UpperColdS", edge_ramp)
    if not _has_parents(family):
        parent_ramp = 0.0
    longest_ramp = max(edge_ramp, parent_ramp)
    span = _read_slow_start_value(guarantees, "OverloadForS", 1.0, longest_ramp, ABOVE_ZERO)
    edge = SlowStart(
        share=_read_slow_start_value(guarantees, "ColdFrom", 1.0, edge_ramp, SHARE_BOUNDS),
        ramp=edge_ramp,
        overload_factor=_read_slow_start_value(guarantees, "OverloadFactor", 1.0, edge_ramp, ABOVE_ZERO),
        overload_duration=span,
    )
    parent = SlowStart(
        share=_read_slow_start_value(family, "ParentStartsAt", edge.share, parent_ramp, SHARE_BOUNDS),
        ramp=parent_ramp,
        overload_factor=_read_slow_start_value(
            family, "ParentFallMultiple", edge.overload_factor, parent_ramp, ABOVE_ZERO
        ),
        overload_duration=span,
    )
    return _SlowStarts(edge, parent)


def _read_slow_start_value(section: Section, key: str, default: float, ramp: float, bounds: Bounds) -> float:
    """Return a value of a slow-start rule with this ramp (seconds).

    With a ramp of 0 there is no slow start: a value of 0 is then allowed, and replaced by 1.
    """
    if not ramp:
        bounds = replace(bounds, excludes_minimum=False)
    return section.number(key, default, bounds) or 1.0


def _check_load_reporting(report: Section) -> None:
    """Check the settings of load reports; they are not stored, since each report names its own values."""
    report.word("How", LOAD_REPORTING_WORDS, default="silent")
    report.items("Fields", read_text)


class _ClassTables:
    """Lists in `FamilyInfo` that have one value for each request class, in the order of the classes."""

    def __init__(self, family: Section, class_count: int) -> None:
        owner = "Classes"
        self._fresh_for = family.items_for_each("FreshForS", read_number, class_count, owner)
        self._grace = family.items_for_each("GraceForS", read_number, class_count, owner)
        self._stale_value = family.items_for_each("ClassStaleWorth", read_number, class_count, owner)
        self._in_parts = family.items_for_each("ClassParts", read_flag, class_count, owner)
        self._uncached = family.items_for_each("Uncached", read_flag, class_count, owner)

    def read_class(self, raw: Section, index: int) -> RequestClass:
        """Return the class with an index, from its own section and from these lists."""
        time_limit = raw.number("GiveUpS", bounds=TIMER_BOUNDS)
        return RequestClass(
            name=raw.text("Name"),
            # The client has gone after the time limit, so an objective beyond it is lowered to the limit.
            latency_objective=min(raw.number("TargetS", bounds=OBJECTIVE_BOUNDS), time_limit),
            time_limit=time_limit,
            objective_stretch=raw.number("AimStretch", 0.0),
            value_weight=raw.number("Worth", 1.0),
            late_value=raw.number("LateValue", 0.0),
            idempotency=raw.word("Effect", IDEMPOTENCY_WORDS, default="retryable"),
            scope=raw.word("Group", SCOPE_WORDS, default="all"),
            repeat_window=raw.number("WindowS", 0.0),
            fresh_for=_item_or(self._fresh_for, index, 0.0),
            grace=_item_or(self._grace, index, 0.0),
            stale_value=_item_or(self._stale_value, index, 0.0),
            in_parts=_item_or(self._in_parts, index, False),
            uncached=_item_or(self._uncached, index, False),
        )


def _item_or(items: tuple[T, ...], index: int, default: T) -> T:
    """Return an item; the default if the list is absent."""
    return items[index] if items else default


def _read_classes(root: Section, family: Section) -> tuple[RequestClass, ...]:
    """Return the request classes: at least one, with distinct names."""
    path = root.path_of("Classes")
    root.required("Classes")
    sections = root.items("Classes", Section)
    if not sections:
        raise SettingsError(path, "one or more classes are needed", [])
    tables = _ClassTables(family, len(sections))
    classes = tuple(tables.read_class(section, index) for index, section in enumerate(sections))
    for index in duplicate_indexes(cls.name for cls in classes):
        raise SettingsError(f"{path}[{index}].Name", "stands twice", classes[index].name)
    return classes
