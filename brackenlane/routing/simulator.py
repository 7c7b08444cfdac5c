"""Program that the simulator runs: one Router per running instance, over standard input and output.

`python -m brackenlane.routing.simulator` reads batches of lines and answers each with the actions of its
routers. simulator_codec implements the line protocol.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TextIO

from brackenlane.routing.errors import WireError
from brackenlane.routing.events import Event
from brackenlane.routing.members import Role
from brackenlane.routing.router import Router
from brackenlane.routing.settings_codec import kind_roles, read_settings
from brackenlane.routing.simulator_codec import (
    Batch,
    Fields,
    Message,
    read_batches,
    read_event,
    read_json,
    read_membership,
    write_action,
    write_exception,
    write_reply,
)

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Instance:
    """One running instance: its router, and the roles of the machine kinds that are not edge caches."""

    router: Router
    roles: dict[str, Role]


class SimulatorHost:
    """The running instances that share one pair of pipes."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}  # keyed by the instance's name on the wire

    def answer(self, batch: Batch) -> list[str]:
        """Return the lines that answer a batch; WireError if one of its messages is malformed."""
        lines: list[str] = []
        for message in batch.messages:
            event = self._read_message(message)
            if event is not None:
                lines.extend(self.decide(message.fields["I"], event, batch.now))
        return lines

    def apply(self, message: Message) -> Event | None:
        """Start or stop an instance, or return the event for its router; None if no decision is needed.

        KeyError if a field is missing or its word unknown, ValueError if a value is invalid.
        """
        name = message.fields["I"]
        if message.name == "LAUNCH":
            self.instances[name] = _launch(message.fields)
            return None
        if message.name == "STOP":
            self.instances.pop(name, None)
            return None
        instance = self.instances.get(name)
        if instance is None:
            return None
        if message.name == "MEMBERSHIP":
            return read_membership(message, instance.roles)
        return read_event(message)

    def decide(self, name: str, event: Event, now: float) -> list[str]:
        """Return the lines for the actions on one event; an exception becomes one line that reports it."""
        try:
            actions = self.instances[name].router.handle(event, now)
            return [write_action(name, action) for action in actions]
        except Exception as fault:
            # One instance's failure must not stop the other instances of this process.
            log.exception("instance %s: decision failed", name)
            return [write_exception(name, fault)]

    def _read_message(self, message: Message) -> Event | None:
        try:
            return self.apply(message)
        except KeyError as fault:
            cause = f"{fault.args[0]!r} is missing or not known"
            raise WireError(message.line_number, f"{message.name}: {cause}") from fault
        except ValueError as fault:
            raise WireError(message.line_number, f"{message.name}: {fault}") from fault


def _launch(fields: Fields) -> Instance:
    raw = read_json(fields["Config"])
    roles = kind_roles(raw)
    router = Router(read_settings(raw), int(fields.get("InitSeed", 0)))
    return Instance(router, roles)


def run(source: Iterable[str], sink: TextIO) -> None:
    """Answer every batch of a stream of lines until it ends; WireError if a line is malformed."""
    host = SimulatorHost()
    for batch in read_batches(source):
        sink.write(write_reply(batch, host.answer(batch)))
        sink.flush()


def main() -> int:
    """Answer standard input until it ends; return the exit status: 1 if a line is malformed, else 0."""
    try:
        run(sys.stdin, sys.stdout)
    except WireError as fault:
        print(f"brackenlane.routing.simulator: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
