"""Invariants of the randomized race test: each planted violation is detected, and none in a valid record."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from brackenlane.lab.races import ClientResponse, ReceivedAttempt, Record, violations


def valid_record() -> Record:
    """Return a record of a read, a submit that one cache rejected, and an early client disconnect."""
    return Record(
        [
            ReceivedAttempt(10.0, "box", "read", False),
            ReceivedAttempt(10.1, "box", "write", True, has_run=False),
            ReceivedAttempt(10.2, "other", "write", True),
            ReceivedAttempt(10.3, "box", "left", False),
            ReceivedAttempt(11.4, "box", "late", False),
        ],
        {"left": 10.25},
        {"read": ClientResponse(False, 1.0, 1.04, 200), "write": ClientResponse(True, 1.0, 0.2, 200)},
        [(11.0, "box", False)],
        0,
        b"INFO all is well",
    )


def test_valid_record_has_no_violations() -> None:
    assert violations(valid_record()) == []


@pytest.mark.parametrize(
    ("plant", "expected"),
    [
        (lambda r: r.client_left_at.update(left=10.15), "after its client had left"),
        (lambda r: r.attempts.append(ReceivedAttempt(11.6, "box", "late", False)), "told to drain"),
        (lambda r: r.attempts.append(ReceivedAttempt(10.4, "box", "write", True)), "ran 2 times"),
        (lambda r: r.responses.update(read=ClientResponse(False, 1.0, 2.0)), "no whole answer"),
        (lambda r: r.responses.update(read=ClientResponse(False, 1.0, 1.06, 200)), "late"),
        (
            lambda r: r.responses.update(read=ClientResponse(False, 1.0, 0.1, 200, b"HTTP/1.1")),
            "more than one",
        ),
        (lambda r: r.responses.update(write=replace(r.responses["write"], status=503)), "refused though"),
        (lambda r: setattr(r, "exit_code", -9), "exit -9"),
        (lambda r: setattr(r, "exit_code", None), "exit None"),
        (lambda r: setattr(r, "log", b"Traceback (most recent call last)"), "traceback"),
    ],
)
def test_each_invariant_detects_its_planted_violation(plant: Callable[[Record], None], expected: str) -> None:
    record = valid_record()
    plant(record)
    [found] = violations(record)
    assert expected in found
