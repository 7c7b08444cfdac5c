"""One run of a plan: real routers, their peers on loopback, and the faults at their times."""

from __future__ import annotations

import os
import random
import signal
import sys
from pathlib import Path
from typing import Any

import orjson
import trio

from brackenlane.lab import site
from brackenlane.lab.faults.shim import FaultShim
from brackenlane.lab.soak.change_log import History, LogPlace
from brackenlane.lab.soak.injector import FaultInjector
from brackenlane.lab.soak.peers import IDLE_TIMEOUT, SoakClient, SoakServer
from brackenlane.lab.soak.record import Record, RouterSeen
from brackenlane.lab.soak.running_router import RunningRouter
from brackenlane.lab.soak.schedule import Plan

SERVERS = {f"s-0000000{n}": "type-a" for n in range(1, 5)} | {"s-00000008": "parent", "s-00000009": "origin"}
CLASSES = ("video-parts", "sheet-pages", "sheet-submit")
RESPONSE_CACHE_RATE = 1e6  # bytes per second; set, so that routers keep copies of their own
SOCKETS = 512
START_TIMEOUT = 20.0  # seconds
NEW_CONNECTIONS_AFTER_TERM = 0.3  # seconds
BETWEEN_SIGNALS = 0.15  # seconds
BETWEEN_TERMS = 0.5  # seconds
STALL_CHECK = 0.02  # seconds between two looks
STALL = 0.05  # seconds from which the soak itself stood still


class World:
    """Owns the processes and peers of one run."""

    def __init__(self, plan: Plan, folder: Path, library: Path, tree: Path = site.ROOT) -> None:
        """library: that puts faults into a process; tree: the checkout whose program is run."""
        self._plan = plan
        self._folder = folder
        self._library = library
        self._tree = tree
        self._rng = random.Random(f"world {plan.seed}")
        self.record = Record()
        self._history = History(first_number=2)
        self._servers: list[SoakServer] = []
        self._routers: list[RunningRouter] = []

    async def run(self) -> Record:
        """Run the plan; return what the peers saw."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_stalls)
            for name, model in SERVERS.items():
                server = SoakServer(name, model, self._rng, self.record)
                self._servers.append(await server.open(nursery))
            try:
                for number in range(self._plan.router_count):
                    self._routers.append(await self._start_router(nursery, number))
                await self._play(nursery)
            finally:
                for router in self._routers:
                    router.process.kill()
                    with trio.CancelScope(shield=True):
                        await router.process.wait()
                    router.seen.log = (router.folder / "log").read_bytes()
            nursery.cancel_scope.cancel()
        self.record.notifications = self._history.notifications(self.record)
        return self.record

    async def _play(self, nursery: trio.Nursery) -> None:
        self.record.started_at = trio.current_time()
        injector = FaultInjector(
            self._plan, self.record, self._history, self._routers, self._servers, nursery
        )
        async with trio.open_nursery() as clients, trio.open_nursery() as faults:
            for number in range(self._plan.client_count):
                clients.start_soon(self._client, number)
            for fault in self._plan.faults:
                faults.start_soon(injector.inject, fault)
            await trio.sleep(self._plan.seconds)
            for router in self._routers:
                faults.start_soon(self._end, router)
                await trio.sleep(BETWEEN_TERMS)

    # Routers

    async def _start_router(self, nursery: trio.Nursery, number: int) -> RunningRouter:
        folder = self._folder / str(number)
        folder.mkdir()
        place = await LogPlace(self._history, number).open(nursery)
        port, ops = site.free_ports(2)
        config = self._config(port, ops, place.port)
        shim = FaultShim(folder, self._plan.seed, self._library)
        (folder / "config.json").write_bytes(orjson.dumps(config))
        environment = {
            **os.environ,
            **shim.environment,
            "GW_CONFIG": str(folder / "config.json"),
            "TMPDIR": str(folder),
        }
        with (folder / "log").open("wb") as log:
            process = await trio.lowlevel.open_process(
                [sys.executable, "-m", "brackenlane"], cwd=self._tree, env=environment, stderr=log
            )
        seen = RouterSeen(number)
        self.record.routers.append(seen)
        with trio.fail_after(START_TIMEOUT):
            while b"serves on" not in (folder / "log").read_bytes():
                await trio.sleep(0.02)
        return RunningRouter(seen, port, folder, config, shim, place, process)

    def _config(self, port: int, ops: int, log_port: int) -> dict[str, Any]:
        raw: dict[str, Any] = orjson.loads(site.platform_config(port, [], 0, flow=RESPONSE_CACHE_RATE))
        settings = raw["settings"]
        settings["Limits"] |= {"KeepaliveS": IDLE_TIMEOUT, "MayProbe": self._rng.random() < 0.5}
        settings["Limits"] |= {"Cancel": self._rng.random() < 0.7}
        settings["NInstances"] = self._plan.router_count
        settings["Classes"] = [
            {**cls, "GiveUpS": limit, "TargetS": limit / 4}
            for cls, limit in zip(settings["Classes"], self._plan.deadlines, strict=True)
        ]
        raw["known"]["results"][0]["fleet"]["targets"] = [
            {
                "uid": server.name,
                "endpoint": f"127.0.0.1:{server.port}",
                "az": "edge-1",
                "model": server.model,
                "pod_group": 0,
                "state": "in_service",
                "capacity_hint": 8,
                "boot_ms": 0,
            }
            for server in self._servers
        ]
        raw["limits"]["sockets"] = SOCKETS
        raw["changelog"] = f"127.0.0.1:{log_port}"
        if self._plan.has_folder:
            raw["ops"] = f"127.0.0.1:{ops}"
        return raw

    async def _end(self, router: RunningRouter) -> None:
        """SIGTERM, and SIGKILL at the earliest time that the pages allow."""
        router.seen.term_at = trio.current_time()
        self._note(f"SIGTERM to router {router.seen.number}")
        router.process.send_signal(signal.SIGTERM)
        with trio.move_on_after(self._plan.kill_after):
            for number in self._plan.more_signals:
                await trio.sleep(BETWEEN_SIGNALS)
                router.process.send_signal(number)
            router.seen.exit_code = await router.process.wait()
        if router.process.poll() is None:
            self._note(f"SIGKILL to router {router.seen.number}")
            router.seen.killed_at = trio.current_time()
            router.process.kill()
        else:
            self._note(f"router {router.seen.number} ended with {router.seen.exit_code}")

    # Clients

    async def _client(self, number: int) -> None:
        rng = random.Random(f"client {self._plan.seed} {number}")
        deadlines = dict(zip(CLASSES, self._plan.deadlines, strict=True))
        client = SoakClient(rng, self.record, deadlines)
        while usable := [router for router in self._routers if self._takes_clients(router)]:
            router = rng.choice(usable)
            await client.use(router.seen.number, router.port)

    def _takes_clients(self, router: RunningRouter) -> bool:
        return trio.current_time() < router.seen.term_at + NEW_CONNECTIONS_AFTER_TERM

    # The soak itself

    async def _watch_stalls(self) -> None:
        before = trio.current_time()
        while True:
            await trio.sleep(STALL_CHECK)
            now = trio.current_time()
            if now - before > STALL_CHECK + STALL:
                self.record.stalls.append((before, now))
            before = now

    def _note(self, text: str) -> None:
        self.record.note(trio.current_time(), text)
