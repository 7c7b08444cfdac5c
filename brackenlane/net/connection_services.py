"""What a client connection needs of its front: tracker, queue and handler, as protocols."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from brackenlane.admission.load_metrics import Reason
from brackenlane.core.requests import PendingRequest
from brackenlane.net.client_state import ClientState
from brackenlane.net.front_context import FrontContext
from brackenlane.net.http_codec import ParsedRequest
from brackenlane.net.request_codec import EncodedResponse

if TYPE_CHECKING:
    from brackenlane.net.client_connection import ClientConnection


class ConnectionTracker(Protocol):
    """Receiver of the state changes of connections."""

    def move(self, connection: ClientConnection, previous: ClientState, state: ClientState) -> None:
        """Record a change of state."""

    def forget(self, connection: ClientConnection, state: ClientState) -> None:
        """Remove a connection that is closed while in this state."""

    def count_closed(self) -> None:
        """Count a connection whose socket was closed."""


class RequestQueue(Protocol):
    """Queue in which a connection places its requests; it also provides the rejections."""

    rejection: bytes  # complete encoded rejection that is currently sent

    def enqueue(self, connection: ClientConnection, class_name: str, is_retry: bool, since: float) -> None:
        """Add a request; since: Unix time from which it has waited.

        The queue later calls `serve` or `reject` on the connection.
        """

    def remove(self, connection: ClientConnection, class_name: str, is_retry: bool) -> None:
        """Remove a request."""

    def rejection_reason(self, target: str, is_retry: bool) -> Reason | None:
        """Return why this request must be rejected at once; None if it may be queued."""

    def has_cached_response(self, target: str) -> bool:
        """Return whether the response cache can serve this target."""

    def retry_after(self, now: float) -> float:
        """Return the seconds after which a rejected client may retry."""

    def encode_rejection(self, retry_after: float = 0.0) -> EncodedResponse:
        """Encode a rejection; retry_after: seconds until the client may retry, 0 for `Limits.retry_after`."""


class RequestHandler(Protocol):
    """Handler of the requests of a connection; it answers through `ClientConnection.answer`."""

    def accept(self, client: ClientConnection, parsed: ParsedRequest, since: float) -> None:
        """Accept a request; since: Unix time of its arrival. Raises BadRequestError."""

    def withdraw(self, request: PendingRequest) -> None:
        """Withdraw a request whose client has disconnected."""


@dataclass(frozen=True, slots=True)
class ConnectionServices:
    """Services that all connections of a front use."""

    context: FrontContext
    tracker: ConnectionTracker
    queue: RequestQueue
    handler: RequestHandler
