"""The operator's terminal, and the appliance's end of it, on a Unix socket of the operator's own."""

from __future__ import annotations

import os
import socket
import sys
import time
from pathlib import Path

import trio

from brackenlane.admission.figures import REASON_NAMES, Figures
from brackenlane.coldstart.phases import StartupPhase, StartupPhases
from brackenlane.discovery.registry import Registry
from brackenlane.limits import Limits
from brackenlane.routing.events import AttemptResult
from brackenlane.store.event_codec import OrderGiven, PurgeRequested, StoreEvent
from brackenlane.store.shared_store import SharedStore

HELP = """boxes               list the boxes with state and health; boxes -v: who names them, and why
why BOX             why a box stands as it does, and what each source says of it
drain BOX           send a box nothing new
restore BOX         take a drained box back
purge object OBJ    nothing older than now is served of an object
purge group N       the same of a group
start               the phase of the start, since when, and the store's state
load                how busy the doorman is, and what it refused at its door
help                this text
quit                leave
"""


MEANS = {
    StartupPhase.EMPTY: "the file alone; what the store has is not known yet",
    StartupPhase.RECALLED: "the last list; drains and purges since it are not known yet",
    StartupPhase.LOADING: "the whole list is being read from the store",
    StartupPhase.CURRENT: "all is known",
    StartupPhase.BEHIND: "all that the store told until it was lost",
}
Health = dict[str, tuple[AttemptResult, float]]  # the last outcome at each cache, and when


