"""The formats of stored data stay the same when modules and classes of the program are renamed.

The program wrote the samples in tests/data at commit 5cb6090, with its clock at SAVED, and the snapshot of
version 1 before commit 35ab276.
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
from brackenlane.discovery.recent_purges import RecentPurges
from brackenlane.discovery.records import CacheDefinition, OperatorOrder, PersistedMembership, Policy
from brackenlane.discovery.registry import Registry
from brackenlane.lab.stand_ins.redis import Redis, Transaction
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
from brackenlane.store.publisher import PublishResult
from brackenlane.store.shared_store import SharedStore, StoreSettings
from tests.stand_ins import with_trio

DATA = Path(__file__).parent / "data"
ROOT = Path(__file__).parent.parent
PURGE_PROPAGATION_TIME = 1e9  # seconds; long enough that the purges of the sample have not expired

EDGE = CacheDefinition("e-1", "192.0.2.7", 7001, "north", Role.EDGE, 2.5, 0)
PARENT = CacheDefinition("p-1", "parent.branch.example", 7002, "south", Role.PARENT, 1.0, 10)
ORIGIN = CacheDefinition("o-1", "2001:db8::9", 443, "south", Role.ORIGIN, 8.0, 0)
DRAIN = OperatorOrder(True, 1_700_000_000.25, "the console of door-a")
RESTORE = OperatorOrder(False, 1_700_000_100.5, "the console of door-b")

SAVED = 1_700_000_200.75
SNAPSHOT = snapshot_codec.Snapshot(
    PersistedMembership(
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
    """A stand-in for Redis that records the commands received, in order."""

    def __init__(self, keys: dict[str, Any] | None = None) -> None:
        super().__init__()
        self.received_commands: list[list[str]] = []
        self.keys.update(keys or {})

    async def _execute(self, command: list[str], transaction: Transaction) -> bytes:
        self.received_commands.append([re.sub(r":loads:\d+$", ":loads:BUCKET", text) for text in command])
        return await super()._execute(command, transaction)


def open_shared_store(redis: Redis, position: StreamPosition = STREAM_START) -> tuple[SharedStore, Registry]:
    """Return a router's shared store, at a stream position, and the registry that it updates."""
    merge = MembershipMerge(Policy())
    purges = RecentPurges(2 * PURGE_PROPAGATION_TIME, limit=10)
    registry = Registry(merge, lambda _: None, lambda *_: None, purges)
    endpoint = ("127.0.0.1", redis.port)
    settings = StoreSettings(endpoint, "branch.example", "door-a", Capacity(2))
    return SharedStore(settings, registry, Limits(), StartupPhases(0.0), position), registry


async def run_until_current(redis: Redis, shared: SharedStore, file_caches: list[CacheDefinition]) -> None:
    """Run a router's shared store until it has read everything and waits for updates."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(shared.run, file_caches)
        await redis.read_started.wait()
        nursery.cancel_scope.cancel()


async def write_store(redis: RecordingRedis) -> None:
    """Write values in every format that the program writes to the store."""
    shared, _ = open_shared_store(redis)
    await run_until_current(redis, shared, [EDGE])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(shared.publisher.run)
        for event in (
            CacheDefined(PARENT),
            OrderGiven("e-1", DRAIN),
            OrderGiven("p-1", RESTORE),
            PurgeRequested("clip", -1, 1_700_000_150.5),
            PurgeRequested("", 7, 1_700_000_160.0),
        ):
            assert await shared.publisher.publish(event) is PublishResult.WRITTEN
        nursery.cancel_scope.cancel()
    assert await shared.claims.claim("txn-1") is ClaimResult.OURS
    assert await shared.claims.claim("txn-2") is ClaimResult.OURS
    await shared.claims.release("txn-2")


def stored_keys() -> dict[str, Any]:
    """Return the sample of the store as the stand-in represents it: stream ids are pairs of numbers."""
    keys: dict[str, Any] = orjson.loads((DATA / "store-keys.json").read_bytes())
    return {
        key: [((int(entry_id[0]), int(entry_id[1])), fields) for entry_id, fields in value]
        if isinstance(value, list)
        else value
        for key, value in keys.items()
    }


def without_stream_ids(keys: dict[str, Any]) -> dict[str, Any]:
    """Return the store's content without stream ids and ticket windows, which depend on the time."""
    return {
        re.sub(r":loads:\d+$", ":loads:BUCKET", key): [fields for _, fields in value]
        if isinstance(value, list)
        else value
        for key, value in keys.items()
    }


