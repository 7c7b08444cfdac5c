"""Budgets: what the division leaves unused, what it and a check cost, how far the model was followed.

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


def uneven(members: int, seed: int) -> dict[str, float]:
    """One wants eight times the mean, the whole is what all want together: the part of it that is spent."""
    chance = random.Random(seed)
    wants = {f"m{n}": ShareRequest(chance.expovariate(1.0)) for n in range(members - 1)} | {
        "busy": ShareRequest(8.0)
    }
    complete = sum(want.demand for want in wants.values())
    equal = sum(min(complete / members, want.demand) for want in wants.values())
    return {"max_min": sum(divide(complete, wants).values()) / complete, "equal": equal / complete}


def timed(call: Any, times: int) -> float:
    """Seconds for one call, the best of five rounds."""
    best = float("inf")
    for _ in range(5):
        begun = time.perf_counter()
        for _ in range(times):
            call()
        best = min(best, (time.perf_counter() - begun) / times)
    return best


def main(arguments: list[str]) -> int:
    """Measure; with --check, 1 where a bound is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--quick", action="store_true")
    reported = parser.parse_args(arguments)
    shares = [uneven(members, seed) for members in (8, 60, 500) for seed in range(20)]
    wants = {f"m{n}": ShareRequest(random.Random(n).random(), 1.0, 0.1) for n in range(500)}
    thousand = {f"m{n}": ShareRequest(random.Random(n).random(), 1.0, 0.1) for n in range(1000)}
    held = HeldLease(5, 1, 100.0)
    models = []
    for members, depth in ((2, 8), (3, 6)) if reported.quick else ((2, 10), (3, 8)):
        model = Model(LeasePolicy(2, 3.0, 0.0), members)
        found = explore(model.first(), model.steps, model.holds, depth)
        models.append(
            {
                "members": members,
                "depth": found.depth,
                "states": found.states,
                "whole": found.complete,
                "fault": list(found.fault),
            }
        )
    small = timed(lambda: divide(200.0, wants), 20)
    large = timed(lambda: divide(400.0, thousand), 20)
    spent = min(s["max_min"] for s in shares)
    result = {
        "spent_max_min": spent,
        "spent_equal": sum(s["equal"] for s in shares) / len(shares),
        "divide_500_ms": 1000 * small,
        "divide_1000_over_500": large / small,
        "check_us": 1e6 * timed(lambda: spendable_amount(held, 50.0), 20_000),
        "models": models,
    }
    missed = [
        name
        for name, bad in (
            ("spent_max_min", spent < 0.999),
            ("divide_1000_over_500", large / small > 2.6),
            ("check_us", 1e6 * timed(lambda: spendable_amount(held, 50.0), 20_000) > 3.0),
            ("models", any(m["fault"] or not m["whole"] for m in models)),
        )
        if bad
    ]
    print(orjson.dumps({**result, "missed": missed}).decode())
    return 1 if reported.check and missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
