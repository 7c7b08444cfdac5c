"""A router whose wall clock is off: `python -m brackenlane.lab.cluster.clock_preload SECONDS RATE WORDS...`.

The machine's clock is left alone: `time.time` of this one process is.
"""

from __future__ import annotations

import sys
import time

real = time.time
begun = time.time()
off = float(sys.argv[1])
rate = float(sys.argv[2])


def notified() -> float:
    """The wall clock, so many seconds off and running so many times as fast."""
    return begun + off + (real() - begun) * rate


time.time = notified
sys.argv[1:3] = []

from brackenlane.cli.main import run  # noqa: E402

sys.exit(run(sys.argv[1:]))
