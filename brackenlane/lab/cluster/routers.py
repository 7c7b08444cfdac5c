"""Routers as processes: their files, start and end. Only processes started here are signalled."""

from __future__ import annotations

import contextlib
import ctypes
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import trio

from brackenlane.lab.cluster.ports import reserve_port
from brackenlane.lab.cluster.record import Record
from brackenlane.lab.cluster.time_coordinator import Process

PORTS = iter(range(20_000, 25_000))  # below the kernel's ephemeral ports; the tests use those from 25,000
CLASSES = """
[[class]]
name = "video-parts"
aim = 0.5
aim_stretch = 2.0
give_up = 6.0
worth = 2.0
[[class]]
name = "sheet-pages"
aim = 0.3
aim_stretch = 2.0
give_up = 2.5
fresh = 8.0
grace = 30.0
stale_worth = 0.5
[[class]]
name = "sheet-submit"
aim = 0.8
give_up = 3.0
worth = 3.0
effect = "unsafe"
uncached = true
"""


def find_router_by_port(port: int, routers: Sequence[RouterProcess]) -> int:
    """Return the number of the router that has a connection open from a port (proc(5)); -1 if none has."""
    source_address = f" 0100007F:{port:04X} "
    inode = ""
    with open("/proc/net/tcp") as table:
        for line in table:
            if source_address in line[:40] and line[6:].startswith(source_address.strip()):
                inode = line.split()[9]
                break
    for router in routers:
        if inode and router.alive and router.process:
            folder = Path(f"/proc/{router.process.pid}/fd")
            for entry in folder.iterdir():
                with contextlib.suppress(OSError):
                    if os.readlink(entry) == f"socket:[{inode}]":
                        return router.number
    return -1


