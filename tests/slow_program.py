"""The program with its core slowed: every event costs some milliseconds of CPU more (SLOW_MS)."""

from __future__ import annotations

import os
import sys
import time

from brackenlane.__main__ import main
from brackenlane.routing import Router
from brackenlane.routing.actions import Action
from brackenlane.routing.events import Event

COST = float(os.environ["SLOW_MS"]) / 1000
handle = Router.handle


def slowly(self: Router, event: Event, now: float) -> list[Action]:
    """The same decision, at more cost."""
    until = time.perf_counter() + COST
    while time.perf_counter() < until:
        pass
    return handle(self, event, now)


if __name__ == "__main__":
    Router.handle = slowly  # type: ignore[method-assign]
    sys.exit(main(sys.argv[1:]))
