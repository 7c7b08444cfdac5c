"""The interface by which a front claims a submit, so that only one router of a site runs it."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class ClaimResult(Enum):
    """Whether this process may run a submit."""

    OURS = "ours"
    TAKEN = "taken"  # claimed before: it may have run
    UNKNOWN = "unknown"  # the store cannot tell: it must not run


class ClaimStore(Protocol):
    """Idempotency claims, by the id of a submit."""

    async def claim(self, txn: str) -> ClaimResult:
        """Claim a submit before it runs."""

    async def release(self, txn: str) -> None:
        """Release the claim of a submit that has provably not run."""
