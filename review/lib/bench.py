"""The frame of a case: a temporary folder, free ports, processes that are ended, the record, exit codes."""

from __future__ import annotations

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

ROOT = Path(__file__).resolve().parents[2]
HELD = 0
BROKEN = 1
NOT_RUN = 2
MAX_SECONDS = 110.0  # a case may run for 120 s
POLL_SECONDS = 0.05
READY_SECONDS = 30.0  # the time that the pages give a router to get ready


class CannotRunError(Exception):
    """The case could not be played as planned, so it says nothing about the rule."""


def free_port() -> int:
    """Return a port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def unix_time() -> float:
    """Return the Unix time, which the cache protocol counts in."""
    return time.time()  # noqa: TID251


class Bench:
    """One run of a case: its folder, record and processes."""

    def __init__(self, case: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="case."))
        self._record = (case / "record.txt").open("w")
        self._began = time.monotonic()
        self._processes: list[subprocess.Popen[bytes]] = []

    def note(self, text: str) -> None:
        """Write one line to the record, with the seconds since the run began."""
        self._record.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._record.flush()

    def start(
        self, name: str, *words: str, env: dict[str, str] | None = None, has_pipes: bool = False
    ) -> subprocess.Popen[bytes]:
        """Start one of the project's programs; its log goes to a file in the folder.

        has_pipes: its standard input and output are pipes, for a session with it.
        """
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                list(words),
                cwd=ROOT,
                stdin=subprocess.PIPE if has_pipes else subprocess.DEVNULL,
                stdout=subprocess.PIPE if has_pipes else log,
                stderr=log,
                env=env,
            )
        self._processes.append(process)
        self.note(f"started {name}: {' '.join(words).replace(str(self.folder), 'FOLDER')}")
        return process

    def end(self) -> None:
        """End all processes that were started, copy their logs into the record, and remove the folder."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for log in sorted(self.folder.glob("*.log")):
            text = log.read_text(errors="replace").replace(str(self.folder), "FOLDER")
            self._record.write(f"--- {log.name}\n{text}")
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def wait_for(what: str, seconds: float, is_true: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a condition holds. Raises CannotRunError if it does not within the time."""
    with trio.move_on_after(seconds):
        while True:
            if await is_true():
                return
            await trio.sleep(POLL_SECONDS)
    raise CannotRunError(f"{what}: not within {seconds:.0f} s")


async def _stop_on_sigterm() -> None:
    """Wait for SIGTERM. Raises CannotRunError then, so that all that was started is ended."""
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            raise CannotRunError("SIGTERM")


def play(case: Path, script: Callable[[Bench, trio.Nursery], Awaitable[bool]]) -> None:
    """Play a case and exit: 0 if the rule held (the script returns True), 1 if it was broken, else 2."""
    try:
        bench = Bench(case)
    except OSError as error:
        print(f"the case cannot run: {error}", file=sys.stderr)
        sys.exit(NOT_RUN)
    verdict = NOT_RUN

    async def bounded() -> bool:
        with trio.fail_after(MAX_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_stop_on_sigterm)
                held = await script(bench, nursery)
                nursery.cancel_scope.cancel()
        return held

    try:
        verdict = HELD if trio.run(bounded) else BROKEN
    except BaseException:  # noqa: BLE001  whatever it is, the case could not be played
        bench.note(traceback.format_exc())
        print(traceback.format_exc(limit=1), file=sys.stderr)
    finally:
        bench.note(f"exit code {verdict}: {('the rule held', 'the rule was broken', 'not run')[verdict]}")
        bench.end()
    sys.exit(verdict)