class AdminConsole:
    """Carries out what the operator asks."""

    def __init__(
        self,
        health: Health,
        roster: Registry,
        shared: SharedStore | None,
        limits: Limits,
        figures: Figures,
        name: str,
        phases: StartupPhases,
    ) -> None:
        self._last, self._roster, self._shared, self._limits = health, roster, shared, limits
        self._figures, self._name, self._phases = figures, name, phases

    async def do(self, line: str) -> str:
        """The answer to one command."""
        match line.split():
            case ["boxes"]:
                return self._boxes(False)
            case ["boxes", "-v"]:
                return self._boxes(True)
            case ["why", server]:
                lines = self._roster.merge.explain(server, time.time())
                return "".join(line + "\n" for line in lines) or f"no such box: {server}\n"
            case ["drain" | "restore" as command, server]:
                order = self._roster.drain(server, command == "drain", f"the console of {self._name}")
                if order is None:
                    return f"no such box: {server}\n"
                return await self._shown(
                    f"{server} {'drained' if command == 'drain' else 'restored'}\n",
                    OrderGiven(server, order),
                )
            case ["purge", "object", obj]:
                return await self._purge(obj, -1)
            case ["purge", "group", text] if text.isascii() and text.isdigit() and int(text) < 256:
                return await self._purge("", int(text))
            case ["load"]:
                return self._load()
            case ["start"]:
                return self._start()
            case ["help"]:
                return HELP
        return f"not understood: {line.strip()[:60]!r}; 'help' lists the commands\n"

    async def _purge(self, obj: str, group: int) -> str:
        now = time.time()
        self._roster.purge(obj, group, now)
        return await self._shown(f"purged {obj or f'group {group}'}\n", PurgeRequested(obj, group, now))

    async def _shown(self, text: str, event: StoreEvent) -> str:
        """What was done here, and whether the other routers hear of it."""
        if self._shared and not await self._shared.publisher.publish(event):
            return text + "the store is away: the others hear of it when it is back\n"
        return text

    def _boxes(self, verbose: bool) -> str:
        merge, now = self._roster.merge, time.time()
        rows: list[tuple[str, ...]] = [
            ("BOX", "ROLE", "ADDRESS", "STATE", "HEALTH", *(("BY", "SINCE", "WHY") if verbose else ()))
        ]
        for cache in sorted(merge.caches.values(), key=lambda b: b.definition.id):
            at = cache.endpoint
            where = f"{at[0]}:{at[1]}" if at else cache.definition.host
            row: tuple[str, ...] = (
                cache.definition.id,
                cache.definition.role.value,
                where,
                cache.state.value,
                self._health(cache.definition.id),
            )
            if verbose:
                cold = f"cold, {max(0.0, now - cache.started):.0f} s" if cache.started else "warm"
                row += (", ".join(origin.name.lower() for origin in cache.sources), cold, cache.reason)
            rows.append(row)
        widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
        text = "".join(
            "  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True)).rstrip() + "\n"
            for row in rows
        )
        for entry in merge.entries.values() if verbose else ():
            if entry.fault:
                text += f"{entry.watch.srv}: the last look-up failed: {entry.fault}\n"
            if entry.held:
                text += (
                    f"{entry.watch.srv}: {len(entry.held.gone)} of {len(entry.listed)} boxes are missing"
                    f" since {now - entry.held.since:.0f} s; not believed until it is confirmed\n"
                )
            if entry.left_out:
                text += f"{entry.watch.srv}: {entry.left_out} boxes are left out for want of room\n"
        return text

    def _load(self) -> str:
        total = ", ".join(f"{n} {REASON_NAMES[reason]}" for reason, n in self._figures.shed.items()) or "none"
        return (
            f"last second: {self._figures.last.summary()}\n"
            f"since the start: taken {self._figures.taken}, refused at the door: {total}\n"
        )

    def _start(self) -> str:
        phase, now = self._phases.phase, time.time()
        text = f"{phase.value} since {max(0.0, now - self._phases.since):.0f} s: {MEANS[phase]}\n"
        if not self._shared:
            return text + "no store: what this doorman knows is all there is\n"
        pacing = self._shared.pacing
        if self._shared.fault:
            text += f"store away, {pacing.failures} tries in a row: {self._shared.fault}\n"
        return text + (
            f"place in the store's log {self._shared.position}; questions of "
            f"{pacing.capacity.router_count} doormans are spread over {pacing.window:.2f} s\n"
        )

    def _health(self, server: str) -> str:
        last = self._last.get(server)
        if last is None:
            return "not asked yet"
        verdict, at = last
        good = verdict in (AttemptResult.OK, AttemptResult.MISS)
        return f"{'well' if good else verdict.value}, {max(0.0, time.time() - at):.0f} s ago"

    async def serve(self, stream: trio.SocketStream) -> None:
        """One terminal: a command a line, each answer ended by an empty line."""
        buffer = bytearray()
        try:
            async with stream:
                while True:
                    end = buffer.find(b"\n")
                    if end < 0:
                        if len(buffer) > self._limits.max_console_line:
                            return
                        with trio.fail_after(self._limits.console_idle_timeout):
                            data = await stream.receive_some(1024)
                        if not data:
                            return
                        buffer += data
                        continue
                    line = bytes(buffer[:end]).decode("utf-8", "replace")
                    del buffer[: end + 1]
                    await stream.send_all((await self.do(line) + "\n").encode())
        except (trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass


def open_listener(path: Path) -> trio.SocketListener:
    """A Unix socket that only its owner can use; one left by a dead program gives way."""
    path.unlink(missing_ok=True)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    mask = os.umask(0o177)
    try:
        sock.bind(str(path))
    finally:
        os.umask(mask)
    sock.listen(8)
    sock.setblocking(False)
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))


async def talk(path: str, arguments: list[str], limits: Limits) -> int:
    """The operator's side: one command from the command line, or a prompt."""
    try:
        stream = await trio.open_unix_socket(path)
    except OSError as fault:
        print(f"brackenlane console: {path}: {fault.strerror or fault}", file=sys.stderr)
        return 1
    async with stream:
        if arguments:
            return await _command(stream, " ".join(arguments))
        while True:
            print("brackenlane> ", end="", flush=True)
            line = await trio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
            if not line or line.strip() in ("quit", "exit"):
                return 0
            if line.strip() and await _command(stream, line.strip()):
                return 1


async def _command(stream: trio.SocketStream, line: str) -> int:
    await stream.send_all(line.encode() + b"\n")
    answer = b""
    while not answer.endswith(b"\n\n"):
        data = await stream.receive_some(65536)
        if not data:
            print("brackenlane console: the doorman has ended", file=sys.stderr)
            return 1
        answer += data
    print(answer.decode().removesuffix("\n"), end="", flush=True)
    return 0
