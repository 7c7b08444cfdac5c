"""A small site for the cases of the second review: routers as processes, their peers as stand-ins.

The stand-ins run in the process of the case; each router is started with the command of its deploy file. All
addresses are loopback addresses. Times in the record are seconds since the start of the case.
"""

from __future__ import annotations

import contextlib
import logging
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import trio

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

from brackenlane.lab.cluster.ports import reserve_port  # noqa: E402
from brackenlane.lab.stand_ins.cache_commands import ReceivedRequest  # noqa: E402
from brackenlane.lab.stand_ins.cache_server import CacheStandIn, data_reply  # noqa: E402

log = logging.getLogger(__name__)

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
TIME_LIMIT = 105.0  # seconds for a whole case; it may run for 120
START_LIMIT = 20.0  # seconds until a started router answers its health check
PORTS = range(12_000, 19_000)  # below the ports that the kernel gives to outgoing connections

reservations: list[socket.socket] = []  # of the ports of this case, for as long as it runs

SETTINGS = """
[settings]
location = "branch"
locations = ["head-office", "branch"]
hub_of = [0, 0]
seats = [0, {seats}]
connect_timeout = 0.4
purge_done = 6.0
max_attempts = 4
may_cancel = true
direct = true
joins = true
edge_cold = {{ share = 0.3, ramp = 18.0, factor = 3.0, span = 1.0 }}
{settings}

[[class]]
name = "video-parts"
aim = 0.5
aim_stretch = 2.0
give_up = 6.0
worth = 2.0
in_parts = true

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
"""  # as in deploy/appliance.toml


class NotRunError(Exception):
    """The case could not run: nothing is said of the rule."""


def is_troubled() -> bool:
    """Return whether the case plays its disruption (TROUBLE=0: it does not)."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that is unused for TCP and UDP; it is kept from other cases until this one ends."""
    for port in random.sample(PORTS, 200):
        try:
            reservation = reserve_port([port])
        except OSError:
            continue
        with socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                reservation.close()
                continue
        reservations.append(reservation)
        return port
    raise NotRunError("no free port")


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        """Begin the record anew."""
        self._began = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.add("case", f"TROUBLE={int(is_troubled())}")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began

    def add(self, who: str, text: str) -> float:
        """Write one line; return its time."""
        now = self.now()
        self._file.write(f"{now:8.3f} {who}: {text}\n")
        self._file.flush()
        return now

    def verdict(self, broken: list[str]) -> int:
        """Write the breaks of the rule; return the exit code of the case."""
        for text in broken[:20]:
            self.add("BROKEN", text)
        if len(broken) > 20:
            self.add("BROKEN", f"and {len(broken) - 20} more")
        self.add("verdict", "the rule was broken" if broken else "the rule held")
        print("BROKEN: " + broken[0] if broken else "held", flush=True)
        return BROKEN if broken else HELD


