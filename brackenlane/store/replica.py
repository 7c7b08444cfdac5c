"""The cache list, drains, purges and claims that an appliance's routers share.

Redis holds a hash of the caches, one of the orders, a stream of the events since, and a key for each claimed
submit. A router that remembers a place in the stream reads what came behind it; else it loads the hashes, in
pieces, when it is its turn, and then follows the stream from the place it had before, so it misses nothing in
between.
"""

from __future__ import annotations

import hashlib
import logging
import random
import time
from collections import OrderedDict, deque
from collections.abc import AsyncIterator, Mapping
from typing import Any

import orjson
import trio

from brackenlane.coldstart.pacing import Capacity, StorePacing
from brackenlane.coldstart.phases import StartupEvent, StartupPhase, StartupPhases
from brackenlane.coldstart.stream_position import NOWHERE, before, continues, lacking, read_place
from brackenlane.config import Endpoint
from brackenlane.core.claims import ClaimResult
from brackenlane.discovery.definition_codec import encode_definition, read_definition
from brackenlane.discovery.order_codec import encode_order, read_order
from brackenlane.discovery.records import CacheDefinition, DefinitionSource, OperatorOrder
from brackenlane.discovery.registry import Registry
from brackenlane.limits import Limits
from brackenlane.store.connection import Connection, StoreError, StoreUnavailableError

log = logging.getLogger(__name__)


Change = tuple[list[str | int] | None, dict[str, Any]]  # the command that keeps it, the event that tells it


