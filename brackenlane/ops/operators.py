"""What operators' calls come to: lists for the core, figures read from it. Nothing in here waits."""

from __future__ import annotations

import time

from brackenlane.core import Core
from brackenlane.limits import Limits
from brackenlane.net.clients import Door
from brackenlane.ops.counts import Gauges, expose
from brackenlane.ops.maintenance import Maintenance, Reply
from frostsail.interface import Event, Membership

ANSWERS = {Reply.DONE: (200, "done"), Reply.UNKNOWN: (404, "no such box"),
           Reply.FULL: (507, "too many boxes are out")}


class Operators:
    """Stands between the change log and the core, and answers the calls."""

    def __init__(self, core: Core, door: Door, limits: Limits) -> None:
        self._core, self._door = core, door
        self._maintenance = Maintenance(limits.taken_out)

    def hear(self, event: Event) -> None:
        """An event of the change log's, to the core; boxes taken out by hand stay out."""
        self._core.post(self._maintenance.hear(event) if isinstance(event, Membership) else event)

    def order(self, server: str, out: bool) -> tuple[int, str]:
        """Take a box out, or let it serve again. In force as this returns: status and line of the answer."""
        call = self._maintenance.enter if out else self._maintenance.leave
        reply, event = call(server, time.time())
        if event:
            self._core.post(event)
        return ANSWERS[reply]

    def figures(self) -> bytes:
        """All figures as text."""
        listed, avoided = self._maintenance.listed, self._core.avoided
        ejected = sum(name in avoided or name in self._maintenance.out for name in listed)
        return expose(self._door.counts, Gauges(self._door.active, len(listed), ejected))
