"""Settings objects of any shape: a fault is reported with its path and value, else a Router works."""

from __future__ import annotations

import copy
import itertools
import json
import math
import random
from collections.abc import Iterator
from typing import Any

import orjson
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from brackenlane.config import ConfigError, parse
from brackenlane.limits import Limits
from brackenlane.routing.actions import Action, Fetch, SetTimer
from brackenlane.routing.checked_json import LONGEST_EXCERPT, SettingsError
from brackenlane.routing.events import (
    Arrival,
    AttemptResult,
    CacheStatus,
    ClientDisconnected,
    Membership,
    MembershipKind,
    Outcome,
    Purged,
    TimerFired,
)
from brackenlane.routing.members import Member, Role, ServerState
from brackenlane.routing.router import Router
from brackenlane.routing.settings import Idempotency, Scope, Settings, SiblingSources, SlowStart
from brackenlane.routing.settings_codec import kind_roles, read_settings
from tests.router_harness import actions_of, single_action

Json = dict[str, Any]
Path = tuple[str | int, ...]

WITH_HUBS: Json = {
    "Classes": [
        {
            "Name": "films",
            "TargetS": 0.7,
            "GiveUpS": 5.5,
            "AimStretch": 1.5,
            "Worth": 3.0,
            "LateValue": 0.25,
            "Effect": "retryable",
            "Group": "all",
            "WindowS": 4.0,
            "Streamed": False,
        },
        {"Name": "maps", "TargetS": 0.35, "GiveUpS": 2.0, "LateValue": 0.1, "Effect": "retryable"},
        {"Name": "votes", "TargetS": 0.9, "GiveUpS": 3.5, "Effect": "dedup", "Group": "zone", "WindowS": 2.0},
    ],
    "Dcs": ["north", "south", "isle", "cape"],
    "Locality": "isle",
    "Me": 1,
    "NInstances": 5,
    "Skus": ["small", "large", "relay", "vault"],
    "Discovery": "push",
    "Weights": "rough",
    "QuantumS": 0.004,
    "Orgs": [],
    "Report": {"Fields": ["inflight", "x0"], "How": "piggyback"},
    "Prices": {"Probe": 0.02, "Waste": 0.1},
    "FamilyInfo": {
        "BypassAllowed": True,
        "ClassParts": [True, False, False],
        "ClassStaleWorth": [0.6, 0.4, 0.0],
        "FreshForS": [0.0, 12.0, 0.0],
        "GraceForS": [0.0, 45.0, 0.0],
        "Uncached": [False, False, True],
        "GoneEverywhereS": 7.0,
        "HubByZone": [0, 1, 0, 1],
        "SeatsByZone": [0, 1, 2, 2],
        "PipeKbPerS": [0.0, 0.0, 52000.0, 48000.0],
        "PaceKbPerS": 4200.0,
        "ParentFallMultiple": 2.5,
        "ParentStartsAt": 0.12,
        "UpperColdS": 14.0,
        "PeersFill": "location",
        "Says": "all",
        "SecondTierKind": 2,
        "StoreKind": 3,
        "SharesFills": True,
    },
    "Guarantees": {
        "AnswerSlackS": 0.01,
        "ColdFrom": 0.22,
        "OverloadFactor": 3.5,
        "OverloadForS": 1.5,
        "RampTimeS": 16.0,
    },
    "Limits": {
        "Cancel": True,
        "DialTimeoutS": 0.3,
        "KeepaliveS": 25.0,
        "MaxAttempts": 6,
        "MaxRetryAfterS": 2.5,
        "MayProbe": True,
        "Peers": False,
        "RetryAfter": True,
        "SecondCopies": True,
        "StreamsPerConn": 64,
    },
}
WITHOUT_HUBS: Json = {
    "Classes": [
        {"Name": "pages", "TargetS": 0.4, "GiveUpS": 1.8},
        {"Name": "orders", "TargetS": 1.1, "GiveUpS": 4.0, "Effect": "fragile"},
    ],
    "Dcs": ["east", "west"],
    "Locality": "west",
    "Skus": ["box", "vault"],
    "Discovery": "ask",
    "Weights": "silent",
    "Orgs": [{"Name": "blue", "Portion": 0.6, "QuotaPerS": 40.0}, {"Name": "red", "Portion": 0.4}],
    "Report": {"Fields": [], "How": "silent"},
    "FamilyInfo": {
        "SecondTierKind": -1,
        "StoreKind": 1,
        "Says": "silent",
        "PeersFill": "silent",
        "ParentStartsAt": 0.0,
        "ParentFallMultiple": 0.0,
        "UpperColdS": 0.0,
        "Uncached": [False, True],
    },
    "Guarantees": {"AnswerSlackS": 0.02},
    "Limits": {"MaxAttempts": 3, "DialTimeoutS": 0.5},
}
SHAPES = (WITH_HUBS, WITHOUT_HUBS)
DELETED = object()


