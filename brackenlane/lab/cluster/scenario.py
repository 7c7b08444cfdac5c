"""Runs a script: starts routers, caches and store, injects the faults, checks the record, and ends all."""

from __future__ import annotations

import contextlib
import random
import re
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import orjson
import trio

from brackenlane.discovery import snapshot_codec
from brackenlane.lab.cluster import invariants
from brackenlane.lab.cluster.cache_servers import CacheCapacity, ClusterCache
from brackenlane.lab.cluster.clients import Clients, served
from brackenlane.lab.cluster.links import Link
from brackenlane.lab.cluster.record import Record
from brackenlane.lab.cluster.routers import RouterProcess, find_router_by_port
from brackenlane.lab.cluster.script import Script, Step
from brackenlane.lab.cluster.time_coordinator import TimeCoordinator
from brackenlane.lab.site import ROOT
from brackenlane.lab.stand_ins.redis import Capacity, Redis

STORE_COMMANDS = re.compile(
    rb'"id":"(?P<box>[0-9a-z-]+)","drained":(?P<drained>true|false)'
    rb'|"purge":\{"object":"(?P<obj>[^"]*)","group":-?\d+,"time":(?P<time>\d+)|(?P<follow>XREAD)'
)
CACHE_COMMANDS = re.compile(rb"GET (?P<id>\S+) (?P<fields>\S+) \d+\r\n")
SIGNALS = {"kill": signal.SIGKILL, "term": signal.SIGTERM, "stop": signal.SIGSTOP, "cont": signal.SIGCONT}


@dataclass
class Outcome:
    """The result of a scenario."""

    record: Record
    faults: dict[str, list[str]]  # violations by invariant
    figures: dict[str, float]
    # Log excerpts of routers that ended unexpectedly or logged a traceback.
    logs: dict[str, str] = field(default_factory=dict)

    @property
    def well(self) -> bool:
        """Whether every invariant held and no router failed."""
        return not any(self.faults.values()) and not self.logs


