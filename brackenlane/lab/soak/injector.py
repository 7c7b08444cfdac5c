"""Injects the faults of a plan into running routers and their peers."""

from __future__ import annotations

import errno
import random
import signal
import socket
import struct

import trio

from brackenlane.lab import site
from brackenlane.lab.crowds.clients import run_crowd_client
from brackenlane.lab.crowds.requests import CrowdPlan, plan
from brackenlane.lab.faults.shim import SystemCall
from brackenlane.lab.soak.change_log import (
    LIST_CHANGES,
    ChangeHistory,
    ChangeLogEndpoint,
    ConnectionFault,
    publish_purge,
)
from brackenlane.lab.soak.peers import GROUPS, SoakServer
from brackenlane.lab.soak.record import Notification, Record
from brackenlane.lab.soak.running_router import RunningRouter
from brackenlane.lab.soak.schedule import SYSTEM_CALL_ERRORS, Fault, FaultKind, Plan

SERVING, DRAINING, REMOVED = range(3)  # server states in a frame
SERVER_RECORD = struct.Struct(">I4sHBBBHIQ")
WEIGHT = 8000  # thousandths of a unit
RESET_DURATION = 1.0  # seconds during which the change log resets every connection
MOVE_INTERVAL = 0.3  # seconds between two moves of a series
OLD_ENDPOINT_LIFETIME = 1.5  # seconds after a move until the old, silent endpoint closes; documented limit
BAD_FILE_DURATION = 0.3  # seconds until the valid file is restored
MAX_DRAINING = 3  # servers at once; the others keep traffic going
IDLE_CLIENT_COUNT = 60
CROWD_CONNECTIONS = 80  # with all others, clients hold at most a third of the descriptors
STORAGE_CALLS = (SystemCall.WRITE, SystemCall.OPEN, SystemCall.RENAME)
STORAGE_ERRORS = (errno.ENOSPC, errno.EIO)
STORAGE_FAILURE_FACTOR = 4  # storage calls fail this many times as often as the fault's amount
CONNECTION_FAULTS = {
    FaultKind.MOVE_SILENT: ConnectionFault.SILENT,
    FaultKind.MOVE_RESET: ConnectionFault.RESETS,
    FaultKind.MOVE_DELAYED: ConnectionFault.DELAYED,
}


def _encode_server(server: SoakServer, name: str, state: int) -> bytes:
    """Encode a server for a list-of-changes frame; all servers are in the second zone."""
    kind = site.SETTINGS["Skus"].index(server.model)
    address = socket.inet_aton("127.0.0.1")
    return SERVER_RECORD.pack(int(name[2:], 16), address, server.port, state, 1, kind, 0, WEIGHT, 0)