def _kill_with_parent() -> None:
    """Make the kernel kill this process when the test cluster ends (prctl(2), PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


@dataclass
class RouterProcess:
    """One router, run as the `appliance` command."""

    number: int
    folder: Path
    record: Record
    tree: Path  # checkout that the router runs from
    clock: tuple[float, float] | None = None  # error of its wall clock: (offset in seconds, rate)
    virtual_process: Process | None = None  # its slot in virtual time; None: real time
    process: subprocess.Popen[bytes] | None = None
    _http_socket: socket.socket = field(default_factory=lambda: reserve_port(PORTS))
    _dns_socket: socket.socket = field(default_factory=lambda: reserve_port(PORTS))

    def __post_init__(self) -> None:
        self.http_port: int = self._http_socket.getsockname()[1]
        self.dns_port: int = self._dns_socket.getsockname()[1]

    @property
    def name(self) -> str:
        """The name in its configuration file."""
        return f"router-{self.number}"

    @property
    def log_path(self) -> Path:
        """The file of its log output, over all its starts."""
        return self.folder / f"{self.name}.log"

    @property
    def snapshot_path(self) -> Path:
        """The file of its snapshot of the caches."""
        return self.folder / f"{self.name}.last.json"

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def write_config(
        self,
        caches: list[tuple[str, str, int]],
        store_port: int,
        *,
        routers: int,
        purge_propagation_time: float,
        weight: float,
        wider: float,
        coldstart: str,
    ) -> None:
        """Write its configuration file. `caches` are (id, role, port); the ports may be those of links."""
        lines = [
            f'name = "{self.name}"',
            f'http = "127.0.0.1:{self.http_port}"',
            f'dns = "127.0.0.1:{self.dns_port}"',
            'zone = "caches.test."',
            f'console = "{self.name}.sock"',
            f'redis = "127.0.0.1:{store_port}"',
            "[settings]",
            'location = "branch"',
            'locations = ["head-office", "branch"]',
            "hub_of = [0, 0]",
            f"seats = [0, {routers}]",
            f"gateways = {routers}",
            f"gateway = {self.number}",
            "connect_timeout = 0.4",
            f"purge_done = {purge_propagation_time}",
            "max_attempts = 4",
            "may_cancel = true",
            "direct = true",
            "joins = true",
            "edge_cold = { share = 0.3, ramp = 18.0, factor = 3.0, span = 1.0 }",
            "parent_cold = { share = 0.3, ramp = 18.0, factor = 3.0, span = 1.0 }",
            CLASSES,
        ]
        for cache, role, port in caches:
            zone = "branch" if role == "edge" else "head-office"
            lines.append(
                f'[[box]]\nid = "{cache}"\nhost = "127.0.0.1"\nport = {port}\nzone = "{zone}"\n'
                f'role = "{role}"\nweight = {weight * (1 if role == "edge" else wider)}'
            )
        lines.append(f'[discovery]\nlast_list = "{self.snapshot_path.name}"\n{coldstart}')
        (self.folder / f"{self.name}.toml").write_text("\n".join(lines))

    def start(self) -> None:
        """Start a new process; the previous one must have ended."""
        assert not self.alive
        arguments = ["appliance", str(self.folder / f"{self.name}.toml")]
        with self.log_path.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, *self._interpreter_arguments(), *arguments],
                cwd=self.tree,
                stderr=out,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                env={**os.environ, "PYTHONPATH": str(self.tree)},
                preexec_fn=_kill_with_parent,
                pass_fds=[self.virtual_process.wake_fd] if self.virtual_process else [],
            )
        if self.virtual_process:
            self.virtual_process.popen = self.process
        self.record.add("start", self.number, pid=self.process.pid)

    def _interpreter_arguments(self) -> list[str]:
        """Return the interpreter's arguments that run the router with its clock."""
        if self.virtual_process:
            return self.virtual_process.launch_arguments(
                self.record.start_unix - self.record.start_monotonic, self.clock or (0.0, 1.0)
            )
        if self.clock:
            return ["-m", "brackenlane.lab.cluster.clock_preload", *map(str, self.clock)]
        return ["-m", "brackenlane"]

    def signal(self, number: signal.Signals, kind: str) -> None:
        """Send a signal to the process if it runs; record it as an event of a kind."""
        if self.alive and self.process:
            self.record.add(kind, self.number)
            self.process.send_signal(number)

    async def wait_ended(self, timeout_s: float = 10.0) -> None:
        """Wait until the process ends; kill it after `timeout_s` seconds."""
        with trio.move_on_after(timeout_s):
            while self.alive:
                await trio.sleep(0.02)
        if self.alive and self.process:
            self.process.kill()
        if self.process:
            self.process.wait()

    async def wait_healthy(self, timeout_s: float = 60.0) -> bool:
        """Wait until the router is healthy; return False if it ends first or after `timeout_s` seconds."""
        with trio.move_on_after(timeout_s):
            while self.alive:
                if await self.healthy():
                    self.record.add("healthy", self.number)
                    return True
                await trio.sleep(0.05)
        return False

    async def healthy(self) -> bool:
        """Whether the router's health check succeeds."""
        with trio.move_on_after(1.0), contextlib.suppress(OSError, trio.BrokenResourceError):
            async with await trio.open_tcp_stream("127.0.0.1", self.http_port) as stream:
                await stream.send_all(b"GET /-/healthy HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                return b" 200 " in await stream.receive_some(4096)
        return False

    async def console(self, line: str) -> str:
        """Send one command to the router's console; return the answer, empty if it can't be reached."""
        answer = b""
        with trio.move_on_after(5.0), contextlib.suppress(OSError, trio.BrokenResourceError):
            async with await trio.open_unix_socket(str(self.folder / f"{self.name}.sock")) as stream:
                await stream.send_all(line.encode() + b"\n")
                while not answer.endswith(b"\n\n"):
                    if not (chunk := await stream.receive_some(65_536)):
                        break
                    answer += chunk
        return answer.decode().removesuffix("\n")

    def release(self) -> None:
        """Release its reserved ports."""
        self._http_socket.close()
        self._dns_socket.close()

    def memory(self) -> float:
        """Return the resident memory in MB; 0 if the process doesn't run."""
        if not self.alive or not self.process:
            return 0.0
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20
