"""A new server at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import os
from pathlib import Path

import trio

from brackenlane.lab.stand_ins.cache_commands import ReceivedRequest
from tests.stand_ins import (
    CacheStandIn,
    ChangeLogStandIn,
    RouterProcess,
    ScriptedReply,
    cache_as_record,
    data_reply,
    run_platform,
    with_trio,
)

ROUNDS = 6
REQUESTS_PER_ROUND = 24
SERVING, GONE = 0, 2
LIST_CHANGES = 2
GAP_SECONDS = 0.6  # between the news that the old server has gone and that of the new one
ORIGIN = "s-00000009"


def answer_half(requested: ReceivedRequest) -> ScriptedReply:
    """Leave every second request unanswered."""
    return data_reply(requested) if int(requested.id, 16) % 2 else None


async def send_requests(router: RouterProcess, nursery: trio.Nursery, statuses: list[int]) -> None:
    async def send(cls: str, body: bytes) -> None:
        obj = os.urandom(8).hex()
        statuses.append((await router.request_object(cls, obj, body, ttl=1000))[0])

    for number in range(REQUESTS_PER_ROUND):
        cls, body = ("sheet-submit", b"signed") if number % 2 else ("video-parts", b"")
        nursery.start_soon(send, cls, body)
    await trio.sleep(0.05)


@with_trio
async def test_new_server_at_the_address_of_one_that_has_gone_is_not_taken_for_it(tmp_path: Path) -> None:
    """Writes run once over all servers; in the gap between both nothing is sent to the address."""
    async with trio.open_nursery() as nursery:
        log = await ChangeLogStandIn().open(nursery)
        origin = await CacheStandIn(ORIGIN, "origin", answer=answer_half).open(nursery)
        current = await CacheStandIn("s-00000100", answer=answer_half).open(nursery)
        servers = [origin, current]
        statuses: list[int] = []
        event = 1
        async with run_platform(tmp_path, [current, origin], log) as router:
            for round_number in range(1, ROUNDS + 1):
                async with trio.open_nursery() as requests:
                    await send_requests(router, requests, statuses)
                    await current.close()  # resets its connections
                    gone, port = current, current.port
                    current = CacheStandIn(f"s-{0x100 + round_number:08x}", answer=answer_half)
                    current.port = port
                    servers.append(await current.open(nursery))
                    await send_requests(router, requests, statuses)
                    event += 1
                    await log.send_frame(event, LIST_CHANGES, cache_as_record(gone, GONE))
                    await trio.sleep(GAP_SECONDS / 3)
                    received_before = len(current.received)
                    connections_before = current.connection_count
                    await send_requests(router, requests, statuses)
                    await trio.sleep(GAP_SECONDS)
                    assert len(current.received) == received_before
                    event += 1
                    await log.send_frame(event, LIST_CHANGES, cache_as_record(current, SERVING))
                    await trio.sleep(GAP_SECONDS / 3)
                    await send_requests(router, requests, statuses)
                later = current.received[received_before:]
                assert later
                assert all(requested.connection > connections_before for requested in later)
        writes = [
            requested.id for server in servers for requested in server.received if requested.body == b"signed"
        ]
        assert len(writes) > ROUNDS * REQUESTS_PER_ROUND
        assert len(writes) == len(set(writes))
        assert len(statuses) == 4 * ROUNDS * REQUESTS_PER_ROUND
        nursery.cancel_scope.cancel()
