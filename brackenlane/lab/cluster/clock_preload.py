"""Runs a router with a wrong wall clock.

Usage: `python -m brackenlane.lab.cluster.clock_preload SECONDS RATE WORDS...`.

SECONDS is the clock's offset, RATE its speed as a factor of real time; WORDS are the router's own arguments.
It replaces `time.time` in this process only; the machine's clock is not changed.
"""

from __future__ import annotations

import sys
import time

real = time.time
begun = time.time()
off = float(sys.argv[1])
rate = float(sys.argv[2])


def notified() -> float:
    """Return the real Unix time, shifted by `offset` seconds and running `rate` times as fast."""
    return begun + off + (real() - begun) * rate


time.time = notified
sys.argv[1:3] = []

from brackenlane.cli.main import run  # noqa: E402

sys.exit(run(sys.argv[1:]))
