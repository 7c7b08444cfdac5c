"""Runs a router with a wrong wall clock.

Usage: `python -m brackenlane.lab.cluster.clock_preload SECONDS RATE WORDS...`.

SECONDS is the clock's offset, RATE its speed as a factor of real time; WORDS are the router's own arguments.
It replaces `time.time` in this process only; the machine's clock is not changed.
"""

from __future__ import annotations

import sys
import time

real_time = time.time
start = time.time()
offset = float(sys.argv[1])
rate = float(sys.argv[2])


def skewed_time() -> float:
    """Return the real Unix time, shifted by `offset` seconds and running `rate` times as fast."""
    return start + offset + (real_time() - start) * rate


time.time = skewed_time
sys.argv[1:3] = []

from brackenlane.cli.main import run  # noqa: E402

sys.exit(run(sys.argv[1:]))
