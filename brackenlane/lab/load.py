"""Open-loop HTTP load generator: requests are sent at random times, independent of earlier responses.

Clients behave as those of the platform do: they close the connection of a request without a response at its
deadline, and retry a refused or failed request up to twice after a delay. The result is the number of
operations answered within their latency objective, by the second in which they started.
"""

from __future__ import annotations

import argparse
import random
import re
import socket
import sys
import time
from collections import Counter, defaultdict, deque
from dataclasses import dataclass
from typing import Any

import orjson
import trio

from brackenlane.core.timers import Timer, Timers
from brackenlane.lab.sockets import receive
from brackenlane.net.poller import READ, WRITE, Poller

HEAD = re.compile(rb"HTTP/1\.1 (\d\d\d) [^\r]*\r\n(.*?)\r\n\r\n", re.DOTALL)
LENGTH = re.compile(rb"[Cc]ontent-[Ll]ength: (\d+)")


@dataclass(frozen=True)
class ClassProfile:
    """Load of one class of requests."""

    name: str
    share: float  # share of all requests
    latency_objective: float  # seconds
    ttl: float  # seconds, longest time that a client waits for a response
    value_weight: float
    write: bool = False


CLASS_PROFILES = (
    ClassProfile("video-parts", 0.56, 0.5, 6.0, 2.0),
    ClassProfile("sheet-pages", 0.405, 0.3, 2.5, 1.0),
    ClassProfile("sheet-submit", 0.035, 0.8, 3.0, 3.0, write=True),
)


@dataclass(slots=True)
class Operation:
    """One operation of a client: its first request and the retries."""

    profile: ClassProfile
    path: bytes
    started_at: float
    request_count: int = 0


class Statistics:
    """Counts of operations by the second in which they started, and of requests."""

    def __init__(self) -> None:
        self.requested: Counter[int] = Counter()
        self.requested_value: defaultdict[int, float] = defaultdict(float)
        self.in_time: Counter[int] = Counter()
        self.in_time_value: defaultdict[int, float] = defaultdict(float)
        self.statuses: Counter[str] = Counter()
        self.in_time_by_class: Counter[str] = Counter()
        self.response_times: list[float] = []
        self.rejection_times: list[float] = []  # seconds from sending a request to its rejection
        self.request_count = self.unanswered = self.not_sent_count = 0


def transaction_id(now: float, rng: random.Random) -> bytes:
    """Return a transaction id: the time in microseconds and 12 random bits."""
    return b"%016x" % (int(now * 1e6) << 12 | rng.getrandbits(12))


