"""The simulator's wire on standard input and output: one Router for each live instance."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable, Iterator
from typing import TextIO

from brackenlane.routing.actions import Action, Cancel, Fail, Fetch, Reject, SetTimer, Subscribe
from brackenlane.routing.events import (
    Arrival,
    AttemptResult,
    CacheStatus,
    ClientDisconnected,
    Event,
    Membership,
    MembershipKind,
    Outcome,
    Purged,
    ResponseStarted,
    TimerFired,
)
from brackenlane.routing.load_report import read_load_report
from brackenlane.routing.members import Member, Role, ServerState
from brackenlane.routing.router import Router
from brackenlane.routing.settings_codec import kind_roles, read_settings

VERDICTS = {
    "0": AttemptResult.OK,
    "255": AttemptResult.ERROR,
    "254": AttemptResult.FULL,
    "253": AttemptResult.TIMEOUT,
    "252": AttemptResult.UNREACHABLE,
    "251": AttemptResult.BROKEN,
    "250": AttemptResult.CANCELLED,
    "249": AttemptResult.NEVER_SENT,
    "1": AttemptResult.MISS,
}
STATES = {"SERVING": ServerState.SERVING, "DRAINING": ServerState.DRAINING, "DELETED": ServerState.GONE}
LISTS = {
    "changes": MembershipKind.CHANGES,
    "all": MembershipKind.FULL,
    "remembered": MembershipKind.REMEMBERED,
    "refused": MembershipKind.REJECTED,
}
TEXT_FIELDS = (" Config=", " What=")
USAGE_SEPARATOR = ","
MODE_JOIN, MODE_HELD, MODE_RENEW = 1, 2, 8
Fields = dict[str, str]


class WireError(Exception):
    """A line of the wire that cannot be read."""


def read_line(text: str, number: int) -> tuple[str, Fields]:
    """The name and the fields of one line."""
    for mark in TEXT_FIELDS:
        head, found, tail = text.partition(mark)
        if found:
            name, fields = read_line(head, number)
            fields[mark[1:-1]] = tail
            return name, fields
    name, *parts = text.split(" ")
    fields = {}
    for part in parts:
        key, found, value = part.partition("=")
        if not found or not key:
            raise WireError(f"line {number}: {part[:60]!r} is not name=value")
        fields[key] = value
    return name, fields


def read_json(text: str) -> object:
    """The value of a field that is JSON text."""
    try:
        return json.loads(text)
    except RecursionError:
        raise ValueError("Config: nested too deeply") from None


def read_member(f: Fields, roles: dict[str, Role]) -> Member:
    """One entry of a list."""
    return Member(
        f["Cache"],
        f.get("Campus", ""),
        roles.get(f.get("GenerationHw", ""), Role.EDGE),
        int(f.get("Cell", 0)),
        STATES[f.get("Availability", "SERVING")],
        float(f.get("CapacityHint", 1.0)),
        float(f.get("StartedAtS", 0.0)),
    )


def _read_note(f: Fields) -> CacheStatus:
    """The note of an outcome; one that is not known counts as none."""
    code = int(f.get("Note", 0))
    return CacheStatus(code) if code in CacheStatus._value2member_map_ else CacheStatus.UNKNOWN


READERS: dict[str, Callable[[Fields], Event]] = {
    "INCOMING": lambda f: Arrival(
        f["MsgId"],
        float(f["TimeLeftS"]),
        f.get("Band", ""),
        f.get("File", ""),
        int(f.get("Segment", 0)),
        int(f.get("Group", -1)),
        float(f.get("SizeKb", 0.0)),
        f.get("IsWrite") == "1",
        f.get("IsRetry") == "1",
    ),
    "RESULT": lambda f: Outcome(
        f["MsgId"],
        int(f["SeqNo"]),
        f.get("Cache", ""),
        VERDICTS[f["Verdict"]],
        float(f.get("WaitTimeS", 0.0)),
        f.get("Terminal") == "1",
        _read_note(f),
        float(f.get("TtfbS", 0.0)),
        read_load_report(f.get("Usage", ""), USAGE_SEPARATOR),
    ),
    "FIRST": lambda f: ResponseStarted(
        f["MsgId"], int(f["SeqNo"]), f.get("Cache", ""), float(f.get("WaitTimeS", 0.0))
    ),
    "WITHDRAWN": lambda f: ClientDisconnected(f["MsgId"]),
    "WAKE": lambda f: TimerFired(int(f["Handle"])),
    "OUTDATED": lambda f: Purged(
        "" if f.get("File", "0") == "0" else f["File"], int(f.get("Tag", -1)), float(f.get("OldnessS", 0.0))
    ),
}


def write_action(instance: str, action: Action) -> str:
    """The wire's line for one action."""
    match action:
        case Fetch():
            mode = (
                MODE_JOIN * action.join + MODE_HELD * action.only_if_cached + MODE_RENEW * action.revalidate
            )
            return (
                f"FETCH_THROUGH I={instance} MsgId={action.request_id} Cache={action.server} "
                f"PatienceS={action.timeout:.6f} Supplier={action.source} TierRank={action.keep} "
                f"OldnessS={action.max_age:.6f} Mode={mode}"
            )
        case Reject():
            return f"BUSY I={instance} MsgId={action.request_id} HoldOffS={action.hold_off:.6f}"
        case Fail():
            return f"FINISH_ERROR I={instance} MsgId={action.request_id}"
        case Cancel():
            return f"WITHDRAW I={instance} MsgId={action.request_id} SeqNo={action.attempt}"
        case SetTimer():
            return f"SET_TIMER I={instance} Handle={action.token} AtS={action.at:.6f}"
        case Subscribe():
            return f"FOLLOW I={instance} Active=1"
    raise TypeError(f"no wire line for {type(action).__name__}")


