"""What ends something, and who is owed what then: the real program, each crossing forced by the peers."""

from __future__ import annotations

import signal
from pathlib import Path

import trio

from tests.stand_ins import SETTINGS, Box, platform, with_trio

EDGE, ORIGIN = "s-00000001", "s-00000009"


@with_trio
async def test_last_answers_come_before_the_platform_kills(tmp_path: Path) -> None:
    """Deadlines of 2 s: SIGKILL comes 2.7 s after SIGTERM, whatever a client's own patience."""
    classes = [{**c, "GiveUpS": 2.0} for c in SETTINGS["Classes"]]
    async with trio.open_nursery() as nursery:
        boxes = [await Box(name, model, lambda asked: None).open(nursery)
                 for name, model in ((EDGE, "type-a"), (ORIGIN, "origin"))]
        async with platform(tmp_path, boxes, probe=True, settings={"Classes": classes}) as doorman:
            async with trio.open_nursery() as clients:
                found: list[int] = []

                async def ask() -> None:
                    found.append((await doorman.ask(ttl=20_000))[0])

                clients.start_soon(ask)
                await boxes[0].until(lambda: bool(boxes[0].asked))
                doorman.process.send_signal(signal.SIGTERM)
                with trio.move_on_after(2.7):
                    assert await doorman.process.wait() == 0
                doorman.process.kill()
            assert found == [503]
        nursery.cancel_scope.cancel()
