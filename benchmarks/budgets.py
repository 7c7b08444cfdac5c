"""Budgets: unused share and cost of the division, cost of a check, and states explored in the model.

python benchmarks/budgets.py [--check] [--quick]; one JSON object as the last line.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from pathlib import Path
from typing import Any

import orjson

sys.path.insert(0, str(Path(__file__).parent.parent))

from brackenlane.budgets.division import ShareRequest, divide
from brackenlane.budgets.leases import HeldLease, LeasePolicy, spendable_amount
from brackenlane.lab.budget_model import Model
from brackenlane.lab.model import explore


def spent_shares(members: int, seed: int) -> dict[str, float]:
    """Return the share of the total that is spent by max-min fair and by equal division.

    The total is the sum of all demands; one member demands eight times the mean.
    """
    rng = random.Random(seed)
    requests = {f"m{n}": ShareRequest(rng.expovariate(1.0)) for n in range(members - 1)} | {
        "busy": ShareRequest(8.0)
    }
    total = sum(request.demand for request in requests.values())
    equal = sum(min(total / members, request.demand) for request in requests.values())
    return {"max_min": sum(divide(total, requests).values()) / total, "equal": equal / total}


def time_per_call(call: Any, times: int) -> float:
    """Return the seconds per call, as the best of five rounds."""
    best = float("inf")
    for _ in range(5):
        started_at = time.perf_counter()
        for _ in range(times):
            call()
        best = min(best, (time.perf_counter() - started_at) / times)
    return best


def main(arguments: list[str]) -> int:
    """Run the benchmark; return 1 with --check if a bound is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--quick", action="store_true")
    options = parser.parse_args(arguments)
    shares = [spent_shares(members, seed) for members in (8, 60, 500) for seed in range(20)]
    requests = {f"m{n}": ShareRequest(random.Random(n).random(), 1.0, 0.1) for n in range(500)}
    large_requests = {f"m{n}": ShareRequest(random.Random(n).random(), 1.0, 0.1) for n in range(1000)}
    lease = HeldLease(5, 1, 100.0)
    models = []
    for members, depth in ((2, 8), (3, 6)) if options.quick else ((2, 10), (3, 8)):
        model = Model(LeasePolicy(2, 3.0, 0.0), members)
        found = explore(model.initial_world(), model.successors, model.within_budget, depth)
        models.append(
            {
                "members": members,
                "depth": found.depth,
                "states": found.states,
                "whole": found.complete,
                "fault": list(found.counterexample),
            }
        )
    small = time_per_call(lambda: divide(200.0, requests), 20)
    large = time_per_call(lambda: divide(400.0, large_requests), 20)
    spent = min(s["max_min"] for s in shares)
    result = {
        "spent_max_min": spent,
        "spent_equal": sum(s["equal"] for s in shares) / len(shares),
        "divide_500_ms": 1000 * small,
        "divide_1000_over_500": large / small,
        "check_us": 1e6 * time_per_call(lambda: spendable_amount(lease, 50.0), 20_000),
        "models": models,
    }
    missed = [
        name
        for name, bad in (
            ("spent_max_min", spent < 0.999),
            ("divide_1000_over_500", large / small > 2.6),
            ("check_us", 1e6 * time_per_call(lambda: spendable_amount(lease, 50.0), 20_000) > 3.0),
            ("models", any(m["fault"] or not m["whole"] for m in models)),
        )
        if bad
    ]
    print(orjson.dumps({**result, "missed": missed}).decode())
    return 1 if options.check and missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
