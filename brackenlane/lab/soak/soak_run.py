"""Runs one plan: real routers, their peers on loopback, and scheduled faults."""

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
from brackenlane.lab.crowds.crowd_run import peak_memory_mb
from brackenlane.lab.faults.shim import FaultShim
from brackenlane.lab.soak.change_log import ChangeHistory, ChangeLogEndpoint
from brackenlane.lab.soak.injector import FaultInjector
from brackenlane.lab.soak.peers import IDLE_TIMEOUT, SoakClient, SoakServer
from brackenlane.lab.soak.record import ObservedRouter, Record
from brackenlane.lab.soak.running_router import RunningRouter
from brackenlane.lab.soak.schedule import Plan

SERVERS = {f"s-0000000{n}": "type-a" for n in range(1, 5)} | {"s-00000008": "parent", "s-00000009": "origin"}
CLASSES = ("video-parts", "sheet-pages", "sheet-submit")
RESPONSE_CACHE_RATE = 1e6  # bytes per second; setting it enables the routers' own response cache
SOCKETS = 512
START_TIMEOUT = 20.0  # seconds until a router serves
NEW_CONNECTIONS_AFTER_SIGTERM = 0.3  # seconds in which clients still open connections
SIGNAL_INTERVAL = 0.15  # seconds between signals to one router
SIGTERM_INTERVAL = 0.5  # seconds between the SIGTERMs of two routers
MEMORY_CHECK_INTERVAL = 0.05  # seconds; the peak is the kernel's, so that only the end is missed
STALL_CHECK_INTERVAL = 0.02  # seconds between two checks
STALL_THRESHOLD = 0.05  # seconds; a check that is later than this counts as a stall of the soak


class SoakRun:
    """Owns the processes and peers of one run."""

    def __init__(self, plan: Plan, folder: Path, library: Path, tree: Path = site.ROOT) -> None:
        """library: the preloaded fault shim; tree: the checkout whose router is run."""
        self._plan = plan
        self._folder = folder
        self._library = library
        self._tree = tree
        self._rng = random.Random(f"world {plan.seed}")
        self.record = Record()
        self._history = ChangeHistory(first_number=2)
        self._servers: list[SoakServer] = []
        self._routers: list[RunningRouter] = []

    async def run(self) -> Record:
        """Run the plan; return what the peers observed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_stalls)
            for name, model in SERVERS.items():
                server = SoakServer(name, model, self._rng, self.record)
                self._servers.append(await server.open(nursery))
            try:
                for number in range(self._plan.router_count):
                    self._routers.append(await self._start_router(nursery, number))
                await self._run_schedule(nursery)
            finally:
                for router in self._routers:
                    router.process.kill()
                    with trio.CancelScope(shield=True):
                        await router.process.wait()
                    router.observed.log = (router.folder / "log").read_bytes()
            nursery.cancel_scope.cancel()
        self.record.notifications = self._history.notifications(self.record)
        return self.record

    async def _run_schedule(self, nursery: trio.Nursery) -> None:
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
                faults.start_soon(self._stop_router, router)
                await trio.sleep(SIGTERM_INTERVAL)

    # Routers

    async def _start_router(self, nursery: trio.Nursery, number: int) -> RunningRouter:
        folder = self._folder / str(number)
        folder.mkdir()
        endpoint = await ChangeLogEndpoint(self._history, number).open(nursery)
        port, ops = site.free_ports(2)
        config = self._config(port, ops, endpoint.port)
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
        observed = ObservedRouter(number, memory_mb=self._plan.memory_mb)
        nursery.start_soon(self._watch_memory, observed, process)
        self.record.routers.append(observed)
        with trio.fail_after(START_TIMEOUT):
            while b"serves on" not in (folder / "log").read_bytes():
                await trio.sleep(0.02)
        return RunningRouter(observed, port, folder, config, shim, endpoint, process)

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
        raw["limits"] |= {"sockets": SOCKETS, "memory_mb": self._plan.memory_mb}
        raw["changelog"] = f"127.0.0.1:{log_port}"
        if self._plan.has_state_folder:
            raw["ops"] = f"127.0.0.1:{ops}"
        return raw

    async def _stop_router(self, router: RunningRouter) -> None:
        """Send SIGTERM, and SIGKILL at the earliest time that the documentation allows."""
        router.observed.sigterm_at = trio.current_time()
        self._note(f"SIGTERM to router {router.observed.number}")
        router.process.send_signal(signal.SIGTERM)
        with trio.move_on_after(self._plan.kill_after):
            for number in self._plan.extra_signals:
                await trio.sleep(SIGNAL_INTERVAL)
                router.process.send_signal(number)
            router.observed.exit_code = await router.process.wait()
        if router.process.poll() is None:
            self._note(f"SIGKILL to router {router.observed.number}")
            router.observed.sigkill_at = trio.current_time()
            router.process.kill()
        else:
            self._note(f"router {router.observed.number} ended with {router.observed.exit_code}")

    # Clients

    async def _client(self, number: int) -> None:
        rng = random.Random(f"client {self._plan.seed} {number}")
        deadlines = dict(zip(CLASSES, self._plan.deadlines, strict=True))
        client = SoakClient(rng, self.record, deadlines)
        while usable := [router for router in self._routers if self._accepts_clients(router)]:
            router = rng.choice(usable)
            await client.run_connection(router.observed.number, router.port)

    def _accepts_clients(self, router: RunningRouter) -> bool:
        return trio.current_time() < router.observed.sigterm_at + NEW_CONNECTIONS_AFTER_SIGTERM

    # Memory of the routers

    @staticmethod
    async def _watch_memory(observed: ObservedRouter, process: trio.Process) -> None:
        while process.poll() is None:
            peak = peak_memory_mb(process.pid)
            observed.peak_memory_mb = max(observed.peak_memory_mb, peak)
            await trio.sleep(MEMORY_CHECK_INTERVAL)

    # Stalls of the soak process

    async def _watch_stalls(self) -> None:
        before = trio.current_time()
        while True:
            await trio.sleep(STALL_CHECK_INTERVAL)
            now = trio.current_time()
            if now - before > STALL_CHECK_INTERVAL + STALL_THRESHOLD:
                self.record.stalls.append((before, now))
            before = now

    def _note(self, text: str) -> None:
        self.record.note(trio.current_time(), text)
