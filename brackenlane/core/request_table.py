"""The table of pending requests: those without a final answer, and those with active attempts."""

from __future__ import annotations

from collections.abc import Callable

from brackenlane.core.memory_budget import MemoryBudget
from brackenlane.core.requests import Answer, PendingRequest
from brackenlane.core.timers import Timers

# Bytes of memory of a request, its attempts, timers and the router's records of them, besides its body.
REQUEST_SIZE = 4_096


class RequestTable:
    """Holds each request from its arrival until it is finished and its last attempt has ended.

    Open requests are bounded by the fronts, as each client connection has at most one. Requests whose clients
    have left stay until their attempts end; the memory of all of them is counted, and the fronts reject new
    requests while it is short.
    """

    def __init__(
        self, timers: Timers, on_removed: Callable[[], None], memory: MemoryBudget | None = None
    ) -> None:
        self._timers = timers
        self._on_removed = on_removed
        self._memory = memory or MemoryBudget()
        self._requests: dict[str, PendingRequest] = {}
        self._body_size = 0  # bytes of the bodies of all requests

    @property
    def open_count(self) -> int:
        """The number of requests without a final answer."""
        return sum(not request.is_finished for request in self._requests.values())

    def open_requests(self) -> list[PendingRequest]:
        """Return the requests without a final answer, in order of arrival."""
        return [request for request in self._requests.values() if not request.is_finished]

    def add(self, request: PendingRequest, expires_at: float, on_expired: Callable[[str], None]) -> None:
        """Add a request; `on_expired(request_id)` is called if it is still open at `expires_at`.

        expires_at: Unix seconds.
        """
        request_id = request.arrival.request_id
        self._requests[request_id] = request
        self._body_size += len(request.body)
        self._count_memory()
        request.timers.append(self._timers.call_at(expires_at, on_expired, request_id))

    def find(self, request_id: str) -> PendingRequest | None:
        """Return a request, finished or not; None if it is unknown or removed."""
        return self._requests.get(request_id)

    def find_open(self, request_id: str) -> PendingRequest | None:
        """Return a request without a final answer; None if no open request has this id."""
        request = self._requests.get(request_id)
        if request is None or request.is_finished:
            return None
        return request

    def finish(self, request_id: str, answer: Answer | None) -> None:
        """Finish a request if it is open; `answer` is None if its client has disconnected."""
        request = self.find_open(request_id)
        if request is None:
            return
        request.finish(answer)
        self.remove_if_done(request_id)

    def remove_if_done(self, request_id: str) -> None:
        """Remove a request if it is finished and has no active attempts."""
        request = self._requests.get(request_id)
        if request is None or not request.is_finished or request.has_active_attempts:
            return
        del self._requests[request_id]
        self._body_size -= len(request.body)
        self._count_memory()
        request.free()
        self._on_removed()

    def release_memory(self) -> str:
        """Free nothing: a request in the table may have run."""
        return ""

    def _count_memory(self) -> None:
        self._memory.resize(self, len(self._requests) * REQUEST_SIZE + self._body_size)