class Host:
    """The live instances behind one pair of pipes."""

    def __init__(self) -> None:
        self.routers: dict[str, Router] = {}
        self.roles: dict[str, dict[str, Role]] = {}

    def read(self, name: str, f: Fields, members: list[Fields]) -> Event | None:
        """The event that one message stands for; None for what needs no decision."""
        instance = f["I"]
        if name == "LAUNCH":
            raw = read_json(f["Config"])
            self.roles[instance] = kind_roles(raw)
            self.routers[instance] = Router(read_settings(raw), int(f.get("InitSeed", 0)))
        elif name == "STOP":
            self.routers.pop(instance, None)
        elif instance not in self.routers:
            return None
        elif name == "MEMBERSHIP":
            if int(f.get("Members", len(members))) != len(members):
                raise ValueError(f"{f['Members']} entries announced, {len(members)} follow")
            roles = self.roles[instance]
            return Membership(LISTS[f["Kind"]], tuple(read_member(m, roles) for m in members))
        elif name in READERS:
            return READERS[name](f)
        return None

    def decide(self, instance: str, event: Event, now: float) -> list[str]:
        """The lines that answer one event; a failure in a decision is the wire's to report."""
        try:
            return [write_action(instance, action) for action in self.routers[instance].handle(event, now)]
        except Exception as fault:
            cause = " ".join(f"{type(fault).__name__}: {fault}".split())
            return [f"EXCEPTION I={instance} What={cause}"]


def batches(lines: Iterable[str]) -> Iterator[tuple[float, str, list[tuple[int, str, Fields, list[Fields]]]]]:
    """The batches of a stream of lines: time, number, and events with their list entries."""
    opened: tuple[float, str] | None = None
    events: list[tuple[int, str, Fields, list[Fields]]] = []
    number = 0
    for number, line in enumerate(lines, 1):
        text = line.rstrip("\r\n")
        if not text:
            continue
        name, fields = read_line(text, number)
        if name == "MARK":
            if opened:
                raise WireError(f"line {number}: MARK inside a batch")
            try:
                opened, events = (float(fields["TimeS"]), fields["n"]), []
            except (KeyError, ValueError):
                raise WireError(f"line {number}: MARK without a time and a number") from None
        elif opened is None:
            raise WireError(f"line {number}: {name[:60]!r} outside a batch")
        elif name == "COMMIT":
            yield opened[0], opened[1], events
            opened = None
        elif name == "CACHE":
            if not events or events[-1][1] != "MEMBERSHIP":
                raise WireError(f"line {number}: CACHE without a list")
            events[-1][3].append(fields)
        elif "I" not in fields:
            raise WireError(f"line {number}: {name[:60]!r} names no instance")
        else:
            events.append((number, name, fields, []))
    if opened:
        raise WireError(f"line {number}: the input ends inside a batch")


def run(source: Iterable[str], sink: TextIO) -> None:
    """Answer every batch of source on sink."""
    host = Host()
    for now, batch, events in batches(source):
        reply: list[str] = []
        for number, name, fields, members in events:
            try:
                event = host.read(name, fields, members)
            except KeyError as fault:
                cause = f"{fault.args[0]!r} is missing or not known"
                raise WireError(f"line {number}: {name}: {cause}") from fault
            except ValueError as fault:
                raise WireError(f"line {number}: {name}: {fault}") from fault
            if event is not None:
                reply.extend(host.decide(fields["I"], event, now))
        sink.write("\n".join([*reply, f"EOR n={batch}\n"]))
        sink.flush()


def main() -> int:
    """Serve the wire until the input ends."""
    try:
        run(sys.stdin, sys.stdout)
    except WireError as fault:
        print(f"brackenlane.routing.simulator: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