@with_trio
async def test_store_gets_the_same_commands_and_keys() -> None:
    """Keys, fields, options and JSON of all commands are those of the sample."""
    async with trio.open_nursery() as nursery:
        redis = await RecordingRedis().open(nursery)
        await write_store(redis)
        nursery.cancel_scope.cancel()
    assert redis.received_commands == orjson.loads((DATA / "store-commands.json").read_bytes())
    assert without_stream_ids(redis.keys) == without_stream_ids(stored_keys())


@pytest.mark.parametrize(
    ("position", "definitions"),
    [(STREAM_START, {EDGE, PARENT}), (StreamPosition(1700000200750, 0), {PARENT})],
)
def test_store_is_read_to_the_same_state(position: StreamPosition, definitions: set[CacheDefinition]) -> None:
    """A full load, and updates after the first entry of the stream, yield caches, orders and purges."""
    keys = stored_keys()
    keys["brackenlane:branch.example:pace"] = '{"asks": 5, "loads": 3.5}'  # written by an operator

    @with_trio
    async def read() -> None:
        async with trio.open_nursery() as nursery:
            redis = await RecordingRedis(keys).open(nursery)
            shared, registry = open_shared_store(redis, position)
            await run_until_current(redis, shared, [EDGE])
            assert not any(
                command[0] == "SET" for command in redis.received_commands
            )  # the file is registered already
            assert await shared.claims.claim("txn-1") is ClaimResult.TAKEN
            assert await shared.claims.claim("txn-2") is ClaimResult.OURS
            nursery.cancel_scope.cancel()
        remembered = registry.merge.snapshot_content()
        assert set(remembered.definitions) == definitions
        assert not remembered.srv_members
        assert remembered.orders == {"e-1": DRAIN, "p-1": RESTORE}
        assert str(shared.position) == "1700000200750-5"
        purged_at = pytest.approx(SAVED, abs=5.0)  # by the store's clock, less the duration of a reply
        assert registry.purges.by_target == {("clip", -1): purged_at, ("", 7): purged_at}
        assert (shared.pacing.capacity.request_rate, shared.pacing.capacity.load_rate) == (5.0, 3.5)

    read()


@pytest.mark.parametrize(
    ("sample", "expected"),
    [
        ("last-list-2.json", SNAPSHOT),
        (
            "last-list-1.json",
            snapshot_codec.Snapshot(SNAPSHOT.memory, SAVED),
        ),  # version 1 has no position, shutdown flag or purges
    ],
)
def test_snapshot_is_read_to_the_same_state(
    sample: str, expected: snapshot_codec.Snapshot, tmp_path: Path
) -> None:
    """A snapshot of each version yields caches, SRV lists, addresses, orders, position and purges."""
    path = Path(shutil.copy(DATA / sample, tmp_path))  # a copy, since an unreadable file is renamed
    assert snapshot.load(path) == expected


def test_snapshot_is_written_the_same(tmp_path: Path) -> None:
    """The file equals the sample, with its version and checksum, and no other file is left."""
    snapshot.save(tmp_path / "last-list.json", snapshot_codec.dump(SNAPSHOT))
    assert (tmp_path / "last-list.json").read_bytes() == (DATA / "last-list-2.json").read_bytes()
    assert os.listdir(tmp_path) == ["last-list.json"]


def test_damaged_snapshot_is_renamed(tmp_path: Path) -> None:
    """Operators look for the renamed file by this name."""
    (tmp_path / "last-list.json").write_bytes(b"{}")
    assert snapshot.load(tmp_path / "last-list.json") is None
    assert os.listdir(tmp_path) == ["last-list.json.damaged"]


def test_handover_records_are_read_and_written_the_same() -> None:
    """Every type of record, and the index that results from all of them."""
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
    """The folder's name has the listening address; its orders and claims outlive the processes."""
    config = load_config(str(ROOT / "example/config.json"))
    folder = tmp_path / "brackenlane.{}.{}".format(*config.listen)
    folder.mkdir()
    shutil.copy(DATA / sample, folder / "ledger")
    (folder / "life.0a1b2c3d").touch()  # its process has terminated, so its lock is free
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    handover_log = open_handover_log(config, Limits())
    assert isinstance(handover_log, HandoverLog)
    assert handover_log.index.is_serving == {handover_log.process_id: False}
    assert handover_log.index.out_of_service == {"s-00000001": 1_700_000_000.25}
    assert handover_log.index.claims == {"txn-1": "0a1b2c3d"}
    assert set(os.listdir(folder)) == {"ledger", "starting", f"life.{handover_log.process_id}"}
    handover_log.close()
