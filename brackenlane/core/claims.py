"""Interface for claiming a submit (a non-idempotent write), so that only one router of a site runs it."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class ClaimResult(Enum):
    """Result of a claim: whether this process may run the submit."""

    OURS = "ours"  # claimed by this call: this process may run the submit
    TAKEN = "taken"  # already claimed: the submit may have run
    UNKNOWN = "unknown"  # the store is unavailable: the submit must not run


class ClaimStore(Protocol):
    """Stores claims by the transaction id of a submit."""

    async def claim(self, txn: str) -> ClaimResult:
        """Claim a submit; to be called before it runs."""

    async def release(self, txn: str) -> None:
        """Release the claim of a submit that is proven not to have run."""
