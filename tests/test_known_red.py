"""CI skips exactly the tests listed in KNOWN-RED.txt and reports them; an invalid file fails the run."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.stand_ins import ROOT

TESTS = """import pytest
def test_red(): assert False
def test_red_too(): pass
@pytest.mark.parametrize("n", [1, 2])
def test_some(n): assert n != RED
"""
KNOWN_RED_LINE = "tests/test_it.py::test_red, the link's clock runs back, issue 7"


def run_ci_test(
    folder: Path, red: str | None, failing_parameter: int = 0
) -> subprocess.CompletedProcess[str]:
    """Run .ci/test, as .ci/run does after installation, in a project with a few tests."""
    (folder / "tests").mkdir()
    (folder / "tests" / "test_it.py").write_text(TESTS.replace("RED", str(failing_parameter)))
    if red is not None:
        (folder / "KNOWN-RED.txt").write_text(red)
    environment = {k: v for k, v in os.environ.items() if not k.startswith(("PYTEST", "PYTHONPATH"))}
    return subprocess.run(
        ["bash", str(ROOT / ".ci" / "test"), sys.executable],
        cwd=folder,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.mark.parametrize(
    ("red", "failing_parameter", "passed"),
    [
        (KNOWN_RED_LINE, 0, 3),
        (KNOWN_RED_LINE + "\ntests/test_it.py::test_some[2], two is, one too many, issue 12\n", 2, 2),
    ],
)
def test_skips_exactly_the_listed_tests(
    tmp_path: Path, red: str, failing_parameter: int, passed: int
) -> None:
    completed = run_ci_test(tmp_path, red, failing_parameter)
    assert completed.returncode == 0, completed.stdout + completed.stderr
    lines = red.splitlines()
    assert f"{passed} passed, {len(lines)} deselected" in completed.stdout
    for line in lines:
        assert f"known red, not run: {line.split(', ')[0]}: " in completed.stdout


@pytest.mark.parametrize(
    "red",
    [
        None,
        "",  # an empty list: the failing test isn't skipped
        "tests/test_it.py::test_red_too, not this one, issue 7",
        "tests/test_it.py::test_re, a part of its name, issue 7",
        "tests/test_it.py::test_none, no such test, issue 7",
        "tests/test_it.py::test_red, no issue",
        "test_red, no file, issue 7",
        KNOWN_RED_LINE + "\n\n",
        KNOWN_RED_LINE + "\n" + KNOWN_RED_LINE,
        "\n".join(
            [
                KNOWN_RED_LINE,
                *(f"tests/test_it.py::test_some[{n}], more, issue 7" for n in (1, 2)),
                "tests/test_it.py::test_red_too, a fourth, issue 7",
            ]
        ),
    ],
)
def test_other_failures_and_invalid_files_fail_the_run(tmp_path: Path, red: str | None) -> None:
    assert run_ci_test(tmp_path, red).returncode != 0


def test_ci_run_ends_with_ci_test() -> None:
    """The last command of .ci/run is .ci/test."""
    last = (ROOT / ".ci" / "run").read_text().strip().splitlines()[-1]
    assert last.startswith("bash .ci/test .venv-dev/bin/python ")