class SharedStore:
    """One doorman's view of the store."""

    def __init__(
        self,
        endpoint: Endpoint,
        site: str,
        name: str,
        roster: Registry,
        purge_done: float,
        limits: Limits,
        capacity: Capacity | None = None,
        phases: StartupPhases | None = None,
        place: str = NOWHERE,
    ) -> None:
        """place: up to where in the stream the roster knows all."""
        self._limits, self._roster, self._name = limits, roster, name
        self.purges: dict[tuple[str, int], float] = {}  # told lately, by our clock
        self._counts = 2 * purge_done  # seconds for which a purge is kept in mind
        self._ahead = 0.0  # the store's clock less our monotonic one
        self._boxes, self._events = f"brackenlane:{site}:boxes", f"brackenlane:{site}:events"
        self._orders, self._hint = f"brackenlane:{site}:orders", f"brackenlane:{site}:pace"
        self._filed, self._tickets = f"brackenlane:{site}:filed:", f"brackenlane:{site}:loads:"
        self._claims = f"brackenlane:{site}:claim:"
        self._commands = Connection(endpoint, limits.store_wait)
        self._follows = Connection(endpoint, limits.store_wait)
        self.phases, self.place = phases or StartupPhases(time.time()), place
        self._chance = random.Random()
        self.pace = StorePacing(name, capacity or Capacity(), self._chance)
        self.fault = ""  # why the store is away
        self._unshared: deque[Change] = deque(maxlen=limits.store_unshared)
        # Told to the store, not read back yet: a store that is set back may have lost it.
        self._unread: OrderedDict[str, Change] = OrderedDict()
        self._there: dict[str, OperatorOrder] = {}  # orders that the store has

    @property
    def reached(self) -> bool:
        """Whether all that the store has is known, and news are followed."""
        return self.phases.phase is StartupPhase.CURRENT

    async def claim(self, txn: str) -> ClaimResult:
        """Claim a submit before it runs; the first to claim it is the only one ever to run it."""
        try:
            [reply] = await self._commands.call(
                ["SET", self._claims + txn, self._name, "NX", "EX", self._limits.claim_lifetime]
            )
        except (StoreUnavailableError, StoreError) as fault:
            log.warning("no claim: %s", fault)
            return ClaimResult.UNKNOWN
        return ClaimResult.OURS if reply == "OK" else ClaimResult.TAKEN

    async def release(self, txn: str) -> None:
        """Give back the claim of a submit that provably never ran, so that it may be sent again."""
        try:
            await self._commands.call(["DEL", self._claims + txn])
        except (StoreUnavailableError, StoreError) as fault:
            log.warning("a claim stays: %s", fault)

    async def change(self, cache: CacheDefinition) -> bool:
        """Share what has changed about a cache; False if the store is away."""
        text = orjson.dumps(encode_definition(cache)).decode()
        return await self._share(["HSET", self._boxes, cache.id, text], {"box": encode_definition(cache)})

    async def order(self, server: str, order: OperatorOrder) -> bool:
        """Share a drain or a restore; False if the store is away."""
        reported = encode_order(server, order)
        return await self._share(
            ["HSET", self._orders, server, orjson.dumps(reported).decode()], {"order": reported}
        )

    async def purge(self, obj: str, group: int, at: float) -> bool:
        """Share a purge; False if the store is away."""
        return await self._share(None, {"purge": {"object": obj, "group": group, "time": int(at * 1000)}})

    def _purge(self, obj: str, group: int, at: float) -> None:
        """A purge; kept in mind for a restart while it counts, with our place in the stream."""
        self._roster.purge(obj, group, at)
        since = time.time() - self._counts
        self.purges = {key: t for key, t in self.purges.items() if t > since}
        if at > since and len(self.purges) < self._limits.store_purges:
            self.purges[obj, group] = max(at, self.purges.get((obj, group), at))

    def recall(self, purges: Mapping[tuple[str, int], float]) -> None:
        """The purges of a last list; those that count no more are passed over."""
        for (obj, group), at in purges.items():
            if time.time() - at <= self._counts:
                self._purge(obj, group, at)

    async def _share(self, first: list[str | int] | None, event: dict[str, Any]) -> bool:
        change = (first, event)
        # What could not be shared waits: a load must not undo a drain that the store never heard of.
        if not self._unshared and await self._send(change):
            return True
        self._unshared.append(change)
        return False

    async def _send(self, change: Change) -> bool:
        first, event = change
        text = orjson.dumps(event).decode()
        self._unread[text] = change
        if len(self._unread) > self._limits.store_unshared:
            self._unread.popitem(last=False)
        added: list[str | int] = [
            "XADD",
            self._events,
            "MAXLEN",
            "~",
            self._limits.store_log,
            "*",
            "event",
            text,
        ]
        try:
            await self._commands.call(*([["MULTI"], first, added, ["EXEC"]] if first else [added]))
        except (StoreUnavailableError, StoreError) as fault:
            log.warning("not shared: %s", fault)
            return False
        return True

    async def run(self, own: list[CacheDefinition]) -> None:
        """Follow the store for good; while it is away the last list stands."""
        filing = FileRegistration(own, self._filed)
        await trio.sleep(self.pace.first())
        while True:
            refused = False
            try:
                async with trio.open_nursery() as nursery:
                    await self._catch_up(filing)
                    nursery.start_soon(self._mend)
                    while True:
                        if not filing.done:
                            await self._file(filing)
                        await self._follow()
            except* (StoreUnavailableError, StoreError) as faults:
                self.fault = str(faults.exceptions[0])
                refused = (
                    not isinstance(faults.exceptions[0], StoreUnavailableError) or faults.exceptions[0].slow
                )
            await self._follows.close()
            self.phases.step(StartupEvent.LOST, time.time())
            wait = self.pace.failed(refused)
            log.warning("store: %s; again in %.1f s", self.fault, wait)
            await trio.sleep(wait)

    async def _catch_up(self, filing: FileRegistration) -> None:
        """Take in what came behind our place, or the whole list when it is our turn."""
        while self._unshared:
            if not await self._send(self._unshared[0]):
                raise StoreUnavailableError("what changed meanwhile can't be shared yet")
            self._unshared.popleft()
        requested = time.monotonic()
        begin = self.place if self.place != NOWHERE else "+"  # behind all: nothing is asked for
        mine = sorted(self._roster.merge.orders)[: self._limits.store_piece]
        orders: list[list[str | int]] = [["HMGET", self._orders, *mine]] if mine else []
        entries, [hint, filed], reported, *texts = await self._follows.call(
            ["XRANGE", self._events, begin, "+", "COUNT", self._limits.store_piece],
            ["MGET", self._hint, filing.key],
            ["TIME"],
            *orders,
        )
        self._ahead = int(reported[0]) + int(reported[1]) / 1e6 - time.monotonic()
        # Over half of what a submit would wait, the store is slow: all should spread more.
        self.pace.answered(time.monotonic() - requested, self._limits.store_wait / 2)
        self._obey(hint)
        filing.done = not filing.own or filed == "done"  # it may have lost them since
        page = entries
        while len(page) >= self._limits.store_piece:
            page = await self._updates(str(page[-1][0]))
            entries += page
        if continues(self.place, {str(place) for place, _ in entries}):
            self._roster.apply(self._roster.merge.confirm(time.time()))
            self._there = {}
            for text in texts[0] if texts else ():
                if text:
                    self._take({"order": _read_json(text)})
            self._read(entries)
        else:
            self.phases.step(StartupEvent.ASKED, time.time())
            await self._turn()
            await self._load()
        self.fault = ""
        self.phases.step(StartupEvent.READ, time.time())

    def _obey(self, hint: Any) -> None:
        """What the store bears, if it says so itself."""
        reported = _read_json(hint) if hint else None
        if isinstance(reported, dict):
            try:
                self.pace.capacity = self.pace.capacity.hinted(
                    float(reported["asks"]), float(reported["loads"])
                )
            except (KeyError, TypeError, ValueError) as fault:
                log.warning("%s can't be obeyed: %s", self._hint, fault)

    async def _turn(self) -> None:
        """Wait until a whole list may be loaded: tickets for each span of time are drawn at the store."""
        if self.pace.capacity.doormans == 1:
            return
        bucket = self.pace.bucket(time.time())
        while True:
            key = f"{self._tickets}{bucket}"
            ticket, _ = await self._follows.call(["INCR", key], ["EXPIRE", key, self._limits.store_tickets])
            if not (ahead := self.pace.ahead(int(ticket))):
                return await trio.sleep(self.pace.turn(bucket, int(ticket), time.time()))
            bucket += ahead

    async def _load(self) -> None:
        """The whole list, in pieces; what is told meanwhile stands behind the place that is read first."""
        newest = (await self._follows.call(["XREVRANGE", self._events, "+", "-", "COUNT", 1]))[0]
        place = str(newest[0][0]) if newest else NOWHERE
        self._there = {}
        async for text in self._scan(self._orders):  # before the caches: a drained one never serves
            self._take({"order": _read_json(text)})
        async for text in self._scan(self._boxes):
            self._take({"box": _read_json(text)})
        [entries] = await self._follows.call(["XRANGE", self._events, before(place, self._counts), "+"])
        for at, fields in entries:
            event = _read_event(fields)
            if "purge" in event:
                self._take(event, str(at))
        self._roster.apply(self._roster.merge.forget(time.time()))
        self.place = place

    async def _scan(self, key: str) -> AsyncIterator[Any]:
        """The values of a hash, piece by piece; one that is changed meanwhile may come twice."""
        cursor = "0"
        while True:
            [(cursor, flat)] = await self._follows.call(
                ["HSCAN", key, cursor, "COUNT", self._limits.store_piece]
            )
            for value in flat[1::2]:
                yield value
            if str(cursor) == "0":
                return

    def _read(self, entries: list[Any]) -> None:
        """Entries of the stream, those up to our place passed over."""
        for place, fields in entries:
            event = _read_event(fields)
            self._unread.pop(_event_text(fields), None)
            if read_place(str(place)) > read_place(self.place):
                self._take(event, str(place))
                self.place = str(place)

    async def _updates(self, place: str, *block: str | int) -> list[Any]:
        """Entries behind a place; block: how long the store may hold back a reply while there are none."""
        [updates] = await self._follows.call(
            ["XREAD", "COUNT", self._limits.store_piece, *block, "STREAMS", self._events, place],
            wait=(int(block[1]) / 1000 if block else 0.0) + self._limits.store_wait,
        )
        return [entry for _, entries in updates or () for entry in entries]

    async def _follow(self) -> None:
        """Wait for news and take them in."""
        self._read(await self._updates(self.place, "BLOCK", int(self._limits.store_block * 1000)))

    async def _mend(self) -> None:
        """Tell a store that was set back what it has lost of ours, and the orders that it lacks."""
        # All who remember see it at once: whoever comes first in the window tells the others by it.
        await trio.sleep(self._chance.uniform(0.0, self.pace.window))
        again = list(self._unread.values())
        self._unread.clear()
        for change in again:
            if not await self._send(change):
                raise StoreUnavailableError("what the store has lost can't be shared again yet")
        mine = self._roster.merge.orders
        if not (missing := lacking(mine, self._there, OperatorOrder.beats)):
            return
        [texts] = await self._commands.call(["HMGET", self._orders, *missing])
        for server, text in zip(missing, texts, strict=True):
            try:
                there = read_order(_read_json(text))[1] if text else None
            except ValueError:
                there = None
            if there:
                self._there[server] = there
            if server in mine and mine[server].beats(there) and not await self.order(server, mine[server]):
                raise StoreUnavailableError("orders that the store has lost can't be shared again yet")

    async def _file(self, filing: FileRegistration) -> None:
        """Write those caches of our file that the store has not, unless another is about to."""
        mine, value = await self._follows.call(
            ["SET", filing.key, self._name, "NX", "EX", self._limits.store_filing], ["GET", filing.key]
        )
        filing.done = value == "done"
        if mine != "OK":
            return
        [there] = await self._follows.call(["HMGET", self._boxes, *(cache.id for cache in filing.own)])
        writes: list[list[str | int]] = []
        for cache, known in zip(filing.own, there, strict=True):
            if known is None:
                definition = encode_definition(cache)
                writes += [
                    ["HSET", self._boxes, cache.id, orjson.dumps(definition).decode()],
                    [
                        "XADD",
                        self._events,
                        "MAXLEN",
                        "~",
                        self._limits.store_log,
                        "*",
                        "event",
                        orjson.dumps({"box": definition}).decode(),
                    ],
                ]
        # All or nothing: who dies between two caches would leave one that nobody ever tells the others of.
        await self._follows.call(
            ["MULTI"],
            *writes,
            ["SET", filing.key, "done", "EX", self._limits.store_filed],
            ["EXEC"],
            wait=self._limits.store_block,
        )
        filing.done = True

    def _take(self, event: dict[str, Any], place: str = NOWHERE) -> None:
        """One event, from a place of the log; guards against what another program may have written there."""
        try:
            if "box" in event:
                self._roster.define(DefinitionSource.STORE, read_definition(event["box"]))
            elif "order" in event:
                server, order = read_order(event["order"])
                if order.beats(self._there.get(server)):
                    self._there[server] = order
                self._roster.order(server, order)
            elif "purge" in event:
                reported = event["purge"]
                # By the store's clock: with ours minutes ahead, news would look too old to matter.
                age = max(0.0, time.monotonic() + self._ahead - read_place(place)[0] / 1000)
                self._purge(str(reported["object"]), int(reported["group"]), time.time() - age)
        except (ValueError, KeyError, TypeError) as fault:
            log.warning("an event that can't be read: %s", fault)


def _read_json(text: Any) -> Any:
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        return None


class FileRegistration:
    """The operator's file in the store: its caches are written by one of all who have the same file."""

    def __init__(self, own: list[CacheDefinition], prefix: str) -> None:
        self.own, self.done = own, not own
        self.key = (
            prefix
            + hashlib.sha256(orjson.dumps([encode_definition(cache) for cache in own])).hexdigest()[:32]
        )


def _event_text(fields: list[Any]) -> str:
    return str(dict(zip(fields[::2], fields[1::2], strict=False)).get("event", ""))


def _read_event(fields: list[Any]) -> dict[str, Any]:
    found = _read_json(dict(zip(fields[::2], fields[1::2], strict=False)).get("event", ""))
    return found if isinstance(found, dict) else {}