def changed(raw: Json, *edits: tuple[Path, object]) -> Json:
    """Return a copy with values replaced, added or deleted at paths."""
    copied = copy.deepcopy(raw)
    for path, value in edits:
        parent: Any = copied
        for step in path[:-1]:
            parent = parent[step]
        if value is DELETED:
            del parent[path[-1]]
        else:
            parent[path[-1]] = value
    return copied


def info(name: str) -> Path:
    """Return the path of a value in FamilyInfo."""
    return ("FamilyInfo", name)


CLASS = ("Classes", 1)
FAULTS: list[tuple[Path, object, str]] = [
    (("Classes",), DELETED, "settings.Classes: missing"),
    (("Classes",), [], "settings.Classes: []: one or more classes are needed"),
    (("Classes",), {}, "settings.Classes: {}: must be a list"),
    (CLASS, 7, "settings.Classes[1]: 7: must be an object"),
    ((*CLASS, "Name"), DELETED, "settings.Classes[1].Name: missing"),
    ((*CLASS, "Name"), "", 'settings.Classes[1].Name: "": must be text that is not empty'),
    ((*CLASS, "Name"), "films", 'settings.Classes[1].Name: "films": stands twice'),
    ((*CLASS, "TargetS"), DELETED, "settings.Classes[1].TargetS: missing"),
    ((*CLASS, "TargetS"), -0.3, "settings.Classes[1].TargetS: -0.3: must be above 0"),
    ((*CLASS, "TargetS"), 0, "settings.Classes[1].TargetS: 0: must be above 0"),
    ((*CLASS, "TargetS"), 1e-9, "settings.Classes[1].TargetS: 1e-09: must be at least 1e-06"),
    ((*CLASS, "TargetS"), True, "settings.Classes[1].TargetS: true: must be a number"),
    ((*CLASS, "TargetS"), math.nan, "settings.Classes[1].TargetS: NaN: must be a finite number"),
    ((*CLASS, "TargetS"), 10**400, "settings.Classes[1].TargetS: 1000"),
    ((*CLASS, "GiveUpS"), "2", 'settings.Classes[1].GiveUpS: "2": must be a number'),
    ((*CLASS, "GiveUpS"), math.inf, "settings.Classes[1].GiveUpS: Infinity: must be a finite number"),
    ((*CLASS, "GiveUpS"), 1e9, "settings.Classes[1].GiveUpS: 1000000000.0: must be at most 1e+06"),
    ((*CLASS, "AimStretch"), -1, "settings.Classes[1].AimStretch: -1: must be at least 0"),
    ((*CLASS, "Worth"), None, "settings.Classes[1].Worth: null: must be a number"),
    ((*CLASS, "LateValue"), [0.5], "settings.Classes[1].LateValue: [0.5]: must be a number"),
    ((*CLASS, "WindowS"), -2, "settings.Classes[1].WindowS: -2: must be at least 0"),
    (
        (*CLASS, "Effect"),
        "once",
        'settings.Classes[1].Effect: "once": must be one of retryable, dedup, fragile',
    ),
    ((*CLASS, "Effect"), ["dedup"], 'settings.Classes[1].Effect: ["dedup"]: must be one of'),
    ((*CLASS, "Group"), "rack", 'settings.Classes[1].Group: "rack": must be one of all, zone, cell'),
    (("Dcs",), DELETED, "settings.Dcs: missing"),
    (("Dcs",), [], 'settings.Locality: "isle": not among Dcs'),
    (("Dcs",), "isle", 'settings.Dcs: "isle": must be a list'),
    (("Dcs", 1), 4, "settings.Dcs[1]: 4: must be text"),
    (("Dcs", 1), "cape", 'settings.Dcs[3]: "cape": stands twice'),
    (("Locality",), DELETED, "settings.Locality: missing"),
    (("Locality",), "moon", 'settings.Locality: "moon": not among Dcs'),
    (("Me",), 5, "settings.Me: 5: must be below NInstances, 5"),
    (("Me",), -1, "settings.Me: -1: must be at least 0"),
    (("Me",), False, "settings.Me: false: must be a number"),
    (("NInstances",), 0, "settings.NInstances: 0: must be at least 1"),
    (("NInstances",), 5.5, "settings.NInstances: 5.5: must be a whole number"),
    (("Skus",), "relay", 'settings.Skus: "relay": must be a list'),
    (("Skus", 0), "relay", 'settings.Skus[2]: "relay": stands twice'),
    (("Skus",), DELETED, "settings.FamilyInfo.SecondTierKind: 2: no place in Skus"),
    (("Discovery",), "poll", 'settings.Discovery: "poll": must be one of push, ask'),
    (("Weights",), "exact", 'settings.Weights: "exact": must be one of silent, nominal, rough, live'),
    (("Weights",), None, "settings.Weights: null: must be one of"),
    (("QuantumS",), 0, "settings.QuantumS: 0: must be above 0"),
    (("Report",), [], "settings.Report: []: must be an object"),
    (("Report", "How"), "push", 'settings.Report.How: "push": must be one of piggyback, pull, silent'),
    (("Report", "Fields"), "util", 'settings.Report.Fields: "util": must be a list'),
    (("Report", "Fields"), ["util", 3], "settings.Report.Fields[1]: 3: must be text"),
    (("Prices",), 0, "settings.Prices: 0: must be an object"),
    (("Prices", "Probe"), -0.1, "settings.Prices.Probe: -0.1: must be at least 0"),
    (("FamilyInfo",), None, "settings.FamilyInfo: null: must be an object"),
    (info("HubByZone"), [0, 1, 9, 1], "settings.FamilyInfo.HubByZone[2]: 9: no place in Dcs"),
    (info("HubByZone"), [0, 1], "settings.FamilyInfo.HubByZone: [0, 1]: 4 values are needed, one for each"),
    (info("HubByZone"), [0, 1, -1, 1], "settings.FamilyInfo.HubByZone[2]: -1: must be at least 0"),
    (info("HubByZone"), [0, 1, 0.5, 1], "settings.FamilyInfo.HubByZone[2]: 0.5: must be a whole number"),
    (info("HubByZone"), {"isle": 0}, 'settings.FamilyInfo.HubByZone: {"isle": 0}: must be a list'),
    (info("SeatsByZone"), [1], "settings.FamilyInfo.SeatsByZone: [1]: 4 values are needed"),
    (info("SeatsByZone"), [0, 1, 2, True], "settings.FamilyInfo.SeatsByZone[3]: true: must be a number"),
    (info("PipeKbPerS"), [0, 0, 0, -9], "settings.FamilyInfo.PipeKbPerS[3]: -9: must be at least 0"),
    (info("PaceKbPerS"), "fast", 'settings.FamilyInfo.PaceKbPerS: "fast": must be a number'),
    (info("PaceKbPerS"), 1e-200, "settings.FamilyInfo.PaceKbPerS: 1e-200: must be 0 or at least"),
    (info("FreshForS"), [0.0], "settings.FamilyInfo.FreshForS: [0.0]: 3 values are needed, one for each of"),
    (info("GraceForS"), [0, 0, "x"], 'settings.FamilyInfo.GraceForS[2]: "x": must be a number'),
    (info("ClassStaleWorth"), [0, -1, 0], "settings.FamilyInfo.ClassStaleWorth[1]: -1: must be at least 0"),
    (info("ClassParts"), [True, False, 1], "settings.FamilyInfo.ClassParts[2]: 1: must be true or false"),
    (info("Uncached"), [0, 0, 1], "settings.FamilyInfo.Uncached[0]: 0: must be true or false"),
    (info("BypassAllowed"), 1, "settings.FamilyInfo.BypassAllowed: 1: must be true or false"),
    (info("SharesFills"), "yes", 'settings.FamilyInfo.SharesFills: "yes": must be true or false'),
    (
        info("PeersFill"),
        "near",
        'settings.FamilyInfo.PeersFill: "near": must be one of silent, location, any',
    ),
    (info("Says"), "some", 'settings.FamilyInfo.Says: "some": must be one of all, hit, silent'),
    (info("SecondTierKind"), 4, "settings.FamilyInfo.SecondTierKind: 4: no place in Skus"),
    (info("SecondTierKind"), -2, "settings.FamilyInfo.SecondTierKind: -2: must be at least -1"),
    (info("SecondTierKind"), "relay", 'settings.FamilyInfo.SecondTierKind: "relay": must be a number'),
    (info("StoreKind"), 9, "settings.FamilyInfo.StoreKind: 9: no place in Skus"),
    (info("StoreKind"), 2, "settings.FamilyInfo.StoreKind: 2: is the kind of the parents as well"),
    (info("ParentStartsAt"), 0, "settings.FamilyInfo.ParentStartsAt: 0: must be above 0"),
    (info("ParentStartsAt"), 1.5, "settings.FamilyInfo.ParentStartsAt: 1.5: must be at most 1"),
    (info("ParentFallMultiple"), 0.0, "settings.FamilyInfo.ParentFallMultiple: 0.0: must be above 0"),
    (info("UpperColdS"), -1, "settings.FamilyInfo.UpperColdS: -1: must be at least 0"),
    (info("GoneEverywhereS"), [], "settings.FamilyInfo.GoneEverywhereS: []: must be a number"),
    (("Guarantees", "ColdFrom"), 0, "settings.Guarantees.ColdFrom: 0: must be above 0"),
    (("Guarantees", "ColdFrom"), 29, "settings.Guarantees.ColdFrom: 29: must be at most 1"),
    (("Guarantees", "RampTimeS"), "slow", 'settings.Guarantees.RampTimeS: "slow": must be a number'),
    (("Guarantees", "OverloadFactor"), 0, "settings.Guarantees.OverloadFactor: 0: must be above 0"),
    (("Guarantees", "OverloadForS"), 0, "settings.Guarantees.OverloadForS: 0: must be above 0"),
    (("Guarantees", "AnswerSlackS"), None, "settings.Guarantees.AnswerSlackS: null: must be a number"),
    (("Limits",), "none", 'settings.Limits: "none": must be an object'),
    (("Limits", "Cancel"), 1, "settings.Limits.Cancel: 1: must be true or false"),
    (("Limits", "MaxAttempts"), 0, "settings.Limits.MaxAttempts: 0: must be at least 1"),
    (("Limits", "MaxAttempts"), True, "settings.Limits.MaxAttempts: true: must be a number"),
    (("Limits", "StreamsPerConn"), 0.5, "settings.Limits.StreamsPerConn: 0.5: must be at least 1"),
    (("Limits", "DialTimeoutS"), -1, "settings.Limits.DialTimeoutS: -1: must be at least 0"),
    (("Limits", "KeepaliveS"), "long", 'settings.Limits.KeepaliveS: "long": must be a number'),
    (("Limits", "MaxRetryAfterS"), {}, "settings.Limits.MaxRetryAfterS: {}: must be a number"),
]
FAULT_NAMES = [reported.partition(": must")[0] for _, _, reported in FAULTS]


