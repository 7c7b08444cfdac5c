"""A planned restart within seconds of a purge: what is read afterwards must not be from before the purge."""

from __future__ import annotations

import signal
from http import HTTPStatus
from pathlib import Path

import trio

from review.lib.bench import Bench, CannotRunError, play, unix_time, wait_for
from review.lib.site import Appliance, open_boxes

GROUP = 17  # the group of all objects here, as the clients' X-Shard says
OBJECTS = tuple(f"7f3a9c21e0b4d6{number:02x}" for number in range(12))
HEED_SECONDS = 1.0  # the pages: a purge binds 1 s after the router was told
SLACK_SECONDS = 0.05  # the pages: each time limit is 50 ms longer on sockets
DROP_SECONDS = 5.8  # the boxes drop purged copies by themselves; the pages give them 6 s
WARM_SECONDS = 20.0  # until the boxes count as warm, as 18 s are set for it
READ_INTERVAL = 0.05
EXIT_SECONDS = 20.0


async def script(bench: Bench, nursery: trio.Nursery) -> bool:
    """Return whether no read that was sent after the purge bound was answered by a copy from before it."""
    origin, boxes = await open_boxes(bench, nursery, 2)
    router = Appliance(bench, "a", boxes)
    await router.start()
    warm_at = trio.current_time() + WARM_SECONDS
    while trio.current_time() < warm_at:
        await _read_all(router)
    for obj in OBJECTS:
        origin.replace(obj, DROP_SECONDS)
    answer = await router.console(f"purge group {GROUP}")
    purged_at = unix_time()
    if not answer.startswith("purged"):
        raise CannotRunError("the purge was not taken")
    if bench.has_trouble:
        await _restart(bench, router)
    reads = stale = 0
    while unix_time() < purged_at + DROP_SECONDS:
        for sent_at, body in await _read_all(router):
            if not body or sent_at <= purged_at + HEED_SECONDS + SLACK_SECONDS:
                continue
            reads += 1
            if body.endswith(b"version 1"):
                stale += 1
                bench.note(
                    f"a read sent {sent_at - purged_at:.2f} s after the purge got a copy from before it"
                )
    bench.note(f"{stale} of {reads} answers to reads later than 1 s after the purge are older than it")
    if not reads:
        raise CannotRunError("no read came while the boxes may hold purged copies")
    return not stale


async def _read_all(router: Appliance) -> list[tuple[float, bytes]]:
    """Read each object once; return when each was sent, and the body that was served."""
    found = []
    for obj in OBJECTS:
        sent_at = unix_time()
        _, answer = await router.read(obj)
        found.append((sent_at, answer.body if answer.status == HTTPStatus.OK else b""))
        await trio.sleep(READ_INTERVAL)
    return found


async def _restart(bench: Bench, router: Appliance) -> None:
    """Restart the router as planned: SIGTERM, and the same command once it has ended."""
    process = router.process
    if process is None:
        raise CannotRunError("the router was never started")
    process.send_signal(signal.SIGTERM)
    bench.note("SIGTERM to the router")

    async def has_ended() -> bool:
        return process.poll() is not None

    await wait_for("the router ends", EXIT_SECONDS, has_ended)
    bench.note(f"the router ended with {process.returncode}")
    await router.start()


if __name__ == "__main__":
    play(Path(__file__).parent, script)