class Scenario:
    """The processes, caches, store and links of one run, and the steps of its script."""

    def __init__(
        self,
        script: Script,
        seed: int,
        folder: Path,
        tree: Path = ROOT,
        coldstart: bool = True,
        say: Callable[[str], None] = lambda _: None,
        coordinator: TimeCoordinator | None = None,
    ) -> None:
        """tree: checkout to run the routers from; coldstart: whether it supports the [coldstart] table.

        coordinator: advances virtual time for all processes; None means real time.
        """
        self.script = script
        self.seed = seed
        self.folder = folder
        self._say = say
        self.record = Record()
        s = script.store
        self.store = Redis(Capacity(s.commands, s.connections, s.bytes, s.patience), self._record_store_event)
        self.caches: dict[str, ClusterCache] = {}
        parties = (("edge", script.boxes), ("parent", script.parents), ("origin", 1))
        for n, (kind, count) in enumerate(parties):
            for m in range(count):
                name = "origin" if kind == "origin" else f"{'box' if kind == 'edge' else kind}-{m}"
                link = script.link * (1.0 if kind == "edge" else script.wider)
                cache_capacity = CacheCapacity(link, script.work, cold=1.0 if kind == "origin" else 0.3)
                self.caches[name] = ClusterCache(
                    name,
                    kind,
                    self.record,
                    self.caches,
                    cache_capacity,
                    rng=random.Random(seed * 1000 + 100 * n + m),
                )
        self.routers = [
            RouterProcess(
                n,
                folder,
                self.record,
                tree,
                self._clock(n),
                coordinator.processes[n] if coordinator else None,
            )
            for n in range(script.doormans)
        ]
        self.cache_links: dict[str, Link] = {}  # by cache: the link that all routers use
        self.store_links: dict[int, Link] = {}  # by router: its link to the store
        self._coldstart = coldstart
        self._notify: dict[int, dict[str, bool]] = {}

    def _clock(self, n: int) -> tuple[float, float] | None:
        clock = self.script.clocks.get(str(n))
        return (clock[0], clock[1]) if clock else None

    def _record_store_event(self, kind: str, peer_port: int, **what: Any) -> None:
        self.record.add(f"store_{kind}", **what)

    async def run(self) -> Outcome:
        """Run the whole script; all processes are ended, also on an error."""
        self._say(f"{self.script.name}: {self.script.doormans} routers, {self.script.boxes} boxes")
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await self._start_servers(nursery)
                if self.script.started:  # the store's capacity is unlimited until all routers are up
                    script_capacity, self.store.capacity = self.store.capacity, Capacity()
                    await self._start(self.routers)
                    await self._wait_until_all_follow()
                    self.store.capacity = script_capacity
                self.record.add("begin")
                run_start = self.record.now
                clients = Clients(
                    self.record,
                    self._running_ports,
                    max(self.script.rate, 1e-9),
                    self.script.objects,
                    self.seed,
                )
                nursery.start_soon(clients.run)
                for step in sorted(self.script.steps, key=lambda s: s.second):
                    await trio.sleep(max(0.0, run_start + step.second - self.record.now))
                    self._say(
                        f"{step.second:6.2f} s  {step.do} {step.way if step.do == 'link' else ''}"
                        f"{step.box} {step.who if step.who != 'all' else ''}"
                    )
                    await self._run_step(step)
                await trio.sleep(max(0.0, run_start + self.script.seconds - self.record.now))
                clients.running = False
                await trio.sleep(3.0)  # lets the last requests finish
                memory = [router.memory() for router in self.routers if router.alive]
                nursery.cancel_scope.cancel()
        finally:
            logs = await self._stop_routers()
        return Outcome(self.record, self._check_invariants(), self._figures(memory), logs)

    def _running_ports(self) -> list[tuple[int, int]]:
        return [(router.number, router.http_port) for router in self.routers if router.alive]

    async def _start_servers(self, nursery: trio.Nursery) -> None:
        await self.store.open(nursery)
        for cache in self.caches.values():
            await cache.open(nursery)
            self.record.add("box_start", box=cache.id)
        cold = (
            f"[coldstart]\nasks = {self.script.asks}\nloads = {self.script.loads}\n"
            if self._coldstart
            else ""
        )
        caches = []
        for cache in self.caches.values():
            # All routers use the same address of a cache, as the store announces it; the link identifies the
            # router by the source port.
            if self.script.pairs:
                self.cache_links[cache.id] = await Link(
                    cache.port,
                    CACHE_COMMANDS,
                    self._observe(cache.id),
                    lambda port: find_router_by_port(port, self.routers),
                ).open(nursery)
            caches.append(
                (cache.id, cache.role, self.cache_links[cache.id].port if self.script.pairs else cache.port)
            )
        for router in self.routers:
            link = self.store_links[router.number] = await Link(
                self.store.port, STORE_COMMANDS, self._observe("store"), partial(_link_owner, router.number)
            ).open(nursery)
            router.write_config(
                caches,
                link.port,
                routers=self.script.doormans,
                coldstart=cold,
                purge_propagation_time=self.script.purge_propagation_time,
                weight=self.script.link,
                wider=self.script.wider,
            )

    def _link(self, router: RouterProcess, other: str) -> Link:
        return self.store_links[router.number] if other == "store" else self.cache_links[other]

    def _observe(self, other: str) -> Callable[[int, bool, re.Match[bytes]], None]:
        def observe(router: int, up: bool, match: re.Match[bytes]) -> None:
            groups = {name: text.decode() for name, text in match.groupdict().items() if text}
            if "id" in groups:
                fields = dict(pair.split("=", 1) for pair in groups["fields"].split(","))
                self.record.add("sent", router, box=other, id=groups["id"], miss=fields.get("miss", ""))
            elif "follow" in groups and up:
                self.record.add("follow", router)
            elif "box" in groups and not up:
                self.record.add("told_order", router, box=groups["box"], drained=groups["drained"] == "true")
            elif "time" in groups and not up:
                self.record.add("told_purge", router, obj=groups.get("obj", ""), time=int(groups["time"]))

        return observe

    async def _start(self, routers: list[RouterProcess]) -> None:
        for router in routers:
            if not router.alive:
                router.start()
                self._nursery.start_soon(router.wait_healthy)

    async def _wait_until_all_follow(self) -> None:
        """Wait until all routers are healthy and follow the store."""
        with trio.fail_after(120):
            for kind in ("healthy", "follow"):
                while len({e.router for e in self.record.of(kind)}) < len(self.routers):
                    await trio.sleep(0.1)

    def _select_routers(self, step: Step) -> list[RouterProcess]:
        match step.who:
            case "all":
                return self.routers
            case "odd" | "even":
                return [router for router in self.routers if router.number % 2 == (step.who == "odd")]
        return [self.routers[n] for n in step.who]

    async def _run_step(self, step: Step) -> None:
        """Carry out one step."""
        selected = self._select_routers(step)
        self.record.add("step", do=step.do)
        match step.do:
            case "start":
                await self._start(selected)
            case "kill" | "term" | "stop" | "cont":
                for router in selected:
                    router.signal(SIGNALS[step.do], step.do)
                if step.do in ("kill", "term"):
                    async with trio.open_nursery() as nursery:
                        for router in selected:
                            nursery.start_soon(router.wait_ended)
            case "list":
                for router in selected:
                    damage_snapshot(router.snapshot_path, step.state)
            case "link":
                for router in selected:
                    await self._link(router, step.way).set(router.number, **step.fault)
            case "heal" | "reset":
                for router in selected:
                    for link in (self.store_links[router.number], *self.cache_links.values()):
                        await (link.heal if step.do == "heal" else link.reset)(router.number)
            case "store_down":
                for link in self.store_links.values():
                    await link.set(refuse=True)
            case "store_up":
                for link in self.store_links.values():
                    await link.set(refuse=False)
            case "lose":
                self.store.undo_writes(step.seconds or float("inf"))
            case "late":
                self.store.extra_delay = step.seconds
            case "refuse_share":
                self.store.refuse_share = step.share
            case "drain" | "restore":
                answer = await selected[0].console(f"{step.do} {step.box}")
                if answer.startswith(f"{step.box} {'drained' if step.do == 'drain' else 'restored'}"):
                    self.record.add(
                        "told_order", selected[0].number, box=step.box, drained=step.do == "drain"
                    )
            case "write_order":
                order = {"id": step.box, "drained": True, "at": time.time(), "by": "another router"}
                self.store.order("caches.test.", order)
            case "purge":
                if "purged" in await selected[0].console(f"purge object {step.object}"):
                    self.record.add(
                        "told_purge", selected[0].number, obj=step.object, time=int(time.time() * 1000)
                    )
            case "box_restart":
                for cache in self._caches(step):
                    cache.restart()
            case "box_mute" | "box_speak":
                for cache in self._caches(step):
                    cache.unresponsive = step.do == "box_mute"

    def _caches(self, step: Step) -> list[ClusterCache]:
        return (
            [self.caches[step.box]] if step.box else [b for b in self.caches.values() if b.role != "origin"]
        )

    async def _stop_routers(self) -> dict[str, str]:
        """Kill the routers; return log excerpts of those that ended unexpectedly or logged a traceback."""
        logs = {}
        with trio.CancelScope(shield=True):
            for router in self.routers:
                expected = [e.kind for e in self.record.of("kill", "term") if e.router == router.number]
                if router.process and not router.alive and not expected:
                    logs[router.name] = router.log_path.read_text()[-600:]
                with contextlib.suppress(ProcessLookupError):
                    if router.alive and router.process:
                        router.process.kill()
            for router in self.routers:
                if router.process:
                    router.process.wait()
                router.release()
                if router.log_path.exists() and "Traceback" in (text := router.log_path.read_text()):
                    logs[router.name] = text[-2000:]
        return logs

    def _check_invariants(self) -> dict[str, list[str]]:
        s = self.script.store
        found = {
            "answered": invariants.requests_answered(self.record),
            "once": invariants.submits_executed_once(self.record),
            "purged": invariants.purges_respected(self.record),
            "store commands": invariants.rate_bounded(self.record, "store_command", s.commands),
            "store connections": invariants.rate_bounded(self.record, "store_connect", s.connections),
            "store bytes": invariants.rate_bounded(
                self.record, "store_command", s.bytes, cost=lambda e: float(e.what["sent"])
            ),
            "standing": invariants.no_cache_failed(self.record),
            "spared": invariants.cold_caches_not_overloaded(
                self.record,
                0.3,
                18.0,
                3.0,
                {
                    name: cache.capacity.link / cache.capacity.work
                    for name, cache in self.caches.items()
                    if cache.role != "origin"
                },
            ),
        }
        if self.script.pairs:
            found["drained"] = invariants.drains_respected(self.record)
        return found

    def _figures(self, memory: list[float]) -> dict[str, float]:
        record = self.record
        n = len(self.routers)
        run_start = next((e.at for e in record.of("begin")), 0.0)

        def peak(kind: str, field: str = "") -> float:
            return invariants.highest_sum_in_span(
                ((e.at, float(e.what[field]) if field else 1.0) for e in record.of(kind)), 1.0
            )[0]

        starts = {e.router: e.at for e in record.of("start")}
        first: dict[str, dict[int, float]] = {"healthy": {}, "follow": {}}
        for event in record.of("healthy", "follow"):
            if event.at >= starts.get(event.router, 0.0):
                first[event.kind].setdefault(event.router, event.at - starts.get(event.router, 0.0))
        commands = sum(1 for _ in record.of("store_command"))
        handshake_count = sum(1 for _ in record.of("handshake"))
        return {
            "doormans": n,
            "served": served(record, run_start),
            "served_30s": served(record, run_start, run_start + 30),
            "store_commands": commands,
            "store_commands_peak": peak("store_command"),
            "store_connects_peak": peak("store_connect"),
            "store_bytes": sum(float(e.what["sent"]) for e in record.of("store_command")),
            "store_bytes_peak": peak("store_command", "sent"),
            "store_refused": sum(1 for _ in record.of("store_refuse")),
            "healthy_median": median(first["healthy"].values()),
            "healthy_worst": max(first["healthy"].values(), default=0.0),
            "current": len(first["follow"]),
            "current_worst": max(first["follow"].values(), default=0.0),
            "handshakes": handshake_count,
            "memory_mb": median(memory),
            "events": len(record.events),
        }


