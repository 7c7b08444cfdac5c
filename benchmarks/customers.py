"""Random sites, each simulated for a day under the decision module and under a plain policy, in virtual time.

    python benchmarks/customers.py [--check] [--quick] [--first N] [--processes N]

The plain policy hashes each copy to a cache, fills from the parent cache of its own hub and retries once. All
figures are shares of the value of all requests of the same days. Invariants are checked on cache records.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from brackenlane.lab.bounds import at_least, at_most, conclude  # noqa: E402
from brackenlane.lab.simulation.comparison import Comparison, compare  # noqa: E402
from brackenlane.lab.simulation.drawn_sites import random_site  # noqa: E402

DAYS = 140
QUICK_DAYS = 12
# Share of the value of all requests; days that lose more against the plain policy are listed.
LOSS_THRESHOLD = 0.10
BOUNDS = {
    "broken": at_most(0),  # days that violate an invariant
    "mean_gain": at_least(0.05),  # compared with the plain policy
    "worst_gain": at_least(-0.15),
    "losing_share": at_most(0.03),  # share of days that lose more than LOSS_THRESHOLD
}


def compare_drawn_site(number: int) -> Comparison:
    """Simulate one random day under both policies."""
    return compare(random_site(number))


def main() -> int:
    """Run the benchmark; return 1 with --check if a bound is missed."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--check", action="store_true", help="exit 1 when a bound is missed")
    parser.add_argument("--quick", action="store_true", help="within 50 s")
    parser.add_argument("--first", type=int, default=0, help="the first draw")
    parser.add_argument("--processes", type=int, default=2)
    options = parser.parse_args()
    numbers = range(options.first, options.first + (QUICK_DAYS if options.quick else DAYS))
    with ProcessPoolExecutor(options.processes) as pool:
        results = dict(zip(numbers, pool.map(compare_drawn_site, numbers), strict=True))
    losing = {
        number: round(result.gain, 3) for number, result in results.items() if result.gain < -LOSS_THRESHOLD
    }
    for number, gain in losing.items():
        print(f"draw {number}: {gain:+.3f} against the plain policy")
    for number, result in results.items():
        if result.violations:
            print(f"draw {number}: broken {result.violations}")
    gains = [result.gain for result in results.values()]
    figures = {
        "days": len(results),
        "broken": sum(bool(result.violations) for result in results.values()),
        "mean_gain": mean(gains),
        "worst_gain": min(gains),
        "losing_share": len(losing) / len(results),
    }
    return conclude(figures, BOUNDS, options.check)


if __name__ == "__main__":
    sys.exit(main())
