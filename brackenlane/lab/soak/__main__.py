"""Command line of the soak test: runs seeds, prints violations, and can shrink the first failing schedule.

Exit codes: 0 all invariants hold; 1 one is violated, or the fault shim can't be built; 2 invalid option.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from dataclasses import replace
from pathlib import Path

import orjson
import trio

from brackenlane.lab.faults.shim import FaultShimError, build_library
from brackenlane.lab.site import ROOT
from brackenlane.lab.soak.invariants import Violation, violations
from brackenlane.lab.soak.record import Record
from brackenlane.lab.soak.schedule import Plan, draw_plan
from brackenlane.lab.soak.soak_run import SoakRun

EXIT_OK = 0
EXIT_BROKEN = 1
EXIT_BAD_OPTION = 2
DEFAULT_SECONDS = 12.0
MIN_SECONDS = 3.0
MAX_SECONDS = 3600.0
MAX_SEEDS = 1000
MAX_SHOWN_VIOLATIONS = 8  # per seed
SHRINK_RUNS = 2  # runs without a fault that must all pass before the fault counts as needed


def run_plan(plan: Plan, tree: Path = ROOT) -> tuple[Record, list[Violation]]:
    """Run one plan against the router of a checkout; return the record and its violations.

    Raises FaultShimError.
    """
    with tempfile.TemporaryDirectory() as folder:
        library = build_library(Path(folder))
        record = trio.run(SoakRun(plan, Path(folder), library, tree).run)
    return record, violations(record)


def shrink(plan: Plan, tree: Path) -> Plan:
    """Remove faults one at a time as long as the plan still fails; return the shortest plan found."""
    for fault in plan.faults:
        smaller = replace(plan, faults=tuple(other for other in plan.faults if other is not fault))
        if any(run_plan(smaller, tree)[1] for _ in range(SHRINK_RUNS)):
            plan = smaller
    return plan


def report(plan: Plan, record: Record, found: list[Violation]) -> None:
    """Print the command that reproduces a failing seed, its timeline and its violations."""
    seconds = f"{plan.seconds:g}"
    print(f"seed {plan.seed} failed: python -m brackenlane.lab.soak --seed {plan.seed} --seconds {seconds}")
    print(f"  {plan.router_count} routers, deadlines {plan.deadlines} s, folder: {plan.has_state_folder}")
    for at, text in record.timeline:
        print(f"  {at:8.3f} {text}")
    for violation in found[:MAX_SHOWN_VIOLATIONS]:
        print(f"  broken: {violation.rule} at {violation.at:.3f}: {violation.text}")
    if len(found) > MAX_SHOWN_VIOLATIONS:
        print(f"  and {len(found) - MAX_SHOWN_VIOLATIONS} more")


def main(arguments: list[str]) -> int:
    """Run the seeds that the arguments select; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m brackenlane.lab.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS, help="of each, before SIGTERM")
    parser.add_argument("--json", action="store_true", help="one JSON object as the last line")
    parser.add_argument("--shrink", action="store_true", help="leave out faults of the first seed that fails")
    parser.add_argument("--tree", type=Path, default=ROOT, help="another checkout, whose program is run")
    options = parser.parse_args(arguments)
    if not 1 <= options.seeds <= MAX_SEEDS or not MIN_SECONDS <= options.seconds <= MAX_SECONDS:
        print(f"soak: 1 to {MAX_SEEDS} seeds of {MIN_SECONDS:g} to {MAX_SECONDS:g} s", file=sys.stderr)
        return EXIT_BAD_OPTION
    failed: dict[int, list[Violation]] = {}
    requests = 0
    for seed in range(options.seed, options.seed + options.seeds):
        plan = draw_plan(seed, options.seconds)
        try:
            record, found = run_plan(plan, options.tree)
        except FaultShimError as error:
            print(f"soak: {error}", file=sys.stderr)
            return EXIT_BROKEN
        requests += len(record.requests)
        print(f"seed {seed}: {len(record.requests)} requests, {len(plan.faults)} faults, {len(found)} broken")
        if found:
            failed[seed] = found
            report(plan, record, found)
            if options.shrink and len(failed) == 1:
                smaller = shrink(plan, options.tree)
                print("  needed: " + "; ".join(f"{fault.at:.2f} {fault}" for fault in smaller.faults))
    if options.json:
        broken = {seed: [violation._asdict() for violation in found] for seed, found in failed.items()}
        summary = {"seeds": options.seeds, "requests": requests, "failed": broken}
        print(orjson.dumps(summary, option=orjson.OPT_NON_STR_KEYS).decode())
    return EXIT_BROKEN if failed else EXIT_OK


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
