"""Real routers as processes: their files, starts and ends. Only those started here are ever signalled."""

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

PORTS = iter(range(20_000, 25_000))  # below the kernel's own; those behind are the tests'
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


def owner(port: int, routers: Sequence[RouterProcess]) -> int:
    """The number of the router that a connection comes from, by its port (proc(5)); -1: nobody's."""
    end = f" 0100007F:{port:04X} "
    inode = ""
    with open("/proc/net/tcp") as table:
        for line in table:
            if end in line[:40] and line[6:].startswith(end.strip()):
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


def _die_with_its_parent() -> None:
    """Whatever ends the test cluster ends the process (prctl(2), PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


@dataclass
class RouterProcess:
    """One appliance."""

    number: int
    folder: Path
    record: Record
    tree: Path  # the checkout that it runs from
    clock: tuple[float, float] | None = None
    virtual: Process | None = None  # its part in virtual time
    process: subprocess.Popen[bytes] | None = None
    _http: socket.socket = field(default_factory=lambda: reserve_port(PORTS))
    _dns: socket.socket = field(default_factory=lambda: reserve_port(PORTS))

    def __post_init__(self) -> None:
        self.http: int = self._http.getsockname()[1]
        self.dns: int = self._dns.getsockname()[1]

    @property
    def name(self) -> str:
        """Its name in its file."""
        return f"router-{self.number}"

    @property
    def log(self) -> Path:
        """What it says, over all its lives."""
        return self.folder / f"{self.name}.log"

    @property
    def last_list(self) -> Path:
        """Its last list."""
        return self.folder / f"{self.name}.last.json"

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def write(
        self,
        caches: list[tuple[str, str, int]],
        store: int,
        *,
        routers: int,
        purge_propagation_time: float,
        weight: float,
        wider: float,
        coldstart: str,
    ) -> None:
        """The operator's file: caches as (id, role, port)."""
        lines = [
            f'name = "{self.name}"',
            f'http = "127.0.0.1:{self.http}"',
            f'dns = "127.0.0.1:{self.dns}"',
            'zone = "caches.test."',
            f'console = "{self.name}.sock"',
            f'redis = "127.0.0.1:{store}"',
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
        lines.append(f'[discovery]\nlast_list = "{self.last_list.name}"\n{coldstart}')
        (self.folder / f"{self.name}.toml").write_text("\n".join(lines))

    def start(self) -> None:
        """A new process."""
        assert not self.alive
        arguments = ["appliance", str(self.folder / f"{self.name}.toml")]
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, *self._program(), *arguments],
                cwd=self.tree,
                stderr=out,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                env={**os.environ, "PYTHONPATH": str(self.tree)},
                preexec_fn=_die_with_its_parent,
                pass_fds=[self.virtual.wake] if self.virtual else [],
            )
        if self.virtual:
            self.virtual.popen = self.process
        self.record.add("start", self.number, pid=self.process.pid)

    def _program(self) -> list[str]:
        """The arguments of the interpreter that lead to the program, by its clock."""
        if self.virtual:
            return self.virtual.launch(self.record.unix - self.record.begun, self.clock or (0.0, 1.0))
        if self.clock:
            return ["-m", "brackenlane.lab.cluster.clock_preload", *map(str, self.clock)]
        return ["-m", "brackenlane"]

    def signal(self, number: signal.Signals, kind: str) -> None:
        """To the process, if it runs."""
        if self.alive and self.process:
            self.record.add(kind, self.number)
            self.process.send_signal(number)

    async def ended(self, within: float = 10.0) -> None:
        """Wait for its end; kill what outlives the time."""
        with trio.move_on_after(within):
            while self.alive:
                await trio.sleep(0.02)
        if self.alive and self.process:
            self.process.kill()
        if self.process:
            self.process.wait()

    async def serves(self, within: float = 60.0) -> bool:
        """Wait until it says that it is healthy; False if it ends or takes longer."""
        with trio.move_on_after(within):
            while self.alive:
                if await self.healthy():
                    self.record.add("healthy", self.number)
                    return True
                await trio.sleep(0.05)
        return False

    async def healthy(self) -> bool:
        """What it says of its health."""
        with trio.move_on_after(1.0), contextlib.suppress(OSError, trio.BrokenResourceError):
            async with await trio.open_tcp_stream("127.0.0.1", self.http) as stream:
                await stream.send_all(b"GET /-/healthy HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                return b" 200 " in await stream.receive_some(4096)
        return False

    async def console(self, line: str) -> str:
        """One command at the operator's terminal; empty if there is nobody."""
        answer = b""
        with trio.move_on_after(5.0), contextlib.suppress(OSError, trio.BrokenResourceError):
            async with await trio.open_unix_socket(str(self.folder / f"{self.name}.sock")) as stream:
                await stream.send_all(line.encode() + b"\n")
                while not answer.endswith(b"\n\n"):
                    if not (data := await stream.receive_some(65_536)):
                        break
                    answer += data
        return answer.decode().removesuffix("\n")

    def release(self) -> None:
        """Let others have its ports."""
        self._http.close()
        self._dns.close()

    def memory(self) -> float:
        """Resident MB."""
        if not self.alive or not self.process:
            return 0.0
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20
