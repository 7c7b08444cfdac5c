"""Handles KNOWN-RED.txt, the list of tests that are known to fail, at the root of the repository.

Each line has the form `TEST, CAUSE, issue N`; at most three lines are allowed. Run as a program, this prints
the list, and exits with 1 if the file is invalid. As a pytest plugin, it deselects exactly these tests, while
pytest's `--deselect` would also deselect other tests whose names begin with one of these.
"""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest

MAX_ENTRIES = 3
ENTRY_PATTERN = re.compile(r"(\S+::\S.*?), (\S.*), (issue \d+)")


class KnownRedError(Exception):
    """KNOWN-RED.txt is invalid."""


def read_entries(root: Path) -> list[tuple[str, str, str]]:
    """Return test, cause and issue of each line; an empty list if there is no file."""
    path = root / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    if len(lines) > MAX_ENTRIES:
        raise KnownRedError(f"{len(lines)} lines; at most {MAX_ENTRIES} are allowed")
    found = [ENTRY_PATTERN.fullmatch(line) for line in lines]
    for line, match in zip(lines, found, strict=True):
        if match is None:
            raise KnownRedError(f"not 'TEST, CAUSE, issue N': {line!r}")
    entries = [(match[1], match[2], match[3]) for match in found if match]
    if len({test for test, _, _ in entries}) < len(entries):
        raise KnownRedError("a test is listed twice")
    return entries


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the listed tests, by exact name."""
    known_failures = {test for test, _, _ in read_entries(config.rootpath)}
    deselected = [item for item in items if item.nodeid in known_failures]
    items[:] = [item for item in items if item.nodeid not in known_failures]
    config.hook.pytest_deselected(items=deselected)


def check(root: Path) -> list[tuple[str, str, str]]:
    """Return the entries of the file. Raises KnownRedError if it names a test that doesn't exist."""
    entries = read_entries(root)
    if entries:
        test_ids = collect_test_ids(root)
        for test, _, _ in entries:
            if test not in test_ids:
                raise KnownRedError(f"no such test: {test}")
    return entries


def collect_test_ids(root: Path) -> set[str]:
    """Return the node ids of all tests."""
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "--collect-only", "-q", "-n0"],
        cwd=root,
        capture_output=True,
        text=True,
        check=False,
    )
    return set(completed.stdout.splitlines())


def main(root: Path) -> int:
    """Check the file and print its entries; return the exit code."""
    try:
        entries = check(root)
    except KnownRedError as error:
        print(f"KNOWN-RED.txt: {error}", file=sys.stderr)
        return 1
    for test, cause, issue in entries:
        print(f"known red, not run: {test}: {cause} ({issue})")
    return 0


if __name__ == "__main__":
    sys.exit(main(Path.cwd()))