@pytest.mark.parametrize(("path", "value", "reported"), FAULTS, ids=FAULT_NAMES)
def test_fault_names_path_and_value(path: Path, value: object, reported: str) -> None:
    """An invalid value is reported with its path, the value and the allowed range."""
    with pytest.raises(SettingsError) as fault:
        read_settings(changed(WITH_HUBS, (path, value)))
    assert str(fault.value).startswith(reported)
    assert str(fault.value).startswith(fault.value.path)


@pytest.mark.parametrize("raw", [None, [], "settings", 3])
def test_settings_that_are_no_object_are_rejected(raw: object) -> None:
    """Settings that are not a JSON object are rejected with the same kind of error."""
    with pytest.raises(SettingsError, match=r"^settings: .*: must be an object$"):
        read_settings(raw)


@pytest.mark.parametrize("value", ["word " * 10_000, [list(range(10_000))], "two\nlines\x00", "\ud800"])
def test_error_text_is_one_bounded_line(value: object) -> None:
    """The error for a very large or unprintable value is one short line of printable ASCII."""
    with pytest.raises(SettingsError) as fault:
        read_settings(changed(WITH_HUBS, (("Weights",), value)))
    assert len(str(fault.value)) < 2 * LONGEST_EXCERPT + 20
    assert str(fault.value).isascii()
    assert str(fault.value).isprintable()