class FaultInjector:
    """Injects each fault at its scheduled time and ends it after its duration."""

    def __init__(
        self,
        plan: Plan,
        record: Record,
        history: ChangeHistory,
        routers: list[RunningRouter],
        servers: list[SoakServer],
        nursery: trio.Nursery,
    ) -> None:
        """nursery: runs the new change log endpoints until the end of the run."""
        self._plan = plan
        self._record = record
        self._history = history
        self._routers = routers
        self._servers = servers
        self._nursery = nursery
        self._rng = random.Random(f"injector {plan.seed}")
        self._draining: set[str] = set()

    async def inject(self, fault: Fault) -> None:
        """Wait until a fault is due, inject it, and end it after its duration."""
        await trio.sleep_until(self._record.started_at + fault.at)
        self._record.note(trio.current_time(), str(fault))
        router = self._routers[fault.target % len(self._routers)]
        server = self._servers[fault.target % len(self._servers)]
        match fault.kind:
            case FaultKind.CLOCK_STEP:
                router.shim.step_wall_clock(fault.amount)
                await trio.sleep(fault.duration)
                router.shim.step_wall_clock(0.0)
            case FaultKind.SYSTEM_CALLS | FaultKind.STORAGE:
                await self._fail_calls(router, fault)
            case FaultKind.MOVE_SILENT | FaultKind.MOVE_RESET | FaultKind.MOVE_DELAYED:
                await self._move_log(router, CONNECTION_FAULTS[fault.kind])
            case FaultKind.MOVE_SERIES:
                await self._move_in_series(router)
            case FaultKind.LOG_SILENT | FaultKind.LOG_RESET:
                self._note_log_fault(router)
                if fault.kind is FaultKind.LOG_SILENT:
                    router.endpoint.silence_open_connections()
                else:
                    router.endpoint.reset_all()
            case FaultKind.BAD_CONFIGURATION:
                await self._send_bad_configuration(router)
            case FaultKind.STOP:
                await self._suspend(router, fault.duration)
            case FaultKind.DRAIN:
                self._drain_server(server)
            case FaultKind.RESTORE:
                self._restore_all()
            case FaultKind.PURGE:
                publish_purge(self._history, fault.target % GROUPS)
            case FaultKind.SERVER_HANGS:
                server.hangs_until = trio.current_time() + fault.duration
            case FaultKind.SERVER_RESETS:
                server.reset_all()
            case FaultKind.SERVER_REPLACED:
                self._replace_server(server)
            case FaultKind.IDLE_CLIENTS:
                await self._connect_idle_clients(router, fault.duration)
            case FaultKind.CROWD:
                assert fault.crowd is not None
                await self._run_crowd(router, plan(fault.crowd, CROWD_CONNECTIONS), fault.duration)

    async def _fail_calls(self, router: RunningRouter, fault: Fault) -> None:
        if fault.kind is FaultKind.STORAGE:
            for call in STORAGE_CALLS:
                router.shim.fail(call, STORAGE_FAILURE_FACTOR * fault.amount, STORAGE_ERRORS)
        else:
            for call, errors in SYSTEM_CALL_ERRORS.items():
                router.shim.fail(call, fault.amount, errors)
        await trio.sleep(fault.duration)
        router.shim.recover()

    async def _move_log(self, router: RunningRouter, connection_fault: ConnectionFault) -> None:
        endpoint = await ChangeLogEndpoint(self._history, router.observed.number, connection_fault).open(
            self._nursery
        )
        old = router.endpoint
        router.endpoint = endpoint
        router.config["changelog"] = f"127.0.0.1:{endpoint.port}"
        router.write_config()
        self._note_log_fault(router)
        router.process.send_signal(signal.SIGHUP)
        old.silence_open_connections()
        await trio.sleep(OLD_ENDPOINT_LIFETIME)
        old.reset_all()

    async def _move_in_series(self, router: RunningRouter) -> None:
        """Reset connections for RESET_DURATION, then send three configurations in a row.

        This reproduces a sequence seen in an incident.
        """
        router.endpoint.reset_all_and_refuse()
        self._note_log_fault(router)
        await trio.sleep(RESET_DURATION)
        async with trio.open_nursery() as moves:
            for connection_fault in (ConnectionFault.SILENT, ConnectionFault.RESETS, ConnectionFault.SILENT):
                moves.start_soon(self._move_log, router, connection_fault)
                await trio.sleep(MOVE_INTERVAL)

    def _replace_server(self, server: SoakServer) -> None:
        """Remove a server and add one with a new name at the same address."""
        if server.model != "type-a" or server.name in self._draining:
            return
        old_name = server.name
        server.name = f"s-{self._rng.getrandbits(28) | 0x10000000:08x}"
        server.reset_all()
        payload = _encode_server(server, old_name, REMOVED) + _encode_server(server, server.name, SERVING)
        self._history.publish(LIST_CHANGES, payload, Notification(-1, 0.0, old_name, is_serving=False))

    async def _send_bad_configuration(self, router: RunningRouter) -> None:
        (router.folder / "config.json").write_bytes(b"{")
        router.process.send_signal(signal.SIGHUP)
        await trio.sleep(BAD_FILE_DURATION)
        router.write_config()

    async def _suspend(self, router: RunningRouter, duration: float) -> None:
        if trio.current_time() + duration >= self._record.started_at + self._plan.seconds:
            return  # a suspended process couldn't shut down between SIGTERM and SIGKILL
        router.process.send_signal(signal.SIGSTOP)
        stopped_at = trio.current_time()
        await trio.sleep(duration)
        router.process.send_signal(signal.SIGCONT)
        router.observed.suspended.append((stopped_at, trio.current_time()))

    def _restore_all(self) -> None:
        for server in self._servers:
            if server.name in self._draining:
                self._publish_state(server, is_serving=True)
        self._draining.clear()

    def _drain_server(self, server: SoakServer) -> None:
        if server.model == "origin" or len(self._draining) >= MAX_DRAINING:
            return
        self._draining.add(server.name)
        self._publish_state(server, is_serving=False)

    def _publish_state(self, server: SoakServer, is_serving: bool) -> None:
        payload = _encode_server(server, server.name, SERVING if is_serving else DRAINING)
        self._history.publish(LIST_CHANGES, payload, Notification(-1, 0.0, server.name, is_serving))

    async def _connect_idle_clients(self, router: RunningRouter, duration: float) -> None:
        streams: list[trio.SocketStream] = []
        try:
            while len(streams) < IDLE_CLIENT_COUNT:
                streams += [await trio.open_tcp_stream("127.0.0.1", router.port)]
            await trio.sleep(duration)
        except OSError:
            pass
        finally:
            for stream in streams:
                await trio.aclose_forcefully(stream)

    async def _run_crowd(self, router: RunningRouter, crowd_plan: CrowdPlan, duration: float) -> None:
        with trio.move_on_after(duration):
            async with trio.open_nursery() as nursery:
                for _ in range(crowd_plan.connections):
                    nursery.start_soon(run_crowd_client, router.port, crowd_plan)

    def _note_log_fault(self, router: RunningRouter) -> None:
        self._history.fault_times.setdefault(router.observed.number, []).append(trio.current_time())
