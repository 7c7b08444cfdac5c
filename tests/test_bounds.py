"""Bounds of a measurement: a missed one is reported and makes a check exit with status 1."""

from __future__ import annotations

import orjson
import pytest

from brackenlane.lab.bounds import Bound, at_least, at_most, conclude


@pytest.mark.parametrize(
    ("bound", "figure", "holds"),
    [
        (at_least(1.5), 1.5, True),
        (at_least(1.5), 1.49, False),
        (at_most(0), 0, True),
        (at_most(0), 1, False),
        (at_most(0), float("nan"), False),
    ],
)
def test_missed_bound_is_reported_and_fails_a_check(
    bound: Bound, figure: float, holds: bool, capsys: pytest.CaptureFixture[str]
) -> None:
    """The last line is the result; without a check, a missed bound does not change the exit status."""
    assert conclude({"figure": figure}, {"figure": bound}, check=True) == (0 if holds else 1)
    lines = capsys.readouterr().out.splitlines()
    assert orjson.loads(lines[-1])["missed"] == ([] if holds else ["figure"])
    assert len(lines) == (1 if holds else 2)
    assert conclude({"figure": figure}, {"figure": bound}, check=False) == 0


def test_bound_without_a_figure_raises() -> None:
    """Renaming a figure must not disable its bound silently."""
    with pytest.raises(KeyError):
        conclude({}, {"figure": at_least(1.0)}, check=True)
