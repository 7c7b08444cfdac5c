"""CI passes over what KNOWN-RED.txt names, exactly that, and says so; any other content fails the run."""

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
LINE = "tests/test_it.py::test_red, the link's clock runs back, issue 7"


def run(folder: Path, red: str | None, also: int = 0) -> subprocess.CompletedProcess[str]:
    """What .ci/run does once all is installed, in a project of a few tests."""
    (folder / "tests").mkdir()
    (folder / "tests" / "test_it.py").write_text(TESTS.replace("RED", str(also)))
    if red is not None:
        (folder / "KNOWN-RED.txt").write_text(red)
    reported = {k: v for k, v in os.environ.items() if not k.startswith(("PYTEST", "PYTHONPATH"))}
    return subprocess.run(
        ["bash", str(ROOT / ".ci" / "test"), sys.executable],
        cwd=folder,
        env=reported,
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.mark.parametrize(
    ("red", "also", "passed"),
    [
        (LINE, 0, 3),
        (LINE + "\ntests/test_it.py::test_some[2], two is, one too many, issue 12\n", 2, 2),
    ],
)
def test_passes_over_just_these(tmp_path: Path, red: str, also: int, passed: int) -> None:
    done = run(tmp_path, red, also)
    assert done.returncode == 0, done.stdout + done.stderr
    lines = red.splitlines()
    assert f"{passed} passed, {len(lines)} deselected" in done.stdout
    for line in lines:
        assert f"known red, not run: {line.split(', ')[0]}: " in done.stdout


@pytest.mark.parametrize(
    "red",
    [
        None,
        "",  # nothing is known to be red: what fails, fails
        "tests/test_it.py::test_red_too, not this one, issue 7",
        "tests/test_it.py::test_re, a part of its name, issue 7",
        "tests/test_it.py::test_none, no such test, issue 7",
        "tests/test_it.py::test_red, no issue",
        "test_red, no file, issue 7",
        LINE + "\n\n",
        LINE + "\n" + LINE,
        "\n".join(
            [
                LINE,
                *(f"tests/test_it.py::test_some[{n}], more, issue 7" for n in (1, 2)),
                "tests/test_it.py::test_red_too, a fourth, issue 7",
            ]
        ),
    ],
)
def test_anything_else_fails_the_run(tmp_path: Path, red: str | None) -> None:
    assert run(tmp_path, red).returncode != 0


def test_ci_calls_it() -> None:
    """CI ends by just this."""
    last = (ROOT / ".ci" / "run").read_text().strip().splitlines()[-1]
    assert last.startswith("bash .ci/test .venv-dev/bin/python ")
