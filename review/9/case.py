"""A router is restarted as planned while a cache does not take connections; clients ask it for names."""

from __future__ import annotations

import contextlib
import signal
import socket
import sys
from pathlib import Path

import dns.message
import dns.rcode
import trio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib2"))

import site_parts as site

# After SIGTERM new connections come for 0.2 to 0.4 s, and requests on open ones for 0.2 s more.
ASKED_FROM, ASKED_UNTIL = 0.45, 0.57
KILLED_AFTER = 3.0 + 0.7  # SIGKILL comes no sooner
CONNECTIONS = 12


class Vanished:
    """A machine that has vanished: new connections to it never come up."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))
        self._socket.listen(0)
        self.port = int(self._socket.getsockname()[1])
        self._queued = [socket.socket() for _ in range(4)]
        for one in self._queued:  # they fill its queue, so that the system answers no further ones
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", self.port))

    def close(self) -> None:
        """Close all sockets."""
        for one in (*self._queued, self._socket):
            one.close()


async def play(folder: Path, record: site.Record) -> int:
    """Play the case."""
    lost: list[str] = []
    async with trio.open_nursery() as nursery:
        caches = await site.start_caches(nursery, record, ("box-2", "box-3", "box-4", "origin"))
        vanished = Vanished()
        router = site.Router(folder, record, "branch-1")
        port = vanished.port if site.is_troubled() else caches[0].port
        router.write_file(site.box("box-1", port) + site.boxes(caches))
        async with site.routers(router):
            await router.start()
            await trio.sleep(1.0)
            streams = [await trio.open_tcp_stream("127.0.0.1", router.dns) for _ in range(CONNECTIONS)]
            await trio.sleep(0.2)
            if site.is_troubled():
                router.signal(signal.SIGTERM)
            await trio.sleep(ASKED_FROM)
            async with trio.open_nursery() as clients:
                for number, stream in enumerate(streams):
                    clients.start_soon(ask, record, stream, number, lost)
                    await trio.sleep((ASKED_UNTIL - ASKED_FROM) / CONNECTIONS)
            if site.is_troubled():
                await router.wait_until_ended()
        vanished.close()
        nursery.cancel_scope.cancel()
    return record.verdict(lost)


async def ask(record: site.Record, stream: trio.SocketStream, number: int, lost: list[str]) -> None:
    """Send one query on an open connection; note it if the connection ends without an answer."""
    name = f"n-0.{number:016x}.video-parts.caches.branch.example."
    wire = dns.message.make_query(name, "A").to_wire()
    await stream.send_all(len(wire).to_bytes(2, "big") + wire)
    sent_at = record.add("client", f"asks {name}")
    data = b""
    with trio.move_on_after(KILLED_AFTER), contextlib.suppress(trio.BrokenResourceError):
        while len(data) < 2 or len(data) < 2 + int.from_bytes(data[:2], "big"):
            chunk = await stream.receive_some(4096)
            if not chunk:
                break
            data += chunk
    after = record.now() - sent_at
    if len(data) < 2 or len(data) < 2 + int.from_bytes(data[:2], "big"):
        record.add("client", f"{name}: NO answer, the connection ended after {after:.3f} s")
        lost.append(f"the query for {name} was taken and got no answer in {after:.3f} s")
        return
    answer = dns.message.from_wire(data[2:])
    text = f"{dns.rcode.to_text(answer.rcode())} {[str(rrset) for rrset in answer.answer]}"
    record.add("client", f"{name}: {text} after {after:.3f} s")


site.run_case(str(Path(__file__).parent), play)
