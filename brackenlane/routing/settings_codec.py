"""The settings object of the simulator and the platform, read into `Settings`.

Every value that is used is checked for its type and range; one that cannot be used is a `SettingsError`, the
first that is met. Keys and load report names that are not known are skipped: newer sites may send them.
"""

from __future__ import annotations

from dataclasses import replace

from brackenlane.routing.checked_json import (
    ABOVE_ZERO,
    NOT_NEGATIVE,
    Bounds,
    Section,
    SettingsError,
    read_flag,
    read_integer,
    read_names,
    read_number,
    read_text,
    repeats,
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

EFFECTS = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.IDEMPOTENT_WITH_KEY,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
SCOPES = {scope.value: scope for scope in Scope}
SIBLINGS = {"silent": SiblingSources.NONE, "location": SiblingSources.LOCATION, "any": SiblingSources.ANY}
NOTES = {notes.value: notes for notes in CacheStatusReporting}
REPORT_WAYS = {command: command for command in ("piggyback", "pull", "silent")}
WEIGHT_REPORTING = {"silent": False, "nominal": True, "rough": True, "live": True}
DISCOVERY_MODES = {"push": False, "ask": True}

ROOT = "settings"
INSTANT = 1e-6  # seconds: the clock counts microseconds
LONGEST = 1e6  # seconds for which a timer is set, at most: an epoll wait takes 2**31 ms
WAIT = Bounds(most=LONGEST)
SPAN = Bounds(INSTANT, LONGEST)
AIM = Bounds(INSTANT)
COUNT = Bounds(1)
NO_KIND = -1  # at the place of a machine kind: there is none
KIND = Bounds(NO_KIND)
NO_HUB = -1  # of a location, where there are no parents
SHARE = Bounds(most=1.0, above=True)
LEAST_PACE = 1e-3  # KB a second, where a pace is told


def read_settings(raw: object) -> Settings:
    """The settings of one instance, from its parsed JSON object."""
    root = Section(raw, ROOT)
    family, limits, rules = root.section("FamilyInfo"), root.section("Limits"), root.section("Guarantees")
    locations = read_names(root.required("Dcs"), root.path_of("Dcs"))
    _check_report(root.section("Report"))  # which values come is seen in the reports themselves
    kind_roles(raw)  # checked here, so that no caller can miss a fault in them
    edge_cold, parent_cold = _read_cold_starts(rules, family)
    router_count = root.integer("NInstances", 1, COUNT)
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
        edge_cold=edge_cold,
        parent_cold=parent_cold,
        tick=root.number("QuantumS", 0.001, SPAN),
        answer_slack=rules.number("AnswerSlackS", 0.0, WAIT),
        connect_timeout=limits.number("DialTimeoutS", 1.0, WAIT),
        keepalive=limits.number("KeepaliveS", 0.0, WAIT),
        streams=limits.integer("StreamsPerConn", 100, COUNT),
        purge_propagation_time=family.number("GoneEverywhereS", 0.0),
        max_attempts=limits.integer("MaxAttempts", 1, COUNT),
        max_hold_off=_read_hold_off(limits),
        weights_known=root.word("Weights", WEIGHT_REPORTING, absent="nominal"),
        must_subscribe=root.word("Discovery", DISCOVERY_MODES, absent="push"),
        may_cancel=limits.flag("Cancel"),
        may_probe=limits.flag("MayProbe"),
        probe_price=root.section("Prices").number("Probe", 0.0),
        may_message_peers=limits.flag("Peers"),
        may_hedge=limits.flag("SecondCopies"),
        may_bypass_caches=family.flag("BypassAllowed"),
        may_join_fills=family.flag("SharesFills"),
        status_reporting=family.word("Says", NOTES, absent="all"),
        sibling_sources=family.word("PeersFill", SIBLINGS, absent="silent"),
    )


def kind_names(raw: object) -> tuple[str, ...]:
    """The names of the machine kinds, in the order in which the list of servers counts them."""
    return Section(raw, ROOT).names("Skus")


def kind_roles(raw: object) -> dict[str, Role]:
    """Which machine kinds are parents and the origin; all others are edge caches."""
    kinds, family = kind_names(raw), Section(raw, ROOT).section("FamilyInfo")
    parent = _read_kind(family, "SecondTierKind", len(kinds))
    origin = _read_kind(family, "StoreKind", len(kinds))
    if origin == parent != NO_KIND:
        raise SettingsError(family.path_of("StoreKind"), "is the kind of the parents as well", origin)
    roles = {parent: Role.PARENT, origin: Role.ORIGIN}
    return {kinds[place]: role for place, role in roles.items() if place != NO_KIND}


def _read_kind(family: Section, name: str, count: int) -> int:
    """The place of a machine kind among the names of all."""
    place = family.integer(name, NO_KIND, KIND)
    if place >= count:
        raise SettingsError(family.path_of(name), "no place in Skus", place)
    return place


def _read_location(root: Section, locations: tuple[str, ...]) -> str:
    """The instance's own location."""
    location = root.text("Locality")
    if location not in locations:
        raise SettingsError(root.path_of("Locality"), "not among Dcs", location)
    return location


def _read_router_index(root: Section, router_count: int) -> int:
    """The instance's number among all."""
    number = root.integer("Me", 0)
    if number >= router_count:
        raise SettingsError(root.path_of("Me"), f"must be below NInstances, {router_count}", number)
    return number


