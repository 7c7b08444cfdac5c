"""Idempotency claims in Redis, so that a submit with an idempotency key never runs at two routers."""

from __future__ import annotations

import logging

from brackenlane.core.claims import ClaimResult
from brackenlane.store.connection import Connection
from brackenlane.store.errors import StoreError
from brackenlane.store.keys import StoreKeys

log = logging.getLogger(__name__)

# Replies to SET with NX.
CLAIMED = "OK"
ALREADY_CLAIMED = None


class RedisClaimStore:
    """Claims submits for one router. Implements `core.claims.ClaimStore`."""

    def __init__(self, connection: Connection, keys: StoreKeys, router_name: str, lifetime: int) -> None:
        """lifetime: seconds until a claim expires."""
        self._connection = connection
        self._keys = keys
        self._router_name = router_name
        self._lifetime = lifetime

    async def claim(self, txn: str) -> ClaimResult:
        """Claim a submit before it runs; only the first router that claims it may run it."""
        try:
            [reply] = await self._connection.call(
                ["SET", self._keys.claim(txn), self._router_name, "NX", "EX", self._lifetime]
            )
        except StoreError as error:
            log.warning("claim of submit %s failed, it is rejected: %s", txn, error)
            return ClaimResult.UNKNOWN
        if reply not in (CLAIMED, ALREADY_CLAIMED):
            log.warning("claim of submit %s answered by %r, it is rejected", txn, reply)
            return ClaimResult.UNKNOWN
        return ClaimResult.OURS if reply == CLAIMED else ClaimResult.TAKEN

    async def release(self, txn: str) -> None:
        """Release the claim of a submit that provably never ran, so that a client may send it again."""
        try:
            await self._connection.call(["DEL", self._keys.claim(txn)])
        except StoreError as error:
            log.warning("claim of submit %s not released, retries of it are rejected: %s", txn, error)
