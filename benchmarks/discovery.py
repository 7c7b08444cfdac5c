"""Discovery: drains during SRV churn, delay of SRV changes, merge cost by size, and an unreachable resolver.

    python benchmarks/discovery.py [--check] [--quick]

Runs the real appliance with a scripted DNS server and stand-in caches in this process; the merge is measured
in memory only.
"""

from __future__ import annotations

import argparse
import contextlib
import math
import os
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path
from typing import Any

import dns.asyncquery
import dns.message
import trio

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from brackenlane.discovery.merge import MembershipMerge  # noqa: E402
from brackenlane.discovery.records import (  # noqa: E402
    CacheDefinition,
    DefinitionSource,
    OperatorOrder,
    Policy,
    SrvRecord,
    SrvWatch,
    srv_cache_id,
)
from brackenlane.lab.bounds import at_least, at_most, conclude  # noqa: E402
from brackenlane.lab.cache_servers import Behaviour, RequestCounts, serve  # noqa: E402
from brackenlane.lab.site import checkout, free_ports  # noqa: E402
from brackenlane.lab.stand_ins.cache_server import CacheStandIn  # noqa: E402
from brackenlane.lab.stand_ins.dns import DnsServer, Fault  # noqa: E402

BOUNDS = {
    "drain_worst_ms": at_most(500.0),  # from the drain to the last answer that names the cache
    "drain_broken": at_most(0),  # drains with a later answer that names the cache
    "srv_change_over_ttl_ms": at_most(1500.0),  # beyond the TTL (and grace period, for a removal)
    "merge_growth": at_most(1.6),  # cost per n log n, at 10,000 caches compared with 100
    "wrong_address_ratio": at_most(1.2),  # time at a wrong address, compared with the baseline
    "queries_ratio": at_most(1.5),
    "served_share_away": at_least(0.99),  # share served without the resolver, compared with it
}
BASELINE = "d93f844"  # the last version that resolved host names without brackenlane.discovery
SRV = "_cache._tcp.branch.test"
OBJECTS = [f"{n:x}" for n in range(16)]


