"""Runs the program with a slowed routing core: each event takes SLOW_MS more milliseconds of CPU time."""

from __future__ import annotations

import os
import sys
import time

from brackenlane.__main__ import main
from brackenlane.routing import Router
from brackenlane.routing.actions import Action
from brackenlane.routing.events import Event

EXTRA_SECONDS_PER_EVENT = float(os.environ["SLOW_MS"]) / 1000
original_handle = Router.handle


def handle_slowly(self: Router, event: Event, now: float) -> list[Action]:
    """Make the same decision after EXTRA_SECONDS_PER_EVENT of busy waiting."""
    until = time.perf_counter() + EXTRA_SECONDS_PER_EVENT
    while time.perf_counter() < until:
        pass
    return original_handle(self, event, now)


if __name__ == "__main__":
    Router.handle = handle_slowly  # type: ignore[method-assign]
    sys.exit(main(sys.argv[1:]))
