"""Simulated clients: random requests to all running routers, each recorded with its answer."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable

import trio

from brackenlane.lab.cluster.record import Record

# (name, share of the requests, value, latency objective in seconds) of each class of requests.
CLASSES = (("video-parts", 0.4, 2.0, 0.5), ("sheet-pages", 0.5, 1.0, 0.3), ("sheet-submit", 0.1, 3.0, 0.8))
TTL_S = 2.0  # seconds: the time limit that a client gives in X-Ttl-Ms


class Clients:
    """Sends requests until `running` is set to False."""

    def __init__(
        self, record: Record, ports: Callable[[], list[tuple[int, int]]], rate: float, objects: int, seed: int
    ) -> None:
        """ports returns (number, HTTP port) of each running router.

        rate: requests a second at all routers together.
        """
        self._record = record
        self._ports = ports
        self._rate = rate
        self._rng = random.Random(seed)
        self.running = True
        self._objects = [f"{random.Random(n).getrandbits(64):016x}" for n in range(objects)]
        self._popularity = [1 / (n + 1) for n in range(objects)]

    async def run(self) -> None:
        """Send requests as a Poisson process; the popularity of objects follows Zipf's law."""
        async with trio.open_nursery() as nursery:
            while self.running:
                await trio.sleep(self._rng.expovariate(self._rate))
                if ports := self._ports():
                    nursery.start_soon(self._send_request, *self._rng.choice(ports))

    async def _send_request(self, router: int, port: int) -> None:
        cls = self._rng.choices(CLASSES, [c[1] for c in CLASSES])[0][0]
        [obj] = self._rng.choices(self._objects, self._popularity)
        request_id = f"{self._rng.getrandbits(64):016x}"
        requested = self._record.now
        self._record.add("ask", router, id=request_id, cls=cls, obj=obj, ttl=TTL_S)
        method, body = ("PUT", b"sheet") if cls == "sheet-submit" else ("GET", b"")
        head = (
            f"{method} /api/v2/{cls}/{obj}/n-0 HTTP/1.1\r\nHost: a\r\nX-Txn: {request_id}\r\nX-Shard: 17\r\n"
            f"X-Ttl-Ms: {int(TTL_S * 1000)}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        data = b""
        with trio.move_on_after(TTL_S + 3.0), contextlib.suppress(OSError, trio.BrokenResourceError):
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                await stream.send_all(head.encode() + body)
                while chunk := await stream.receive_some(65_536):
                    data += chunk
        status_line = data.split(b" ", 2)
        if len(status_line) < 3 or b"\r\n\r\n" not in data:
            return self._record.add("broken", router, id=request_id)
        body_fields = data.partition(b"\r\n\r\n")[2].split(b" ")
        issued = (
            int(body_fields[2])
            if status_line[1] == b"200" and len(body_fields) == 3 and body_fields[2].isdigit()
            else 0
        )
        self._record.add(
            "answer",
            router,
            id=request_id,
            status=int(status_line[1]),
            cls=cls,
            obj=obj,
            asked=requested,
            issued=issued,
        )


def served(record: Record, since: float = 0.0, until: float = float("inf")) -> float:
    """Return the share of the requested value that was answered within the latency objective of its class.

    The objective may be exceeded by 0.2 s. `since` and `until` bound the times of
    the requests, in seconds of the record.
    """
    values = {c[0]: c[2] for c in CLASSES}
    objectives = {c[0]: c[3] for c in CLASSES}
    requested = sum(values[e.what["cls"]] for e in record.of("ask") if since <= e.at < until)
    in_time = sum(
        values[e.what["cls"]]
        for e in record.of("answer")
        if since <= e.what["asked"] < until
        and e.what["status"] in (200, 304)
        and e.at - e.what["asked"] <= objectives[e.what["cls"]] + 0.2
    )
    return in_time / requested if requested else 0.0
