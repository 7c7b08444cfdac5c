"""Record of the writes that may have run, so that duplicates of them are not run again."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable

from brackenlane.clock import steady_time
from brackenlane.core.claims import ClaimResult
from brackenlane.core.requests import PendingRequest
from brackenlane.net.front_context import FrontContext

log = logging.getLogger(__name__)


WRITE_ID_SIZE = 224  # bytes of memory of one id in the record


class WriteRecord:
    """Ids of recent writes that may have run in this process, and claims shared with other processes.

    A claim reserves the id of a write, so that only one process of this router runs it. An id is kept for a
    minimum time, in which no number of other writes replaces it: a record full of such ids takes no more
    writes.
    """

    def __init__(self, context: FrontContext) -> None:
        self._context = context
        self._recorded_at: OrderedDict[str, float] = OrderedDict()  # Unix time by id, oldest first
        self.rejection_count = 0  # writes rejected because the record was full
        # `claim` is called before a write runs, `release` once it is known that the write never ran. Both are
        # replaced where other processes of this router may receive the same write.
        self.claim: Callable[[str], ClaimResult] = lambda _: ClaimResult.OURS
        self.release: Callable[[str], None] = lambda _: None

    def __contains__(self, write_id: str) -> bool:
        return write_id in self._recorded_at

    def can_take(self, now: float) -> bool:
        """Return whether another write may run; now: Unix time."""
        limits = self._context.limits
        if len(self._recorded_at) < limits.max_remembered_submits:
            return True
        oldest = next(iter(self._recorded_at.values()))
        if now - oldest >= limits.min_submit_memory:
            return True
        self.rejection_count += 1
        log.warning(
            "a submit is refused: the ids of %d others are younger than %d s",
            len(self._recorded_at),
            limits.min_submit_memory,
        )
        return False

    def finish(self, request: PendingRequest, is_rejected: bool) -> None:
        """Record the end of a request: a rejected write never ran, any other write may have run."""
        if not request.must_run_once:
            return
        if is_rejected:
            self.release(request.client_request_id)
            return
        now = steady_time()
        self._recorded_at[request.client_request_id] = now
        self._discard_old(now)
        self._context.memory.resize(self, WRITE_ID_SIZE * len(self._recorded_at))

    def release_memory(self) -> str:
        """Free nothing: a write whose id is forgotten could run twice."""
        return ""

    def _discard_old(self, now: float) -> None:
        limits = self._context.limits
        while len(self._recorded_at) > limits.max_remembered_submits:
            if now - next(iter(self._recorded_at.values())) < limits.min_submit_memory:
                return  # writes that were in flight when the record was filled
            self._recorded_at.popitem(last=False)
