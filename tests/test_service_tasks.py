"""Service tasks: their failures are their own, and values of other programs cause none."""

from __future__ import annotations

from types import SimpleNamespace
from typing import cast

import pytest
import trio
import trio.testing

from brackenlane.core.service_tasks import run_isolated, run_service
from brackenlane.platform_router import Reloader, RouterParts, load_config
from tests.stand_ins import ROOT, with_trio


@with_trio
async def test_failed_service_starts_again(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against: an exception of one service task cancelled all tasks of the program."""
    starts = 0

    async def fail_twice(limit: int) -> None:
        nonlocal starts
        starts += 1
        if starts <= limit:
            raise LookupError(f"cause {starts}")

    other_ended = trio.Event()

    async def run_other() -> None:
        while starts < 3:
            await trio.sleep(0.01)
        other_ended.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_other)
        nursery.start_soon(run_service, "the service", fail_twice, 2)
    assert starts == 3
    assert other_ended.is_set()
    assert caplog.text.count("the service failed") == 2
    assert "cause 1" in caplog.text  # the traceback


@with_trio
async def test_isolated_task_fails_alone(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against: the failure of one connection's handler ended the program."""

    async def fail(text: str) -> None:
        async with trio.open_nursery():
            raise ValueError(text)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_isolated, "the handler", fail, "a poor value")
        await trio.testing.wait_all_tasks_blocked()
        assert not nursery.cancel_scope.cancel_called
    assert "the handler failed" in caplog.text
    assert "a poor value" in caplog.text


def test_failure_at_a_reload_is_that_of_the_reload(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against: an error of the change log's client at SIGHUP ended the program."""
    monkeypatch.setenv("GW_CONFIG", str(ROOT / "example" / "config.json"))

    def fail(_: object) -> None:
        raise LookupError("the cause")

    parts = SimpleNamespace(change_log=SimpleNamespace(move=fail))
    Reloader(load_config(), cast(RouterParts, parts)).reload()
    assert "the cause" in caplog.text


@with_trio
async def test_cancelled_service_ends() -> None:
    """Guards against: a service that takes the cancellation at the end of the program for a failure."""
    with trio.move_on_after(0.01) as scope:
        await run_service("the service", trio.sleep_forever)
    assert scope.cancelled_caught
