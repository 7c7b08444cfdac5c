"""What is stored outside the program stays as it is, whatever its modules and classes are called.

The samples in tests/data were written by the program's own code at 5cb6090, with its clock at SAVED; that of
version 1 by the code before 35ab276.
"""

from __future__ import annotations

import os
import re
import shutil
from pathlib import Path
from typing import Any, get_args

import orjson
import pytest
import trio

from brackenlane.coldstart.pacing import Capacity
from brackenlane.coldstart.phases import StartupPhases
from brackenlane.coldstart.stream_position import STREAM_START, StreamPosition
from brackenlane.config import load as load_config
from brackenlane.core.claims import ClaimResult
from brackenlane.discovery import snapshot, snapshot_codec
from brackenlane.discovery.merge import MembershipMerge
from brackenlane.discovery.records import CacheDefinition, OperatorOrder, Policy, RememberedMembers
from brackenlane.discovery.registry import Registry
from brackenlane.lab.stand_ins.redis import Redis
from brackenlane.limits import Limits
from brackenlane.ops.handover_index import HandoverIndex
from brackenlane.ops.handover_log import HandoverLog
from brackenlane.ops.handover_records import (
    HandoverRecord,
    MaintenanceEntered,
    MaintenanceExited,
    ProcessServing,
    ProcessStarted,
    RecordReader,
    SubmitClaimed,
    SubmitReleased,
    encode,
)
from brackenlane.platform_router import open_handover_log
from brackenlane.routing.members import Role
from brackenlane.store.event_codec import CacheDefined, OrderGiven, PurgeRequested
from brackenlane.store.shared_store import SharedStore, StoreSettings
from tests.stand_ins import with_trio

DATA = Path(__file__).parent / "data"
ROOT = Path(__file__).parent.parent
AGES = 1e9  # seconds for which a purge counts, so that those of the sample still do

EDGE = CacheDefinition("e-1", "192.0.2.7", 7001, "north", Role.EDGE, 2.5, 0)
PARENT = CacheDefinition("p-1", "parent.branch.example", 7002, "south", Role.PARENT, 1.0, 10)
ORIGIN = CacheDefinition("o-1", "2001:db8::9", 443, "south", Role.ORIGIN, 8.0, 0)
DRAIN = OperatorOrder(True, 1_700_000_000.25, "the console of door-a")
RESTORE = OperatorOrder(False, 1_700_000_100.5, "the console of door-b")

SAVED = 1_700_000_200.75
KEPT = snapshot_codec.Snapshot(
    RememberedMembers(
        (EDGE, PARENT),
        {"_cache._tcp.branch.example": (ORIGIN,), "_empty._tcp.branch.example": ()},
        {"parent.branch.example": "192.0.2.8"},
        {"e-1": DRAIN, "p-1": RESTORE},
    ),
    saved_at=SAVED,
    position=StreamPosition(1700000000123, 4),
    is_shutdown=True,
    purges=(("clip", -1, 1_700_000_150.5), ("", 7, 1_700_000_160.0)),
)

RECORDS: tuple[HandoverRecord, ...] = (
    ProcessStarted("0a1b2c3d"),
    ProcessServing("0a1b2c3d"),
    ProcessStarted("4e5f6071"),
    MaintenanceEntered("s-00000001", 1700000000.25),
    MaintenanceEntered("s-00000002", 1700000001.5),
    MaintenanceExited("s-00000002", 1700000002.75),
    SubmitClaimed("txn-1", "0a1b2c3d"),
    SubmitClaimed("txn-2", "4e5f6071"),
    SubmitReleased("txn-2"),
)


class RecordingRedis(Redis):
    """The stand-in store, and the commands that came, in their order."""

    def __init__(self, keys: dict[str, Any] | None = None) -> None:
        super().__init__()
        self.came: list[list[str]] = []
        self.keys.update(keys or {})

    async def _turn(
        self, command: list[str], queue: list[list[str]] | None
    ) -> tuple[bytes, list[list[str]] | None]:
        self.came.append([re.sub(r":loads:\d+$", ":loads:BUCKET", text) for text in command])
        return await super()._turn(command, queue)


