"""One answer of the resolver, an alias to the root of the DNS, while an appliance serves its clients."""

from __future__ import annotations

import contextlib
from pathlib import Path

import trio

from brackenlane.lab.stand_ins.dns import DnsServer
from review.lib.bench import Bench, CannotRunError, play, wait_for
from review.lib.site import Appliance, line_of, open_boxes

HOST = "box-2.branch.example"
HOST_TTL = 1  # s
CALM_SECONDS = 3.0
WATCHED_SECONDS = 10.0
READ_INTERVAL = 0.05


async def script(bench: Bench, nursery: trio.Nursery) -> bool:
    """Return whether the router went on. Requests that find no router were not taken: they are noted."""
    _, boxes = await open_boxes(bench, nursery, 2)
    resolver = await DnsServer().open(nursery)
    resolver.set_records(HOST, "A", "127.0.0.1", ttl=HOST_TTL)
    router = Appliance(bench, "a", boxes, resolver_port=resolver.port, hosts={"box-2": f"{HOST}."})
    await router.start()

    async def is_found() -> bool:
        return "serving" in line_of(await router.console("boxes"), "box-2")

    await wait_for("the host name is looked up", 10.0, is_found)
    before = await _count_unanswered(router, CALM_SECONDS)
    if before or router.ended():
        raise CannotRunError("the router does not serve before the disruption")
    if bench.has_trouble:
        resolver.set_records(HOST, "A")
        resolver.set_records(HOST, "CNAME", ".", ttl=HOST_TTL)
        bench.note(f"the resolver answers for {HOST}: CNAME . (an alias to the root)")
    unanswered = await _count_unanswered(router, WATCHED_SECONDS)
    has_ended = router.ended()
    bench.note(f"{unanswered} requests had no answer; the router {'has ended' if has_ended else 'runs'}")
    if has_ended:
        await _start_again(bench, router)
    return not has_ended


async def _start_again(bench: Bench, router: Appliance) -> None:
    """Start the router once more while the resolver answers alike, and note whether it ends again."""
    with contextlib.suppress(CannotRunError):  # it ends before it is healthy
        await router.start()
    await _count_unanswered(router, CALM_SECONDS)
    bench.note(f"started again, the router {'has ended again' if router.ended() else 'runs'}")


async def _count_unanswered(router: Appliance, seconds: float) -> int:
    """Read for so many seconds; return how many requests got no answer."""
    unanswered = number = 0
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        number += 1
        _, answer = await router.read(f"{number:016x}")
        unanswered += not answer.status
        await trio.sleep(READ_INTERVAL)
    return unanswered


if __name__ == "__main__":
    play(Path(__file__).parent, script)
