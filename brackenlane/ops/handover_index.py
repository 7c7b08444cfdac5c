"""The state that results from the records of a handover log. Pure."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

from brackenlane.ops.cache_returns import RETURN_LIFETIME, CacheReturn, CacheReturns
from brackenlane.ops.handover_records import (
    HandoverRecord,
    MaintenanceEntered,
    MaintenanceExited,
    ProcessServing,
    ProcessStarted,
    SubmitClaimed,
    SubmitReleased,
)


class HandoverIndex:
    """Which processes serve, which caches are or were out of service, and which submits may have run."""

    def __init__(self, max_claims: int) -> None:
        """max_claims: number of claims that are kept; past it the oldest claim is dropped."""
        self._max_claims = max_claims
        self.is_serving: dict[str, bool] = {}  # whether each process serves, by process id in start order
        self.out_of_service: dict[str, float] = {}  # the Unix time of the order, by cache
        self.returns = CacheReturns()
        self.claims: OrderedDict[str, str] = OrderedDict()  # the process with the first claim, by request id

    def apply(self, record: HandoverRecord) -> None:
        """Apply one record. The first claim of a request id and the first of repeated orders are kept."""
        match record:
            case ProcessStarted(process_id):
                self.is_serving.setdefault(process_id, False)
            case ProcessServing(process_id):
                self.is_serving[process_id] = True
            case MaintenanceEntered(server, at):
                self.out_of_service.setdefault(server, at)
                self.returns.pop(server, None)
            case MaintenanceExited(server, at):
                self._exit(server, at)
            case SubmitClaimed(request_id, process_id):
                self.claims.setdefault(request_id, process_id)
                if len(self.claims) > self._max_claims:
                    self.claims.popitem(last=False)
            case SubmitReleased(request_id):
                self.claims.pop(request_id, None)

    def _exit(self, server: str, at: float) -> None:
        entered_at = self.out_of_service.pop(server, None)
        if entered_at is not None:
            self.returns.record(server, CacheReturn(entered_at, at))

    def remove_process(self, process_id: str) -> None:
        """Remove a terminated process; its claims are kept, since the submits may have run."""
        self.is_serving.pop(process_id, None)

    def summary(self) -> Iterator[HandoverRecord]:
        """Yield the smallest sequence of records that results in the same state, except for returns."""
        for process_id, is_serving in self.is_serving.items():
            yield ProcessStarted(process_id)
            if is_serving:
                yield ProcessServing(process_id)
        for server, at in self.out_of_service.items():
            yield MaintenanceEntered(server, at)
        for request_id, process_id in self.claims.items():
            yield SubmitClaimed(request_id, process_id)

    def recent_returns(self, now: float) -> Iterator[HandoverRecord]:
        """Yield the records that result in the returns of the last RETURN_LIFETIME before a Unix time."""
        for server, (entered_at, exited_at) in self.returns.items():
            if exited_at > now - RETURN_LIFETIME:
                yield MaintenanceEntered(server, entered_at)
                yield MaintenanceExited(server, exited_at)
