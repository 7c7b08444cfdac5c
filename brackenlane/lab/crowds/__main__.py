"""Command line of the crowds: runs some of them and prints one JSON object a run.

Exit codes: 0 all stayed within their memory and answered the other clients; 1 one did not; 2 invalid option.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import orjson
import trio

from brackenlane.lab.crowds.crowd_run import run_crowd
from brackenlane.lab.crowds.requests import MAX_CONNECTIONS, Crowd
from brackenlane.lab.site import ROOT


def main(arguments: list[str]) -> int:
    """Run the selected crowds; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m brackenlane.lab.crowds", description=__doc__)
    parser.add_argument("--crowd", action="append", choices=[crowd.name for crowd in Crowd])
    parser.add_argument("--memory-mb", type=int, action="append")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--connections", type=int, default=MAX_CONNECTIONS)
    parser.add_argument("--tree", type=Path, default=ROOT, help="another checkout, whose program is run")
    parser.add_argument("--python", default=sys.executable, help="the interpreter that runs the router")
    options = parser.parse_args(arguments)
    has_failed = False
    for memory_mb in options.memory_mb or [192]:
        for name in options.crowd or [crowd.name for crowd in Crowd]:
            result = trio.run(
                run_crowd,
                Crowd[name],
                memory_mb,
                options.seconds,
                options.connections,
                options.tree,
                options.python,
            )
            has_failed |= not result.is_within_limit
            print(orjson.dumps(result.summary()).decode(), flush=True)
    return int(has_failed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
