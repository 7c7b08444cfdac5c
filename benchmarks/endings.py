"""Endings: random races against the real program; every rule broken is told (docs/design/endings.md).

python benchmarks/endings.py [--check] [--quick] [--seed N] [--root CHECKOUT]; the last line is a JSON object.
Even seeds play it running on, odd ones with moments in which it stands still; every third may not cancel.
"""

from __future__ import annotations

import argparse
import gc
import json
import sys
import tempfile
from pathlib import Path

import trio

sys.path.insert(0, str(Path(__file__).parents[1]))

from brackenlane.lab import site
from brackenlane.lab.races import Scenario, violations


def main() -> int:
    """Play some seeds."""
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--check", action="store_true")
    arguments.add_argument("--quick", action="store_true")
    arguments.add_argument("--seed", type=int, default=1)
    arguments.add_argument("--root", type=Path, default=site.ROOT)
    reported = arguments.parse_args()
    runs, seconds = (3, 8.0) if reported.quick else (10, 15.0)
    attempts = answers = 0
    found: list[str] = []
    for seed in range(reported.seed, reported.seed + runs):
        gc.collect()
        gc.disable()  # a collection stops the peers for a tenth of a second, which would count as lateness
        with tempfile.TemporaryDirectory() as folder:
            record = trio.run(
                Scenario(seed, seconds, Path(folder), seed % 3 != 0, reported.root.resolve()).run
            )
        gc.enable()
        broken = violations(record)
        attempts = attempts + len(record.gets)
        answers = answers + len(record.answers)
        found += broken
        print(
            f"seed {seed}: {len(record.gets)} attempts, {len(record.answers)} clients that stayed, "
            f"{len(record.left)} in all, {len(broken)} broken {broken[:4]}"
        )
    print(json.dumps({"plays": runs, "attempts": attempts, "answers": answers, "broken": len(found)}))
    return 1 if reported.check and (found or answers < 100 * runs) else 0


if __name__ == "__main__":
    sys.exit(main())