def shared_at(redis: Redis, position: StreamPosition = STREAM_START) -> tuple[SharedStore, MembershipMerge]:
    """A view of the store in redis, from a place in its log on."""
    merge = MembershipMerge(Policy())
    roster = Registry(merge, lambda _: None, lambda *_: None)
    endpoint = ("127.0.0.1", redis.port)
    settings = StoreSettings(endpoint, "branch.example", "door-a", AGES, Capacity(2))
    return SharedStore(settings, roster, Limits(), StartupPhases(0.0), position), merge


async def follow_until_current(redis: Redis, shared: SharedStore, own: list[CacheDefinition]) -> None:
    """Run until the store is read whole and news are waited for."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(shared.run, own)
        await redis.seen.wait()
        nursery.cancel_scope.cancel()


async def write_store(redis: RecordingRedis) -> None:
    """One of each form that the program writes to the store."""
    shared, _ = shared_at(redis)
    await follow_until_current(redis, shared, [EDGE])
    assert await shared.publisher.publish(CacheDefined(PARENT))
    assert await shared.publisher.publish(OrderGiven("e-1", DRAIN))
    assert await shared.publisher.publish(OrderGiven("p-1", RESTORE))
    assert await shared.publisher.publish(PurgeRequested("clip", -1, 1_700_000_150.5))
    assert await shared.publisher.publish(PurgeRequested("", 7, 1_700_000_160.0))
    assert await shared.claims.claim("txn-1") is ClaimResult.OURS
    assert await shared.claims.claim("txn-2") is ClaimResult.OURS
    await shared.claims.release("txn-2")


def stored_keys() -> dict[str, Any]:
    """The store's sample, as the stand-in holds it: entries of a stream by their two numbers."""
    keys: dict[str, Any] = orjson.loads((DATA / "store-keys.json").read_bytes())
    return {
        key: [((int(at[0]), int(at[1])), fields) for at, fields in value]
        if isinstance(value, list)
        else value
        for key, value in keys.items()
    }


def without_places(keys: dict[str, Any]) -> dict[str, Any]:
    """The store's content but for what its clock made."""
    return {
        re.sub(r":loads:\d+$", ":loads:BUCKET", key): [fields for _, fields in value]
        if isinstance(value, list)
        else value
        for key, value in keys.items()
    }


@with_trio
async def test_store_gets_the_same_commands_and_keys() -> None:
    """Keys, fields, options and JSON of every command are those of the sample."""
    async with trio.open_nursery() as nursery:
        redis = await RecordingRedis().open(nursery)
        await write_store(redis)
        nursery.cancel_scope.cancel()
    assert redis.came == orjson.loads((DATA / "store-commands.json").read_bytes())
    assert without_places(redis.keys) == without_places(stored_keys())


@pytest.mark.parametrize(
    ("position", "others"),
    [(STREAM_START, {EDGE, PARENT}), (StreamPosition(1700000200750, 0), {PARENT})],
)
def test_store_is_read_to_the_same_state(position: StreamPosition, others: set[CacheDefinition]) -> None:
    """A whole load, and a place behind the first entry of the log, give caches, orders and purges."""
    keys = stored_keys()
    keys["brackenlane:branch.example:pace"] = '{"asks": 5, "loads": 3.5}'  # the operator's to write

    @with_trio
    async def read() -> None:
        async with trio.open_nursery() as nursery:
            redis = await RecordingRedis(keys).open(nursery)
            shared, merge = shared_at(redis, position)
            await follow_until_current(redis, shared, [EDGE])
            assert not any(command[0] == "SET" for command in redis.came)  # the file is there already
            assert await shared.claims.claim("txn-1") is ClaimResult.TAKEN
            assert await shared.claims.claim("txn-2") is ClaimResult.OURS
            nursery.cancel_scope.cancel()
        memory = merge.to_remember()
        assert set(memory.definitions) == others
        assert not memory.srv_members
        assert memory.orders == {"e-1": DRAIN, "p-1": RESTORE}
        assert str(shared.position) == "1700000200750-5"
        told_at = pytest.approx(SAVED, abs=5.0)  # by the store's clock, less the time of an answer
        assert shared.purges == {("clip", -1): told_at, ("", 7): told_at}
        assert (shared.pacing.capacity.request_rate, shared.pacing.capacity.load_rate) == (5.0, 3.5)

    read()