def _has_parents(family: Section) -> bool:
    """Whether some machine kind is that of parents."""
    return family.integer("SecondTierKind", NO_KIND, KIND) != NO_KIND


def _read_hubs(family: Section, locations: int) -> tuple[int, ...]:
    """The hub of each location; empty where there are no parents, since these are what stands in hubs."""
    parents = _has_parents(family)

    def read_hub(value: object, path: str) -> int:
        hub = read_integer(value, path, NOT_NEGATIVE if parents else Bounds(NO_HUB))
        if hub >= locations:
            raise SettingsError(path, "no place in Dcs", hub)
        return hub

    hubs = family.items_for_each("HubByZone", read_hub, locations, "Dcs")
    return hubs if parents else ()


def _read_pace(family: Section) -> float:
    """The top pace of one answer, KB a second; 0 where it is not told."""
    pace = family.number("PaceKbPerS", 0.0)
    if 0 < pace < LEAST_PACE:
        raise SettingsError(family.path_of("PaceKbPerS"), f"must be 0 or at least {LEAST_PACE:g}", pace)
    return pace


def _read_hold_off(limits: Section) -> float:
    """The longest time for which clients stay away when told; 0 where they are not told."""
    longest = limits.number("MaxRetryAfterS", 0.0, WAIT)
    return longest if limits.flag("RetryAfter") else 0.0


def _read_cold_starts(rules: Section, family: Section) -> tuple[SlowStart, SlowStart]:
    """The rules for caches and for parents that started lately; a parent's are the cache's where not told."""
    edge_ramp = rules.number("RampTimeS", 0.0)
    parent_ramp = family.number("UpperColdS", edge_ramp)
    if not _has_parents(family):
        parent_ramp = 0.0
    span = rules.number("OverloadForS", 1.0, _cold_bounds(max(edge_ramp, parent_ramp), ABOVE_ZERO)) or 1.0
    edge = SlowStart(
        rules.number("ColdFrom", 1.0, _cold_bounds(edge_ramp, SHARE)) or 1.0,
        edge_ramp,
        rules.number("OverloadFactor", 1.0, _cold_bounds(edge_ramp, ABOVE_ZERO)) or 1.0,
        span,
    )
    parent = SlowStart(
        family.number("ParentStartsAt", edge.share, _cold_bounds(parent_ramp, SHARE)) or 1.0,
        parent_ramp,
        family.number("ParentFallMultiple", edge.factor, _cold_bounds(parent_ramp, ABOVE_ZERO)) or 1.0,
        span,
    )
    return edge, parent


def _cold_bounds(ramp: float, bounds: Bounds) -> Bounds:
    """The bounds of a cold start's figure: a ramp of 0 means that nothing is ever cold, and 0 is no fault."""
    return bounds if ramp else replace(bounds, above=False)


def _check_report(report: Section) -> None:
    """Which load reports come, and how; the names of their values may be new ones."""
    report.word("How", REPORT_WAYS, absent="silent")
    report.items("Fields", read_text)


class _ClassTables:
    """What the family tells of each class by its place: one list for each property."""

    def __init__(self, family: Section, count: int) -> None:
        owner = "Classes"
        self._fresh = family.items_for_each("FreshForS", read_number, count, owner)
        self._grace = family.items_for_each("GraceForS", read_number, count, owner)
        self._stale_worth = family.items_for_each("ClassStaleWorth", read_number, count, owner)
        self._in_parts = family.items_for_each("ClassParts", read_flag, count, owner)
        self._uncached = family.items_for_each("Uncached", read_flag, count, owner)

    def read(self, raw: Section, place: int) -> RequestClass:
        """The class at a place."""
        give_up = raw.number("GiveUpS", bounds=SPAN)
        return RequestClass(
            name=raw.text("Name"),
            # An answer after the deadline reaches nobody, so an aim beyond it is the deadline.
            latency_objective=min(raw.number("TargetS", bounds=AIM), give_up),
            time_limit=give_up,
            objective_stretch=raw.number("AimStretch", 0.0),
            value_weight=raw.number("Worth", 1.0),
            late_value=raw.number("LateValue", 0.0),
            idempotency=raw.word("Effect", EFFECTS, absent="retryable"),
            scope=raw.word("Group", SCOPES, absent="all"),
            repeat_window=raw.number("WindowS", 0.0),
            fresh_for=self._fresh[place] if self._fresh else 0.0,
            grace=self._grace[place] if self._grace else 0.0,
            stale_value=self._stale_worth[place] if self._stale_worth else 0.0,
            in_parts=self._in_parts[place] if self._in_parts else False,
            uncached=self._uncached[place] if self._uncached else False,
        )


def _read_classes(root: Section, family: Section) -> tuple[RequestClass, ...]:
    """The classes of requests, with what the family's lists tell of them."""
    path = root.path_of("Classes")
    root.required("Classes")
    sections = root.items("Classes", Section)
    if not sections:
        raise SettingsError(path, "one or more classes are needed", [])
    tables = _ClassTables(family, len(sections))
    classes = tuple(tables.read(section, place) for place, section in enumerate(sections))
    for place in repeats(cls.name for cls in classes):
        raise SettingsError(f"{path}[{place}].Name", "stands twice", classes[place].name)
    return classes
