"""A short stall of the store: what is ordered at one router afterwards has to reach the other one."""

from __future__ import annotations

import os
import signal
import subprocess
from pathlib import Path

import trio

from review.lib.bench import Bench, CannotRunError, play, unix_time, wait_for
from review.lib.caches import Received
from review.lib.site import (
    Appliance,
    line_of,
    open_boxes,
    read_objects,
    start_store,
    store_answers,
    wait_until_current,
)

STALL_SECONDS = 1.0
LONGEST_STALL_SECONDS = 2.0  # a slow machine may prolong it; beyond this it is another case
QUIET_SECONDS = 5.0  # from the end of the stall to the order that is judged
WATCHED_SECONDS = 20.0  # after that order
DRAIN_SECONDS = 0.5 + 0.05  # the pages: nothing new later than 500 ms; each limit is 50 ms longer on sockets
JUDGED_BOX = "box-3"


async def script(bench: Bench, nursery: trio.Nursery) -> bool:
    """Return whether the drain ordered with the store up was kept: by b in answers, by a in requests."""
    _, boxes = await open_boxes(bench, nursery, 4)
    store, port = await start_store(bench)
    routers = [Appliance(bench, name, boxes, redis_port=port) for name in ("a", "b")]
    for router in routers:
        await router.start()
        await wait_until_current(router)
        nursery.start_soon(read_objects, router, 100.0)
    first, second = routers

    await first.console("drain box-1")  # as it goes without trouble

    async def is_shared() -> bool:
        return "draining" in line_of(await second.console("boxes"), "box-1")

    await wait_for("the second router has the first drain", 3.0, is_shared)
    await _order_in_stall(bench, store, first)
    await trio.sleep(QUIET_SECONDS)
    if not await store_answers(port):
        raise CannotRunError("the store does not answer, so this is another case")

    await first.console(f"drain {JUDGED_BOX}")
    ordered_at = unix_time()
    named = [await _count_answers(router, ordered_at) for router in routers[1:]]
    if not await store_answers(port):
        raise CannotRunError("the store does not answer, so this is another case")
    for router in routers:
        await router.console("boxes")
        await router.console("start")
    bench.note(f"{named[0]} DNS answers of b name {JUDGED_BOX} later than 500 ms after its drain")
    # Only the first router was told in the sense of the rule on requests; those of the second are noted.
    late = [_count_late(bench, router, boxes[2].received, ordered_at) for router in routers]
    return not late[0] and not any(named)


async def _order_in_stall(bench: Bench, store: subprocess.Popen[bytes], router: Appliance) -> None:
    """Stop the store for a second, and order a drain meanwhile; without trouble, only order it."""
    began = trio.current_time()
    if bench.has_trouble:
        store.send_signal(signal.SIGSTOP)
        bench.note("the store stalls")
    await router.console("drain box-2")
    await trio.sleep_until(began + STALL_SECONDS)
    if bench.has_trouble:
        store.send_signal(signal.SIGCONT)
        bench.note(f"the store goes on after {trio.current_time() - began:.2f} s")
        if trio.current_time() - began > LONGEST_STALL_SECONDS:
            raise CannotRunError("the machine is too slow for this case")


async def _count_answers(router: Appliance, ordered_at: float) -> int:
    """Ask a router by DNS while the case is watched; return how many late answers name the drained box."""
    count = 0
    end = trio.current_time() + WATCHED_SECONDS
    while trio.current_time() < end:
        asked_at = unix_time()
        records = await router.names_in_dns(f"_http._tcp.{os.urandom(8).hex()}.video-parts", "SRV")
        is_late = asked_at > ordered_at + DRAIN_SECONDS
        count += is_late and any(f" {JUDGED_BOX}.boxes." in record for record in records)
        await trio.sleep(0.1)
    return count


def _count_late(bench: Bench, router: Appliance, received: list[Received], ordered_at: float) -> int:
    """Return how many requests a router sent the drained box later than 500 ms after the order."""
    delays = [one.at - ordered_at for one in received if router.sent(one.id)]
    late = [delay for delay in delays if delay > DRAIN_SECONDS]
    last = f", the last one {late[-1]:.2f} s after it" if late else ""
    bench.note(
        f"{JUDGED_BOX} got {len(late)} requests of {router.name} later than 500 ms after its drain{last}"
    )
    return len(late)


if __name__ == "__main__":
    play(Path(__file__).parent, script)
