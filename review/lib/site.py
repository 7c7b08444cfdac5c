"""A small site with appliances: their file (after deploy/appliance.toml), processes, console and clients."""

from __future__ import annotations

import os
import subprocess
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import dns.asyncquery
import dns.message
import trio

from review.lib.bench import READY_SECONDS, ROOT, Bench, CannotRunError, free_port, wait_for
from review.lib.caches import Box, Origin

PYTHON = str(ROOT / ".venv" / "bin" / "python")
ZONE = "caches.branch.example."
TIME_TO_LIVE_MS = 2000
PROMPT = b"brackenlane> "
CONSOLE_SECONDS = 15.0
DNS_SECONDS = 2.0


@dataclass
class Answer:
    """The answer to one request of a client."""

    status: int
    body: bytes


class Router:
    """One router at its clients' address, and the clients that ask it."""

    def __init__(self, bench: Bench, name: str) -> None:
        self.name = name
        self.http_port = free_port()
        self._bench = bench
        self._requests = 0

    async def is_healthy(self) -> bool:
        """Return whether the health check is answered with 200."""
        return (await self._exchange("/-/healthy", {})).status == HTTPStatus.OK

    async def read(self, obj: str, cls: str = "video-parts", part: int = 0) -> tuple[str, Answer]:
        """Read one part of an object on a new connection; return the request's id and the answer."""
        self._requests += 1
        # The first hex digits name the router, so that boxes tell who sent a request.
        request_id = f"{_router_digits(self.name)}{self._requests:012x}"
        headers = {"X-Txn": request_id, "X-Ttl-Ms": str(TIME_TO_LIVE_MS), "X-Shard": "17"}
        self._bench.note(f"client sends GET {cls}/{obj}/n-{part} to {self.name} as {request_id}")
        answer = await self._exchange(f"/api/v2/{cls}/{obj}/n-{part}", headers)
        self._bench.note(f"client has {request_id}: {answer.status} {answer.body.decode(errors='replace')!r}")
        return request_id, answer

    def sent(self, request_id: str) -> bool:
        """Return whether this router was asked a request with this id."""
        return request_id.startswith(_router_digits(self.name))

    async def _exchange(self, target: str, headers: dict[str, str]) -> Answer:
        fields = {"Host": "caches.branch.example", "Connection": "close", **headers}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        data = b""
        try:
            async with await trio.open_tcp_stream("127.0.0.1", self.http_port) as stream:
                await stream.send_all(f"GET {target} HTTP/1.1\r\n{head}\r\n".encode())
                while chunk := await stream.receive_some(65_536):
                    data += chunk
        except (OSError, trio.BrokenResourceError):
            return Answer(0, b"")
        status, _, rest = data.partition(b"\r\n")
        return Answer(int(status.split()[1]) if status else 0, rest.partition(b"\r\n\r\n")[2])


class Appliance(Router):
    """One appliance of the site, started by the command of the README."""

    def __init__(self, bench: Bench, name: str, boxes: list[Box], **more: Any) -> None:
        """Write the operator's file; `more`: arguments of `_operators_file`."""
        super().__init__(bench, name)
        self._path = bench.folder / f"{name}.toml"
        self._dns_port = free_port()
        self._path.write_text(_operators_file(name, (self.http_port, self._dns_port), boxes, **more))
        self._session: Session | None = None
        self.process: subprocess.Popen[bytes] | None = None

    def ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process is not None and self.process.poll() is not None

    async def start(self) -> None:
        """Start the process, and wait until it is healthy. Raises CannotRunError."""
        process = self._bench.start(self.name, PYTHON, "-m", "brackenlane", "appliance", str(self._path))
        self.process = process

        async def is_up() -> bool:
            if process.poll() is not None:
                raise CannotRunError(f"{self.name} ended with {process.returncode}")
            return await self.is_healthy()

        await wait_for(f"{self.name} is healthy", READY_SECONDS, is_up)
        self._bench.note(f"{self.name} is healthy")

    async def console(self, command: str) -> str:
        """Give one command in the operator's console session at this router, and return the answer."""
        if self._session is None:
            self._session = Session(self._bench, f"console-{self.name}", str(self._path))
            await self._session.read()
        answer = await self._session.execute(command)
        self._bench.note(f"console of {self.name}: {command}: {answer.strip()!r}")
        return answer

    async def names_in_dns(self, name: str, kind: str) -> list[str]:
        """Ask this router's DNS front; return the records of the answer as text."""
        query = dns.message.make_query(f"{name}.{ZONE}", kind)
        with trio.move_on_after(DNS_SECONDS):
            reply = await dns.asyncquery.udp(query, "127.0.0.1", port=self._dns_port, timeout=DNS_SECONDS)
            return [record.to_text() for rrset in reply.answer for record in rrset]
        return []