def merge_costs(sizes: tuple[int, ...]) -> dict[str, Any]:
    """Measure the time of one change of a merged list by size, and the memory per cache."""
    found: dict[int, float] = {}
    memory = 0.0
    for size in sizes:
        tracemalloc.start()
        membership_merge = MembershipMerge(Policy(max_caches=4 * size), [SrvWatch(SRV, "branch")])
        third = size // 3
        records = [SrvRecord(f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", 80, 0, 8) for n in range(size)]
        for origin, part in (
            (DefinitionSource.FILE, records[:third]),
            (DefinitionSource.STORE, records[third // 2 : 2 * third]),
        ):
            # In one call: separate calls would run n merges.
            membership_merge.sources.definitions.replace_all(
                origin,
                [
                    CacheDefinition(f"{origin.name.lower()}-{n}", t.host, 80, "branch")
                    for n, t in enumerate(part)
                ],
            )
        membership_merge.apply_srv_answer(SRV, records, "u", 1.0)
        memory = tracemalloc.get_traced_memory()[0] / size
        tracemalloc.stop()
        durations = []
        for number in range(5):
            started_at = time.perf_counter()
            membership_merge.apply_srv_answer(SRV, records[: -1 - number], "u", 2.0 + number)
            durations.append(time.perf_counter() - started_at)
        drains = []
        for number in range(20):
            started_at = time.perf_counter()
            membership_merge.order(
                srv_cache_id(records[-30 - number].host, 80), OperatorOrder(True, 3.0, "b")
            )
            drains.append(time.perf_counter() - started_at)
        found[size] = sorted(durations)[2]
        print(
            f"merge of {size:6} boxes: {found[size] * 1000:8.2f} ms a change of the list, "
            f"{sorted(drains)[10] * 1e6:8.0f} us a drain, {memory:.0f} bytes a box",
            flush=True,
        )
    small = min(sizes)
    large = max(sizes)
    growth = (found[large] / (large * math.log(large))) / (found[small] / (small * math.log(small)))
    return {"merge_growth": growth, "merge_ms_10000": found[large] * 1000, "bytes_a_box": memory}


def appliance_file(http: int, dns: int, resolver: int, origin: int) -> str:
    """Return the start of an appliance file with the example's settings; the arguments are local ports."""
    text = (ROOT / "deploy" / "appliance.toml").read_text()
    settings = text[text.index("[settings]") : text.index("[[box]]")]
    return f"""name = "bench"
http = "127.0.0.1:{http}"
dns = "127.0.0.1:{dns}"
zone = "caches.test."
console = "c.sock"
resolver = "127.0.0.1:{resolver}"
{settings}
[[box]]
id = "origin"
host = "127.0.0.1"
port = {origin}
zone = "head-office"
role = "origin"
"""


class ApplianceHarness:
    """An appliance with its DNS server and its caches."""

    def __init__(self, folder: Path, server: DnsServer, caches: list[int], origin: int) -> None:
        self.server = server
        self.caches = caches
        self.ids = [srv_cache_id(f"box-{n}.branch.test", port) for n, port in enumerate(caches)]
        [self.http, self.dns] = free_ports(2)
        self.file = folder / "a.toml"
        head = appliance_file(self.http, self.dns, server.port, origin)
        self.file.write_text(f"""{head}[[discover]]
srv = "{SRV}."
zone = "branch"
[discovery]
grace = 0.5
confirm = 0.3
floor = 0.1
""")
        for number in range(len(caches)):
            server.set_records(f"box-{number}.branch.test", "A", "127.0.0.1", ttl=1)
        self.publish_srv(*range(len(caches)))

    def publish_srv(self, *numbers: int, priority: int = 0, ttl: int = 1) -> None:
        """Publish SRV records of these caches."""
        self.server.set_records(
            SRV, "SRV", *(f"{priority} 8 {self.caches[n]} box-{n}.branch.test." for n in numbers), ttl=ttl
        )

    async def resolve(self, obj: str) -> str:
        """Return the cache that one DNS answer names, or an empty string."""
        message = dns.message.make_query(f"_http._tcp.{obj}.video-parts.caches.test.", "SRV")
        found = await dns.asyncquery.udp(message, "127.0.0.1", port=self.dns, timeout=5)
        return found.answer[0][0].target.to_text().split(".")[0] if found.answer else ""

    async def console(self) -> trio.SocketStream:
        """Connect to the console socket as soon as it exists."""
        while True:
            try:
                return await trio.open_unix_socket(str(self.file.parent / "c.sock"))
            except OSError:
                await trio.sleep(0.05)


async def command(stream: trio.SocketStream, line: str) -> str:
    """Send one console command and return its output."""
    await stream.send_all(line.encode() + b"\n")
    answer = b""
    while not answer.endswith(b"\n\n"):
        answer += await stream.receive_some(65_536)
    return answer.decode()


async def churn_srv(harness: ApplianceHarness) -> None:
    """Change the SRV records and inject resolver faults until cancelled."""
    number = 0
    while True:
        number += 1
        harness.publish_srv(
            *[n for n in range(len(harness.caches)) if n != number % 7], priority=number % 3, ttl=0
        )
        faults = [Fault.SERVFAIL, Fault.LOST, Fault.CUT, Fault.HALF]
        harness.server.set_faults(*faults[number % 4 : number % 4 + 1] if number % 2 else [])
        await trio.sleep(0.05)


async def measure_drains(harness: ApplianceHarness, count: int) -> dict[str, Any]:
    """Drain and restore one cache after another while four tasks query names continuously."""
    last_named_at: dict[str, float] = {}  # by cache ID: time of the last answer that named it
    async with trio.open_nursery() as nursery:

        async def request(start: int) -> None:
            number = start
            while True:
                number += 1
                sent = time.monotonic()
                if name := await harness.resolve(OBJECTS[number % len(OBJECTS)]):
                    last_named_at[name] = time.monotonic()
                await trio.sleep(max(0.0, 0.002 - (time.monotonic() - sent)))

        for start in range(4):
            nursery.start_soon(request, start)
        nursery.start_soon(churn_srv, harness)
        console = await harness.console()
        worst = 0.0
        broken = 0
        for number in range(count):
            server = harness.ids[number % len(harness.ids)]
            started_at = time.monotonic()
            await command(console, f"drain {server}")
            await trio.sleep(0.52 if number % 10 == 0 else 0.05)
            late = last_named_at.get(server, 0.0) - started_at
            worst = max(worst, late)
            broken += late > 0.5
            await command(console, f"restore {server}")
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    harness.server.set_faults()
    harness.publish_srv(*range(len(harness.caches)))
    return {"drain_worst_ms": max(0.0, worst) * 1000, "drain_broken": broken, "drains": count}


async def measure_srv_changes(harness: ApplianceHarness, count: int) -> dict[str, Any]:
    """Measure the delay of SRV changes beyond the TTL (and the grace period, for a removal)."""
    console = await harness.console()
    worst = 0.0
    for _ in range(count):
        for numbers, grace in ((range(len(harness.caches) - 1), 0.5), (range(len(harness.caches)), 0.0)):
            harness.publish_srv(*numbers, ttl=1)
            started_at = time.monotonic()
            last_id = harness.ids[-1]
            while (last_id in await command(console, "boxes")) is (len(numbers) < len(harness.caches)):
                await trio.sleep(0.02)
                assert time.monotonic() < started_at + 30, "a change is never used"
            worst = max(worst, time.monotonic() - started_at - 1.0 - grace)
    return {"srv_change_over_ttl_ms": worst * 1000}


async def measure_served_share(harness: ApplianceHarness, seconds: float) -> float:
    """Return the share of HTTP reads that were served."""
    good = request_count = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        request_count += 1
        stream = await trio.open_tcp_stream("127.0.0.1", harness.http)
        async with stream:
            await stream.send_all(
                b"GET /api/v2/video-parts/%016x/n-0 HTTP/1.1\r\nHost: a\r\nX-Txn: %b\r\n"
                b"X-Ttl-Ms: 2000\r\nX-Shard: 1\r\n\r\n" % (request_count, os.urandom(8).hex().encode())
            )
            good += (await stream.receive_some(100)).startswith(b"HTTP/1.1 200")
        await trio.sleep(0.005)
    return good / request_count


async def measure_appliance(quick: bool) -> dict[str, Any]:
    """Run all measurements that need the real appliance."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            ports = free_ports(7)
            nursery.start_soon(serve, ports, Behaviour(delay=0.005), 1, RequestCounts())
            server = await DnsServer().open(nursery)
            server.additional = False
            harness = ApplianceHarness(Path(folder), server, ports[:6], ports[6])
            process = await trio.lowlevel.open_process(
                [sys.executable, "-m", "brackenlane", "appliance", str(harness.file)],
                cwd=ROOT,
                stderr=(Path(folder) / "log").open("wb"),
            )
            try:
                console = await harness.console()
                while harness.ids[0] not in await command(console, "boxes"):
                    await trio.sleep(0.05)
                result = await measure_drains(harness, 60 if quick else 1000)
                await trio.sleep(2)
                result |= await measure_srv_changes(harness, 1 if quick else 5)
                share_with_resolver = await measure_served_share(harness, 2 if quick else 20)
                await server.close()
                share_without_resolver = await measure_served_share(harness, 3 if quick else 60)
                result |= {
                    "served_share_away": share_without_resolver / max(share_with_resolver, 0.01),
                    "served_share": share_with_resolver,
                    "memory_mb": int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
                    * os.sysconf("SC_PAGE_SIZE")
                    / 2**20,
                }
            finally:
                process.kill()
                await process.wait()
                log = (Path(folder) / "log").read_text()
                assert "Traceback" not in log, log
            nursery.cancel_scope.cancel()
    return result


async def measure_address_changes(tree: Path, moves: int) -> dict[str, float]:
    """Move a cache that has a host name, with resolver faults; measure how long the old address is used."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            server = await DnsServer().open(nursery)
            [origin, port, http, dns_port] = free_ports(4)
            cache = CacheStandIn("b")
            cache.host = "127.0.1.1"
            cache.port = port
            await cache.open(nursery)
            server.set_records("moving.branch.test", "A", cache.host)
            file = Path(folder) / "a.toml"
            head = appliance_file(http, dns_port, server.port, origin)
            file.write_text(f"""{head}[[box]]
id = "box-1"
host = "moving.branch.test."
port = {port}
zone = "branch"
""")
            process = await trio.lowlevel.open_process(
                [sys.executable, "-m", "brackenlane", "appliance", str(file)],
                cwd=tree,
                stderr=(Path(folder) / "log").open("wb"),
            )
            try:
                while True:
                    with contextlib.suppress(OSError):
                        console = await trio.open_unix_socket(str(file.parent / "c.sock"))
                        break
                    await trio.sleep(0.05)
                while f"{cache.host}:{port}" not in await command(console, "boxes"):
                    await trio.sleep(0.02)
                wrong_address_time = 0.0
                start = len(server.queries)
                started_at = time.monotonic()
                for number in range(moves):
                    await cache.close()
                    cache = CacheStandIn("b")
                    cache.host = f"127.0.1.{number + 2}"
                    cache.port = port
                    await cache.open(nursery)
                    server.set_records("moving.branch.test", "A", cache.host)
                    server.set_faults(*[(), (Fault.LOST,), (Fault.SERVFAIL,), (Fault.SPOOFED,)][number % 4])
                    moved_at = time.monotonic()
                    while f"{cache.host}:{port}" not in await command(console, "boxes"):
                        if time.monotonic() > moved_at + 2:
                            server.set_faults()
                        await trio.sleep(0.02)
                    wrong_address_time += time.monotonic() - moved_at
                    await trio.sleep(1.5)
                return {
                    "wrong_s": wrong_address_time / moves,
                    "queries_per_s": (len(server.queries) - start) / (time.monotonic() - started_at),
                }
            finally:
                process.kill()
                await process.wait()
                nursery.cancel_scope.cancel()
    raise AssertionError("not reached")


def compare_with_baseline(quick: bool) -> dict[str, Any]:
    """Measure address changes with the baseline version and with this one."""
    with checkout(BASELINE) as tree:
        baseline = trio.run(measure_address_changes, tree, 3 if quick else 12)
    current = trio.run(measure_address_changes, ROOT, 3 if quick else 12)
    print(
        f"a host name that moves: at a wrong address {current['wrong_s']:.2f} s "
        f"(follower {baseline['wrong_s']:.2f}), "
        f"{current['queries_per_s']:.2f} queries a second (follower {baseline['queries_per_s']:.2f})",
        flush=True,
    )
    return {
        "wrong_address_s": current["wrong_s"],
        "wrong_address_ratio": current["wrong_s"] / baseline["wrong_s"],
        "queries_ratio": current["queries_per_s"] / baseline["queries_per_s"],
    }


def main() -> int:
    """Run the benchmark; return 1 with --check if a bound is missed."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--check", action="store_true", help="exit 1 when a bound is missed")
    parser.add_argument("--quick", action="store_true", help="within 50 s")
    options = parser.parse_args()
    result = (
        merge_costs((100, 1000, 10_000))
        | trio.run(measure_appliance, options.quick)
        | compare_with_baseline(options.quick)
    )
    return conclude(result, BOUNDS, options.check)


if __name__ == "__main__":
    sys.exit(main())