class Router:
    """One appliance: its file, its process, its console and its two fronts."""

    def __init__(self, folder: Path, record: Record, name: str) -> None:
        """folder: of its own file, socket and snapshot."""
        self.folder = folder / name
        self.folder.mkdir()
        self.name = name
        self.http, self.dns = free_port(), free_port()
        self.file = self.folder / "appliance.toml"
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None
        self._log = (self.folder / "log").open("ab")

    def write_file(
        self, caches: str, more: str = "", seats: int = 1, top: str = "", settings: str = ""
    ) -> None:
        """Write the operator's file.

        top: keys before the first table; more: tables after the last; settings: keys of that table.
        """
        self.file.write_text(
            f'name = "{self.name}"\nhttp = "127.0.0.1:{self.http}"\ndns = "127.0.0.1:{self.dns}"\n'
            f'zone = "caches.branch.example."\nconsole = "console.sock"\n{top}\n'
            f"{SETTINGS.format(seats=seats, settings=settings)}\n{caches}\n{more}\n"
        )

    async def start(self) -> None:
        """Start the process and wait until it serves."""
        self._process = process = self._spawn()
        self._record.add(self.name, "process started")
        with trio.move_on_after(START_LIMIT):
            while True:
                if process.poll() is not None:
                    raise NotRunError(f"{self.name} ended with {process.returncode}: {self.log()}")
                with contextlib.suppress(OSError, trio.BrokenResourceError, ValueError, IndexError):
                    status, _ = await self.get("/-/healthy")
                    if status == 200:
                        self._record.add(self.name, "answers /-/healthy with 200")
                        return
                await trio.sleep(0.02)
        raise NotRunError(f"{self.name} is not ready: {self.log()}")

    def _spawn(self) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [str(ROOT / ".venv/bin/python"), "-m", "brackenlane", "appliance", str(self.file)],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            env={**os.environ, "TMPDIR": str(self.folder)},
        )

    def log(self) -> str:
        """Return the end of the router's log."""
        return (self.folder / "log").read_text(errors="replace")[-2000:]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._record.add(self.name, f"gets {number.name}")
        self._process.send_signal(number)

    async def wait_until_ended(self, limit: float = 15.0) -> None:
        """Wait until the process has ended."""
        assert self._process is not None
        with trio.move_on_after(limit):
            code = await trio.to_thread.run_sync(self._process.wait, abandon_on_cancel=True)
            self._record.add(self.name, f"process ended with {code}")
            return
        raise NotRunError(f"{self.name} does not end")

    def end(self) -> None:
        """End the process, whatever it does."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        self._log.close()

    async def console(self, command: str) -> str:
        """Give one command to the console; return its answer."""
        stream = await trio.open_unix_socket(str(self.folder / "console.sock"))
        async with stream:
            self._record.add(f"console of {self.name}", f"> {command}")
            await stream.send_all(command.encode() + b"\n")
            answer = b""
            while not answer.endswith(b"\n\n"):
                data = await stream.receive_some(65_536)
                if not data:
                    raise NotRunError(f"the console of {self.name} ended")
                answer += data
        text = answer.decode().strip()
        self._record.add(f"console of {self.name}", text.replace("\n", " | "))
        return text

    async def get(self, target: str, ttl: int = 2000, group: int = 17) -> tuple[int, bytes]:
        """Send one GET on a new connection; return status and body."""
        stream = await trio.open_tcp_stream("127.0.0.1", self.http)
        async with stream:
            head = (
                f"GET {target} HTTP/1.1\r\nHost: api.internal\r\nX-Txn: {random.getrandbits(64):016x}\r\n"
                f"X-Ttl-Ms: {ttl}\r\nX-Shard: {group}\r\nConnection: close\r\n\r\n"
            )
            await stream.send_all(head.encode())
            data = b""
            while chunk := await stream.receive_some(65_536):
                data += chunk
        head_bytes, _, body = data.partition(b"\r\n\r\n")
        return int(head_bytes.split(b" ", 2)[1]), body


def box(name: str, port: int, zone: str = "branch", role: str = "edge", weight: float = 1.0) -> str:
    """Return one [[box]] table."""
    return (
        f'[[box]]\nid = "{name}"\nhost = "127.0.0.1"\nport = {port}\nzone = "{zone}"\nrole = "{role}"\n'
        f"weight = {weight}\n\n"
    )


def boxes(caches: list[CacheStandIn]) -> str:
    """Return the [[box]] tables of these caches; the one named origin is the origin."""
    return "".join(
        box(c.id, c.port, "head-office", "origin") if c.id == "origin" else box(c.id, c.port) for c in caches
    )


async def start_caches(
    nursery: trio.Nursery,
    record: Record,
    names: tuple[str, ...],
    answer: Callable[[str, ReceivedRequest], bytes | None] | None = None,
    seen: Callable[[str, float, ReceivedRequest], None] = lambda *_: None,
) -> list[CacheStandIn]:
    """Start caches that write to the record what they receive.

    answer: the reply of a cache, by its name; seen: called with the name, the time and each request.
    """
    started = []
    for name in names:

        def reply(requested: ReceivedRequest, name: str = name) -> bytes | None:
            fields = ",".join(f"{field}={value}" for field, value in requested.fields.items())
            seen(name, record.add(name, f"runs {requested.id} {fields}"), requested)
            return answer(name, requested) if answer else data_reply(requested, f"of {name}".encode())

        started.append(await CacheStandIn(name, answer=reply).open(nursery))
    return started


@contextlib.asynccontextmanager
async def routers(*all_routers: Router) -> AsyncIterator[None]:
    """End the processes of these routers in any case."""
    try:
        yield
    finally:
        for router in all_routers:
            router.end()


def run_case(folder: str, play: Callable[[Path, Record], Awaitable[int]]) -> None:
    """Play a case in a temporary folder and exit with its code."""
    record = Record(Path(folder))
    temporary = Path(tempfile.mkdtemp(prefix="case-"))
    code: Any = NOT_RUN

    async def bounded() -> int:
        with trio.fail_after(TIME_LIMIT):
            return await play(temporary, record)

    try:
        code = trio.run(bounded)
    except Exception as error:  # a case that cannot run says nothing of the rule
        record.add("verdict", f"the case could not run: {error!r}")
        log.exception("the case could not run")
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)
