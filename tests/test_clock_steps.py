"""Steps of the wall clock while the router runs must not affect its deadlines and waits.

Guards against timers and deadlines on the wall clock: with caches that hang in a quarter of their requests, a
step of 5 s or an hour, forward or back, made answers late by seconds or prevented them. The real program runs
with a preloaded library that steps the wall clock of this process only.
"""

from __future__ import annotations

import os
import struct
import time
from pathlib import Path

import pytest
import trio

from brackenlane.clock import ClockStepMonitor
from brackenlane.core.timestamp_ages import TimestampAges
from brackenlane.lab.faults.shim import FaultShim
from tests.stand_ins import CacheStandIn, ReceivedRequest, RouterProcess, data_reply, run_platform, with_trio
from tests.test_change_log_outage import GROUP, GROUP_PURGE, HEARTBEAT, FaultyLog

CACHES = ("s-00000001", "s-00000002", "s-00000003")
ORIGIN = "s-00000009"
TTL = 1.2  # seconds
LATE_AFTER = 0.15  # seconds after the deadline from which an answer counts as late
REQUESTS = 60
INTERVAL = 0.04  # seconds between two requests
STEP_AT, STEP_BACK_AT = 0.8, 1.6  # seconds after the first request
HANG_EVERY = 4  # a cache does not answer one in this many requests
RESPONSE_CACHE_RATE = 10_000_000.0  # bytes per second


def hang_in_some(requested: ReceivedRequest) -> bytes | None:
    """Answer, except for one in four request ids."""
    return None if int(requested.id, 16) % HANG_EVERY == 0 else data_reply(requested)


async def measure_latency(router_process: RouterProcess, latencies: list[float]) -> None:
    """Send one request and record the seconds until its answer, 6 s if there is none."""
    sent_at = trio.current_time()
    with trio.move_on_after(6.0):
        await router_process.request_object(obj=os.urandom(8).hex(), ttl=int(TTL * 1000))
    latencies.append(trio.current_time() - sent_at)


@pytest.mark.parametrize("step", [0.0, 1.0, -1.0, 5.0, -5.0, 3600.0, -3600.0])
@with_trio
async def test_no_answer_is_late_over_a_step_of_the_wall_clock(tmp_path: Path, step: float) -> None:
    """The clock is stepped while requests are open, and later stepped back."""
    shim = FaultShim(tmp_path)
    async with trio.open_nursery() as nursery:
        caches = [await CacheStandIn(name, answer=hang_in_some).open(nursery) for name in CACHES]
        caches.append(await CacheStandIn(ORIGIN, "origin", hang_in_some).open(nursery))
        latencies: list[float] = []
        async with (
            run_platform(tmp_path, caches, env=shim.environment) as router_process,
            trio.open_nursery() as clients,
        ):
            started_at = trio.current_time()
            for _ in range(REQUESTS):
                clients.start_soon(measure_latency, router_process, latencies)
                await trio.sleep(INTERVAL)
                elapsed = trio.current_time() - started_at
                shim.step_wall_clock(step if STEP_AT <= elapsed < STEP_BACK_AT else 0.0)
        assert len(latencies) == REQUESTS
        assert [at for at in latencies if at > TTL + LATE_AFTER] == []
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("is_wrong_at_start", [False, True])
@pytest.mark.parametrize("step", [5.0, -5.0, 3600.0, -3600.0])
@with_trio
async def test_a_purge_holds_over_a_step_of_the_wall_clock(
    tmp_path: Path, step: float, is_wrong_at_start: bool
) -> None:
    """After a step and a purge, no older copy is served, neither by the response cache nor by a cache."""
    shim = FaultShim(tmp_path)
    # With a clock that is ahead from the start, all copies seem too old for a class with a fresh time.
    cls = "video-parts" if is_wrong_at_start else "sheet-pages"
    if is_wrong_at_start:
        shim.step_wall_clock(step)
    async with trio.open_nursery() as nursery:
        limits: list[float] = []  # age limits sent to the caches, in seconds

        def note_age(requested: ReceivedRequest) -> bytes:
            limits.append(int(requested.fields.get("within", 0)) / 1000)
            return data_reply(requested)

        origin = await CacheStandIn(ORIGIN, "origin", note_age).open(nursery)
        log = await FaultyLog().open(nursery)
        log.publish(1, HEARTBEAT, b"")
        flow = RESPONSE_CACHE_RATE
        async with run_platform(
            tmp_path, [origin], log, flow_bytes_per_s=flow, env=shim.environment
        ) as router_process:
            assert (await router_process.request_object(cls))[0] == 200
            await log.until(1)
            shim.step_wall_clock(0.0 if is_wrong_at_start else step)
            purged_at = time.time()
            await log.send_frame(2, GROUP_PURGE, struct.pack(">HQ", GROUP, int(purged_at * 1000)))
            await trio.sleep(0.5)
            before = len(limits)
            assert (await router_process.request_object(cls))[0] == 200
            assert len(limits) == before + 1
            assert 0 < limits[-1] <= time.time() - purged_at
        nursery.cancel_scope.cancel()


def test_age_of_a_timestamp_never_exceeds_its_true_age() -> None:
    """The clocks differ by an hour in either direction; timestamps arrive after 0.2 to 9 s."""
    for difference in (3600.0, -3600.0, 0.0):
        ages = TimestampAges()
        for made_at, delay in ((100.0, 0.5), (101.0, 0.2), (102.0, 9.0)):
            age = ages.age(made_at, made_at + delay + difference)
            assert 0.0 <= age <= delay
        assert age == pytest.approx(0.0 if difference < 0 else 9.0 - 0.2)


def test_timestamp_from_the_future_does_not_make_later_ones_seem_old() -> None:
    """The source's clock is an hour ahead for one timestamp, and correct for the next."""
    ages = TimestampAges()
    assert ages.age(3700.0, 100.5) == 0.0
    assert ages.age(101.0, 101.3) == pytest.approx(0.3)


def test_steps_of_the_wall_clock_are_counted() -> None:
    """A change of at least half a second is counted once as a step; a smaller one is not."""

    class Machine:
        """A machine whose clocks are set by the test."""

        now, offset = 50.0, 1000.0

        def monotonic(self) -> float:
            """Return the monotonic time."""
            return self.now

        def wall(self) -> float:
            """Return the wall clock time."""
            return self.now + self.offset

    machine = Machine()
    monitor = ClockStepMonitor(machine)
    for offset, count in ((1000.2, 0), (1003.0, 1), (1003.0, 1), (-2597.0, 2)):
        machine.now += 1.0
        machine.offset = offset
        monitor.check()
        assert monitor.step_count == count
