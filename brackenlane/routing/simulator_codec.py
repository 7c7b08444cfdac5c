"""Codec of the simulator's line protocol: parses lines into events and writes a router's actions as lines.

The functions have no side effects. No other module of this package contains the protocol's words. A line is a
name and `key=value` fields, separated by single spaces; the lines between `MARK` and `COMMIT` are one batch.
Times and durations are in seconds. Source: the simulator's page WIRE-brackenlane.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from brackenlane.routing.actions import Action, Cancel, Fail, Fetch, Reject, SetTimer, Subscribe
from brackenlane.routing.errors import WireError
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

ATTEMPT_RESULTS = {
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
CACHE_STATUSES = {status.value: status for status in CacheStatus}
SERVER_STATES = {
    "SERVING": ServerState.SERVING,
    "DRAINING": ServerState.DRAINING,
    "DELETED": ServerState.GONE,
}
MEMBERSHIP_KINDS = {
    "changes": MembershipKind.CHANGES,
    "all": MembershipKind.FULL,
    "remembered": MembershipKind.REMEMBERED,
    "refused": MembershipKind.REJECTED,
}
WHOLE_GROUP = "0"  # object name in a purge of a whole group
LOAD_REPORT_SEPARATOR = ","
# Fields whose value extends to the end of the line and may contain spaces, by the text that precedes it.
TEXT_FIELDS = {" Config=": "Config", " What=": "What"}
LONGEST_EXCERPT = 60  # longest part of a line that an error shows, in characters

# Bits of the field `Mode` of a fetch.
MODE_JOIN_FILL = 1
MODE_ONLY_IF_CACHED = 2
MODE_REVALIDATE = 8

Fields = dict[str, str]


@dataclass(slots=True)
class Message:
    """One parsed line; a MEMBERSHIP includes the CACHE lines that list its servers."""

    line_number: int  # number of the line in the input, from 1
    name: str
    fields: Fields
    entries: list[Fields] = field(default_factory=list)  # fields of the CACHE lines after a MEMBERSHIP


@dataclass(slots=True)
class Batch:
    """Messages that occur at the same time and are answered together."""

    number: str  # not parsed, since it is only sent back in the reply
    now: float  # time of the messages, in Unix seconds
    messages: list[Message] = field(default_factory=list)


def read_line(text: str, line_number: int) -> Message:
    """Parse one line without its line break; WireError if a field is not `key=value`."""
    for prefix, key in TEXT_FIELDS.items():
        head, found, tail = text.partition(prefix)
        if found:
            message = read_line(head, line_number)
            message.fields[key] = tail
            return message
    name, *parts = text.split(" ")
    fields: Fields = {}
    for part in parts:
        key, found, value = part.partition("=")
        if not found or not key:
            raise WireError(line_number, f"{part[:LONGEST_EXCERPT]!r} is not name=value")
        fields[key] = value
    return Message(line_number, name, fields)


class _BatchAssembler:
    """Collects messages into batches; holds the batch that is not complete yet."""

    def __init__(self) -> None:
        self._batch: Batch | None = None

    def add(self, message: Message) -> Batch | None:
        """Add one message; return the batch that it completes, if any; WireError if it is out of order."""
        name = message.name
        if name == "MARK":
            self._batch = self._open(message)
            return None
        if self._batch is None:
            raise WireError(message.line_number, f"{name[:LONGEST_EXCERPT]!r} outside a batch")
        if name == "COMMIT":
            complete = self._batch
            self._batch = None
            return complete
        if name == "CACHE":
            self._add_entry(self._batch, message)
        elif "I" not in message.fields:
            raise WireError(message.line_number, f"{name[:LONGEST_EXCERPT]!r} names no instance")
        else:
            self._batch.messages.append(message)
        return None

    def finish(self, line_number: int) -> None:
        """Check that the input did not end within a batch; line_number: the last line."""
        if self._batch is not None:
            raise WireError(line_number, "the input ends inside a batch")

    def _open(self, message: Message) -> Batch:
        if self._batch is not None:
            raise WireError(message.line_number, "MARK inside a batch")
        try:
            return Batch(message.fields["n"], float(message.fields["TimeS"]))
        except (KeyError, ValueError) as fault:
            raise WireError(message.line_number, "MARK without a time and a number") from fault

    @staticmethod
    def _add_entry(batch: Batch, message: Message) -> None:
        if not batch.messages or batch.messages[-1].name != "MEMBERSHIP":
            raise WireError(message.line_number, "CACHE without a list")
        batch.messages[-1].entries.append(message.fields)


def read_batches(lines: Iterable[str]) -> Iterator[Batch]:
    """Yield each batch of a stream of lines when it is complete; WireError if a line is malformed."""
    assembler = _BatchAssembler()
    line_number = 0
    for line_number, line in enumerate(lines, 1):
        text = line.rstrip("\r\n")
        if not text:
            continue
        batch = assembler.add(read_line(text, line_number))
        if batch is not None:
            yield batch
    assembler.finish(line_number)


def read_json(text: str) -> object:
    """Parse a field that contains JSON; ValueError if it is invalid or nested too deeply."""
    try:
        return json.loads(text)
    except RecursionError as fault:
        raise ValueError("Config: nested too deeply") from fault


def read_membership(message: Message, roles: dict[str, Role]) -> Membership:
    """Convert a list of servers.

    roles: roles by machine kind; kinds that are not listed are edge caches. KeyError if a field is missing or
    its word unknown, ValueError if a number or the count of servers is wrong.
    """
    announced = message.fields.get("Members")
    if announced is not None and int(announced) != len(message.entries):
        raise ValueError(f"{announced} entries announced, {len(message.entries)} follow")
    members = tuple(_read_member(entry, roles) for entry in message.entries)
    return Membership(MEMBERSHIP_KINDS[message.fields["Kind"]], members)


def _read_member(fields: Fields, roles: dict[str, Role]) -> Member:
    return Member(
        server=fields["Cache"],
        zone=fields.get("Campus", ""),
        role=roles.get(fields.get("GenerationHw", ""), Role.EDGE),
        cell=int(fields.get("Cell", 0)),
        state=SERVER_STATES[fields.get("Availability", "SERVING")],
        weight=float(fields.get("CapacityHint", 1.0)),
        started_at=float(fields.get("StartedAtS", 0.0)),
    )


def _read_arrival(fields: Fields) -> Arrival:
    return Arrival(
        request_id=fields["MsgId"],
        time_left=float(fields["TimeLeftS"]),
        cls=fields.get("Band", ""),
        obj=fields.get("File", ""),
        part=int(fields.get("Segment", 0)),
        group=int(fields.get("Group", -1)),
        size_kb=float(fields.get("SizeKb", 0.0)),
        is_write=fields.get("IsWrite") == "1",
        is_retry=fields.get("IsRetry") == "1",
    )


def _read_outcome(fields: Fields) -> Outcome:
    return Outcome(
        request_id=fields["MsgId"],
        attempt=int(fields["SeqNo"]),
        server=fields.get("Cache", ""),
        result=ATTEMPT_RESULTS[fields["Verdict"]],
        wait=float(fields.get("WaitTimeS", 0.0)),
        final=fields.get("Terminal") == "1",
        # A newer simulator may send status codes that this version does not know.
        cache_status=CACHE_STATUSES.get(int(fields.get("Note", 0)), CacheStatus.UNKNOWN),
        first_byte=float(fields.get("TtfbS", 0.0)),
        report=read_load_report(fields.get("Usage", ""), LOAD_REPORT_SEPARATOR),
    )


def _read_response_started(fields: Fields) -> ResponseStarted:
    return ResponseStarted(
        request_id=fields["MsgId"],
        attempt=int(fields["SeqNo"]),
        server=fields.get("Cache", ""),
        wait=float(fields.get("WaitTimeS", 0.0)),
    )


def _read_client_disconnected(fields: Fields) -> ClientDisconnected:
    return ClientDisconnected(fields["MsgId"])


def _read_timer_fired(fields: Fields) -> TimerFired:
    return TimerFired(int(fields["Handle"]))


def _read_purged(fields: Fields) -> Purged:
    obj = fields.get("File", WHOLE_GROUP)
    return Purged(
        obj="" if obj == WHOLE_GROUP else obj,
        group=int(fields.get("Tag", -1)),
        age=float(fields.get("OldnessS", 0.0)),
    )


EVENT_READERS: dict[str, Callable[[Fields], Event]] = {
    "INCOMING": _read_arrival,
    "RESULT": _read_outcome,
    "FIRST": _read_response_started,
    "WITHDRAWN": _read_client_disconnected,
    "WAKE": _read_timer_fired,
    "OUTDATED": _read_purged,
}


def read_event(message: Message) -> Event | None:
    """Convert a message about a request, timer or purge; None if its name is unknown (a newer simulator).

    KeyError if a field is missing or its word unknown, ValueError if a number is malformed.
    """
    read = EVENT_READERS.get(message.name)
    return None if read is None else read(message.fields)


def write_action(instance: str, action: Action) -> str:
    """Return the line, without its line break, that requests one action of an instance's router."""
    match action:
        case Fetch():
            return (
                f"FETCH_THROUGH I={instance} MsgId={action.request_id} Cache={action.server} "
                f"PatienceS={action.timeout:.6f} Supplier={action.source} TierRank={action.retention_rank} "
                f"OldnessS={action.max_age:.6f} Mode={_mode_bits(action)}"
            )
        case Reject():
            return f"BUSY I={instance} MsgId={action.request_id} HoldOffS={action.retry_after:.6f}"
        case Fail():
            return f"FINISH_ERROR I={instance} MsgId={action.request_id}"
        case Cancel():
            return f"WITHDRAW I={instance} MsgId={action.request_id} SeqNo={action.attempt}"
        case SetTimer():
            return f"SET_TIMER I={instance} Handle={action.token} AtS={action.at:.6f}"
        case Subscribe():
            return f"FOLLOW I={instance} Active=1"
    raise TypeError(f"no wire line for {type(action).__name__}")


def write_exception(instance: str, fault: Exception) -> str:
    """Return the line that reports an exception in a decision, with line breaks in its text replaced."""
    cause = " ".join(f"{type(fault).__name__}: {fault}".split())
    return f"EXCEPTION I={instance} What={cause}"


def write_reply(batch: Batch, lines: list[str]) -> str:
    """Return the reply to a batch: its lines and the line that ends the reply."""
    return "\n".join([*lines, f"EOR n={batch.number}\n"])


def _mode_bits(fetch: Fetch) -> int:
    mode = 0
    if fetch.may_join_fill:
        mode |= MODE_JOIN_FILL
    if fetch.only_if_cached:
        mode |= MODE_ONLY_IF_CACHED
    if fetch.revalidate:
        mode |= MODE_REVALIDATE
    return mode
