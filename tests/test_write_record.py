"""The record of writes: a flood of other writes does not make a write run twice."""

from __future__ import annotations

from dataclasses import replace

import pytest

from brackenlane.core.metrics import RequestMetrics
from brackenlane.core.requests import PendingRequest
from brackenlane.limits import Limits
from brackenlane.net import write_record
from brackenlane.net.front_context import FrontContext
from brackenlane.net.poller import Poller
from brackenlane.net.write_record import WRITE_ID_SIZE, WriteRecord
from brackenlane.routing.events import Arrival
from brackenlane.routing.settings import Idempotency, RequestClass

SUBMIT = RequestClass("submit", 0.8, 3.0, idempotency=Idempotency.NON_IDEMPOTENT, uncached=True)
MAX_IDS = 100


def write(request_id: str) -> PendingRequest:
    return PendingRequest(Arrival("q1", 3.0, "submit", "o"), 3.0, request_id, cls=SUBMIT)


def test_flood_of_writes_does_not_replace_the_id_of_one_that_may_come_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = 1_000.0
    monkeypatch.setattr(write_record, "steady_time", lambda: now)
    limits = replace(Limits(), max_remembered_submits=MAX_IDS)
    context = FrontContext(limits, Poller(1), RequestMetrics([]))
    record = WriteRecord(context)
    for number in range(MAX_IDS):
        assert record.can_take(now)
        record.finish(write(f"w{number}"), is_rejected=False)
    now += limits.min_submit_memory / 2
    assert not record.can_take(now)
    record.finish(write("in-flight"), is_rejected=False)
    assert "w0" in record
    assert context.memory.size_of(record) == (MAX_IDS + 1) * WRITE_ID_SIZE
    now += limits.min_submit_memory / 2
    assert record.can_take(now)
    record.finish(write("later"), is_rejected=False)
    assert "w0" not in record
    assert "later" in record
    assert record.rejection_count == 1