@pytest.mark.parametrize(
    ("path", "value", "reported"),
    [
        (("Classes", 0, "TargetS"), -0.3, "settings.Classes[0].TargetS: -0.3: must be above 0"),
        (info("SecondTierKind"), 2, "settings.FamilyInfo.SecondTierKind: 2: no place in Skus"),
    ],
)
def test_platform_configuration_reports_the_same_error(path: Path, value: object, reported: str) -> None:
    """Reading the platform's configuration fails with the same error text."""
    raw = {"name": "n", "listen": "127.0.0.1:1", "settings": changed(WITHOUT_HUBS, (path, value))}
    with pytest.raises(ConfigError) as fault:
        parse(orjson.dumps(raw))
    assert str(fault.value) == reported


def test_each_value_is_read_into_its_field() -> None:
    """Each value of the object is stored in the field that belongs to its key."""
    found = read_settings(WITH_HUBS)
    assert found.classes[0].late_value == 0.25
    assert found.classes[0].in_parts
    assert found.classes[1].fresh_for == 12.0
    assert found.classes[1].grace == 45.0
    assert found.classes[1].stale_value == 0.4
    assert not found.classes[1].uncached
    votes = found.classes[2]
    assert (votes.idempotency, votes.scope, votes.repeat_window) == (
        Idempotency.IDEMPOTENT_WITH_KEY,
        Scope.ZONE,
        2.0,
    )
    assert votes.uncached
    assert not votes.in_parts
    assert (found.router_index, found.router_count, found.hub_of, found.routers_by_location) == (
        1,
        5,
        (0, 1, 0, 1),
        (0, 1, 2, 2),
    )
    assert found.edge_slow_start == SlowStart(0.22, 16.0, 3.5, 1.5)
    assert found.parent_slow_start == SlowStart(0.12, 14.0, 2.5, 1.5)
    assert found.weights_known
    assert not found.must_subscribe
    assert found.sibling_sources is SiblingSources.LOCATION
    assert (found.probe_price, found.max_hold_off, found.streams) == (0.02, 2.5, 64)
    assert (found.tick, found.keepalive, found.link_kb_per_s[2]) == (0.004, 25.0, 52000.0)
    assert kind_roles(WITH_HUBS) == {"relay": Role.PARENT, "vault": Role.ORIGIN}


