"""The state that the records of a handover log add up to. Pure."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

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
    """Which processes serve, which caches are out of service, and which submits may have run."""

    def __init__(self, max_claims: int) -> None:
        """Remember at most `max_claims` ids of submits; the oldest are forgotten first."""
        self._max_claims = max_claims
        self.is_serving: dict[str, bool] = {}  # by process id, in the order of their start
        self.out_of_service: dict[str, float] = {}  # by cache: the Unix time since when
        self.claims: OrderedDict[str, str] = OrderedDict()  # by request id: the process that claimed it first

    def apply(self, record: HandoverRecord) -> None:
        """Add one record. The first claim of a request id and the first time of an order hold."""
        match record:
            case ProcessStarted(process_id):
                self.is_serving.setdefault(process_id, False)
            case ProcessServing(process_id):
                self.is_serving[process_id] = True
            case MaintenanceEntered(server, at):
                self.out_of_service.setdefault(server, at)
            case MaintenanceExited(server):
                self.out_of_service.pop(server, None)
            case SubmitClaimed(request_id, process_id):
                self.claims.setdefault(request_id, process_id)
                if len(self.claims) > self._max_claims:
                    self.claims.popitem(last=False)
            case SubmitReleased(request_id):
                self.claims.pop(request_id, None)

    def forget_process(self, process_id: str) -> None:
        """Drop a process that has ended; its claims stay, since what it claimed may have run."""
        self.is_serving.pop(process_id, None)

    def summary(self) -> Iterator[HandoverRecord]:
        """Yield the fewest records that add up to the same state."""
        for process_id, is_serving in self.is_serving.items():
            yield ProcessStarted(process_id)
            if is_serving:
                yield ProcessServing(process_id)
        for server, at in self.out_of_service.items():
            yield MaintenanceEntered(server, at)
        for request_id, process_id in self.claims.items():
            yield SubmitClaimed(request_id, process_id)
