"""Processes for measurements: a router of any checkout of this project, stand-in caches and load."""

from __future__ import annotations

import contextlib
import itertools
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from brackenlane.lab.cluster.ports import reserve_port

FIRST_PORT, PORT_COUNT = 26_000, 6_000  # not used by the tests and the test clusters
PORTS_PER_PROCESS = 97
port_numbers = itertools.count()
ROOT = Path(__file__).parent.parent.parent

SETTINGS: dict[str, Any] = {
    "Classes": [
        {"Name": "video-parts", "TargetS": 0.5, "AimStretch": 2.0, "GiveUpS": 6.0, "Worth": 2.0},
        {"Name": "sheet-pages", "TargetS": 0.3, "AimStretch": 2.0, "GiveUpS": 2.5},
        {"Name": "sheet-submit", "TargetS": 0.8, "GiveUpS": 3.0, "Worth": 3.0, "Effect": "fragile"},
    ],
    "Dcs": ["central", "edge-1"],
    "Locality": "edge-1",
    "Me": 0,
    "NInstances": 1,
    "Skus": ["type-a", "parent", "origin"],
    "QuantumS": 0.002,
    "FamilyInfo": {
        "SecondTierKind": 1,
        "StoreKind": 2,
        "BypassAllowed": True,
        "FreshForS": [0, 8, 0],
        "GraceForS": [0, 30, 0],
        "Uncached": [False, False, True],
        "GoneEverywhereS": 6.0,
        "HubByZone": [0, 0],
        "SeatsByZone": [0, 1],
        "SharesFills": True,
    },
    "Guarantees": {"AnswerSlackS": 0.008},
    "Limits": {
        "Cancel": True,
        "DialTimeoutS": 0.4,
        "MaxAttempts": 4,
        "SecondCopies": True,
        "MayProbe": True,
        "MaxRetryAfterS": 2.0,
    },
}


def free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that are free now.

    They lie below the ephemeral ports, which connections of other programs may take before they are used.
    """
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(reserve_port(_next_ports())) for _ in range(count)]
        return [int(sock.getsockname()[1]) for sock in socks]


def _next_ports() -> Iterator[int]:
    """Yield the ports behind the one taken last; each process begins at an offset of its own."""
    for _ in range(PORT_COUNT):
        yield FIRST_PORT + (os.getpid() * PORTS_PER_PROCESS + next(port_numbers)) % PORT_COUNT


def platform_config(
    port: int,
    caches: Sequence[int],
    origin: int,
    *,
    weight: float = 1000.0,
    memory_mb: int = 128,
    flow: float = 0.0,
) -> bytes:
    """Return a configuration file of the platform.

    caches, origin: ports of the edge caches and of the origin; flow: bytes per second.
    """
    targets = [
        {
            "uid": f"s-{n + 1:08x}",
            "endpoint": f"127.0.0.1:{at}",
            "az": "edge-1",
            "model": model,
            "pod_group": 0,
            "state": "in_service",
            "capacity_hint": weight,
            "boot_ms": 0,
        }
        for n, (at, model) in enumerate([*((at, "type-a") for at in caches), (origin, "origin")])
    ]
    return orjson.dumps(
        {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "seed": "8c1f",
            "settings": SETTINGS,
            "known": {
                "seq": 1,
                "results": [{"seq": 1, "fleet": {"rev": 1, "all": True, "targets": targets}}],
            },
            "limits": {"sockets": 1024, "memory_mb": memory_mb},
            "flow_bytes_per_s": flow,
            "link_bytes_per_s": 12 * flow,
        }
    )


@dataclass
class RouterProcess:
    """A running router process."""

    process: subprocess.Popen[bytes]
    port: int
    log: Path

    def cpu(self) -> float:
        """CPU seconds used so far (utime and stime of proc(5))."""
        arguments = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(arguments[11]) + int(arguments[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self) -> float:
        """Resident memory in MB."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def start_pinned(arguments: list[str], cores: Sequence[int], **options: Any) -> subprocess.Popen[bytes]:
    """Start a process that runs on these cores only."""
    return subprocess.Popen(arguments, preexec_fn=lambda: os.sched_setaffinity(0, cores), **options)