class ClientConnection:
    """A client connection, with one request at a time."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.connect_ex(load.target)
        self._operation: Operation | None = None
        self._sent = 0.0
        self._in = bytearray()
        self._out = b""
        self._timer: Timer | None = None
        self._length = -1
        self.idle_since = 0.0
        load.poller.add(self._sock.fileno(), self._ready, READ)
        load.open_count += 1

    def send_request(self, operation: Operation, now: float) -> None:
        """Send one request of an operation."""
        profile = operation.profile
        ttl = profile.ttl * self._load.random.uniform(0.5, 1.0)
        body = b"signed" * 40 if profile.write else b""
        self._operation = operation
        self._sent = now
        self._length = -1
        self._out = (
            b"%b %b HTTP/1.1\r\nHost: api.internal\r\nX-Txn: %b\r\nX-Ttl-Ms: %d\r\nX-Shard: 17\r\n%b%b\r\n%b"
        ) % (
            b"PUT" if profile.write else b"GET",
            operation.path,
            transaction_id(now, self._load.random),
            int(ttl * 1000),
            b"X-Second-Try: 1\r\n" if operation.request_count > 1 else b"",
            b"Content-Length: %d\r\n" % len(body) if body else b"",
            body,
        )
        self._timer = self._load.timers.call_at(now + ttl, self._give_up)
        self._flush()

    def _flush(self) -> None:
        try:
            sent = self._sock.send(self._out)
        except BlockingIOError:
            sent = 0
        except OSError:
            return self.end("refused-connect")
        self._out = self._out[sent:]
        self._load.poller.set_events(self._sock.fileno(), READ | WRITE if self._out else READ)

    def _ready(self, events: int) -> None:
        if events & WRITE and self._out:
            self._flush()
        if not events & READ or self._sock.fileno() < 0:
            return
        data = receive(self._sock)
        if data is None:
            return
        if not data:
            return self.end("closed")
        self._in += data
        if self._length < 0 and (found := HEAD.match(self._in)):
            length = LENGTH.search(found[2])
            self._status = int(found[1])
            self._close = b"onnection: close" in found[2]
            self._length = found.end() + (int(length[1]) if length else 0)
        if 0 <= self._length <= len(self._in):
            del self._in[: self._length]
            self._complete(str(self._status))

    def _complete(self, status: str) -> None:
        operation, self._operation = self._operation, None
        if self._timer:
            self._timer.cancel()
        if operation is None:
            return self.end("unasked")
        now = time.time()
        self._load.on_ended(operation, status, now, now - self._sent)
        if self._close:
            return self.end("done")
        self._load.idle_connections.append(self)
        self.idle_since = now

    def _give_up(self) -> None:
        self.end("timeout")

    def end(self, status: str) -> None:
        """Close the connection; a request in progress ends with this status."""
        if self._sock.fileno() < 0:
            return
        self._load.open_count -= 1
        self._load.poller.remove(self._sock.fileno())
        self._sock.close()
        if self._timer:
            self._timer.cancel()
        operation, self._operation = self._operation, None
        if operation:
            now = time.time()
            self._load.on_ended(operation, status, now, now - self._sent)

    @property
    def usable(self) -> bool:
        """Whether the socket is still open."""
        return self._sock.fileno() >= 0


class Load:
    """The load of one process, in phases of (seconds, operations per second)."""

    def __init__(
        self,
        target: tuple[str, int],
        phases: list[tuple[float, float]],
        seed: int,
        max_connections: int,
        objects: int,
    ) -> None:
        self.target = target
        self.phases = phases
        self._max_connections = max_connections
        self._objects = objects
        self.random = random.Random(seed)
        self.poller = Poller(256)
        self.timers = Timers()
        self.statistics = Statistics()
        self.idle_connections: deque[ClientConnection] = deque()
        self.open_count = 0
        self._start = 0.0
        self._pending = 0  # operations not yet ended

    async def run(self) -> None:
        """Play all phases, then wait until everything has ended."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.timers.run)
            nursery.start_soon(self.poller.run)
            now = self._start = time.time()
            for seconds, rate in self.phases:
                end = now + seconds
                while rate and now < end:
                    now += self.random.expovariate(rate)
                    if now >= end:
                        break
                    if (wait := now - time.time()) > 0.0005:
                        await trio.sleep(wait)
                    self._start_operation(time.time())
                now = end
                if (wait := now - time.time()) > 0:
                    await trio.sleep(wait)
            with trio.move_on_after(10):
                while self._pending:
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    def _start_operation(self, now: float) -> None:
        profile = self.random.choices(CLASS_PROFILES, [k.share for k in CLASS_PROFILES])[0]
        # Zipf-like popularity: a few objects are requested often, most of them once.
        name = int(self._objects ** self.random.random())
        path = f"/api/v2/{profile.name}/{name:016x}/n-{self.random.randrange(8)}".encode()
        second = int(now - self._start)
        self.statistics.requested[second] += 1
        self.statistics.requested_value[second] += profile.value_weight
        self._pending += 1
        self._send_next_request(Operation(profile, path, now))

    def _send_next_request(self, operation: Operation) -> None:
        now = time.time()
        operation.request_count += 1
        self.statistics.request_count += 1
        while self.idle_connections:
            idle_connection = self.idle_connections.pop()
            # The platform's clients close connections that were idle for 4 s.
            if idle_connection.usable and now - idle_connection.idle_since < 4:
                return idle_connection.send_request(operation, now)
            idle_connection.end("idle")
        if self.open_count >= self._max_connections:
            self.statistics.not_sent_count += 1
            return self.on_ended(operation, "no-connection", now, 0.0)
        ClientConnection(self).send_request(operation, now)

    def on_ended(self, operation: Operation, status: str, now: float, duration: float) -> None:
        """Count the end of a request, and retry the operation if permitted."""
        self.statistics.statuses[status] += 1
        if status in ("200", "304"):
            self._pending -= 1
            self.statistics.response_times.append(duration)
            if now - operation.started_at <= operation.profile.latency_objective:
                second = int(operation.started_at - self._start)
                self.statistics.in_time[second] += 1
                self.statistics.in_time_value[second] += operation.profile.value_weight
                self.statistics.in_time_by_class[operation.profile.name] += 1
            return
        if status in ("503", "429"):
            self.statistics.rejection_times.append(duration)
        # A write is retried only after a rejection, or if it was never sent.
        again = not operation.profile.write or status in ("503", "429", "no-connection")
        if again and operation.request_count < 3:
            self.timers.call_at(now + self.random.uniform(0.1, 0.5), self._send_next_request, operation)
        else:
            self._pending -= 1

    def report(self) -> dict[str, Any]:
        """Return the statistics in the form of the JSON report."""
        t = self.statistics
        return {
            "asked": t.requested,
            "worth_asked": t.requested_value,
            "good": t.in_time,
            "worth_good": t.in_time_value,
            "statuses": t.statuses,
            "kinds": t.in_time_by_class,
            "tries": t.request_count,
            "not_sent": t.not_sent_count,
            "waits": sorted(t.response_times)[:: max(1, len(t.response_times) // 1000)],
            "refusals": sorted(t.rejection_times)[:: max(1, len(t.rejection_times) // 1000)],
        }


def main(arguments: list[str]) -> None:
    """Generate the load and print the report as one JSON line."""
    parser = argparse.ArgumentParser(prog="python -m brackenlane.lab.load", description=__doc__)
    parser.add_argument("port", type=int)
    parser.add_argument("phases", nargs="+", help="SECONDS:RATE, one after the other")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--connections", type=int, default=80, help="open at once, at most")
    parser.add_argument("--objects", type=int, default=100_000)
    options = parser.parse_args(arguments)
    phases = [(float(a), float(b)) for a, _, b in (text.partition(":") for text in options.phases)]
    load = Load(("127.0.0.1", options.port), phases, options.seed, options.connections, options.objects)
    trio.run(load.run)
    print(orjson.dumps(load.report(), option=orjson.OPT_NON_STR_KEYS).decode())


if __name__ == "__main__":
    main(sys.argv[1:])