def fleet(router_settings: Settings, hubs: tuple[str, ...]) -> list[Member]:
    """Return edge caches of the router's location, two parents in each named hub, and the origin."""
    members = [Member(f"edge-{n}", router_settings.location, weight=6.0) for n in range(3)]
    members += [Member(f"parent-{hub}-{n}", hub, Role.PARENT, weight=15.0) for hub in hubs for n in range(2)]
    return [*members, Member("origin", router_settings.locations[0], Role.ORIGIN, weight=30.0)]


def started_router(raw: Json, hubs: tuple[str, ...] = ()) -> Router:
    """Return a Router with the settings of an object and a list of servers."""
    router_settings = read_settings(raw)
    router = Router(router_settings, 5)
    router.handle(Membership(MembershipKind.REMEMBERED, tuple(fleet(router_settings, hubs))), 1.0)
    return router


def request_once(router: Router, cls: str, size_kb: float = 300.0) -> Fetch:
    """Send a new request and return its only attempt."""
    request = Arrival(f"q-{cls}", 1.5, cls, "thing", size_kb=size_kb)
    return single_action(router.handle(request, 1.0), Fetch)


def test_site_without_parents_fills_from_the_origin() -> None:
    """Fills come from the origin; the values for parents may be 0, since there are none."""
    router = started_router(WITHOUT_HUBS)
    fetch = request_once(router, "pages")
    assert fetch.server.startswith("edge-")
    assert fetch.source == "origin"
    assert kind_roles(WITHOUT_HUBS) == {"vault": Role.ORIGIN}


