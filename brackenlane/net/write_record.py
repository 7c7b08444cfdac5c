"""Record of the writes that may have run, so that a duplicate is not run again."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from brackenlane.core.claims import ClaimResult
from brackenlane.core.requests import PendingRequest
from brackenlane.net.front_context import FrontContext


class WriteRecord:
    """Ids of the latest writes that may have run here, and the claims shared with other processes."""

    def __init__(self, context: FrontContext) -> None:
        self._context = context
        self._ids: OrderedDict[str, None] = OrderedDict()  # oldest first
        # Asked before a write runs, and called once it is known that it never ran. Set where other processes
        # of this router could be sent the same write.
        self.claim: Callable[[str], ClaimResult] = lambda _: ClaimResult.OURS
        self.release: Callable[[str], None] = lambda _: None

    def __contains__(self, write_id: str) -> bool:
        return write_id in self._ids

    def finish(self, request: PendingRequest, is_rejected: bool) -> None:
        """Record the end of a request: a rejected write never ran, any other may have."""
        if not request.must_run_once:
            return
        if is_rejected:
            self.release(request.wire_id)
            return
        self._ids[request.wire_id] = None
        if len(self._ids) > self._context.limits.max_remembered_submits:
            self._ids.popitem(last=False)
