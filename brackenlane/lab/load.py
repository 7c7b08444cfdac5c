"""Open-loop load: requests come at their drawn times whether or not earlier ones were answered.

Clients are impatient and try again, as the platform's do: a request unanswered at its deadline is closed, one
refused or failed is tried again up to twice after a wait. What counts is the share of first tries that were
served within their aim, by seconds of their arrival.
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
class Kind:
    """A class as its clients ask for it."""

    name: str
    share: float
    latency_objective: float
    ttl: float
    value_weight: float
    write: bool = False


KINDS = (
    Kind("video-parts", 0.56, 0.5, 6.0, 2.0),
    Kind("sheet-pages", 0.405, 0.3, 2.5, 1.0),
    Kind("sheet-submit", 0.035, 0.8, 3.0, 3.0, write=True),
)


@dataclass(slots=True)
class Want:
    """One thing that a client wants, over all its tries."""

    kind: Kind
    path: bytes
    born: float
    tries: int = 0


class Tally:
    """What became of it, by the second in which it was first asked for."""

    def __init__(self) -> None:
        self.requested: Counter[int] = Counter()
        self.value_requested: defaultdict[int, float] = defaultdict(float)
        self.good: Counter[int] = Counter()
        self.worth_good: defaultdict[int, float] = defaultdict(float)
        self.statuses: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        self.waits: list[float] = []
        self.refusals: list[float] = []  # seconds from sending a try to its refusal
        self.tries = self.unanswered = self.not_sent = 0


def stamp(now: float, rng: random.Random) -> bytes:
    """An id that tells whoever traces it when it was sent: microseconds, and 12 bits of chance."""
    return b"%016x" % (int(now * 1e6) << 12 | rng.getrandbits(12))


class Client:
    """One connection: one request at a time."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.connect_ex(load.target)
        self._want: Want | None = None
        self._sent = 0.0
        self._in = bytearray()
        self._out = b""
        self._timer: Timer | None = None
        self._length = -1
        self.idle_since = 0.0
        load.poller.add(self._sock.fileno(), self._ready, READ)
        load.open += 1

    def ask(self, want: Want, now: float) -> None:
        """Send one try."""
        kind = want.kind
        ttl = kind.ttl * self._load.random.uniform(0.5, 1.0)
        body = b"signed" * 40 if kind.write else b""
        self._want = want
        self._sent = now
        self._length = -1
        self._out = (
            b"%b %b HTTP/1.1\r\nHost: api.internal\r\nX-Txn: %b\r\nX-Ttl-Ms: %d\r\nX-Shard: 17\r\n%b%b\r\n%b"
        ) % (
            b"PUT" if kind.write else b"GET",
            want.path,
            stamp(now, self._load.random),
            int(ttl * 1000),
            b"X-Second-Try: 1\r\n" if want.tries > 1 else b"",
            b"Content-Length: %d\r\n" % len(body) if body else b"",
            body,
        )
        self._timer = self._load.timers.at(now + ttl, self._give_up)
        self._flush()

    def _flush(self) -> None:
        try:
            sent = self._sock.send(self._out)
        except BlockingIOError:
            sent = 0
        except OSError:
            return self.end("refused-connect")
        self._out = self._out[sent:]
        self._load.poller.want(self._sock.fileno(), READ | WRITE if self._out else READ)

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
            self._finish(str(self._status))

    def _finish(self, how: str) -> None:
        want, self._want = self._want, None
        if self._timer:
            self._timer.cancel()
        if want is None:
            return self.end("unasked")
        now = time.time()
        self._load.ended(want, how, now, now - self._sent)
        if self._close:
            return self.end("done")
        self._load.idle.append(self)
        self.idle_since = now

    def _give_up(self) -> None:
        self.end("timeout")

    def end(self, how: str) -> None:
        """Close; what was asked for here has ended that way."""
        if self._sock.fileno() < 0:
            return
        self._load.open -= 1
        self._load.poller.remove(self._sock.fileno())
        self._sock.close()
        if self._timer:
            self._timer.cancel()
        want, self._want = self._want, None
        if want:
            now = time.time()
            self._load.ended(want, how, now, now - self._sent)

    @property
    def usable(self) -> bool:
        """Whether its socket is still open."""
        return self._sock.fileno() >= 0