@pytest.mark.parametrize("hubs", [[], [-1, -1], [0, 0]])
def test_hubs_without_parents_are_ignored(hubs: list[int]) -> None:
    """Without parents a hub must still be the index of a location, or -1, but is not used."""
    raw = changed(WITHOUT_HUBS, (info("HubByZone"), hubs))
    assert read_settings(raw) == read_settings(WITHOUT_HUBS)
    with pytest.raises(SettingsError, match=r"HubByZone\[1\]: 2: no place in Dcs"):
        read_settings(changed(WITHOUT_HUBS, (info("HubByZone"), [0, 2])))


def test_site_without_an_origin_fills_nothing() -> None:
    """A site without a machine kind for the origin has none, and misses are not filled."""
    raw = changed(WITHOUT_HUBS, (info("StoreKind"), DELETED))
    assert kind_roles(raw) == {}
    router = Router(read_settings(raw), 5)
    router.handle(Membership(MembershipKind.REMEMBERED, (Member("edge-0", "west", weight=6.0),)), 1.0)
    fetch = request_once(router, "pages")
    assert fetch.source == fetch.server == "edge-0"


@pytest.mark.parametrize(
    ("hubs", "source"), [(("north", "south"), "parent-north"), (("south",), "parent-south"), ((), "origin")]
)
def test_hub_without_parents_uses_the_next_hub(hubs: tuple[str, ...], source: str) -> None:
    """Fills come from the next hub that has parents, or from the origin if no hub has any."""
    assert request_once(started_router(WITH_HUBS, hubs), "films").source.startswith(source)


def test_site_of_one_location() -> None:
    """Caches, the hub with its parents, and the origin are at the same location."""
    raw = changed(
        WITH_HUBS,
        (("Dcs",), ["isle"]),
        (info("HubByZone"), [0]),
        (info("SeatsByZone"), [5]),
        (info("PipeKbPerS"), [52000.0]),
    )
    fetch = request_once(started_router(raw, ("isle",)), "films")
    assert fetch.server.startswith("edge-")
    assert fetch.source.startswith("parent-isle")