def _link_owner(number: int, _: int) -> int:
    """Return the router that a store link belongs to: each router has its own."""
    return number


def median(values: Any) -> float:
    """Return the middle value, the upper one of two; 0 if there are no values."""
    found = sorted(values)
    return found[len(found) // 2] if found else 0.0


def damage_snapshot(path: Path, state: str) -> None:
    """Make a snapshot stale (nearly 7 days old), torn (cut in half), missing or foreign.

    A foreign snapshot is stale too, and each cache in it has the port of another one.
    """
    if not path.exists():
        return
    if state == "missing":
        return path.unlink()
    data = path.read_bytes()
    if state == "torn":
        path.write_bytes(data[: len(data) // 2])
        return
    outer = orjson.loads(data)
    raw = orjson.loads(outer["body"])
    raw["saved"] -= 6.9 * 86_400
    if state == "foreign":
        ports = [cache["port"] for cache in raw["others"]]
        for cache, port in zip(raw["others"], ports[1:] + ports[:1], strict=True):
            cache["port"] = port
    path.write_bytes(snapshot_codec.wrap_with_checksum(orjson.dumps(raw)))


def run_in_virtual_time(script: Script, seed: int, folder: Path) -> Outcome:
    """Run one script in a folder, in a new trio loop; the result doesn't depend on the machine's speed."""
    coordinator = TimeCoordinator(folder / "clock", script.doormans)

    async def main() -> Outcome:
        return await Scenario(script, seed, folder, coordinator=coordinator).run()

    return coordinator.run(main)


async def run(script: Script, seed: int, folder: Path, **more: Any) -> Outcome:
    """Run one script in a folder, in real time and in the current trio loop."""
    return await Scenario(script, seed, folder, **more).run()