@pytest.mark.parametrize(
    ("sample", "retained"),
    [
        ("last-list-2.json", KEPT),
        (
            "last-list-1.json",
            snapshot_codec.Snapshot(KEPT.memory, SAVED),
        ),  # knew neither place nor leaving nor purges
    ],
)
def test_last_list_is_read_to_the_same_state(
    sample: str, retained: snapshot_codec.Snapshot, tmp_path: Path
) -> None:
    """Boxes, lists, addresses, orders, place and purges, of each version."""
    path = Path(shutil.copy(DATA / sample, tmp_path))  # a copy, since one that can't be read is moved
    assert snapshot.load(path) == retained


def test_last_list_is_written_the_same(tmp_path: Path) -> None:
    """Byte for byte, under a version and a checksum, and nothing beside it."""
    snapshot.save(tmp_path / "last-list.json", snapshot_codec.dump(KEPT))
    assert (tmp_path / "last-list.json").read_bytes() == (DATA / "last-list-2.json").read_bytes()
    assert os.listdir(tmp_path) == ["last-list.json"]


def test_damaged_last_list_is_set_aside(tmp_path: Path) -> None:
    """Its name is the operator's to find."""
    (tmp_path / "last-list.json").write_bytes(b"{}")
    assert snapshot.load(tmp_path / "last-list.json") is None
    assert os.listdir(tmp_path) == ["last-list.json.damaged"]


def test_handover_records_are_read_and_written_the_same() -> None:
    """Every kind of record, and what they add up to."""
    data = (DATA / "ledger").read_bytes()
    reader, index = (
        RecordReader(Limits().max_handover_record_size),
        HandoverIndex(Limits().max_handover_claims),
    )
    reader_records = tuple(reader.feed(data))
    assert reader_records == RECORDS
    assert reader.damaged_lines == 0
    assert [type(record) for record in reader_records] == [type(record) for record in RECORDS]
    assert {type(record) for record in RECORDS} == set(get_args(HandoverRecord))
    assert b"".join(map(encode, RECORDS)) == data
    for record in RECORDS:
        index.apply(record)
    assert index.is_serving == {"0a1b2c3d": True, "4e5f6071": False}
    assert index.out_of_service == {"s-00000001": 1_700_000_000.25}
    assert index.claims == {"txn-1": "0a1b2c3d"}
    assert b"".join(map(encode, index.summary())) == (DATA / "ledger-rewritten").read_bytes()


@pytest.mark.parametrize("sample", ["ledger", "ledger-rewritten"])
def test_next_process_reads_the_handover_log(
    sample: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The folder by the address that is listened at, the files in it, and what outlives its processes."""
    config = load_config(str(ROOT / "example/config.json"))
    folder = tmp_path / "brackenlane.{}.{}".format(*config.listen)
    folder.mkdir()
    shutil.copy(DATA / sample, folder / "ledger")
    (folder / "life.0a1b2c3d").touch()  # its process has ended: nobody holds its lock
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    handover_log = open_handover_log(config, Limits())
    assert isinstance(handover_log, HandoverLog)
    assert handover_log.index.is_serving == {handover_log.process_id: False}
    assert handover_log.index.out_of_service == {"s-00000001": 1_700_000_000.25}
    assert handover_log.index.claims == {"txn-1": "0a1b2c3d"}
    assert set(os.listdir(folder)) == {"ledger", "starting", f"life.{handover_log.process_id}"}
    handover_log.close()
