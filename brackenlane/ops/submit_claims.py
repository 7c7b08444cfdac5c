"""Claims of submits (non-idempotent requests) in the handover log, so that only one process runs each."""

from __future__ import annotations

import logging

from brackenlane.core.claims import ClaimResult
from brackenlane.ops.handover_log import HandoverLog, HandoverLogError
from brackenlane.ops.handover_records import SubmitClaimed, SubmitReleased

log = logging.getLogger(__name__)


class SubmitClaims:
    """Claims and releases submits for one process."""

    def __init__(self, handover_log: HandoverLog) -> None:
        self._handover_log = handover_log

    def claim(self, request_id: str) -> ClaimResult:
        """Claim a submit; this process may run it if no process has claimed it before."""
        own_id = self._handover_log.process_id
        try:
            self._handover_log.append(SubmitClaimed(request_id, own_id))
        except HandoverLogError as error:
            log.error("a submit is refused, since it can't be claimed: %s", error)
            return ClaimResult.UNKNOWN
        if self._handover_log.index.claims.get(request_id) == own_id:
            return ClaimResult.OURS
        return ClaimResult.TAKEN

    def release(self, request_id: str) -> None:
        """Release the claim of a submit that provably never ran, so that the client may send it again."""
        try:
            self._handover_log.append(SubmitReleased(request_id))
        except HandoverLogError as error:
            log.warning("submit %s remains claimed: %s", request_id, error)
