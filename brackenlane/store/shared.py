"""The box list, drains, purges and claims that an appliance's doormans share.

Redis holds a hash of the boxes, a stream of the events since, and a key for each claimed submit. A doorman
loads the hash, then follows the stream from the place it had before, so it misses nothing in between.
"""

from __future__ import annotations

import logging
import time
from collections import deque
from typing import Any

import orjson
import trio

from brackenlane.config import Endpoint
from brackenlane.core.claims import Claim
from brackenlane.discovery.merge import Definition, Order, Origin
from brackenlane.discovery.roster import Roster, box_json, order_json, read_box, read_order
from brackenlane.limits import Limits
from brackenlane.store.resp import Connection, StoreAway, StoreError

log = logging.getLogger(__name__)


Change = tuple[list[str | int] | None, dict[str, Any]]  # the command that keeps it, the event that tells it


class Shared:
    """One doorman's view of the store."""

    def __init__(self, endpoint: Endpoint, site: str, name: str, roster: Roster, purge_done: float,
                 limits: Limits) -> None:
        self._limits, self._roster, self._name, self._purge_done = limits, roster, name, purge_done
        self._boxes, self._events = f"brackenlane:{site}:boxes", f"brackenlane:{site}:events"
        self._orders = f"brackenlane:{site}:orders"
        self._claims = f"brackenlane:{site}:claim:"
        self._commands = Connection(endpoint, limits.store_wait)
        self._follows = Connection(endpoint, limits.store_wait)
        self.reached = False
        self._unshared: deque[Change] = deque(maxlen=limits.store_unshared)

    async def claim(self, txn: str) -> Claim:
        """Claim a submit before it runs; the first to claim it is the only one ever to run it."""
        try:
            [reply] = await self._commands.call(
                ["SET", self._claims + txn, self._name, "NX", "EX", self._limits.claim_kept])
        except (StoreAway, StoreError) as fault:
            log.warning("no claim: %s", fault)
            return Claim.UNKNOWN
        return Claim.OURS if reply == "OK" else Claim.TAKEN

    async def release(self, txn: str) -> None:
        """Give back the claim of a submit that provably never ran, so that it may be sent again."""
        try:
            await self._commands.call(["DEL", self._claims + txn])
        except (StoreAway, StoreError) as fault:
            log.warning("a claim stays: %s", fault)

    async def change(self, box: Definition) -> bool:
        """Share what has changed about a box; False if the store is away."""
        text = orjson.dumps(box_json(box)).decode()
        return await self._share(["HSET", self._boxes, box.id, text], {"box": box_json(box)})

    async def order(self, server: str, order: Order) -> bool:
        """Share a drain or a restore; False if the store is away."""
        told = order_json(server, order)
        return await self._share(["HSET", self._orders, server, orjson.dumps(told).decode()], {"order": told})

    async def purge(self, obj: str, group: int, at: float) -> bool:
        """Share a purge; False if the store is away."""
        return await self._share(None, {"purge": {"object": obj, "group": group, "time": int(at * 1000)}})

    async def _share(self, first: list[str | int] | None, event: dict[str, Any]) -> bool:
        change = (first, event)
        # What could not be shared waits: a load must not undo a drain that the store never heard of.
        if not self._unshared and await self._send(change):
            return True
        self._unshared.append(change)
        return False

    async def _send(self, change: Change) -> bool:
        first, event = change
        added: list[str | int] = ["XADD", self._events, "MAXLEN", "~", self._limits.store_log, "*",
                                  "event", orjson.dumps(event).decode()]
        try:
            await self._commands.call(*([["MULTI"], first, added, ["EXEC"]] if first else [added]))
        except (StoreAway, StoreError) as fault:
            log.warning("not shared: %s", fault)
            return False
        return True

    async def run(self, own: list[Definition]) -> None:
        """Follow the store for good; while it is away the last list stands."""
        while True:
            try:
                last = await self._load(own)
                self.reached = True
                while True:
                    last = await self._follow(last)
            except (StoreAway, StoreError) as fault:
                log.warning("store: %s", fault)
            self.reached = False
            await self._follows.close()
            await trio.sleep(self._limits.store_retry)

    async def _load(self, own: list[Definition]) -> str:
        """Add our own boxes where they are new, take in the list; the place of the last event before."""
        while self._unshared:
            if not await self._send(self._unshared[0]):
                raise StoreAway("what changed meanwhile can't be shared yet")
            self._unshared.popleft()
        newest = (await self._follows.call(["XREVRANGE", self._events, "+", "-", "COUNT", 1]))[0]
        last = str(newest[0][0]) if newest else "0-0"
        for box in own:
            [new] = await self._follows.call(
                ["HSETNX", self._boxes, box.id, orjson.dumps(box_json(box)).decode()])
            if new:
                await self.change(box)
        recent = int((time.time() - 2 * self._purge_done) * 1000)
        orders, flat, events = await self._follows.call(
            ["HGETALL", self._orders], ["HGETALL", self._boxes],
            ["XRANGE", self._events, f"{max(0, recent)}-0", "+"])
        for text in orders[1::2]:  # before the boxes: a drained one is never told as serving
            self._take({"order": _read_json(text)})
        for text in flat[1::2]:
            self._take({"box": _read_json(text)})
        for _, fields in events:
            event = _read_event(fields)
            if "purge" in event:
                self._take(event)
        self._roster.apply(self._roster.merge.forget(time.time()))
        return last

    async def _follow(self, last: str) -> str:
        """Wait for news; the place of the last event taken in."""
        block = self._limits.store_block
        [news] = await self._follows.call(
            ["XREAD", "BLOCK", int(block * 1000), "STREAMS", self._events, last],
            wait=block + self._limits.store_wait)
        for _, entries in news or ():
            for place, fields in entries:
                self._take(_read_event(fields))
                last = str(place)
        return last

    def _take(self, event: dict[str, Any]) -> None:
        """One event; guards against what another program may have written there."""
        try:
            if "box" in event:
                self._roster.define(Origin.STORE, read_box(event["box"]))
            elif "order" in event:
                self._roster.order(*read_order(event["order"]))
            elif "purge" in event:
                told = event["purge"]
                self._roster.purge(str(told["object"]), int(told["group"]), int(told["time"]) / 1000)
        except (ValueError, KeyError, TypeError) as fault:
            log.warning("an event that can't be read: %s", fault)


def _read_json(text: Any) -> Any:
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        return None


def _read_event(fields: list[Any]) -> dict[str, Any]:
    found = _read_json(dict(zip(fields[::2], fields[1::2], strict=False)).get("event", ""))
    return found if isinstance(found, dict) else {}
