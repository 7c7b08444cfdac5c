"""Virtual time shared by several processes.

It is independent of their real run time, and hangs are reported.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import trio

from brackenlane.lab.cluster import time_coordinator
from brackenlane.lab.cluster.scenario import Scenario, run_in_virtual_time
from brackenlane.lab.cluster.script import Script, Step, read
from brackenlane.lab.cluster.time_coordinator import NeverIdle, NoDeadline, Process, TimeCoordinator

# Repeatedly uses the processor, waits for a thread, sends its clock readings and sleeps 10 s.
WORKER = """
import sys, time
from pathlib import Path
import trio
from brackenlane.lab.cluster.on_shared_clock import keep_time
from brackenlane.lab.cluster.shared_clock import ProcessTime, SharedClock

shared = SharedClock(Path(sys.argv[1]))
keep_time(shared, 0, int(sys.argv[2]))

async def main():
    stream = await trio.open_tcp_stream("127.0.0.1", int(sys.argv[3]))
    while True:
        sum(range(int(sys.argv[4])))
        await trio.to_thread.run_sync(time.sleep, 0.05)
        await stream.send_all(f"{trio.current_time()} {time.monotonic()} {time.time()}\\n".encode())
        await trio.sleep(10.0)

with ProcessTime(shared, lambda now: 1e9 + now):
    trio.run(main)
"""


class Worker:
    """Starts the worker process and collects the clock readings that it sends."""

    def __init__(self, tmp_path: Path, process: Process, busy: int = 1_000_000) -> None:
        self._file, self._process, self._busy = tmp_path / "worker.py", process, busy
        self.readings: list[tuple[float, list[float]]] = []  # time of arrival; the clock readings in one line

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to listen, then start the process."""
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, self._receive, [listener])
        self._file.write_text(WORKER)
        port = listener.socket.getsockname()[1]
        arguments = [self._process.shared.path, self._process.wake_fd, port, self._busy]
        self._process.popen = subprocess.Popen(
            [sys.executable, str(self._file), *map(str, arguments)],
            pass_fds=[self._process.wake_fd],
            env={**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent)},
        )

    async def _receive(self, stream: trio.SocketStream) -> None:
        async for data in stream:
            self.readings += [
                (trio.current_time(), list(map(float, line.split()))) for line in data.splitlines()
            ]

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process.popen:
            self._process.popen.kill()
            self._process.popen.wait()


def test_busy_processes_take_no_time(tmp_path: Path) -> None:
    """Time doesn't advance while a process is busy or waits for a thread; all processes agree on the time."""
    coordinator = TimeCoordinator(tmp_path / "clock", 1)
    worker = Worker(tmp_path, coordinator.processes[0])

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await worker.start(nursery)
            await trio.sleep(25.0)
            nursery.cancel_scope.cancel()

    try:
        coordinator.run(main)
    finally:
        worker.end()
    assert len(worker.readings) == 3
    for n, (received, (own, monotonic, unix)) in enumerate(worker.readings):
        assert own == monotonic == received  # data arrives at the virtual time at which it was sent
        assert unix == pytest.approx(1e9 + own, abs=1e-6)
        assert 10.0 * n <= own <= 10.0 * n + (n + 1) * time_coordinator.MIN_STEP_S


def test_stopped_process_does_not_delay_others(tmp_path: Path) -> None:
    """Time advances while a process is stopped for 30 s; once continued, it runs on at the current time."""
    coordinator = TimeCoordinator(tmp_path / "clock", 1)
    worker = Worker(tmp_path, coordinator.processes[0])

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await worker.start(nursery)
            await trio.sleep(5.0)
            assert coordinator.processes[0].popen
            coordinator.processes[0].popen.send_signal(signal.SIGSTOP)
            await trio.sleep(30.0)
            assert len(worker.readings) == 1
            coordinator.processes[0].popen.send_signal(signal.SIGCONT)
            await trio.sleep(5.0)
            nursery.cancel_scope.cancel()

    try:
        coordinator.run(main)
    finally:
        worker.end()
    times = [received for received, _ in worker.readings]
    assert times == pytest.approx([0.0, 35.0], abs=4 * time_coordinator.MIN_STEP_S)


def test_busy_process_is_reported(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A process that stays busy ends the run with an error that names its number."""
    monkeypatch.setattr(time_coordinator, "HANG_TIMEOUT_S", 0.5)
    coordinator = TimeCoordinator(tmp_path / "clock", 1)
    worker = Worker(tmp_path, coordinator.processes[0], busy=10**12)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await worker.start(nursery)
            await trio.sleep(1.0)

    try:
        with pytest.RaisesGroup(
            pytest.RaisesExc(NeverIdle, match=r"processes \[0\]"), flatten_subgroups=True
        ):
            coordinator.run(main)
    finally:
        worker.end()


def test_deadlock_of_all_processes_is_reported(tmp_path: Path) -> None:
    """If no process has a deadline, time could never advance: the run ends with an error."""
    with pytest.RaisesGroup(pytest.RaisesExc(NoDeadline, match="nobody"), flatten_subgroups=True):
        TimeCoordinator(tmp_path / "clock", 0).run(trio.sleep_forever)


def test_invariants_find_lateness_in_virtual_time(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A router is stopped without an event in the record: the invariant finds its late answers."""

    async def stall(run_scenario: Scenario, step: Step) -> None:
        process = run_scenario.routers[1].process
        assert process
        process.send_signal(signal.SIGSTOP if step.do == "stop" else signal.SIGCONT)

    monkeypatch.setattr(Scenario, "_run_step", stall)
    outcome = run_in_virtual_time(_two_routers("stop", "cont"), 1, tmp_path)
    assert outcome.faults.pop("answered")
    assert not any(outcome.faults.values())


def _two_routers(first: str, second: str) -> Script:
    """Return a script with two routers and a step at 1 s and at 4 s."""
    return read(
        'name = "t"\ndoormans = 2\nboxes = 2\nseconds = 6.0\nrate = 20.0\n'
        f'[[at]]\nsecond = 1.0\ndo = "{first}"\n[[at]]\nsecond = 4.0\ndo = "{second}"\n',
        "t.toml",
    )