@pytest.mark.parametrize(
    "edits",
    [
        [(("Limits", "MayProbe"), False)],
        [(("Limits", "MayProbe"), DELETED), (("Prices",), DELETED)],
        [(("Prices",), {}), (("Report",), DELETED)],
    ],
)
def test_site_without_probes(edits: list[tuple[Path, object]]) -> None:
    """Probes may be forbidden, have no price, or be absent from the settings."""
    raw = changed(WITH_HUBS, *edits)
    router_settings = read_settings(raw)
    assert router_settings.may_probe is (("Limits", "MayProbe") not in [path for path, _ in edits])
    assert Limits().with_settings(router_settings).idle_probe_after > 0
    assert request_once(started_router(raw, ("north",)), "films").server.startswith("edge-")


def test_latency_objective_beyond_the_time_limit_is_the_limit() -> None:
    """No answer is of use after the time limit, so a later objective is lowered to the limit."""
    raw = changed(WITH_HUBS, (("Classes", 1, "TargetS"), 3600))
    assert read_settings(raw).classes[1].latency_objective == 2.0
    assert Limits().with_settings(read_settings(raw)).max_client_wait >= 2.0
    assert request_once(started_router(raw, ("north",)), "maps").timeout <= 1.5


def test_class_without_objective_stretch() -> None:
    """If the key is absent, the objective does not depend on the request's transfer time."""
    assert read_settings(WITHOUT_HUBS).classes[0].objective_stretch == 0.0
    raw = changed(WITH_HUBS, (("Classes", 0, "AimStretch"), DELETED))
    assert request_once(started_router(raw, ("north",)), "films").server.startswith("edge-")


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("Tomorrow",), {"Deep": [None]}),
        (info("Tomorrow"), [1, 2]),
        (("Classes", 0, "Tomorrow"), "x"),
        (("Limits", "Tomorrow"), None),
        (("Report", "Tomorrow"), -1),
        (("Report", "Fields"), ["util", "swap_mb", "inflight", "x7", "x1"]),
        (("Report", "Fields"), []),
        (("Orgs",), [{"Name": "blue", "QuotaPerS": 9.0, "Portion": 1.0, "Tomorrow": 1}]),
        (info("ReportX0"), "share of something"),
    ],
)
def test_unknown_keys_and_report_names_are_ignored(path: Path, value: object) -> None:
    """Newer sites may send unknown keys and report names, which do not change the settings."""
    assert read_settings(changed(WITH_HUBS, (path, value))) == read_settings(WITH_HUBS)


def test_absent_lists_equal_empty_ones() -> None:
    """If a list by class or location is absent or empty, the defaults apply to all of them."""
    names = (
        "FreshForS",
        "GraceForS",
        "ClassStaleWorth",
        "ClassParts",
        "Uncached",
        "SeatsByZone",
        "HubByZone",
    )
    absent = read_settings(changed(WITH_HUBS, *[(info(name), DELETED) for name in names]))
    assert absent == read_settings(changed(WITH_HUBS, *[(info(name), []) for name in names]))
    assert absent.hub_of == absent.routers_by_location == ()
    assert not any(cls.uncached for cls in absent.classes)


def test_integers_may_be_written_as_fractions() -> None:
    """JSON has only one type of number: 2.0 and 2 are equal."""
    raw = changed(
        WITH_HUBS, (info("HubByZone"), [0.0, 1.0, 0.0, 1.0]), (("Limits", "MaxAttempts"), 6.0), (("Me",), 1.0)
    )
    assert read_settings(raw) == read_settings(WITH_HUBS)
    assert all(type(hub) is int for hub in read_settings(raw).hub_of)


def paths(value: object, at: Path = ()) -> Iterator[Path]:
    """Yield the path of every value below the root."""
    items: list[tuple[str | int, object]] = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    for step, child in items:
        yield (*at, step)
        yield from paths(child, (*at, step))


ALL_PATHS = [(raw, path) for raw in SHAPES for path in paths(raw)]
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-3, 6)
    | st.integers()
    | st.floats()
    | st.sampled_from([0.0, 1e-7, 1e-6, 1e6, 1e12, 5e-324, 1.7e308])
    | st.sampled_from(["silent", "all", "hit", "any", "ask", "dedup", "cell", "isle", "west", "live"])
    | st.text(max_size=5)
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=6,
)