class Load:
    """One process's part of the load, by phases of (seconds, first tries a second)."""

    def __init__(
        self, target: tuple[str, int], phases: list[tuple[float, float]], seed: int, most: int, objects: int
    ) -> None:
        self.target = target
        self.phases = phases
        self._most = most
        self._objects = objects
        self.random = random.Random(seed)
        self.poller = Poller(256)
        self.timers = Timers()
        self.tally = Tally()
        self.idle: deque[Client] = deque()
        self.open = 0
        self._start = 0.0
        self._left = 0  # wants without their end

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
                    self._arrive(time.time())
                now = end
                if (wait := now - time.time()) > 0:
                    await trio.sleep(wait)
            with trio.move_on_after(10):
                while self._left:
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    def _arrive(self, now: float) -> None:
        kind = self.random.choices(KINDS, [k.share for k in KINDS])[0]
        # A few objects are wanted often, most once: a Zipf-like draw over so many objects.
        name = int(self._objects ** self.random.random())
        path = f"/api/v2/{kind.name}/{name:016x}/n-{self.random.randrange(8)}".encode()
        second = int(now - self._start)
        self.tally.requested[second] += 1
        self.tally.value_requested[second] += kind.value_weight
        self._left += 1
        self._try(Want(kind, path, now))

    def _try(self, want: Want) -> None:
        now = time.time()
        want.tries += 1
        self.tally.tries += 1
        while self.idle:
            client = self.idle.pop()
            # The platform's clients close connections after 4 s idle.
            if client.usable and now - client.idle_since < 4:
                return client.ask(want, now)
            client.end("idle")
        if self.open >= self._most:
            self.tally.not_sent += 1
            return self.ended(want, "no-connection", now, 0.0)
        Client(self).ask(want, now)

    def ended(self, want: Want, how: str, now: float, took: float) -> None:
        """One try has ended."""
        self.tally.statuses[how] += 1
        if how in ("200", "304"):
            self._left -= 1
            self.tally.waits.append(took)
            if now - want.born <= want.kind.latency_objective:
                second = int(want.born - self._start)
                self.tally.good[second] += 1
                self.tally.worth_good[second] += want.kind.value_weight
                self.tally.kinds[want.kind.name] += 1
            return
        if how in ("503", "429"):
            self.tally.refusals.append(took)
        # A write is tried again only after a refusal, or where it was never sent.
        again = not want.kind.write or how in ("503", "429", "no-connection")
        if again and want.tries < 3:
            self.timers.at(now + self.random.uniform(0.1, 0.5), self._try, want)
        else:
            self._left -= 1

    def report(self) -> dict[str, Any]:
        """All of it as JSON."""
        t = self.tally
        return {
            "asked": t.requested,
            "worth_asked": t.value_requested,
            "good": t.good,
            "worth_good": t.worth_good,
            "statuses": t.statuses,
            "kinds": t.kinds,
            "tries": t.tries,
            "not_sent": t.not_sent,
            "waits": sorted(t.waits)[:: max(1, len(t.waits) // 1000)],
            "refusals": sorted(t.refusals)[:: max(1, len(t.refusals) // 1000)],
        }


def main(arguments: list[str]) -> None:
    """Play one process's part and print its report as one JSON line."""
    parser = argparse.ArgumentParser(prog="python -m brackenlane.lab.load", description=__doc__)
    parser.add_argument("port", type=int)
    parser.add_argument("phases", nargs="+", help="SECONDS:RATE, one after the other")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--connections", type=int, default=80, help="open at once, at most")
    parser.add_argument("--objects", type=int, default=100_000)
    reported = parser.parse_args(arguments)
    phases = [(float(a), float(b)) for a, _, b in (text.partition(":") for text in reported.phases)]
    load = Load(("127.0.0.1", reported.port), phases, reported.seed, reported.connections, reported.objects)
    trio.run(load.run)
    print(orjson.dumps(load.report(), option=orjson.OPT_NON_STR_KEYS).decode())


if __name__ == "__main__":
    main(sys.argv[1:])
