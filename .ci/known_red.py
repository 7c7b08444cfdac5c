"""KNOWN-RED.txt at the root: tests known to fail, one line each: `TEST, CAUSE, issue N`; three at most.

As a program it prints them, and exits 1 for what such a file may not hold. As a plugin of pytest it deselects
exactly them: `--deselect` would take every test whose name begins alike.
"""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest

MOST = 3
LINE = re.compile(r"(\S+::\S.*?), (\S.*), (issue \d+)")


class KnownRedError(Exception):
    """A file that can't be kept to."""


def read(root: Path) -> list[tuple[str, str, str]]:
    """Test, cause and issue of each line; none without a file."""
    path = root / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    if len(lines) > MOST:
        raise KnownRedError(f"{len(lines)} lines, {MOST} are allowed")
    found = [LINE.fullmatch(line) for line in lines]
    for line, match in zip(lines, found, strict=True):
        if match is None:
            raise KnownRedError(f"not 'TEST, CAUSE, issue N': {line!r}")
    reported = [(match[1], match[2], match[3]) for match in found if match]
    if len({test for test, _, _ in reported}) < len(reported):
        raise KnownRedError("a test stands twice")
    return reported


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Pass over exactly these."""
    red = {test for test, _, _ in read(config.rootpath)}
    gone = [item for item in items if item.nodeid in red]
    items[:] = [item for item in items if item.nodeid not in red]
    config.hook.pytest_deselected(items=gone)


def check(root: Path) -> list[tuple[str, str, str]]:
    """Return what the file lists; KnownRedError if it names a test that is not there."""
    reported = read(root)
    if reported:
        known = collected_tests(root)
        for test, _, _ in reported:
            if test not in known:
                raise KnownRedError(f"no such test: {test}")
    return reported


def collected_tests(root: Path) -> set[str]:
    """Return the names of all tests."""
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "--collect-only", "-q", "-n0"],
        cwd=root,
        capture_output=True,
        text=True,
        check=False,
    )
    return set(done.stdout.splitlines())


def main(root: Path) -> int:
    """Check the file and print it."""
    try:
        reported = check(root)
    except KnownRedError as error:
        print(f"KNOWN-RED.txt: {error}", file=sys.stderr)
        return 1
    for test, cause, issue in reported:
        print(f"known red, not run: {test}: {cause} ({issue})")
    return 0


if __name__ == "__main__":
    sys.exit(main(Path.cwd()))