@contextlib.contextmanager
def busy_loop(core: int) -> Iterator[None]:
    """Run a busy loop on a core: another process pinned to the core gets about half of it."""
    process = start_pinned([sys.executable, "-c", "while True: pass"], [core])
    try:
        yield
    finally:
        process.kill()
        process.wait()


@contextlib.contextmanager
def router_process(
    tree: Path,
    caches: Sequence[int],
    origin: int,
    cores: Sequence[int],
    env: dict[str, str] | None = None,
    **config: Any,
) -> Iterator[RouterProcess]:
    """Run the router of a checkout, and kill it at the end."""
    [port] = free_ports(1)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        log = Path(folder) / "log"
        path.write_bytes(platform_config(port, caches, origin, **config))
        with log.open("wb") as out:
            process = start_pinned(
                [sys.executable, "-m", "brackenlane"],
                cores,
                cwd=tree,
                stderr=out,
                env={**os.environ, "GW_CONFIG": str(path), **(env or {})},
            )
        running = RouterProcess(process, port, log)
        try:
            for _ in range(200):
                if b"serves on" in log.read_bytes():
                    break
                assert process.poll() is None, log.read_text()
                time.sleep(0.05)
            yield running
        finally:
            process.kill()
            process.wait()


@contextlib.contextmanager
def stand_in_caches(
    count: int, cores: Sequence[int], delay: float = 0.02
) -> Iterator[tuple[list[int], int, dict[str, Any]]]:
    """Run caches and an origin in one process.

    Yield the ports of the caches, the port of the origin and a dict, which receives their counts at the end.
    """
    ports = free_ports(count + 1)
    seen: dict[str, Any] = {}
    process = start_pinned(
        [sys.executable, "-m", "brackenlane.lab.cache_servers", *map(str, ports), "--delay", str(delay)],
        cores,
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout
        assert process.stdout.readline() == b"ready\n"
        yield ports[:-1], ports[-1], seen
        output, _ = process.communicate(timeout=10)
        seen.update(orjson.loads(output))
    finally:
        process.kill()
        process.wait()


def start_load(
    port: int,
    phases: Sequence[tuple[float, float]],
    cores: Sequence[int],
    *,
    seed: int = 1,
    connections: int = 320,
    objects: int = 100_000,
) -> list[subprocess.Popen[bytes]]:
    """Start a load process on each core, the rates divided among them; `collect_reports` waits for them."""
    return [
        start_pinned(
            [
                sys.executable,
                "-m",
                "brackenlane.lab.load",
                str(port),
                *(f"{seconds}:{rate / len(cores)}" for seconds, rate in phases),
                "--seed",
                str(seed * 100 + n),
                "--connections",
                str(connections // len(cores)),
                "--objects",
                str(objects),
            ],
            [core],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        for n, core in enumerate(cores)
    ]


def collect_reports(loads: list[subprocess.Popen[bytes]]) -> dict[str, Any]:
    """Wait for the load processes and return the sum of their reports."""
    total: dict[str, Any] = {}
    for process in loads:
        output, _ = process.communicate()
        for name, value in orjson.loads(output).items():
            if isinstance(value, dict):
                sums = total.setdefault(name, {})
                for key, number in value.items():
                    sums[key] = sums.get(key, 0) + number
            else:
                total[name] = total[name] + value if name in total else value
    for name in ("waits", "refusals"):
        total[name] = sorted(total.get(name, []))
    return total


@contextlib.contextmanager
def checkout(rev: str) -> Iterator[Path]:
    """Check out a revision of this repository in a temporary worktree."""
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder) / "tree"
        subprocess.run(
            ["git", "worktree", "add", "--detach", str(tree), rev], cwd=ROOT, check=True, capture_output=True
        )
        try:
            yield tree
        finally:
            subprocess.run(
                ["git", "worktree", "remove", "--force", str(tree)], cwd=ROOT, check=True, capture_output=True
            )
