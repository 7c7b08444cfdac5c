"""Whether a submit is ours to run: what the routers of one site, or two processes of one, agree on."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class ClaimResult(Enum):
    """Whether a submit is ours to run."""

    OURS = "ours"
    TAKEN = "taken"  # it has been claimed before: it may have run
    UNKNOWN = "unknown"  # nobody can tell: it must not run


class ClaimStore(Protocol):
    """Keeps a submit from being run by two routers."""

    async def claim(self, txn: str) -> ClaimResult:
        """Claim a submit before it runs."""

    async def release(self, txn: str) -> None:
        """Give back the claim of a submit that provably never ran."""
