"""A box is taken out during an upgrade, while discovery is slow for the new process."""

from __future__ import annotations

import json
import signal
from http import HTTPStatus
from pathlib import Path

import trio

from review.lib.bench import ROOT, Bench, CannotRunError, play, unix_time
from review.lib.caches import Box, Origin
from review.lib.platform import ChangeLog, PlatformRouter, call, entry, late_requests
from review.lib.site import read_objects

SLOW_SECONDS = 1.8  # discovery sends nothing to the new process for so long
# The pages: the order binds from the yes or 1 s after the call, what the log tells 2 s after the process's
# yes and 4 s after the log's stop. From the latest: nothing new later than 500 ms, 50 ms longer on sockets.
CALL_SECONDS = 1.0
STOP_SECONDS = 4.0
DRAIN_SECONDS = 0.5 + 0.05
ORDER_SECONDS = 1.0  # from the event that adds the box to the call that takes it out
HANDOVER_SECONDS = 1.0  # from then to SIGTERM; the pages: within 6 s of the new process's yes
WATCHED_SECONDS = 15.0


async def script(bench: Bench, nursery: trio.Nursery) -> bool:
    """Return whether the box that was taken out gets nothing new."""
    settings = json.loads((ROOT / "example" / "config.json").read_text())["settings"]
    origin_content = Origin()
    boxes = [Box(f"s-0000000{number}", origin_content, bench.note, number == 4) for number in range(1, 6)]
    for box in boxes:
        await box.open(nursery)
    change_log = ChangeLog(settings)
    await change_log.open(nursery)
    known = [entry(box, "type-a", "edge-1", 0) for box in boxes[:2]]
    known += [entry(boxes[2], "parent", "central", 1), entry(boxes[3], "origin", "central", 1)]
    router = PlatformRouter(bench, known, change_log)
    old, old_ops = await router.start_process()
    nursery.start_soon(read_objects, router, 100.0)
    await trio.sleep(2.0)

    change_log.is_slow = bench.has_trouble
    await router.start_process()
    new_at = unix_time()
    added = boxes[4]
    change_log.tell_change(2, entry(added, "type-a", "edge-1", 0))
    bench.note(f"the change log tells of {added.name}")
    await trio.sleep(ORDER_SECONDS)
    status = await call(old_ops, "PUT", f"/maintenance/enter/{added.name}")
    bench.note(f"PUT /maintenance/enter/{added.name} at the old process: {status}")
    if status != HTTPStatus.OK:
        raise CannotRunError("the call was not answered with yes")
    bound_at = max(unix_time() + CALL_SECONDS, new_at + STOP_SECONDS) + DRAIN_SECONDS
    await trio.sleep(SLOW_SECONDS - ORDER_SECONDS)
    change_log.is_slow = False
    bench.note("the change log sends again on new connections")
    await trio.sleep(HANDOVER_SECONDS)
    old.send_signal(signal.SIGTERM)
    bench.note("SIGTERM to the old process")
    await trio.sleep(WATCHED_SECONDS)
    late = late_requests(boxes, added.name, bound_at)
    last = f", the last one {late[-1]:.2f} s after that" if late else ""
    bench.note(f"{added.name}, taken out, got {len(late)} requests later than the bound{last}")
    return not late


if __name__ == "__main__":
    play(Path(__file__).parent, script)
