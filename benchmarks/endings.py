"""How requests end: runs the randomized race test and prints each violation (docs/design/endings.md).

python benchmarks/endings.py [--check] [--quick] [--seed N] [--root CHECKOUT]; the last line is a JSON object.
The router is suspended for moments with odd seeds; with every third seed it may not cancel attempts.
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
    """Run the seeds; return 1 with --check if there is a violation or too few responses."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--root", type=Path, default=site.ROOT)
    options = parser.parse_args()
    runs, seconds = (3, 8.0) if options.quick else (10, 15.0)
    attempts = responses = 0
    found: list[str] = []
    for seed in range(options.seed, options.seed + runs):
        gc.collect()
        gc.disable()  # a collection pauses the peers for a tenth of a second: responses would look late
        with tempfile.TemporaryDirectory() as folder:
            record = trio.run(
                Scenario(seed, seconds, Path(folder), seed % 3 != 0, options.root.resolve()).run
            )
        gc.enable()
        broken = violations(record)
        attempts = attempts + len(record.attempts)
        responses = responses + len(record.responses)
        found += broken
        print(
            f"seed {seed}: {len(record.attempts)} attempts, {len(record.responses)} clients that stayed, "
            f"{len(record.client_left_at)} in all, {len(broken)} broken {broken[:4]}"
        )
    print(json.dumps({"plays": runs, "attempts": attempts, "answers": responses, "broken": len(found)}))
    return 1 if options.check and (found or responses < 100 * runs) else 0


if __name__ == "__main__":
    sys.exit(main())
