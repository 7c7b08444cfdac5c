"""Runs one crowd against one real router, and reports its memory and the answers of other clients."""

from __future__ import annotations

import contextlib
import os
import sys
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
import trio

from brackenlane.lab import site
from brackenlane.lab.crowds.caches import CrowdCache
from brackenlane.lab.crowds.clients import WellBehavedResults, run_crowd_client, run_well_behaved_client
from brackenlane.lab.crowds.requests import MAX_CONNECTIONS, Crowd, plan

DESCRIPTORS = 1024
WELL_BEHAVED_CLIENTS = 8
START_TIMEOUT = 20.0  # seconds until the router serves
TRANSFER_RATE = 1e6  # bytes per second of one transfer; setting it enables the response cache
KB_PER_MB = 1024


def _read_status_mb(pid: int, field_name: str) -> float:
    """Return a value of proc(5), status, in MB; 0 if the process has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(f"{field_name}:"):
                return int(line.split()[1]) / KB_PER_MB
    return 0.0


def peak_memory_mb(pid: int) -> float:
    """Return the peak of the resident memory of a process in MB; 0 if it has ended."""
    return _read_status_mb(pid, "VmHWM")


@dataclass
class CrowdRouter:
    """A router under a crowd, with its caches."""

    process: trio.Process
    port: int
    ops_port: int
    log: Path
    caches: list[CrowdCache]
    config: Path

    def memory_mb(self) -> tuple[float, float]:
        """Return the peak of the resident memory and the anonymous memory now, in MB (proc(5))."""
        return peak_memory_mb(self.process.pid), _read_status_mb(self.process.pid, "RssAnon")


@dataclass
class CrowdResult:
    """Measured result of one run."""

    crowd: Crowd
    memory_mb: int
    start_mb: float  # resident memory before the crowd
    peak_mb: float = 0.0
    peak_anonymous_mb: float = 0.0
    exit_code: int | None = None  # None: the router was still running at the end
    others: WellBehavedResults = field(default_factory=WellBehavedResults)
    metrics: dict[str, float] = field(default_factory=dict)
    log: str = ""

    @property
    def is_within_limit(self) -> bool:
        """Whether the process lived and its peak stayed within the memory of its settings."""
        return self.exit_code is None and self.peak_mb <= self.memory_mb

    def summary(self) -> dict[str, Any]:
        """Return the figures as one JSON object."""
        waits = sorted(self.others.waits) or [0.0]
        return {
            "crowd": self.crowd.name,
            "memory_mb": self.memory_mb,
            "start_mb": round(self.start_mb, 1),
            "peak_mb": round(self.peak_mb, 1),
            "peak_anonymous_mb": round(self.peak_anonymous_mb, 1),
            "exit_code": self.exit_code,
            "within": self.is_within_limit,
            "others_sent": self.others.sent,
            "others_statuses": {str(key): value for key, value in sorted(self.others.statuses.items())},
            "others_late": self.others.late,
            "others_unanswered": self.others.unanswered,
            "others_worst_wait_s": round(waits[-1], 3),
            "memory_metrics": {name: value for name, value in self.metrics.items() if "memory" in name},
        }


@contextlib.asynccontextmanager
async def crowd_router(
    memory_mb: int, tree: Path = site.ROOT, python: str = sys.executable, **settings: Any
) -> AsyncIterator[CrowdRouter]:
    """Run a router of a checkout with three caches; settings: values of the configuration to replace."""
    async with trio.open_nursery() as nursery:
        caches = [await CrowdCache(f"s-{n:08x}").open(nursery) for n in (1, 2, 3)]
        port, ops_port = site.free_ports(2)
        with tempfile.TemporaryDirectory() as folder:
            config = _configuration(port, caches, memory_mb)
            config |= {"ops": f"127.0.0.1:{ops_port}", **settings}
            path = Path(folder) / "config.json"
            path.write_bytes(orjson.dumps(config))
            log = Path(folder) / "log"
            with log.open("wb") as out:
                process = await trio.lowlevel.open_process(
                    [python, "-m", "brackenlane"],
                    cwd=tree,
                    stderr=out,
                    env={**os.environ, "GW_CONFIG": str(path), "TMPDIR": folder},
                )
            try:
                with trio.fail_after(START_TIMEOUT):
                    while b"serves on" not in log.read_bytes():
                        assert process.poll() is None, log.read_text()
                        await trio.sleep(0.02)
                yield CrowdRouter(process, port, ops_port, log, caches, path)
            finally:
                if process.poll() is None:
                    process.kill()
                with trio.CancelScope(shield=True):
                    await process.wait()
        nursery.cancel_scope.cancel()


def _configuration(port: int, caches: list[CrowdCache], memory_mb: int) -> dict[str, Any]:
    *edges, origin = [cache.port for cache in caches]
    config: dict[str, Any] = orjson.loads(
        site.platform_config(port, edges, origin, memory_mb=memory_mb, flow=TRANSFER_RATE)
    )
    config["limits"]["sockets"] = DESCRIPTORS
    return config


async def read_metrics(port: int) -> dict[str, float]:
    """Return the metrics of a router's admin API."""
    received = b""
    with contextlib.suppress(OSError, trio.BrokenResourceError):
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await stream.send_all(b"GET /status/metrics HTTP/1.1\r\nHost: a\r\n\r\n")
            while more := await stream.receive_some(65536):
                received += more
    lines = received.partition(b"\r\n\r\n")[2].decode().splitlines()
    samples = [line.rpartition(" ") for line in lines if line and not line.startswith("#")]
    return {name: float(value) for name, _, value in samples}


async def run_crowd(
    crowd: Crowd,
    memory_mb: int,
    seconds: float = 6.0,
    connections: int = MAX_CONNECTIONS,
    tree: Path = site.ROOT,
    python: str = sys.executable,
) -> CrowdResult:
    """Run a crowd for some seconds beside well-behaved clients."""
    crowd_plan = plan(crowd, connections)
    async with crowd_router(memory_mb, tree, python) as router:
        result = CrowdResult(crowd, memory_mb, router.memory_mb()[0])
        async with trio.open_nursery() as nursery:
            for _ in range(WELL_BEHAVED_CLIENTS):
                nursery.start_soon(run_well_behaved_client, router.port, result.others)
            for _ in range(crowd_plan.connections):
                nursery.start_soon(run_crowd_client, router.port, crowd_plan)
            nursery.start_soon(_watch_memory, router, result)
            with trio.move_on_after(seconds):
                await router.process.wait()
            nursery.cancel_scope.cancel()
        if router.process.poll() is None:
            result.metrics = await read_metrics(router.ops_port)
            result.peak_mb = router.memory_mb()[0]
        result.exit_code = router.process.poll()
        result.log = router.log.read_text()
    return result


async def _watch_memory(router: CrowdRouter, result: CrowdResult) -> None:
    while router.process.poll() is None:
        peak, anonymous = router.memory_mb()
        result.peak_mb = max(result.peak_mb, peak)
        result.peak_anonymous_mb = max(result.peak_anonymous_mb, anonymous)
        await trio.sleep(0.02)
