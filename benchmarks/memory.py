"""Peak memory of a router under crowds as a share of its settings, and the answers of other clients.

    python benchmarks/memory.py [--check] [--quick]

Each crowd runs against one real router with 1,024 descriptors. No other client may be left without an answer.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Any

import trio

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from brackenlane.lab.bounds import at_most, conclude  # noqa: E402
from brackenlane.lab.crowds.crowd_run import CrowdResult, run_crowd  # noqa: E402
from brackenlane.lab.crowds.requests import Crowd  # noqa: E402

BOUNDS = {
    "worst_peak_share": at_most(1.0),  # peak of the resident memory as a share of memory_mb
    "ended_processes": at_most(0),
    "others_unanswered": at_most(0),  # requests of other clients with neither an answer nor a close
    "others_closed": at_most(0),  # connections of other clients that ended without an answer
    "others_late": at_most(0),  # answers of other clients after their time limit
}
MEMORY_MB = (192, 128, 96, 64, 48, 32)
QUICK_MEMORY_MB = (32,)
SECONDS = 6.0  # of each crowd
QUICK_SECONDS = 2.0


def main() -> int:
    """Run all crowds; return 1 if a bound is missed and --check is given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--quick", action="store_true")
    options = parser.parse_args()
    sizes, seconds = (QUICK_MEMORY_MB, QUICK_SECONDS) if options.quick else (MEMORY_MB, SECONDS)
    results: list[CrowdResult] = []
    for memory_mb in sizes:
        for crowd in Crowd:
            results.append(trio.run(run_crowd, crowd, memory_mb, seconds))
            print(results[-1].summary(), flush=True)
    figures: dict[str, Any] = {
        "worst_peak_share": round(max(result.peak_mb / result.memory_mb for result in results), 4),
        "ended_processes": sum(result.exit_code is not None for result in results),
        "others_sent": sum(result.others.sent for result in results),
        "others_unanswered": sum(result.others.unanswered for result in results),
        "others_closed": sum(result.others.statuses.get(0, 0) for result in results),
        "others_late": sum(result.others.late for result in results),
    }
    return conclude(figures, BOUNDS, options.check)


if __name__ == "__main__":
    sys.exit(main())
