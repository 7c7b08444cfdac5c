"""Registers the caches of the operator's file in the store, once for all routers that have the same file."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

import orjson

from brackenlane.discovery.definition_codec import encode_definition
from brackenlane.discovery.records import CacheDefinition
from brackenlane.limits import Limits
from brackenlane.store.connection import Command, Connection
from brackenlane.store.event_codec import CacheDefined
from brackenlane.store.event_commands import transaction, write_commands
from brackenlane.store.keys import StoreKeys

DONE = "done"  # the value of the registration key once all caches are registered
DIGEST_LENGTH = 32  # hexadecimal digits


class FileRegistration:
    """Tracks whether the caches of this router's file are registered in the store."""

    def __init__(
        self, caches: Sequence[CacheDefinition], keys: StoreKeys, router_name: str, limits: Limits
    ) -> None:
        self._caches = caches
        self._keys = keys
        self._router_name = router_name
        self._limits = limits
        self.key = keys.file_registration(_digest(caches))
        self.is_done = not caches

    def apply_stored_value(self, value: str | None) -> None:
        """Set the state from the key's value; a store restored to an older state may have lost the caches."""
        self.is_done = not self._caches or value == DONE

    async def register(self, connection: Connection) -> None:
        """Write the caches missing in the store, unless another router does so. Raises StoreError."""
        reply, value = await connection.call(
            ["SET", self.key, self._router_name, "NX", "EX", self._limits.store_file_lock_lifetime],
            ["GET", self.key],
        )
        self.is_done = value == DONE
        if reply != "OK":
            return
        ids = [cache.id for cache in self._caches]
        [stored] = await connection.call(["HMGET", self._keys.caches, *ids])
        commands: list[Command] = []
        for cache, text in zip(self._caches, stored, strict=True):
            if text is None:
                commands += write_commands(CacheDefined(cache), self._keys, self._limits.max_store_events)
        commands.append(["SET", self.key, DONE, "EX", self._limits.store_file_done_lifetime])
        # One transaction: a router that terminated in between would leave a cache in the hash without an
        # event in the stream, so that the other routers would not be notified of it.
        await connection.call(*transaction(commands), time_limit=self._limits.store_block_time)
        self.is_done = True


def _digest(caches: Sequence[CacheDefinition]) -> str:
    document = orjson.dumps([encode_definition(cache) for cache in caches])
    return hashlib.sha256(document).hexdigest()[:DIGEST_LENGTH]
