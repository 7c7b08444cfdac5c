"""Record of the writes that may have run, so that duplicates of them are not run again."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from brackenlane.core.claims import ClaimResult
from brackenlane.core.requests import PendingRequest
from brackenlane.net.front_context import FrontContext


class WriteRecord:
    """Ids of recent writes that may have run in this process, and claims shared with other processes.

    A claim reserves the id of a write, so that only one process of this router runs it.
    """

    def __init__(self, context: FrontContext) -> None:
        self._context = context
        self._ids: OrderedDict[str, None] = OrderedDict()  # oldest first
        # `claim` is called before a write runs, `release` once it is known that the write never ran. Both are
        # replaced where other processes of this router may receive the same write.
        self.claim: Callable[[str], ClaimResult] = lambda _: ClaimResult.OURS
        self.release: Callable[[str], None] = lambda _: None

    def __contains__(self, write_id: str) -> bool:
        return write_id in self._ids

    def finish(self, request: PendingRequest, is_rejected: bool) -> None:
        """Record the end of a request: a rejected write never ran, any other write may have run."""
        if not request.must_run_once:
            return
        if is_rejected:
            self.release(request.client_request_id)
            return
        self._ids[request.client_request_id] = None
        if len(self._ids) > self._context.limits.max_remembered_submits:
            self._ids.popitem(last=False)
