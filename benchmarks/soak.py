"""CPU cost of a request compared with the last version on the wall clock, and a few seeds of the soak test.

    python benchmarks/soak.py [--check] [--quick] [--baseline REV] [--core N]

Both versions serve the same open-loop load, well below capacity, alternately and several times; the ratio is
that of their lowest CPU times. The seeds must show no violation.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from brackenlane.lab import site  # noqa: E402
from brackenlane.lab.bounds import at_most, conclude  # noqa: E402
from brackenlane.lab.soak.__main__ import run_plan  # noqa: E402
from brackenlane.lab.soak.schedule import draw_plan  # noqa: E402

BASELINE = "1fba9ee"  # the last version whose timers used the wall clock
BOUNDS = {
    "request_cost_ratio": at_most(1.05),  # CPU time per served request, compared with the baseline
    "broken_seeds": at_most(0),
}
RATE = 300.0  # requests per second
WARM_UP = 2.0  # seconds before the measurement
SOAK_SECONDS = 8.0  # per seed


def request_cost(tree: Path, seconds: float, core: int) -> float:
    """Return the CPU seconds per served request."""
    others = [core + 1, core + 2]
    with (
        site.stand_in_caches(4, others, delay=0.005) as (caches, origin, _),
        site.router_process(tree, caches, origin, [core]) as router,
    ):
        site.collect_reports(site.start_load(router.port, [(WARM_UP, RATE)], [core + 3]))
        before = router.cpu()
        total = site.collect_reports(site.start_load(router.port, [(seconds, RATE)], [core + 3]))
        served: int = total["statuses"].get("200", 0)
        return (router.cpu() - before) / max(1, served)


def main() -> int:
    """Run both parts; return 1 if a bound is missed and --check is given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--baseline", default=BASELINE)
    parser.add_argument("--core", type=int, default=0, help="the first of four processors")
    options = parser.parse_args()
    pairs, seconds, seeds = (2, 3.0, 1) if options.quick else (6, 6.0, 8)
    ours: list[float] = []
    baseline: list[float] = []
    with site.checkout(options.baseline) as tree:
        for _ in range(pairs):
            baseline.append(request_cost(tree, seconds, options.core))
            ours.append(request_cost(ROOT, seconds, options.core))
    broken = [seed for seed in range(1, seeds + 1) if run_plan(draw_plan(seed, SOAK_SECONDS))[1]]
    for seed in broken:
        print(f"broken: python -m brackenlane.lab.soak --seed {seed} --seconds {SOAK_SECONDS:g}")
    found: dict[str, Any] = {
        "request_us": round(min(ours) * 1e6, 1),
        "baseline_request_us": round(min(baseline) * 1e6, 1),
        "request_cost_ratio": round(min(ours) / min(baseline), 4),
        "broken_seeds": len(broken),
    }
    return conclude(found, BOUNDS, options.check)


if __name__ == "__main__":
    sys.exit(main())