def run_all_events(router_settings: Settings, roles: dict[str, Role]) -> int:
    """Let a Router handle every kind of event and every result of attempts; return the number of attempts."""
    router = Router(router_settings, 3)
    members = [
        *fleet(router_settings, router_settings.locations),
        Member("young", router_settings.location, weight=6.0, started_at=10.0),
        Member("ahead", router_settings.location, weight=6.0, started_at=10.5),  # its clock is ahead
        Member("young-parent", router_settings.locations[0], Role.PARENT, weight=9.0, started_at=10.0),
        Member("other", "elsewhere", next(iter(roles.values()), Role.EDGE), weight=0.0),
    ]
    router.handle(Membership(MembershipKind.REMEMBERED, tuple(members)), 10.1)
    results, rng = itertools.cycle(AttemptResult), random.Random(7)
    pending: list[Action] = []
    count, now = 0, 10.1
    for number in range(24):
        now += 0.05
        cls = [*router_settings.classes][number % len(router_settings.classes)].name
        size = 250.0 if number % 3 else 0.0
        pending += router.handle(
            Arrival(f"q{number}", 0.9, cls, f"o{number % 4}", number % 2, number % 3, size), now
        )
        attempts: dict[str, int] = {}
        for _ in range(12):
            fetches = actions_of(pending, Fetch)
            timers = actions_of(pending, SetTimer)
            pending, count = [], count + len(fetches)
            for fetch in fetches:
                attempt = attempts.get(fetch.request_id, -1) + 1
                attempts[fetch.request_id] = attempt
                result = next(results)
                wait = rng.choice((0.001, 0.2, 0.8))
                ended = Outcome(
                    fetch.request_id,
                    attempt,
                    fetch.server,
                    result,
                    wait,
                    result is AttemptResult.OK,
                    rng.choice(list(CacheStatus)),
                    size_kb=size,
                )
                pending += router.handle(ended, now + wait)
            for timer in timers[:1]:
                pending += router.handle(TimerFired(timer.token), max(now, min(timer.at, now + 1.0)))
        router.handle(Purged("o1", -1, 0.1) if number % 2 else Purged("", 1, 0.1), now)
        router.handle(ClientDisconnected(f"q{number}"), now)
    drained = Member("edge-0", router_settings.location, state=ServerState.DRAINING)
    router.handle(Membership(MembershipKind.CHANGES, (drained,)), now)
    router.handle(Membership(MembershipKind.REJECTED), now)
    router.handle(Arrival("last", 0.9, "unknown class", "o9"), now)
    return count


@pytest.mark.parametrize("raw", SHAPES, ids=["hubs", "no hubs"])
def test_valid_settings_make_a_router_that_handles_all_events(raw: Json) -> None:
    """A Router with either of the valid objects handles the whole sequence of events."""
    # More attempts than the 24 requests: some have a second attempt.
    assert run_all_events(read_settings(raw), kind_roles(raw)) > 24


@settings(
    max_examples=400, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.data_too_large]
)
@given(position=st.sampled_from(ALL_PATHS), value=st.just(DELETED) | VALUES)
def test_any_change_is_rejected_or_works(position: tuple[Json, Path], value: object) -> None:
    """If a value is deleted or replaced, an error names its path, or the Router and its limits work."""
    raw, path = position
    mutated = changed(raw, (path, value))
    try:
        router_settings, roles = read_settings(mutated), kind_roles(mutated)
    except SettingsError as fault:
        assert str(fault).startswith(fault.path)
        assert fault.path.startswith("settings")
        assert len(str(fault)) < 300
        assert str(fault).isprintable()
        return
    Limits().with_settings(router_settings).with_kill_deadline(router_settings)
    run_all_events(router_settings, roles)


def test_settings_parsed_from_json_text_are_the_same() -> None:
    """The objects above do not depend on Python types that JSON does not have."""
    for raw in SHAPES:
        assert read_settings(json.loads(json.dumps(raw))) == read_settings(raw)