class Session:
    """One session of the project's console program, fed by its standard input as by a terminal."""

    def __init__(self, bench: Bench, name: str, path: str) -> None:
        process = bench.start(name, PYTHON, "-m", "brackenlane", "console", path, has_pipes=True)
        if process.stdin is None or process.stdout is None:
            raise CannotRunError("the console has no pipes")
        self._input = trio.lowlevel.FdStream(os.dup(process.stdin.fileno()))
        self._output = trio.lowlevel.FdStream(os.dup(process.stdout.fileno()))

    async def execute(self, command: str) -> str:
        """Type one command, and return what is printed before the next prompt. Raises CannotRunError."""
        await self._input.send_all(f"{command}\n".encode())
        return await self.read()

    async def read(self) -> str:
        """Return what is printed before the next prompt. Raises CannotRunError."""
        printed = b""
        with trio.move_on_after(CONSOLE_SECONDS):
            while not printed.endswith(PROMPT):
                data = await self._output.receive_some(65_536)
                if not data:
                    break
                printed += data
        if not printed.endswith(PROMPT):
            raise CannotRunError("the console does not answer")
        return printed.removesuffix(PROMPT).decode()


def _router_digits(name: str) -> str:
    return name.encode().hex()[-4:].rjust(4, "0")


def _operators_file(
    name: str,
    ports: tuple[int, int],
    boxes: list[Box],
    redis_port: int = 0,
    resolver_port: int = 0,
    hosts: dict[str, str] | None = None,
) -> str:
    """Return the operator's file: the settings and classes of deploy/appliance.toml, and these boxes.

    ports: of HTTP and DNS; redis_port, resolver_port: 0 for none; hosts: host names of boxes that have one.
    """
    text = (ROOT / "deploy" / "appliance.toml").read_text()
    lines = [
        f'name = "{name}"',
        f'http = "127.0.0.1:{ports[0]}"',
        f'dns = "127.0.0.1:{ports[1]}"',
        f'zone = "{ZONE}"',
        f'console = "{name}.sock"',
    ]
    if redis_port:
        lines.append(f'redis = "127.0.0.1:{redis_port}"')
    if resolver_port:
        lines.append(f'resolver = "127.0.0.1:{resolver_port}"')
    lines.append(text[text.index("[settings]") : text.index("[[box]]")])
    for box in boxes:
        role, zone = ("origin", "head-office") if box.is_origin else ("edge", "branch")
        host = (hosts or {}).get(box.name, "127.0.0.1")
        lines += ["[[box]]", f'id = "{box.name}"', f'host = "{host}"', f"port = {box.port}"]
        lines += [f'zone = "{zone}"', f'role = "{role}"', "weight = 8.0"]
    lines += ["[discovery]", f'last_list = "{name}.last-list.json"']
    return "\n".join(lines)


async def open_boxes(bench: Bench, nursery: trio.Nursery, count: int) -> tuple[Origin, list[Box]]:
    """Open so many cache boxes and the origin; return the origin's content and all of them."""
    origin = Origin()
    boxes = [Box(f"box-{number + 1}", origin, bench.note) for number in range(count)]
    boxes.append(Box("origin", origin, bench.note, is_origin=True))
    for box in boxes:
        await box.open(nursery)
    return origin, boxes


async def read_objects(router: Router, seconds: float, interval: float = 0.05) -> None:
    """Read ever new objects through a router, one after another, for so many seconds."""
    with trio.move_on_after(seconds):
        while True:
            await router.read(os.urandom(8).hex())
            await trio.sleep(interval)


async def start_store(bench: Bench) -> tuple[subprocess.Popen[bytes], int]:
    """Start the project's stand-in of the store; return its process and port."""
    port = free_port()
    process = bench.start("store", PYTHON, "-m", "brackenlane", "lab", "store", "--port", str(port))

    async def is_up() -> bool:
        return await store_answers(port)

    await wait_for("the store answers", READY_SECONDS, is_up)
    return process, port


async def store_answers(port: int, seconds: float = 0.2) -> bool:
    """Return whether the store answers a command within so many seconds."""
    with trio.move_on_after(seconds):
        try:
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                await stream.send_all(b"*1\r\n$4\r\nTIME\r\n")
                return (await stream.receive_some(1024)).startswith(b"*2")
        except (OSError, trio.BrokenResourceError):
            return False
    return False


async def wait_until_current(router: Appliance) -> None:
    """Wait until a router has read the store. Raises CannotRunError."""

    async def is_current() -> bool:
        return (await router.console("start")).startswith("current")

    await wait_for(f"{router.name} has read the store", 20.0, is_current)


def line_of(text: str, word: str) -> str:
    """Return the line of a console's answer that begins with a word; an empty one if there is none."""
    return next((line for line in text.splitlines() if line.split()[:1] == [word]), "")
